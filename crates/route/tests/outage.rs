//! Ejection when most or all targets of a service fail.

mod common;

use std::sync::Arc;

use common::{all, at, fleet};
use lw_base::prelude::*;
use lw_route::{AttemptEnd, Decision, Query, RouteView, Router};
use test_case::test_case;

const SERVICE: ServiceKey = ServiceKey(0);
const LOOKUP_EVERY_MS: u64 = 50;
const FAULT_MS: (u64, u64) = (10_000, 160_000);

/// What became of the lookups of one run.
#[derive(Debug, Default)]
struct Counts {
    /// Lookups without a target while the fault lasted.
    refused_in_fault: u32,
    /// First attempts that failed while the fault lasted and another target could answer.
    failed_in_fault: u32,
    in_fault: u32,
    /// Lookups without an answer after the end of the fault.
    unanswered_after: u32,
    /// Milliseconds after the end until each target has answered again.
    all_back_ms: u64,
}

fn decide(view: &RouteView, now_ms: u64) -> Option<TargetKey> {
    let query = Query::new(SERVICE, all(view.fleet()));
    match view.decide(at(now_ms), &query) {
        Decision::Target(target) => Some(target),
        _ => None,
    }
}

/// Sends lookups through a fault of the first `down` targets of `targets`, without retries.
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
            counts.all_back_ms = now_ms - FAULT_MS.1;
        }
    }
    assert!(
        answered.iter().all(|answered| *answered),
        "a target stays out"
    );
    counts
}

/// Guards against lookups that are refused for up to a minute after an outage of every target has ended, and against
/// targets that stay out for a minute while the others carry their load.
#[test_case(1, 1)]
#[test_case(3, 3)]
#[test_case(18, 18)]
#[test_case(3, 2)]
#[test_case(18, 12)]
fn lookups_are_answered_as_soon_as_a_target_can(targets: usize, down: usize) {
    let counts = run(targets, down);
    println!("{down} of {targets} down: {counts:?}");
    assert_eq!(counts.unanswered_after, 0, "{counts:?}");
    let longest_ms = 5_000.max(1_000 * down as u64);
    assert!(counts.all_back_ms <= longest_ms + 2_000, "{counts:?}");
    assert_eq!(counts.refused_in_fault, 0, "{counts:?}");
    if down < targets {
        let failing = f64::from(counts.failed_in_fault) / f64::from(counts.in_fault);
        assert!(failing <= 0.1, "the retry budget does not cover {failing}");
    }
}

/// Guards against an outage that is amplified by retries: only a first attempt passes the ejections.
#[test]
fn retries_do_not_pass_the_ejections() {
    let router = Router::new(MonoMs(0), &Arc::new(fleet(&[3])), "region-0", 7);
    let view = router.view();
    for index in [0, 1, 2, 0, 1, 2, 0, 1, 2] {
        let attempt = view.begin(at(0), TargetKey(index)).expect("takes work");
        attempt.finish(MonoMs(0), AttemptEnd::Failure);
    }
    let first = decide(&view, 500).expect("the last resort");
    let tried = [first];
    let mut query = Query::new(SERVICE, all(view.fleet()));
    query.tried = &tried;
    assert!(matches!(view.decide(at(500), &query), Decision::Refuse(_)));
    // The first success ends the ejection, and the others are not a last resort any more.
    let attempt = view.begin(at(500), first).expect("takes work");
    attempt.finish(MonoMs(500), AttemptEnd::Success);
    for now_ms in 501..520 {
        assert_eq!(decide(&view, now_ms), Some(first));
    }
}
