//! Arrival, forwarding, queueing and completion of requests.

use lw_admit::{Offer, Verdict};
use lw_base::prelude::*;
use lw_base::report_violation;
use lw_route::{Decision, Query, RegionSet};

use crate::play::engine::PREFILL_TOKENS_PER_S;
use crate::play::event_queue::Event;
use crate::play::policy::Policy;
use crate::play::simulation::Simulation;

const RETRY_WINDOW_US: u64 = 10_000_000;
/// Deadlines by priority class, in microseconds.
const DEADLINE_US: [u64; 3] = [2_000_000, 30_000_000, 600_000_000];

impl Simulation<'_> {
    pub(super) fn handle_arrival(&mut self, request: u32) {
        if let Some(next) = self.arrivals[..self.arrival_count].get(request as usize + 1) {
            self.events.push(next.at_us, Event::Arrive(request + 1));
        }
        let arrival = &self.arrivals[request as usize];
        let host = self.host_in(arrival.region, arrival.host_draw);
        self.requests[request as usize].host = host;
        self.requests[request as usize].entry_host = host;
        let now = self.now();
        self.count_request(host, arrival.service);
        if self.policy != Policy::Lacewingstile {
            self.offer(request);
            return;
        }
        match self.hosts[host].view.decide(now, &self.query(request)) {
            Decision::Target(_) => self.offer(request),
            Decision::Region(region) => self.forward(request, region),
            Decision::Refuse(refusal) => self.reject(request, refusal.kind),
        }
    }

    pub(super) fn count_request(&mut self, host: usize, service: ServiceKey) {
        let now = self.now().mono;
        self.hosts[host].services[service.index()]
            .budget
            .request(now);
        self.retry_window(service).0 += 1;
    }

    pub(super) fn count_retry(&mut self, service: ServiceKey) {
        self.figures.retries += 1;
        self.retry_window(service).1 += 1;
    }

    pub(super) fn retry_window(&mut self, service: ServiceKey) -> &mut (u64, u64) {
        let window = self.now_us / RETRY_WINDOW_US;
        self.retry_windows.entry((service, window)).or_default()
    }

    pub(super) fn query(&self, request: u32) -> Query<'_> {
        let arrival = &self.arrivals[request as usize];
        let state = &self.requests[request as usize];
        let queue = &self.hosts[state.host].services[arrival.service.index()].queue;
        let has_prefix = arrival.prefix_tokens > 0;
        let prefill_ms = f64::from(arrival.prefix_tokens) / PREFILL_TOKENS_PER_S * 1e3;
        let allowed = if arrival.region_bound {
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

    pub(super) fn forward(&mut self, request: u32, region: RegionKey) {
        let arrival = &self.arrivals[request as usize];
        if arrival.region_bound {
            report_violation(Invariant::Residency, "a region-bound request was forwarded");
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

    pub(super) fn handle_forwarded(&mut self, request: u32) {
        let arrival = &self.arrivals[request as usize];
        let host = self.requests[request as usize].host;
        self.count_request(host, arrival.service);
        self.offer(request);
    }

    /// Retries a rejected forwarded request in the region of the sender; it did not run in the other region.
    pub(super) fn handle_rejection(&mut self, request: u32) {
        let service = self.arrivals[request as usize].service;
        let now = self.now().mono;
        let state = &mut self.requests[request as usize];
        let remote = self.hosts[state.host].region;
        state.host = state.entry_host;
        state.forwarded = false;
        let host = &mut self.hosts[state.entry_host];
        host.view.region_failed(now, service, remote);
        if host.services[service.index()].budget.try_retry(now) {
            self.count_retry(service);
            self.offer(request);
        } else {
            self.reject(request, ErrorKind::RetryBudgetSpent);
        }
    }

    pub(super) fn offer(&mut self, request: u32) {
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
            Verdict::Refuse { kind, .. } => self.reject_at_current_host(request, kind),
        }
    }

    /// Rejects a request on its current host. The rejection of a forwarded request is sent back to the forwarding host.
    pub(super) fn reject_at_current_host(&mut self, request: u32, kind: ErrorKind) {
        if self.requests[request as usize].forwarded {
            let delay_us = (self.scenario.deployment.delay_ms * 1e3) as u64;
            self.events
                .push(self.now_us + delay_us, Event::Rejected(request));
        } else {
            self.reject(request, kind);
        }
    }

    pub(super) fn reject(&mut self, request: u32, kind: ErrorKind) {
        *self.figures.refusals.entry(kind.as_str()).or_default() += 1;
        self.finish_request(request);
    }

    pub(super) fn finish_request(&mut self, request: u32) {
        let state = &mut self.requests[request as usize];
        if state.ended {
            report_violation(Invariant::OneOutcome, "a request ended twice");
            return;
        }
        state.ended = true;
        self.unfinished -= 1;
    }
}
