//! Hedges: a second attempt of an idempotent request whose first one is slow.
//!
//! The hedge of request `n` is request `n + real`, with the same arrival and a state of its own.

use lw_base::prelude::*;
use lw_route::AttemptEnd;

use crate::play::event::Event;
use crate::play::world::World;

/// The quantile of the waits for the first token after which a hedge is sent.
const HEDGE_QUANTILE: f64 = 0.95;
/// Waits of a service and class that must be known before the quantile is used.
const MIN_WAITS: u64 = 100;

impl World<'_> {
    /// Notes a sent first attempt, and when its hedge is due.
    pub(super) fn plan_hedge(&mut self, request: u32) {
        let class = self.arrivals[request as usize].class;
        if !self.hedging || self.is_hedge(request) || class == PriorityClass::Batch {
            return;
        }
        let state = &mut self.requests[request as usize];
        (state.sent_us, state.first_token_us) = (self.now_us, 0);
        let attempts = state.attempts;
        let key = (self.arrivals[request as usize].service, class);
        let Some(waits) = self
            .waits
            .get(&key)
            .filter(|waits| waits.len() >= MIN_WAITS)
        else {
            return;
        };
        let due_us = self.now_us + waits.value_at_quantile(HEDGE_QUANTILE);
        self.events.push(due_us, Event::Hedge { request, attempts });
    }

    /// Notes the wait for a first token.
    pub(super) fn note_wait(&mut self, request: u32) {
        if !self.hedging || self.is_hedge(request) {
            return;
        }
        let arrival = &self.arrivals[request as usize];
        let state = &self.requests[request as usize];
        let wait_us = state.first_token_us.saturating_sub(state.sent_us);
        let waits = self.waits.entry((arrival.service, arrival.class));
        waits
            .or_insert_with(crate::play::figures::histogram)
            .saturating_record(wait_us);
    }

    /// Sends the hedge of a request that still waits for its first token.
    pub(super) fn hedge(&mut self, request: u32, attempts: u32) {
        let state = &self.requests[request as usize];
        let begun = state.first_token_us > 0 && state.first_token_us <= self.now_us;
        let Some(in_flight) = &state.in_flight else {
            return;
        };
        if state.ended || begun || state.attempts != attempts {
            return;
        }
        let (host, target) = (state.host, in_flight.target());
        let hedge = request + self.real as u32;
        let state = &mut self.requests[hedge as usize];
        if state.attempts > 0 {
            return;
        }
        (state.host, state.tried) = (host, vec![target]);
        let Some(begun) = self.begin_attempt(hedge) else {
            return;
        };
        let now = self.now().mono;
        let service = self.arrivals[request as usize].service;
        let budget = &mut self.hosts[host].services[service.index()].budget;
        if !budget.try_retry(now) {
            return;
        }
        self.count_retry(service);
        self.figures.hedges += 1;
        self.send_begun(hedge, begun);
    }

    /// Takes over the answer of the attempt that was first and cancels the other one; returns the request.
    pub(super) fn settle_hedge(&mut self, winner: u32) -> u32 {
        if !self.hedging {
            return winner;
        }
        let request = winner % self.real as u32;
        let hedge = request + self.real as u32;
        if winner == hedge {
            self.figures.hedges_won += 1;
            self.requests[request as usize].first_token_us =
                self.requests[hedge as usize].first_token_us;
            self.cancel(request);
        } else {
            self.cancel(hedge);
        }
        request
    }

    /// Withdraws an attempt that is no longer needed from its target.
    pub(super) fn cancel(&mut self, request: u32) {
        let Some(in_flight) = self.requests[request as usize].in_flight.take() else {
            return;
        };
        let target = in_flight.target();
        in_flight.finish(self.now().mono, AttemptEnd::Neutral);
        if !self.at_target[target.index()].remove(&request) {
            return;
        }
        let state = &self.requests[request as usize];
        let left_us = state.done_us.saturating_sub(self.now_us) as f64;
        let span_us = state.done_us.saturating_sub(state.started_us).max(1) as f64;
        self.figures.engine_s -= state.engine_us as f64 / 1e6 * (left_us / span_us);
        let next = self.engines[target.index()].cancel(self.now_us, request, self.arrivals);
        if let Some(start) = next {
            self.started(target, start);
        }
    }

    pub(super) fn is_hedge(&self, request: u32) -> bool {
        request as usize >= self.real
    }
}
