//! The choice of a target: load, ejection, slow start, stops and prefix owners.

mod common;

use std::sync::Arc;

use common::{all, at, fleet, fleet_of, stop_at};
use lw_base::prelude::*;
use lw_base::{stable_hash, violation_count};
use lw_route::{
    AttemptEnd, Decision, ExclusionReason, LoadReport, PrefixOwnerTable, Query, RouteView, Router,
    decode_load, encode_load,
};
use test_case::test_case;

const SERVICE: ServiceKey = ServiceKey(0);

fn router(targets: usize) -> Router {
    Router::new(MonoMs(0), &Arc::new(fleet(&[targets])), "region-0", 7)
}

fn target(view: &RouteView, now_ms: u64, query: &Query<'_>) -> TargetKey {
    match view.decide(at(now_ms), query) {
        Decision::Target(target) => target,
        other => panic!("expected a target, got {other:?}"),
    }
}

fn query(view: &RouteView) -> Query<'static> {
    Query::new(SERVICE, all(view.fleet()))
}

/// Counts how often each target is chosen in 4,000 decisions at one point in time.
fn shares(view: &RouteView, now_ms: u64, targets: usize) -> Vec<usize> {
    let mut shares = vec![0; targets];
    for _ in 0..4_000 {
        shares[target(view, now_ms, &query(view)).index()] += 1;
    }
    shares
}

fn end(view: &RouteView, now_ms: u64, target: TargetKey, end: AttemptEnd) {
    let attempt = view.begin(at(now_ms), target).expect("accepts requests");
    attempt.finish(MonoMs(now_ms), end);
}

fn eject_with_three_failures(view: &RouteView, now_ms: u64, target: TargetKey) {
    for _ in 0..3 {
        end(view, now_ms, target, AttemptEnd::Failure);
    }
}

/// Guards against a thundering herd: after a report of an idle target, requests must still spread over all targets.
#[test]
fn local_requests_spread_between_reports() {
    let router = router(20);
    let view = router.view();
    for index in 0..20 {
        let requests = if index == 0 { 0 } else { 3 };
        let report = LoadReport {
            requests,
            speed_tokens_per_s: None,
        };
        view.report(MonoMs(0), TargetKey(index), &report);
    }
    let mut in_flight = Vec::new();
    let mut counts = [0u32; 20];
    for _ in 0..80 {
        let target = target(&view, 2_000, &query(&view));
        counts[target.index()] += 1;
        in_flight.push(view.begin(at(2_000), target).expect("accepts requests"));
    }
    assert!(counts.iter().all(|count| *count <= 9), "{counts:?}");
    drop(in_flight);
    assert_eq!(view.service_load(SERVICE).own_requests, 0);
}

/// Guards against counting local requests twice when a report includes them, and against reports that never expire.
#[test]
fn reports_exclude_local_requests_and_decay() {
    let router = router(1);
    let view = router.view();
    let in_flight: Vec<_> = (0..3)
        .filter_map(|_| view.begin(at(0), TargetKey(0)))
        .collect();
    let report = LoadReport {
        requests: 7,
        speed_tokens_per_s: None,
    };
    view.report(MonoMs(0), TargetKey(0), &report);
    let estimate = |now_ms| view.explain(at(now_ms), &query(&view)).targets[0].requests;
    assert_eq!(estimate(0), 7.0);
    assert_eq!(estimate(2_000), 5.0);
    assert_eq!(estimate(4_000), 4.0);
    drop(in_flight);
    assert_eq!(estimate(4_000), 1.0);
}

/// Guards against a failing target that keeps receiving requests, and against a burst when it returns to service.
#[test]
fn failing_targets_are_ejected_and_probed_once() {
    let router = router(2);
    let view = router.view();
    let bad = TargetKey(1);
    eject_with_three_failures(&view, 0, bad);
    assert_eq!(shares(&view, 999, 2)[1], 0);
    assert!(view.begin(at(999), bad).is_none());
    let probe = view.begin(at(1_000), bad).expect("the probe");
    assert!(view.begin(at(1_000), bad).is_none(), "a second probe");
    probe.finish(MonoMs(1_000), AttemptEnd::Failure);
    assert!(view.begin(at(2_999), bad).is_none(), "the duration doubles");
    let probe = view.begin(at(3_000), bad).expect("the probe");
    drop(probe);
    end(&view, 3_000, bad, AttemptEnd::Success);
    let returned = shares(&view, 3_000, 2)[1];
    assert!(returned > 0 && returned < 4_000 / 10, "{returned}");
    let later = shares(&view, 33_000, 2)[1];
    assert!(later > 4_000 / 4, "{later}");
}

