//! Replicas: lost writes of the service, stale peers, restarts and random faults, in virtual time.

mod support;

use std::time::Duration;

use lw_base::{Invariant, invariant_count};
use lw_conf::{AuditRecord, PublishError, load_document, publish, read_audit, read_head};
use lw_doc::Document;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use support::sim::Sim;
use support::{Fault, large_document, request, sample, with_customer};
use test_case::test_case;

/// A revision must be in force everywhere within this time (I9).
const BOUND_MS: u64 = 11_000;

async fn pause(ms: u64) {
    tokio::time::sleep(Duration::from_millis(ms)).await;
}

async fn publish_at(sim: &Sim, host: &str, operation: u128, next: Document) {
    let base = sim.shell(host).mark().map_or(0, |mark| mark.revision);
    let published = sim
        .shell(host)
        .publish(request(operation, base, next))
        .await;
    published.expect("published");
}

async fn head_revision(sim: &Sim) -> u64 {
    let stored = read_head(&sim.kv.client())
        .await
        .expect("the service is up");
    stored.head.map_or(0, |head| head.mark.revision)
}

fn has_customer(sim: &Sim, name: &str) -> bool {
    let names = sim.names();
    let mut configs = names.iter().map(|host| sim.shell(host).reader().load());
    configs.all(|c| c.is_some_and(|c| c.document.customers.contains_key(name)))
}

/// Guards against a revision that goes back when the service loses its last writes, once and again.
#[test_case(1, 1; "the last one, once")]
#[test_case(3, 1; "the last three, once")]
#[test_case(1, 2; "the last one, twice")]
#[test_case(9, 1; "everything")]
#[tokio::test(start_paused = true)]
async fn lost_writes_are_written_back(heads: usize, times: usize) {
    let sim = Sim::start(1, 12, 2);
    let mut document = sample();
    publish_at(&sim, "host-000", 1, document.clone()).await;
    sim.wait_for(BOUND_MS, "revision 1", |sim| sim.all_at(1))
        .await;
    for number in 2..=4 {
        document = with_customer(&document, &format!("c-{number}"));
        publish_at(&sim, "host-003", number, document.clone()).await;
        let revision = u64::try_from(number).unwrap();
        sim.wait_for(BOUND_MS, "the next revision", |sim| sim.all_at(revision))
            .await;
    }
    for _ in 0..times {
        sim.kv.lose_last_heads(heads);
        assert!(head_revision(&sim).await < 4);
        pause(BOUND_MS).await;
        sim.check_revisions();
        assert_eq!(head_revision(&sim).await, 4);
    }
    let kv = sim.kv.client();
    let head = read_head(&kv).await.expect("up").head.expect("a head");
    assert_eq!(load_document(&kv, &head).await.expect("whole"), document);
    let records = read_audit(&kv, 10).await.expect("up");
    assert!(
        records
            .iter()
            .all(|record| matches!(record, AuditRecord::Published(_)))
    );
    assert_eq!(records.len(), 4);
}

/// Guards against an accepted change that vanishes because the service lost it and another one took its number.
#[tokio::test(start_paused = true)]
async fn a_change_that_took_a_lost_number_is_joined() {
    let sim = Sim::start(2, 12, 2);
    publish_at(&sim, "host-000", 1, sample()).await;
    sim.wait_for(BOUND_MS, "revision 1", |sim| sim.all_at(1))
        .await;
    publish_at(&sim, "host-000", 2, with_customer(&sample(), "first")).await;
    sim.wait_for(BOUND_MS, "revision 2", |sim| sim.all_at(2))
        .await;
    sim.kv.lose_last_heads(1);
    let other = request(3, 1, with_customer(&sample(), "second"));
    let published = publish(&sim.kv.client(), &other)
        .await
        .expect("the service accepts it");
    assert_eq!(published.entry.mark.revision, 2);
    sim.wait_for(BOUND_MS, "the joined revision", |sim| sim.all_at(3))
        .await;
    assert!(has_customer(&sim, "first") && has_customer(&sim, "second"));
    let records = read_audit(&sim.kv.client(), 10).await.expect("up");
    let AuditRecord::Published(entry) = &records[0] else {
        panic!("{records:?}")
    };
    assert_eq!(entry.operator, "recovery operator-2");
}

/// Guards against hosts that cannot start, or start with an old revision, while the service is down.
#[tokio::test(start_paused = true)]
async fn a_restart_without_the_service_loads_from_peers() {
    let sim = Sim::start(3, 12, 2);
    let document = large_document();
    publish_at(&sim, "host-000", 1, document.clone()).await;
    sim.wait_for(BOUND_MS, "revision 1", |sim| sim.all_at(1))
        .await;
    publish_at(&sim, "host-001", 2, with_customer(&document, "late")).await;
    sim.wait_for(BOUND_MS, "revision 2", |sim| sim.all_at(2))
        .await;
    sim.kv.0.lock().outage = true;
    for host in ["host-000", "host-005", "host-008"] {
        sim.start_host(host);
        assert!(!sim.shell(host).ready());
    }
    let ready = |sim: &Sim| {
        ["host-000", "host-005", "host-008"]
            .iter()
            .all(|h| sim.shell(h).ready())
    };
    sim.wait_for(BOUND_MS, "loading from peers", |sim| {
        sim.all_at(2) && ready(sim)
    })
    .await;
    assert!(has_customer(&sim, "late"));
}

