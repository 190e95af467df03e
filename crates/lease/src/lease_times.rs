//! Time spans of a lease.

/// The time spans of a lease, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseTimes {
    /// How long the service keeps a lease without a renewal.
    pub ttl_ms: u64,
    /// How often the holder renews it.
    pub renew_ms: u64,
    /// How long before the end of the lease the holder stops acting; covers clocks that run at different rates.
    pub margin_ms: u64,
    /// The longest wait of one watch for a lease that another host holds.
    pub watch_ms: u64,
    /// The delay before a failed renewal is repeated; about 8 attempts fit before the holder stops acting.
    pub retry_ms: u64,
    /// The least time that a host which is not the first in rank leaves a free lease to the others.
    pub claim_delay_ms: u64,
    /// The further time over which the turns of these hosts are spread.
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
