//! The fake key-value service behaves the same over HTTP and in process.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use lw_base::MonoMs;
use lw_plat::{HttpTimeouts, Kv, KvCall, KvError, KvReply, http_kv};
use lw_stand::{FakeKv, KvLimits, KvLink, LinkState, ServerHandle};

const TIMEOUTS: HttpTimeouts = HttpTimeouts {
    connect_ms: 5_000,
    call_ms: 5_000,
};

struct Fixture {
    fake: FakeKv,
    clock: Arc<AtomicU64>,
    _server: ServerHandle,
    clients: [Kv; 2],
}

/// Starts the service on a manual clock, with one client over HTTP and one in process.
async fn fixture() -> Fixture {
    let clock = Arc::new(AtomicU64::new(0));
    let time = clock.clone();
    let fake = FakeKv::with_clock(move || MonoMs(time.load(Ordering::SeqCst)));
    let address = "127.0.0.1:0".parse().expect("address");
    let server = fake.start(address).await.expect("start");
    let over_http = http_kv(&server.address().to_string(), TIMEOUTS);
    let clients = [over_http, fake.kv()];
    Fixture {
        fake,
        clock,
        _server: server,
        clients,
    }
}

fn get(key: &str) -> KvCall {
    KvCall::Get { key: key.into() }
}

fn put(key: &str, value: &str, if_version: u64, lease_id: Option<u64>) -> KvCall {
    KvCall::Put {
        key: key.into(),
        value: value.to_owned().into(),
        if_version,
        lease_id,
    }
}

fn value(version: u64, value: &'static str) -> KvReply {
    let value = value.into();
    KvReply::Value { version, value }
}

/// Guards against differences between the HTTP and the in-process client in version checks and lists.
#[tokio::test]
async fn versions_and_lists_match_in_both_clients() {
    for index in 0..2 {
        let kv = &fixture().await.clients[index];
        let key = "lw/entry/1-a b%?é";
        assert_eq!(kv.call(get(key)).await, Ok(KvReply::Absent));
        let written = kv.call(put(key, "one", 0, None)).await;
        assert_eq!(written, Ok(KvReply::Written { version: 1 }));
        let conflict = kv.call(put(key, "two", 0, None)).await;
        assert_eq!(conflict, Err(KvError::Conflict { current: 1 }));
        assert_eq!(kv.call(get(key)).await, Ok(value(1, "one")));
        let prefix = "lw/entry/".to_owned();
        let keys = kv.call(KvCall::List { prefix }).await;
        assert_eq!(keys, Ok(KvReply::Keys(vec![key.to_owned()])));
        let key_owned = key.to_owned();
        let delete = KvCall::Delete {
            key: key_owned,
            if_version: 1,
        };
        assert_eq!(kv.call(delete).await, Ok(KvReply::Done));
        // A deleted key that is written again gets a higher version, so an outdated version never matches.
        let again = kv.call(put(key, "three", 0, None)).await;
        assert_eq!(again, Ok(KvReply::Written { version: 3 }));
        let large = "x".repeat(1_000_001);
        let refused = kv.call(put("large", &large, 0, None)).await;
        assert_eq!(refused, Err(KvError::TooLarge));
    }
}

/// Guards against keys that outlive their lease and lease epochs that do not increase.
#[tokio::test]
async fn expired_leases_delete_their_keys() {
    for index in 0..2 {
        let fixture = fixture().await;
        let kv = &fixture.clients[index];
        let open = KvCall::LeaseOpen { ttl_ms: 100 };
        let Ok(KvReply::Lease { lease_id, epoch }) = kv.call(open.clone()).await else {
            panic!("no lease");
        };
        kv.call(put("k", "v", 0, Some(lease_id)))
            .await
            .expect("put");
        fixture.clock.store(90, Ordering::SeqCst);
        let renew = KvCall::LeaseRenew { lease_id };
        assert_eq!(kv.call(renew.clone()).await, Ok(KvReply::Done));
        fixture.clock.store(189, Ordering::SeqCst);
        assert_eq!(kv.call(get("k")).await, Ok(value(1, "v")));
        fixture.clock.store(190, Ordering::SeqCst);
        assert_eq!(kv.call(get("k")).await, Ok(KvReply::Absent));
        assert_eq!(kv.call(renew).await, Err(KvError::LeaseExpired));
        let late = kv.call(put("k", "v", 0, Some(lease_id))).await;
        assert_eq!(late, Err(KvError::LeaseExpired));
        let Ok(KvReply::Lease { epoch: next, .. }) = kv.call(open).await else {
            panic!("no lease");
        };
        assert!(next > epoch);
    }
}

/// Guards against a watch that misses a change or never ends.
#[tokio::test]
async fn watches_report_changes_and_time_out() {
    for index in 0..2 {
        let fixture = fixture().await;
        let kv = fixture.clients[index].clone();
        let watch = |wait_ms| KvCall::Watch {
            key: "k".into(),
            after_version: 0,
            wait_ms,
        };
        assert_eq!(kv.call(watch(1)).await, Ok(KvReply::Unchanged));
        let waiting = tokio::spawn({
            let kv = kv.clone();
            let call = watch(4_000);
            async move { kv.call(call).await }
        });
        tokio::time::sleep(Duration::from_millis(20)).await;
        kv.call(put("k", "v", 0, None)).await.expect("put");
        assert_eq!(waiting.await.expect("join"), Ok(value(1, "v")));
    }
}

/// Guards against injected faults that have no effect, which would make tests of other crates pass for no reason.
#[tokio::test]
async fn injected_faults_and_limits_take_effect() {
    for index in 0..2 {
        let fixture = fixture().await;
        let kv = &fixture.clients[index];
        fixture.fake.drop_replies(1);
        let lost = kv.call(put("k", "one", 0, None)).await;
        assert_eq!(lost, Err(KvError::ReplyLost));
        assert_eq!(kv.call(get("k")).await, Ok(value(1, "one")));
        kv.call(put("k", "two", 1, None)).await.expect("put");
        fixture.fake.revert_last_writes(1);
        assert_eq!(kv.call(get("k")).await, Ok(value(1, "one")));
        fixture.fake.set_outage(true);
        assert_eq!(kv.call(get("k")).await, Err(KvError::Unavailable));
        fixture.fake.set_outage(false);
        fixture.fake.set_limits(KvLimits {
            reads_per_s: 2.0,
            writes_per_s: 1.0,
        });
        assert_eq!(kv.call(get("k")).await, Ok(value(1, "one")));
        assert_eq!(kv.call(get("k")).await, Ok(value(1, "one")));
        assert_eq!(kv.call(get("k")).await, Err(KvError::Unavailable));
        fixture.clock.store(1_000, Ordering::SeqCst);
        assert_eq!(kv.call(get("k")).await, Ok(value(1, "one")));
        let traffic = fixture.fake.traffic();
        assert_eq!((traffic.reads, traffic.writes, traffic.refused), (5, 2, 2));
    }
}

/// Guards against a failed link of one client that affects another client.
#[tokio::test]
async fn a_failed_link_affects_one_client() {
    let fake = FakeKv::default();
    let link = KvLink::default();
    let cut = link.attach(fake.kv());
    link.set(LinkState::Down);
    let refused = cut.call(put("k", "a", 0, None)).await;
    assert_eq!(refused, Err(KvError::Unreachable));
    link.set(LinkState::RepliesLost);
    let lost = cut.call(put("k", "b", 0, None)).await;
    assert_eq!(lost, Err(KvError::ReplyLost));
    assert_eq!(fake.kv().call(get("k")).await, Ok(value(1, "b")));
}
