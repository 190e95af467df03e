//! Real host processes under random faults: signals, failing targets, a failing store, changes of the configuration.
//!
//! For long runs by hand, `LACEWINGSTILE_SOAK_SEEDS` names other seeds, such as `100..150`, and `LACEWINGSTILE_SOAK_HOSTS`
//! the number of hosts.

mod callers;
mod crossing;
mod hosts;
mod limits;
#[path = "../../../../platform/tests/support/mod.rs"]
mod support;
mod targets;
mod watchers;

use std::ops::Range;
use std::rc::Rc;
use std::time::{Duration, Instant};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rustix::process::Signal;
use serde_json::{Value, json};
use test_case::test_case;

use callers::{CallLog, End, run_caller, run_crashing_caller};
use hosts::HostProcess;
use support::{EraHeader, FakeStore, Fault, on_one_thread};
use targets::{Runs, Target};

const CALLERS_PER_HOST: usize = 4;
const TARGETS: usize = 4;
/// The seeds of a run without `LACEWINGSTILE_SOAK_SEEDS`.
const USUAL_SEEDS: Range<u64> = 1..3;
/// The network of the hosts whose watchers are turned away.
const WATCHERS_NETWORK: u8 = 144;
/// The network of the hosts that forward requests while versions cross.
const CROSSING_NETWORK: u8 = 145;
/// The time from the last fault to the end, and the part of it in which requests must be served.
const CALM: Duration = Duration::from_secs(8);
const SERVED_AGAIN: Duration = Duration::from_secs(3);
/// A target that a request has ended starts again after this time.
const RESTART_DELAY: Duration = Duration::from_millis(1_500);
/// The number of copies of a crashing request that may reach targets at the end, when all hosts must know it.
const MAX_LATE_COPIES: usize = 3;
/// The least share of requests that are answered at the end.
const MIN_SERVED: f64 = 0.7;

/// The faults of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Faults {
    /// Hosts are stopped in turn and start again; nothing else happens. Some requests take long.
    PlannedStops,
    /// All kinds, in overlapping series.
    All,
    /// The same, and copies of a request that ends each target that runs it.
    CrashingRequest,
    /// Sound targets name limits that begin, move and end, beside signals to hosts, a failing store and targets that return
    /// under another id.
    Limits,
}

struct Case {
    network: u8,
    hosts: u8,
    faults: Faults,
    /// The time in which faults begin.
    faulty: Duration,
}

struct Soak {
    store: Rc<FakeStore>,
    hosts: Vec<HostProcess>,
    targets: Vec<Rc<Target>>,
    runs: Rc<Runs>,
    log: Rc<CallLog>,
    random: ChaCha8Rng,
    version: u64,
    /// What happens later, in the order of its drawing.
    due: Vec<(Instant, Step)>,
}

/// The second half of a fault.
#[derive(Clone, Copy, Debug)]
enum Step {
    StartHost(usize),
    ResumeHost(usize),
    RestartTarget(usize),
    RepairStore,
}

fn configuration(version: u64) -> Value {
    let route = |name: &str, kind: &str, runs: u32, timeout_ms: u32| {
        json!({ "name": name, "host": "a.example", "prefix": format!("/{name}/"), "kind": kind,
            "timeout_ms": timeout_ms, "target_latency_ms": 1_000, "service": "s", "max_attempts": runs })
    };
    json!({ "version": version,
        "routes": [route("idem", "idempotent", 2, 3_000), route("once", "non_idempotent", 1, 3_000),
            route("long", "non_idempotent", 1, 12_000)],
        "services": [{ "name": "s", "max_conns": 1_000, "cold_start_s": 0.0, "cold_per_s": 0.0 }] })
}

impl Soak {
    async fn start(case: &Case, seed: u64) -> Self {
        let store = FakeStore::start().await;
        store.era_header.replace(EraHeader::Current);
        store.write("op/config", &configuration(1));
        let runs = Rc::<Runs>::default();
        let mut targets = Vec::new();
        for number in 0..TARGETS {
            let is_sound = !matches!(case.faults, Faults::All | Faults::CrashingRequest);
            let target = Target::start(number, seed, is_sound, runs.clone()).await;
            let (key, value) = target.entry();
            store.write(&key, &value);
            targets.push(target);
        }
        let hosts =
            (1..=case.hosts).map(|number| HostProcess::new(case.network, number, store.address));
        let mut hosts: Vec<HostProcess> = hosts.collect();
        hosts.iter_mut().for_each(HostProcess::start);
        Self {
            store,
            hosts,
            targets,
            runs,
            log: Rc::default(),
            random: ChaCha8Rng::seed_from_u64(seed),
            version: 1,
            due: Vec::new(),
        }
    }

    /// Starts the targets again, after a while, that a request has ended.
    fn restart_ended_targets(&mut self) {
        for index in 0..self.targets.len() {
            if self.targets[index].is_ended_by_request.take() {
                let at = Instant::now() + RESTART_DELAY;
                self.due.push((at, Step::RestartTarget(index)));
            }
        }
    }

