//! Rate limits and traffic counters of the key-value stand-in.

use lw_base::MonoMs;

/// How many calls a second the service accepts in total.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct KvLimits {
    /// Reads per second; a waiting watch counts as one.
    pub reads_per_s: f64,
    /// Writes per second.
    pub writes_per_s: f64,
}

impl Default for KvLimits {
    /// The limits of the platform: several hundred writes and about 2,000 reads a second.
    fn default() -> Self {
        Self {
            reads_per_s: 2_000.0,
            writes_per_s: 400.0,
        }
    }
}

/// How many calls the service received since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct KvTraffic {
    /// Accepted reads.
    pub reads: u64,
    /// Accepted writes.
    pub writes: u64,
    /// Calls that were refused by a rate limit or an outage.
    pub refused: u64,
}

/// A token bucket that holds at most one second of calls, and at least one call.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Bucket {
    per_s: f64,
    tokens: f64,
    filled: MonoMs,
}

impl Bucket {
    /// Builds a full bucket.
    pub(crate) fn new(per_s: f64, now: MonoMs) -> Self {
        Self {
            per_s,
            tokens: per_s.max(1.0),
            filled: now,
        }
    }

    /// Takes `amount` tokens, or returns false when there are too few.
    pub(crate) fn take(&mut self, amount: f64, now: MonoMs) -> bool {
        let elapsed_s = now.since_ms(self.filled) as f64 / 1_000.0;
        self.tokens = (self.tokens + elapsed_s * self.per_s).min(self.per_s.max(1.0));
        self.filled = now;
        if self.tokens < amount {
            return false;
        }
        self.tokens -= amount;
        true
    }
}
