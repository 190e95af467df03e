//! A run: the event loop over hosts and engines.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use lw_admit::{Offer, Ticket, Verdict};
use lw_base::prelude::*;
use lw_base::{invariant_count, stable_hash_pair, violate};
use lw_doc::Fleet;
use lw_route::{
    AttemptEnd, Decision, InFlight, Now, Query, RegionSet, RegionSummary, decode_load, encode_load,
};

use crate::play::arrival::Arrival;
use crate::play::engine::{Engine, PREFILL_TOKENS_PER_S, Start};
use crate::play::event::{Event, EventQueue};
use crate::play::figures::{Figures, Latencies};
use crate::play::host::Host;
use crate::play::policy::Policy;
use crate::play::region_load::read_summaries;
use crate::play::scenario::{Fault, Scenario};

const TICK_US: u64 = 50_000;
const REPORT_PERIOD_US: u64 = 2_000_000;
const REPORT_DELAY_US: u64 = 300_000;
const SUMMARY_PERIOD_US: u64 = 5_000_000;
const RETRY_WINDOW_US: u64 = 10_000_000;
const CONNECT_FAIL_US: u64 = 1_000;
const ATTEMPTS: u32 = 3;
/// Deadlines by class.
const DEADLINE_US: [u64; 3] = [2_000_000, 30_000_000, 600_000_000];

/// What is known about a request.
#[derive(Debug, Default)]
struct Request {
    host: usize,
    origin: usize,
    ticket: Option<Ticket>,
    in_flight: Option<InFlight>,
    tried: Vec<TargetKey>,
    tried_regions: RegionSet,
    attempts: u32,
    forwarded: bool,
    first_token_us: u64,
    ended: bool,
}

struct World<'a> {
    now_us: u64,
    scenario: &'a Scenario,
    policy: Policy,
    fleet: Arc<Fleet>,
    arrivals: &'a [Arrival],
    requests: Vec<Request>,
    hosts: Vec<Host>,
    engines: Vec<Engine>,
    at_target: Vec<BTreeSet<u32>>,
    events: EventQueue,
    reports: Vec<(TargetKey, [u8; 2])>,
    summaries: Vec<(RegionKey, ServiceKey, RegionSummary)>,
    /// Requests and retries by service and window of ten seconds.
    retry_windows: BTreeMap<(ServiceKey, u64), (u64, u64)>,
    open: usize,
    figures: Figures,
    latencies: Latencies,
}

/// Plays the arrivals against a policy and returns the figures.
#[must_use]
pub fn play(
    scenario: &Scenario,
    arrivals: &[Arrival],
    policy: Policy,
    seed: u64,
    seconds: u64,
) -> Figures {
    let violations = || -> u64 { Invariant::ALL.into_iter().map(invariant_count).sum() };
    let before = violations();
    let mut world = World::new(scenario, arrivals, policy, seed);
    world.schedule(seconds);
    while let Some((at_us, event)) = world.events.pop() {
        world.now_us = at_us;
        world.handle(event);
    }
    world.finish(violations() - before)
}

