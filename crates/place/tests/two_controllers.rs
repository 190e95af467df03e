//! Two placement controllers with one lease, and engines that check or ignore fencing numbers.

use std::cell::RefCell;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use lw_base::{ArenaKey, Invariant, MonoMs, RegionKey, WallMs, violation_count};
use lw_doc::{Document, Fleet, compile};
use lw_lease::{LeaseClient, LeaseTimes, SingleHolderCheck};
use lw_place::{
    CommandResult, EngineRole, LeaseTerm, ObservedState, OutgoingCommand, PlacementController,
    PlacementTimes, WeightBudget, send_due,
};
use lw_stand::FakeKv;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const ENGINES: usize = 6;

/// A simulated engine; every second one ignores fencing numbers.
struct Engine {
    observed: ObservedState,
    checks_fencing: bool,
    stale_applied: u64,
}

impl Engine {
    fn apply(&mut self, command: &OutgoingCommand) -> CommandResult {
        let is_stale = command.fencing < self.observed.fencing;
        if is_stale && self.checks_fencing {
            return CommandResult::Stale;
        }
        self.stale_applied += u64::from(is_stale);
        self.observed.model = command.desired.model.clone();
        self.observed.version = command.desired.version.clone();
        self.observed.role = Some(command.desired.role);
        self.observed.fencing = self.observed.fencing.max(command.fencing);
        CommandResult::Applied
    }
}

struct Host {
    name: String,
    client: LeaseClient,
    controller: PlacementController,
}

struct Harness {
    fake_kv: FakeKv,
    clock: Arc<AtomicU64>,
    rng: ChaCha8Rng,
    hosts: Vec<Host>,
    engines: Vec<Engine>,
    fleet: Fleet,
    check: SingleHolderCheck,
    /// Commands whose reply was lost and that are applied later, within the command timeout.
    delayed: Vec<(MonoMs, OutgoingCommand)>,
}

fn engine_of(command: &OutgoingCommand) -> usize {
    command.target[1..].parse().expect("name")
}

fn fleet() -> Fleet {
    let target = |index: usize| {
        serde_json::json!({
            "service": "grade", "zone": "z", "address": "127.0.0.1:9001",
            "fencing": index.is_multiple_of(2), "slots": 4,
        })
    };
    let targets: serde_json::Map<_, _> = (0..ENGINES)
        .map(|index| (format!("e{index}"), target(index)))
        .collect();
    let document: Document = serde_json::from_value(serde_json::json!({
        "format": 1,
        "regions": {"east": {"zones": ["z"]}},
        "services": {"grade": {"kind": "model", "priority": "batch", "regions": ["east"], "deadline_ms": 1_000}},
        "targets": targets,
        "engine": {"models": {"grade": {"version": "2"}}},
    }))
    .expect("document");
    compile(&document, 1)
}

impl Harness {
    fn new(seed: u64) -> Self {
        println!("seed {seed}");
        let clock = Arc::new(AtomicU64::new(1_000));
        let time = clock.clone();
        let fake_kv = FakeKv::with_clock(move || MonoMs(time.load(Ordering::SeqCst)));
        let times = LeaseTimes {
            watch_ms: 0,
            ..LeaseTimes::default()
        };
        let host = |index: usize| {
            let name = format!("h{index}");
            let mut client = LeaseClient::new("place/east", name.clone(), times);
            client.set_wanted(MonoMs(0), true);
            let controller =
                PlacementController::new(PlacementTimes::default(), WeightBudget::new(1.0, 2));
            Host {
                name,
                client,
                controller,
            }
        };
        let engine = |index: usize| Engine {
            observed: ObservedState {
                model: "".into(),
                version: "".into(),
                role: None,
                fencing: 0,
                busy: 0,
            },
            checks_fencing: index.is_multiple_of(2),
            stale_applied: 0,
        };
        Self {
            fake_kv,
            clock,
            rng: ChaCha8Rng::seed_from_u64(seed),
            hosts: (0..2).map(host).collect(),
            engines: (0..ENGINES).map(engine).collect(),
            fleet: fleet(),
            check: SingleHolderCheck::default(),
            delayed: Vec::new(),
        }
    }

    /// Advances the clock, and applies the delayed commands that are due.
    fn advance(&mut self) {
        let now = MonoMs(self.clock.fetch_add(250, Ordering::SeqCst) + 250);
        for (_, command) in self.delayed.extract_if(.., |(due, _)| *due <= now) {
            self.engines[engine_of(&command)].apply(&command);
        }
    }

