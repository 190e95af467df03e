//! Attempts of requests on targets.

use lw_base::prelude::*;
use lw_base::report_violation;
use lw_route::{AttemptEnd, InFlightAttempt, Query};

use crate::play::engine::StartedRequest;
use crate::play::event_queue::Event;
use crate::play::simulation::Simulation;

const CONNECT_FAILURE_DELAY_US: u64 = 1_000;
const MAX_ATTEMPTS: u32 = 3;

impl Simulation<'_> {
    pub(super) fn attempt(&mut self, request: u32) {
        let Some(in_flight) = self.prepare_attempt(request) else {
            self.release_slot(request);
            self.reject_at_current_host(request, ErrorKind::NoTarget);
            return;
        };
        self.send_attempt(request, in_flight);
    }

    pub(super) fn send_attempt(&mut self, request: u32, in_flight: InFlightAttempt) {
        let target = in_flight.target();
        in_flight.sent(self.now());
        self.requests[request as usize].attempts += 1;
        self.requests[request as usize].in_flight = Some(in_flight);
        self.schedule_hedge(request);
        self.send(request, target);
    }

    /// Returns an attempt on a target that accepts new work, or `None` if no target is left.
    pub(super) fn prepare_attempt(&mut self, request: u32) -> Option<InFlightAttempt> {
        let now = self.now();
        let host = self.requests[request as usize].host;
        let view = self.hosts[host].view.clone();
        loop {
            let mut tried = std::mem::take(&mut self.requests[request as usize].tried);
            let query = Query {
                tried: &tried,
                ..self.query(request)
            };
            let chosen = self.hosts[host].target_selector.choose(&view, now, &query);
            let attempt = chosen.map(|target| (target, view.begin(now, target)));
            if let Some((target, None)) = &attempt {
                // A baseline policy chose a target that accepts no new work.
                tried.push(*target);
            }
            self.requests[request as usize].tried = tried;
            match attempt {
                None => return None,
                Some((_, None)) => {}
                Some((_, Some(in_flight))) => return Some(in_flight),
            }
        }
    }

    pub(super) fn send(&mut self, request: u32, target: TargetKey) {
        let engine = &mut self.engines[target.index()];
        if engine.is_down() {
            self.events.push(
                self.now_us + CONNECT_FAILURE_DELAY_US,
                Event::ConnectFailed(request),
            );
            return;
        }
        self.requests_by_target[target.index()].insert(request);
        let arrival = &self.arrivals[request as usize];
        if let Some(start) = engine.accept(self.now_us, request, arrival) {
            self.record_start(target, start);
        }
    }

    pub(super) fn record_start(&mut self, target: TargetKey, start: StartedRequest) {
        self.figures.engine_s += start.engine_us as f64 / 1e6;
        let arrival = &self.arrivals[start.request as usize];
        self.figures.prefix_starts += u64::from(arrival.prefix_tokens > 0);
        self.figures.cache_misses += u64::from(start.missed);
        let state = &mut self.requests[start.request as usize];
        state.first_token_us = start.first_token_us;
        (state.started_us, state.done_us) = (self.now_us, start.done_us);
        state.engine_us = start.engine_us;
        self.record_first_token_wait(start.request);
        let event = Event::Done {
            target: target.0,
            epoch: self.engines[target.index()].epoch,
            request: start.request,
        };
        self.events.push(start.done_us, event);
    }

    pub(super) fn handle_completion(&mut self, target: u32, epoch: u32, request: u32) {
        let engine = &mut self.engines[target as usize];
        let is_at_target = self.requests_by_target[target as usize].contains(&request);
        if engine.epoch != epoch || !is_at_target {
            return;
        }
        let next = engine.complete(self.now_us, self.arrivals);
        if let Some(start) = next {
            self.record_start(TargetKey(target), start);
        }
        self.requests_by_target[target as usize].remove(&request);
        let now = self.now().mono;
        if let Some(in_flight) = self.requests[request as usize].in_flight.take() {
            in_flight.finish(now, AttemptEnd::Success);
        }
        let request = self.resolve_hedge(request);
        self.record_latency(request);
        self.release_slot(request);
        self.finish_request(request);
    }

    pub(super) fn record_latency(&mut self, request: u32) {
        let arrival = &self.arrivals[request as usize];
        let state = &self.requests[request as usize];
        let return_delay_us = if state.forwarded {
            (self.scenario.deployment.delay_ms * 1e3) as u64
        } else {
            0
        };
        let complete_us = self.now_us + return_delay_us - arrival.at_us;
        let first_token_us = state.first_token_us + return_delay_us - arrival.at_us;
        self.latencies
            .add(arrival.service, arrival.class, complete_us, first_token_us);
    }

    /// Releases the queue slot of a request on its host and starts the queued requests that now fit.
    pub(super) fn release_slot(&mut self, request: u32) {
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

    pub(super) fn start_waiting(&mut self, host: usize, service: ServiceKey) {
        let now = self.now().mono;
        let entry = &mut self.hosts[host].services[service.index()];
        let mut tickets = Vec::new();
        entry.queue.next_starts(now, &mut tickets);
        for ticket in tickets {
            let waiting = &mut self.hosts[host].services[service.index()].waiting;
            let Some(request) = waiting.remove(&ticket) else {
                report_violation(Invariant::OneOutcome, "an unknown ticket started");
                continue;
            };
            self.requests[request as usize].ticket = Some(ticket);
            self.attempt(request);
        }
    }

    pub(super) fn handle_failed_attempt(&mut self, request: u32) {
        let now = self.now().mono;
        let service = self.arrivals[request as usize].service;
        let state = &mut self.requests[request as usize];
        let Some(in_flight) = state.in_flight.take() else {
            return;
        };
        state.tried.push(in_flight.target());
        in_flight.finish(now, AttemptEnd::Failure);
        if self.is_hedge(request) {
            return;
        }
        if self.hedging {
            self.cancel(request + self.arrival_count as u32);
        }
        let state = &self.requests[request as usize];
        let may_retry = state.attempts < MAX_ATTEMPTS;
        if may_retry && let Some(in_flight) = self.prepare_attempt(request) {
            let host = self.requests[request as usize].host;
            let budget = &mut self.hosts[host].services[service.index()].budget;
            if budget.try_retry(now) {
                self.count_retry(service);
                self.send_attempt(request, in_flight);
                return;
            }
        }
        self.release_slot(request);
        self.reject(request, ErrorKind::ConnectFailed);
    }
}
