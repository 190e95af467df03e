//! Membership during link failures, pauses, network partitions and restarts.

mod harness;

use std::sync::Arc;

use harness::Simulation;
use lw_base::MonoMs;
use lw_member::MemberState::{Alive, Dead, Leaving, Suspect};
use lw_member::{MAX_SUMMARY_SERVICES, RegionLoad, ServiceUse};
use rand::Rng;
use test_case::test_case;

fn settled(hosts: usize, seed: u64) -> Simulation {
    let mut sim = Simulation::new(1, hosts, seed);
    sim.run_for(30_000);
    assert!(
        sim.all_alive(),
        "seed {seed}: a host does not know every other host"
    );
    sim
}

/// Guards against hosts that never learn of each other when they know only one seed.
#[test_case(2)]
#[test_case(8)]
#[test_case(40)]
fn hosts_join_from_one_seed(hosts: usize) {
    let sim = settled(hosts, 1);
    let relays = sim.nodes[0].membership.relays();
    assert_eq!(relays.len(), 2);
    assert!(
        sim.nodes
            .iter()
            .all(|node| node.membership.relays() == relays)
    );
}

/// Guards against a stopped host that others still see as alive, and against one that is declared dead before it can
/// refute the suspicion.
#[test]
fn a_stopped_host_is_dead_after_its_suspicion() {
    let mut sim = settled(8, 2);
    sim.nodes[3].running = false;
    sim.run_for(7_000);
    assert_eq!(sim.count_seen_as(3, Dead), 0);
    sim.run_for(23_000);
    assert_eq!(sim.count_seen_as(3, Dead), 7);
}

/// Guards against a host that is declared dead because of one broken link direction, although others reach it.
#[test]
fn a_one_way_link_leaves_all_hosts_alive() {
    let mut sim = settled(8, 3);
    sim.cut_links.insert((1, 2));
    for _ in 0..60 {
        sim.run_for(1_000);
        assert_eq!(sim.count_seen_as(2, Dead) + sim.count_seen_as(1, Dead), 0);
    }
    let last_acked_at = sim.nodes[1].membership.last_acked_at("host-number-002");
    let age = MonoMs(sim.now).since_ms(last_acked_at.unwrap());
    assert!(
        age > 50_000,
        "an indirect acknowledgement was counted as evidence"
    );
}

/// Guards against a host that is declared dead after a short pause, and against one that is not declared dead in a long
/// pause or not alive after it.
#[test_case(3_000, false)]
#[test_case(40_000, true)]
fn a_paused_member_is_dead_only_after_a_long_pause(pause_ms: u64, lost: bool) {
    let mut sim = settled(8, 4);
    sim.nodes[5].running = false;
    sim.run_for(pause_ms);
    assert_eq!(sim.count_seen_as(5, Dead) > 0, lost);
    sim.nodes[5].running = true;
    let resumed = sim.now;
    sim.run_for(40_000);
    assert!(sim.all_alive(), "the member does not refute its suspicion");
    let changes = &sim.nodes[5].changes;
    let declared_dead = changes
        .iter()
        .filter(|(at, update)| *at > resumed && update.state == Dead);
    assert_eq!(
        declared_dead.count(),
        0,
        "the paused member declared others dead"
    );
}

/// Guards against a host that is declared dead after a false suspicion.
#[test]
fn a_false_suspicion_is_refuted() {
    let mut sim = settled(8, 5);
    let all: Vec<usize> = (0..8).filter(|node| *node != 6).collect();
    sim.cut_links.extend(all.iter().map(|node| (6, *node)));
    while sim.count_seen_as(6, Suspect) == 0 {
        sim.run_for(100);
    }
    sim.heal();
    for _ in 0..200 {
        sim.run_for(100);
        assert_eq!(sim.count_seen_as(6, Dead), 0);
    }
    assert!(sim.all_alive());
}

/// Guards against a host list that is out of date and changes the state of members. It may only add addresses to probe
/// and remove dead members.
#[test]
fn an_outdated_host_list_changes_no_live_member() {
    let mut sim = settled(4, 6);
    sim.nodes[3].running = false;
    sim.run_for(30_000);
    let entry = |index: usize| -> (Arc<str>, Arc<str>) {
        (
            format!("host-number-{index:03}").into(),
            index.to_string().into(),
        )
    };
    let stale: Vec<_> = [1, 3].into_iter().map(entry).collect();
    sim.nodes[0].membership.on_host_list(&stale);
    sim.run_for(5_000);
    assert_eq!(
        sim.state(0, 2),
        Some(Alive),
        "not on the list, but it acknowledges probes"
    );
    assert_eq!(
        sim.state(0, 3),
        Some(Dead),
        "on the list, but it does not acknowledge probes"
    );
    sim.nodes[0].membership.on_host_list(&[entry(1), entry(2)]);
    assert_eq!(sim.state(0, 3), None);
}

