//! The shared state of a gateway host.

use std::cell::{Cell, RefCell};
use std::net::Ipv4Addr;
use std::rc::Rc;
use std::sync::Arc;

use lw_admit::{ASKED_DECAY_MS, DecayingRate, RouteShares, WindowedRetryBudget};
use lw_base::prelude::*;
use lw_base::stable_hash;
use lw_mesh::{
    ChangedKeys, Coverage, EarlierStateView, HostStatus, HostTable, ListedHost, Mirror, Stage,
    StateDoubt, StateEvidence, StateVersion,
};
use lw_quarantine::Quarantine;

use crate::broken_attempts::BrokenAttempts;
use crate::clock::HostClock;
use crate::closed_peers::ClosedPeers;
use crate::held_memory::HeldMemory;
use crate::incoming::Hop;
use crate::metrics::HostMetrics;
use crate::names::{HeaderNames, PathSet};
use crate::open_requests::OpenRequests;
use crate::placed_part_queue::PlacedPartQueue;
use crate::plan::{Plan, Service};
use crate::pool::Pool;
use crate::service_timings::ServiceTimings;
use crate::settings::{Bounds, HostSettings, budget_bytes};
use crate::spill::RecentSpills;
use crate::state_announcements::StateAnnouncements;
use crate::stop::{PlannedStop, StopStep, ends_in_time, takes_request};
use crate::suspension::stood_still;
use crate::target::Target;

/// The recent rates of the requests for a service.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct AskedRates {
    /// All requests that this host has received.
    pub(crate) all: DecayingRate<ASKED_DECAY_MS>,
    /// Those that it received from callers.
    pub(crate) from_callers: DecayingRate<ASKED_DECAY_MS>,
}

/// The inputs of [`Host::new`].
pub struct HostParts {
    /// The zone, region and addresses of the host.
    pub settings: HostSettings,
    /// The header names of the deployment.
    pub names: HeaderNames,
    /// The paths of the host's own pages.
    pub paths: PathSet,
    /// The wall-clock time at the start of the process, in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// Called after the mirror has changed, to build a plan from it.
    pub on_changed: OnChanged,
    /// Decides whether a state from before a restore of the platform's store still holds.
    pub holds_earlier_state: HoldsEarlierState,
}