/// Guards against an ejection time that doubles without bound.
#[test]
fn ejections_last_a_minute_at_most() {
    let router = router(2);
    let view = router.view();
    eject_with_three_failures(&view, 0, TargetKey(1));
    let mut now_ms = 1_000;
    for _ in 0..12 {
        end(&view, now_ms, TargetKey(1), AttemptEnd::Failure);
        now_ms += 60_000;
        assert!(view.begin(at(now_ms), TargetKey(1)).is_some());
    }
}

/// Guards against sending a full share of requests to new targets with cold caches.
#[test]
fn targets_added_by_a_revision_begin_in_slow_start() {
    let router = router(4);
    router.apply(MonoMs(10_000), &Arc::new(fleet(&[5])));
    let view = router.view();
    let share_at = |now_ms| shares(&view, now_ms, 5)[4];
    let (begin, middle, end) = (share_at(10_000), share_at(25_000), share_at(40_000));
    assert!(
        begin < 200 && begin < middle && middle < end,
        "{begin} {middle} {end}"
    );
    assert!(end > 500, "{end}");
}

/// Guards against a new revision that loses load or ejections, or keeps the load of removed targets.
#[test]
fn revisions_keep_the_state_of_remaining_targets() {
    let router = router(3);
    let old = router.view();
    let in_flight = old.begin(at(0), TargetKey(0)).expect("accepts requests");
    let removed = old.begin(at(0), TargetKey(2)).expect("accepts requests");
    eject_with_three_failures(&old, 0, TargetKey(1));
    router.apply(MonoMs(10), &Arc::new(fleet(&[2])));
    let view = router.view();
    assert!(view.begin(at(10), TargetKey(1)).is_none());
    assert_eq!(view.service_load(SERVICE).requests, 1.0);
    removed.finish(MonoMs(20), AttemptEnd::Success);
    assert_eq!(view.service_load(SERVICE).requests, 1.0);
    in_flight.finish(MonoMs(20), AttemptEnd::Success);
    assert_eq!(view.service_load(SERVICE).requests, 0.0);
}

/// Guards against new requests to stopped targets (`Invariant::LeavingTargetIdle`), for planned stops and for leaving
/// marks.
#[test]
fn stopped_targets_receive_no_new_requests() {
    let mut stopping = fleet(&[3]);
    stop_at(&mut stopping, 0, 5_000);
    let router = Router::new(MonoMs(0), &Arc::new(stopping), "region-0", 7);
    let view = router.view();
    let early = view
        .begin(at(4_999), TargetKey(0))
        .expect("accepts requests");
    view.set_leaving(MonoMs(4_000), TargetKey(1), true);
    assert_eq!(shares(&view, 5_000, 3), [0, 0, 4_000]);
    assert!(!early.may_send(at(5_000)));
    let violations = || violation_count(Invariant::LeavingTargetIdle);
    early.sent(at(8_000));
    assert_eq!(violations(), 0);
    early.sent(at(8_001));
    assert_eq!(violations(), 1);
    view.set_leaving(MonoMs(6_000), TargetKey(1), false);
    assert!(shares(&view, 6_000, 3)[1] > 0);
}

/// Guards against a retry at a target that was already tried, and against giving up while other targets remain.
#[test]
fn tried_targets_are_excluded() {
    let router = router(3);
    let view = router.view();
    let tried = [TargetKey(0), TargetKey(2)];
    let mut query = query(&view);
    query.tried = &tried;
    for _ in 0..100 {
        assert_eq!(target(&view, 0, &query), TargetKey(1));
    }
    query.tried = &[TargetKey(0), TargetKey(1), TargetKey(2)];
    assert!(matches!(view.decide(at(0), &query), Decision::Refuse(_)));
    let explanation = view.explain(at(0), &query);
    let tried = |considered: &lw_route::CandidateTarget| {
        considered.ruled_out == Some(ExclusionReason::Tried)
    };
    assert!(explanation.targets.iter().all(tried) && !explanation.targets.is_empty());
}

