//! The demonstration as a library.

use lw_demo::{Deployment, Options, run_demo};

/// Guards against a fault (outage of the key-value service, killed host, failing engine, planned stop) that lets a
/// request end without an outcome, mixes up answers, runs an order twice or violates an invariant, and against a
/// demonstration that does not notice it.
#[tokio::test(flavor = "multi_thread")]
async fn every_fault_once() {
    let options = Options {
        help: false,
        deployment: Deployment::Sahyog,
        seconds: 1,
        requests_per_s: 20.0,
        faults: true,
        seed: 11,
    };
    let verdict = run_demo(&options).await.unwrap();
    println!("seed {}: {verdict:?}", options.seed);
    assert!(verdict.passed(), "{verdict:?}");
    assert!(verdict.orders_taken, "{verdict:?}");
    assert_eq!(verdict.faults, 4);
    assert!(verdict.orders > 20, "{verdict:?}");
    assert!(verdict.complete * 10 >= verdict.requests * 9, "{verdict:?}");
}
