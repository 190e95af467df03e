//! Encoded bytes of the types that hosts exchange.
//!
//! A renamed, moved or retyped field or variant would break hosts of an earlier version.

use std::fmt::Debug;

use lw_base::WallMs;
use lw_member::{
    MemberMessage, MemberState, MemberUpdate, ProbePayload, RegionEntry, RegionLoad, RegionSummary,
    ServiceUse,
};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Asserts that `fixture` (postcard, in hexadecimal) decodes to `value`, and that `value` encodes to it.
fn assert_bytes<T: Serialize + DeserializeOwned + PartialEq + Debug>(value: &T, fixture: &str) {
    assert_eq!(&decoded::<T>(fixture), value);
    assert_eq!(encoded(value), fixture, "{value:?}");
}

fn decoded<T: DeserializeOwned>(fixture: &str) -> T {
    let bytes: Vec<u8> = (0..fixture.len())
        .step_by(2)
        .map(|at| u8::from_str_radix(&fixture[at..at + 2], 16).unwrap())
        .collect();
    postcard::from_bytes(&bytes).unwrap()
}

fn encoded<T: Serialize>(value: &T) -> String {
    let bytes = postcard::to_stdvec(value).unwrap();
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn update(state: MemberState) -> MemberUpdate {
    MemberUpdate {
        host: "host-a".into(),
        zone: "zone-a".into(),
        address: "address-a".into(),
        incarnation: 11,
        refutation: 12,
        state,
    }
}

fn payload() -> ProbePayload {
    ProbePayload {
        nonce: 21,
        wall: WallMs(22),
        conf_revision: 23,
        map_revision: 24,
        updates: vec![update(MemberState::Suspect)],
    }
}

fn summary() -> RegionSummary {
    let service = |number: u8| ServiceUse {
        service: [number; 8],
        slots: 30 + u32::from(number),
        load_permille: 40 + u16::from(number),
    };
    RegionSummary {
        region: "region-a".into(),
        version: 51,
        load: RegionLoad {
            capacity_slots: 52,
            load_permille: 53,
            services: vec![service(1), service(2)],
        },
        conf_revision: 54,
        relays: vec!["address-b".into(), "address-c".into()],
    }
}

/// Guards against a member state or an update that a host of an earlier version reads with other values.
#[test]
fn updates_keep_their_bytes() {
    assert_bytes(
        &update(MemberState::Alive),
        "06686f73742d61067a6f6e652d6109616464726573732d610b0c00",
    );
    assert_bytes(
        &update(MemberState::Leaving),
        "06686f73742d61067a6f6e652d6109616464726573732d610b0c01",
    );
    assert_bytes(
        &update(MemberState::Suspect),
        "06686f73742d61067a6f6e652d6109616464726573732d610b0c02",
    );
    assert_bytes(
        &update(MemberState::Dead),
        "06686f73742d61067a6f6e652d6109616464726573732d610b0c03",
    );
}

/// Guards against messages that a host of an earlier version reads as other messages.
#[test]
fn messages_keep_their_bytes() {
    assert_bytes(
        &MemberMessage::Probe(payload()),
        "00151617180106686f73742d61067a6f6e652d6109616464726573732d610b0c02",
    );
    let ack = MemberMessage::ProbeAck {
        payload: payload(),
        evidence: true,
    };
    assert_bytes(
        &ack,
        "01151617180106686f73742d61067a6f6e652d6109616464726573732d610b0c0201",
    );
    let indirect_probe = MemberMessage::IndirectProbe {
        nonce: 61,
        target: "host-b".into(),
    };
    assert_bytes(&indirect_probe, "023d06686f73742d62");
    let indirect_ack = MemberMessage::IndirectAck {
        nonce: 62,
        target: "host-c".into(),
    };
    assert_bytes(&indirect_ack, "033e06686f73742d63");
    let digest = MemberMessage::RegionDigest {
        versions: vec![(63, 64), (65, 66)],
        address: "address-d".into(),
        reply: true,
    };
    assert_bytes(&digest, "04023f40414209616464726573732d6401");
    let entries = MemberMessage::RegionEntries(vec![RegionEntry::Full(summary())]);
    assert_bytes(
        &entries,
        "05010008726567696f6e2d613334350201010101010101011f290202020202020202202a360209616464726573732d62\
         09616464726573732d63",
    );
    assert_bytes(&MemberMessage::Leaving, "06");
}

/// Guards against short summaries that a relay of an earlier version reads with other values.
///
/// Their fields are private to the crate, so the decoded value is compared by its debug text.
#[test]
fn short_summaries_keep_their_bytes() {
    let fixture = "014748010203044966024b4c";
    let entry: RegionEntry = decoded(fixture);
    assert_eq!(
        format!("{entry:?}"),
        "Short(ShortSummary { region: 71, version: 72, base: [1, 2, 3, 4], conf_revision: 73, load_permille: 102, \
         services: [75, 76] })"
    );
    assert_eq!(encoded(&entry), fixture);
}
