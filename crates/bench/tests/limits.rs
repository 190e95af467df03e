//! The limits of targets that hosts share, in a model of a region with 8 and with 300 hosts.

use lw_bench::limits::{LIMIT_FAULTS, LimitRun, Load, Way, run_limits};
use lw_bench::region::NO_FAULTS;
use test_case::test_case;

const SEED: u64 = 20_261_204;
/// A target may get this many requests in 4 s, as a multiple of what its limit allows, and [`SLACK`] more.
const OVERSHOOT: f64 = 1.5;
const SLACK: f64 = 5.0;
/// The least part of a limit that is used when callers ask for three times as much.
const MIN_USE: f64 = 0.5;
/// Loans use at least so many times as much of a limit as fixed parts when one host has all traffic.
const MIN_GAIN: f64 = 2.0;

fn calm_run(hosts: usize, limit_per_s: f64) -> LimitRun<'static> {
    LimitRun {
        hosts,
        targets: 4,
        limit_per_s,
        asked_per_s: 3.0 * limit_per_s.max(1.0),
        load: Load::Even,
        faults: &NO_FAULTS,
        way: Way::Loans,
        end_ms: if hosts > 100 { 6_000 } else { 16_000 },
        seed: SEED,
    }
}

fn allowed(limit_per_s: f64) -> f64 {
    OVERSHOOT * 4.0 * limit_per_s + SLACK
}

struct FaultCase {
    hosts: usize,
    limit_per_s: f64,
}

// Guards against parts that sum to more than the limit while hosts are cut off, stand still, restart or are added.
#[test_case(&FaultCase { hosts: 2, limit_per_s: 6.0 }; "two hosts")]
#[test_case(&FaultCase { hosts: 8, limit_per_s: 6.0 }; "eight hosts")]
#[test_case(&FaultCase { hosts: 8, limit_per_s: 0.3 }; "eight hosts, less than one request per second")]
#[test_case(&FaultCase { hosts: 8, limit_per_s: 1.5 }; "eight hosts, fewer requests than hosts")]
#[test_case(&FaultCase { hosts: 8, limit_per_s: 200.0 }; "eight hosts, many requests")]
#[test_case(&FaultCase { hosts: 24, limit_per_s: 6.0 }; "two dozen hosts")]
fn hosts_keep_a_limit_through_faults(case: &FaultCase) {
    for (name, faults) in &LIMIT_FAULTS {
        for load in Load::ALL {
            let outcome = run_limits(&LimitRun {
                load,
                faults,
                ..calm_run(case.hosts, case.limit_per_s)
            });
            assert!(
                outcome.most_in_window as f64 <= allowed(case.limit_per_s),
                "{name}, {}: {outcome:?}",
                load.name()
            );
        }
    }
}

// Guards against parts that sum to more than the limit, or that lie idle, in a region of hundreds of hosts.
#[test_case(Load::Even; "even")]
#[test_case(Load::OneHost; "all traffic at one host")]
fn hundreds_of_hosts_keep_and_use_a_limit(load: Load) {
    let run = calm_run(300, 6.0);
    let outcome = run_limits(&LimitRun { load, ..run });
    assert!(
        outcome.most_in_window as f64 <= allowed(run.limit_per_s),
        "{outcome:?}"
    );
    assert!(outcome.used >= MIN_USE, "{outcome:?}");
}

// Guards against a limit that lies idle because the parts are not where the requests are.
#[test_case(Load::Even, 0.0; "even")]
#[test_case(Load::Skewed, MIN_GAIN; "most traffic at one host")]
#[test_case(Load::OneHost, MIN_GAIN; "all traffic at one host")]
#[test_case(Load::Moving, MIN_GAIN; "moving traffic")]
fn parts_follow_the_requests(load: Load, min_gain: f64) {
    let run = LimitRun {
        load,
        ..calm_run(8, 6.0)
    };
    let lending = run_limits(&run);
    let fixed = run_limits(&LimitRun {
        way: Way::Holders,
        ..run
    });
    assert!(lending.used >= MIN_USE, "{lending:?}");
    assert!(
        lending.used >= min_gain * fixed.used,
        "{lending:?}, {fixed:?}"
    );
}
