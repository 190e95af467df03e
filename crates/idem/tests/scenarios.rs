//! Single failures of a settled region, each as a scenario of the at-most-once protocol.

mod harness;

use harness::{Answer, Faults, NO_FAULTS, Simulation};
use lw_base::{ErrorKind, Outcome};
use test_case::test_case;

fn unknown(kind: ErrorKind) -> Answer {
    Answer::Refused(kind, Outcome::Unknown)
}

/// Guards against a second run of a key that is sent twice, in succession or at the same time.
#[test_case(0, 0, 500; "one host, after the answer")]
#[test_case(0, 0, 0; "one host, at the same time")]
#[test_case(0, 1, 0; "two hosts, at the same time")]
#[test_case(2, 1, 5; "two hosts, during the run")]
fn repeated_keys_run_once(first: usize, second: usize, pause_ms: u64) {
    let mut sim = Simulation::settled(4, 1);
    for _ in 0..50 {
        let key = sim.new_key();
        let tickets = [sim.send(first, key, true), {
            sim.run_for(pause_ms);
            sim.send(second, key, false)
        }];
        sim.run_for(1_000);
        assert_eq!(sim.run_counts.get(&key), Some(&1));
        let answers: Vec<_> = tickets
            .iter()
            .map(|ticket| sim.answers[ticket].clone())
            .collect();
        assert!(
            answers.contains(&Answer::Complete) && answers.contains(&Answer::Replayed),
            "{answers:?}"
        );
    }
    sim.assert_no_violations("repeat");
}

/// Guards against a second run after the target's answer was lost, and against an outcome other than unknown.
#[test]
fn a_lost_answer_is_reported_as_unknown() {
    let mut sim = Simulation::settled(4, 2);
    sim.faults = Faults {
        answer_lost: 1.0,
        ..NO_FAULTS
    };
    let key = sim.new_key();
    sim.send(0, key, true);
    sim.run_for(1_000);
    let repeat = sim.send(1, key, false);
    sim.run_for(1_000);
    assert_eq!(sim.answers[&repeat], unknown(ErrorKind::OutcomeUnknown));
    assert_eq!(sim.run_counts.get(&key), Some(&1));
    sim.assert_no_violations("lost answer");
}

#[derive(Clone, Copy)]
enum KilledHosts {
    Owner,
    Backup,
    Both,
}

/// Guards against records that are lost when hosts are killed. While one host of the pair lives, an ended key keeps its
/// answer. A key that the killed owner ran is reported as unknown, and new keys run after the failover.
#[test_case(KilledHosts::Owner)]
#[test_case(KilledHosts::Backup)]
#[test_case(KilledHosts::Both)]
fn killed_hosts_lose_no_record_of_a_surviving_pair(killed: KilledHosts) {
    let mut sim = Simulation::settled(5, 3);
    let done = sim.new_key();
    sim.send(0, done, true);
    sim.run_for(500);
    let (owner, backup) = (sim.owner_of(done), sim.backup_of(done));
    sim.run_ms = 5_000;
    let running = loop {
        let key = sim.new_key();
        if (sim.owner_of(key), sim.backup_of(key)) == (owner, backup) {
            break key;
        }
    };
    let entry = (0..5).find(|node| ![owner, backup].contains(node)).unwrap();
    sim.send(entry, running, true);
    sim.run_for(100);
    assert_eq!(sim.run_counts.get(&running), Some(&1));
    match killed {
        KilledHosts::Owner => sim.kill(owner),
        KilledHosts::Backup => sim.kill(backup),
        KilledHosts::Both => {
            sim.kill(owner);
            sim.kill(backup);
        }
    }
    sim.run_for(90_000);
    let (again, late) = (
        sim.send(entry, done, false),
        sim.send(entry, running, false),
    );
    let new_key = sim.new_key();
    sim.send(entry, new_key, true);
    sim.run_for(10_000);
    let (first, second) = match killed {
        KilledHosts::Owner => (Answer::Replayed, unknown(ErrorKind::OutcomeUnknown)),
        KilledHosts::Backup => (Answer::Replayed, Answer::Replayed),
        KilledHosts::Both => (
            unknown(ErrorKind::OutcomeUnknown),
            unknown(ErrorKind::OutcomeUnknown),
        ),
    };
    assert_eq!(
        (&sim.answers[&again], &sim.answers[&late]),
        (&first, &second)
    );
    assert_eq!(
        sim.run_counts.get(&new_key),
        Some(&1),
        "a new key does not run after the failover"
    );
    sim.assert_no_violations("killed hosts");
}

/// Guards against pairs that stop while the key-value service is down, and against a failover without the service.
#[test]
fn pairs_run_keys_while_the_service_is_down() {
    let mut sim = Simulation::settled(5, 4);
    sim.kv_up = false;
    sim.run_for(300_000);
    let lost = 4;
    for round in 0..2 {
        for _ in 0..100 {
            let key = sim.new_key();
            let pair = [sim.owner_of(key), sim.backup_of(key)];
            sim.send(0, key, true);
            sim.run_for(100);
            if round == 0 || !pair.contains(&lost) {
                assert_eq!(
                    sim.run_counts.get(&key),
                    Some(&1),
                    "a pair without a lost host"
                );
            } else {
                assert_eq!(
                    sim.run_counts.get(&key),
                    None,
                    "a view changed without the service"
                );
            }
        }
        sim.kill(lost);
        sim.run_for(60_000);
    }
    sim.assert_no_violations("outage");
}

