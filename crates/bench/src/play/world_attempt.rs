//! Attempts at targets.

use lw_base::prelude::*;
use lw_base::report_violation;
use lw_route::{AttemptEnd, InFlightAttempt, Query};

use crate::play::engine::Start;
use crate::play::event::Event;
use crate::play::world::World;

const CONNECT_FAIL_US: u64 = 1_000;
const ATTEMPTS: u32 = 3;

impl World<'_> {
    pub(super) fn attempt(&mut self, request: u32) {
        let Some(begun) = self.begin_attempt(request) else {
            self.leave_slot(request);
            self.refuse_here(request, ErrorKind::NoTarget);
            return;
        };
        self.send_begun(request, begun);
    }

    pub(super) fn send_begun(&mut self, request: u32, in_flight: InFlightAttempt) {
        let target = in_flight.target();
        in_flight.sent(self.now());
        self.requests[request as usize].attempts += 1;
        self.requests[request as usize].in_flight = Some(in_flight);
        self.plan_hedge(request);
        self.send(request, target);
    }

    /// Chooses a target that takes the request; `None` when none is left.
    pub(super) fn begin_attempt(&mut self, request: u32) -> Option<InFlightAttempt> {
        let now = self.now();
        let host = self.requests[request as usize].host;
        let view = self.hosts[host].view.clone();
        loop {
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
                None => return None,
                Some((_, None)) => {}
                Some((_, Some(in_flight))) => return Some(in_flight),
            }
        }
    }

    pub(super) fn send(&mut self, request: u32, target: TargetKey) {
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

    pub(super) fn started(&mut self, target: TargetKey, start: Start) {
        self.figures.engine_s += start.engine_us as f64 / 1e6;
        let arrival = &self.arrivals[start.request as usize];
        self.figures.prefix_starts += u64::from(arrival.prefix_tokens > 0);
        self.figures.cache_misses += u64::from(start.missed);
        let state = &mut self.requests[start.request as usize];
        state.first_token_us = start.first_token_us;
        (state.started_us, state.done_us) = (self.now_us, start.done_us);
        state.engine_us = start.engine_us;
        self.note_wait(start.request);
        let event = Event::Done {
            target: target.0,
            epoch: self.engines[target.index()].epoch,
            request: start.request,
        };
        self.events.push(start.done_us, event);
    }

    pub(super) fn done(&mut self, target: u32, epoch: u32, request: u32) {
        let engine = &mut self.engines[target as usize];
        let is_there = self.at_target[target as usize].contains(&request);
        if engine.epoch != epoch || !is_there {
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
        let request = self.settle_hedge(request);
        self.record(request);
        self.leave_slot(request);
        self.end(request);
    }

    pub(super) fn record(&mut self, request: u32) {
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
            .add(arrival.service, arrival.class, complete_us, first_token_us);
    }

    /// Frees the slot of a request on its host and starts what waits for it.
    pub(super) fn leave_slot(&mut self, request: u32) {
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

    pub(super) fn attempt_failed(&mut self, request: u32) {
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
            self.cancel(request + self.real as u32);
        }
        let state = &self.requests[request as usize];
        let may_retry = state.attempts < ATTEMPTS;
        if may_retry && let Some(begun) = self.begin_attempt(request) {
            let host = self.requests[request as usize].host;
            let budget = &mut self.hosts[host].services[service.index()].budget;
            if budget.try_retry(now) {
                self.count_retry(service);
                self.send_begun(request, begun);
                return;
            }
        }
        self.leave_slot(request);
        self.refuse(request, ErrorKind::ConnectFailed);
    }
}
