//! The simulation: an event loop over hosts and engines.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use hdrhistogram::Histogram;
use lw_admit::AdmissionTicket;
use lw_base::prelude::*;
use lw_base::{stable_hash_pair, violation_count};
use lw_doc::Fleet;
use lw_route::{InFlightAttempt, Now, RegionSet, RegionSummary};

use crate::play::arrival::Arrival;
use crate::play::engine::Engine;
use crate::play::event_queue::{Event, EventQueue};
use crate::play::figures::{Figures, Latencies};
use crate::play::host::Host;
use crate::play::policy::Policy;
use crate::play::scenario::Scenario;

/// The state of a request.
#[derive(Debug, Default)]
pub(super) struct Request {
    /// The host that currently handles the request; differs from the entry host while the request is forwarded.
    pub(super) host: usize,
    pub(super) entry_host: usize,
    pub(super) ticket: Option<AdmissionTicket>,
    pub(super) in_flight: Option<InFlightAttempt>,
    pub(super) tried: Vec<TargetKey>,
    pub(super) tried_regions: RegionSet,
    pub(super) attempts: u32,
    pub(super) forwarded: bool,
    pub(super) first_token_us: u64,
    pub(super) sent_us: u64,
    pub(super) started_us: u64,
    pub(super) done_us: u64,
    pub(super) engine_us: u64,
    pub(super) ended: bool,
}

pub(super) struct Simulation<'a> {
    pub(super) now_us: u64,
    pub(super) scenario: &'a Scenario,
    pub(super) policy: Policy,
    pub(super) fleet: Arc<Fleet>,
    pub(super) arrivals: &'a [Arrival],
    pub(super) requests: Vec<Request>,
    pub(super) hosts: Vec<Host>,
    pub(super) engines: Vec<Engine>,
    pub(super) requests_by_target: Vec<BTreeSet<u32>>,
    pub(super) events: EventQueue,
    pub(super) reports: Vec<(TargetKey, [u8; 2])>,
    pub(super) summaries: Vec<(RegionKey, ServiceKey, RegionSummary)>,
    /// Number of requests and retries by service and window of ten seconds.
    pub(super) retry_windows: BTreeMap<(ServiceKey, u64), (u64, u64)>,
    /// Time to the first token of first attempts by service and priority class, in microseconds.
    pub(super) first_token_waits: BTreeMap<(ServiceKey, PriorityClass), Histogram<u64>>,
    pub(super) hedging: bool,
    /// Number of arrivals; requests with an index from here on are hedges.
    pub(super) arrival_count: usize,
    pub(super) unfinished: usize,
    pub(super) figures: Figures,
    pub(super) latencies: Latencies,
}

/// Simulates the arrivals under a policy and returns the figures.
#[must_use]
pub fn simulate_policy(
    scenario: &Scenario,
    arrivals: &[Arrival],
    policy: Policy,
    seed: u64,
    seconds: u64,
) -> Figures {
    let simulation = Simulation::new(scenario, arrivals, policy, seed);
    run(simulation, seconds)
}

/// Simulates the arrivals under [`Policy::Lacewingstile`] with hedging of lookup and interactive requests.
#[must_use]
pub fn simulate_policy_hedged(
    scenario: &Scenario,
    arrivals: &[Arrival],
    seed: u64,
    seconds: u64,
) -> Figures {
    let doubled = [arrivals, arrivals].concat();
    let mut simulation = Simulation::new(scenario, &doubled, Policy::Lacewingstile, seed);
    simulation.hedging = true;
    simulation.arrival_count = arrivals.len();
    simulation.unfinished = arrivals.len();
    simulation.figures.requests = arrivals.len() as u64;
    run(simulation, seconds)
}

fn run(mut simulation: Simulation<'_>, seconds: u64) -> Figures {
    let violations = || -> u64 { Invariant::ALL.into_iter().map(violation_count).sum() };
    let before = violations();
    simulation.schedule(seconds);
    while let Some((at_us, event)) = simulation.events.pop() {
        simulation.now_us = at_us;
        simulation.handle(event);
    }
    simulation.finish(violations() - before)
}

