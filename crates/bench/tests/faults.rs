//! Checks the invariants of the whole system under seeded faults. Use `lacewingstile-bench faults` for longer runs.

use lw_bench::{Check, inject_faults};

const SEEDS: [u64; 3] = [1, 2, 5];
/// Together, the schedules are long enough to exercise every check.
const SECONDS: u64 = 14;

/// Guards against duplicate runs of an order, wrong `not-run` outcomes, mixed-up or truncated responses, data outside
/// its region, requests to stopped targets, requests interrupted by planned stops, lost revisions, and regions that
/// stop serving during an outage of the key-value service.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn invariants_hold_under_faults() {
    println!("seeds {SEEDS:?}, {SECONDS} s of faults each");
    let runs = SEEDS.map(|seed| tokio::spawn(inject_faults(seed, SECONDS)));
    let mut reports = Vec::new();
    for run in runs {
        reports.push(run.await.unwrap().unwrap());
    }
    for report in &reports {
        report.print();
    }
    for report in &reports {
        assert!(report.violations.is_empty(), "seed {}", report.seed);
    }
    for check in Check::ALL {
        let counts = reports.iter().map(|report| report.check_count(check));
        assert!(counts.sum::<u64>() > 0, "no run exercised {check:?}");
    }
}
