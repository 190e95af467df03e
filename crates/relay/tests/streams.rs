//! Long streams beside long prompts: the measured pace of streams, and the choice of engines by it.

use std::cell::RefCell;
use std::rc::Rc;

use lw_base::prelude::*;
use lw_relay::{
    ChoiceQuery, EngineCapacity, LinearFit, NoTarget, Plan, Prompt, Service, ServiceTimings,
    Target, TargetEligibility, TargetLoad, choose,
};
use test_case::test_case;

const NOW: MonoMs = MonoMs(100_000);
const SERVICE: ServiceKey = ServiceKey(0);
const GOAL_MS: f64 = 800.0;
/// The events of a long stream.
const EVENTS: f64 = 42.0;
/// The engine of these tests: the time between two events, alone and per running request, in milliseconds.
const GAP_ALONE_MS: f64 = 24.0;
const GAP_PER_RUNNING_MS: f64 = 0.7;

fn plan(targets: usize, slots: u32) -> Plan {
    let mut plan = Plan::default();
    plan.services.push(
        "s",
        Service {
            name: "s".into(),
            hash: 1,
            max_connections: 600,
            cold_ms: 0,
            cold_per_s: 0.0,
            health_path: None,
            engine: Some(EngineCapacity {
                memory_tokens: 400_000,
            }),
        },
    );
    let target = |index: usize| Target {
        id: format!("t{index}").into(),
        incarnation: format!("t{index}#0").into(),
        hash: index as u32,
        service: SERVICE,
        address: ([127, 0, 0, 1], 1).into(),
        zone: "z".into(),
        region: "north".into(),
        slots,
        is_in_service: true,
        load: Rc::new(RefCell::new(TargetLoad::default())),
    };
    plan.targets = vec![(0..targets).map(target).collect()];
    plan
}

fn measured_pace() -> LinearFit {
    let mut pace = LinearFit::default();
    for stream in 0..200 {
        let running = f64::from(stream % 60);
        // The measured gaps scatter by a tenth.
        let scatter = 1.0 + 0.1 * f64::from(stream % 7 - 3) / 3.0;
        pace.record(
            running,
            (GAP_ALONE_MS + GAP_PER_RUNNING_MS * running) * scatter,
        );
    }
    pace
}

fn place(plan: &Plan, timings: ServiceTimings) -> Result<usize, NoTarget> {
    let prompt = Prompt::parse(Some("800,300"), Some("a:120,b:80,own:600"));
    let query = ChoiceQuery {
        region: "north",
        service: SERVICE,
        prompt: &prompt,
        prefix_owner: None,
        is_owner_in_other_region: false,
        answer_events: EVENTS,
        latency_goal_ms: GOAL_MS,
        is_within_share: false,
        tried: &[],
        timings,
    };
    let rules = TargetEligibility {
        covers: &|_| true,
        cold_part: &|_, _| None,
    };
    choose(plan, &query, NOW, &rules).map(|chosen| chosen.target.hash as usize)
}

/// Guards against a model that mistakes the usual gap for the influence of other requests.
#[test]
fn the_influence_of_other_requests_is_measured() {
    let measured = measured_pace().slope().expect("enough streams");
    assert!((measured - GAP_PER_RUNNING_MS).abs() < 0.15, "{measured}");
    let mut constant = LinearFit::default();
    for stream in 0..200 {
        constant.record(f64::from(stream % 60), GAP_ALONE_MS);
    }
    let measured = constant.slope().expect("enough streams");
    assert!(measured < 0.01, "{measured}");
    let mut unvaried = LinearFit::default();
    for _ in 0..200 {
        unvaried.record(5.0, GAP_ALONE_MS);
    }
    assert_eq!(unvaried.slope(), None);
}

/// Guards against long streams that all go to the few engines without long prompts, until each of their tokens takes
/// longer than beside the prompts. The load: 240 streams of 42 events on six engines of 128 slots, three of which spend
/// 30% of their time on prompts.
#[test]
fn long_streams_are_spread_over_engines_with_and_without_long_prompts() {
    let plan = plan(6, 128);
    for target in &plan.targets[0][..3] {
        let mut load = target.load.borrow_mut();
        load.add_backlog(NOW, 450.0);
        load.prefill_done_at = NOW;
    }
    let timings = ServiceTimings {
        stream_ms: 1_500.0,
        pace: measured_pace(),
        ..ServiceTimings::default()
    };
    let mut streams = [0_u32; 6];
    for _ in 0..240 {
        let chosen = place(&plan, timings).expect("there are free slots");
        streams[chosen] += 1;
        plan.targets[0][chosen].load.borrow_mut().running += 1;
    }
    let most = streams.iter().max().copied().unwrap_or(0);
    assert!(most <= 60, "at most half more than the mean: {streams:?}");
    assert!(streams[..3].iter().all(|count| *count >= 10), "{streams:?}");
}

/// Guards against a prefill time that contains the constant part of the time to the first event: engines then seem to
/// spend all their time on prompts, and streams avoid those that are nearly idle.
#[test]
fn the_prefill_time_leaves_out_what_does_not_depend_on_the_prompt() {
    let mut timings = ServiceTimings::default();
    for request in 0..300_u32 {
        let tokens = 500 + 31 * u64::from(request % 100);
        let scatter_ms = f64::from(request % 9);
        timings.record_prefill(45.0 + 0.009 * tokens as f64 + scatter_ms, tokens);
    }
    let measured = timings.prefill_ms_per_token;
    assert!((measured - 0.009).abs() < 0.002, "{measured}");
}

struct QueueCase {
    running: u32,
    slots: u32,
    stream_ms: f64,
    is_accepted: bool,
}

// Guards against queues whose wait for a slot is longer than the time in which the answer should begin: with 128 slots
// and streams of five seconds, a queue as long as the batch is five seconds long.
#[test_case(&QueueCase { running: 127, slots: 128, stream_ms: 5_000.0, is_accepted: true }; "a free slot")]
#[test_case(&QueueCase { running: 140, slots: 128, stream_ms: 5_000.0, is_accepted: true }; "a wait of half a second")]
#[test_case(&QueueCase { running: 150, slots: 128, stream_ms: 5_000.0, is_accepted: false }; "a wait of a second")]
#[test_case(&QueueCase { running: 20, slots: 16, stream_ms: 400.0, is_accepted: true }; "a short wait on a small engine")]
#[test_case(&QueueCase { running: 32, slots: 16, stream_ms: 400.0, is_accepted: false }; "a full queue on a small engine")]
#[test_case(&QueueCase { running: 140, slots: 128, stream_ms: 0.0, is_accepted: true }; "nothing measured yet")]
fn a_request_is_queued_while_it_can_begin_in_time(case: &QueueCase) {
    let plan = plan(1, case.slots);
    plan.targets[0][0].load.borrow_mut().running = case.running;
    let timings = ServiceTimings {
        stream_ms: case.stream_ms,
        ..ServiceTimings::default()
    };
    assert_eq!(place(&plan, timings).is_ok(), case.is_accepted);
}
