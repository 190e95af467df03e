//! Commands to engines: initial wait, fencing, lost replies and reconciliation.

use std::cell::Cell;

use lw_base::{ArenaKey, MonoMs, RegionKey, WallMs};
use lw_doc::{Document, Fleet, compile};
use lw_place::{
    CommandResult, EngineRole, LeaseTerm, ObservedState, OutgoingCommand, PlacementController,
    PlacementTimes, WeightBudget, send_due,
};

fn fleet() -> Fleet {
    let target = |fencing: bool| {
        serde_json::json!({
            "service": "grade", "zone": "z", "address": "127.0.0.1:9001", "fencing": fencing, "slots": 4,
        })
    };
    let document: Document = serde_json::from_value(serde_json::json!({
        "format": 1,
        "regions": {"east": {"zones": ["z"]}},
        "services": {"grade": {"kind": "model", "priority": "batch", "regions": ["east"], "deadline_ms": 1_000}},
        "targets": {"checks": target(true), "ignores": target(false)},
        "engine": {"models": {"grade": {"version": "2"}}},
    }))
    .expect("document");
    compile(&document, 1)
}

fn observed(version: &str, fencing: u64) -> ObservedState {
    let serves = !version.is_empty();
    ObservedState {
        model: if serves { "grade" } else { "" }.into(),
        version: version.into(),
        role: serves.then_some(EngineRole::Serve),
        fencing,
        busy: 0,
    }
}

struct Harness {
    controller: PlacementController,
    fleet: Fleet,
    term: LeaseTerm,
}

impl Harness {
    fn new() -> Self {
        Self {
            controller: PlacementController::new(
                PlacementTimes::default(),
                WeightBudget::new(1.0, 10),
            ),
            fleet: fleet(),
            term: LeaseTerm {
                epoch: 5,
                acquired_at: MonoMs(1_000),
            },
        }
    }

    fn plan(&mut self, now: MonoMs) {
        let east = RegionKey::from_index(0);
        self.controller
            .plan(now, WallMs(0), self.term, &self.fleet, east);
    }

    fn observe(&mut self, now: MonoMs, target: &str, observed: ObservedState) {
        self.controller
            .observe_engine(now, &target.into(), observed);
    }

    /// Plans after an observation of both engines, and returns the targets of the due commands.
    fn due(&mut self, now_ms: u64, checks: ObservedState, ignores: ObservedState) -> Vec<String> {
        let commands = self.commands(now_ms, checks, ignores);
        commands.iter().map(|one| one.target.to_string()).collect()
    }

    fn commands(
        &mut self,
        now_ms: u64,
        checks: ObservedState,
        ignores: ObservedState,
    ) -> Vec<OutgoingCommand> {
        let now = MonoMs(now_ms);
        self.plan(now);
        self.observe(now, "checks", checks);
        self.observe(now, "ignores", ignores);
        self.plan(now);
        self.controller.due(now, self.term)
    }
}

/// Guards against a first command to an engine that ignores fencing numbers while an earlier controller may still act.
#[test]
fn first_command_to_unfenced_engines_waits() {
    let mut harness = Harness::new();
    let old = || observed("1", 4);
    // The other engine replaces the only serving engine first.
    assert_eq!(
        harness.due(1_000, old(), observed("", 4)),
        Vec::<String>::new()
    );
    assert_eq!(
        harness.due(18_999, old(), observed("", 4)),
        Vec::<String>::new()
    );
    assert_eq!(harness.due(19_000, old(), observed("", 4)), ["ignores"]);
    let mut harness = Harness::new();
    assert_eq!(harness.due(1_000, observed("", 4), old()), ["checks"]);
}

/// Guards against a command that is dropped, retried too early or sent twice at once after lost replies.
#[test]
fn commands_are_retried_after_lost_replies() {
    let mut harness = Harness::new();
    let empty = || observed("", 4);
    let first = harness.commands(1_000, empty(), observed("", 4));
    assert_eq!(first.len(), 1);
    assert_eq!(harness.due(1_500, empty(), empty()).len(), 0);
    harness
        .controller
        .record_result(MonoMs(2_000), &first[0], CommandResult::Lost);
    assert_eq!(harness.due(2_999, empty(), empty()).len(), 0);
    let second = harness.commands(3_000, empty(), empty());
    assert_eq!(second, first);
    harness
        .controller
        .record_result(MonoMs(4_000), &second[0], CommandResult::Lost);
    assert_eq!(harness.due(5_999, empty(), empty()).len(), 0);
    // The command was applied: the next observation removes it from the queue.
    assert_eq!(harness.due(6_000, observed("2", 5), empty()).len(), 0);
    assert_eq!(harness.controller.queued_commands(), 0);
}

