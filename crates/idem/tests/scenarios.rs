//! Named failures of the at-most-once protocol, each on a settled region.

mod harness;

use harness::{CALM, Chaos, Told, World};
use lw_base::{ErrorKind, Outcome};
use test_case::test_case;

fn unknown(kind: ErrorKind) -> Told {
    Told::Refused(kind, Outcome::Unknown)
}

/// Guards against a second run of a key that is sent twice, one after the other or at once.
#[test_case(0, 0, 500; "one host, later")]
#[test_case(0, 0, 0; "one host, at once")]
#[test_case(0, 1, 0; "two hosts, at once")]
#[test_case(2, 1, 5; "two hosts, while it runs")]
fn a_repeat_gets_the_answer(first: usize, second: usize, pause_ms: u64) {
    let mut world = World::settled(4, 1);
    for _ in 0..50 {
        let key = world.new_key();
        let tickets = [world.send(first, key, true), {
            world.run_for(pause_ms);
            world.send(second, key, false)
        }];
        world.run_for(1_000);
        assert_eq!(world.ran.get(&key), Some(&1));
        let told: Vec<_> = tickets
            .iter()
            .map(|ticket| world.told[ticket].clone())
            .collect();
        assert!(
            told.contains(&Told::Complete) && told.contains(&Told::Replayed),
            "{told:?}"
        );
    }
    world.assert_sound("repeat");
}

/// Guards against a second run after the answer was lost, and against a wrong statement about it.
#[test]
fn a_lost_answer_is_unknown() {
    let mut world = World::settled(4, 2);
    world.chaos = Chaos {
        answer_lost: 1.0,
        ..CALM
    };
    let key = world.new_key();
    world.send(0, key, true);
    world.run_for(1_000);
    let repeat = world.send(1, key, false);
    world.run_for(1_000);
    assert_eq!(world.told[&repeat], unknown(ErrorKind::OutcomeUnknown));
    assert_eq!(world.ran.get(&key), Some(&1));
    world.assert_sound("lost answer");
}

#[derive(Clone, Copy)]
enum Loss {
    Owner,
    Backup,
    Both,
}

/// Guards against a lost record after hosts were killed: an ended key keeps its answer while one of the pair lives,
/// a running key is unknown, and new keys run again after the failover.
#[test_case(Loss::Owner)]
#[test_case(Loss::Backup)]
#[test_case(Loss::Both)]
fn killed_hosts(loss: Loss) {
    let mut world = World::settled(5, 3);
    let done = world.new_key();
    world.send(0, done, true);
    world.run_for(500);
    let (owner, backup) = (world.owner_of(done), world.backup_of(done));
    world.run_ms = 5_000;
    let running = loop {
        let key = world.new_key();
        if (world.owner_of(key), world.backup_of(key)) == (owner, backup) {
            break key;
        }
    };
    let entry = (0..5).find(|node| ![owner, backup].contains(node)).unwrap();
    world.send(entry, running, true);
    world.run_for(100);
    assert_eq!(world.ran.get(&running), Some(&1));
    match loss {
        Loss::Owner => world.kill(owner),
        Loss::Backup => world.kill(backup),
        Loss::Both => {
            world.kill(owner);
            world.kill(backup);
        }
    }
    world.run_for(90_000);
    let (again, late) = (
        world.send(entry, done, false),
        world.send(entry, running, false),
    );
    let fresh = world.new_key();
    world.send(entry, fresh, true);
    world.run_for(10_000);
    let (first, second) = match loss {
        Loss::Owner => (Told::Replayed, unknown(ErrorKind::OutcomeUnknown)),
        Loss::Backup => (Told::Replayed, Told::Replayed),
        Loss::Both => (
            unknown(ErrorKind::OutcomeUnknown),
            unknown(ErrorKind::OutcomeUnknown),
        ),
    };
    assert_eq!((&world.told[&again], &world.told[&late]), (&first, &second));
    assert_eq!(
        world.ran.get(&fresh),
        Some(&1),
        "new keys run after the failover"
    );
    world.assert_sound("killed hosts");
}

/// Guards against a region that stops when the key-value service is down, and against a failover without it.
#[test]
fn pairs_continue_without_the_service() {
    let mut world = World::settled(5, 4);
    world.kv_up = false;
    world.run_for(300_000);
    let lost = 4;
    for round in 0..2 {
        for _ in 0..100 {
            let key = world.new_key();
            let pair = [world.owner_of(key), world.backup_of(key)];
            world.send(0, key, true);
            world.run_for(100);
            if round == 0 || !pair.contains(&lost) {
                assert_eq!(world.ran.get(&key), Some(&1), "intact pair");
            } else {
                assert_eq!(
                    world.ran.get(&key),
                    None,
                    "no view change without the service"
                );
            }
        }
        world.kill(lost);
        world.run_for(60_000);
    }
    world.assert_sound("outage");
}

