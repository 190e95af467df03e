//! What a host believes of the others from their beats.

use std::net::Ipv4Addr;

use lw_base::prelude::*;
use lw_mesh::{HEARTBEAT_TIMEOUT_MS, Heartbeat, HostAddress, HostStatus, HostTable, Stage};
use test_case::test_case;

const NOW: MonoMs = MonoMs(100_000);

fn beat(host: &str, region: &str, last: u8, started_ms: u64) -> Heartbeat {
    Heartbeat {
        address: HostAddress {
            host: host.into(),
            ip: Ipv4Addr::new(10, 0, 0, last),
            zone: "z".into(),
            region: region.into(),
            started_ms,
        },
        status: HostStatus {
            stage: Stage::Ready,
            as_of: 7,
            platform_age_ms: 100,
            capacity_permille: 250,
            services: Vec::new(),
        },
        targets: Vec::new(),
        placed: Vec::new(),
    }
}

fn in_stage(stage: Stage, mut beat: Heartbeat) -> Heartbeat {
    beat.status.stage = stage;
    beat
}

fn table() -> HostTable {
    HostTable::new(
        "me".into(),
        "north".into(),
        vec![Ipv4Addr::new(10, 0, 0, 99)],
        250,
    )
}

struct Case {
    /// Beats in order, with the time of each.
    beats: Vec<(u64, Heartbeat)>,
    asked_at: u64,
    ready: usize,
}

// Guards against a directory that names a host which was killed.
#[test_case(&Case { beats: vec![(0, beat("a", "north", 1, 1))], asked_at: HEARTBEAT_TIMEOUT_MS + 1, ready: 0 }; "a silent host is not ready")]
#[test_case(&Case { beats: vec![(0, beat("a", "north", 1, 1))], asked_at: HEARTBEAT_TIMEOUT_MS, ready: 1 }; "a host that was heard is ready")]
// Guards against callers who are sent to a host that has said it leaves.
#[test_case(&Case {
    beats: vec![(0, beat("a", "north", 1, 1)), (5, in_stage(Stage::Leaving, beat("a", "north", 1, 1)))],
    asked_at: 10,
    ready: 0,
}; "a host that leaves is not ready")]
// Guards against a late datagram of a process that has ended.
#[test_case(&Case {
    beats: vec![(0, in_stage(Stage::Starting, beat("a", "north", 1, 2))), (5, beat("a", "north", 1, 1))],
    asked_at: 10,
    ready: 0,
}; "a former process is not believed")]
// Guards against a host that stays unknown because its clock went back before its restart.
#[test_case(&Case {
    beats: vec![(0, in_stage(Stage::Leaving, beat("a", "north", 1, 9))), (1_500, beat("a", "north", 1, 4))],
    asked_at: 1_600,
    ready: 1,
}; "a restarted host with an earlier clock is believed after a silence")]
#[test_case(&Case { beats: vec![(0, beat("me", "north", 1, 1))], asked_at: 1, ready: 0 }; "the own beat is not counted")]
fn hosts_are_judged_by_their_beats(case: &Case) {
    let mut table = table();
    for (at, beat) in &case.beats {
        table.record_heartbeat(NOW.plus_ms(*at), beat);
    }
    assert_eq!(table.ready(NOW.plus_ms(case.asked_at)).count(), case.ready);
}

/// Guards against more hosts at a cold target than share its limit, and against none.
#[test]
fn exactly_the_wanted_hosts_share_a_scarce_thing() {
    let names = ["a", "b", "c", "d", "e"];
    for key in ["t1", "t2", "t3"] {
        let sharers = names.iter().filter(|name| {
            let mut table = HostTable::new((**name).into(), "north".into(), Vec::new(), 250);
            for (index, other) in names.iter().enumerate() {
                table.record_heartbeat(NOW, &beat(other, "north", index as u8, 1));
            }
            table.is_selected(NOW, key, 2)
        });
        assert_eq!(sharers.count(), 2, "{key}");
    }
}

/// Guards against a share that grows while hosts do not hear one another.
#[test]
fn the_number_of_sharers_does_not_fall() {
    let mut table = table();
    table.record_heartbeat(NOW, &beat("a", "north", 1, 1));
    table.record_heartbeat(NOW, &beat("b", "south", 2, 1));
    table.prune(NOW.plus_ms(120_000));
    assert_eq!(
        (table.peak_hosts_in_region(), table.peak_hosts_overall()),
        (2, 3)
    );
}

/// Guards against beats whose number grows with the region, and against hosts that never get one.
#[test]
fn large_regions_are_told_in_turns() {
    let mut table = table();
    for last in 1..=60 {
        table.record_heartbeat(NOW, &beat(&format!("h{last}"), "north", last, 1));
    }
    let mut told = FastSet::default();
    for _ in 0..10 {
        let near = table.recipients().same_region;
        assert!(near.len() <= 12);
        told.extend(near);
    }
    assert_eq!(told.len(), 60);
}

