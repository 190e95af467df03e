//! The rate at which a region loads weights.

use lw_base::MonoMs;

/// A token bucket of weight loads.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WeightBudget {
    loads_per_s: f64,
    burst: f64,
    tokens: f64,
    filled: Option<MonoMs>,
}

impl WeightBudget {
    /// Builds a full bucket for `loads_per_s` that holds at most `burst` loads.
    #[must_use]
    pub fn new(loads_per_s: f64, burst: u32) -> Self {
        let burst = f64::from(burst.max(1));
        Self {
            loads_per_s,
            burst,
            tokens: burst,
            filled: None,
        }
    }

    /// Takes one load, or returns false when the rate is used up.
    pub fn take(&mut self, now: MonoMs) -> bool {
        let filled = self.filled.replace(now).unwrap_or(now);
        let refill = now.since_ms(filled) as f64 / 1_000.0 * self.loads_per_s;
        self.tokens = (self.tokens + refill).min(self.burst);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
