//! Targets from one word of the platform to the next, and their health.

use std::rc::Rc;
use std::sync::Arc;

use lw_base::prelude::*;
use lw_relay::{
    AttemptEnd, Configuration, ListedTarget, Plan, PlatformSnapshot, PrefixCacheEstimate, Prompt,
    Service, Target, TargetHealth, TargetRegistry,
};
use test_case::test_case;

const NOW: MonoMs = MonoMs(100_000);

fn listed(id: &str) -> ListedTarget {
    ListedTarget {
        id: id.into(),
        started_at_ms: 1,
        service: "s".into(),
        address: ([127, 0, 0, 1], 1).into(),
        zone: "z".into(),
        slots: 8,
        is_leaving: false,
        cold_left_ms: 0,
        revision: 1,
    }
}

fn word(targets: Vec<ListedTarget>) -> PlatformSnapshot {
    let mut configuration = Configuration {
        version: 1,
        ..Configuration::default()
    };
    configuration.services.push(
        "s",
        Service {
            name: "s".into(),
            hash: 1,
            max_connections: 10,
            cold_ms: 3_000,
            cold_per_s: 4.0,
            engine: None,
        },
    );
    PlatformSnapshot {
        configuration: Rc::new(configuration),
        targets,
        evacuated: FastSet::default(),
    }
}

fn region_of(_: &str) -> Option<Arc<str>> {
    Some("north".into())
}

fn open(plan: &Plan) -> Vec<&Target> {
    let targets = plan.targets.iter().flatten();
    targets
        .filter(|target| plan.accepts_requests(target))
        .collect()
}

struct VanishCase {
    before: Vec<ListedTarget>,
    after: Vec<ListedTarget>,
    trouble: bool,
    /// The open targets at once, and 2.1 s later.
    open: (usize, usize),
}

// Guards against requests to targets that are gone, and against a region without targets after entries have lapsed.
#[test_case(VanishCase { before: vec![listed("a"), listed("b")], after: vec![listed("b")], trouble: false, open: (1, 1) }; "one entry leaves in calm times")]
#[test_case(VanishCase { before: vec![listed("a"), listed("b")], after: vec![listed("b")], trouble: true, open: (2, 1) }; "an entry lapses in trouble")]
#[test_case(VanishCase { before: vec![listed("a"), listed("b")], after: vec![], trouble: false, open: (2, 0) }; "many entries lapse at once")]
#[test_case(VanishCase { before: vec![ListedTarget { is_leaving: true, ..listed("a") }, listed("b")], after: vec![listed("b")], trouble: true, open: (1, 1) }; "a target that had announced its leave is gone")]
#[test_case(VanishCase { before: vec![listed("a")], after: vec![ListedTarget { started_at_ms: 2, ..listed("a") }], trouble: true, open: (1, 1) }; "a restarted target replaces its former process")]
fn vanished_entries_are_held_only_in_trouble(case: VanishCase) {
    let mut book = TargetRegistry::default();
    book.plan(NOW, &word(case.before), region_of);
    if case.trouble {
        book.record_platform_failure(NOW);
    }
    let word = word(case.after);
    let plan = book.plan(NOW.plus_ms(10), &word, region_of);
    assert_eq!(open(&plan).len(), case.open.0);
    let plan = book.plan(NOW.plus_ms(2_110), &word, region_of);
    assert_eq!(open(&plan).len(), case.open.1);
    assert!(!book.has_held_targets());
}

/// Guards against a held target that stays closed although its entry is back.
#[test]
fn an_entry_that_returns_goes_on_with_its_load() {
    let mut book = TargetRegistry::default();
    let plan = book.plan(NOW, &word(vec![listed("a"), listed("b")]), region_of);
    open(&plan)[0].load.borrow_mut().running = 3;
    book.plan(NOW.plus_ms(10), &word(vec![]), region_of);
    let back = word(vec![listed("a"), listed("b")]);
    let plan = book.plan(NOW.plus_ms(1_500), &back, region_of);
    let plan_later = book.plan(NOW.plus_ms(9_000), &back, region_of);
    assert_eq!((open(&plan).len(), open(&plan_later).len()), (2, 2));
    let running: u32 = open(&plan)
        .iter()
        .map(|target| target.load.borrow().running)
        .sum();
    assert_eq!(running, 3);
}

