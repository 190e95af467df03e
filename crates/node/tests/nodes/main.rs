//! Tests with several nodes in one process.
//!
//! They form one test binary, because they mostly wait and can run concurrently.

mod cluster;
mod convergence;
mod exchange;
mod isolation;
mod leaving;
mod permits;
mod placement;
mod random;
mod takeover;
mod traffic;

use cluster::{Cluster, Reply};

/// Guards against a region that never runs keys again after all of its hosts are lost at once.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
#[ignore = "see KNOWN-RED.txt"]
async fn a_region_recovers_from_the_loss_of_all_hosts() {
    let mut cluster = Cluster::with_hosts(&["a", "b", "c"]).await;
    let keys = cluster.run_keys("a", 20).await;
    for name in ["a", "b", "c"] {
        cluster.kill(name);
    }
    cluster.start_all(&["a2", "b2", "c2"]);
    cluster.wait_until_settled().await;
    for id in &keys {
        let reply = cluster.request("a2", *id, false).await;
        assert_eq!(reply, Reply::UNKNOWN);
    }
    cluster.run_keys("a2", 20).await;
}
