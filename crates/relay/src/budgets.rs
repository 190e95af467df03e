//! Retry budgets of services, and this host's share of them.

use std::sync::Arc;

use lw_admit::RetryBudgetPolicy;

use crate::host::Host;
use crate::settings::Bounds;

/// A process that started less than this ago may not know all other hosts yet, so it assumes that at least
/// [`STARTUP_HOSTS`] hosts share a limit.
pub(crate) const STARTUP_MS: u64 = 5_000;
const STARTUP_HOSTS: usize = 8;

/// Returns the share of a service's retry budget that a process may use `up_ms` after its start, when it has known
/// `known_hosts` hosts in all regions. `is_restart` says that another process of this host ran shortly before.
///
/// Load: many hosts that restart together. Until such a process has run for a window, its predecessor may have used its part
/// of the extra retries, and the process may know few of the hosts that share them. It then has only the retries that its
/// own requests allow.
#[must_use]
pub fn retry_share(
    up_ms: u64,
    is_restart: bool,
    known_hosts: usize,
    bounds: &Bounds,
) -> RetryBudgetPolicy {
    let extra = match is_restart && up_ms < bounds.retry_window_ms {
        true => 0.0,
        false => bounds.retry_extra,
    };
    let hosts = match up_ms {
        ..STARTUP_MS => known_hosts.max(STARTUP_HOSTS),
        _ => known_hosts,
    };
    RetryBudgetPolicy {
        ratio: bounds.retry_ratio,
        extra,
        window_ms: bounds.retry_window_ms,
        hosts,
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
        let known_hosts = self.hosts.borrow().peak_hosts_overall();
        let share = retry_share(
            self.clock.uptime_ms(),
            self.is_restart.get(),
            known_hosts,
            &self.bounds.get(),
        );
        let mut budgets = self.budgets.borrow_mut();
        let budget = budgets.entry(service.clone()).or_default();
        budget.try_retry(now, share)
    }
}