/// Guards against a command that never gets a result and blocks further commands to its engine.
#[test]
fn a_command_without_a_result_counts_as_lost() {
    let mut harness = Harness::new();
    assert_eq!(
        harness.due(1_000, observed("", 4), observed("", 4)),
        ["checks"]
    );
    assert_eq!(
        harness.due(8_999, observed("", 4), observed("", 4)).len(),
        0
    );
    assert_eq!(
        harness.due(9_000, observed("", 4), observed("", 4)),
        ["checks"]
    );
}

/// Guards against a controller that keeps sending after a refusal or an observation shows a higher fencing number.
#[test]
fn superseded_controller_sends_nothing() {
    let mut harness = Harness::new();
    let first = harness.commands(1_000, observed("", 4), observed("", 4));
    harness
        .controller
        .record_result(MonoMs(1_100), &first[0], CommandResult::Stale);
    assert_eq!(harness.controller.superseded_by(), Some(6));
    assert_eq!(
        harness.due(60_000, observed("", 4), observed("", 4)).len(),
        0
    );
    harness.term = LeaseTerm {
        epoch: 7,
        acquired_at: MonoMs(60_000),
    };
    assert_eq!(
        harness.due(60_000, observed("", 6), observed("", 4)),
        ["checks"]
    );
    assert_eq!(
        harness.due(70_000, observed("", 8), observed("", 4)).len(),
        0
    );
    assert_eq!(harness.controller.superseded_by(), Some(8));
}

/// Guards against an engine that stays in the state of a late command of an earlier controller.
#[test]
fn state_of_a_stale_command_is_corrected() {
    let mut harness = Harness::new();
    assert_eq!(
        harness.due(1_000, observed("", 4), observed("2", 4)).len(),
        0
    );
    // The only serving engine went back to the old version: another engine replaces it.
    assert_eq!(
        harness.due(30_000, observed("", 4), observed("1", 4)),
        ["checks"]
    );
    let mut harness = Harness::new();
    assert_eq!(
        harness.due(1_000, observed("2", 5), observed("", 4)).len(),
        0
    );
    assert_eq!(
        harness.due(6_000, observed("1", 5), observed("", 4)).len(),
        0
    );
    // The engine that ignores fencing numbers replaces the only serving engine after the wait.
    assert_eq!(
        harness.due(19_000, observed("1", 5), observed("", 4)),
        ["ignores"]
    );
}

/// Guards against a new controller that starts replicas before it knows which engines serve.
#[test]
fn new_term_observes_the_engines_first() {
    let mut harness = Harness::new();
    assert_eq!(
        harness.due(1_000, observed("2", 4), observed("2", 4)).len(),
        0
    );
    assert_eq!(harness.controller.replicas("grade"), Some(2));
    harness.term = LeaseTerm {
        epoch: 6,
        acquired_at: MonoMs(2_000),
    };
    harness.plan(MonoMs(2_000));
    assert_eq!(harness.controller.replicas("grade"), None);
    harness.observe(MonoMs(2_000), "checks", observed("", 5));
    harness.plan(MonoMs(2_000));
    assert_eq!(harness.controller.due(MonoMs(2_000), harness.term), []);
    // The other engine does not answer within 15 s.
    harness.plan(MonoMs(17_000));
    assert_eq!(
        harness.controller.due(MonoMs(17_000), harness.term).len(),
        1
    );
}

/// Guards against a send without a lease, and against a send after a pause in which the lease expired.
#[tokio::test]
async fn no_command_is_sent_without_a_lease() {
    for (valid_reads, expected) in [(0, 0), (1, 0), (2, 1)] {
        let mut harness = Harness::new();
        let now = MonoMs(1_000);
        harness.plan(now);
        harness.observe(now, "checks", observed("", 4));
        harness.observe(now, "ignores", observed("", 4));
        harness.plan(now);
        let reads = Cell::new(0);
        let term = harness.term;
        let read_lease = |_| {
            reads.set(reads.get() + 1);
            (reads.get() <= valid_reads).then_some(term)
        };
        let sends = Cell::new(0);
        let send = |_| {
            sends.set(sends.get() + 1);
            std::future::ready(CommandResult::Applied)
        };
        let sent = send_due(&mut harness.controller, || now, read_lease, send).await;
        assert_eq!((sent, sends.get()), (expected, expected));
    }
}
