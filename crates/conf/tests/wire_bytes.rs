//! Encoded bytes of the types that hosts exchange or store.
//!
//! A renamed, moved or retyped field or variant would break hosts of an earlier version and the stored configuration.

mod support;

use std::fmt::Debug;

use bytes::Bytes;
use lw_base::WallMs;
use lw_conf::{
    AuditEntry, AuditRecord, ConfMessage, DocumentPart, Head, PartRequest, RefusedAttempt, Replica,
    RetentionWorker, RevisionMark, SnapshotRef, publish, read_audit, read_entry, read_head,
    read_refused_attempts,
};
use lw_doc::{AuditKeepDays, Change, Digest};
use lw_plat::{KvCall, KvReply};
use serde::Serialize;
use serde::de::DeserializeOwned;
use support::{FakeKv, request, sample, with_customer};
use uuid::Uuid;

const HEAD: &str = r#"{"mark":{"revision":2,"digest":"0202020202020202020202020202020202020202020202020202020202020202"},"entry_key":"lw/entry/two","snapshot":{"mark":{"revision":3,"digest":"0303030303030303030303030303030303030303030303030303030303030303"},"parts":4},"operation":"00000000-0000-0000-0000-000000000008"}"#;
const ENTRY: &str = r#"{"mark":{"revision":2,"digest":"0202020202020202020202020202020202020202020202020202020202020202"},"base":{"revision":1,"digest":"0101010101010101010101010101010101010101010101010101010101010101"},"base_entry_key":"lw/entry/one","operation":"00000000-0000-0000-0000-000000000008","operator":"operator-9","wall_ms":10,"snapshot":{"mark":{"revision":3,"digest":"0303030303030303030303030303030303030303030303030303030303030303"},"parts":4},"changes":[{"path":"customers/a","value":{"requests_per_s":11}},{"path":"customers/b"}]}"#;
const FIRST_ENTRY: &str = r#"{"mark":{"revision":1,"digest":"0101010101010101010101010101010101010101010101010101010101010101"},"base":{"revision":0,"digest":"0000000000000000000000000000000000000000000000000000000000000000"},"operation":"00000000-0000-0000-0000-000000000005","operator":"operator-6","wall_ms":7,"snapshot":{"mark":{"revision":3,"digest":"0303030303030303030303030303030303030303030303030303030303030303"},"parts":4}}"#;
const REFUSED: &str = r#"[{"operation":"00000000-0000-0000-0000-00000000000c","operator":"operator-13","wall_ms":14,"base_revision":15,"reason":"the document has faults"}]"#;

/// Asserts that the JSON text `fixture` decodes to `value`, and that `value` encodes to it.
fn assert_json<T: Serialize + DeserializeOwned + PartialEq + Debug>(value: &T, fixture: &str) {
    assert_eq!(serde_json::to_string(value).unwrap(), fixture);
    assert_eq!(&serde_json::from_str::<T>(fixture).unwrap(), value);
}

/// Asserts that `fixture` (postcard, in hexadecimal) decodes to `message`, and that `message` encodes to it.
fn assert_message(message: &ConfMessage, fixture: &str) {
    let bytes: Vec<u8> = (0..fixture.len())
        .step_by(2)
        .map(|start| u8::from_str_radix(&fixture[start..start + 2], 16).unwrap())
        .collect();
    let encoded = message.encode();
    let hex: String = encoded.iter().map(|byte| format!("{byte:02x}")).collect();
    assert_eq!(hex, fixture, "{message:?}");
    assert_eq!(&ConfMessage::decode(&bytes).unwrap(), message);
}

fn mark(number: u8) -> RevisionMark {
    RevisionMark {
        revision: u64::from(number),
        digest: Digest([number; 32]),
    }
}

fn snapshot() -> SnapshotRef {
    SnapshotRef {
        mark: mark(3),
        parts: 4,
    }
}

fn first_entry() -> AuditEntry {
    AuditEntry {
        mark: mark(1),
        base: mark(0),
        base_entry_key: None,
        operation: Uuid::from_u128(5),
        operator: "operator-6".to_owned(),
        wall_ms: WallMs(7),
        snapshot: snapshot(),
        changes: None,
    }
}

