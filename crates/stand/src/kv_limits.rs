//! Rate limits and call counters of the fake key-value service.

use lw_base::MonoMs;

/// Limits on the total rate of calls that the service accepts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct KvLimits {
    /// Reads per second; a watch counts as one read.
    pub reads_per_s: f64,
    /// Writes per second.
    pub writes_per_s: f64,
}

impl Default for KvLimits {
    /// Returns the limits of the platform: several hundred writes and about 2,000 reads per second.
    fn default() -> Self {
        Self {
            reads_per_s: 2_000.0,
            writes_per_s: 400.0,
        }
    }
}

/// Counts of the calls that the service received since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct KvTraffic {
    /// Accepted reads.
    pub reads: u64,
    /// Accepted writes.
    pub writes: u64,
    /// Calls that were refused because of a rate limit or an outage.
    pub refused: u64,
}

/// A token bucket whose capacity is one second of calls, but at least one call.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TokenBucket {
    refill_per_s: f64,
    tokens: f64,
    refilled_at: MonoMs,
}

impl TokenBucket {
    /// Creates a full bucket.
    pub(crate) fn new(refill_per_s: f64, now: MonoMs) -> Self {
        Self {
            refill_per_s,
            tokens: refill_per_s.max(1.0),
            refilled_at: now,
        }
    }

    /// Takes `amount` tokens and returns true, or returns false if there are too few.
    pub(crate) fn take(&mut self, amount: f64, now: MonoMs) -> bool {
        let elapsed_s = now.since_ms(self.refilled_at) as f64 / 1_000.0;
        self.tokens = (self.tokens + elapsed_s * self.refill_per_s).min(self.refill_per_s.max(1.0));
        self.refilled_at = now;
        if self.tokens < amount {
            return false;
        }
        self.tokens -= amount;
        true
    }
}
