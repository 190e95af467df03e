//! The right to act under a lease.

use lw_base::MonoMs;

/// The right to act under a lease until a point in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Authority {
    /// The fencing number, higher than that of every earlier holder.
    pub epoch: u64,
    /// When the holder first had this authority.
    pub acquired_at: MonoMs,
    /// The earliest moment at which the service may end the lease.
    pub valid_until: MonoMs,
    /// How long before that moment the holder stops acting, in milliseconds.
    pub margin_ms: u64,
}

impl Authority {
    /// Returns true while the holder may act.
    ///
    /// The caller reads the clock for `now` directly before each action, so a pause before that is noticed.
    #[must_use]
    pub fn may_act(&self, now: MonoMs) -> bool {
        now.plus_ms(self.margin_ms) < self.valid_until
    }
}
