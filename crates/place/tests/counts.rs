//! Average demand, replica counts, assignment and the weight budget.

use lw_base::MonoMs;
use lw_place::{
    DesiredState, EngineCandidate, EngineRole, ModelSpec, MovingAverage, ObservedState,
    ReplicaCount, WeightBudget, assign,
};
use test_case::test_case;

/// Guards against an average that follows single samples or depends on the sampling interval.
#[test]
fn average_halves_over_its_half_life() {
    for step_ms in [100, 1_000] {
        let mut average = MovingAverage::new(10_000);
        assert_eq!(average.value(), None);
        average.observe(MonoMs(0), 8.0);
        for at_ms in (step_ms..=10_000).step_by(step_ms as usize) {
            average.observe(MonoMs(at_ms), 0.0);
        }
        let value = average.value().expect("samples");
        assert!((value - 4.0).abs() < 1e-9, "{value}");
    }
}

struct Phase {
    busy_slots: f64,
    span_ms: u64,
}

fn run_phases(start: u32, max_replicas: u32, phases: &[Phase]) -> u32 {
    let mut count = ReplicaCount::new(start);
    let mut now = MonoMs(0);
    for phase in phases {
        let end = now.plus_ms(phase.span_ms);
        while now < end {
            count.update(now, phase.busy_slots, 10.0, max_replicas);
            now = now.plus_ms(1_000);
        }
    }
    count.desired()
}

fn phase(busy_slots: f64, span_s: u64) -> Phase {
    let span_ms = span_s * 1_000;
    Phase {
        busy_slots,
        span_ms,
    }
}

/// Guards against replicas that change with short peaks, are added while one still loads, or are all removed.
#[test_case(1, &[phase(9.0, 30)], 1; "a peak of less than 30 s")]
#[test_case(1, &[phase(9.0, 31)], 2; "a peak of 30 s")]
#[test_case(1, &[phase(9.0, 29), phase(5.0, 1), phase(9.0, 29)], 1; "two peaks with a dip")]
#[test_case(1, &[phase(12.0, 300)], 2; "the demand of two replicas")]
#[test_case(2, &[phase(17.0, 300)], 3; "the demand of three replicas")]
#[test_case(4, &[phase(100.0, 300)], 4; "no further engine is available")]
#[test_case(2, &[phase(5.0, 600)], 2; "low for less than 10 min")]
#[test_case(2, &[phase(5.0, 601)], 1; "low for 10 min")]
#[test_case(1, &[phase(0.0, 7_200)], 1; "the last replica is kept")]
fn replica_counts(start: u32, phases: &[Phase], expected: u32) {
    assert_eq!(run_phases(start, 4, phases), expected);
}

/// Returns an engine in one of the states that the cases of [`assignments`] name.
fn candidate(name: &str, state: &str) -> EngineCandidate {
    let (version, role, is_drained) = match state {
        "new" => ("2", EngineRole::Serve, false),
        "old" => ("1", EngineRole::Serve, false),
        "draining" => ("2", EngineRole::Drain, false),
        "drained" => ("2", EngineRole::Drain, true),
        _ => ("", EngineRole::Standby, false),
    };
    let model = if version.is_empty() { "" } else { "grade" };
    let observed = ObservedState {
        model: model.into(),
        version: version.into(),
        role: Some(role),
        fencing: 0,
        busy: 0,
    };
    EngineCandidate {
        target: name.into(),
        observed,
        is_drained,
    }
}

fn format_state(state: &DesiredState) -> String {
    format!("{}:{}", state.version, state.role.as_str())
}

/// Guards against an assignment without a serving engine, an early drain, and a load of weights that an engine holds.
#[test_case(1, &["empty", "empty"], &["a=2:serve"]; "first load")]
#[test_case(1, &["empty", "new"], &["b=2:serve"]; "the serving engine is kept")]
#[test_case(2, &["empty", "draining", "new"], &["b=2:serve", "c=2:serve"]; "a draining engine serves again")]
#[test_case(1, &["new", "new"], &["a=2:serve", "b=2:drain"]; "a surplus engine drains")]
#[test_case(1, &["new", "drained"], &["a=2:serve", "b=:standby"]; "a drained engine unloads its model")]
#[test_case(1, &["old"], &["a=2:serve"]; "the only engine changes its version")]
#[test_case(1, &["old", "empty"], &["b=2:serve"]; "an unused engine replaces the only serving engine first")]
#[test_case(2, &["old", "empty"], &["b=2:serve"]; "another replica replaces the only serving engine first")]
#[test_case(1, &["old", "new"], &["a=1:drain", "b=2:serve"]; "the replaced engine drains")]
#[test_case(1, &["old", "draining"], &["b=2:serve"]; "no engine drains before its replacement serves")]
#[test_case(3, &["old", "old", "old"], &["a=2:serve"]; "one of three engines changes its version at a time")]
#[test_case(3, &["new", "old", "old"], &["a=2:serve", "b=2:serve"]; "the next engine changes after the first")]
fn assignments(replicas: u32, states: &[&str], expected: &[&str]) {
    let names = ["a", "b", "c"];
    let candidates = names
        .iter()
        .zip(states)
        .map(|(name, state)| candidate(name, state));
    let candidates: Vec<EngineCandidate> = candidates.collect();
    let spec = ModelSpec {
        model: "grade".into(),
        version: "2".into(),
        replicas,
    };
    let desired = assign(&spec, &candidates);
    let mut desired: Vec<String> = desired
        .iter()
        .map(|(target, state)| format!("{target}={}", format_state(state)))
        .collect();
    desired.sort();
    assert_eq!(desired, expected);
}

/// Guards against a burst of loads that the weight store refuses, and against a bucket without a capacity.
#[test]
fn weight_budget_limits_rate_and_burst() {
    let mut budget = WeightBudget::new(0.5, 2);
    let taken =
        |budget: &mut WeightBudget, now_ms| (0..10).filter(|_| budget.take(MonoMs(now_ms))).count();
    assert_eq!(taken(&mut budget, 0), 2);
    assert_eq!(taken(&mut budget, 1_999), 0);
    assert_eq!(taken(&mut budget, 2_000), 1);
    assert_eq!(taken(&mut budget, 1_000_000), 2);
}
