//! The model of a target: slots, prefill, decode and a prefix cache.

use std::collections::VecDeque;

use lw_doc::ServiceKind;
use lw_route::LoadReport;

use crate::play::arrival::Arrival;
use crate::play::prefix_cache::PrefixCache;

/// Prompt tokens per second that an engine reads; one request is read at a time.
pub(crate) const PREFILL_TOKENS_PER_S: f64 = 8_000.0;
/// Time per output token of a request that runs alone.
pub(crate) const TOKEN_US: f64 = 20_000.0;
/// A full batch slows each request by this ratio.
pub(crate) const FULL_BATCH_SLOWDOWN: f64 = 0.5;
/// Tokens that the prefix cache of an engine holds.
const CACHE_TOKENS: u64 = 64_000;
/// Unit of the service time of a plain service.
pub(crate) const PLAIN_UNIT_US: u64 = 100;

/// A request that begins to run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Start {
    /// The request.
    pub request: u32,
    /// When the first token is out.
    pub first_token_us: u64,
    /// When the response is complete.
    pub done_us: u64,
    /// The time that the engine spends on it.
    pub engine_us: u64,
    /// The prefix was not in the cache.
    pub missed: bool,
}

/// One target.
#[derive(Debug)]
pub struct Engine {
    kind: ServiceKind,
    slots: u32,
    slowness: f64,
    running: u32,
    waiting: [VecDeque<u32>; 3],
    prefill_free_us: u64,
    cache: PrefixCache,
    down: bool,
    /// Rises when the target fails, so that events of lost requests are told apart.
    pub epoch: u32,
}

impl Engine {
    /// Creates an idle target.
    #[must_use]
    pub fn new(kind: ServiceKind, slots: u32) -> Self {
        Self {
            kind,
            slots,
            slowness: 1.0,
            running: 0,
            waiting: Default::default(),
            prefill_free_us: 0,
            cache: PrefixCache::new(CACHE_TOKENS),
            down: false,
            epoch: 0,
        }
    }

    /// Makes the target slower by a factor.
    pub fn set_slowdown_factor(&mut self, slowness: f64) {
        self.slowness = slowness;
    }

    /// Empties the prefix cache.
    pub fn clear_cache(&mut self) {
        self.cache.clear();
    }

    /// Fails the target: it loses what it held, and refuses connections.
    pub fn fail(&mut self) {
        self.down = true;
        self.epoch += 1;
        self.running = 0;
        self.waiting = Default::default();
        self.prefill_free_us = 0;
        self.cache.clear();
    }

    /// Brings the target back with a cold cache.
    pub fn recover(&mut self) {
        self.down = false;
    }

    /// Returns true while the target refuses connections.
    #[must_use]
    pub fn is_down(&self) -> bool {
        self.down
    }

    /// Returns the slots, or zero while the target is down.
    #[must_use]
    pub fn live_slots(&self) -> u32 {
        if self.down { 0 } else { self.slots }
    }

    /// Returns the requests that the target holds.
    #[must_use]
    pub fn requests(&self) -> u32 {
        self.running
            + self
                .waiting
                .iter()
                .map(|queue| queue.len() as u32)
                .sum::<u32>()
    }

    /// Returns true for engines; plain services have no interface that reports their load.
    #[must_use]
    pub fn reports_load(&self) -> bool {
        self.kind == ServiceKind::Model
    }

    /// Returns what the target reports about its load.
    #[must_use]
    pub fn report(&self) -> LoadReport {
        let speed = 1e6 / (self.token_us(self.running) * self.slowness);
        LoadReport {
            requests: self.requests(),
            speed_tokens_per_s: (self.running > 0).then_some(speed),
        }
    }

    /// Takes a request; it starts now or waits in the order of its class.
    pub fn accept(&mut self, now_us: u64, request: u32, arrival: &Arrival) -> Option<Start> {
        if self.running < self.slots {
            return Some(self.start(now_us, request, arrival));
        }
        self.waiting[arrival.class.index()].push_back(request);
        None
    }

    /// Ends a running request and starts the next waiting one.
    pub fn complete(&mut self, now_us: u64, arrivals: &[Arrival]) -> Option<Start> {
        self.running -= 1;
        let next = self.waiting.iter_mut().find_map(VecDeque::pop_front)?;
        Some(self.start(now_us, next, &arrivals[next as usize]))
    }

    /// Drops a waiting or running request; returns the next one that starts.
    pub fn cancel(&mut self, now_us: u64, request: u32, arrivals: &[Arrival]) -> Option<Start> {
        for queue in &mut self.waiting {
            if let Some(position) = queue.iter().position(|waiting| *waiting == request) {
                queue.remove(position);
                return None;
            }
        }
        self.complete(now_us, arrivals)
    }

    fn start(&mut self, now_us: u64, request: u32, arrival: &Arrival) -> Start {
        self.running += 1;
        match self.kind {
            ServiceKind::Plain => self.start_plain(now_us, request, arrival),
            ServiceKind::Model => self.start_model(now_us, request, arrival),
        }
    }

    fn start_plain(&mut self, now_us: u64, request: u32, arrival: &Arrival) -> Start {
        let work_us = u64::from(arrival.output_tokens) * PLAIN_UNIT_US;
        let span_us = (work_us as f64 * self.slowness) as u64;
        Start {
            request,
            first_token_us: now_us + span_us,
            done_us: now_us + span_us,
            engine_us: span_us / u64::from(self.slots),
            missed: false,
        }
    }

    fn start_model(&mut self, now_us: u64, request: u32, arrival: &Arrival) -> Start {
        let has_prefix = arrival.prefix_tokens > 0;
        let missed = has_prefix && !self.cache.touch(arrival.prefix, arrival.prefix_tokens);
        let cold_tokens = if missed { arrival.prefix_tokens } else { 0 };
        let tokens = f64::from(arrival.prompt_tokens + cold_tokens);
        let prefill_us = (tokens / PREFILL_TOKENS_PER_S * 1e6 * self.slowness) as u64;
        self.prefill_free_us = self.prefill_free_us.max(now_us) + prefill_us;
        let token_us = self.token_us(self.running) * self.slowness;
        let decode_us = (f64::from(arrival.output_tokens) * token_us) as u64;
        Start {
            request,
            first_token_us: self.prefill_free_us + token_us as u64,
            done_us: self.prefill_free_us + decode_us,
            engine_us: prefill_us + decode_us / u64::from(self.slots),
            missed,
        }
    }

    fn token_us(&self, running: u32) -> f64 {
        let use_ratio = f64::from(running) / f64::from(self.slots);
        TOKEN_US * (1.0 + FULL_BATCH_SLOWDOWN * use_ratio)
    }
}
