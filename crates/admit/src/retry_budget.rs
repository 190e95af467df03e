//! The retry budget of a service.

use lw_base::prelude::*;

use crate::slot_counts::SlotCounts;

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
    counts: SlotCounts<WINDOW_SLOTS, SLOT_MS>,
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
            counts: SlotCounts::default(),
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
        self.counts.advance(now);
        self.counts.note_request();
    }

    /// Takes a token for a retry; returns false when the budget is spent.
    pub fn try_retry(&mut self, now: MonoMs) -> bool {
        self.counts.advance(now);
        let (requests, retries) = self.counts.sums(WINDOW_SLOTS);
        let earned = requests * RETRY_SHARE;
        if retries + 1.0 > earned.max(self.floor) {
            return false;
        }
        // The floor is given out evenly, one retry a second.
        if earned < self.floor && self.counts.repeats_now() > 0 {
            return false;
        }
        self.counts.note_repeat();
        true
    }
}