/// Guards against two owners after any split of a region, with the service on either side or on none.
#[test]
fn every_split_of_five_hosts() {
    for mask in 1..16_usize {
        for with_kv in [None, Some(0), Some(1)] {
            let mut world = World::settled(5, 5);
            let side = |bit: usize| (0..5).filter(|node| mask >> node & 1 == bit).collect();
            world.split(&[side(0), side(1)], with_kv);
            let mut keys = Vec::new();
            for _ in 0..80 {
                let key = world.new_key();
                keys.push(key);
                for entry in 0..5 {
                    world.send(entry, key, false);
                }
                world.run_for(1_000);
            }
            world.heal();
            world.run_for(60_000);
            for key in keys {
                world.send(0, key, false);
            }
            world.run_for(5_000);
            world.assert_sound(&format!("split {mask:05b}, service with {with_kv:?}"));
        }
    }
}

/// Guards against a paused owner, or a paused pair, that wakes after the takeover and sends.
#[test_case(false, 60_000; "owner")]
#[test_case(true, 20_000; "pair, before the takeover")]
#[test_case(true, 60_000; "pair, after the takeover")]
#[test_case(true, 200_000; "pair, long after the takeover")]
fn paused_hosts_wake_late(both: bool, pause_ms: u64) {
    for seed in 0..10 {
        let mut world = World::settled(5, seed);
        world.run_ms = 200;
        let keys: Vec<_> = (0..40).map(|_| world.new_key()).collect();
        let (owner, backup) = (world.owner_of(keys[0]), world.backup_of(keys[0]));
        for key in &keys {
            world.send(owner, *key, true);
            world.run_for(1);
        }
        world.nodes[owner].paused = true;
        world.nodes[backup].paused = both;
        let mut late = Vec::new();
        for _ in 0..pause_ms / 1_000 {
            let key = world.new_key();
            late.push(key);
            for entry in 0..5 {
                world.send(entry, key, false);
            }
            world.run_for(1_000);
        }
        world.wake(owner);
        world.wake(backup);
        world.run_for(30_000);
        for key in keys.into_iter().chain(late) {
            world.send(owner, key, false);
        }
        world.run_for(5_000);
        world.assert_sound(&format!("pause, seed {seed}"));
    }
}

/// Guards against records that a joining host misses during its transfer, also when the former owner is killed then.
#[test]
fn a_joining_host_gets_every_record() {
    for seed in 0..4 {
        let mut world = World::settled(4, seed);
        world.kill(3);
        world.run_for(40_000);
        let mut keys = Vec::new();
        world.chaos = Chaos {
            loss: 0.05,
            delay_max: 50,
            ..CALM
        };
        world.restart(3);
        for step in 0..300 {
            let key = world.new_key();
            keys.push(key);
            world.send(step % 3, key, false);
            world.run_for(100);
        }
        world.chaos = CALM;
        world.run_for(30_000);
        world.kill(seed as usize % 3);
        world.run_for(40_000);
        for key in &keys {
            let ran = world.ran.contains_key(key);
            let repeat = world.send(3, *key, false);
            world.run_for(50);
            if ran {
                assert_ne!(world.told.get(&repeat), Some(&Told::Complete));
            }
        }
        world.assert_sound(&format!("join, seed {seed}"));
    }
}

/// Guards against a region that follows the service back to a former map.
#[test]
fn lost_writes_are_written_back() {
    let mut world = World::settled(5, 8);
    world.kill(0);
    world.run_for(40_000);
    let epochs = |world: &World| -> Vec<u64> {
        let map = world.register.last().unwrap().1.as_ref().unwrap();
        map.shards.iter().map(|view| view.epoch).collect()
    };
    let before = epochs(&world);
    world.lose_last_writes(3);
    assert_ne!(epochs(&world), before);
    world.run_for(20_000);
    let after = epochs(&world);
    assert!(
        before
            .iter()
            .zip(&after)
            .all(|(before, after)| after >= before)
    );
    let key = world.new_key();
    world.send(1, key, true);
    world.run_for(1_000);
    assert_eq!(world.ran.get(&key), Some(&1));
    world.assert_sound("lost writes");
}

/// Guards against a planned stop that loses records or leaves shards without an owner.
#[test]
fn a_leaving_host_hands_over() {
    let mut world = World::settled(4, 9);
    let keys: Vec<_> = (0..100).map(|_| world.new_key()).collect();
    for key in &keys {
        world.send(0, *key, true);
    }
    world.run_for(1_000);
    world.leave(2);
    world.run_for(15_000);
    assert_eq!(world.nodes[2].idem.shard_counts(), (0, 0));
    world.kill(2);
    for key in &keys {
        let repeat = world.send(1, *key, false);
        world.run_for(20);
        assert_eq!(world.told.get(&repeat), Some(&Told::Replayed));
    }
    world.assert_sound("leave");
}
