//! Exponential backoff between reconnect attempts.

use rand::Rng;

/// The upper bound of the delay after the first failure.
const FIRST_BOUND_MS: u64 = 200;

/// The largest upper bound. After an outage, the hosts spread their reconnect attempts over this time.
const MAX_BOUND_MS: u64 = 10_000;

/// Exponential backoff with full jitter: each delay is uniform between zero and a bound that doubles up to 10 s.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReconnectBackoff {
    failures: u32,
}

impl ReconnectBackoff {
    /// Records a failure and returns the delay before the next attempt, in milliseconds.
    pub fn next_delay_ms(&mut self, rng: &mut impl Rng) -> u64 {
        let bound_ms = FIRST_BOUND_MS.saturating_mul(1 << self.failures.min(16));
        self.failures = self.failures.saturating_add(1);
        rng.random_range(0..=bound_ms.min(MAX_BOUND_MS))
    }

    /// Records a success, which resets the delay bound.
    pub fn reset(&mut self) {
        self.failures = 0;
    }

    /// Returns the number of failures since the last success.
    #[must_use]
    pub fn failures(self) -> u32 {
        self.failures
    }
}
