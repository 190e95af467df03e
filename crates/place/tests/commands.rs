//! Commands to engines: waiting, fencing, lost replies and reconciliation.

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

fn view(version: &str, fencing: u64) -> ObservedState {
    let serves = !version.is_empty();
    ObservedState {
        model: if serves { "grade" } else { "" }.into(),
        version: version.into(),
        role: serves.then_some(EngineRole::Serve),
        fencing,
        busy: 0,
    }
}

struct Bed {
    decider: PlacementController,
    fleet: Fleet,
    tenure: LeaseTerm,
}

impl Bed {
    fn new() -> Self {
        Self {
            decider: PlacementController::new(
                PlacementTimes::default(),
                WeightBudget::new(1.0, 10),
            ),
            fleet: fleet(),
            tenure: LeaseTerm {
                epoch: 5,
                acquired_at: MonoMs(1_000),
            },
        }
    }

    fn plan(&mut self, now: MonoMs) {
        let east = RegionKey::from_index(0);
        self.decider
            .plan(now, WallMs(0), self.tenure, &self.fleet, east);
    }

    fn saw(&mut self, now: MonoMs, target: &str, view: ObservedState) {
        self.decider.observe_engine(now, &target.into(), view);
    }

    /// Plans after a reading of both engines, and returns what is due.
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
        self.saw(now, "checks", checks);
        self.saw(now, "ignores", ignores);
        self.plan(now);
        self.decider.due(now, self.tenure)
    }
}

/// Guards against a first command to an engine that ignores numbers while an earlier decider may still act.
#[test]
fn engines_that_ignore_numbers_wait() {
    let mut bed = Bed::new();
    let old = || view("1", 4);
    // The sole server is replaced by the other engine first.
    assert_eq!(bed.due(1_000, old(), view("", 4)), Vec::<String>::new());
    assert_eq!(bed.due(18_999, old(), view("", 4)), Vec::<String>::new());
    assert_eq!(bed.due(19_000, old(), view("", 4)), ["ignores"]);
    let mut bed = Bed::new();
    assert_eq!(bed.due(1_000, view("", 4), old()), ["checks"]);
}

/// Guards against a command that is given up, hurried or doubled after its reply was lost, once and twice.
#[test]
fn lost_replies_are_repeated() {
    let mut bed = Bed::new();
    let empty = || view("", 4);
    let first = bed.commands(1_000, empty(), view("", 4));
    assert_eq!(first.len(), 1);
    assert_eq!(bed.due(1_500, empty(), empty()).len(), 0);
    bed.decider
        .record_result(MonoMs(2_000), &first[0], CommandResult::Lost);
    assert_eq!(bed.due(2_999, empty(), empty()).len(), 0);
    let second = bed.commands(3_000, empty(), empty());
    assert_eq!(second, first);
    bed.decider
        .record_result(MonoMs(4_000), &second[0], CommandResult::Lost);
    assert_eq!(bed.due(5_999, empty(), empty()).len(), 0);
    // The command had taken effect: the reading settles it.
    assert_eq!(bed.due(6_000, view("2", 5), empty()).len(), 0);
    assert_eq!(bed.decider.queued_commands(), 0);
}

/// Guards against a sender that vanished with its command and blocks the engine for ever.
#[test]
fn a_command_without_a_result_counts_as_lost() {
    let mut bed = Bed::new();
    assert_eq!(bed.due(1_000, view("", 4), view("", 4)), ["checks"]);
    assert_eq!(bed.due(8_999, view("", 4), view("", 4)).len(), 0);
    assert_eq!(bed.due(9_000, view("", 4), view("", 4)), ["checks"]);
}

/// Guards against a decider that goes on after an engine saw a higher number, by refusal or by reading.
#[test]
fn a_superseded_decider_stops() {
    let mut bed = Bed::new();
    let first = bed.commands(1_000, view("", 4), view("", 4));
    bed.decider
        .record_result(MonoMs(1_100), &first[0], CommandResult::Stale);
    assert_eq!(bed.decider.superseded_by(), Some(6));
    assert_eq!(bed.due(60_000, view("", 4), view("", 4)).len(), 0);
    bed.tenure = LeaseTerm {
        epoch: 7,
        acquired_at: MonoMs(60_000),
    };
    assert_eq!(bed.due(60_000, view("", 6), view("", 4)), ["checks"]);
    assert_eq!(bed.due(70_000, view("", 8), view("", 4)).len(), 0);
    assert_eq!(bed.decider.superseded_by(), Some(8));
}

/// Guards against an engine that a late command of an earlier decider left in a wrong state.
#[test]
fn a_stale_command_is_corrected() {
    let mut bed = Bed::new();
    assert_eq!(bed.due(1_000, view("", 4), view("2", 4)).len(), 0);
    // The sole server fell back to the old version: another engine replaces it.
    assert_eq!(bed.due(30_000, view("", 4), view("1", 4)), ["checks"]);
    let mut bed = Bed::new();
    assert_eq!(bed.due(1_000, view("2", 5), view("", 4)).len(), 0);
    assert_eq!(bed.due(6_000, view("1", 5), view("", 4)).len(), 0);
    // The engine that ignores numbers replaces the sole server after the wait.
    assert_eq!(bed.due(19_000, view("1", 5), view("", 4)), ["ignores"]);
}

/// Guards against a new decider that starts replicas before it knows which engines serve.
#[test]
fn a_new_tenure_reads_the_engines_first() {
    let mut bed = Bed::new();
    assert_eq!(bed.due(1_000, view("2", 4), view("2", 4)).len(), 0);
    assert_eq!(bed.decider.replicas("grade"), Some(2));
    bed.tenure = LeaseTerm {
        epoch: 6,
        acquired_at: MonoMs(2_000),
    };
    bed.plan(MonoMs(2_000));
    assert_eq!(bed.decider.replicas("grade"), None);
    bed.saw(MonoMs(2_000), "checks", view("", 5));
    bed.plan(MonoMs(2_000));
    assert_eq!(bed.decider.due(MonoMs(2_000), bed.tenure), []);
    // The other engine does not answer within 15 s.
    bed.plan(MonoMs(17_000));
    assert_eq!(bed.decider.due(MonoMs(17_000), bed.tenure).len(), 1);
}

/// Guards against a send after a pause in which the lease ended, and against a send without a lease.
#[tokio::test]
async fn a_pause_before_the_send() {
    for (lasts, expected) in [(0, 0), (1, 0), (2, 1)] {
        let mut bed = Bed::new();
        let now = MonoMs(1_000);
        bed.plan(now);
        bed.saw(now, "checks", view("", 4));
        bed.saw(now, "ignores", view("", 4));
        bed.plan(now);
        let reads = Cell::new(0);
        let tenure = bed.tenure;
        let read_lease = |_| {
            reads.set(reads.get() + 1);
            (reads.get() <= lasts).then_some(tenure)
        };
        let sends = Cell::new(0);
        let send = |_| {
            sends.set(sends.get() + 1);
            std::future::ready(CommandResult::Applied)
        };
        let sent = send_due(&mut bed.decider, || now, read_lease, send).await;
        assert_eq!((sent, sends.get()), (expected, expected));
    }
}
