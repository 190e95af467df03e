//! The host table: liveness, selection of hosts, coverage of targets and recipients of heartbeats.

use std::net::Ipv4Addr;

use lw_base::prelude::*;
use lw_base::stable_hash;
use lw_mesh::{
    HEARTBEAT_TIMEOUT_MS, Heartbeat, HostAddress, HostStatus, HostTable, ListedHost, Stage,
    StateVersion,
};
use test_case::test_case;

const NOW: MonoMs = MonoMs(100_000);

fn heartbeat(host: &str, region: &str, last: u8, started_ms: u64) -> Heartbeat {
    Heartbeat::new(
        HostAddress {
            host: host.into(),
            ip: Ipv4Addr::new(10, 0, 0, last),
            zone: "z".into(),
            region: region.into(),
            started_ms,
        },
        HostStatus {
            stage: Stage::Ready,
            as_of: StateVersion {
                era: 0,
                revision: 7,
            },
            platform_age_ms: 100,
            platform_contact_age_ms: u16::MAX,
            region_watch_age_ms: u16::MAX,
            is_watch_failing: false,
            has_platform_returned: false,
            capacity_permille: 250,
            services: Vec::new(),
            earlier_states: 0,
        },
    )
}

fn with_stage(stage: Stage, mut heartbeat: Heartbeat) -> Heartbeat {
    heartbeat.status.stage = stage;
    heartbeat
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
    /// The heartbeats in order of receipt, each with its time in milliseconds after [`NOW`].
    heartbeats: Vec<(u64, Heartbeat)>,
    /// The time of the check, in milliseconds after [`NOW`].
    check_after_ms: u64,
    ready: usize,
}

// Guards against a directory that lists a killed host.
#[test_case(&Case { heartbeats: vec![(0, heartbeat("a", "north", 1, 1))], check_after_ms: HEARTBEAT_TIMEOUT_MS + 1, ready: 0 }; "a host past the heartbeat timeout is not ready")]
#[test_case(&Case { heartbeats: vec![(0, heartbeat("a", "north", 1, 1))], check_after_ms: HEARTBEAT_TIMEOUT_MS, ready: 1 }; "a host with a recent heartbeat is ready")]
// Guards against sending callers to a host that has announced its drain.
#[test_case(&Case {
    heartbeats: vec![(0, heartbeat("a", "north", 1, 1)), (5, with_stage(Stage::Leaving, heartbeat("a", "north", 1, 1)))],
    check_after_ms: 10,
    ready: 0,
}; "a leaving host is not ready")]
// Guards against a delayed datagram from an earlier process of the host.
#[test_case(&Case {
    heartbeats: vec![(0, with_stage(Stage::Starting, heartbeat("a", "north", 1, 2))), (5, heartbeat("a", "north", 1, 1))],
    check_after_ms: 10,
    ready: 0,
}; "a heartbeat of an earlier process is ignored")]
// Guards against ignoring a restarted host because its wall clock went back before the restart.
#[test_case(&Case {
    heartbeats: vec![(0, with_stage(Stage::Leaving, heartbeat("a", "north", 1, 9))), (1_500, heartbeat("a", "north", 1, 4))],
    check_after_ms: 1_600,
    ready: 1,
}; "a restarted host with an earlier clock is accepted after a silence")]
#[test_case(&Case { heartbeats: vec![(0, heartbeat("me", "north", 1, 1))], check_after_ms: 1, ready: 0 }; "the heartbeat of the local host is ignored")]
fn ready_hosts_follow_their_heartbeats(case: &Case) {
    let mut table = table();
    for (at, heartbeat) in &case.heartbeats {
        table.record_heartbeat(NOW.plus_ms(*at), heartbeat);
    }
    assert_eq!(
        table.ready(NOW.plus_ms(case.check_after_ms)).count(),
        case.ready
    );
}