impl<'a> Simulation<'a> {
    pub(super) fn new(
        scenario: &'a Scenario,
        arrivals: &'a [Arrival],
        policy: Policy,
        seed: u64,
    ) -> Self {
        let fleet = Arc::new(scenario.deployment.fleet());
        let mut hosts = Vec::new();
        for region in fleet.regions.keys() {
            let count = scenario.deployment.hosts[region.index()];
            for _ in 0..count {
                let seed = stable_hash_pair(seed, &hosts.len().to_le_bytes());
                hosts.push(Host::new(&fleet, region, count, policy, seed));
            }
        }
        let engines: Vec<Engine> = fleet
            .targets
            .iter()
            .map(|(_, _, target)| Engine::new(fleet.services[target.service].kind, target.slots))
            .collect();
        Self {
            now_us: 0,
            scenario,
            policy,
            arrivals,
            requests: (0..arrivals.len()).map(|_| Request::default()).collect(),
            hosts,
            requests_by_target: vec![BTreeSet::new(); engines.len()],
            engines,
            events: EventQueue::default(),
            reports: Vec::new(),
            summaries: Vec::new(),
            retry_windows: BTreeMap::new(),
            unfinished: arrivals.len(),
            arrival_count: arrivals.len(),
            hedging: false,
            first_token_waits: BTreeMap::new(),
            figures: Figures {
                requests: arrivals.len() as u64,
                ..Figures::default()
            },
            latencies: Latencies::default(),
            fleet,
        }
    }

    pub(super) fn schedule(&mut self, seconds: u64) {
        self.events.push(0, Event::Tick);
        self.events.push(0, Event::ReadReports);
        self.events.push(0, Event::ExchangeSummaries);
        for (index, (progress, _)) in self.scenario.faults.iter().enumerate() {
            let at_us = (progress * seconds as f64 * 1e6) as u64;
            self.events.push(at_us, Event::Fault(index as u32));
        }
        if let Some(first) = self.arrivals.first() {
            self.events.push(first.at_us, Event::Arrive(0));
        }
    }

    pub(super) fn now(&self) -> Now {
        Now {
            mono: MonoMs(self.now_us / 1_000),
            wall: WallMs(self.now_us / 1_000),
        }
    }

    pub(super) fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(request) => self.handle_arrival(request),
            Event::Forwarded(request) => self.handle_forwarded(request),
            Event::Rejected(request) => self.handle_rejection(request),
            Event::ConnectFailed(request) => self.handle_failed_attempt(request),
            Event::Done {
                target,
                epoch,
                request,
            } => self.handle_completion(target, epoch, request),
            Event::Hedge { request, attempts } => self.hedge(request, attempts),
            Event::ReadReports => self.read_reports(),
            Event::DeliverReports => self.deliver_reports(),
            Event::ExchangeSummaries => self.exchange_summaries(),
            Event::Tick => self.tick(),
            Event::Fault(index) => self.apply_fault(self.scenario.faults[index as usize].1),
        }
    }

    pub(super) fn schedule_after(&mut self, span_us: u64, event: Event) {
        if self.unfinished > 0 {
            self.events.push(self.now_us + span_us, event);
        }
    }

    pub(super) fn host_in(&self, region: RegionKey, draw: u32) -> usize {
        let counts = &self.scenario.deployment.hosts;
        let first: u32 = counts[..region.index()].iter().sum();
        (first + draw % counts[region.index()]) as usize
    }

    pub(super) fn finish(mut self, violations: u64) -> Figures {
        let lost = |request: &(&Request, &Arrival)| !request.0.ended;
        let pairs = self.requests[..self.arrival_count]
            .iter()
            .zip(self.arrivals);
        self.figures.lost = pairs.clone().filter(lost).count() as u64;
        self.figures.batch_lost = pairs
            .filter(lost)
            .filter(|(_, arrival)| arrival.class == PriorityClass::Batch)
            .count() as u64;
        self.figures.highest_retry_share = self
            .retry_windows
            .values()
            .map(|(requests, retries)| *retries as f64 / (*requests).max(1) as f64)
            .fold(0.0, f64::max);
        self.figures.classes = self.latencies.figures();
        self.figures.violations = violations;
        self.figures
    }
}
