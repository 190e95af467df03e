//! Hedging: a second attempt of an idempotent request whose first attempt is slow.
//!
//! The hedge of request `n` is request `n + arrival_count`, with the same arrival and its own state.

use lw_base::prelude::*;
use lw_route::AttemptEnd;

use crate::play::event_queue::Event;
use crate::play::simulation::Simulation;

/// A hedge is sent after this quantile of the time to the first token.
const HEDGE_QUANTILE: f64 = 0.95;
/// Samples of a service and priority class that are required before the quantile is used.
const MIN_WAIT_SAMPLES: u64 = 100;

impl Simulation<'_> {
    /// Records when an attempt was sent and schedules its hedge.
    pub(super) fn schedule_hedge(&mut self, request: u32) {
        let class = self.arrivals[request as usize].class;
        if !self.hedging || self.is_hedge(request) || class == PriorityClass::Batch {
            return;
        }
        let state = &mut self.requests[request as usize];
        (state.sent_us, state.first_token_us) = (self.now_us, 0);
        let attempts = state.attempts;
        let key = (self.arrivals[request as usize].service, class);
        let Some(first_token_waits) = self
            .first_token_waits
            .get(&key)
            .filter(|first_token_waits| first_token_waits.len() >= MIN_WAIT_SAMPLES)
        else {
            return;
        };
        let due_us = self.now_us + first_token_waits.value_at_quantile(HEDGE_QUANTILE);
        self.events.push(due_us, Event::Hedge { request, attempts });
    }

    /// Records the time to the first token of an attempt that is not a hedge.
    pub(super) fn record_first_token_wait(&mut self, request: u32) {
        if !self.hedging || self.is_hedge(request) {
            return;
        }
        let arrival = &self.arrivals[request as usize];
        let state = &self.requests[request as usize];
        let wait_us = state.first_token_us.saturating_sub(state.sent_us);
        let first_token_waits = self
            .first_token_waits
            .entry((arrival.service, arrival.class));
        first_token_waits
            .or_insert_with(crate::play::figures::histogram)
            .saturating_record(wait_us);
    }

    /// Sends the hedge of a request that has no first token yet, if the retry budget allows it.
    pub(super) fn hedge(&mut self, request: u32, attempts: u32) {
        let state = &self.requests[request as usize];
        let has_first_token = state.first_token_us > 0 && state.first_token_us <= self.now_us;
        let Some(in_flight) = &state.in_flight else {
            return;
        };
        if state.ended || has_first_token || state.attempts != attempts {
            return;
        }
        let (host, target) = (state.host, in_flight.target());
        let hedge = request + self.arrival_count as u32;
        let state = &mut self.requests[hedge as usize];
        if state.attempts > 0 {
            return;
        }
        (state.host, state.tried) = (host, vec![target]);
        let Some(in_flight) = self.prepare_attempt(hedge) else {
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
        self.send_attempt(hedge, in_flight);
    }

    /// Uses the response of the attempt that completed first, cancels the other attempt, and returns the request.
    pub(super) fn resolve_hedge(&mut self, winner: u32) -> u32 {
        if !self.hedging {
            return winner;
        }
        let request = winner % self.arrival_count as u32;
        let hedge = request + self.arrival_count as u32;
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

    /// Cancels an attempt at its target and subtracts the engine time that it no longer uses.
    pub(super) fn cancel(&mut self, request: u32) {
        let Some(in_flight) = self.requests[request as usize].in_flight.take() else {
            return;
        };
        let target = in_flight.target();
        in_flight.finish(self.now().mono, AttemptEnd::Neutral);
        if !self.requests_by_target[target.index()].remove(&request) {
            return;
        }
        let state = &self.requests[request as usize];
        let left_us = state.done_us.saturating_sub(self.now_us) as f64;
        let span_us = state.done_us.saturating_sub(state.started_us).max(1) as f64;
        self.figures.engine_s -= state.engine_us as f64 / 1e6 * (left_us / span_us);
        let next = self.engines[target.index()].cancel(self.now_us, request, self.arrivals);
        if let Some(start) = next {
            self.record_start(target, start);
        }
    }

    pub(super) fn is_hedge(&self, request: u32) -> bool {
        request as usize >= self.arrival_count
    }
}
