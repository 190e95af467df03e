//! The grant of a lease to this client.

use lw_base::MonoMs;

/// The grant of a lease, under which this client may act for a limited time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseGrant {
    /// The fencing number, higher than that of every earlier holder.
    pub epoch: u64,
    /// The time at which the holder acquired the lease with this epoch.
    pub acquired_at: MonoMs,
    /// The earliest time at which the service may expire the lease.
    pub valid_until: MonoMs,
    /// The time before `valid_until` at which the holder stops acting.
    pub margin_ms: u64,
}

impl LeaseGrant {
    /// Returns true while the holder may act.
    ///
    /// Callers read the clock for `now` directly before each action, so that a pause of the process is noticed.
    #[must_use]
    pub fn may_act(&self, now: MonoMs) -> bool {
        now.plus_ms(self.margin_ms) < self.valid_until
    }
}
