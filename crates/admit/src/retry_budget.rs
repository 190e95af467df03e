//! The retry budget of a service.

use lw_base::prelude::*;

/// The window that the budget looks at, in slots of one second.
const WINDOW_SLOTS: usize = 10;
const SLOT_MS: u64 = 1_000;
/// Retries per request of the window.
const RETRY_SHARE: f64 = 0.1;
/// Retries that are always allowed for a service, per second and over all hosts.
const FLOOR_PER_S: f64 = 1.0;

/// A bucket of retry tokens. A request adds a tenth of a token, and a token expires after ten seconds.
///
/// The floor is shared by the hosts: with a floor of one per second and host, eight hosts with four requests a second
/// each would retry a quarter of their requests.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    requests: [u32; WINDOW_SLOTS],
    retries: [u32; WINDOW_SLOTS],
    slot: u64,
    floor: f64,
}

impl Default for RetryBudget {
    /// Returns the budget of the only host; [`RetryBudget::set_hosts`] tells it of others.
    fn default() -> Self {
        Self::new(1)
    }
}

impl RetryBudget {
    /// Creates a budget of a host that shares the service with others, `hosts` in total.
    #[must_use]
    pub fn new(hosts: u32) -> Self {
        let mut budget = Self {
            requests: [0; WINDOW_SLOTS],
            retries: [0; WINDOW_SLOTS],
            slot: 0,
            floor: 0.0,
        };
        budget.set_hosts(hosts);
        budget
    }

    /// Changes the number of hosts that share the floor.
    pub fn set_hosts(&mut self, hosts: u32) {
        self.floor = FLOOR_PER_S * WINDOW_SLOTS as f64 / f64::from(hosts.max(1));
    }

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
        let earned = f64::from(requests) * RETRY_SHARE;
        if f64::from(retries) + 1.0 > earned.max(self.floor) {
            return false;
        }
        // The floor is given out evenly, one retry a second.
        if earned < self.floor && self.retries[self.position()] > 0 {
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
