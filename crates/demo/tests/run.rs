//! Runs the demonstration as a library, and checks its pass criteria.

use lw_demo::{DemoSummary, Deployment, Options, run_demo};
use test_case::test_case;

/// Guards against requests without an outcome, swapped answers, orders that are executed twice and invariant violations
/// under each fault: outage of the key-value service, killed host, failing engine, planned stops of a target, a host
/// and a region's targets. Also guards against a demonstration that does not produce these faults.
#[tokio::test(flavor = "multi_thread")]
async fn every_fault_leaves_correct_outcomes() {
    let options = Options {
        help: false,
        deployment: Deployment::Sahyog,
        seconds: 1,
        requests_per_s: 20.0,
        faults: true,
        seed: 11,
        log_level: log::LevelFilter::Error,
    };
    let summary = run_demo(&options).await.unwrap();
    println!("seed {}: {summary:?}", options.seed);
    assert!(summary.passed(), "{summary:?}");
    assert!(summary.orders_accepted, "{summary:?}");
    assert_eq!(summary.faults, 5);
    assert!(summary.sent_to_other_region > 0, "{summary:?}");
    assert!(summary.orders > 20, "{summary:?}");
    assert!(summary.complete * 10 >= summary.requests * 9, "{summary:?}");
}

/// Guards against a failed check that ends with exit code 0.
#[test_case(|summary| summary.without_outcome = 1; "no outcome")]
#[test_case(|summary| summary.wrong_answers = 1; "wrong answer")]
#[test_case(|summary| summary.orders_run_twice = 1; "order executed twice")]
#[test_case(|summary| summary.orders_misreported = 1; "wrong outcome reported")]
#[test_case(|summary| summary.violations = 1; "violation")]
#[test_case(|summary| summary.failed_stops.push("host".to_owned()); "failed stop")]
#[test_case(|summary| summary.failed_steps.push("step".to_owned()); "failed step")]
fn each_failed_check_fails_the_run(break_check: fn(&mut DemoSummary)) {
    let mut summary = DemoSummary::default();
    assert!(summary.passed());
    break_check(&mut summary);
    assert!(!summary.passed());
}