fn entry() -> AuditEntry {
    AuditEntry {
        mark: mark(2),
        base: mark(1),
        base_entry_key: Some("lw/entry/one".to_owned()),
        operation: Uuid::from_u128(8),
        operator: "operator-9".to_owned(),
        wall_ms: WallMs(10),
        snapshot: snapshot(),
        changes: Some(vec![
            Change {
                path: "customers/a".to_owned(),
                value: Some(serde_json::json!({ "requests_per_s": 11 })),
            },
            Change {
                path: "customers/b".to_owned(),
                value: None,
            },
        ]),
    }
}

fn refused() -> Vec<RefusedAttempt> {
    vec![RefusedAttempt {
        operation: Uuid::from_u128(12),
        operator: "operator-13".to_owned(),
        wall_ms: WallMs(14),
        base_revision: 15,
        reason: "the document has faults".to_owned(),
    }]
}

#[test]
fn stored_values_keep_their_json() {
    let head = Head {
        mark: mark(2),
        entry_key: "lw/entry/two".to_owned(),
        snapshot: snapshot(),
        operation: Uuid::from_u128(8),
    };
    assert_json(&head, HEAD);
    assert_json(&entry(), ENTRY);
    assert_json(&first_entry(), FIRST_ENTRY);
    assert_json(&refused(), REFUSED);
}

#[test]
fn stored_keys_keep_their_form() {
    assert_eq!(lw_conf::HEAD_KEY, "lw/head");
    assert_eq!(
        entry().key(),
        "lw/entry/000000000002-0202020202020202020202020202020202020202020202020202020202020202-00000000-0000-0000-0000-000000000008"
    );
}

#[test]
fn messages_keep_their_bytes() {
    let entries = || vec![Bytes::from_static(b"ab"), Bytes::from_static(b"c")];
    let part_request = PartRequest {
        mark: mark(21),
        offset: 22,
    };
    let part = DocumentPart {
        mark: mark(23),
        recent: vec![Bytes::from_static(b"de")],
        total_bytes: 24,
        offset: 25,
        bytes: Bytes::from_static(b"fgh"),
    };
    let push = ConfMessage::Push {
        root: "host-1".to_owned(),
        mark: mark(20),
        entries: entries(),
    };
    assert_message(
        &push,
        "0006686f73742d31141414141414141414141414141414141414141414141414141414141414141414020261620163",
    );
    let pull = ConfMessage::Pull {
        have: Some(mark(26)),
        part: Some(part_request),
    };
    assert_message(
        &pull,
        "01011a1a1a1a1a1a1a1a1a1a1a1a1a1a1a1a1a1a1a1a1a1a1a1a1a1a1a1a1a1a1a1a1a0115151515151515151515151515151515151515151515151515151515151515151516",
    );
    let first_pull = ConfMessage::Pull {
        have: None,
        part: None,
    };
    assert_message(&first_pull, "010000");
    let reply = ConfMessage::Entries {
        newest: Some(mark(27)),
        entries: entries(),
    };
    assert_message(
        &reply,
        "02011b1b1b1b1b1b1b1b1b1b1b1b1b1b1b1b1b1b1b1b1b1b1b1b1b1b1b1b1b1b1b1b1b020261620163",
    );
    assert_message(
        &ConfMessage::Part(part),
        "0317171717171717171717171717171717171717171717171717171717171717171701026465181903666768",
    );
}

async fn stored_value(fake: &FakeKv, key: &str) -> String {
    let call = KvCall::Get { key: key.into() };
    let KvReply::Value { value, .. } = fake.client().call(call).await.expect("up") else {
        panic!("{key} is absent");
    };
    String::from_utf8(value.to_vec()).expect("JSON")
}

async fn store(fake: &FakeKv, key: &str, value: &str) {
    let call = KvCall::Put {
        key: key.into(),
        value: Bytes::copy_from_slice(value.as_bytes()),
        if_version: 0,
        lease_id: None,
    };
    fake.client().call(call).await.expect("up");
}

