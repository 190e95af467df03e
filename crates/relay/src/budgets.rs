//! Repeats of requests to a service.

use std::sync::Arc;

use lw_admit::BudgetShare;

use crate::host::Host;

/// A process that is younger than this assumes that it shares the limit with [`YOUNG_SHARERS`] hosts at least, because
/// it has not heard them all.
const YOUNG_MS: u64 = 5_000;
const YOUNG_SHARERS: usize = 8;
/// The same for the hosts of its region.
const YOUNG_SHARERS_NEAR: usize = 4;
/// A process that is younger than this may have sent requests to cold targets before its restart, which it has
/// forgotten; the limit counts every second.
const FORGETFUL_MS: u64 = 1_500;

/// Returns how many hosts share the limit of a cold target, or `None` when this host must not use cold targets yet.
///
/// A restarted host that did not know its neighbour yet took the whole limit for itself, and a target got 13 requests
/// in a second where 12.9 were allowed.
#[must_use]
pub fn cold_sharers(up_ms: u64, known_near: usize) -> Option<usize> {
    match up_ms {
        ..FORGETFUL_MS => None,
        FORGETFUL_MS..YOUNG_MS => Some(known_near.max(YOUNG_SHARERS_NEAR)),
        _ => Some(known_near),
    }
}

impl Host {
    /// Notes the first send of a request to a service.
    pub(crate) fn note_request(&self, service: &Arc<str>) {
        let now = self.clock.now();
        let mut budgets = self.budgets.borrow_mut();
        budgets.entry(service.clone()).or_default().request(now);
    }

    /// Takes a repeat out of this host's share; returns false when it is used up.
    pub(crate) fn take_repeat(&self, service: &Arc<str>) -> bool {
        let now = self.clock.now();
        let bounds = self.bounds.get();
        let mut sharers = self.hosts.borrow().peak_hosts_overall();
        if self.clock.up_ms() < YOUNG_MS {
            sharers = sharers.max(YOUNG_SHARERS);
        }
        let share = BudgetShare {
            ratio: bounds.retry_ratio,
            extra: bounds.retry_extra,
            window_ms: bounds.retry_window_ms,
            sharers,
        };
        let mut budgets = self.budgets.borrow_mut();
        let budget = budgets.entry(service.clone()).or_default();
        budget.try_repeat(now, share)
    }
}
