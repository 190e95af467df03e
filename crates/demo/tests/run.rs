//! The demonstration as a library.

use lw_demo::{DemoSummary, Deployment, Options, run_demo};
use test_case::test_case;

/// Guards against a fault (outage of the key-value service, killed host, failing engine, planned
/// stops of a target, a host and a region's targets) that lets a
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
        log_level: log::LevelFilter::Error,
    };
    let verdict = run_demo(&options).await.unwrap();
    println!("seed {}: {verdict:?}", options.seed);
    assert!(verdict.passed(), "{verdict:?}");
    assert!(verdict.orders_accepted, "{verdict:?}");
    assert_eq!(verdict.faults, 5);
    assert!(verdict.sent_to_other_region > 0, "{verdict:?}");
    assert!(verdict.orders > 20, "{verdict:?}");
    assert!(verdict.complete * 10 >= verdict.requests * 9, "{verdict:?}");
}

/// Guards against a broken promise that ends with exit code 0.
#[test_case(|verdict| verdict.without_outcome = 1; "no outcome")]
#[test_case(|verdict| verdict.wrong_answers = 1; "wrong answer")]
#[test_case(|verdict| verdict.orders_run_twice = 1; "order twice")]
#[test_case(|verdict| verdict.orders_misreported = 1; "told wrong")]
#[test_case(|verdict| verdict.violations = 1; "violation")]
#[test_case(|verdict| verdict.failed_stops.push("host".to_owned()); "failed stop")]
#[test_case(|verdict| verdict.failed_steps.push("step".to_owned()); "failed step")]
fn a_broken_promise_fails(broken: fn(&mut DemoSummary)) {
    let mut verdict = DemoSummary::default();
    assert!(verdict.passed());
    broken(&mut verdict);
    assert!(!verdict.passed());
}
