//! Membership under one-way links, pauses, splits and restarts.

mod harness;

use std::sync::Arc;

use harness::World;
use lw_base::MonoMs;
use lw_member::MemberState::{Alive, Dead, Leaving, Suspect};
use lw_member::{MAX_SUMMARY_SERVICES, RegionLoad, ServiceUse};
use rand::Rng;
use test_case::test_case;

fn settled(hosts: usize, seed: u64) -> World {
    let mut world = World::new(1, hosts, seed);
    world.run_for(30_000);
    assert!(
        world.all_alive(),
        "seed {seed}: every host knows every host"
    );
    world
}

/// Guards against hosts that never learn of each other from one seed.
#[test_case(2)]
#[test_case(8)]
#[test_case(40)]
fn joins_from_one_seed(hosts: usize) {
    let world = settled(hosts, 1);
    let relays = world.nodes[0].membership.relays();
    assert_eq!(relays.len(), 2);
    assert!(
        world
            .nodes
            .iter()
            .all(|node| node.membership.relays() == relays)
    );
}

/// Guards against a lost host that stays alive for others, and one that is declared lost before it can refute.
#[test]
fn a_lost_host_is_dead_after_its_suspicion() {
    let mut world = settled(8, 2);
    world.nodes[3].running = false;
    world.run_for(7_000);
    assert_eq!(world.seen_as(3, Dead), 0);
    world.run_for(23_000);
    assert_eq!(world.seen_as(3, Dead), 7);
}

/// Guards against one broken link direction that makes a host lost for the region although others reach it.
#[test]
fn a_one_way_link_kills_nobody() {
    let mut world = settled(8, 3);
    world.cut.insert((1, 2));
    for _ in 0..60 {
        world.run_for(1_000);
        assert_eq!(world.seen_as(2, Dead) + world.seen_as(1, Dead), 0);
    }
    let acknowledged = world.nodes[1].membership.acknowledged("host-number-002");
    let age = MonoMs(world.now).since_ms(acknowledged.unwrap());
    assert!(age > 50_000, "indirect acknowledgements are no evidence");
}

/// Guards against a short pause that is taken for a loss, and a long one that is not noticed or not undone.
#[test_case(3_000, false)]
#[test_case(40_000, true)]
fn a_paused_member(pause_ms: u64, lost: bool) {
    let mut world = settled(8, 4);
    world.nodes[5].running = false;
    world.run_for(pause_ms);
    assert_eq!(world.seen_as(5, Dead) > 0, lost);
    world.nodes[5].running = true;
    let resumed = world.now;
    world.run_for(40_000);
    assert!(world.all_alive(), "the member refutes");
    let changes = &world.nodes[5].changes;
    let blamed = changes
        .iter()
        .filter(|(at, update)| *at > resumed && update.state == Dead);
    assert_eq!(blamed.count(), 0, "the paused member blames nobody");
}

/// Guards against a false suspicion that becomes a loss.
#[test]
fn a_false_suspicion_is_refuted() {
    let mut world = settled(8, 5);
    let all: Vec<usize> = (0..8).filter(|node| *node != 6).collect();
    world.cut.extend(all.iter().map(|node| (6, *node)));
    while world.seen_as(6, Suspect) == 0 {
        world.run_for(100);
    }
    world.heal();
    for _ in 0..200 {
        world.run_for(100);
        assert_eq!(world.seen_as(6, Dead), 0);
    }
    assert!(world.all_alive());
}

/// Guards against a host list that lags: it neither kills nor revives, but it introduces and forgets.
#[test]
fn a_stale_host_list() {
    let mut world = settled(4, 6);
    world.nodes[3].running = false;
    world.run_for(30_000);
    let entry = |index: usize| -> (Arc<str>, Arc<str>) {
        (
            format!("host-number-{index:03}").into(),
            index.to_string().into(),
        )
    };
    let stale: Vec<_> = [1, 3].into_iter().map(entry).collect();
    world.nodes[0].membership.on_host_list(&stale);
    world.run_for(5_000);
    assert_eq!(
        world.state(0, 2),
        Some(Alive),
        "missing in the list, but it answers"
    );
    assert_eq!(
        world.state(0, 3),
        Some(Dead),
        "listed, but it does not answer"
    );
    world.nodes[0]
        .membership
        .on_host_list(&[entry(1), entry(2)]);
    assert_eq!(world.state(0, 3), None);
}

