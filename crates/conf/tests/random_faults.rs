//! Random faults with many replicas and concurrent publishers, in virtual time.

mod support;

use lw_base::{Invariant, violation_count};
use lw_conf::{AuditRecord, PublishError, read_audit};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use support::sim::{BOUND_MS, Sim, has_customer, pause, publish_at};
use support::{Fault, request, sample, with_customer};
use test_case::test_case;

/// Retries a publish until its outcome is known. Returns true when the change was accepted.
async fn publish_until_known(sim: &Sim, host: &str, operation: u128, customer: &str) -> bool {
    let Some(config) = sim.driver(host).reader().load() else {
        return false;
    };
    let next = with_customer(&config.document, customer);
    let attempt = request(operation, config.mark.revision, next);
    loop {
        match sim.driver(host).publish(attempt.clone()).await {
            Ok(_) => return true,
            Err(PublishError::Unknown) => pause(200).await,
            Err(_) => return false,
        }
    }
}

async fn inject_fault(sim: &Sim, rng: &mut ChaCha8Rng) {
    match rng.random_range(0..6) {
        0 => sim.kv.0.lock().head_faults.push_back(Fault::ReplyLost),
        1 => sim
            .kv
            .0
            .lock()
            .head_faults
            .push_back(Fault::ReplyLostThenOutage),
        2 => sim.kv.0.lock().outage = true,
        3 => sim.net.lock().drop_percent = rng.random_range(0..60),
        4 => sim.net.lock().delay_ms = rng.random_range(1..800),
        _ => sim.kv.lose_last_heads(rng.random_range(1..3)),
    }
    pause(rng.random_range(100..2_000)).await;
    sim.kv.0.lock().outage = false;
}

fn clear_faults(sim: &Sim) {
    sim.kv.0.lock().head_faults.clear();
    sim.kv.0.lock().outage = false;
    sim.net.lock().drop_percent = 0;
    sim.net.lock().delay_ms = 5;
}

async fn restart_hosts(sim: &Sim, rng: &mut ChaCha8Rng) {
    for _ in 0..rng.random_range(0..3) {
        sim.start_host(&format!("host-{:03}", rng.random_range(0..24)));
        pause(rng.random_range(10..500)).await;
    }
}

/// Guards against combinations of faults that make a host revert to an older revision, lose an accepted change, or let
/// the audit log differ from the head.
#[test_case(11)]
#[test_case(12)]
#[test_case(13)]
#[test_case(14)]
#[test_case(15)]
#[test_case(16)]
#[tokio::test(start_paused = true)]
async fn random_faults_lose_no_accepted_change(seed: u64) {
    println!("seed {seed}");
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let sim = Sim::start(seed, 24, 3);
    publish_at(&sim, "host-000", 1, sample()).await;
    sim.wait_for(BOUND_MS, "revision 1", |sim| sim.all_at(1))
        .await;
    let mut accepted = Vec::new();
    for round in 0..60u128 {
        inject_fault(&sim, &mut rng).await;
        let hosts = [0; 3].map(|_: u8| format!("host-{:03}", rng.random_range(0..24)));
        let names = [0, 1, 2].map(|n| format!("c-{round}-{n}"));
        let operations = [2, 3, 4].map(|n| round * 3 + n);
        let (a, b, c) = tokio::join!(
            publish_until_known(&sim, &hosts[0], operations[0], &names[0]),
            publish_until_known(&sim, &hosts[1], operations[1], &names[1]),
            publish_until_known(&sim, &hosts[2], operations[2], &names[2]),
        );
        let results = [a, b, c].into_iter().zip(operations).zip(names);
        accepted.extend(
            results
                .filter(|((was_accepted, _), _)| *was_accepted)
                .map(|((_, o), name)| (o, name)),
        );
        sim.check_revisions();
        pause(1_000).await;
        restart_hosts(&sim, &mut rng).await;
    }
    clear_faults(&sim);
    let waited_ms = sim
        .wait_for(BOUND_MS, "agreement", |sim| {
            sim.all_at_head() && all_hosts_have_all(sim, &accepted)
        })
        .await;
    assert!(
        accepted.len() >= 10,
        "only {} changes were accepted",
        accepted.len()
    );
    check_audit(&sim, &accepted).await;
    assert_eq!(violation_count(Invariant::RevisionNeverReverts), 0);
    println!(
        "seed {seed}: {} accepted, agreement after {waited_ms} ms",
        accepted.len()
    );
}

fn all_hosts_have_all(sim: &Sim, accepted: &[(u128, String)]) -> bool {
    accepted.iter().all(|(_, name)| has_customer(sim, name))
}

async fn check_audit(sim: &Sim, accepted: &[(u128, String)]) {
    let records = read_audit(&sim.kv.client(), 10_000).await.expect("up");
    let entries: Vec<_> = records
        .iter()
        .filter_map(|record| match record {
            AuditRecord::Published(entry) => Some(entry),
            AuditRecord::Refused(_) => None,
            AuditRecord::Gap { key, .. } => panic!("{key} is missing"),
        })
        .collect();
    assert_eq!(Some(entries[0].mark), sim.marks()[0]);
    assert!(
        entries
            .windows(2)
            .all(|window| window[0].base == window[1].mark)
    );
    for (operation, name) in accepted {
        let operator = format!("operator-{operation}");
        let recorded = entries
            .iter()
            .any(|e| e.operator.split(' ').any(|n| n == operator));
        assert!(recorded, "{name} by {operator} is not in the audit");
    }
}