/// Guards against a changed form of stored blocks and of the stored audit floor, whose types are private.
#[tokio::test(start_paused = true)]
async fn packed_entries_and_the_audit_floor_keep_their_json() {
    let fake = FakeKv::default();
    let kv = fake.client();
    let mut replica = Replica::new("host-0");
    let mut document = sample();
    for revision in 0..900u64 {
        document
            .customers
            .remove(&format!("c-{}", revision.saturating_sub(4)));
        document = with_customer(&document, &format!("c-{revision}"));
        let mut attempt = request(u128::from(revision) + 1, revision, document.clone());
        attempt.known = replica.reader().load();
        let published = publish(&kv, &attempt).await.expect("a revision");
        replica.on_published(published, &mut Vec::new());
    }
    let head = read_head(&kv).await.expect("up").head.expect("a head");
    let records = read_audit(&kv, usize::MAX).await.expect("up");
    let mut entries: Vec<AuditEntry> = records
        .into_iter()
        .map(|record| match record {
            AuditRecord::Published(entry) => *entry,
            record => panic!("{record:?}"),
        })
        .collect();
    entries.reverse();
    assert_eq!(
        read_entry(&kv, &head.entry_key).await.as_ref(),
        Ok(&entries[899])
    );
    let wall_ms = entries[899].wall_ms.0 + 2 * 60 * 60 * 1_000;
    let mut worker = RetentionWorker::default();
    for _ in 0..2 {
        let pass = worker.pass(&kv, WallMs(wall_ms), AuditKeepDays(30)).await;
        pass.expect("up");
    }
    let KvReply::Keys(blocks) = kv
        .call(KvCall::List {
            prefix: "lw/audit/".into(),
        })
        .await
        .expect("up")
    else {
        panic!("no list");
    };
    let first_block = stored_value(&fake, &blocks[0]).await;
    let newest_name = blocks[0].strip_prefix("lw/audit/").expect("a block");
    let count = entries
        .iter()
        .position(|entry| entry.key() == format!("lw/entry/{newest_name}"))
        .expect("a block is named after its newest entry")
        + 1;
    assert!(count > 1, "{count} entries in the block");
    let packed = serde_json::to_string(&entries[..count]).unwrap();
    assert_eq!(first_block, format!(r#"{{"entries":{packed}}}"#));

    let wall_ms = wall_ms + 40 * 24 * 60 * 60 * 1_000;
    let mut worker = RetentionWorker::default();
    let pass = worker.pass(&kv, WallMs(wall_ms), AuditKeepDays(30));
    assert!(pass.await.expect("up").blocks_expired > 0);
    let newest = blocks.last().expect("a block");
    let revision: u64 = newest["lw/audit/".len()..][..12]
        .parse()
        .expect("a revision");
    let floor = stored_value(&fake, "lw/audit-floor").await;
    assert_eq!(floor, format!(r#"{{"revision":{revision}}}"#));
}

/// Guards against stored records that the audit log does not read any more.
#[tokio::test(start_paused = true)]
async fn stored_records_are_read() {
    let fake = FakeKv::default();
    let kv = fake.client();
    let linked = AuditEntry {
        base_entry_key: Some(first_entry().key()),
        ..entry()
    };
    let head = serde_json::to_string(&linked.head()).unwrap();
    store(&fake, "lw/head", &head).await;
    let linked_json = ENTRY.replace("lw/entry/one", &first_entry().key());
    let block = format!(r#"{{"entries":[{FIRST_ENTRY},{linked_json}]}}"#);
    let block_key = linked.key().replace("lw/entry/", "lw/audit/");
    store(&fake, &block_key, &block).await;
    store(&fake, "lw/refused/0000000000", REFUSED).await;
    let records = read_audit(&kv, 10).await.expect("up");
    let expected = [
        AuditRecord::Refused(refused().remove(0)),
        AuditRecord::Published(Box::new(linked)),
        AuditRecord::Published(Box::new(first_entry())),
    ];
    assert_eq!(records, expected);
    assert_eq!(read_refused_attempts(&kv, 1).await.expect("up"), refused());
}

/// Guards against a stored audit floor that is not read any more: the audit log would then report a gap below its
/// oldest entry.
#[tokio::test(start_paused = true)]
async fn a_stored_audit_floor_is_read() {
    let fake = FakeKv::default();
    let kv = fake.client();
    let head = serde_json::to_string(&entry().head()).unwrap();
    store(&fake, "lw/head", &head).await;
    store(&fake, &entry().key(), ENTRY).await;
    let gap = AuditRecord::Gap {
        key: "lw/entry/one".to_owned(),
        wall_ms: WallMs(10),
    };
    let published = AuditRecord::Published(Box::new(entry()));
    let records = read_audit(&kv, 10).await.expect("up");
    assert_eq!(records, [published.clone(), gap]);
    store(&fake, "lw/audit-floor", r#"{"revision":1}"#).await;
    assert_eq!(read_audit(&kv, 10).await.expect("up"), [published]);
}