/// Guards against a region that hears of another one rarely: with the same first turn, all hosts spoke to the same few
/// at a time, and for 6 s a host of a small region knew no region that could serve its callers.
#[test]
fn each_host_often_hears_of_another_region() {
    const SENDERS: u8 = 30;
    const HEARERS: u8 = 25;
    // Four beats take 1.6 s, which is below the time for which a word counts.
    const MOST_TURNS: usize = 4;
    let mut tables: Vec<HostTable> = (0..SENDERS)
        .map(|sender| {
            let name = format!("south-{sender}");
            let mut table = HostTable::new(name.into(), "south".into(), Vec::new(), 250);
            for hearer in 0..HEARERS {
                table.record_heartbeat(NOW, &beat(&format!("north-{hearer}"), "north", hearer, 1));
            }
            table
        })
        .collect();
    let mut silent_turns = FastMap::default();
    for _ in 0..60 {
        let told: FastSet<Ipv4Addr> = tables
            .iter_mut()
            .flat_map(|table| table.recipients().other_regions)
            .collect();
        for hearer in 0..HEARERS {
            let ip = Ipv4Addr::new(10, 0, 0, hearer);
            let silent: &mut usize = silent_turns.entry(ip).or_default();
            *silent = if told.contains(&ip) { 0 } else { *silent + 1 };
            assert!(*silent < MOST_TURNS, "{ip} hears nothing");
        }
    }
}

/// Guards against a small host that carries as much traffic as a large one.
#[test]
fn a_larger_host_covers_more_targets() {
    let targets: Vec<(u32, std::sync::Arc<str>)> = (0..60)
        .map(|target| (target, format!("t{target}#1").into()))
        .collect();
    let covered = |capacity_permille: u16| {
        let mut table = HostTable::new("me".into(), "north".into(), Vec::new(), capacity_permille);
        for other in 0..9 {
            table.record_heartbeat(NOW, &beat(&format!("h{other}"), "north", other, 1));
        }
        let coverage = table.coverage(NOW, std::slice::from_ref(&targets));
        targets
            .iter()
            .filter(|(hash, _)| coverage.covered_by_self(*hash))
            .count()
    };
    let (small, large) = (covered(120), covered(1_000));
    assert!(large > 2 * small, "{small} and {large} targets");
}

/// Guards against a host that finds nobody because the platform lists nobody yet.
#[test]
fn seeds_are_told_until_they_are_known() {
    let mut table = table();
    assert_eq!(
        table.recipients().other_regions,
        vec![Ipv4Addr::new(10, 0, 0, 99)]
    );
    table.record_listed_host(HostAddress {
        host: "s".into(),
        ip: Ipv4Addr::new(10, 0, 0, 99),
        zone: "z".into(),
        region: "north".into(),
        started_ms: 1,
    });
    let recipients = table.recipients();
    assert_eq!(recipients.same_region, vec![Ipv4Addr::new(10, 0, 0, 99)]);
    assert!(recipients.other_regions.is_empty());
}

/// Guards against a datagram that cannot be read again.
#[test]
fn beats_survive_the_wire() {
    let sent = beat("a", "north", 1, 5);
    let bytes = sent.encode().expect("a beat is written");
    assert_eq!(Heartbeat::decode(&bytes).expect("a beat is read"), sent);
    assert!(Heartbeat::decode(&bytes[..5]).is_err());
}

/// Guards against hosts that all call the platform for the same change, and against a region where nobody does.
#[test]
fn a_few_hosts_of_a_region_watch_the_platform() {
    let names: Vec<String> = (0..20).map(|index| format!("h{index}")).collect();
    let watchers = |platform_age_ms: u16| {
        let watching = names.iter().filter(|name| {
            let mut table = HostTable::new(name.as_str().into(), "north".into(), Vec::new(), 250);
            for (index, other) in names.iter().enumerate() {
                let mut beat = beat(other, "north", index as u8, 1);
                beat.status.platform_age_ms = platform_age_ms;
                table.record_heartbeat(NOW, &beat);
            }
            table.is_watcher(NOW.plus_ms(300))
        });
        watching.count()
    };
    assert_eq!(watchers(100), lw_mesh::WATCHERS_PER_REGION);
    assert_eq!(watchers(9_000), 20, "nobody hears the platform");
}

/// Guards against targets that no host uses, and against targets that every host of a large region uses.
#[test]
fn each_target_is_covered_by_a_few_hosts() {
    let names: Vec<String> = (0..25).map(|index| format!("h{index}")).collect();
    let targets: Vec<(u32, std::sync::Arc<str>)> = (0..50)
        .map(|index| (index, format!("t{index}").into()))
        .collect();
    let mut covered = vec![0; targets.len()];
    for name in &names {
        let mut table = HostTable::new(name.as_str().into(), "north".into(), Vec::new(), 250);
        for (index, other) in names.iter().enumerate() {
            table.record_heartbeat(NOW, &beat(other, "north", index as u8, 1));
        }
        let coverage = table.coverage(NOW, std::slice::from_ref(&targets));
        for (hash, _) in &targets {
            let own = usize::from(coverage.covered_by_self(*hash));
            covered[*hash as usize] += own;
            assert_eq!(coverage.other_hosts(*hash).len() + own, 3);
        }
    }
    assert!(covered.iter().all(|hosts| *hosts == 3), "{covered:?}");
}
