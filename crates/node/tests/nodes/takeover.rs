//! Keys run at most once and keep their answers when hosts or the key-value service fail.

use crate::cluster::{Cluster, Reply};
use lw_base::prelude::*;
use lw_idem::{RecordKey, shard_of};
use lw_node::SubmitDecision;
use uuid::Uuid;

const HOST_NAMES: [&str; 5] = ["a", "b", "c", "d", "e"];

fn shard(id: Uuid) -> usize {
    shard_of(RecordKey { scope: 7, id })
}

/// Returns the names of the owner and the backup of a key.
fn owner_and_backup(cluster: &Cluster, id: Uuid) -> (String, String) {
    let map = cluster.hosts[0]
        .node
        .shard_map()
        .expect("the host has a shard map");
    let view = &map.shards[shard(id)];
    let backup = view.backup.as_ref().expect("the shard has a backup");
    (view.owner.host.to_string(), backup.host.to_string())
}

/// Waits until no shard names one of the `lost` hosts as owner or backup.
async fn wait_until_replaced(cluster: &Cluster, lost: &[&str]) {
    cluster
        .wait_until("views without the lost hosts", |cluster| {
            cluster.hosts.iter().all(|host| {
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

/// Guards against a second run or a lost answer after the owner of a key fails.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_backup_of_a_killed_owner_replays_its_answers() {
    let mut cluster = Cluster::with_hosts(&HOST_NAMES).await;
    let keys = cluster.run_keys("a", 60).await;
    let running = cluster.new_key();
    let SubmitDecision::Run(permit) = cluster.decide("a", running, true).await else {
        panic!("a new key did not get a permit");
    };
    let (owner, _) = owner_and_backup(&cluster, running);
    cluster.kill(&owner);
    let at = cluster.hosts[0].name.clone();
    wait_until_replaced(&cluster, &[&owner]).await;
    cluster.wait_until_settled().await;
    cluster.assert_replayed(&at, &keys).await;
    let reply = cluster.request(&at, running, false).await;
    assert_eq!(
        reply,
        Reply::UNKNOWN,
        "the first run may still be in progress"
    );
    drop(permit);
    cluster.run_keys(&at, 20).await;
    cluster.assert_no_key_ran_twice();
}

/// Guards against a restarted host that is treated as its former process, whose records it has lost.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_restarted_host_does_not_run_the_keys_of_its_former_process() {
    let mut cluster = Cluster::with_hosts(&["a", "b", "c"]).await;
    let keys = cluster.run_keys("a", 60).await;
    let former = cluster
        .host("b")
        .node
        .shard_map()
        .expect("the host has a shard map");
    cluster.kill("b");
    cluster.start("b");
    for id in &keys {
        let reply = cluster.request("a", *id, false).await;
        assert!(!matches!(reply, Reply::Done(_)), "{id} ran again");
    }
    cluster.wait_until_settled().await;
    let map = cluster
        .host("b")
        .node
        .shard_map()
        .expect("the host has a shard map");
    assert!(map.revision > former.revision);
    assert!(
        map.hosts
            .iter()
            .all(|host| !former.lists(&host.instance) || &*host.instance.host != "b")
    );
    cluster.assert_replayed("b", &keys).await;
}

/// Guards against a second run after both hosts with the record of the first run fail.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn keys_of_a_killed_pair_are_unknown_and_never_run_again() {
    let mut cluster = Cluster::with_hosts(&HOST_NAMES).await;
    let keys = cluster.run_keys("a", 80).await;
    let (owner, backup) = owner_and_backup(&cluster, keys[0]);
    let lost: Vec<Uuid> = keys
        .iter()
        .copied()
        .filter(|id| {
            let members = owner_and_backup(&cluster, *id);
            [&owner, &backup].contains(&&members.0) && [&owner, &backup].contains(&&members.1)
        })
        .collect();
    cluster.kill(&owner);
    cluster.kill(&backup);
    let at = cluster.hosts[0].name.clone();
    wait_until_replaced(&cluster, &[&owner, &backup]).await;
    cluster.wait_until_settled().await;
    for id in &keys {
        let reply = cluster.request(&at, *id, false).await;
        match lost.contains(id) {
            true => assert_eq!(reply, Reply::UNKNOWN),
            false => assert!(matches!(reply, Reply::Replayed(_)), "{reply:?}"),
        }
    }
    cluster.run_keys(&at, 40).await;
    cluster.assert_no_key_ran_twice();
}

/// Guards against owners and backups that stop during an outage of the key-value service, and against answers that are
/// lost after it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn pairs_run_keys_through_an_outage_of_the_service() {
    let cluster = Cluster::with_hosts(&["a", "b", "c", "d"]).await;
    let mut keys = cluster.run_keys("a", 10).await;
    cluster.kv.set_outage(true);
    // Evidence from the service expires after 11 s; from then on only peers provide it.
    for _ in 0..10 {
        cluster.advance_ms(2_000).await;
        keys.extend(cluster.run_keys("b", 10).await);
    }
    cluster.assert_replayed("c", &keys).await;
    cluster.kv.set_outage(false);
    cluster.wait_until_settled().await;
    cluster.assert_replayed("d", &keys).await;
    cluster.assert_no_key_ran_twice();
}

/// Guards against shard epochs that decrease, or keys that run again, after the service loses its last writes.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_service_that_loses_its_last_writes_gets_them_back() {
    let mut cluster = Cluster::with_hosts(&["a", "b", "c"]).await;
    for deadline_ms in [5_000, 6_000, 7_000] {
        let published = cluster.publish(&cluster.hosts[0], deadline_ms).await;
        let revision = published.expect("published").entry.mark.revision;
        cluster.wait_for_revision(revision).await;
    }
    cluster.start("d");
    cluster.wait_until_settled().await;
    let keys = cluster.run_keys("a", 40).await;
    let before = cluster.hosts[0]
        .node
        .shard_map()
        .expect("the host has a shard map");
    cluster.kv.revert_last_writes(10);
    cluster.advance_ms(15_000).await;
    cluster.wait_until_settled().await;
    let after = cluster.hosts[0]
        .node
        .shard_map()
        .expect("the host has a shard map");
    for (old, new) in before.shards.iter().zip(&after.shards) {
        assert!(new.epoch >= old.epoch, "{} to {}", old.epoch, new.epoch);
    }
    cluster.wait_for_revision(3).await;
    // A new host, which knows only the service and its peers, finds the newest revision.
    cluster.start("e");
    cluster.wait_for_revision(3).await;
    cluster.wait_until_settled().await;
    cluster.assert_replayed("e", &keys).await;
    cluster.run_keys("e", 20).await;
    cluster.assert_no_key_ran_twice();
}

/// Guards against answers that are lost although their owner or backup remains, because that host reaches no other.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_last_host_of_three_replays_the_answers_that_it_has() {
    let mut cluster = Cluster::with_hosts(&["a", "b", "c"]).await;
    let keys = cluster.run_keys("a", 40).await;
    let in_pair = |id: &Uuid| {
        let (owner, backup) = owner_and_backup(&cluster, *id);
        owner == "a" || backup == "a"
    };
    let own: Vec<Uuid> = keys.iter().copied().filter(in_pair).collect();
    let foreign: Vec<Uuid> = keys.iter().copied().filter(|id| !in_pair(id)).collect();
    cluster.kill("b");
    cluster.kill("c");
    cluster
        .wait_until(
            "ownership of the shards that a was owner or backup of",
            |cluster| {
                let a = cluster.host("a").status();
                a.owned_shards > 0 && a.backup_shards == 0
            },
        )
        .await;
    cluster.assert_replayed("a", &own).await;
    for id in &foreign {
        let reply = cluster.request("a", *id, false).await;
        assert!(
            matches!(reply, Reply::Refused(_, Outcome::Unknown)),
            "{reply:?}"
        );
    }
    println!("{} keys replayed, {} refused", own.len(), foreign.len());
}