/// Guards against a network partition that is not detected, one whose end is not detected, and a minority that sees
/// itself as the region.
#[test]
fn members_find_each_other_after_a_partition() {
    let mut sim = settled(8, 7);
    sim.split(3);
    sim.run_for(40_000);
    let now = MonoMs(sim.now);
    assert!((0..3).all(|node| !sim.nodes[node].membership.sees_half(now)));
    assert!((3..8).all(|node| sim.nodes[node].membership.sees_half(now)));
    assert_eq!(sim.count_seen_as(0, Dead), 5);
    sim.heal();
    sim.run_for(60_000);
    assert!(sim.all_alive());
    let now = MonoMs(sim.now);
    assert!(sim.nodes.iter().all(|node| node.membership.sees_half(now)));
}

/// Guards against a restarted host that others see as its former process.
#[test]
fn a_restarted_host_has_a_new_incarnation() {
    let mut sim = settled(8, 8);
    sim.restart(2, 0);
    sim.run_for(20_000);
    assert!(sim.all_alive());
    let incarnation = sim.nodes[2].incarnation;
    for at in (0..8).filter(|at| *at != 2) {
        let mut members = sim.nodes[at].membership.members();
        let member = members.find(|update| &*update.host == "host-number-002");
        assert_eq!(member.unwrap().incarnation, incarnation);
    }
}

/// Guards against a leaving host that is still selected as a relay.
#[test]
fn a_leaving_host_is_not_a_relay() {
    let mut sim = settled(8, 9);
    let relay = sim.nodes[0].membership.relays()[0].clone();
    let index: usize = relay[12..].parse().unwrap();
    let mut out = Vec::new();
    sim.nodes[index].membership.leave(&mut out);
    sim.run_for(10_000);
    assert_eq!(sim.count_seen_as(index, Leaving), 7);
    assert!(
        sim.nodes
            .iter()
            .all(|node| !node.membership.relays().contains(&relay))
    );
}

/// Guards against hosts that report their own clock as wrong because the clock of another host is wrong.
#[test]
fn a_wrong_clock_is_detected_by_its_host_only() {
    let mut sim = settled(8, 10);
    sim.nodes[4].wall_offset = -1_500;
    sim.nodes[5].wall_offset = 700;
    sim.run_for(70_000);
    let now = MonoMs(sim.now);
    for (index, node) in sim.nodes.iter().enumerate() {
        assert_eq!(node.membership.clock_ok(now), index != 4, "host {index}");
    }
}

/// Guards against a state from which the region does not recover, after random message loss, network partitions, pauses
/// and restarts.
#[test]
fn the_region_recovers_from_random_failures() {
    for seed in 100..130 {
        println!("seed {seed}");
        let mut sim = settled(8, seed);
        for _ in 0..10 {
            let node = sim.rng.random_range(0..8);
            match sim.rng.random_range(0..6) {
                0 => sim.split(node),
                1 => sim.loss_ratio = 0.3,
                2 => sim.nodes[node].running = !sim.nodes[node].running,
                3 => sim.restart(node, (node + 1) % 8),
                4 => sim.cut_links.extend((0..8).map(|other| (node, other))),
                _ => sim.heal(),
            }
            sim.run_for(15_000);
        }
        sim.heal();
        sim.nodes.iter_mut().for_each(|node| node.running = true);
        sim.run_for(90_000);
        assert!(sim.all_alive(), "seed {seed}: {}", sim.state_table());
    }
}

fn load(services: u8, load_permille: u16) -> RegionLoad {
    let service = |number: u8| ServiceUse {
        service: [number; 8],
        slots: 100,
        load_permille: load_permille + u16::from(number),
    };
    RegionLoad {
        capacity_slots: 100 * u32::from(services),
        load_permille,
        services: (0..services).map(service).collect(),
    }
}

/// Guards against hosts that keep old slots, services or addresses because short summaries omit them: after a change of
/// the services and after a restart, while a fifth of the messages is lost.
#[test]
fn short_summaries_lead_to_full_ones() {
    println!("seed 31");
    let mut sim = Simulation::new(4, 6, 31);
    sim.loss_ratio = 0.2;
    for (round, services) in [2, 3, 12, 1].into_iter().enumerate() {
        let expected = load(services, 100 * (1 + u16::try_from(round).unwrap()));
        for node in &mut sim.nodes {
            node.membership.set_load(expected.clone());
        }
        sim.restart(7 + 6 * (round % 2), 6 * (1 + round % 2));
        sim.nodes[7 + 6 * (round % 2)]
            .membership
            .set_load(expected.clone());
        sim.run_for(60_000);
        let expected = expected.bounded();
        assert!(expected.services.len() <= MAX_SUMMARY_SERVICES);
        for node in &sim.nodes {
            let summaries: Vec<_> = node.membership.region_summaries().collect();
            assert_eq!(summaries.len(), 4);
            assert!(summaries.iter().all(|summary| summary.load == expected));
        }
    }
}

/// Guards against a load of unlisted services that includes the load of the listed ones.
#[test]
fn unlisted_services_have_the_rest_of_the_use() {
    assert_eq!(load(3, 500).bounded().unlisted(), None);
    let mut ten = load(10, 0);
    for entry in &mut ten.services {
        entry.load_permille = if entry.service[0] < 8 { 900 } else { 100 };
    }
    ten.load_permille = 740;
    assert_eq!(ten.bounded().unlisted(), Some((200, 100)));
}
