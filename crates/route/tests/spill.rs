//! Spill between regions: start and end, rate of change and limits.

mod common;

use std::sync::Arc;

use common::{all, at, fleet};
use lw_base::prelude::*;
use lw_route::{
    Decision, LoadReport, Query, RegionSummary, RouteView, Router, SpillController, SpillInput,
};
use test_case::test_case;

fn input(local_wait_ms: f64, local_use: f64) -> SpillInput {
    SpillInput {
        local_wait_ms,
        remote_cost_ms: Some(100.0),
        local_use,
        remote_headroom: 10.0,
        summary_at: MonoMs(0),
    }
}

/// Updates the controller every 250 ms for `span_ms` and returns the share.
fn run(control: &mut SpillController, from_ms: u64, span_ms: u64, input: &SpillInput) -> f64 {
    for now_ms in (from_ms..=from_ms + span_ms).step_by(250) {
        control.update(MonoMs(now_ms), input);
    }
    control.share()
}

/// Guards against starting to spill for a small advantage, and against stopping within the hysteresis.
#[test]
fn spill_starts_a_fifth_above_the_remote_cost_and_ends_below_it() {
    let mut control = SpillController::default();
    assert_eq!(run(&mut control, 0, 5_000, &input(119.0, 2.0)), 0.0);
    assert!(run(&mut control, 5_000, 5_000, &input(121.0, 2.0)) > 0.0);
    let share = control.share();
    assert!(run(&mut control, 10_000, 1_000, &input(101.0, 2.0)) >= share);
    let share = control.share();
    assert!(run(&mut control, 11_000, 1_000, &input(99.0, 2.0)) < share);
}

/// Guards against abrupt changes of the share: at most 10 percentage points up and 2 down per second.
#[test]
fn share_change_rate_is_bounded() {
    let mut control = SpillController::default();
    let risen = run(&mut control, 0, 2_000, &input(10_000.0, 3.0));
    assert!((0.15..=0.2 + 1e-9).contains(&risen), "{risen}");
    let fallen = run(&mut control, 2_000, 2_000, &input(0.0, 0.1));
    assert!((risen - 0.04 - 1e-9..risen).contains(&fallen), "{fallen}");
}

/// Guards against spilling more than the excess load, or more than the free capacity of the other regions.
#[test]
fn share_is_bounded_by_excess_and_headroom() {
    let mut control = SpillController::default();
    // With an offered load of 1.7 and a set point of 0.85, half of the load is excess.
    let mut share = 0.0;
    for now_ms in (0..60_000).step_by(250) {
        let current = input(1_000.0, 1.7 * (1.0 - share));
        control.update(MonoMs(now_ms), &current);
        share = control.share();
    }
    assert!((share - 0.5).abs() < 0.01, "{share}");
    let tight = SpillInput {
        remote_headroom: 0.17,
        ..input(1_000.0, 1.7)
    };
    let mut control = SpillController::default();
    let share = run(&mut control, 0, 1_000, &tight);
    assert!(share <= 0.1 + 1e-9, "{share}");
}

/// Guards against a share that oscillates because summaries lag: a region at 1.7 of its capacity spills into a region
/// of equal size at 0.3, whose load it learns ten seconds late. The other region may have a load peak of its own,
/// during which it accepts no requests.
#[test_case(0 ; "steady")]
#[test_case(10 ; "remote peak of five seconds")]
#[test_case(40 ; "remote peak of twenty seconds")]
fn share_settles_although_summaries_lag(peak_periods: usize) {
    const LAG: usize = 20;
    const PERIODS: usize = 600;
    const SETTLED: usize = 360;
    let mut control = SpillController::default();
    let mut remote_use = vec![0.3; LAG];
    let mut shares = Vec::new();
    let mut summary = (MonoMs(0), 0.3);
    for period in 0..PERIODS {
        let now = MonoMs(period as u64 * 500);
        if period % 10 == 0 {
            summary = (MonoMs(now.0.saturating_sub(10_000)), remote_use[period]);
        }
        let eligible = summary.1 <= 0.85;
        control.update(
            now,
            &SpillInput {
                local_wait_ms: 5_000.0,
                remote_cost_ms: eligible.then_some(100.0),
                local_use: 1.7 * (1.0 - control.share()),
                summary_at: summary.0,
                remote_headroom: 0.85 - summary.1,
            },
        );
        let sent = if eligible { control.share() } else { 0.0 };
        let in_peak = (100..100 + peak_periods).contains(&period);
        let own = if in_peak { 0.6 } else { 0.3 };
        remote_use.push(own + 1.7 * sent);
        shares.push(sent);
    }
    let after_peak = &remote_use[LAG + 100 + peak_periods..];
    let highest = after_peak.iter().copied().fold(0.0, f64::max);
    assert!(highest <= 0.86, "the other region reaches {highest}");
    let settled = &shares[SETTLED..];
    let lowest = settled.iter().copied().fold(1.0, f64::min);
    let most = settled.iter().copied().fold(0.0, f64::max);
    assert!(
        most - lowest < 0.02,
        "the share oscillates between {lowest} and {most}"
    );
    assert!(lowest > 0.25, "{lowest}");
}

