//! Planned stops of hosts.

use crate::cluster::{Cluster, Reply};
use lw_base::prelude::*;
use uuid::Uuid;

const LEAVE_MS: u64 = 60_000;

/// Retries until the key runs and returns the number of refusals, each of which must report that it did not run.
async fn run_with_retries(cluster: &Cluster, at: &str, id: Uuid) -> u32 {
    for refusals in 0..200 {
        match cluster.request(at, id, true).await {
            Reply::Done(_) => return refusals,
            Reply::Refused(kind, Outcome::NotRun) => println!("{kind:?} for {id}"),
            other => panic!("{other:?} for a key that did not run"),
        }
        cluster.advance_ms(100).await;
    }
    panic!("key {id} does not run");
}

/// Guards against keys and requests that are lost while the owner of their shard leaves.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_leaving_host_hands_its_shards_over_without_losing_a_key() {
    let mut cluster = Cluster::with_hosts(&["a", "b", "c", "d"]).await;
    let mut keys = cluster.run_keys("a", 40).await;
    let leaving = cluster.host("b").node.clone();
    let leave = tokio::spawn(async move { leaving.leave(LEAVE_MS).await });
    let mut refusals = 0;
    while !leave.is_finished() {
        let id = cluster.new_key();
        refusals += run_with_retries(&cluster, "a", id).await;
        keys.push(id);
        cluster.advance_ms(50).await;
    }
    assert!(leave.await.expect("no panic"), "the handover is complete");
    assert_eq!(cluster.host("b").status().owned_shards, 0);
    cluster.kill("b");
    println!("{} keys, {refusals} refusals as not run", keys.len());
    cluster.assert_replayed("c", &keys).await;
    cluster.wait_until_settled().await;
    cluster.assert_replayed("a", &keys).await;
    cluster.assert_no_key_ran_twice();
}

/// Guards against revisions and stored answers that are lost once the hosts that first stored them are replaced.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn revisions_and_answers_survive_the_replacement_of_every_host() {
    let mut cluster = Cluster::with_hosts(&["a", "b", "c"]).await;
    cluster.publish_first_revision().await;
    let mut keys = cluster.run_keys("a", 30).await;
    for (old, new) in [("a", "a2"), ("b", "b2"), ("c", "c2")] {
        cluster.start(new);
        cluster.wait_until_settled().await;
        let leaving = cluster.host(old).node.clone();
        assert!(leaving.leave(LEAVE_MS).await, "{old} hands over");
        cluster.kill(old);
        cluster.wait_for_revision(1).await;
        keys.extend(cluster.run_keys(new, 10).await);
    }
    cluster.wait_until_settled().await;
    cluster.assert_replayed("a2", &keys).await;
    cluster.assert_no_key_ran_twice();
}