/// Guards against prefixes that move between targets: a prefix stays at its first owner until that is overloaded.
#[test]
fn prefixes_stay_at_their_owner_until_it_is_overloaded() {
    let router = router(10);
    let view = router.view();
    let mut query = query(&view);
    query.prefix = Some(stable_hash(b"spec sheet 316L"));
    query.prefix_prefill_ms = 500.0;
    let owner = target(&view, 0, &query);
    for _ in 0..100 {
        assert_eq!(target(&view, 0, &query), owner);
    }
    let in_flight: Vec<_> = (0..4).filter_map(|_| view.begin(at(0), owner)).collect();
    let other = target(&view, 0, &query);
    assert_ne!(other, owner);
    drop(in_flight);
    assert_eq!(target(&view, 0, &query), owner);
}

/// Guards against prefixes that change their owner when a target is added, and against an uneven distribution.
#[test_case(8 ; "8 targets")]
#[test_case(80 ; "80 targets")]
#[test_case(800 ; "800 targets")]
fn owners_change_only_to_the_new_target(count: usize) {
    let names: Vec<String> = (0..=count).map(|n| format!("worker-{n}")).collect();
    let old = PrefixOwnerTable::new(&names[..count]);
    let new = PrefixOwnerTable::new(&names);
    let mut per_target = vec![0usize; count];
    for bucket in 0..8_192u64 {
        let (first, second) = old.owners(bucket).expect("the table is not empty");
        let (new_first, _) = new.owners(bucket).expect("the table is not empty");
        assert_ne!(first, second);
        // The number of buckets is the same in both tables for these counts.
        assert!(new_first == first || new_first == count);
        per_target[first] += 1;
    }
    let mean = 8_192 / count;
    assert!(per_target.iter().all(|buckets| *buckets < 4 * mean));
}

/// Guards against tables that differ between hosts because the hosts saw different updates: an updated table equals a
/// new one.
#[test_case(&[3], &[] ; "one removed")]
#[test_case(&[], &["worker-x"] ; "one added")]
#[test_case(&[0, 40, 79], &["a", "worker-x", "z"] ; "some replaced")]
#[test_case(&[1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12], &[] ; "many removed")]
fn updated_owner_tables_equal_new_ones(removed: &[usize], added: &[&str]) {
    let names: Vec<String> = (0..80).map(|n| format!("worker-{n}")).collect();
    let mut changed: Vec<String> = added.iter().map(ToString::to_string).collect();
    let remaining = names
        .iter()
        .enumerate()
        .filter(|(index, _)| !removed.contains(index))
        .map(|(_, name)| name.clone());
    changed.extend(remaining);
    changed.sort();
    let updated = PrefixOwnerTable::new(&names).updated(&changed);
    assert!(updated == PrefixOwnerTable::new(&changed));
    assert!(updated.updated(&names) == PrefixOwnerTable::new(&names));
}

/// Guards against errors of the two-byte encoding above the quantization error.
#[test]
fn load_encoding_error_is_bounded() {
    for requests in 0..20_000u32 {
        for speed in [None, Some(0.1), Some(33.0), Some(900_000.0)] {
            let report = LoadReport {
                requests,
                speed_tokens_per_s: speed,
            };
            let decoded = decode_load(encode_load(&report));
            let error = (f64::from(decoded.requests) - f64::from(requests)).abs();
            assert!(error <= f64::from(requests) * 0.025, "{requests}");
            assert!(requests > 64 || error == 0.0);
            let (Some(sent), Some(got)) = (speed, decoded.speed_tokens_per_s) else {
                assert_eq!(speed, decoded.speed_tokens_per_s);
                continue;
            };
            assert!((got / sent - 1.0).abs() < 0.045, "{sent} {got}");
        }
    }
}

/// Guards against counting the load of a removed target, or of its in-flight request, for a new target in its place.
#[test]
fn a_renamed_target_starts_empty() {
    let router = router(2);
    let in_flight = router.view().begin(at(0), TargetKey(0));
    let names = vec![vec!["other".to_owned(), "t-0-1".to_owned()]];
    router.apply(MonoMs(1), &Arc::new(fleet_of(&names)));
    assert_eq!(router.view().service_load(SERVICE).requests, 0.0);
    drop(in_flight);
    assert_eq!(router.view().service_load(SERVICE).requests, 0.0);
}