impl<'a> World<'a> {
    fn new(scenario: &'a Scenario, arrivals: &'a [Arrival], policy: Policy, seed: u64) -> Self {
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
            at_target: vec![BTreeSet::new(); engines.len()],
            engines,
            events: EventQueue::default(),
            reports: Vec::new(),
            summaries: Vec::new(),
            retry_windows: BTreeMap::new(),
            open: arrivals.len(),
            figures: Figures {
                requests: arrivals.len() as u64,
                ..Figures::default()
            },
            latencies: Latencies::new(),
            fleet,
        }
    }

    fn schedule(&mut self, seconds: u64) {
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

    fn now(&self) -> Now {
        Now {
            mono: MonoMs(self.now_us / 1_000),
            wall: WallMs(self.now_us / 1_000),
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(request) => self.arrive(request),
            Event::Forwarded(request) => self.forwarded(request),
            Event::Rejected(request) => self.rejected(request),
            Event::ConnectFailed(request) => self.attempt_failed(request),
            Event::Done {
                target,
                epoch,
                request,
            } => self.done(target, epoch, request),
            Event::ReadReports => self.read_reports(),
            Event::DeliverReports => self.deliver_reports(),
            Event::ExchangeSummaries => self.exchange_summaries(),
            Event::Tick => self.tick(),
            Event::Fault(index) => self.fault(self.scenario.faults[index as usize].1),
        }
    }

    fn again(&mut self, span_us: u64, event: Event) {
        if self.open > 0 {
            self.events.push(self.now_us + span_us, event);
        }
    }

    fn arrive(&mut self, request: u32) {
        if let Some(next) = self.arrivals.get(request as usize + 1) {
            self.events.push(next.at_us, Event::Arrive(request + 1));
        }
        let arrival = &self.arrivals[request as usize];
        let host = self.host_in(arrival.region, arrival.host_draw);
        self.requests[request as usize].host = host;
        self.requests[request as usize].origin = host;
        let now = self.now();
        self.count_request(host, arrival.service);
        if self.policy != Policy::Lacewingstile {
            self.offer(request);
            return;
        }
        match self.hosts[host].view.decide(now, &self.query(request)) {
            Decision::Target(_) => self.offer(request),
            Decision::Region(region) => self.forward(request, region),
            Decision::Refuse(refusal) => self.refuse(request, refusal.kind),
        }
    }

    fn host_in(&self, region: RegionKey, draw: u32) -> usize {
        let counts = &self.scenario.deployment.hosts;
        let first: u32 = counts[..region.index()].iter().sum();
        (first + draw % counts[region.index()]) as usize
    }

    fn query(&self, request: u32) -> Query<'_> {
        let arrival = &self.arrivals[request as usize];
        let state = &self.requests[request as usize];
        let queue = &self.hosts[state.host].services[arrival.service.index()].queue;
        let has_prefix = arrival.prefix_tokens > 0;
        let prefill_ms = f64::from(arrival.prefix_tokens) / PREFILL_TOKENS_PER_S * 1e3;
        let allowed = if arrival.bound {
            RegionSet::single(arrival.region)
        } else {
            self.fleet.regions.keys().collect()
        };
        Query {
            service: arrival.service,
            allowed,
            prefix: has_prefix.then_some(arrival.prefix),
            prefix_prefill_ms: prefill_ms,
            local_wait_ms: queue.expected_wait_ms(arrival.class),
            tried: &state.tried,
            tried_regions: state.tried_regions,
        }
    }

    fn forward(&mut self, request: u32, region: RegionKey) {
        let arrival = &self.arrivals[request as usize];
        if arrival.bound {
            violate(Invariant::Residency, "a bound request was forwarded");
        }
        let host = self.host_in(region, arrival.host_draw);
        let state = &mut self.requests[request as usize];
        state.host = host;
        state.forwarded = true;
        state.tried_regions.insert(region);
        self.figures.forwarded += 1;
        self.figures.wide_area_bytes += arrival.wide_area_bytes();
        let delay_us = (self.scenario.deployment.delay_ms * 1e3) as u64;
        self.events
            .push(self.now_us + delay_us, Event::Forwarded(request));
    }

    fn forwarded(&mut self, request: u32) {
        let arrival = &self.arrivals[request as usize];
        let host = self.requests[request as usize].host;
        self.count_request(host, arrival.service);
        self.offer(request);
    }

    fn count_request(&mut self, host: usize, service: ServiceKey) {
        let now = self.now().mono;
        self.hosts[host].services[service.index()]
            .budget
            .request(now);
        self.retry_window(service).0 += 1;
    }

    fn count_retry(&mut self, service: ServiceKey) {
        self.figures.retries += 1;
        self.retry_window(service).1 += 1;
    }

    fn retry_window(&mut self, service: ServiceKey) -> &mut (u64, u64) {
        let window = self.now_us / RETRY_WINDOW_US;
        self.retry_windows.entry((service, window)).or_default()
    }

    /// A rejected forward did not run; the sender retries in its own region.
    fn rejected(&mut self, request: u32) {
        let service = self.arrivals[request as usize].service;
        let now = self.now().mono;
        let state = &mut self.requests[request as usize];
        let remote = self.hosts[state.host].region;
        state.host = state.origin;
        state.forwarded = false;
        let host = &mut self.hosts[state.origin];
        host.view.region_failed(now, service, remote);
        if host.services[service.index()].budget.try_retry(now) {
            self.count_retry(service);
            self.offer(request);
        } else {
            self.refuse(request, ErrorKind::RetryBudgetSpent);
        }
    }

    fn offer(&mut self, request: u32) {
        let arrival = &self.arrivals[request as usize];
        let deadline_us = arrival.at_us + DEADLINE_US[arrival.class.index()];
        let offer = Offer {
            class: arrival.class,
            bytes: 4 * u64::from(arrival.prefix_tokens + arrival.prompt_tokens),
            deadline: MonoMs(deadline_us / 1_000),
        };
        let now = self.now().mono;
        let host = self.requests[request as usize].host;
        let service = &mut self.hosts[host].services[arrival.service.index()];
        match service.queue.offer(now, offer) {
            Verdict::Start(ticket) => {
                self.requests[request as usize].ticket = Some(ticket);
                self.attempt(request);
            }
            Verdict::Queued(ticket) => {
                service.waiting.insert(ticket, request);
            }
            Verdict::Refuse { kind, .. } => self.refuse_here(request, kind),
        }
    }

    /// Ends a request that its current host rejects; the sender of a forwarded one hears of it.
    fn refuse_here(&mut self, request: u32, kind: ErrorKind) {
        if self.requests[request as usize].forwarded {
            let delay_us = (self.scenario.deployment.delay_ms * 1e3) as u64;
            self.events
                .push(self.now_us + delay_us, Event::Rejected(request));
        } else {
            self.refuse(request, kind);
        }
    }

    fn refuse(&mut self, request: u32, kind: ErrorKind) {
        *self.figures.refusals.entry(kind.as_str()).or_default() += 1;
        self.end(request);
    }

    fn end(&mut self, request: u32) {
        let state = &mut self.requests[request as usize];
        if state.ended {
            violate(Invariant::OneOutcome, "a request ended twice");
            return;
        }
        state.ended = true;
        self.open -= 1;
    }

    fn attempt(&mut self, request: u32) {
        let now = self.now();
        let host = self.requests[request as usize].host;
        let view = self.hosts[host].view.clone();
        self.requests[request as usize].attempts += 1;
        let begun = loop {
            let mut tried = std::mem::take(&mut self.requests[request as usize].tried);
            let query = Query {
                tried: &tried,
                ..self.query(request)
            };
            let chosen = self.hosts[host].chooser.choose(&view, now, &query);
            let begun = chosen.map(|target| (target, view.begin(now, target)));
            if let Some((target, None)) = &begun {
                // A baseline chose a target that takes no new work.
                tried.push(*target);
            }
            self.requests[request as usize].tried = tried;
            match begun {
                None => break None,
                Some((_, None)) => {}
                Some((target, Some(in_flight))) => break Some((target, in_flight)),
            }
        };
        let Some((target, in_flight)) = begun else {
            self.leave_slot(request);
            self.refuse_here(request, ErrorKind::NoTarget);
            return;
        };
        in_flight.sent(now);
        self.requests[request as usize].in_flight = Some(in_flight);
        self.send(request, target);
    }

    fn send(&mut self, request: u32, target: TargetKey) {
        let engine = &mut self.engines[target.index()];
        if engine.is_down() {
            self.events
                .push(self.now_us + CONNECT_FAIL_US, Event::ConnectFailed(request));
            return;
        }
        self.at_target[target.index()].insert(request);
        let arrival = &self.arrivals[request as usize];
        if let Some(start) = engine.accept(self.now_us, request, arrival) {
            self.started(target, start);
        }
    }

    fn started(&mut self, target: TargetKey, start: Start) {
        self.figures.engine_s += start.engine_us as f64 / 1e6;
        let arrival = &self.arrivals[start.request as usize];
        self.figures.prefix_starts += u64::from(arrival.prefix_tokens > 0);
        self.figures.cache_misses += u64::from(start.missed);
        self.requests[start.request as usize].first_token_us = start.first_token_us;
        let event = Event::Done {
            target: target.0,
            epoch: self.engines[target.index()].epoch,
            request: start.request,
        };
        self.events.push(start.done_us, event);
    }

    fn done(&mut self, target: u32, epoch: u32, request: u32) {
        let engine = &mut self.engines[target as usize];
        if engine.epoch != epoch {
            return;
        }
        let next = engine.complete(self.now_us, self.arrivals);
        if let Some(start) = next {
            self.started(TargetKey(target), start);
        }
        self.at_target[target as usize].remove(&request);
        let now = self.now().mono;
        if let Some(in_flight) = self.requests[request as usize].in_flight.take() {
            in_flight.finish(now, AttemptEnd::Success);
        }
        self.record(request);
        self.leave_slot(request);
        self.end(request);
    }

    fn record(&mut self, request: u32) {
        let arrival = &self.arrivals[request as usize];
        let state = &self.requests[request as usize];
        let back_us = if state.forwarded {
            (self.scenario.deployment.delay_ms * 1e3) as u64
        } else {
            0
        };
        let complete_us = self.now_us + back_us - arrival.at_us;
        let first_token_us = state.first_token_us + back_us - arrival.at_us;
        self.latencies
            .add(arrival.class, complete_us, first_token_us);
    }

    /// Frees the slot of a request on its host and starts what waits for it.
    fn leave_slot(&mut self, request: u32) {
        let now = self.now().mono;
        let service = self.arrivals[request as usize].service;
        let state = &mut self.requests[request as usize];
        let host = state.host;
        if let Some(ticket) = state.ticket.take() {
            let queue = &mut self.hosts[host].services[service.index()].queue;
            queue.finished(now, ticket);
        }
        self.start_waiting(host, service);
    }

    fn start_waiting(&mut self, host: usize, service: ServiceKey) {
        let now = self.now().mono;
        let entry = &mut self.hosts[host].services[service.index()];
        let mut tickets = Vec::new();
        entry.queue.next_starts(now, &mut tickets);
        for ticket in tickets {
            let waiting = &mut self.hosts[host].services[service.index()].waiting;
            let Some(request) = waiting.remove(&ticket) else {
                violate(Invariant::OneOutcome, "an unknown ticket started");
                continue;
            };
            self.requests[request as usize].ticket = Some(ticket);
            self.attempt(request);
        }
    }

    fn attempt_failed(&mut self, request: u32) {
        let now = self.now().mono;
        let service = self.arrivals[request as usize].service;
        let state = &mut self.requests[request as usize];
        let Some(in_flight) = state.in_flight.take() else {
            return;
        };
        state.tried.push(in_flight.target());
        in_flight.finish(now, AttemptEnd::Failure);
        let budget = &mut self.hosts[state.host].services[service.index()].budget;
        if state.attempts < ATTEMPTS && budget.try_retry(now) {
            self.count_retry(service);
            self.attempt(request);
            return;
        }
        self.leave_slot(request);
        self.refuse(request, ErrorKind::ConnectFailed);
    }

    fn read_reports(&mut self) {
        self.reports = self
            .engines
            .iter()
            .enumerate()
            .filter(|(_, engine)| !engine.is_down())
            .map(|(index, engine)| (TargetKey::from_index(index), encode_load(&engine.report())))
            .collect();
        self.again(REPORT_DELAY_US, Event::DeliverReports);
        self.again(REPORT_PERIOD_US, Event::ReadReports);
    }

    fn deliver_reports(&mut self) {
        let now = self.now().mono;
        for (target, bytes) in &self.reports {
            let report = decode_load(*bytes);
            for host in &mut self.hosts {
                host.view.report(now, *target, &report);
                host.chooser.report(*target, report.requests);
            }
        }
    }

    fn exchange_summaries(&mut self) {
        let now = self.now().mono;
        for host in &self.hosts {
            for (region, service, summary) in &self.summaries {
                host.view.set_service_summary(*region, *service, *summary);
            }
        }
        self.summaries = read_summaries(now, &self.fleet, &self.engines, &self.hosts);
        self.again(SUMMARY_PERIOD_US, Event::ExchangeSummaries);
    }

    fn tick(&mut self) {
        let now = self.now().mono;
        for host in 0..self.hosts.len() {
            self.hosts[host].adjust_concurrency();
            for service in 0..self.hosts[host].services.len() {
                self.expire(now, host, service);
                self.start_waiting(host, ServiceKey::from_index(service));
            }
        }
        self.again(TICK_US, Event::Tick);
    }

    fn expire(&mut self, now: MonoMs, host: usize, service: usize) {
        let entry = &mut self.hosts[host].services[service];
        let mut tickets = Vec::new();
        entry.queue.expire(now, &mut tickets);
        for ticket in tickets {
            let waiting = &mut self.hosts[host].services[service].waiting;
            let Some(request) = waiting.remove(&ticket) else {
                violate(Invariant::OneOutcome, "an unknown ticket expired");
                continue;
            };
            let is_batch = self.arrivals[request as usize].class == PriorityClass::Batch;
            self.figures.batch_expired += u64::from(is_batch);
            self.refuse(request, ErrorKind::DeadlineBeforeSend);
        }
    }

    fn fault(&mut self, fault: Fault) {
        match fault {
            Fault::Down(service, region, part) => {
                let targets = self.targets(service, region);
                let count = (targets.len() as f64 * part).round() as usize;
                for target in &targets[..count] {
                    self.fail_target(*target);
                }
            }
            Fault::Up(service, region) => {
                for target in self.targets(service, region) {
                    self.engines[target.index()].recover();
                }
            }
            Fault::Slow(service, region, factor) => {
                if let Some(target) = self.targets(service, region).first() {
                    self.engines[target.index()].set_slowness(factor);
                }
            }
        }
    }

    fn targets(&self, service: ServiceKey, region: RegionKey) -> Vec<TargetKey> {
        self.fleet.services[service].targets_by_region[region.index()].clone()
    }

    fn fail_target(&mut self, target: TargetKey) {
        self.engines[target.index()].fail();
        for request in std::mem::take(&mut self.at_target[target.index()]) {
            self.attempt_failed(request);
        }
    }

    fn finish(mut self, violations: u64) -> Figures {
        let lost = |request: &(&Request, &Arrival)| !request.0.ended;
        let pairs = self.requests.iter().zip(self.arrivals);
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
