//! Response times of a service's targets, as measured by this host.

use crate::linear_fit::LinearFit;

/// The weight of the latest measurement in the moving average.
const SAMPLE_WEIGHT: f64 = 0.05;
/// The assumed time to an answer before the first measurement, in milliseconds.
const INITIAL_ANSWER_MS: f64 = 60.0;
/// The assumed prefill time of a token before the first measurement, in milliseconds.
const INITIAL_PREFILL_MS_PER_TOKEN: f64 = 0.03;
/// Bounds of the measured prefill time of a token, in milliseconds.
const PREFILL_MS_PER_TOKEN_BOUNDS: (f64, f64) = (0.002, 0.12);
/// Requests with fewer tokens to prefill are too small to measure the time of a token.
const MIN_SAMPLE_TOKENS: u64 = 1_500;

/// Moving averages of a service's response times.
#[derive(Clone, Copy, Debug)]
pub struct ServiceTimings {
    /// The time to the head or the first event of an answer, in milliseconds.
    pub answer_ms: f64,
    /// The prefill time of one prompt token, in milliseconds.
    pub prefill_ms_per_token: f64,
    /// The time to the first event, in milliseconds, over the tokens to prefill.
    pub prefill: LinearFit,
    /// The time from the first event of a stream to its end, in milliseconds; zero before the first measurement.
    pub stream_ms: f64,
    /// The time between two events of a stream, in milliseconds, over the number of requests that run on its engine.
    ///
    /// An engine produces a token for each running request in turn, so each further request slows down all others. By
    /// how much differs between engines by a factor of ten.
    pub pace: LinearFit,
}

impl Default for ServiceTimings {
    fn default() -> Self {
        Self {
            answer_ms: INITIAL_ANSWER_MS,
            prefill_ms_per_token: INITIAL_PREFILL_MS_PER_TOKEN,
            prefill: LinearFit::default(),
            stream_ms: 0.0,
            pace: LinearFit::default(),
        }
    }
}

impl ServiceTimings {
    /// Records the time to an answer, in milliseconds.
    pub fn record_answer(&mut self, answer_ms: f64) {
        self.answer_ms += SAMPLE_WEIGHT * (answer_ms - self.answer_ms);
    }

    /// Records the time from the first event of a stream to its end, in milliseconds.
    pub fn record_stream(&mut self, stream_ms: f64) {
        self.stream_ms += SAMPLE_WEIGHT * (stream_ms - self.stream_ms);
    }

    /// Returns how long a request waits for a slot while `running` requests run or wait on an engine, in milliseconds.
    #[must_use]
    pub fn slot_wait_ms(&self, running: u32, slots: u32) -> f64 {
        let waiting = (running + 1).saturating_sub(slots.max(1));
        f64::from(waiting) * self.stream_ms / f64::from(slots.max(1))
    }

    /// Records the time to the first event of a request whose engine had no other prefill work, in milliseconds.
    ///
    /// A large part of the time does not depend on the prompt: the network, the start of the request and the first token.
    /// The slope of the times over the tokens leaves it out; until it is known, the mean time of a token is used.
    pub fn record_prefill(&mut self, answer_ms: f64, tokens: u64) {
        self.prefill.record(tokens as f64, answer_ms);
        let (min, max) = PREFILL_MS_PER_TOKEN_BOUNDS;
        if let Some(slope) = self.prefill.slope() {
            self.prefill_ms_per_token = slope.clamp(min, max);
        } else if tokens >= MIN_SAMPLE_TOKENS {
            let sample = (answer_ms / tokens as f64).clamp(min, max);
            self.prefill_ms_per_token += SAMPLE_WEIGHT * (sample - self.prefill_ms_per_token);
        }
    }
}
