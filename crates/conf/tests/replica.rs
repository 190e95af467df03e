//! Replicas: lost writes of the key-value service, stale peers and restarts, in virtual time.

mod support;

use lw_conf::{AuditRecord, load_document, publish, read_audit, read_head};
use support::sim::{BOUND_MS, Sim, has_customer, pause, publish_at};
use support::{large_document, request, sample, with_customer};
use test_case::test_case;

async fn head_revision(sim: &Sim) -> u64 {
    let stored = read_head(&sim.kv.client())
        .await
        .expect("the service is up");
    stored.head.map_or(0, |head| head.mark.revision)
}

/// Guards against a host that reverts to an older revision when the service loses its last writes, once or repeatedly.
#[test_case(1, 1; "the last revision, once")]
#[test_case(3, 1; "the last three revisions, once")]
#[test_case(1, 2; "the last revision, twice")]
#[test_case(9, 1; "all revisions")]
#[tokio::test(start_paused = true)]
async fn hosts_write_lost_revisions_back(heads: usize, times: usize) {
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

/// Guards against the loss of an accepted change when the service loses it and another change is published with the
/// same revision.
#[tokio::test(start_paused = true)]
async fn changes_with_the_same_revision_are_merged() {
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
    sim.wait_for(BOUND_MS, "the merged revision", |sim| sim.all_at(3))
        .await;
    assert!(has_customer(&sim, "first") && has_customer(&sim, "second"));
    let records = read_audit(&sim.kv.client(), 10).await.expect("up");
    let AuditRecord::Published(entry) = &records[0] else {
        panic!("{records:?}")
    };
    assert_eq!(entry.operator, "recovery operator-2");
}

/// Guards against hosts that cannot start, or become ready with an old revision, while the service is down.
#[tokio::test(start_paused = true)]
async fn a_host_that_restarts_during_an_outage_loads_from_peers() {
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
        assert!(!sim.driver(host).ready());
    }
    let ready = |sim: &Sim| {
        ["host-000", "host-005", "host-008"]
            .iter()
            .all(|h| sim.driver(h).ready())
    };
    sim.wait_for(BOUND_MS, "loading from peers", |sim| {
        sim.all_at(2) && ready(sim)
    })
    .await;
    assert!(has_customer(&sim, "late"));
}

/// Guards against hosts that cannot start when all restart at once, so that no peer has the configuration.
#[tokio::test(start_paused = true)]
async fn hosts_load_from_the_service_when_all_restart() {
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

/// Guards against a region that keeps an old revision because its relays cannot reach the service.
#[tokio::test(start_paused = true)]
async fn a_region_cut_off_from_the_service_gets_revisions_from_other_regions() {
    let sim = Sim::start(6, 12, 2);
    publish_at(&sim, "host-000", 1, sample()).await;
    sim.wait_for(BOUND_MS, "revision 1", |sim| sim.all_at(1))
        .await;
    let odd = |name: &String| name[5..].parse::<u32>().is_ok_and(|number| number % 2 == 1);
    let cut_off = sim.names().into_iter().filter(odd).collect();
    sim.net.lock().cut_off = cut_off;
    publish_at(&sim, "host-000", 2, with_customer(&sample(), "a")).await;
    sim.wait_for(BOUND_MS, "revision 2", |sim| sim.all_at(2))
        .await;
    sim.start_host("host-003");
    let ready = |sim: &Sim| sim.driver("host-003").ready() && sim.all_at(2);
    sim.wait_for(BOUND_MS, "a start without the service", ready)
        .await;
}

/// Guards against a host that reverts to an older revision because a stale peer reports it.
#[tokio::test(start_paused = true)]
async fn the_older_revision_of_a_stale_peer_is_ignored() {
    let sim = Sim::start(5, 8, 1);
    publish_at(&sim, "host-000", 1, sample()).await;
    sim.wait_for(BOUND_MS, "revision 1", |sim| sim.all_at(1))
        .await;
    let stale = sim.driver("host-000").mark().expect("revision 1");
    publish_at(&sim, "host-000", 2, with_customer(&sample(), "a")).await;
    sim.wait_for(BOUND_MS, "revision 2", |sim| sim.all_at(2))
        .await;
    for host in sim.names() {
        sim.driver(&host).on_peer_mark("host-007", stale);
    }
    pause(3_000).await;
    sim.check_revisions();
    assert!(sim.all_at(2) && has_customer(&sim, "a"));
}
