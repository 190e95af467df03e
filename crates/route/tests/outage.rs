//! Outlier ejection when most or all targets of a service fail.

mod common;

use std::sync::Arc;

use common::{all, at, fleet};
use lw_base::prelude::*;
use lw_route::{AttemptEnd, Decision, Query, RouteView, Router};
use test_case::test_case;

const SERVICE: ServiceKey = ServiceKey(0);
const LOOKUP_EVERY_MS: u64 = 50;
const FAULT_MS: (u64, u64) = (10_000, 160_000);

/// The results of the lookups in one run.
#[derive(Debug, Default)]
struct Counts {
    /// Lookups that found no target during the fault.
    refused_in_fault: u32,
    /// First attempts that failed during the fault.
    failed_in_fault: u32,
    in_fault: u32,
    /// Lookups that found no target after the fault.
    unanswered_after: u32,
    /// The time from the end of the fault until every target has answered, in milliseconds.
    all_recovered_ms: u64,
}

fn decide(view: &RouteView, now_ms: u64) -> Option<TargetKey> {
    let query = Query::new(SERVICE, all(view.fleet()));
    match view.decide(at(now_ms), &query) {
        Decision::Target(target) => Some(target),
        _ => None,
    }
}

/// Sends lookups without retries while the first `down` of `targets` targets fail for a time.
fn run(targets: usize, down: usize) -> Counts {
    let router = Router::new(MonoMs(0), &Arc::new(fleet(&[targets])), "region-0", 7);
    let view = router.view();
    let mut counts = Counts::default();
    let mut answered = vec![false; targets];
    for now_ms in (0..FAULT_MS.1 + 70_000).step_by(LOOKUP_EVERY_MS as usize) {
        let in_fault = (FAULT_MS.0..FAULT_MS.1).contains(&now_ms);
        counts.in_fault += u32::from(in_fault);
        let target = decide(&view, now_ms);
        let Some((target, attempt)) =
            target.and_then(|key| Some((key, view.begin(at(now_ms), key)?)))
        else {
            counts.refused_in_fault += u32::from(in_fault);
            counts.unanswered_after += u32::from(now_ms >= FAULT_MS.1);
            continue;
        };
        let fails = in_fault && target.index() < down;
        counts.failed_in_fault += u32::from(fails);
        let end = if fails {
            AttemptEnd::Failure
        } else {
            AttemptEnd::Success
        };
        attempt.finish(MonoMs(now_ms), end);
        if now_ms >= FAULT_MS.1 && !answered[target.index()] {
            answered[target.index()] = true;
            counts.all_recovered_ms = now_ms - FAULT_MS.1;
        }
    }
    assert!(
        answered.iter().all(|answered| *answered),
        "a target stays ejected"
    );
    counts
}

/// Guards against refusing lookups for up to a minute after an outage of all targets has ended, and against targets
/// that stay ejected for a minute while the others carry their load.
#[test_case(1, 1)]
#[test_case(3, 3)]
#[test_case(18, 18)]
#[test_case(3, 2)]
#[test_case(18, 12)]
fn lookups_are_answered_as_soon_as_a_target_recovers(targets: usize, down: usize) {
    let counts = run(targets, down);
    println!("{down} of {targets} down: {counts:?}");
    assert_eq!(counts.unanswered_after, 0, "{counts:?}");
    let longest_ms = 5_000.max(1_000 * down as u64);
    assert!(counts.all_recovered_ms <= longest_ms + 2_000, "{counts:?}");
    assert_eq!(counts.refused_in_fault, 0, "{counts:?}");
    if down < targets {
        let failing = f64::from(counts.failed_in_fault) / f64::from(counts.in_fault);
        assert!(failing <= 0.1, "the retry budget does not cover {failing}");
    }
}

/// Guards against retries that amplify an outage: only first attempts are sent to ejected targets.
#[test]
fn retries_are_not_sent_to_ejected_targets() {
    let router = Router::new(MonoMs(0), &Arc::new(fleet(&[3])), "region-0", 7);
    let view = router.view();
    for index in [0, 1, 2, 0, 1, 2, 0, 1, 2] {
        let attempt = view
            .begin(at(0), TargetKey(index))
            .expect("accepts requests");
        attempt.finish(MonoMs(0), AttemptEnd::Failure);
    }
    let first = decide(&view, 500).expect("the last resort");
    let tried = [first];
    let mut query = Query::new(SERVICE, all(view.fleet()));
    query.tried = &tried;
    assert!(matches!(view.decide(at(500), &query), Decision::Refuse(_)));
    // The first success ends the ejection of that target, so the others are no longer used as a last resort.
    let attempt = view.begin(at(500), first).expect("accepts requests");
    attempt.finish(MonoMs(500), AttemptEnd::Success);
    for now_ms in 501..520 {
        assert_eq!(decide(&view, now_ms), Some(first));
    }
}