/// Guards against a split that is not noticed, one that is not healed, and a part that takes itself for the region.
#[test]
fn a_split_heals() {
    let mut world = settled(8, 7);
    world.split(3);
    world.run_for(40_000);
    let now = MonoMs(world.now);
    assert!((0..3).all(|node| !world.nodes[node].membership.sees_half(now)));
    assert!((3..8).all(|node| world.nodes[node].membership.sees_half(now)));
    assert_eq!(world.seen_as(0, Dead), 5);
    world.heal();
    world.run_for(60_000);
    assert!(world.all_alive());
    let now = MonoMs(world.now);
    assert!(
        world
            .nodes
            .iter()
            .all(|node| node.membership.sees_half(now))
    );
}

/// Guards against a restarted host that is taken for its former process.
#[test]
fn a_restart_has_a_new_incarnation() {
    let mut world = settled(8, 8);
    world.restart(2, 0);
    world.run_for(20_000);
    assert!(world.all_alive());
    let incarnation = world.nodes[2].incarnation;
    for at in (0..8).filter(|at| *at != 2) {
        let mut members = world.nodes[at].membership.members();
        let member = members.find(|update| &*update.host == "host-number-002");
        assert_eq!(member.unwrap().incarnation, incarnation);
    }
}

/// Guards against a leaving host that is still chosen as a relay.
#[test]
fn a_leaving_host_is_no_relay() {
    let mut world = settled(8, 9);
    let relay = world.nodes[0].membership.relays()[0].clone();
    let index: usize = relay[12..].parse().unwrap();
    let mut out = Vec::new();
    world.nodes[index].membership.leave(&mut out);
    world.run_for(10_000);
    assert_eq!(world.seen_as(index, Leaving), 7);
    assert!(
        world
            .nodes
            .iter()
            .all(|node| !node.membership.relays().contains(&relay))
    );
}

/// Guards against one wrong clock that makes the others doubt theirs.
#[test]
fn a_wrong_clock_is_noticed_by_its_host() {
    let mut world = settled(8, 10);
    world.nodes[4].wall_offset = -1_500;
    world.nodes[5].wall_offset = 700;
    world.run_for(70_000);
    let now = MonoMs(world.now);
    for (index, node) in world.nodes.iter().enumerate() {
        assert_eq!(node.membership.clock_ok(now), index != 4, "host {index}");
    }
}

/// Guards against a state from which the region does not recover, under random loss, splits, pauses and restarts.
#[test]
fn random_failures_heal() {
    for seed in 100..130 {
        println!("seed {seed}");
        let mut world = settled(8, seed);
        for _ in 0..10 {
            let node = world.rng.random_range(0..8);
            match world.rng.random_range(0..6) {
                0 => world.split(node),
                1 => world.loss = 0.3,
                2 => world.nodes[node].running = !world.nodes[node].running,
                3 => world.restart(node, (node + 1) % 8),
                4 => world.cut.extend((0..8).map(|other| (node, other))),
                _ => world.heal(),
            }
            world.run_for(15_000);
        }
        world.heal();
        world.nodes.iter_mut().for_each(|node| node.running = true);
        world.run_for(90_000);
        assert!(world.all_alive(), "seed {seed}: {}", world.table());
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

/// Guards against hosts that keep old slots, services or addresses, because summaries leave out what seldom changes:
/// after a change of the services, after a restart without memory, and while a fifth of the messages is lost.
#[test]
fn short_summaries_lead_to_the_whole_ones() {
    println!("seed 31");
    let mut world = World::new(4, 6, 31);
    world.loss = 0.2;
    for (round, services) in [2, 3, 12, 1].into_iter().enumerate() {
        let wanted = load(services, 100 * (1 + u16::try_from(round).unwrap()));
        for node in &mut world.nodes {
            node.membership.set_load(wanted.clone());
        }
        world.restart(7 + 6 * (round % 2), 6 * (1 + round % 2));
        world.nodes[7 + 6 * (round % 2)]
            .membership
            .set_load(wanted.clone());
        world.run_for(60_000);
        let wanted = wanted.bounded();
        assert!(wanted.services.len() <= MAX_SUMMARY_SERVICES);
        for node in &world.nodes {
            let summaries: Vec<_> = node.membership.region_summaries().collect();
            assert_eq!(summaries.len(), 4);
            assert!(summaries.iter().all(|summary| summary.load == wanted));
        }
    }
}

/// Guards against a use of unnamed services that counts the named ones too.
#[test]
fn unnamed_services_share_the_rest() {
    assert_eq!(load(3, 500).bounded().unlisted(), None);
    let mut ten = load(10, 0);
    for entry in &mut ten.services {
        entry.load_permille = if entry.service[0] < 8 { 900 } else { 100 };
    }
    ten.load_permille = 740;
    assert_eq!(ten.bounded().unlisted(), Some((200, 100)));
}