/// Guards against two owners during and after each split of a region, with the key-value service on either side or on
/// neither.
#[test]
fn no_split_of_five_hosts_has_two_owners() {
    for mask in 1..16_usize {
        for with_kv in [None, Some(0), Some(1)] {
            let mut sim = Simulation::settled(5, 5);
            let side = |bit: usize| (0..5).filter(|node| mask >> node & 1 == bit).collect();
            sim.split(&[side(0), side(1)], with_kv);
            let mut keys = Vec::new();
            for _ in 0..80 {
                let key = sim.new_key();
                keys.push(key);
                for entry in 0..5 {
                    sim.send(entry, key, false);
                }
                sim.run_for(1_000);
            }
            sim.heal();
            sim.run_for(60_000);
            for key in keys {
                sim.send(0, key, false);
            }
            sim.run_for(5_000);
            sim.assert_no_violations(&format!("split {mask:05b}, service with {with_kv:?}"));
        }
    }
}

/// Guards against a paused owner or a paused pair that resumes after the takeover and runs keys again.
#[test_case(false, 60_000; "owner")]
#[test_case(true, 20_000; "pair, before the takeover")]
#[test_case(true, 60_000; "pair, after the takeover")]
#[test_case(true, 200_000; "pair, long after the takeover")]
fn paused_hosts_that_resume_after_a_takeover_run_no_key_again(both: bool, pause_ms: u64) {
    for seed in 0..10 {
        let mut sim = Simulation::settled(5, seed);
        sim.run_ms = 200;
        let keys: Vec<_> = (0..40).map(|_| sim.new_key()).collect();
        let (owner, backup) = (sim.owner_of(keys[0]), sim.backup_of(keys[0]));
        for key in &keys {
            sim.send(owner, *key, true);
            sim.run_for(1);
        }
        sim.nodes[owner].paused = true;
        sim.nodes[backup].paused = both;
        let mut late = Vec::new();
        for _ in 0..pause_ms / 1_000 {
            let key = sim.new_key();
            late.push(key);
            for entry in 0..5 {
                sim.send(entry, key, false);
            }
            sim.run_for(1_000);
        }
        sim.resume(owner);
        sim.resume(backup);
        sim.run_for(30_000);
        for key in keys.into_iter().chain(late) {
            sim.send(owner, key, false);
        }
        sim.run_for(5_000);
        sim.assert_no_violations(&format!("pause, seed {seed}"));
    }
}

/// Guards against records that a joining host misses during its transfer, also when another host is killed afterwards.
#[test]
fn a_joining_host_receives_every_record() {
    for seed in 0..4 {
        let mut sim = Simulation::settled(4, seed);
        sim.kill(3);
        sim.run_for(40_000);
        let mut keys = Vec::new();
        sim.faults = Faults {
            loss: 0.05,
            delay_max: 50,
            ..NO_FAULTS
        };
        sim.restart(3);
        for step in 0..300 {
            let key = sim.new_key();
            keys.push(key);
            sim.send(step % 3, key, false);
            sim.run_for(100);
        }
        sim.faults = NO_FAULTS;
        sim.run_for(30_000);
        sim.kill(seed as usize % 3);
        sim.run_for(40_000);
        for key in &keys {
            let ran = sim.run_counts.contains_key(key);
            let repeat = sim.send(3, *key, false);
            sim.run_for(50);
            if ran {
                assert_ne!(sim.answers.get(&repeat), Some(&Answer::Complete));
            }
        }
        sim.assert_no_violations(&format!("join, seed {seed}"));
    }
}

/// Guards against hosts that adopt an older map after the key-value service lost its last writes.
#[test]
fn lost_map_writes_are_written_back() {
    let mut sim = Simulation::settled(5, 8);
    sim.kill(0);
    sim.run_for(40_000);
    let epochs = |sim: &Simulation| -> Vec<u64> {
        let map = sim.stored_maps.last().unwrap().1.as_ref().unwrap();
        map.shards.iter().map(|view| view.epoch).collect()
    };
    let before = epochs(&sim);
    sim.lose_last_writes(3);
    assert_ne!(epochs(&sim), before);
    sim.run_for(20_000);
    let after = epochs(&sim);
    assert!(
        before
            .iter()
            .zip(&after)
            .all(|(before, after)| after >= before)
    );
    let key = sim.new_key();
    sim.send(1, key, true);
    sim.run_for(1_000);
    assert_eq!(sim.run_counts.get(&key), Some(&1));
    sim.assert_no_violations("lost writes");
}

/// Guards against a planned stop that loses records or shards.
#[test]
fn a_leaving_host_hands_over_its_shards() {
    let mut sim = Simulation::settled(4, 9);
    let keys: Vec<_> = (0..100).map(|_| sim.new_key()).collect();
    for key in &keys {
        sim.send(0, *key, true);
    }
    sim.run_for(1_000);
    sim.leave(2);
    sim.run_for(15_000);
    assert_eq!(sim.nodes[2].idem.shard_counts(), (0, 0));
    sim.kill(2);
    for key in &keys {
        let repeat = sim.send(1, *key, false);
        sim.run_for(20);
        assert_eq!(sim.answers.get(&repeat), Some(&Answer::Replayed));
    }
    sim.assert_no_violations("leave");
}
