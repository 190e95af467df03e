//! The retry budget of a service.

use lw_base::prelude::*;

/// The window that the budget looks at, in slots of one second.
const WINDOW_SLOTS: usize = 10;
const SLOT_MS: u64 = 1_000;
/// Retries per request of the window.
const RETRY_SHARE: f64 = 0.1;
/// Retries that are always allowed, per second of the window.
const FLOOR_PER_S: f64 = 1.0;

/// A bucket of retry tokens. A request adds a tenth of a token, and a token expires after ten seconds.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    requests: [u32; WINDOW_SLOTS],
    retries: [u32; WINDOW_SLOTS],
    slot: u64,
}

impl RetryBudget {
    /// Notes a first attempt.
    pub fn request(&mut self, now: MonoMs) {
        self.advance(now);
        self.requests[self.position()] += 1;
    }

    /// Takes a token for a retry; returns false when the budget is spent.
    pub fn try_retry(&mut self, now: MonoMs) -> bool {
        self.advance(now);
        let requests: u32 = self.requests.iter().sum();
        let retries: u32 = self.retries.iter().sum();
        let floor = FLOOR_PER_S * WINDOW_SLOTS as f64;
        let allowed = (f64::from(requests) * RETRY_SHARE).max(floor);
        if f64::from(retries) + 1.0 > allowed {
            return false;
        }
        let floor_only = f64::from(requests) * RETRY_SHARE < floor;
        if floor_only && f64::from(self.retries[self.position()]) >= FLOOR_PER_S {
            return false;
        }
        self.retries[self.position()] += 1;
        true
    }

    fn position(&self) -> usize {
        (self.slot % WINDOW_SLOTS as u64) as usize
    }

    fn advance(&mut self, now: MonoMs) {
        let slot = now.0 / SLOT_MS;
        let steps = slot.saturating_sub(self.slot).min(WINDOW_SLOTS as u64);
        for step in 0..steps {
            let position = ((slot - step) % WINDOW_SLOTS as u64) as usize;
            self.requests[position] = 0;
            self.retries[position] = 0;
        }
        self.slot = self.slot.max(slot);
    }
}
