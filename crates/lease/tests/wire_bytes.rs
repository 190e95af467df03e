//! The values that a lease stores in the key-value service, as fixed bytes.
//!
//! Guards against a renamed or moved field, which hosts of another version and stored values would not understand. The
//! types are private, so the test encodes and decodes them through the calls of a lease client.

use lw_base::MonoMs;
use lw_lease::{LeaseClient, LeaseTimes};
use lw_plat::{KvCall, KvError, KvReply};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const NOW: MonoMs = MonoMs(1_000);
const CLAIM_KEY: &str = "lw/lease/place/east/claim";
const EPOCH_KEY: &str = "lw/lease/place/east/epoch";
const CLAIM: &[u8] = br#"{"holder":"h1-5","lease_id":7}"#;
const EPOCH: &[u8] = br#"{"epoch":9,"holder":"h1-5","lease_id":7}"#;
const OTHER_EPOCH: &[u8] = br#"{"epoch":20,"holder":"h2-6","lease_id":8}"#;

fn next_call(client: &mut LeaseClient) -> KvCall {
    client.tick(NOW).expect("call")
}

fn reply(client: &mut LeaseClient, result: Result<KvReply, KvError>) {
    client.reply(NOW, &mut ChaCha8Rng::seed_from_u64(7), result);
}

fn value(bytes: &'static [u8]) -> Result<KvReply, KvError> {
    let version = 3;
    let value = bytes.to_vec().into();
    Ok(KvReply::Value { version, value })
}

/// Returns a client that has opened lease 7 with epoch 9 and is about to write the claim key.
fn client_with_lease() -> LeaseClient {
    let mut client = LeaseClient::new("place/east", "h1-5", LeaseTimes::default());
    client.set_wanted(NOW, true);
    next_call(&mut client);
    reply(&mut client, Ok(KvReply::Absent));
    next_call(&mut client);
    let (lease_id, epoch) = (7, 9);
    reply(&mut client, Ok(KvReply::Lease { lease_id, epoch }));
    client
}

/// Returns a client that has written the claim key and is about to handle the value of the epoch key.
fn client_with_claim() -> LeaseClient {
    let mut client = client_with_lease();
    next_call(&mut client);
    reply(&mut client, Ok(KvReply::Written { version: 1 }));
    let key = EPOCH_KEY.to_owned();
    assert_eq!(next_call(&mut client), KvCall::Get { key });
    client
}

#[test]
fn claim_value_is_encoded_to_the_same_bytes() {
    let expected = KvCall::Put {
        key: CLAIM_KEY.to_owned(),
        value: CLAIM.to_vec().into(),
        if_version: 0,
        lease_id: Some(7),
    };
    assert_eq!(next_call(&mut client_with_lease()), expected);
}

#[test]
fn epoch_value_is_encoded_to_the_same_bytes() {
    let mut client = client_with_claim();
    reply(&mut client, Ok(KvReply::Absent));
    let expected = KvCall::Put {
        key: EPOCH_KEY.to_owned(),
        value: EPOCH.to_vec().into(),
        if_version: 0,
        lease_id: None,
    };
    assert_eq!(next_call(&mut client), expected);
}

/// The client recognizes its own claim by both fields, and closes its lease when either one differs.
#[test]
fn stored_claim_value_is_decoded() {
    let other_holder = br#"{"holder":"h2-6","lease_id":7}"#;
    let other_lease = br#"{"holder":"h1-5","lease_id":8}"#;
    let close = KvCall::LeaseClose { lease_id: 7 };
    let read = KvCall::Get {
        key: EPOCH_KEY.to_owned(),
    };
    for (stored, expected) in [
        (CLAIM, &read),
        (other_holder, &close),
        (other_lease, &close),
    ] {
        let mut client = client_with_lease();
        next_call(&mut client);
        reply(&mut client, Err(KvError::ReplyLost));
        let key = CLAIM_KEY.to_owned();
        assert_eq!(next_call(&mut client), KvCall::Get { key });
        reply(&mut client, value(stored));
        assert_eq!(next_call(&mut client), *expected);
    }
}

/// The client acts under its own recorded epoch at once, and records a higher one than that of another client or lease.
#[test]
fn stored_epoch_value_is_decoded() {
    let own = br#"{"epoch":30,"holder":"h1-5","lease_id":7}"#;
    let mut client = client_with_claim();
    reply(&mut client, value(own));
    assert_eq!(client.may_act(NOW), Some(30));
    let other_lease = br#"{"epoch":20,"holder":"h1-5","lease_id":8}"#;
    for stored in [OTHER_EPOCH, other_lease] {
        let mut client = client_with_claim();
        reply(&mut client, value(stored));
        assert_eq!(client.may_act(NOW), None);
        let expected = KvCall::Put {
            key: EPOCH_KEY.to_owned(),
            value: br#"{"epoch":21,"holder":"h1-5","lease_id":7}"#.to_vec().into(),
            if_version: 3,
            lease_id: None,
        };
        assert_eq!(next_call(&mut client), expected);
    }
}
