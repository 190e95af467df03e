//! How fast the targets of a service work, as this host has seen it.

/// The weight of the newest measurement.
const WEIGHT: f64 = 0.05;
/// The time to an answer before anything was measured, in milliseconds.
const FIRST_ANSWER_MS: f64 = 60.0;
/// The prefill time of a token before anything was measured, in milliseconds.
const FIRST_TOKEN_MS: f64 = 0.03;
/// The bounds of the measured prefill time of a token.
const TOKEN_MS: (f64, f64) = (0.008, 0.12);
/// Requests with fewer tokens to read say little about the time of a token.
const LEAST_TOKENS: u64 = 1_500;

/// Measured times of a service.
#[derive(Clone, Copy, Debug)]
pub struct ServiceTimings {
    /// The time to the head or the first event of an answer, in milliseconds.
    pub answer_ms: f64,
    /// The time to read one token of a prompt, in milliseconds.
    pub prefill_ms_per_token: f64,
}

impl Default for ServiceTimings {
    fn default() -> Self {
        Self {
            answer_ms: FIRST_ANSWER_MS,
            prefill_ms_per_token: FIRST_TOKEN_MS,
        }
    }
}

impl ServiceTimings {
    /// Takes the time to an answer.
    pub fn record_answer(&mut self, answer_ms: f64) {
        self.answer_ms += WEIGHT * (answer_ms - self.answer_ms);
    }

    /// Takes the time to the first event of a request that found its engine without other prefill work.
    pub fn record_prefill(&mut self, answer_ms: f64, tokens: u64) {
        if tokens < LEAST_TOKENS {
            return;
        }
        let sample = (answer_ms / tokens as f64).clamp(TOKEN_MS.0, TOKEN_MS.1);
        self.prefill_ms_per_token += WEIGHT * (sample - self.prefill_ms_per_token);
    }
}
