//! Several nodes in one process.
//!
//! One test binary, because the tests spend their time waiting and run at the same time.

mod bed;
mod convergence;
mod exchange;
mod isolation;
mod leaving;
mod permits;
mod placement;
mod random;
mod takeover;
mod traffic;

use bed::{Bed, Told};

/// Guards against a region that never runs keys again after all of its hosts were lost at once.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
#[ignore = "see KNOWN-RED.txt"]
async fn a_region_recovers_from_the_loss_of_all_hosts() {
    let mut bed = Bed::with_hosts(&["a", "b", "c"]).await;
    let keys = bed.run_keys("a", 20).await;
    for name in ["a", "b", "c"] {
        bed.kill(name);
    }
    bed.start_all(&["a2", "b2", "c2"]);
    bed.settle().await;
    for id in &keys {
        let told = bed.ask("a2", *id, false).await;
        assert_eq!(told, Told::UNKNOWN);
    }
    bed.run_keys("a2", 20).await;
}
