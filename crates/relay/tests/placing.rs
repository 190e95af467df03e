//! Where requests go: targets, homes of beginnings, cold targets, and other regions.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;

use lw_admit::ColdLimit;
use lw_base::prelude::*;
use lw_relay::{
    ChoiceQuery, ChosenTarget, EngineCapacity, NoTarget, Plan, Prompt, RegionCandidate, Service,
    ServiceTimings, SpillQuery, Target, TargetEligibility, TargetLoad, choose, choose_region,
    cold_limit_hosts, prefix_owners_of,
};
use test_case::test_case;

const NOW: MonoMs = MonoMs(100_000);
const SERVICE: ServiceKey = ServiceKey(0);

fn plan(targets: usize, engine: bool) -> Plan {
    let mut plan = Plan::default();
    plan.services.push(
        "s",
        Service {
            name: "s".into(),
            hash: 1,
            max_connections: 100,
            cold_ms: 3_000,
            cold_per_s: 4.0,
            engine: engine.then_some(EngineCapacity {
                memory_tokens: 300_000,
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
        slots: 8,
        takes_work: true,
        load: Rc::new(RefCell::new(TargetLoad::default())),
    };
    plan.targets = vec![(0..targets).map(target).collect()];
    plan
}

fn long_prompt(beginning: &str) -> Prompt {
    let parts = format!("{beginning}:13000,own:3700");
    Prompt::parse(Some("16700,100"), Some(&parts))
}

fn pick(plan: &Plan, prompt: &Prompt, limit: Option<ColdLimit>) -> Result<ChosenTarget, NoTarget> {
    let owner = prefix_owners_of(plan, SERVICE, prompt, "north", |_| true).global;
    let query = ChoiceQuery {
        region: "north",
        service: SERVICE,
        prompt,
        prefix_owner: owner.map(|owner| owner.hash),
        is_owner_in_other_region: false,
        tried: &[],
        timings: ServiceTimings::default(),
    };
    let limit = |_: &Service, _: &Target| limit;
    let rules = TargetEligibility {
        covers: &|_| true,
        limit: &limit,
    };
    choose(plan, &query, NOW, &rules)
}

/// Guards against copies of a beginning on many engines: hosts that share nothing must agree on its home.
#[test]
fn a_long_beginning_goes_to_its_home() {
    let plan = plan(6, true);
    let mut owners = FastSet::default();
    for beginning in 0..40 {
        let prompt = long_prompt(&format!("b{beginning}"));
        let first = pick(&plan, &prompt, None).expect("there are targets");
        let again = pick(&plan, &prompt, None).expect("there are targets");
        assert_eq!(first.target.hash, again.target.hash);
        owners.insert(first.target.hash);
    }
    assert_eq!(owners.len(), 6, "the homes are spread over the targets");
}

struct BusyCase {
    /// The requests that run at each target; there are 8 slots.
    running: u32,
    is_kept_by_one: bool,
    is_owner_in_other_region: bool,
    is_taken: bool,
}

// Guards against long prompts that read a further copy of their beginning at full load: each took the time of a dozen
// short queries, while other targets kept the beginning.
#[test_case(&BusyCase { running: 7, is_kept_by_one: false, is_owner_in_other_region: true, is_taken: true }; "a copy in a free slot")]
#[test_case(&BusyCase { running: 8, is_kept_by_one: false, is_owner_in_other_region: true, is_taken: false }; "no copy in the queue")]
#[test_case(&BusyCase { running: 8, is_kept_by_one: true, is_owner_in_other_region: true, is_taken: true }; "a place in the queue of a target that keeps it")]
#[test_case(&BusyCase { running: 8, is_kept_by_one: false, is_owner_in_other_region: false, is_taken: true }; "a place in the queue of the home")]
#[test_case(&BusyCase { running: 24, is_kept_by_one: true, is_owner_in_other_region: false, is_taken: false }; "no place in a full queue")]
fn a_further_copy_needs_a_free_slot(case: &BusyCase) {
    let plan = plan(4, true);
    let prompt = long_prompt("b");
    let owner = prefix_owners_of(&plan, SERVICE, &prompt, "north", |_| true)
        .global
        .expect("a home");
    for target in &plan.targets[0] {
        target.load.borrow_mut().running = case.running;
    }
    if case.is_kept_by_one {
        let other = plan.targets[0]
            .iter()
            .find(|target| target.hash != owner.hash);
        let mut load = other.expect("another target").load.borrow_mut();
        load.cache.record(NOW, prompt.parts[0], 300_000);
    }
    let query = ChoiceQuery {
        region: "north",
        service: SERVICE,
        prompt: &prompt,
        prefix_owner: Some(owner.hash),
        is_owner_in_other_region: case.is_owner_in_other_region,
        tried: &[],
        timings: ServiceTimings::default(),
    };
    let rules = TargetEligibility {
        covers: &|_| true,
        limit: &|_, _| None,
    };
    assert_eq!(choose(&plan, &query, NOW, &rules).is_ok(), case.is_taken);
}

struct CopyCase {
    /// The region of the host; the home lies in "north".
    region: &'static str,
    /// The host's region keeps the beginning already.
    is_kept: bool,
    is_dear: bool,
}

// Guards against a copy of each beginning in each region: regions peak one after the other, and half of the shared
// tokens of a grown day were read again.
#[test_case(&CopyCase { region: "south", is_kept: false, is_dear: true }; "a further copy")]
#[test_case(&CopyCase { region: "south", is_kept: true, is_dear: false }; "a copy that exists")]
#[test_case(&CopyCase { region: "north", is_kept: false, is_dear: false }; "the first copy at the home")]
fn a_copy_in_another_region_costs_more_than_the_way_to_the_home(case: &CopyCase) {
    let mut plan = plan(6, true);
    let prompt = long_prompt("b");
    let owner = prefix_owners_of(&plan, SERVICE, &prompt, "north", |_| true)
        .global
        .expect("a home");
    let owner = owner.hash;
    for target in &mut plan.targets[0] {
        let is_owner = target.hash == owner;
        target.region = if is_owner { "north" } else { "south" }.into();
    }
    let owners = prefix_owners_of(&plan, SERVICE, &prompt, case.region, |_| true);
    let near = owners.in_region.expect("a target in the region");
    if case.is_kept {
        let mut load = near.load.borrow_mut();
        load.cache.record(NOW, prompt.parts[0], 300_000);
    }
    let query = ChoiceQuery {
        region: case.region,
        service: SERVICE,
        prompt: &prompt,
        prefix_owner: Some(near.hash),
        is_owner_in_other_region: true,
        tried: &[],
        timings: ServiceTimings::default(),
    };
    // The way to another region and back takes some 130 ms.
    assert_eq!(owners.copy_cost_ms(near, &query) > 260.0, case.is_dear);
}

/// Guards against a home that is followed into its overload.
#[test]
fn a_busy_home_is_left() {
    let plan = plan(3, true);
    let prompt = long_prompt("b");
    let owner = pick(&plan, &prompt, None)
        .expect("there are targets")
        .target;
    owner.load.borrow_mut().add_backlog(NOW, 8_000.0);
    let other = pick(&plan, &prompt, None)
        .expect("there are targets")
        .target;
    assert_ne!(other.hash, owner.hash);
}

/// Guards against a home that is left for a further copy because it has just read two prompts: its engine reads the next
/// one in a fifth of the time of another.
#[test]
fn a_home_that_reads_prompts_is_kept() {
    let plan = plan(3, true);
    let prompt = long_prompt("b");
    let owner = pick(&plan, &prompt, None).expect("a target").target;
    let mut load = owner.load.borrow_mut();
    load.cache.record(NOW, prompt.parts[0], 300_000);
    load.add_backlog(MonoMs(NOW.0 - 600), 1_500.0);
    drop(load);
    let chosen = pick(&plan, &prompt, None).expect("a target");
    assert_eq!(chosen.target.hash, owner.hash);
}

/// Guards against short queries that are stretched by the prefill of long prompts, although another engine is calm.
#[test]
fn prefill_work_moves_short_queries_away() {
    let plan = plan(2, true);
    let busy = &plan.targets[0][0];
    busy.load
        .borrow_mut()
        .add_backlog(MonoMs(NOW.0 - 900), 800.0);
    let query = Prompt::parse(Some("300,60"), Some("own:300"));
    let chosen = pick(&plan, &query, None).expect("there are targets");
    assert_ne!(chosen.target.hash, busy.hash);
}

struct ClosedCase {
    change: fn(&mut Plan),
    result: Option<NoTarget>,
}

// Guards against requests to targets that leave, are evacuated, full or cold.
#[test_case(&ClosedCase { change: |_| (), result: None }; "open")]
#[test_case(&ClosedCase { change: |plan| plan.targets[0][0].takes_work = false, result: Some(NoTarget::Absent) }; "leaving")]
#[test_case(&ClosedCase { change: |plan| { plan.evacuated.insert("z".into()); }, result: Some(NoTarget::Absent) }; "evacuated")]
#[test_case(&ClosedCase { change: |plan| plan.targets[0][0].region = "south".into(), result: Some(NoTarget::Absent) }; "in another region")]
#[test_case(&ClosedCase { change: |plan| plan.targets[0][0].load.borrow_mut().running = 24, result: Some(NoTarget::Full) }; "full")]
#[test_case(&ClosedCase { change: |plan| { plan.services[SERVICE].max_connections = 2; plan.targets[0][0].load.borrow_mut().running = 2; }, result: Some(NoTarget::Full) }; "without a free connection")]
#[test_case(&ClosedCase { change: |plan| plan.targets[0][0].load.borrow_mut().cold_until = NOW.plus_ms(1), result: Some(NoTarget::Full) }; "cold and not this host's to use")]
fn closed_targets_get_nothing(case: &ClosedCase) {
    let mut plan = plan(1, false);
    (case.change)(&mut plan);
    assert_eq!(pick(&plan, &Prompt::default(), None).err(), case.result);
}

/// Guards against a host that exceeds its part of a cold target's limit.
#[test]
fn a_cold_target_is_used_up_to_the_limit() {
    let plan = plan(1, false);
    let target = &plan.targets[0][0];
    target.load.borrow_mut().cold_until = NOW.plus_ms(3_000);
    let limit = ColdLimit {
        per_s: 4.0,
        hosts: 2,
    };
    let mut sent = 0;
    while let Ok(chosen) = pick(&plan, &Prompt::default(), Some(limit)) {
        assert!(chosen.cold);
        assert!(target.load.borrow_mut().cold_pace.try_send(NOW, limit));
        sent += 1;
    }
    assert_eq!(sent, 2);
}

fn offer(region: &str, wait_ms: f64) -> RegionCandidate {
    RegionCandidate {
        region: region.into(),
        wait_ms,
        targets: 4,
        has_room: true,
        unreported_requests: 0,
    }
}

// Guards against hosts that cover no target of a service and take their region for free: they sent nothing elsewhere
// before it was full.
#[test_case(7; "calm")]
#[test_case(12; "busy")]
#[test_case(20; "nearly full")]
fn the_cost_follows_from_the_expected_time(running: u32) {
    let plan = plan(1, false);
    plan.targets[0][0].load.borrow_mut().running = running;
    let chosen = pick(&plan, &Prompt::default(), None).expect("a place");
    let answer_ms = ServiceTimings::default().answer_ms;
    let told = lw_relay::plain_cost_ms(chosen.expected_ms, answer_ms);
    assert!((told - chosen.cost_ms).abs() < 1.0, "{told}");
}

struct SpillCase {
    query: SpillQuery,
    region: Option<&'static str>,
}

// Guards against oscillation between regions, and against requests that wait at home while another region is free.
#[test_case(&SpillCase { query: SpillQuery { local_cost_ms: Some(100.0), prefill_ms: 10.0, prefix_owner: None, candidates: vec![offer("east", 0.0)] }, region: None }; "a calm region keeps its requests")]
#[test_case(&SpillCase { query: SpillQuery { local_cost_ms: Some(900.0), prefill_ms: 10.0, prefix_owner: None, candidates: vec![offer("east", 0.0)] }, region: Some("east") }; "a busy region sends them away")]
#[test_case(&SpillCase { query: SpillQuery { local_cost_ms: Some(900.0), prefill_ms: 10.0, prefix_owner: None, candidates: vec![offer("east", 700.0)] }, region: None }; "small differences move nothing")]
#[test_case(&SpillCase { query: SpillQuery { local_cost_ms: None, prefill_ms: 10.0, prefix_owner: None, candidates: vec![offer("east", 700.0), offer("west", 300.0)] }, region: Some("west") }; "without a target the best other region serves")]
#[test_case(&SpillCase { query: SpillQuery { local_cost_ms: Some(1_200.0), prefill_ms: 400.0, prefix_owner: Some(("west".into(), 100.0)), candidates: vec![offer("east", 0.0), offer("west", 100.0)] }, region: Some("west") }; "the region that keeps the beginning is preferred")]
#[test_case(&SpillCase { query: SpillQuery { local_cost_ms: None, prefill_ms: 10.0, prefix_owner: None, candidates: Vec::new() }, region: None }; "no region offers anything")]
#[test_case(&SpillCase { query: SpillQuery { local_cost_ms: Some(900.0), prefill_ms: 200.0, prefix_owner: None, candidates: vec![RegionCandidate { unreported_requests: 40, ..offer("east", 0.0) }] }, region: None }; "requests on their way count")]
fn requests_spill_only_when_it_pays(case: &SpillCase) {
    let chosen = choose_region(&case.query).map(|offer| Arc::clone(&offer.region));
    assert_eq!(chosen.as_deref(), case.region);
}

struct SharersCase {
    up_ms: u64,
    known_near: usize,
    sharers: Option<usize>,
}

// Guards against a restarted host that takes the whole limit of a cold target, because it knows no neighbour yet and
// has forgotten what it sent.
#[test_case(&SharersCase { up_ms: 200, known_near: 1, sharers: None }; "just started")]
#[test_case(&SharersCase { up_ms: 2_000, known_near: 1, sharers: Some(4) }; "young and alone")]
#[test_case(&SharersCase { up_ms: 2_000, known_near: 13, sharers: Some(13) }; "young among many")]
#[test_case(&SharersCase { up_ms: 9_000, known_near: 2, sharers: Some(2) }; "settled")]
fn young_hosts_are_careful_with_cold_targets(case: &SharersCase) {
    assert_eq!(cold_limit_hosts(case.up_ms, case.known_near), case.sharers);
}
