//! The bytes that hosts send one another: a renamed variant or a moved field must not change them, because hosts of
//! different versions run beside one another during an upgrade.

use std::net::Ipv4Addr;
use std::sync::Arc;

use bytes::Bytes;
use lw_base::prelude::*;
use lw_mesh::{
    EarlierState, HashRange, Heartbeat, HostAddress, HostStatus, Item, KeyChange, LimitLoan,
    LimitReport, Listing, MirrorItem, MirrorUpdate, PlacedPart, ServiceUsage, Sighting, Stage,
    StateVersion, StatementId, TargetUsage,
};
use lw_quarantine::{CrashReport, PartReport, StreamReport};
use test_case::test_case;

/// Returns a version of the era that the fixtures with a second part state.
fn at(revision: u64) -> StateVersion {
    StateVersion { era: 9, revision }
}

fn heartbeat(stage: Stage) -> Heartbeat {
    Heartbeat {
        address: HostAddress {
            host: "edge-1".into(),
            ip: Ipv4Addr::new(10, 1, 2, 3),
            zone: "z1".into(),
            region: "north".into(),
            started_ms: 1_001,
        },
        status: HostStatus {
            stage,
            as_of: at(1_002),
            platform_age_ms: 1_003,
            platform_contact_age_ms: u16::MAX,
            region_watch_age_ms: u16::MAX,
            is_watch_failing: false,
            has_platform_returned: false,
            capacity_permille: 1_004,
            services: vec![ServiceUsage {
                service: 1_005,
                wait_ms: 1_006,
                targets: 1_007,
                free_slots: 1_008,
            }],
            earlier_states: 8,
        },
        targets: vec![TargetUsage {
            target: 1_009,
            running: 1_010,
            backlog_ms: 1_011,
            prefill_permille: 1_012,
            kilotokens: 1_013,
        }],
        placed: vec![PlacedPart {
            target: 1_014,
            part: 1_015,
            tokens: 1_016,
        }],
        leaving: vec![1_017],
        sightings: Sighting::new(MonoMs(500), 1_018, MonoMs(250), true)
            .into_iter()
            .collect(),
        parts: Vec::new(),
        limits: Vec::new(),
        loans: Vec::new(),
        loan_sequence: 0,
        streams: Vec::new(),
        services_range: HashRange::ALL,
        targets_range: HashRange::ALL,
    }
}

/// Returns a heartbeat with a report on a prompt part, which is its third part.
fn heartbeat_with_report() -> Heartbeat {
    Heartbeat {
        parts: vec![PartReport {
            part: "00000000000003fb".parse().expect("a hexadecimal key"),
            position: 2,
            crashes: vec![CrashReport {
                target: 1_020,
                age_ms: 1_021,
            }],
            survived_age_ms: Some(1_022),
            quarantine_left_ms: 1_023,
        }],
        ..heartbeat(Stage::Ready)
    }
}

#[test]
fn bytes_of_reports_on_prompt_parts_are_stable() {
    let heartbeat = heartbeat_with_report();
    let earlier_parts = [HEARTBEAT_READY, HEARTBEAT_TRAILER].concat();
    let bytes = [earlier_parts.as_slice(), HEARTBEAT_REPORTS].concat();
    assert_eq!(
        heartbeat.encode().expect("the heartbeat can be encoded"),
        bytes
    );
    assert_eq!(
        Heartbeat::decode(&bytes).expect("the fixture can be decoded"),
        heartbeat
    );
}

#[test]
fn bytes_of_the_contact_with_the_platform_are_stable() {
    let mut heartbeat = heartbeat_with_report();
    heartbeat.status.platform_contact_age_ms = 1_024;
    let earlier_parts = [HEARTBEAT_READY, HEARTBEAT_TRAILER, HEARTBEAT_REPORTS].concat();
    let bytes = [earlier_parts.as_slice(), &[128, 8]].concat();
    assert_eq!(
        heartbeat.encode().expect("the heartbeat can be encoded"),
        bytes
    );
    assert_eq!(
        Heartbeat::decode(&bytes).expect("the fixture can be decoded"),
        heartbeat
    );
}

#[test]
fn bytes_of_limits_are_stable() {
    let mut heartbeat = heartbeat_with_report();
    heartbeat.status.platform_contact_age_ms = 1_024;
    heartbeat.limits = vec![LimitReport {
        target: 1_025,
        per_s: Some(8.5),
        age_ms: 1_026,
        statement: StatementId {
            origin: 1_028,
            number: 4,
        },
        asked_per_s: 2.5,
    }];
    heartbeat.loan_sequence = 3;
    heartbeat.status.has_platform_returned = true;
    heartbeat.loans = vec![LimitLoan {
        target: 1_025,
        host: 1_027,
        requests: 2,
    }];
    let earlier_parts = [HEARTBEAT_READY, HEARTBEAT_TRAILER, HEARTBEAT_REPORTS].concat();
    let bytes = [earlier_parts.as_slice(), &[128, 8], HEARTBEAT_LIMITS].concat();
    assert_eq!(
        heartbeat.encode().expect("the heartbeat can be encoded"),
        bytes
    );
    assert_eq!(
        Heartbeat::decode(&bytes).expect("the fixture can be decoded"),
        heartbeat
    );
}

