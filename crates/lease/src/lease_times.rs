//! Timeouts and intervals of a lease.

/// The timeouts and intervals of a lease, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseTimes {
    /// The time after which the service expires a lease that is not renewed.
    pub ttl_ms: u64,
    /// The interval between two renewals.
    pub renew_ms: u64,
    /// The time before the expiry of the lease at which the holder stops acting; covers clock rate differences.
    pub margin_ms: u64,
    /// The timeout of one watch on a lease that another host holds.
    pub watch_ms: u64,
    /// The delay before a failed renewal is retried; about 8 attempts fit before the holder stops acting.
    pub retry_ms: u64,
    /// The minimum delay before a host that is not preferred claims a free lease.
    pub claim_delay_ms: u64,
    /// The maximum random delay that is added to [`Self::claim_delay_ms`].
    pub claim_jitter_ms: u64,
}

impl Default for LeaseTimes {
    fn default() -> Self {
        Self {
            ttl_ms: 10_000,
            renew_ms: 3_000,
            margin_ms: 3_000,
            watch_ms: 10_000,
            retry_ms: 500,
            claim_delay_ms: 1_000,
            claim_jitter_ms: 3_000,
        }
    }
}