/// Guards against a fleet that cannot start when every host lost its memory at once.
#[tokio::test(start_paused = true)]
async fn a_restart_of_every_host_loads_from_the_service() {
    let sim = Sim::start(4, 12, 2);
    publish_at(&sim, "host-000", 1, sample()).await;
    publish_at(&sim, "host-000", 2, with_customer(&sample(), "a")).await;
    sim.wait_for(BOUND_MS, "revision 2", |sim| sim.all_at(2))
        .await;
    for host in sim.names() {
        sim.start_host(&host);
    }
    sim.wait_for(BOUND_MS, "loading", |sim| sim.all_at(2)).await;
}

/// Guards against a stale peer that pushes or reports an old revision.
#[tokio::test(start_paused = true)]
async fn a_stale_peer_changes_nothing() {
    let sim = Sim::start(5, 8, 1);
    publish_at(&sim, "host-000", 1, sample()).await;
    sim.wait_for(BOUND_MS, "revision 1", |sim| sim.all_at(1))
        .await;
    let stale = sim.shell("host-000").mark().expect("revision 1");
    publish_at(&sim, "host-000", 2, with_customer(&sample(), "a")).await;
    sim.wait_for(BOUND_MS, "revision 2", |sim| sim.all_at(2))
        .await;
    for host in sim.names() {
        sim.shell(&host).on_peer_mark("host-007", stale);
    }
    pause(3_000).await;
    sim.check_revisions();
    assert!(sim.all_at(2) && has_customer(&sim, "a"));
}

/// Publishes until the outcome is known; returns true when the change was accepted.
async fn publish_surely(sim: &Sim, host: &str, operation: u128, customer: &str) -> bool {
    let Some(config) = sim.shell(host).reader().load() else {
        return false;
    };
    let next = with_customer(&config.document, customer);
    let attempt = request(operation, config.mark.revision, next);
    loop {
        match sim.shell(host).publish(attempt.clone()).await {
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

/// Guards against any mix of faults that makes a host go back, drops an accepted change or parts audit and head.
#[test_case(11)]
#[test_case(12)]
#[test_case(13)]
#[test_case(14)]
#[test_case(15)]
#[test_case(16)]
#[tokio::test(start_paused = true)]
async fn random_faults_lose_nothing(seed: u64) {
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
            publish_surely(&sim, &hosts[0], operations[0], &names[0]),
            publish_surely(&sim, &hosts[1], operations[1], &names[1]),
            publish_surely(&sim, &hosts[2], operations[2], &names[2]),
        );
        let results = [a, b, c].into_iter().zip(operations).zip(names);
        accepted.extend(
            results
                .filter(|((won, _), _)| *won)
                .map(|((_, o), name)| (o, name)),
        );
        sim.check_revisions();
    }
    clear_faults(&sim);
    let waited_ms = sim
        .wait_for(BOUND_MS, "agreement", |sim| {
            sim.all_at_head() && holds_all(sim, &accepted)
        })
        .await;
    assert!(
        accepted.len() >= 10,
        "only {} changes were accepted",
        accepted.len()
    );
    check_audit(&sim, &accepted).await;
    assert_eq!(invariant_count(Invariant::RevisionNeverReverts), 0);
    println!(
        "seed {seed}: {} accepted, agreement after {waited_ms} ms",
        accepted.len()
    );
}

fn holds_all(sim: &Sim, accepted: &[(u128, String)]) -> bool {
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
    assert!(entries.windows(2).all(|pair| pair[0].base == pair[1].mark));
    for (operation, name) in accepted {
        let operator = format!("operator-{operation}");
        let recorded = entries
            .iter()
            .any(|e| e.operator.split(' ').any(|n| n == operator));
        assert!(recorded, "{name} by {operator} is not in the audit");
    }
}

/// Measures what a change costs, and guards against costs per node that grow with the fleet.
#[test_case(8, 1)]
#[test_case(40, 5)]
#[test_case(380, 45)]
#[tokio::test(start_paused = true)]
async fn cost_of_a_change(hosts: usize, regions: usize) {
    let sim = Sim::start(21, hosts, regions);
    let mut document = sample();
    publish_at(&sim, "host-000", 1, document.clone()).await;
    sim.wait_for(BOUND_MS, "revision 1", |sim| sim.all_at(1))
        .await;
    pause(5_000).await;
    let counts = |sim: &Sim| {
        let (net, store) = (sim.net.lock(), sim.kv.0.lock());
        [net.messages, net.bytes, store.reads, store.writes]
    };
    let idle = counts(&sim);
    pause(20_000).await;
    let (start, changes, mut slowest_ms) = (counts(&sim), 10, 0);
    for number in 2..2 + changes {
        document = with_customer(&document, &format!("c-{number}"));
        publish_at(&sim, "host-000", number, document.clone()).await;
        let revision = u64::try_from(number).unwrap();
        slowest_ms = slowest_ms.max(
            sim.wait_for(BOUND_MS, "a change", |sim| sim.all_at(revision))
                .await,
        );
        pause(2_000 - slowest_ms.min(1_900)).await;
    }
    let end = counts(&sim);
    let per_change = |n: usize| (end[n] - start[n]) as f64 / 10.0;
    let [messages, bytes] = [0, 1].map(|n| per_change(n) / hosts as f64);
    println!(
        "{hosts} hosts in {regions} regions: {messages:.2} messages and {bytes:.0} bytes per change and node, \
         {:.1} reads and {:.1} writes on the service per change, idle reads {:.1}/s, slowest {slowest_ms} ms",
        per_change(2),
        per_change(3),
        (start[2] - idle[2]) as f64 / 20.0,
    );
    assert!(messages <= 4.0, "two trees and some pulls");
    assert!(
        bytes * 36_000.0 / 86_400.0 < 12_000.0 / 4.0,
        "a quarter of the control traffic"
    );
    assert_eq!(per_change(3), 2.0, "an entry and the head");
}