fn busy_view(router: &Router, remote_use: f64) -> Arc<RouteView> {
    let view = router.view();
    view.set_summary(
        RegionKey(1),
        RegionSummary {
            capacity_slots: 80.0,
            load_slots: 80.0 * remote_use,
            read_at: MonoMs(0),
        },
    );
    for target in 0..2 {
        let report = LoadReport {
            requests: 12,
            speed_tokens_per_s: None,
        };
        view.report(MonoMs(0), TargetKey(target), &report);
    }
    view
}

/// Guards against spilling into a region without free capacity, one that residency excludes, one without a recent
/// summary, or one that just failed a request.
#[test_case(0.50, true, 5_000, false, true ; "free region")]
#[test_case(0.84, true, 5_000, false, true ; "region below the limit")]
#[test_case(0.86, true, 5_000, false, false ; "region above the limit")]
#[test_case(0.50, false, 5_000, false, false ; "excluded by residency")]
#[test_case(0.50, true, 40_000, false, false ; "old summary")]
#[test_case(0.50, true, 5_000, true, false ; "region that failed")]
fn spill_requires_an_eligible_region(
    remote_use: f64,
    allowed: bool,
    span_ms: u64,
    failed: bool,
    expected: bool,
) {
    let fleet = Arc::new(fleet(&[2, 20]));
    let router = Router::new(MonoMs(0), &fleet, "region-0", 3);
    let view = busy_view(&router, remote_use);
    if failed {
        view.region_failed(MonoMs(1_000), ServiceKey(0), RegionKey(1));
    }
    let mut query = Query::new(ServiceKey(0), all(&fleet));
    if !allowed {
        query.allowed = [RegionKey(0)].into_iter().collect();
    }
    query.local_wait_ms = 5_000.0;
    let mut sent = 0;
    for now_ms in (0..span_ms).step_by(10) {
        if now_ms < span_ms - 1_000 {
            continue;
        }
        let decision = view.decide(at(now_ms), &query);
        sent += usize::from(decision == Decision::Region(RegionKey(1)));
    }
    assert_eq!(sent > 0, expected, "{sent}");
    let forwarded = view.decide_forwarded(at(span_ms), &query);
    assert!(matches!(forwarded, lw_route::LocalDecision::Target(_)));
}

/// Guards against losing or mixing up region summaries in a new revision, and against idle plain services that hide the
/// full engines of their region.
#[test]
fn summaries_survive_a_revision_and_services_take_precedence() {
    let router = Router::new(MonoMs(0), &Arc::new(fleet(&[1, 1, 1])), "region-0", 3);
    let view = router.view();
    view.set_summary(
        RegionKey(1),
        RegionSummary::from_permille(100, 200, MonoMs(0)),
    );
    view.set_summary(
        RegionKey(2),
        RegionSummary::from_permille(100, 300, MonoMs(0)),
    );
    let full = RegionSummary::from_permille(10, 950, MonoMs(0));
    view.set_service_summary(RegionKey(2), ServiceKey(0), full);
    router.apply(MonoMs(10), &Arc::new(fleet(&[1, 1, 1])));
    let view = router.view();
    let query = Query::new(ServiceKey(0), all(view.fleet()));
    let regions = view.explain(at(10), &query).regions;
    let actual: Vec<_> = regions
        .iter()
        .map(|region| (region.use_ratio, region.takes_spill))
        .collect();
    assert_eq!(
        actual,
        [(None, false), (Some(0.2), true), (Some(0.95), false)]
    );
}
