//! The rate limit of weight loads in a region.

use lw_base::MonoMs;

/// A token bucket that limits the rate of weight loads.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WeightBudget {
    loads_per_s: f64,
    burst: f64,
    tokens: f64,
    refilled_at: Option<MonoMs>,
}

impl WeightBudget {
    /// Creates a full bucket that refills at `loads_per_s` and holds at most `burst` loads.
    #[must_use]
    pub fn new(loads_per_s: f64, burst: u32) -> Self {
        let burst = f64::from(burst.max(1));
        Self {
            loads_per_s,
            burst,
            tokens: burst,
            refilled_at: None,
        }
    }

    /// Takes the token of one load; returns false if there is none.
    pub fn take(&mut self, now: MonoMs) -> bool {
        let refilled_at = self.refilled_at.replace(now).unwrap_or(now);
        let refill = now.since_ms(refilled_at) as f64 / 1_000.0 * self.loads_per_s;
        self.tokens = (self.tokens + refill).min(self.burst);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