#[test]
fn bytes_of_reports_on_streams_are_stable() {
    let mut heartbeat = heartbeat(Stage::Ready);
    heartbeat.streams = vec![StreamReport {
        part: "00000000000003fb".parse().expect("a hexadecimal key"),
        position: 2,
        crashes: vec![CrashReport {
            target: 1_029,
            age_ms: 1_030,
        }],
        completed_age_ms: Some(1_031),
    }];
    let earlier_parts = [HEARTBEAT_READY, HEARTBEAT_TRAILER].concat();
    let bytes = [earlier_parts.as_slice(), HEARTBEAT_STREAMS].concat();
    assert_eq!(
        heartbeat.encode().expect("the heartbeat can be encoded"),
        bytes
    );
    assert_eq!(
        Heartbeat::decode(&bytes).expect("the fixture can be decoded"),
        heartbeat
    );
}

#[test_case(Stage::Starting, HEARTBEAT_STARTING; "starting")]
#[test_case(Stage::Ready, HEARTBEAT_READY; "ready")]
#[test_case(Stage::Leaving, HEARTBEAT_LEAVING; "leaving")]
fn heartbeat_bytes_are_stable(stage: Stage, fixture: &[u8]) {
    let mut expected = heartbeat(stage);
    let bytes = [fixture, HEARTBEAT_TRAILER].concat();
    assert_eq!(
        expected.encode().expect("the heartbeat can be encoded"),
        bytes,
        "encoded"
    );
    let decoded = Heartbeat::decode(&bytes).expect("the fixture can be decoded");
    assert_eq!(decoded, expected);
    let decoded = Heartbeat::decode(fixture).expect("the first part can be decoded");
    expected.status.as_of.era = 0;
    expected.status.earlier_states = 0;
    expected.leaving.clear();
    expected.sightings.clear();
    assert_eq!(decoded, expected, "from a host that knows no eras");
}

fn changes() -> MirrorUpdate {
    let written = KeyChange {
        key: "a".into(),
        revision: 2_001,
        value: Some(Bytes::from_static(b"va")),
    };
    let removed = KeyChange {
        key: "b".into(),
        revision: 2_002,
        value: None,
    };
    MirrorUpdate::Changes {
        changes: vec![written, removed],
        as_of: at(2_003),
    }
}

fn listing() -> MirrorUpdate {
    let item = |value: &'static [u8], revision| Item {
        value: Bytes::from_static(value),
        revision,
    };
    let items = [
        (Arc::from("c"), item(b"vc", 2_004)),
        (Arc::from("d"), item(b"vd", 2_005)),
    ];
    let earlier = EarlierState {
        key: "e".into(),
        item: MirrorItem {
            value: Bytes::from_static(b"ve"),
            version: StateVersion {
                era: 8,
                revision: 2_007,
            },
        },
        is_removed: false,
        version: StateVersion {
            era: 7,
            revision: 2_010,
        },
        listed_revision: Some(2_008),
        age_ms: 2_009,
    };
    MirrorUpdate::Listing {
        listing: Listing {
            as_of: at(2_006),
            items: items.into(),
        },
        earlier: vec![earlier],
    }
}

#[test_case(&changes(), CHANGES, CHANGES_TRAILER; "changes")]
#[test_case(&listing(), LISTING, LISTING_TRAILER; "listing")]
fn mirror_update_bytes_are_stable(expected: &MirrorUpdate, fixture: &[u8], trailer: &[u8]) {
    let bytes = expected
        .clone()
        .encode()
        .expect("the update can be encoded");
    let with_trailer = [fixture, trailer].concat();
    assert_eq!(bytes, with_trailer, "encoded");
    let decoded = MirrorUpdate::decode(&with_trailer).expect("the fixture can be decoded");
    assert_eq!(decoded, *expected);
    let decoded = MirrorUpdate::decode(fixture).expect("the first part can be decoded");
    let as_of = match &decoded {
        MirrorUpdate::Changes { as_of, .. } => *as_of,
        MirrorUpdate::Listing { listing, .. } => listing.as_of,
    };
    assert_eq!(as_of.era, 0, "from a host that knows no eras");
}