/// The shared state of a gateway host. All its tasks run on one thread.
pub struct Host {
    /// The zone, region and addresses of the host.
    pub settings: HostSettings,
    /// The bounds of the deployment, which may change while the host runs.
    pub bounds: Cell<Bounds>,
    /// The wall-clock time at the start of the process, in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// The monotonic clock of the process.
    pub clock: HostClock,
    /// The copy of the platform's state.
    pub mirror: RefCell<Mirror>,
    /// The other hosts.
    pub hosts: RefCell<HostTable>,
    /// Counters and histograms.
    pub metrics: HostMetrics,
    pub(crate) names: HeaderNames,
    pub(crate) paths: PathSet,
    pub(crate) plan: RefCell<Rc<Plan>>,
    pub(crate) memory: HeldMemory,
    pub(crate) pool: Pool,
    pub(crate) service_timings: RefCell<FastMap<Arc<str>, ServiceTimings>>,
    pub(crate) budgets: RefCell<FastMap<Arc<str>, WindowedRetryBudget>>,
    /// The usual number of events in an answer, by the hash of the route's name.
    pub(crate) answer_events: RefCell<FastMap<u64, f64>>,
    /// The recent rates of requests by the name of their service.
    pub(crate) asked_rates: RefCell<FastMap<Arc<str>, AskedRates>>,
    /// The recent rates of routes by the name of their service.
    pub(crate) route_shares: RefCell<FastMap<Arc<str>, RouteShares>>,
    /// Placed prompt parts that heartbeats have yet to announce to the region.
    pub(crate) placed: RefCell<PlacedPartQueue>,
    /// Prompt parts and requests that crash targets.
    pub quarantine: RefCell<Quarantine>,
    /// Notified when a prompt part or request enters or leaves the quarantine.
    pub quarantine_changed: tokio::sync::Notify,
    pub(crate) broken_attempts: RefCell<BrokenAttempts>,
    pub(crate) recent_spills: RefCell<RecentSpills>,
    pub(crate) closed_peers: RefCell<ClosedPeers>,
    pub(crate) coverage: RefCell<Coverage>,
    /// The addresses of hosts that have just started, and that the next heartbeat tells of limits.
    pub(crate) newcomers: RefCell<Vec<Ipv4Addr>>,
    /// Identifies this process in statements of targets.
    pub(crate) process_hash: u32,
    /// The number of heartbeats with loans that this host has sent.
    pub(crate) loan_sequence: Cell<u32>,
    /// The number of heartbeats of several datagrams that were sent to each address; their datagrams take turns.
    heartbeat_turns: RefCell<FastMap<Ipv4Addr, usize>>,
    /// Notified when other hosts should learn of a change without waiting for the next regular heartbeat.
    pub(crate) heartbeat_due: Rc<tokio::sync::Notify>,
    /// A fetch of the platform state from another host is under way.
    pub(crate) is_fetching_mirror: Cell<bool>,
    /// Hosts with an older configuration that are informed of this host's state.
    pub(crate) state_announcements: RefCell<StateAnnouncements>,
    /// Notified when such an announcement is due.
    pub(crate) announcement_due: tokio::sync::Notify,
    /// When this host last fetched the platform state for a request with a newer decision.
    pub(crate) caught_up_at: Cell<Option<MonoMs>>,
    /// The platform listed an earlier process of this host when this one started.
    pub(crate) is_restart: Cell<bool>,
    /// What shows that the mirror is current.
    pub state_evidence: Cell<StateEvidence>,
    /// When the task that exchanges heartbeats last ran.
    pub(crate) ran_at: Cell<Option<MonoMs>>,
    /// When the process last ran again after it had stood still.
    pub(crate) woke_at: Cell<MonoMs>,
    logged_doubt: Cell<Option<StateDoubt>>,
    /// When the platform last answered the watch of this host.
    pub platform_answered_at: Cell<Option<MonoMs>>,
    /// Notified when a target frees a slot or a new plan is in force.
    pub(crate) capacity_changed: Rc<tokio::sync::Notify>,
    pub(crate) stage: Cell<Stage>,
    pub(crate) open_requests: RefCell<OpenRequests>,
    pub(crate) connections: Cell<u32>,
    pub(crate) stop: tokio::sync::watch::Sender<StopStep>,
    planned_stop: Cell<Option<PlannedStop>>,
    on_changed: OnChanged,
    holds_earlier_state: HoldsEarlierState,
}

