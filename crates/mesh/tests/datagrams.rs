//! Heartbeats that exceed a datagram.

use std::net::Ipv4Addr;

use lw_base::prelude::*;
use lw_base::stable_hash;
use lw_mesh::{
    DividedHeartbeat, Heartbeat, HostAddress, HostStatus, HostTable, LimitLoan, LimitReport,
    MAX_DATAGRAM_BYTES, PlacedPart, ServiceUsage, Stage, StatementId, TargetUsage,
};
use lw_quarantine::{CrashReport, PartReport, StreamReport};
use test_case::test_case;

const NOW: MonoMs = MonoMs(100_000);
/// The most bytes of the datagrams of a heartbeat to one host: two datagrams with bounded lists, and three each with targets
/// and with services.
const MAX_HEARTBEAT_BYTES: usize = 8 * MAX_DATAGRAM_BYTES;

#[derive(Clone, Copy)]
struct Case {
    services: u32,
    targets: u32,
    leaving: u32,
    reports: u64,
    /// One datagram in this many is lost.
    loss_one_in: u64,
    /// Everything has arrived after this many heartbeats to the recipient.
    max_heartbeats: usize,
}

/// A host that takes turns has stated everything after 8 s.
const MAX_TURN_HEARTBEATS: usize = 20;

const SMALL: Case = Case {
    services: 4,
    targets: 20,
    leaving: 0,
    reports: 0,
    loss_one_in: u64::MAX,
    max_heartbeats: 1,
};

fn hash(kind: &str, index: u32) -> u32 {
    stable_hash(format!("{kind} {index}").as_bytes()) as u32
}

fn heartbeat(case: Case) -> Heartbeat {
    let address = HostAddress {
        host: "edge-naroda-hall-1".into(),
        ip: Ipv4Addr::new(10, 0, 0, 1),
        zone: "naroda-hall".into(),
        region: "north".into(),
        started_ms: 1_700_000_000_000,
    };
    let services = (0..case.services).map(|index| ServiceUsage {
        service: hash("service", index),
        wait_ms: 5,
        targets: 300,
        free_slots: 1_000 + index as u16 % 1_000,
    });
    let status = HostStatus {
        stage: Stage::Ready,
        region_watch_age_ms: 600,
        capacity_permille: 250,
        services: services.collect(),
        ..HostStatus::default()
    };
    let mut heartbeat = Heartbeat::new(address, status);
    heartbeat.targets = (0..case.targets)
        .map(|index| TargetUsage {
            target: hash("target", index),
            running: 200,
            backlog_ms: 300,
            prefill_permille: 400,
            kilotokens: 500,
        })
        .collect();
    heartbeat.leaving = (0..case.leaving)
        .map(|index| hash("leaving", index))
        .collect();
    for index in 0..case.reports {
        let crashes = vec![
            CrashReport {
                target: 7,
                age_ms: 70_000
            };
            6
        ];
        heartbeat.parts.push(PartReport {
            part: format!("{:016x}", stable_hash(&index.to_be_bytes()))
                .parse()
                .expect("a hexadecimal key"),
            position: 1,
            crashes: crashes.clone(),
            survived_age_ms: Some(80_000),
            quarantine_left_ms: 90_000,
        });
        heartbeat.streams.push(StreamReport {
            part: heartbeat.parts[index as usize].part,
            position: 1,
            crashes,
            completed_age_ms: None,
        });
        heartbeat.limits.push(LimitReport {
            target: index as u32,
            per_s: Some(4.5),
            age_ms: 60_000,
            statement: StatementId {
                origin: 1,
                number: 2,
            },
            asked_per_s: 3.0,
        });
        heartbeat.loans.push(LimitLoan {
            target: index as u32,
            host: 5,
            requests: 2,
        });
        heartbeat.placed.push(PlacedPart {
            target: index as u32,
            part: stable_hash(&index.to_be_bytes()),
            tokens: 13_300,
        });
    }
    heartbeat.loan_sequence = u32::from(case.reports > 0);
    heartbeat
}

fn table() -> HostTable {
    HostTable::new("me".into(), "south".into(), Vec::new(), 250)
}

