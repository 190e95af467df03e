//! The schedule of reconnects after failures.

use rand::Rng;

/// The first upper bound of the delay.
const BASE_MS: u64 = 200;
/// The highest upper bound: after an outage all hosts come back within this time, not at once.
const CAP_MS: u64 = 10_000;

/// Delays between attempts, with full jitter: each is uniform between zero and a bound that doubles up to 10 s.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReconnectBackoff {
    failures: u32,
}

impl ReconnectBackoff {
    /// Records a failure and returns the delay before the next attempt, in milliseconds.
    pub fn next_delay_ms(&mut self, rng: &mut impl Rng) -> u64 {
        let doubled = BASE_MS.saturating_mul(1 << self.failures.min(16));
        self.failures = self.failures.saturating_add(1);
        rng.random_range(0..=doubled.min(CAP_MS))
    }

    /// Records a success, which starts the schedule over.
    pub fn reset(&mut self) {
        self.failures = 0;
    }

    /// Returns the number of failures since the last success.
    #[must_use]
    pub fn failures(self) -> u32 {
        self.failures
    }
}
