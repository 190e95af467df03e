//! Hosts that are partitioned from their peers or have a wrong clock.

use crate::cluster::{Cluster, Reply};
use lw_base::prelude::*;
use lw_stand::LinkState;

/// Guards against an isolated host that never stops serving or stops too early, and against effects on the other hosts.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_host_that_is_cut_off_refuses_after_11_s_and_the_others_go_on() {
    let cluster = Cluster::with_hosts(&["a", "b", "c", "d"]).await;
    cluster.publish_first_revision().await;
    let serves =
        |cluster: &Cluster, name: &str| cluster.host(name).node.may_serve(cluster.clock.mono());
    assert_eq!(serves(&cluster, "a"), Ok(()));
    let began = cluster.clock.mono();
    cluster.fake_network.set_cut("a", &["b", "c", "d"], true);
    cluster.host("a").kv_link.set(LinkState::Down);
    cluster
        .wait_until("a host that refuses", |cluster| {
            serves(cluster, "a") == Err(ErrorKind::Isolated)
        })
        .await;
    let took_ms = cluster.clock.mono().since_ms(began);
    println!("refuses after {took_ms} ms");
    // The last acknowledgement or answer may be some seconds old at the cut; the bounds allow for a busy machine.
    assert!((5_000..=16_000).contains(&took_ms), "took {took_ms} ms");
    for name in ["b", "c", "d"] {
        assert_eq!(serves(&cluster, name), Ok(()), "{name}");
    }
    let id = cluster.new_key();
    let reply = cluster.request("a", id, true).await;
    assert!(
        matches!(reply, Reply::Refused(_, Outcome::NotRun)),
        "{reply:?}"
    );
    cluster.fake_network.set_cut("a", &["b", "c", "d"], false);
    cluster.host("a").kv_link.set(LinkState::Up);
    cluster
        .wait_until("a host that serves again", |cluster| {
            serves(cluster, "a") == Ok(())
        })
        .await;
    cluster.wait_until_settled().await;
    cluster.run_keys("a", 20).await;
    cluster.assert_no_key_ran_twice();
}

/// Guards against a host that receives messages but whose own are lost, and that keeps running the keys of its shards.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_host_whose_messages_are_lost_loses_its_shards() {
    let cluster = Cluster::with_hosts(&["a", "b", "c", "d"]).await;
    let keys = cluster.run_keys("a", 40).await;
    // Without the copy of its ending, the backup can only answer `outcome_unknown` for the last key.
    cluster.fake_network.wait_until_delivered().await;
    for other in ["b", "c", "d"] {
        cluster.fake_network.set_cut_one_way("a", other, true);
    }
    cluster
        .wait_until("no shard of a", |cluster| {
            let owns = |host: &crate::cluster::Host| host.status().owned_shards;
            owns(cluster.host("a")) == 0 && cluster.hosts.iter().map(owns).sum::<usize>() == 64
        })
        .await;
    cluster.assert_replayed("b", &keys).await;
    cluster.run_keys("c", 40).await;
    assert_eq!(
        cluster.host("a").node.may_serve(cluster.clock.mono()),
        Err(ErrorKind::NotReady)
    );
    cluster.assert_no_key_ran_twice();
}

/// Guards against a host that checks the issue time of keys with a wrong wall clock.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_host_with_a_wrong_wall_clock_runs_no_keys() {
    let cluster = Cluster::with_hosts(&["a", "b", "c"]).await;
    let a = cluster.host("a");
    assert!(a.node.clock_ok(cluster.clock.mono()));
    let offset = &a.wall_offset_ms;
    offset.store(2_500, std::sync::atomic::Ordering::Relaxed);
    cluster
        .wait_until("the wrong clock is detected", |cluster| {
            !cluster.host("a").status().clock_ok
        })
        .await;
    cluster.advance_ms(200).await;
    for _ in 0..20 {
        let reply = cluster.request("a", cluster.new_key(), true).await;
        let refused = Reply::Refused(ErrorKind::ClaimRefused, Outcome::NotRun);
        assert_eq!(reply, refused);
    }
    assert!(cluster.runs.lock().is_empty());
}
