//! Simulation model of a target: slots, prefill, decode and a prefix cache.

use std::collections::VecDeque;

use lw_doc::ServiceKind;
use lw_route::LoadReport;

use crate::play::arrival::Arrival;
use crate::play::prefix_cache::PrefixCache;

/// Prefill rate of an engine, in prompt tokens per second; prefills run one at a time.
pub(crate) const PREFILL_TOKENS_PER_S: f64 = 8_000.0;
/// Decode time per output token without batching, in microseconds.
pub(crate) const DECODE_US_PER_TOKEN: f64 = 20_000.0;
/// Relative increase of the decode time per token in a full batch.
pub(crate) const FULL_BATCH_SLOWDOWN: f64 = 0.5;
/// Capacity of the prefix cache of an engine, in tokens.
const CACHE_TOKENS: u64 = 64_000;
/// Unit of the service time of a plain service, in microseconds.
pub(crate) const PLAIN_UNIT_US: u64 = 100;

/// A request that occupies a slot.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StartedRequest {
    /// The request.
    pub request: u32,
    /// When the first token is produced.
    pub first_token_us: u64,
    /// When the response is complete.
    pub done_us: u64,
    /// The engine time that the request uses, with decode time shared among the slots.
    pub engine_us: u64,
    /// Whether the request has a prefix that was not cached.
    pub missed: bool,
}

/// A simulated target.
#[derive(Debug)]
pub struct Engine {
    kind: ServiceKind,
    slots: u32,
    slowdown_factor: f64,
    running: u32,
    waiting: [VecDeque<u32>; 3],
    prefill_free_us: u64,
    cache: PrefixCache,
    is_down: bool,
    /// Incremented when the target fails, so that events of requests lost in the failure can be ignored.
    pub epoch: u32,
}

impl Engine {
    /// Creates an idle target.
    #[must_use]
    pub fn new(kind: ServiceKind, slots: u32) -> Self {
        Self {
            kind,
            slots,
            slowdown_factor: 1.0,
            running: 0,
            waiting: Default::default(),
            prefill_free_us: 0,
            cache: PrefixCache::new(CACHE_TOKENS),
            is_down: false,
            epoch: 0,
        }
    }

    /// Multiplies all service times by a factor.
    pub fn set_slowdown_factor(&mut self, slowdown_factor: f64) {
        self.slowdown_factor = slowdown_factor;
    }

    /// Empties the prefix cache.
    pub fn clear_cache(&mut self) {
        self.cache.clear();
    }

    /// Fails the target: its requests and its cache are lost and it refuses connections.
    pub fn fail(&mut self) {
        self.is_down = true;
        self.epoch += 1;
        self.running = 0;
        self.waiting = Default::default();
        self.prefill_free_us = 0;
        self.cache.clear();
    }

    /// Restarts the target with a cold cache.
    pub fn recover(&mut self) {
        self.is_down = false;
    }

    /// Returns true if the target refuses connections.
    #[must_use]
    pub fn is_down(&self) -> bool {
        self.is_down
    }

    /// Returns the number of slots, or zero if the target is down.
    #[must_use]
    pub fn live_slots(&self) -> u32 {
        if self.is_down { 0 } else { self.slots }
    }

    /// Returns the number of running and queued requests.
    #[must_use]
    pub fn requests(&self) -> u32 {
        self.running
            + self
                .waiting
                .iter()
                .map(|queue| queue.len() as u32)
                .sum::<u32>()
    }

    /// Returns true for engines; plain services do not report their load.
    #[must_use]
    pub fn reports_load(&self) -> bool {
        self.kind == ServiceKind::Model
    }

    /// Returns the load report of the target.
    #[must_use]
    pub fn report(&self) -> LoadReport {
        let speed = 1e6 / (self.token_us(self.running) * self.slowdown_factor);
        LoadReport {
            requests: self.requests(),
            speed_tokens_per_s: (self.running > 0).then_some(speed),
        }
    }

    /// Accepts a request and starts it if a slot is free; otherwise queues it by priority class and returns `None`.
    pub fn accept(
        &mut self,
        now_us: u64,
        request: u32,
        arrival: &Arrival,
    ) -> Option<StartedRequest> {
        if self.running < self.slots {
            return Some(self.start(now_us, request, arrival));
        }
        self.waiting[arrival.class.index()].push_back(request);
        None
    }

    /// Completes a running request and starts the next queued one, if any.
    pub fn complete(&mut self, now_us: u64, arrivals: &[Arrival]) -> Option<StartedRequest> {
        self.running -= 1;
        let next = self.waiting.iter_mut().find_map(VecDeque::pop_front)?;
        Some(self.start(now_us, next, &arrivals[next as usize]))
    }

    /// Cancels a queued or running request and returns the request that starts in its place, if any.
    pub fn cancel(
        &mut self,
        now_us: u64,
        request: u32,
        arrivals: &[Arrival],
    ) -> Option<StartedRequest> {
        for queue in &mut self.waiting {
            if let Some(position) = queue.iter().position(|waiting| *waiting == request) {
                queue.remove(position);
                return None;
            }
        }
        self.complete(now_us, arrivals)
    }

    fn start(&mut self, now_us: u64, request: u32, arrival: &Arrival) -> StartedRequest {
        self.running += 1;
        match self.kind {
            ServiceKind::Plain => self.start_plain(now_us, request, arrival),
            ServiceKind::Model => self.start_model(now_us, request, arrival),
        }
    }

    fn start_plain(&mut self, now_us: u64, request: u32, arrival: &Arrival) -> StartedRequest {
        let work_us = u64::from(arrival.output_tokens) * PLAIN_UNIT_US;
        let span_us = (work_us as f64 * self.slowdown_factor) as u64;
        StartedRequest {
            request,
            first_token_us: now_us + span_us,
            done_us: now_us + span_us,
            engine_us: span_us / u64::from(self.slots),
            missed: false,
        }
    }

    fn start_model(&mut self, now_us: u64, request: u32, arrival: &Arrival) -> StartedRequest {
        let has_prefix = arrival.prefix_tokens > 0;
        let missed = has_prefix && !self.cache.touch(arrival.prefix, arrival.prefix_tokens);
        let uncached_tokens = if missed { arrival.prefix_tokens } else { 0 };
        let tokens = f64::from(arrival.prompt_tokens + uncached_tokens);
        let prefill_us = (tokens / PREFILL_TOKENS_PER_S * 1e6 * self.slowdown_factor) as u64;
        self.prefill_free_us = self.prefill_free_us.max(now_us) + prefill_us;
        let token_us = self.token_us(self.running) * self.slowdown_factor;
        let decode_us = (f64::from(arrival.output_tokens) * token_us) as u64;
        StartedRequest {
            request,
            first_token_us: self.prefill_free_us + token_us as u64,
            done_us: self.prefill_free_us + decode_us,
            engine_us: prefill_us + decode_us / u64::from(self.slots),
            missed,
        }
    }

    fn token_us(&self, running: u32) -> f64 {
        let use_ratio = f64::from(running) / f64::from(self.slots);
        DECODE_US_PER_TOKEN * (1.0 + FULL_BATCH_SLOWDOWN * use_ratio)
    }
}