    /// Returns how many copies of the crashing request have reached targets since `from`.
    fn crashing_arrivals_since(&self, from: Instant) -> usize {
        let targets = self.targets.iter();
        let arrivals = targets.map(|target| {
            let arrivals = target.crashing_arrivals.borrow();
            arrivals.iter().filter(|at| **at >= from).count()
        });
        arrivals.sum()
    }

    fn later(&mut self, step: Step, range_ms: Range<u64>) {
        let delay_ms = self.random.random_range(range_ms);
        let at = Instant::now() + Duration::from_millis(delay_ms);
        self.due.push((at, step));
    }

    /// Takes the steps that are due, or all of them at the end of the faults.
    fn take_due_steps(&mut self, is_end: bool) {
        let now = Instant::now();
        let (due, later) = std::mem::take(&mut self.due)
            .into_iter()
            .partition(|(at, _)| is_end || *at <= now);
        self.due = later;
        for (_, step) in due {
            match step {
                Step::StartHost(host) => {
                    if self.hosts[host].is_running() {
                        // It is still stopping.
                        self.later(Step::StartHost(host), 100..200);
                    } else {
                        self.hosts[host].start();
                    }
                }
                Step::ResumeHost(host) => self.hosts[host].signal(Signal::CONT),
                Step::RestartTarget(target) => {
                    let target = self.targets[target].clone();
                    self.store.remove(&target.entry().0);
                    target.restart();
                    let (key, value) = target.entry();
                    self.store.write(&key, &value);
                }
                Step::RepairStore => self.store.fault.set(Fault::None),
            }
        }
    }

    /// Begins a random fault.
    fn begin_fault(&mut self, faults: Faults) {
        let host = self.random.random_range(0..self.hosts.len());
        let kind = match faults {
            Faults::PlannedStops => 0,
            Faults::All | Faults::CrashingRequest => self.random.random_range(0..10),
            Faults::Limits if self.random.random_bool(0.5) => return self.change_limit(),
            Faults::Limits => self.random.random_range(0..7),
        };
        match kind {
            0 | 1 => {
                self.hosts[host].signal(Signal::TERM);
                self.later(Step::StartHost(host), 300..4_500);
            }
            2 => {
                self.hosts[host].signal(Signal::KILL);
                self.later(Step::StartHost(host), 100..1_500);
            }
            3 => {
                self.hosts[host].signal(Signal::STOP);
                self.later(Step::ResumeHost(host), 200..3_500);
            }
            4 => self.hosts[host].signal(Signal::HUP),
            5 => {
                let target = self.random.random_range(0..self.targets.len());
                self.targets[target].crash();
                self.later(Step::RestartTarget(target), 300..2_000);
            }
            6 => {
                let fault = match self.random.random_range(0..3) {
                    0 => Fault::Refuse(503),
                    1 => Fault::LoseAnswers,
                    _ => Fault::Silent,
                };
                self.store.fault.set(fault);
                self.later(Step::RepairStore, 300..3_000);
            }
            7 => {
                let copy = self.store.copy();
                self.version += 1;
                self.store.write("op/config", &configuration(self.version));
                self.store.restore(copy);
                self.store.write("op/config", &configuration(self.version));
            }
            _ => {
                self.version += 1;
                self.store.write("op/config", &configuration(self.version));
            }
        }
    }

    /// Ends all limits.
    fn end_limits(&self) {
        for target in &self.targets {
            target.limits.set(None);
        }
    }

    /// Lets a target name another limit, or none any more.
    fn change_limit(&mut self) {
        let per_s = match self.random.random_range(0..10) {
            0..3 => None,
            3 => Some(0.0),
            4..6 => Some(self.random.random_range(0.1..1.0)),
            _ => Some(self.random.random_range(1.0..12.0)),
        };
        let target = self.random.random_range(0..self.targets.len());
        self.targets[target].limits.set(per_s);
    }

    /// Returns what is wrong with the answers and runs of all requests.
    fn violations(&self, faults: Faults) -> Vec<String> {
        let mut violations = self.log.violations.borrow().clone();
        let excesses = self
            .targets
            .iter()
            .filter_map(|target| target.limits.violation());
        violations.extend(excesses);
        for call in self.log.calls.borrow().iter() {
            let runs = self.runs.of(&call.id);
            let is_wrong = match call.end {
                End::NotRun => runs > 0 && !call.may_repeat,
                End::Answered => runs == 0,
                // A planned stop cuts off nothing that a target has received.
                End::Closed => runs > 0 && faults == Faults::PlannedStops,
                End::Silent => faults == Faults::PlannedStops,
                End::Unknown => faults == Faults::PlannedStops,
            };
            let max_runs = if call.may_repeat { 2 } else { 1 };
            if is_wrong || runs > max_runs {
                violations.push(format!(
                    "{} ended as {:?} after {runs} runs",
                    call.id, call.end
                ));
            }
        }
        violations
    }
}

