//! Encoded bytes of the types that hosts exchange or store.
//!
//! A renamed, moved or retyped field or variant would break hosts of an earlier version and stored shard maps.

use std::collections::BTreeMap;
use std::fmt::Debug;

use lw_base::WallMs;
use lw_idem::{
    BodyDigest, ClaimId, Cutoff, Ending, IdemMessage, Instance, MapHost, Record, RecordKey,
    ShardMap, ShardView,
};
use serde::Serialize;
use serde::de::DeserializeOwned;
use uuid::Uuid;

/// Asserts that `fixture` (postcard, in hexadecimal) decodes to `value`, and that `value` encodes to it.
fn assert_bytes<T: Serialize + DeserializeOwned + PartialEq + Debug>(value: &T, fixture: &str) {
    let bytes: Vec<u8> = (0..fixture.len())
        .step_by(2)
        .map(|at| u8::from_str_radix(&fixture[at..at + 2], 16).unwrap())
        .collect();
    let encoded = postcard::to_stdvec(value).unwrap();
    let hex: String = encoded.iter().map(|byte| format!("{byte:02x}")).collect();
    assert_eq!(hex, fixture, "{value:?}");
    assert_eq!(&postcard::from_bytes::<T>(&bytes).unwrap(), value);
}

/// Asserts that the JSON text `fixture` decodes to `value`, and that `value` encodes to it.
fn assert_json<T: Serialize + DeserializeOwned + PartialEq + Debug>(value: &T, fixture: &str) {
    assert_eq!(serde_json::to_string(value).unwrap(), fixture);
    assert_eq!(&serde_json::from_str::<T>(fixture).unwrap(), value);
}

fn instance(host: &str, incarnation: u64) -> Instance {
    Instance {
        host: host.into(),
        incarnation,
    }
}

fn key() -> RecordKey {
    RecordKey {
        scope: 11,
        id: Uuid::from_u128(0x0102_0304_0506_0708_090a_0b0c_0d0e_0f10),
    }
}

fn claim() -> ClaimId {
    ClaimId {
        epoch: 21,
        number: 22,
    }
}

fn kept() -> Ending {
    Ending::Kept {
        status: 201,
        content_type: "text/plain".to_owned(),
        body: b"done"[..].into(),
    }
}

fn record() -> Record {
    Record {
        key: key(),
        issued: WallMs(31),
        digest: BodyDigest([32; 16]),
        claim: claim(),
        ending: Some(kept()),
        ended: Some(WallMs(33)),
    }
}

fn running_record() -> Record {
    Record {
        ending: None,
        ended: None,
        ..record()
    }
}

fn shard_map() -> ShardMap {
    let host = |name: &str, incarnation, zone: &str| MapHost {
        instance: instance(name, incarnation),
        zone: zone.into(),
    };
    ShardMap {
        revision: 41,
        hosts: vec![host("host-a", 42, "zone-a"), host("host-b", 43, "zone-b")],
        electorates: BTreeMap::from([
            (44, vec!["host-a".into()]),
            (45, vec!["host-a".into(), "host-b".into()]),
        ]),
        shards: vec![
            ShardView {
                epoch: 46,
                owner: instance("host-a", 42),
                backup: Some(instance("host-b", 43)),
                backup_complete: true,
                cutoff: Some(Cutoff {
                    issued_before: WallMs(47),
                    epoch: 48,
                }),
                electorate: 45,
            },
            ShardView {
                epoch: 49,
                owner: instance("host-b", 43),
                backup: None,
                backup_complete: false,
                cutoff: None,
                electorate: 44,
            },
        ],
    }
}

/// Guards against endings that a host of an earlier version reads as other endings.
#[test]
fn endings_keep_their_bytes() {
    assert_bytes(&kept(), "00c9010a746578742f706c61696e04646f6e65");
    assert_bytes(&Ending::NotKept, "01");
    assert_bytes(&Ending::Unknown, "02");
    assert_bytes(&Ending::NotRun, "03");
}

/// Guards against records that a host of an earlier version reads with other values.
#[test]
fn records_keep_their_bytes() {
    assert_bytes(
        &record(),
        "0b100102030405060708090a0b0c0d0e0f101f2020202020202020202020202020202015160100c9010a746578742f70\
         6c61696e04646f6e650121",
    );
    assert_bytes(
        &running_record(),
        "0b100102030405060708090a0b0c0d0e0f101f2020202020202020202020202020202015160000",
    );
}

/// Guards against messages that a host of an earlier version reads as other messages.
#[test]
fn messages_keep_their_bytes() {
    let claim_request = IdemMessage::Claim {
        shard: 51,
        epoch: 52,
        record: running_record(),
    };
    assert_bytes(
        &claim_request,
        "0033340b100102030405060708090a0b0c0d0e0f101f2020202020202020202020202020202015160000",
    );
    let claim_ack = IdemMessage::ClaimAck {
        shard: 53,
        key: key(),
        claim: claim(),
        accepted: true,
    };
    assert_bytes(&claim_ack, "01350b100102030405060708090a0b0c0d0e0f10151601");
    let done_copy = IdemMessage::DoneCopy {
        shard: 54,
        key: key(),
        claim: claim(),
        ending: Ending::NotKept,
        ended: WallMs(55),
    };
    assert_bytes(
        &done_copy,
        "02360b100102030405060708090a0b0c0d0e0f1015160137",
    );
    let transfer_part = IdemMessage::TransferPart {
        shard: 56,
        epoch: 57,
        part: 58,
        watermark: WallMs(59),
        records: vec![record(), running_record()],
    };
    assert_bytes(
        &transfer_part,
        "0338393a3b020b100102030405060708090a0b0c0d0e0f101f2020202020202020202020202020202015160100c9010a\
         746578742f706c61696e04646f6e6501210b100102030405060708090a0b0c0d0e0f101f202020202020202020202020\
         2020202015160000",
    );
    let transfer_ack = IdemMessage::TransferAck {
        shard: 60,
        epoch: 61,
        part: 62,
    };
    assert_bytes(&transfer_ack, "043c3d3e");
    let query = IdemMessage::TakeoverQuery {
        revision: 63,
        silent: vec![instance("host-a", 64), instance("host-b", 65)],
    };
    assert_bytes(&query, "053f0206686f73742d614006686f73742d6241");
    let vote = IdemMessage::TakeoverVote {
        revision: 66,
        silent: vec![instance("host-b", 67)],
    };
    assert_bytes(&vote, "06420106686f73742d6243");
}

/// Guards against a stored shard map that cannot be read after an update.
#[test]
fn shard_maps_keep_their_bytes() {
    assert_bytes(
        &shard_map(),
        "290206686f73742d612a067a6f6e652d6106686f73742d622b067a6f6e652d62022c0106686f73742d612d0206686f73\
         742d6106686f73742d62022e06686f73742d612a0106686f73742d622b01012f302d3106686f73742d622b0000002c",
    );
    assert_json(
        &shard_map(),
        r#"{"revision":41,"hosts":[{"instance":{"host":"host-a","incarnation":42},"zone":"zone-a"},{"instance":{"host":"host-b","incarnation":43},"zone":"zone-b"}],"electorates":{"44":["host-a"],"45":["host-a","host-b"]},"shards":[{"epoch":46,"owner":{"host":"host-a","incarnation":42},"backup":{"host":"host-b","incarnation":43},"backup_complete":true,"cutoff":{"issued_before":47,"epoch":48},"electorate":45},{"epoch":49,"owner":{"host":"host-b","incarnation":43},"backup":null,"backup_complete":false,"cutoff":null,"electorate":44}]}"#,
    );
}
