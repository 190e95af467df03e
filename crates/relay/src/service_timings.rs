//! Response times of a service's targets, as measured by this host.

/// The weight of the latest measurement in the moving average.
const SAMPLE_WEIGHT: f64 = 0.05;
/// The assumed time to an answer before the first measurement, in milliseconds.
const INITIAL_ANSWER_MS: f64 = 60.0;
/// The assumed prefill time of a token before the first measurement, in milliseconds.
const INITIAL_PREFILL_MS_PER_TOKEN: f64 = 0.03;
/// Bounds of the measured prefill time of a token, in milliseconds.
const PREFILL_MS_PER_TOKEN_BOUNDS: (f64, f64) = (0.008, 0.12);
/// Requests with fewer tokens to prefill are too small to measure the time of a token.
const MIN_SAMPLE_TOKENS: u64 = 1_500;

/// Moving averages of a service's response times.
#[derive(Clone, Copy, Debug)]
pub struct ServiceTimings {
    /// The time to the head or the first event of an answer, in milliseconds.
    pub answer_ms: f64,
    /// The prefill time of one prompt token, in milliseconds.
    pub prefill_ms_per_token: f64,
}

impl Default for ServiceTimings {
    fn default() -> Self {
        Self {
            answer_ms: INITIAL_ANSWER_MS,
            prefill_ms_per_token: INITIAL_PREFILL_MS_PER_TOKEN,
        }
    }
}

impl ServiceTimings {
    /// Records the time to an answer, in milliseconds.
    pub fn record_answer(&mut self, answer_ms: f64) {
        self.answer_ms += SAMPLE_WEIGHT * (answer_ms - self.answer_ms);
    }

    /// Records the time to the first event of a request whose engine had no other prefill work, in milliseconds.
    pub fn record_prefill(&mut self, answer_ms: f64, tokens: u64) {
        if tokens < MIN_SAMPLE_TOKENS {
            return;
        }
        let sample = (answer_ms / tokens as f64)
            .clamp(PREFILL_MS_PER_TOKEN_BOUNDS.0, PREFILL_MS_PER_TOKEN_BOUNDS.1);
        self.prefill_ms_per_token += SAMPLE_WEIGHT * (sample - self.prefill_ms_per_token);
    }
}
