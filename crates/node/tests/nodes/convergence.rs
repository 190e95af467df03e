//! Nodes find each other, and revisions reach all of them in time.

use crate::bed::Bed;

/// The longest time until a revision is in force everywhere.
const IN_FORCE_MS: u64 = 11_000;

/// Guards against revisions that reach only the relays or the publishing host.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_published_revision_is_in_force_everywhere_within_its_bound() {
    let mut bed = Bed::new();
    bed.start_all(&["a", "b", "c", "d", "e"]);
    bed.until("five members", |bed| {
        bed.hosts
            .iter()
            .all(|host| host.status().alive_members == 4)
    })
    .await;
    let began = bed.clock.mono();
    let published = bed.publish(&bed.hosts[2], 5_000).await.expect("published");
    bed.until_revision(published.entry.mark.revision).await;
    let took_ms = bed.clock.mono().since_ms(began);
    println!("in force after {took_ms} ms");
    assert!(took_ms <= IN_FORCE_MS, "took {took_ms} ms");
    let keepers = bed
        .hosts
        .iter()
        .filter(|host| host.status().runs_audit_retention);
    assert_eq!(keepers.count(), 1, "one host keeps the audit");
    for host in &bed.hosts {
        assert_eq!(*host.revisions.lock(), [1], "{} is told once", host.name);
    }
}

/// Guards against hosts that cannot start while the key-value service is down, although their peers have a revision.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_host_starts_from_its_peers_while_the_service_is_down() {
    let mut bed = Bed::new();
    bed.start_all(&["a", "b", "c"]);
    bed.publish_first().await;
    bed.kv.set_outage(true);
    let began = bed.clock.mono();
    bed.start("d");
    bed.until_revision(1).await;
    let took_ms = bed.clock.mono().since_ms(began);
    println!("ready after {took_ms} ms");
    assert!(took_ms <= IN_FORCE_MS, "took {took_ms} ms");
    assert_eq!(bed.host("d").node.may_serve(bed.clock.mono()), Ok(()));
    bed.publish(&bed.hosts[0], 6_000)
        .await
        .expect_err("no publishing in an outage");
}