async fn run(case: &Case, seed: u64) {
    let mut soak = Soak::start(case, seed).await;
    let addresses: Vec<_> = soak.hosts.iter().map(HostProcess::address).collect();
    tokio::time::sleep(Duration::from_secs(2)).await;
    let callers = (0..soak.hosts.len() * CALLERS_PER_HOST).map(|number| {
        let has_long = case.faults == Faults::PlannedStops;
        let caller = run_caller(number, seed, addresses.clone(), has_long, soak.log.clone());
        tokio::task::spawn_local(caller)
    });
    let callers: Vec<_> = callers.collect();
    if case.faults == Faults::CrashingRequest {
        let caller = run_crashing_caller(seed, addresses.clone(), soak.log.clone());
        tokio::task::spawn_local(caller);
    }
    let began_at = Instant::now();
    let mut next_fault_at = began_at + Duration::from_secs(1);
    while began_at.elapsed() < case.faulty {
        if Instant::now() >= next_fault_at {
            let gap_ms = soak.random.random_range(100..1_200);
            next_fault_at = Instant::now() + Duration::from_millis(gap_ms);
            soak.begin_fault(case.faults);
        }
        soak.restart_ended_targets();
        soak.take_due_steps(false);
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    soak.end_limits();
    let calm_at = Instant::now();
    soak.take_due_steps(true);
    while calm_at.elapsed() < CALM {
        soak.restart_ended_targets();
        soak.take_due_steps(case.faults != Faults::CrashingRequest);
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let ended_at = Instant::now();
    soak.log.is_over.set(true);
    for caller in callers {
        caller.await.expect("the caller ends");
    }
    // Requests that callers gave up may still run.
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let mut violations = soak.violations(case.faults);
    let late_copies = soak.crashing_arrivals_since(ended_at - SERVED_AGAIN);
    if late_copies > MAX_LATE_COPIES {
        let violation = format!("{late_copies} late copies of the crashing request");
        violations.push(violation);
    }
    if case.faults == Faults::CrashingRequest {
        let copies = soak.crashing_arrivals_since(began_at);
        println!("seed {seed}: {copies} copies of the crashing request reached targets");
    }
    let calls = soak.log.calls.borrow();
    let ends = |end: End| calls.iter().filter(|call| call.end == end).count();
    println!(
        "seed {seed}: {} requests; {} answered, {} not run, {} unknown, {} closed, {} silent; {} violations",
        calls.len(),
        ends(End::Answered),
        ends(End::NotRun),
        ends(End::Unknown),
        ends(End::Closed),
        ends(End::Silent),
        violations.len()
    );
    assert!(
        violations.is_empty(),
        "seed {seed}: {:#?}",
        &violations[..violations.len().min(10)]
    );
    let late = calls
        .iter()
        .filter(|call| call.sent_at + SERVED_AGAIN >= ended_at);
    let late: Vec<_> = late.collect();
    let served = late.iter().filter(|call| call.end == End::Answered).count();
    let share = served as f64 / late.len() as f64;
    assert!(
        share >= MIN_SERVED,
        "seed {seed}: {share} of the last requests"
    );
}

/// Returns the seeds to play.
fn seeds() -> Range<u64> {
    let seeds = std::env::var("LACEWINGSTILE_SOAK_SEEDS");
    seeds.map_or(USUAL_SEEDS, |text| parse_seeds(&text).expect("seeds A..B"))
}

fn parse_seeds(text: &str) -> Option<Range<u64>> {
    let (first, end) = text.split_once("..")?;
    Some(first.parse().ok()?..end.parse().ok()?)
}

// Guards against answers of other requests, requests that run twice, false refusals, and planned stops that cut off requests.
#[test_case(&Case { network: 140, hosts: 3, faults: Faults::PlannedStops, faulty: Duration::from_secs(12) }; "planned stops in series")]
#[test_case(&Case { network: 141, hosts: 5, faults: Faults::All, faulty: Duration::from_secs(12) }; "all faults")]
#[test_case(&Case { network: 143, hosts: 5, faults: Faults::CrashingRequest, faulty: Duration::from_secs(12) }; "a request that crashes targets beside all faults")]
#[test_case(&Case { network: 142, hosts: 4, faults: Faults::Limits, faulty: Duration::from_secs(18) }; "limits")]
fn promises_hold_through_random_faults(case: &Case) {
    let hosts = std::env::var("LACEWINGSTILE_SOAK_HOSTS");
    let hosts = hosts.map_or(case.hosts, |text| text.parse().expect("a number of hosts"));
    for seed in seeds() {
        on_one_thread(run(&Case { hosts, ..*case }, seed));
    }
}

/// Guards against hosts in touch that act on an old configuration, because the store turns away those that watch it.
#[test]
fn versions_are_in_force_while_watchers_are_turned_away() {
    for seed in seeds() {
        on_one_thread(async move {
            let violations = watchers::run(WATCHERS_NETWORK, seed).await;
            assert!(violations.is_empty(), "seed {seed}: {violations:#?}");
        });
    }
}

/// Guards against a host that goes back to an older configuration, because the hosts on the way of a request have different ones.
#[test]
fn no_host_goes_back_to_an_older_configuration() {
    for seed in seeds() {
        on_one_thread(async move {
            let violations = crossing::run(CROSSING_NETWORK, seed).await;
            assert!(violations.is_empty(), "seed {seed}: {violations:#?}");
        });
    }
}
