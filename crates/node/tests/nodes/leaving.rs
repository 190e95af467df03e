//! Planned stops.

use crate::bed::{Bed, Told};
use lw_base::prelude::*;
use uuid::Uuid;

const LEAVE_MS: u64 = 60_000;

/// Asks until the key ran; every refusal on the way must say that it did not run.
async fn run_with_retries(bed: &Bed, at: &str, id: Uuid) -> u32 {
    for refusals in 0..200 {
        match bed.ask(at, id, true).await {
            Told::Done(_) => return refusals,
            Told::Refused(kind, Outcome::NotRun) => println!("{kind:?} for {id}"),
            other => panic!("{other:?} for a key that did not run"),
        }
        bed.pass_ms(100).await;
    }
    panic!("key {id} does not run");
}

/// Guards against keys and requests that are lost when the owner of their shard leaves.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_leaving_host_hands_its_shards_over_without_losing_a_key() {
    let mut bed = Bed::with_hosts(&["a", "b", "c", "d"]).await;
    let mut keys = bed.run_keys("a", 40).await;
    let leaving = bed.host("b").node.clone();
    let leave = tokio::spawn(async move { leaving.leave(LEAVE_MS).await });
    let mut refusals = 0;
    while !leave.is_finished() {
        let id = bed.key();
        refusals += run_with_retries(&bed, "a", id).await;
        keys.push(id);
        bed.pass_ms(50).await;
    }
    assert!(leave.await.expect("no panic"), "the hand-over is complete");
    assert_eq!(bed.host("b").status().owned_shards, 0);
    bed.kill("b");
    println!("{} keys, {refusals} refusals as not run", keys.len());
    bed.assert_replayed("c", &keys).await;
    bed.settle().await;
    bed.assert_replayed("a", &keys).await;
    bed.assert_no_key_ran_twice();
}

/// Guards against revisions and answers that live only as long as the hosts that first held them.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn revisions_and_answers_survive_the_replacement_of_every_host() {
    let mut bed = Bed::with_hosts(&["a", "b", "c"]).await;
    bed.publish_first().await;
    let mut keys = bed.run_keys("a", 30).await;
    for (old, new) in [("a", "a2"), ("b", "b2"), ("c", "c2")] {
        bed.start(new);
        bed.settle().await;
        let leaving = bed.host(old).node.clone();
        assert!(leaving.leave(LEAVE_MS).await, "{old} hands over");
        bed.kill(old);
        bed.until_revision(1).await;
        keys.extend(bed.run_keys(new, 10).await);
    }
    bed.settle().await;
    bed.assert_replayed("a2", &keys).await;
    bed.assert_no_key_ran_twice();
}