// Guards against hosts that lose one another because what they report grows with the deployment: ten times the largest sites
// and more.
#[test_case(SMALL; "one datagram")]
#[test_case(Case { services: 300, ..SMALL }; "300 services")]
#[test_case(Case { targets: 300, ..SMALL }; "300 targets")]
#[test_case(Case { services: 300, targets: 300, leaving: 300, reports: 24, max_heartbeats: 4, ..SMALL }; "many of each")]
#[test_case(Case { targets: 2_150, leaving: 2_150, max_heartbeats: MAX_TURN_HEARTBEATS, ..SMALL }; "all targets of ten times the largest site")]
#[test_case(Case { services: 3_000, targets: 0, max_heartbeats: MAX_TURN_HEARTBEATS, ..SMALL }; "3000 services")]
#[test_case(Case { services: 1_200, max_heartbeats: MAX_TURN_HEARTBEATS, loss_one_in: 5, ..SMALL }; "a fifth of the datagrams lost")]
#[test_case(Case { reports: 24, ..SMALL }; "reports alone")]
fn heartbeats_of_any_size_arrive_in_datagrams(case: Case) {
    let whole = heartbeat(case);
    let divided = DividedHeartbeat::new(&whole).expect("the heartbeat can be encoded");
    let mut table = table();
    let mut known_targets: FastSet<u32> = FastSet::default();
    let mut loans = 0;
    let mut heartbeats = 0;
    let is_known = |table: &HostTable, known_targets: &FastSet<u32>| {
        let has_service = |index| table.service_usage(NOW, hash("service", index)).count() == 1;
        (0..case.services).all(has_service) && known_targets.len() == whole.targets.len()
    };
    while !is_known(&table, &known_targets) {
        heartbeats += 1;
        assert!(heartbeats <= case.max_heartbeats, "not complete");
        let mut bytes_sent = 0;
        let mut datagrams: Vec<Vec<u8>> = divided
            .due(heartbeats)
            .map(|index| divided.all()[index].encode())
            .map(|bytes| bytes.expect("the datagram can be encoded"))
            .collect();
        // Datagrams arrive in any order.
        datagrams.reverse();
        for (index, bytes) in datagrams.iter().enumerate() {
            assert!(bytes.len() <= MAX_DATAGRAM_BYTES, "{} bytes", bytes.len());
            bytes_sent += bytes.len();
            let draw = stable_hash(format!("{heartbeats} {index}").as_bytes());
            if draw.is_multiple_of(case.loss_one_in) {
                continue;
            }
            let received = Heartbeat::decode(bytes).expect("the datagram can be decoded");
            assert!(table.record_heartbeat(NOW, &received));
            assert_eq!(
                table.ready(NOW).count(),
                1,
                "any datagram shows that its sender is alive"
            );
            let listed = received.targets.iter().map(|usage| usage.target);
            known_targets.extend(listed.filter(|hash| received.targets_range.contains(*hash)));
            loans += usize::from(table.accepts_loans(&received)) * received.loans.len();
        }
        assert!(bytes_sent <= MAX_HEARTBEAT_BYTES, "{bytes_sent} bytes");
        println!("{} datagrams, {bytes_sent} bytes", datagrams.len());
    }
    assert_eq!(loans, whole.loans.len());
}

// Guards against a target or service that a host takes for unused, or for used, because a datagram does not list it.
#[test]
fn the_ranges_of_datagrams_contain_each_hash_once() {
    let whole = heartbeat(Case {
        services: 500,
        targets: 500,
        ..SMALL
    });
    let divided = DividedHeartbeat::new(&whole).expect("the heartbeat can be encoded");
    let hashes = (0..u32::MAX).step_by(1_000_003).chain([u32::MAX]);
    for hash in hashes {
        let datagrams = divided.all().iter();
        let services = datagrams
            .clone()
            .filter(|d| d.services_range.contains(hash));
        let targets = datagrams.filter(|d| d.targets_range.contains(hash));
        assert_eq!((services.count(), targets.count()), (1, 1), "{hash}");
    }
    for datagram in divided.all() {
        let services = &datagram.status.services;
        assert!(
            services
                .iter()
                .all(|usage| datagram.services_range.contains(usage.service))
        );
    }
}

/// Guards against the usage of a service that has gone, in a datagram with other services.
#[test]
fn a_service_that_its_range_does_not_list_is_gone() {
    let mut whole = heartbeat(Case {
        services: 500,
        ..SMALL
    });
    let mut table = table();
    let gone = whole.status.services[250].service;
    for usages in [500, 499] {
        let divided = DividedHeartbeat::new(&whole).expect("the heartbeat can be encoded");
        for datagram in divided.all() {
            table.record_heartbeat(NOW, datagram);
        }
        assert_eq!(table.service_usage(NOW, gone).count(), usages - 499);
        whole.status.services.retain(|usage| usage.service != gone);
    }
}