/// Called after the mirror has changed.
pub type OnChanged = Box<dyn Fn(&Host, &ChangedKeys)>;
/// Returns whether a state from before a restore of the platform's store still holds.
pub type HoldsEarlierState = Box<dyn Fn(&EarlierStateView<'_>) -> bool>;

impl Host {
    /// Creates the state of a host that has no configuration and knows no other host yet.
    #[must_use]
    pub fn new(parts: HostParts) -> Self {
        let HostParts {
            settings,
            names,
            paths,
            started_ms,
            on_changed,
            holds_earlier_state,
        } = parts;
        let hosts = HostTable::new(
            settings.host.clone(),
            settings.region.clone(),
            settings.seeds.clone(),
            settings.capacity_permille,
        );
        let quarantine = Quarantine::new(stable_hash(settings.host.as_bytes()));
        let clock = HostClock::start();
        let metrics = HostMetrics::new();
        let memory = HeldMemory::new(budget_bytes(settings.memory_bytes), clock, &metrics);
        let process_hash = short_hash(&format!("{}#{started_ms}", settings.host));
        Self {
            bounds: Cell::new(settings.bounds),
            settings,
            started_ms,
            clock,
            mirror: RefCell::default(),
            hosts: RefCell::new(hosts),
            metrics,
            names,
            paths,
            plan: RefCell::default(),
            memory,
            pool: Pool::default(),
            service_timings: RefCell::default(),
            budgets: RefCell::default(),
            answer_events: RefCell::default(),
            asked_rates: RefCell::default(),
            route_shares: RefCell::default(),
            placed: RefCell::default(),
            quarantine: RefCell::new(quarantine),
            quarantine_changed: tokio::sync::Notify::default(),
            broken_attempts: RefCell::default(),
            recent_spills: RefCell::default(),
            closed_peers: RefCell::default(),
            coverage: RefCell::default(),
            newcomers: RefCell::default(),
            process_hash,
            loan_sequence: Cell::default(),
            heartbeat_turns: RefCell::default(),
            heartbeat_due: Rc::default(),
            is_fetching_mirror: Cell::default(),
            state_announcements: RefCell::default(),
            announcement_due: tokio::sync::Notify::default(),
            caught_up_at: Cell::default(),
            is_restart: Cell::default(),
            state_evidence: Cell::new(StateEvidence::new(clock.now())),
            ran_at: Cell::default(),
            woke_at: Cell::default(),
            logged_doubt: Cell::default(),
            platform_answered_at: Cell::default(),
            capacity_changed: Rc::default(),
            stage: Cell::default(),
            open_requests: RefCell::default(),
            connections: Cell::default(),
            stop: tokio::sync::watch::Sender::new(StopStep::Serve),
            planned_stop: Cell::default(),
            on_changed,
            holds_earlier_state,
        }
    }

    /// Returns the current plan.
    #[must_use]
    pub fn plan(&self) -> Rc<Plan> {
        self.plan.borrow().clone()
    }

    /// Puts a plan into force. The first one with a configuration makes the host ready.
    pub fn set_plan(&self, plan: Plan) {
        if plan.version > 0 && self.stage.get() == Stage::Starting {
            self.stage.set(Stage::Ready);
            log::info!(version = plan.version; "the host is ready for requests");
        }
        *self.plan.borrow_mut() = Rc::new(plan);
        self.update_coverage();
        self.capacity_changed.notify_waiters();
    }

    /// Recomputes which targets of the region this host covers, and its parts of their limits.
    pub(crate) fn update_coverage(&self) {
        let plan = self.plan();
        let is_local = |target: &&Target| target.region == self.settings.region;
        let services: Vec<Vec<(u32, Arc<str>)>> = plan
            .targets
            .iter()
            .map(|targets| {
                let local = targets.iter().filter(is_local);
                local
                    .map(|target| (target.hash, target.incarnation.clone()))
                    .collect()
            })
            .collect();
        let coverage = self.hosts.borrow().coverage(self.clock.now(), &services);
        *self.coverage.borrow_mut() = coverage;
        self.update_limit_parts();
    }

    /// Updates the mirror, ends the earlier states that hold no longer, and puts the changes into force. Returns the
    /// changed keys.
    pub fn update_mirror(
        &self,
        update: impl FnOnce(&mut Mirror, MonoMs) -> ChangedKeys,
    ) -> ChangedKeys {
        let now = self.clock.now();
        let mut mirror = self.mirror.borrow_mut();
        let before = mirror.as_of();
        let mut changed = update(&mut mirror, now);
        let is_restored = before.era < mirror.as_of().era && before > StateVersion::default();
        if is_restored {
            log::warn!(before = before.to_string().as_str(), after = mirror.as_of().to_string().as_str(), earlier_states = mirror.earlier_states(); "the platform's store was restored from a copy");
            self.metrics.store_restores.inc();
        }
        changed.merge(mirror.end_earlier_states(now, &self.holds_earlier_state));
        self.metrics
            .set_mirror(mirror.as_of(), mirror.earlier_states());
        drop(mirror);
        if is_restored || !changed.is_empty() {
            (self.on_changed)(self, &changed);
            self.heartbeat_due.notify_one();
        }
        changed
    }

    /// Records a host that the platform lists.
    pub fn record_listed_host(&self, listed: ListedHost) {
        let is_own_name = listed.address.host == self.settings.host;
        if is_own_name && listed.address.started_ms != self.started_ms {
            let is_first = !self.is_restart.replace(true);
            if is_first {
                log::info!(started_ms = listed.address.started_ms; "the platform lists an earlier process of this host");
            }
        }
        self.hosts.borrow_mut().record_listed_host(listed);
    }

    /// Returns the lifecycle stage of the process.
    #[must_use]
    pub fn stage(&self) -> Stage {
        self.stage.get()
    }

    /// Returns the number of requests in flight.
    #[must_use]
    pub fn requests(&self) -> u32 {
        self.open_requests.borrow().len() as u32
    }

    /// Returns the number of open connections of callers and other hosts.
    #[must_use]
    pub fn connections(&self) -> u32 {
        self.connections.get()
    }

    /// Records that the platform has answered a watch or listing of this host.
    pub fn record_watch_answer(&self) {
        let now = self.clock.now();
        let mut evidence = self.state_evidence.get();
        evidence.record_watch_answer(now);
        self.state_evidence.set(evidence);
        self.platform_answered_at.set(Some(now));
        self.hosts.borrow_mut().record_watch_answer(now);
    }

    /// Records that a watch or listing of this host was refused or not answered, so that another host watches.
    pub fn record_watch_failure(&self) {
        let now = self.clock.now();
        if self.hosts.borrow_mut().record_watch_failure(now) {
            self.heartbeat_due.notify_one();
        }
    }

    /// Records that another host, which was asked now, has no newer state.
    pub(crate) fn record_agreement(&self) {
        let mut evidence = self.state_evidence.get();
        evidence.record_agreement(self.clock.now());
        self.state_evidence.set(evidence);
        // Requests may wait for it.
        self.capacity_changed.notify_waiters();
    }

    /// Records that the platform has answered another call of this host.
    pub fn record_platform_answer(&self) {
        let mut evidence = self.state_evidence.get();
        evidence.record_platform_answer(self.clock.now());
        self.state_evidence.set(evidence);
    }

    /// Records what the heartbeat of another host shows of the mirror of this host, which has the version `own`.
    pub fn record_state_of(&self, now: MonoMs, own: StateVersion, status: &HostStatus) {
        let mut evidence = self.state_evidence.get();
        evidence.record_heartbeat(now, own, status);
        self.state_evidence.set(evidence);
    }

    /// Returns why the mirror may be out of date, or `None` if it is current.
    #[must_use]
    pub fn state_doubt(&self, now: MonoMs) -> Option<StateDoubt> {
        let others = self.hosts.borrow().others(now);
        self.state_evidence.get().doubt(now, others)
    }

    /// Returns the number of the next heartbeat of `datagrams` datagrams to an address, among those of several datagrams.
    pub(crate) fn take_heartbeat_turn(&self, ip: Ipv4Addr, datagrams: usize) -> usize {
        if datagrams == 1 {
            return 0;
        }
        let mut turns = self.heartbeat_turns.borrow_mut();
        let turn = turns.entry(ip).or_default();
        *turn = turn.wrapping_add(1);
        *turn
    }

    /// Returns whether the process has just begun to run again after it had stood still, and has not noticed it yet.
    pub(crate) fn wakes(&self, now: MonoMs) -> bool {
        stood_still(now, self.ran_at.get())
    }

    /// Returns whether no other host would tell this one of a newer state.
    pub(crate) fn is_isolated(&self, now: MonoMs) -> bool {
        self.state_doubt(now) == Some(StateDoubt::Isolated)
    }

    /// Logs when the mirror begins or ends to be in doubt.
    pub(crate) fn log_state_doubt(&self) {
        if !self.mirror.borrow().is_listed() {
            // The host starts and has no state yet.
            return;
        }
        let now = self.clock.now();
        let doubt = self.state_doubt(now);
        if self.logged_doubt.replace(doubt) == doubt {
            return;
        }
        let age_ms = self.state_age_ms();
        let as_of = self.mirror.borrow().as_of().to_string();
        match doubt {
            Some(doubt) => {
                log::warn!(reason = format!("{doubt:?}").as_str(), state_age_ms = age_ms, as_of = as_of.as_str(); "the state of the platform may be out of date; targets are asked whether they are cold");
            }
            None => {
                log::info!(state_age_ms = age_ms, as_of = as_of.as_str(); "the state of the platform is current");
            }
        }
    }

    /// Returns the time since this host last had evidence that its mirror is current, in milliseconds.
    pub(crate) fn state_age_ms(&self) -> u64 {
        self.state_evidence.get().age_ms(self.clock.now())
    }

    /// Returns the time since the signal to stop, in milliseconds; 0 if there was none.
    pub(crate) fn stopped_ms(&self, now: MonoMs) -> u64 {
        let stop = self.planned_stop.get();
        stop.map_or(0, |stop| now.since_ms(stop.began_at))
    }

    /// Returns the planned stop, if it has begun.
    #[must_use]
    pub fn planned_stop(&self) -> Option<PlannedStop> {
        self.planned_stop.get()
    }

    /// Returns the current step of the planned stop.
    #[must_use]
    pub fn stop_step(&self) -> StopStep {
        *self.stop.borrow()
    }

    /// Begins the planned stop whose signal arrived at `arrived_at`, unless a stop has begun before.
    pub fn begin_stop(&self, arrived_at: MonoMs) {
        if self.planned_stop.get().is_some() {
            return;
        }
        let stop = PlannedStop {
            began_at: arrived_at,
            grace_ms: self.bounds.get().grace_ms,
        };
        self.planned_stop.set(Some(stop));
    }

    /// Moves to a step of the planned stop. Every step but `Serve` marks the host as leaving.
    pub fn set_stop_step(&self, step: StopStep) {
        let previous = self.stop_step();
        if previous != step {
            log::info!(step = format!("{step:?}").as_str(), requests = self.requests(), connections = self.connections(), stopped_ms = self.stopped_ms(self.clock.now()); "the stop has reached its next step");
        }
        if step != StopStep::Serve {
            self.stage.set(Stage::Leaving);
            self.begin_stop(self.clock.now());
        }
        if previous != step {
            self.stop.send_replace(step);
        }
    }

    /// Returns whether this host takes a request that has just arrived and ends at `deadline` at the latest.
    pub(crate) fn takes_request(&self, hop: Hop, deadline: MonoMs) -> bool {
        let Some(PlannedStop { began_at, grace_ms }) = self.planned_stop.get() else {
            return true;
        };
        let now = self.clock.now();
        let can_go_elsewhere = hop != Hop::Caller && self.hosts.borrow().has_ready_neighbour(now);
        let (stopped_ms, remaining_ms) = (now.since_ms(began_at), deadline.since_ms(now));
        match can_go_elsewhere {
            true => ends_in_time(stopped_ms, grace_ms, remaining_ms),
            false => takes_request(stopped_ms, grace_ms, remaining_ms),
        }
    }

    pub(crate) fn timings_of(&self, service: &Service) -> ServiceTimings {
        let service_timings = self.service_timings.borrow();
        service_timings
            .get(&service.name)
            .copied()
            .unwrap_or_default()
    }
}

/// Returns the low 32 bits of the stable hash of a name, as sent in heartbeats.
#[must_use]
pub fn short_hash(name: &str) -> u32 {
    stable_hash(name.as_bytes()) as u32
}
