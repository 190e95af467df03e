//! Hosts fail, and keys still run at most once.

use crate::bed::{Bed, Told};
use lw_base::prelude::*;
use lw_idem::{RecordKey, shard_of};
use lw_node::SubmitDecision;
use uuid::Uuid;

const FIVE: [&str; 5] = ["a", "b", "c", "d", "e"];

fn shard(id: Uuid) -> usize {
    shard_of(RecordKey { scope: 7, id })
}

/// Returns owner and backup of a key by name.
fn pair(bed: &Bed, id: Uuid) -> (String, String) {
    let map = bed.hosts[0].node.shard_map().expect("a map is held");
    let view = &map.shards[shard(id)];
    let backup = view.backup.as_ref().expect("the pair is complete");
    (view.owner.host.to_string(), backup.host.to_string())
}

/// Waits until no view names one of `lost`.
async fn until_replaced(bed: &Bed, lost: &[&str]) {
    bed.until("views without the lost hosts", |bed| {
        bed.hosts.iter().all(|host| {
            let Some(map) = host.node.shard_map() else {
                return false;
            };
            map.shards.iter().all(|view| {
                let backup = view.backup.iter().map(|backup| &*backup.host);
                let mut named = backup.chain([&*view.owner.host]);
                named.all(|name| !lost.contains(&name))
            })
        })
    })
    .await;
}

/// Guards against a second run, or a lost answer, after the owner of a key failed.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_backup_of_a_killed_owner_replays_its_answers() {
    let mut bed = Bed::with_hosts(&FIVE).await;
    let keys = bed.run_keys("a", 60).await;
    let running = bed.key();
    let SubmitDecision::Run(permit) = bed.decide("a", running, true).await else {
        panic!("a new key runs");
    };
    let (owner, _) = pair(&bed, running);
    bed.kill(&owner);
    let at = bed.hosts[0].name.clone();
    until_replaced(&bed, &[&owner]).await;
    bed.settle().await;
    bed.assert_replayed(&at, &keys).await;
    let told = bed.ask(&at, running, false).await;
    assert_eq!(told, Told::UNKNOWN, "the run may still go on");
    drop(permit);
    bed.run_keys(&at, 20).await;
    bed.assert_no_key_ran_twice();
}

/// Guards against a restarted host that is taken for the process whose tables it has lost.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_restarted_host_does_not_run_the_keys_of_its_former_process() {
    let mut bed = Bed::with_hosts(&["a", "b", "c"]).await;
    let keys = bed.run_keys("a", 60).await;
    let former = bed.host("b").node.shard_map().expect("a map is held");
    bed.kill("b");
    bed.start("b");
    for id in &keys {
        let told = bed.ask("a", *id, false).await;
        assert!(!matches!(told, Told::Done(_)), "{id} ran again");
    }
    bed.settle().await;
    let map = bed.host("b").node.shard_map().expect("a map is held");
    assert!(map.revision > former.revision);
    assert!(
        map.hosts
            .iter()
            .all(|host| !former.lists(&host.instance) || &*host.instance.host != "b")
    );
    bed.assert_replayed("b", &keys).await;
}

/// Guards against a second run after both hosts that knew of the first one failed.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn keys_of_a_killed_pair_are_unknown_and_never_run_again() {
    let mut bed = Bed::with_hosts(&FIVE).await;
    let keys = bed.run_keys("a", 80).await;
    let (owner, backup) = pair(&bed, keys[0]);
    let lost: Vec<Uuid> = keys
        .iter()
        .copied()
        .filter(|id| {
            let members = pair(&bed, *id);
            [&owner, &backup].contains(&&members.0) && [&owner, &backup].contains(&&members.1)
        })
        .collect();
    bed.kill(&owner);
    bed.kill(&backup);
    let at = bed.hosts[0].name.clone();
    until_replaced(&bed, &[&owner, &backup]).await;
    bed.settle().await;
    for id in &keys {
        let told = bed.ask(&at, *id, false).await;
        match lost.contains(id) {
            true => assert_eq!(told, Told::UNKNOWN),
            false => assert!(matches!(told, Told::Replayed(_)), "{told:?}"),
        }
    }
    bed.run_keys(&at, 40).await;
    bed.assert_no_key_ran_twice();
}

/// Guards against pairs that stop with the key-value service, and against answers that are lost after its outage.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn pairs_run_keys_through_an_outage_of_the_service() {
    let bed = Bed::with_hosts(&["a", "b", "c", "d"]).await;
    let mut keys = bed.run_keys("a", 10).await;
    bed.kv.set_outage(true);
    // Evidence from the service lapses after 11 s; from then on the peers alone give it.
    for _ in 0..10 {
        bed.pass_ms(2_000).await;
        keys.extend(bed.run_keys("b", 10).await);
    }
    bed.assert_replayed("c", &keys).await;
    bed.kv.set_outage(false);
    bed.settle().await;
    bed.assert_replayed("d", &keys).await;
    bed.assert_no_key_ran_twice();
}

/// Guards against a view that goes back, or a key that runs again, after the service lost its last writes.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_service_that_loses_its_last_writes_gets_them_back() {
    let mut bed = Bed::with_hosts(&["a", "b", "c"]).await;
    for wait_ms in [5_000, 6_000, 7_000] {
        let published = bed.publish(&bed.hosts[0], wait_ms).await;
        let revision = published.expect("published").entry.mark.revision;
        bed.until_revision(revision).await;
    }
    bed.start("d");
    bed.settle().await;
    let keys = bed.run_keys("a", 40).await;
    let before = bed.hosts[0].node.shard_map().expect("a map is held");
    bed.kv.forget_last_writes(10);
    bed.pass_ms(15_000).await;
    bed.settle().await;
    let after = bed.hosts[0].node.shard_map().expect("a map is held");
    for (old, new) in before.shards.iter().zip(&after.shards) {
        assert!(new.epoch >= old.epoch, "{} to {}", old.epoch, new.epoch);
    }
    bed.until_revision(3).await;
    // A host that asks only the service and its peers finds the newest revision.
    bed.start("e");
    bed.until_revision(3).await;
    bed.settle().await;
    bed.assert_replayed("e", &keys).await;
    bed.run_keys("e", 20).await;
    bed.assert_no_key_ran_twice();
}

/// Guards against answers that are lost although one host of their pair is left, because that host sees nobody.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_last_host_of_three_replays_the_answers_that_it_has() {
    let mut bed = Bed::with_hosts(&["a", "b", "c"]).await;
    let keys = bed.run_keys("a", 40).await;
    let in_pair = |id: &Uuid| {
        let (owner, backup) = pair(&bed, *id);
        owner == "a" || backup == "a"
    };
    let kept: Vec<Uuid> = keys.iter().copied().filter(in_pair).collect();
    let foreign: Vec<Uuid> = keys.iter().copied().filter(|id| !in_pair(id)).collect();
    bed.kill("b");
    bed.kill("c");
    bed.until("the shards that a had a part in", |bed| {
        let a = bed.host("a").status();
        a.owned_shards > 0 && a.backup_shards == 0
    })
    .await;
    bed.assert_replayed("a", &kept).await;
    for id in &foreign {
        let told = bed.ask("a", *id, false).await;
        assert!(
            matches!(told, Told::Refused(_, Outcome::Unknown)),
            "{told:?}"
        );
    }
    println!("{} kept, {} not", kept.len(), foreign.len());
}