/// Guards against the load of a former process that is held against its successor.
#[test]
fn a_restarted_target_begins_without_load() {
    let mut book = TargetRegistry::default();
    let plan = book.plan(NOW, &word(vec![listed("a")]), region_of);
    open(&plan)[0].load.borrow_mut().running = 3;
    let restarted = ListedTarget {
        started_at_ms: 2,
        cold_left_ms: 2_000,
        ..listed("a")
    };
    let plan = book.plan(NOW, &word(vec![restarted]), region_of);
    let load = open(&plan)[0].load.borrow();
    assert_eq!(load.running, 0);
    assert!(load.cold_until > NOW.plus_ms(2_000));
}

/// Guards against a burst to targets that became cold behind an evacuation.
#[test]
fn targets_of_a_zone_that_is_taken_back_count_as_cold() {
    let mut book = TargetRegistry::default();
    let mut evacuated = word(vec![listed("a")]);
    evacuated.evacuated.insert("z".into());
    let plan = book.plan(NOW, &evacuated, region_of);
    assert!(open(&plan).is_empty());
    let plan = book.plan(NOW.plus_ms(5_000), &word(vec![listed("a")]), region_of);
    assert_eq!(open(&plan)[0].load.borrow().cold_until, NOW.plus_ms(8_000));
}

struct HealthCase {
    /// Ends of attempts, one every 100 ms.
    ends: Vec<AttemptEnd>,
    /// A request without an answer is sent at the end.
    waiting: bool,
    asked_after_ms: u64,
    suspect: bool,
}

// Guards against requests to targets that are down or silent, and against healthy ones that stay out.
#[test_case(&HealthCase { ends: vec![AttemptEnd::Answered; 3], waiting: false, asked_after_ms: 0, suspect: false }; "healthy")]
#[test_case(&HealthCase { ends: vec![AttemptEnd::Unreachable], waiting: false, asked_after_ms: 0, suspect: true }; "unreachable")]
#[test_case(&HealthCase { ends: vec![AttemptEnd::Unreachable], waiting: false, asked_after_ms: 500, suspect: false }; "tried again after a while")]
#[test_case(&HealthCase { ends: vec![AttemptEnd::Unreachable; 4], waiting: false, asked_after_ms: 1_000, suspect: true }; "tried less often after failures in a row")]
#[test_case(&HealthCase { ends: vec![AttemptEnd::Failed; 6], waiting: false, asked_after_ms: 0, suspect: false }; "failures are answers")]
#[test_case(&HealthCase { ends: vec![AttemptEnd::Unreachable], waiting: true, asked_after_ms: 500, suspect: true }; "one request at a time probes a target that failed")]
#[test_case(&HealthCase { ends: vec![AttemptEnd::Unreachable, AttemptEnd::Answered], waiting: true, asked_after_ms: 500, suspect: false }; "back in use after an answer")]
#[test_case(&HealthCase { ends: vec![AttemptEnd::Replaced], waiting: false, asked_after_ms: 4_000, suspect: true }; "replaced, and still listed")]
#[test_case(&HealthCase { ends: vec![], waiting: true, asked_after_ms: 2_000, suspect: true }; "silent")]
#[test_case(&HealthCase { ends: vec![], waiting: true, asked_after_ms: 100, suspect: false }; "not silent yet")]
fn targets_are_judged_by_their_answers(case: &HealthCase) {
    let mut health = TargetHealth::default();
    let mut now = NOW;
    for end in &case.ends {
        now = now.plus_ms(100);
        health.record_sent(now);
        health.record_end(now, *end);
    }
    if case.waiting {
        health.record_sent(now);
    }
    let asked = now.plus_ms(case.asked_after_ms);
    assert_eq!(health.is_suspect(asked, 50.0), case.suspect);
}

/// Guards against an estimate that counts on parts which an engine has long dropped.
#[test]
fn the_least_recently_used_parts_yield() {
    let mut cache = PrefixCacheEstimate::default();
    let prompts: Vec<Prompt> = (0..30)
        .map(|index| Prompt::parse(None, Some(&format!("p{index}:10000"))))
        .collect();
    for (index, prompt) in prompts.iter().enumerate() {
        cache.record(NOW.plus_ms(index as u64), prompt.parts[0], 200_000);
    }
    assert_eq!(cache.cached_tokens(&prompts[0].parts), 0);
    assert_eq!(cache.cached_tokens(&prompts[29].parts), 10_000);
    // A part counts only when every part before it is kept.
    let prompt = Prompt::parse(None, Some("p29:10000,q:500"));
    assert_eq!(cache.cached_tokens(&prompt.parts), 10_000);
}