    /// Makes random hosts release or request the lease.
    fn change_lease_requests(&mut self) {
        let now = MonoMs(self.clock.load(Ordering::SeqCst));
        for host in &mut self.hosts {
            host.client.set_wanted(now, self.rng.random_bool(0.7));
        }
    }

    /// Restarts a random engine without its model, with a probability of 20%.
    fn restart_random_engine(&mut self) {
        if self.rng.random_bool(0.2) {
            let observed = &mut self.engines[self.rng.random_range(0..ENGINES)].observed;
            observed.model = "".into();
            observed.version = "".into();
            observed.role = None;
        }
    }

    /// Makes one host renew its lease, observe the engines, plan and send; `faults` loses requests and replies.
    async fn step(&mut self, index: usize, busy_slots: f64, faults: bool) {
        let now = MonoMs(self.clock.load(Ordering::SeqCst));
        let host = &mut self.hosts[index];
        while let Some(call) = host.client.tick(now) {
            let result = self.fake_kv.kv().call(call).await;
            host.client.reply(now, &mut self.rng, result);
        }
        let term = |now| {
            let grant = host
                .client
                .current_grant()
                .filter(|grant| grant.may_act(now))?;
            let (epoch, acquired_at) = (grant.epoch, grant.acquired_at);
            Some(LeaseTerm { epoch, acquired_at })
        };
        let Some(current) = term(now) else { return };
        let region = RegionKey::from_index(0);
        let controller = &mut host.controller;
        controller.plan(now, WallMs(0), current, &self.fleet, region);
        for (engine, observed) in self.engines.iter().enumerate() {
            if !faults || self.rng.random_bool(0.8) {
                let name = format!("e{engine}").into();
                controller.observe_engine(now, &name, observed.observed.clone());
            }
        }
        controller.observe_demand(now, &"grade".into(), busy_slots);
        controller.plan(now, WallMs(0), current, &self.fleet, region);
        let (engines, delayed) = (&mut self.engines, &mut self.delayed);
        let shared = RefCell::new((engines, delayed, &mut self.rng, &mut self.check));
        let send = |command: OutgoingCommand| {
            let (engines, delayed, rng, check) = &mut *shared.borrow_mut();
            let engine = engine_of(&command);
            check.record_action("east", command.fencing, &host.name);
            let result = match rng.random_range(0..10) {
                0 if faults => CommandResult::Lost,
                1..=4 if faults => {
                    let due = now.plus_ms(rng.random_range(0..=5_000));
                    delayed.push((due, command));
                    CommandResult::Lost
                }
                5 if faults => CommandResult::Refused,
                _ => engines[engine].apply(&command),
            };
            std::future::ready(result)
        };
        send_due(controller, || now, term, send).await;
    }

    fn serving(&self) -> usize {
        let serves = |engine: &&Engine| {
            engine.observed.role == Some(EngineRole::Serve) && *engine.observed.version == *"2"
        };
        self.engines.iter().filter(serves).count()
    }
}

/// Guards against controllers that undo each other's commands, send stale commands to engines that ignore fencing
/// numbers, or do not converge.
#[tokio::test]
async fn controllers_converge_after_pauses_and_lost_replies() {
    for seed in 0..10 {
        let mut harness = Harness::new(seed);
        for _ in 0..150 {
            let running = harness.rng.random_range(0..4);
            harness.change_lease_requests();
            for _ in 0..harness.rng.random_range(1..100) {
                harness.advance();
                harness.restart_random_engine();
                for index in 0..2 {
                    if running == 3 || running == index {
                        harness.step(index, 10.0, true).await;
                    }
                }
            }
        }
        for host in &mut harness.hosts {
            host.client.set_wanted(MonoMs(0), true);
        }
        // A demand of 10 slots is 83% of three engines with 4 slots, and 62% of four.
        for _ in 0..2_400 {
            harness.advance();
            for index in 0..2 {
                harness.step(index, 10.0, false).await;
            }
        }
        let queued = harness
            .hosts
            .iter()
            .map(|host| host.controller.queued_commands());
        assert_eq!(
            (harness.serving(), queued.min()),
            (4, Some(0)),
            "seed {seed}"
        );
        assert!(
            harness
                .engines
                .iter()
                .all(|engine| engine.stale_applied == 0)
        );
    }
    assert_eq!(violation_count(Invariant::OneHolder), 0);
}
