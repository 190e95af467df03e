//! Nodes discover each other, and published revisions reach all of them in time.

use crate::cluster::Cluster;

/// The longest time until a published revision is in force everywhere, or until a new host has the revision in force.
const IN_FORCE_MS: u64 = 11_000;

/// The time for which the host that runs audit retention must stay the same; a tick takes 100 ms.
const ELECTION_CHECK_MS: u64 = 1_000;

/// Guards against revisions that reach only the relays or the publishing host.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_published_revision_is_in_force_everywhere_within_its_bound() {
    let mut cluster = Cluster::new();
    cluster.start_all(&["a", "b", "c", "d", "e"]);
    cluster
        .wait_until("four other live members on each host", |cluster| {
            cluster
                .hosts
                .iter()
                .all(|host| host.status().alive_members == 4)
        })
        .await;
    let began = cluster.clock.mono();
    let published = cluster
        .publish(&cluster.hosts[2], 5_000)
        .await
        .expect("published");
    cluster
        .wait_for_revision(published.entry.mark.revision)
        .await;
    let took_ms = cluster.clock.mono().since_ms(began);
    println!("in force after {took_ms} ms");
    assert!(took_ms <= IN_FORCE_MS, "took {took_ms} ms");
    // A host updates its relay tree on the tick after a change of its members; until then it can be the first relay of
    // its own tree.
    cluster
        .wait_until("one host runs audit retention", |cluster| {
            audit_hosts(cluster).len() == 1
        })
        .await;
    let took_ms = cluster.clock.mono().since_ms(began);
    assert!(
        took_ms <= IN_FORCE_MS,
        "one host runs audit retention after {took_ms} ms"
    );
    let elected = audit_hosts(&cluster);
    cluster.advance_ms(ELECTION_CHECK_MS).await;
    assert_eq!(
        audit_hosts(&cluster),
        elected,
        "the same one host still runs audit retention"
    );
    for host in &cluster.hosts {
        assert_eq!(
            *host.revisions.lock(),
            [1],
            "{} is notified of the revision once",
            host.name
        );
    }
}

/// Returns the hosts that run audit retention.
fn audit_hosts(cluster: &Cluster) -> Vec<&str> {
    let hosts = cluster
        .hosts
        .iter()
        .filter(|host| host.status().runs_audit_retention);
    hosts.map(|host| host.name.as_str()).collect()
}

/// Guards against hosts that cannot start while the key-value service is down, although their peers have a revision.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_host_starts_from_its_peers_while_the_service_is_down() {
    let mut cluster = Cluster::new();
    cluster.start_all(&["a", "b", "c"]);
    cluster.publish_first_revision().await;
    cluster.kv.set_outage(true);
    let began = cluster.clock.mono();
    cluster.start("d");
    cluster.wait_for_revision(1).await;
    let took_ms = cluster.clock.mono().since_ms(began);
    println!("ready after {took_ms} ms");
    assert!(took_ms <= IN_FORCE_MS, "took {took_ms} ms");
    assert_eq!(
        cluster.host("d").node.may_serve(cluster.clock.mono()),
        Ok(())
    );
    cluster
        .publish(&cluster.hosts[0], 6_000)
        .await
        .expect_err("publishing fails during an outage");
}