/// Guards against a selection of more hosts than a target's limit is divided by, and against an empty one.
#[test]
fn exactly_count_hosts_are_selected() {
    let names = ["a", "b", "c", "d", "e"];
    for key in ["t1", "t2", "t3"] {
        let selected = names.iter().filter(|name| {
            let mut table = HostTable::new((**name).into(), "north".into(), Vec::new(), 250);
            for (index, other) in names.iter().enumerate() {
                table.record_heartbeat(NOW, &heartbeat(other, "north", index as u8, 1));
            }
            table.is_selected(NOW, key, 2)
        });
        assert_eq!(selected.count(), 2, "{key}");
    }
}

/// Guards against a host's share of a limit that grows while hosts receive no heartbeats from one another.
#[test]
fn peak_host_counts_do_not_fall() {
    let mut table = table();
    table.record_heartbeat(NOW, &heartbeat("a", "north", 1, 1));
    table.record_heartbeat(NOW, &heartbeat("b", "south", 2, 1));
    table.prune(NOW.plus_ms(120_000));
    assert_eq!(
        (table.peak_hosts_in_region(), table.peak_hosts_overall()),
        (2, 3)
    );
}

/// Guards against a number of heartbeats that grows with the region, and against hosts that never receive one.
#[test]
fn large_regions_get_heartbeats_in_rounds() {
    let mut table = table();
    for last in 1..=60 {
        table.record_heartbeat(NOW, &heartbeat(&format!("h{last}"), "north", last, 1));
    }
    let mut recipients = FastSet::default();
    for _ in 0..10 {
        let same_region = table.recipients().same_region;
        assert!(same_region.len() <= 12);
        recipients.extend(same_region);
    }
    assert_eq!(recipients.len(), 60);
}

/// Guards against hosts that rarely receive heartbeats from another region: if all senders start with the same round,
/// they send to the same few hosts at a time, and for 6 s a host of a small region knows no region that could serve its
/// callers.
#[test]
fn each_host_often_gets_heartbeats_from_another_region() {
    const SENDERS: u8 = 30;
    const RECEIVERS: u8 = 25;
    // Four heartbeats take 1.6 s, which is below the heartbeat timeout.
    const MAX_SILENT_ROUNDS: usize = 4;
    let mut tables: Vec<HostTable> = (0..SENDERS)
        .map(|sender| {
            let name = format!("south-{sender}");
            let mut table = HostTable::new(name.into(), "south".into(), Vec::new(), 250);
            for receiver in 0..RECEIVERS {
                table.record_heartbeat(
                    NOW,
                    &heartbeat(&format!("north-{receiver}"), "north", receiver, 1),
                );
            }
            table
        })
        .collect();
    let mut silent_rounds = FastMap::default();
    for _ in 0..60 {
        let recipients: FastSet<Ipv4Addr> = tables
            .iter_mut()
            .flat_map(|table| table.recipients().other_regions)
            .collect();
        for receiver in 0..RECEIVERS {
            let ip = Ipv4Addr::new(10, 0, 0, receiver);
            let silent: &mut usize = silent_rounds.entry(ip).or_default();
            *silent = if recipients.contains(&ip) {
                0
            } else {
                *silent + 1
            };
            assert!(*silent < MAX_SILENT_ROUNDS, "{ip} receives no heartbeat");
        }
    }
}