const HEARTBEAT_STARTING: &[u8] = &[
    6, 101, 100, 103, 101, 45, 49, 10, 1, 2, 3, 2, 122, 49, 5, 110, 111, 114, 116, 104, 233, 7, 0,
    234, 7, 235, 7, 236, 7, 1, 237, 7, 238, 7, 239, 7, 240, 7, 1, 241, 7, 242, 7, 243, 7, 244, 7,
    245, 7, 1, 246, 7, 247, 7, 248, 7,
];
const HEARTBEAT_READY: &[u8] = &[
    6, 101, 100, 103, 101, 45, 49, 10, 1, 2, 3, 2, 122, 49, 5, 110, 111, 114, 116, 104, 233, 7, 1,
    234, 7, 235, 7, 236, 7, 1, 237, 7, 238, 7, 239, 7, 240, 7, 1, 241, 7, 242, 7, 243, 7, 244, 7,
    245, 7, 1, 246, 7, 247, 7, 248, 7,
];
const HEARTBEAT_LEAVING: &[u8] = &[
    6, 101, 100, 103, 101, 45, 49, 10, 1, 2, 3, 2, 122, 49, 5, 110, 111, 114, 116, 104, 233, 7, 2,
    234, 7, 235, 7, 236, 7, 1, 237, 7, 238, 7, 239, 7, 240, 7, 1, 241, 7, 242, 7, 243, 7, 244, 7,
    245, 7, 1, 246, 7, 247, 7, 248, 7,
];
/// Era 9, eight earlier states, one leaving target, one sighting of a leaving host 250 ms ago.
const HEARTBEAT_TRAILER: &[u8] = &[9, 8, 1, 249, 7, 1, 250, 7, 133];
const HEARTBEAT_REPORTS: &[u8] = &[1, 251, 7, 2, 1, 252, 7, 253, 7, 1, 254, 7, 255, 7];
const HEARTBEAT_LIMITS: &[u8] = &[
    1, 129, 8, 1, 0, 0, 0, 0, 0, 0, 33, 64, 130, 8, 132, 8, 4, 0, 0, 32, 64, 3, 1, 129, 8, 131, 8,
    2, 1,
];
/// The empty reports and limits, and the contact, stand before the streams.
const HEARTBEAT_STREAMS: &[u8] = &[
    0, 255, 255, 3, 0, 0, 0, 0, 1, 251, 7, 2, 1, 133, 8, 134, 8, 1, 135, 8,
];
const CHANGES_TRAILER: &[u8] = &[9, 0];
const LISTING_TRAILER: &[u8] = &[
    9, 1, 1, 101, 2, 118, 101, 8, 215, 15, 0, 7, 218, 15, 1, 216, 15, 217, 15,
];
const CHANGES: &[u8] = &[
    0, 2, 1, 97, 209, 15, 1, 2, 118, 97, 1, 98, 210, 15, 0, 211, 15,
];
const LISTING: &[u8] = &[
    1, 214, 15, 2, 1, 99, 2, 118, 99, 212, 15, 1, 100, 2, 118, 100, 213, 15,
];

#[test]
fn bytes_of_the_watches_of_a_region_are_stable() {
    let mut heartbeat = heartbeat_with_report();
    heartbeat.status.region_watch_age_ms = 1_025;
    heartbeat.status.is_watch_failing = true;
    let earlier_parts = [HEARTBEAT_READY, HEARTBEAT_TRAILER, HEARTBEAT_REPORTS].concat();
    // No contact, no limits and no reports on streams.
    let empty_parts = [255, 255, 3, 0, 0, 0, 0, 0];
    let bytes = [earlier_parts.as_slice(), &empty_parts, &[129, 8, 1]].concat();
    assert_eq!(
        heartbeat.encode().expect("the heartbeat can be encoded"),
        bytes
    );
    assert_eq!(
        Heartbeat::decode(&bytes).expect("the fixture can be decoded"),
        heartbeat
    );
}

#[test]
fn bytes_of_ranges_are_stable() {
    let mut heartbeat = heartbeat_with_report();
    heartbeat.services_range = HashRange { first: 5, last: 6 };
    let earlier_parts = [HEARTBEAT_READY, HEARTBEAT_TRAILER, HEARTBEAT_REPORTS].concat();
    // No contact, no limits, no reports on streams and no watches.
    let empty_parts = [255, 255, 3, 0, 0, 0, 0, 0, 255, 255, 3, 0];
    let ranges = [5, 6, 0, 255, 255, 255, 255, 15];
    let bytes = [earlier_parts.as_slice(), &empty_parts, &ranges].concat();
    assert_eq!(
        heartbeat.encode().expect("the heartbeat can be encoded"),
        bytes
    );
    assert_eq!(
        Heartbeat::decode(&bytes).expect("the fixture can be decoded"),
        heartbeat
    );
}
