//! Two deciders over the lease, the key-value stand-in and engines that check or ignore fencing numbers.

use std::cell::RefCell;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use lw_base::{ArenaKey, Invariant, MonoMs, RegionKey, WallMs, invariant_count};
use lw_doc::{Document, Fleet, compile};
use lw_lease::{LeaseClient, LeaseTimes, SingleHolderCheck};
use lw_place::{
    CommandResult, EngineRole, LeaseTerm, ObservedState, OutgoingCommand, PlacementController,
    PlacementTimes, WeightBudget, send_due,
};
use lw_stand::KvStand;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const ENGINES: usize = 6;

/// An engine; every second one ignores fencing numbers.
struct Engine {
    view: ObservedState,
    checks: bool,
    stale: u64,
}

impl Engine {
    fn take(&mut self, command: &OutgoingCommand) -> CommandResult {
        let is_stale = command.fencing < self.view.fencing;
        if is_stale && self.checks {
            return CommandResult::Stale;
        }
        self.stale += u64::from(is_stale);
        self.view.model = command.desired.model.clone();
        self.view.version = command.desired.version.clone();
        self.view.role = Some(command.desired.role);
        self.view.fencing = self.view.fencing.max(command.fencing);
        CommandResult::Applied
    }
}

struct Host {
    name: String,
    holder: LeaseClient,
    decider: PlacementController,
}

struct Bed {
    stand: KvStand,
    clock: Arc<AtomicU64>,
    rng: ChaCha8Rng,
    hosts: Vec<Host>,
    engines: Vec<Engine>,
    fleet: Fleet,
    check: SingleHolderCheck,
    /// Commands whose reply was lost and that take effect later, at most after the longest command time.
    late: Vec<(MonoMs, OutgoingCommand)>,
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

impl Bed {
    fn new(seed: u64) -> Self {
        println!("seed {seed}");
        let clock = Arc::new(AtomicU64::new(1_000));
        let time = clock.clone();
        let stand = KvStand::with_clock(move || MonoMs(time.load(Ordering::SeqCst)));
        let times = LeaseTimes {
            watch_ms: 0,
            ..LeaseTimes::default()
        };
        let host = |index: usize| {
            let name = format!("h{index}");
            let mut holder = LeaseClient::new("place/east", name.clone(), times);
            holder.set_wanted(MonoMs(0), true);
            let decider =
                PlacementController::new(PlacementTimes::default(), WeightBudget::new(1.0, 2));
            Host {
                name,
                holder,
                decider,
            }
        };
        let engine = |index: usize| Engine {
            view: ObservedState {
                model: "".into(),
                version: "".into(),
                role: None,
                fencing: 0,
                busy: 0,
            },
            checks: index.is_multiple_of(2),
            stale: 0,
        };
        Self {
            stand,
            clock,
            rng: ChaCha8Rng::seed_from_u64(seed),
            hosts: (0..2).map(host).collect(),
            engines: (0..ENGINES).map(engine).collect(),
            fleet: fleet(),
            check: SingleHolderCheck::default(),
            late: Vec::new(),
        }
    }

    /// Lets time pass, and lets late commands take effect.
    fn advance(&mut self) {
        let now = MonoMs(self.clock.fetch_add(250, Ordering::SeqCst) + 250);
        for (_, command) in self.late.extract_if(.., |(due, _)| *due <= now) {
            self.engines[engine_of(&command)].take(&command);
        }
    }

    /// Lets hosts give up the lease or ask for it again.
    fn hand_over(&mut self) {
        let now = MonoMs(self.clock.load(Ordering::SeqCst));
        for host in &mut self.hosts {
            host.holder.set_wanted(now, self.rng.random_bool(0.7));
        }
    }

    /// Lets an engine lose its model now and then.
    fn restart_an_engine(&mut self) {
        if self.rng.random_bool(0.2) {
            let view = &mut self.engines[self.rng.random_range(0..ENGINES)].view;
            view.model = "".into();
            view.version = "".into();
            view.role = None;
        }
    }

    /// Lets one host renew its lease, read the engines, plan and send; `faults` loses requests and replies.
    async fn step(&mut self, index: usize, busy_slots: f64, faults: bool) {
        let now = MonoMs(self.clock.load(Ordering::SeqCst));
        let host = &mut self.hosts[index];
        while let Some(call) = host.holder.tick(now) {
            let result = self.stand.kv().call(call).await;
            host.holder.reply(now, &mut self.rng, result);
        }
        let tenure = |now| {
            let held = host.holder.authority().filter(|held| held.may_act(now))?;
            let (epoch, acquired_at) = (held.epoch, held.acquired_at);
            Some(LeaseTerm { epoch, acquired_at })
        };
        let Some(current) = tenure(now) else { return };
        let region = RegionKey::from_index(0);
        let decider = &mut host.decider;
        decider.plan(now, WallMs(0), current, &self.fleet, region);
        for (engine, view) in self.engines.iter().enumerate() {
            if !faults || self.rng.random_bool(0.8) {
                let name = format!("e{engine}").into();
                decider.observe_engine(now, &name, view.view.clone());
            }
        }
        decider.observe_demand(now, &"grade".into(), busy_slots);
        decider.plan(now, WallMs(0), current, &self.fleet, region);
        let (engines, late) = (&mut self.engines, &mut self.late);
        let shared = RefCell::new((engines, late, &mut self.rng, &mut self.check));
        let send = |command: OutgoingCommand| {
            let (engines, late, rng, check) = &mut *shared.borrow_mut();
            let engine = engine_of(&command);
            check.record_action("east", command.fencing, &host.name);
            let result = match rng.random_range(0..10) {
                0 if faults => CommandResult::Lost,
                1..=4 if faults => {
                    let due = now.plus_ms(rng.random_range(0..=5_000));
                    late.push((due, command));
                    CommandResult::Lost
                }
                5 if faults => CommandResult::Refused,
                _ => engines[engine].take(&command),
            };
            std::future::ready(result)
        };
        send_due(decider, || now, tenure, send).await;
    }

    fn serving(&self) -> usize {
        let serves = |engine: &&Engine| {
            engine.view.role == Some(EngineRole::Serve) && *engine.view.version == *"2"
        };
        self.engines.iter().filter(serves).count()
    }
}

/// Guards against deciders that fight, send old commands to engines that ignore numbers, or do not settle.
#[tokio::test]
async fn pauses_and_lost_replies_settle() {
    for seed in 0..10 {
        let mut bed = Bed::new(seed);
        for _ in 0..150 {
            let awake = bed.rng.random_range(0..4);
            bed.hand_over();
            for _ in 0..bed.rng.random_range(1..100) {
                bed.advance();
                bed.restart_an_engine();
                for index in 0..2 {
                    if awake == 3 || awake == index {
                        bed.step(index, 10.0, true).await;
                    }
                }
            }
        }
        for host in &mut bed.hosts {
            host.holder.set_wanted(MonoMs(0), true);
        }
        // A demand of 10 slots is 83% of three engines with 4 slots, and 62% of four.
        for _ in 0..2_400 {
            bed.advance();
            for index in 0..2 {
                bed.step(index, 10.0, false).await;
            }
        }
        let queued = bed.hosts.iter().map(|host| host.decider.queued_commands());
        assert_eq!((bed.serving(), queued.min()), (4, Some(0)), "seed {seed}");
        assert!(bed.engines.iter().all(|engine| engine.stale == 0));
    }
    assert_eq!(invariant_count(Invariant::OneHolder), 0);
}