/// Guards against a small host that receives as much traffic as a large one.
#[test]
fn a_larger_host_covers_more_targets() {
    let targets: Vec<(u32, std::sync::Arc<str>)> = (0..60)
        .map(|target| (target, format!("t{target}#1").into()))
        .collect();
    let covered = |capacity_permille: u16| {
        let mut table = HostTable::new("me".into(), "north".into(), Vec::new(), capacity_permille);
        for other in 0..9 {
            table.record_heartbeat(NOW, &heartbeat(&format!("h{other}"), "north", other, 1));
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

/// Guards against a host that finds no other host because the platform lists none yet.
#[test]
fn seeds_get_heartbeats_until_they_are_known() {
    let mut table = table();
    assert_eq!(
        table.recipients().other_regions,
        vec![Ipv4Addr::new(10, 0, 0, 99)]
    );
    table.record_listed_host(ListedHost {
        address: HostAddress {
            host: "s".into(),
            ip: Ipv4Addr::new(10, 0, 0, 99),
            zone: "z".into(),
            region: "north".into(),
            started_ms: 1,
        },
        capacity_permille: 250,
    });
    let recipients = table.recipients();
    assert_eq!(recipients.same_region, vec![Ipv4Addr::new(10, 0, 0, 99)]);
    assert!(recipients.other_regions.is_empty());
}

struct ForgetCase {
    is_listed: bool,
    is_heard: bool,
    silent_ms: u64,
    is_known: bool,
}

// Guards against a host that is cut off, forgets the others, and takes their parts of a limit.
#[test_case(&ForgetCase { is_listed: true, is_heard: true, silent_ms: 60_000, is_known: true }; "listed and silent")]
#[test_case(&ForgetCase { is_listed: true, is_heard: false, silent_ms: 60_000, is_known: true }; "listed and never heard")]
#[test_case(&ForgetCase { is_listed: false, is_heard: true, silent_ms: 20_000, is_known: true }; "no longer listed and silent for some time")]
#[test_case(&ForgetCase { is_listed: false, is_heard: true, silent_ms: 60_000, is_known: false }; "no longer listed and silent for long")]
#[test_case(&ForgetCase { is_listed: false, is_heard: false, silent_ms: 0, is_known: false }; "no longer listed and never heard")]
fn listed_hosts_stay_known(case: &ForgetCase) {
    let mut table = table();
    let listed = heartbeat("a", "north", 1, 5);
    table.record_listed_host(ListedHost {
        address: listed.address.clone(),
        capacity_permille: 250,
    });
    if case.is_heard {
        table.record_heartbeat(NOW, &listed);
    }
    if !case.is_listed {
        table.remove_unlisted_host(NOW, "a");
    }
    table.prune(NOW.plus_ms(case.silent_ms));
    assert_eq!(table.knows_region(), case.is_known);
}

/// Guards against a heartbeat that cannot be decoded, and against accepting a truncated one.
#[test]
fn heartbeats_round_trip() {
    let sent = heartbeat("a", "north", 1, 5);
    let bytes = sent.encode().expect("the heartbeat can be encoded");
    assert_eq!(
        Heartbeat::decode(&bytes).expect("the heartbeat can be decoded"),
        sent
    );
    assert!(Heartbeat::decode(&bytes[..5]).is_err());
}

/// Guards against all hosts calling the platform for the same change, and against a region in which no host does.
#[test]
fn a_few_hosts_of_a_region_watch_the_platform() {
    let names: Vec<String> = (0..20).map(|index| format!("h{index}")).collect();
    let watchers = |platform_age_ms: u16| {
        let watching = names.iter().filter(|name| {
            let mut table = HostTable::new(name.as_str().into(), "north".into(), Vec::new(), 250);
            for (index, other) in names.iter().enumerate() {
                let mut heartbeat = heartbeat(other, "north", index as u8, 1);
                heartbeat.status.platform_age_ms = platform_age_ms;
                table.record_heartbeat(NOW, &heartbeat);
            }
            table.is_watcher(NOW.plus_ms(300))
        });
        watching.count()
    };
    assert_eq!(watchers(100), lw_mesh::WATCHERS_PER_REGION);
    assert_eq!(
        watchers(9_000),
        20,
        "no host has a fresh answer from the platform"
    );
}

/// Guards against targets that no host covers, and against targets that every host of a large region covers.
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
            table.record_heartbeat(NOW, &heartbeat(other, "north", index as u8, 1));
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

/// The hosts of one region that send one another heartbeats every 400 ms.
struct Region {
    now: MonoMs,
    tables: Vec<HostTable>,
    /// The hosts from this index on were killed.
    killed_from: usize,
}

impl Region {
    fn start(hosts: usize) -> Self {
        let name = |host: usize| format!("h{host}");
        let address = |host: usize| {
            let [high, low] = (host as u16).to_be_bytes();
            Ipv4Addr::new(10, 0, high, low)
        };
        let mut tables: Vec<HostTable> = (0..hosts)
            .map(|host| HostTable::new(name(host).into(), "north".into(), Vec::new(), 250))
            .collect();
        for table in &mut tables {
            for host in 0..hosts {
                let mut heartbeat = heartbeat(&name(host), "north", 0, 1);
                heartbeat.address.ip = address(host);
                table.record_heartbeat(NOW, &heartbeat);
            }
        }
        Self {
            now: NOW,
            tables,
            killed_from: hosts,
        }
    }

    /// Lets each live host send a heartbeat, one after the other within 400 ms. Each twentieth datagram is lost.
    fn send_heartbeats(&mut self) {
        let hosts = self.tables.len() as u64;
        for sender in 0..self.killed_from {
            let now = self.now.plus_ms(400 * sender as u64 / hosts);
            let mut heartbeat = heartbeat(&format!("h{sender}"), "north", 0, 1);
            let [high, low] = (sender as u16).to_be_bytes();
            heartbeat.address.ip = Ipv4Addr::new(10, 0, high, low);
            heartbeat.sightings = self.tables[sender].sightings(now);
            let bytes = heartbeat.encode().expect("the heartbeat can be encoded");
            assert!(bytes.len() < 700, "{} bytes", bytes.len());
            for ip in self.tables[sender].recipients().same_region {
                let [_, _, high, low] = ip.octets();
                let receiver = usize::from(u16::from_be_bytes([high, low]));
                let datagram = format!("{} {sender} {receiver}", now.0);
                let is_lost = stable_hash(datagram.as_bytes()).is_multiple_of(20);
                if receiver < self.killed_from && !is_lost {
                    self.tables[receiver].record_heartbeat(now, &heartbeat);
                }
            }
        }
        self.now = self.now.plus_ms(400);
    }

    /// Returns the smallest number of live hosts that a live host knows.
    fn fewest_known(&self) -> usize {
        let live = self.tables[..self.killed_from].iter();
        live.map(|table| table.ready(self.now).count())
            .min()
            .unwrap_or(0)
    }

    /// Returns the number of hosts that consider themselves selected for a key.
    fn selected(&self, key: &str, count: usize) -> usize {
        let live = self.tables[..self.killed_from].iter();
        live.filter(|table| table.is_selected(self.now, key, count))
            .count()
    }
}

/// Guards against hosts of a large region that time out at one another between two heartbeats: they disagree on who covers
/// a target, and more hosts than intended send to a cold one.
#[test_case(12; "each heartbeat reaches all hosts")]
#[test_case(26; "a small region")]
#[test_case(110; "a large region")]
#[test_case(330; "a region of a thousand hosts in three")]
fn all_hosts_of_a_region_know_which_of_them_are_alive(hosts: usize) {
    let mut region = Region::start(hosts);
    for round in 0..20 {
        region.send_heartbeats();
        assert_eq!(region.fewest_known(), hosts - 1, "round {round}");
        for key in ["t1#1", "t2#1"] {
            assert_eq!(region.selected(key, 4), 4, "round {round}");
        }
    }
    region.killed_from = hosts * 3 / 4;
    // The heartbeat timeout and two intervals for the last sightings.
    let rounds = (HEARTBEAT_TIMEOUT_MS + 800).div_ceil(400);
    for _ in 0..rounds {
        region.send_heartbeats();
    }
    let live = region.tables[..region.killed_from].iter();
    let known = live.map(|table| table.ready(region.now).count()).max();
    assert_eq!(
        known,
        Some(region.killed_from - 1),
        "killed hosts are dropped"
    );
    assert_eq!(region.selected("t1#1", 4), 4);
}

struct SharingCase {
    hosts: usize,
    /// Hosts that fall silent, and whether they have announced that they stop.
    silent: usize,
    has_announced: bool,
    silent_ms: u64,
    /// The hosts that share a limit then, the local one included.
    sharing: usize,
}

// Guards against hosts that take over the part of a host that they have forgotten, but that may be alive.
#[test_case(&SharingCase { hosts: 4, silent: 0, has_announced: false, silent_ms: 10_000, sharing: 5 }; "all heard")]
#[test_case(&SharingCase { hosts: 4, silent: 2, has_announced: false, silent_ms: 10_000, sharing: 5 }; "silent")]
#[test_case(&SharingCase { hosts: 4, silent: 2, has_announced: false, silent_ms: 60_000, sharing: 5 }; "forgotten")]
#[test_case(&SharingCase { hosts: 4, silent: 2, has_announced: false, silent_ms: 180_000, sharing: 3 }; "forgotten for long")]
#[test_case(&SharingCase { hosts: 4, silent: 2, has_announced: true, silent_ms: 60_000, sharing: 3 }; "stopped")]
fn forgotten_hosts_keep_their_parts_for_a_time(case: &SharingCase) {
    let mut table = table();
    let names: Vec<String> = (0..case.hosts).map(|index| format!("h{index}")).collect();
    let beat = |index: usize| heartbeat(&names[index], "north", index as u8 + 1, 5);
    for index in 0..case.hosts {
        let stage = match index < case.silent && case.has_announced {
            true => Stage::Leaving,
            false => Stage::Ready,
        };
        table.record_heartbeat(NOW, &with_stage(stage, beat(index)));
    }
    for after_ms in (0..=case.silent_ms).step_by(10_000) {
        let now = NOW.plus_ms(after_ms);
        for index in case.silent..case.hosts {
            table.record_heartbeat(now, &beat(index));
        }
        table.prune(now);
    }
    assert_eq!(table.sharing_hosts(), case.sharing);
    let order = table.sharing_order("a target");
    assert_eq!(order.len(), case.sharing);
    assert_eq!(order.iter().filter(|host| host.is_local).count(), 1);
    let rank = order.iter().position(|host| host.is_local);
    assert_eq!(rank, Some(table.share_rank("a target")));
}

struct LoanSequenceCase {
    /// The start of the process and the number of each heartbeat, in order of arrival.
    heartbeats: &'static [(u64, u32)],
    accepted: &'static [bool],
}

// Guards against a loan that counts twice because its datagram was copied on the way.
#[test_case(&LoanSequenceCase { heartbeats: &[(5, 1), (5, 2)], accepted: &[true, true] }; "in order")]
#[test_case(&LoanSequenceCase { heartbeats: &[(5, 1), (5, 1)], accepted: &[true, false] }; "a copy")]
#[test_case(&LoanSequenceCase { heartbeats: &[(5, 2), (5, 1), (5, 3)], accepted: &[true, false, true] }; "overtaken")]
#[test_case(&LoanSequenceCase { heartbeats: &[(5, 9), (6, 1)], accepted: &[true, true] }; "a later process")]
fn loans_of_a_heartbeat_count_once(case: &LoanSequenceCase) {
    let mut table = table();
    let accepted: Vec<bool> = case
        .heartbeats
        .iter()
        .map(|(started_ms, sequence)| {
            let heartbeat = Heartbeat {
                loan_sequence: *sequence,
                ..heartbeat("a", "north", 1, *started_ms)
            };
            table.record_heartbeat(NOW, &heartbeat);
            table.accepts_loans(&heartbeat)
        })
        .collect();
    assert_eq!(accepted, case.accepted);
}
