//! Repeats of requests to a service.

use std::sync::Arc;

use lw_admit::BudgetShare;

use crate::host::Host;

/// A process that is younger than this assumes that it shares the limit with [`YOUNG_SHARERS`] hosts at least, because
/// it has not heard them all.
const YOUNG_MS: u64 = 5_000;
const YOUNG_SHARERS: usize = 8;

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
        let mut sharers = self.hosts.borrow().sharers_all();
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
