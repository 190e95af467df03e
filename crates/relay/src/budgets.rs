//! Retry budgets of services, and this host's share of the limits that hosts have in common.

use std::sync::Arc;

use lw_admit::RetryBudgetPolicy;

use crate::host::Host;

/// A process that started less than this ago may not know all other hosts yet, so it assumes that at least
/// [`STARTUP_HOSTS`] hosts share a limit.
const STARTUP_MS: u64 = 5_000;
const STARTUP_HOSTS: usize = 8;
/// The assumed minimum of hosts in its own region.
const STARTUP_REGION_HOSTS: usize = 4;
/// A process that started less than this ago may have sent requests to cold targets before its restart and has no
/// record of them. The limit applies to every second, so the process sends none.
const COLD_TARGET_HOLDOFF_MS: u64 = 1_500;

/// Returns the number of hosts that share the limit of a cold target, or `None` while this host must not use cold
/// targets.
///
/// Without the minimum, a restarted host that does not know the other host of its region yet uses the whole limit: a
/// target received 13 requests in a second, with a limit of 12.9.
#[must_use]
pub fn cold_limit_hosts(up_ms: u64, known_region_hosts: usize) -> Option<usize> {
    match up_ms {
        ..COLD_TARGET_HOLDOFF_MS => None,
        COLD_TARGET_HOLDOFF_MS..STARTUP_MS => Some(known_region_hosts.max(STARTUP_REGION_HOSTS)),
        _ => Some(known_region_hosts),
    }
}

impl Host {
    /// Records the first attempt of a request to a service.
    pub(crate) fn record_request(&self, service: &Arc<str>) {
        let now = self.clock.now();
        let mut budgets = self.budgets.borrow_mut();
        budgets.entry(service.clone()).or_default().request(now);
    }

    /// Takes a retry from this host's share of the retry budget; returns false when the share is used up.
    pub(crate) fn try_take_retry(&self, service: &Arc<str>) -> bool {
        let now = self.clock.now();
        let bounds = self.bounds.get();
        let mut sharing_hosts = self.hosts.borrow().peak_hosts_overall();
        if self.clock.uptime_ms() < STARTUP_MS {
            sharing_hosts = sharing_hosts.max(STARTUP_HOSTS);
        }
        let share = RetryBudgetPolicy {
            ratio: bounds.retry_ratio,
            extra: bounds.retry_extra,
            window_ms: bounds.retry_window_ms,
            hosts: sharing_hosts,
        };
        let mut budgets = self.budgets.borrow_mut();
        let budget = budgets.entry(service.clone()).or_default();
        budget.try_retry(now, share)
    }
}
