//! Faults that befall the hosts of a region.

/// What happens to the hosts, by time in milliseconds after the warm-up.
#[derive(Clone, Copy)]
pub struct Faults {
    /// Whether a datagram between two hosts arrives.
    pub connects: fn(at_ms: u64, from: usize, to: usize) -> bool,
    /// Whether a host stands still.
    pub is_frozen: fn(at_ms: u64, host: usize) -> bool,
    /// The times at which a host is killed and at which it starts again.
    pub restart_ms: fn(host: usize) -> Option<(u64, u64)>,
    /// When a host is added to the region; zero if it is there from the beginning.
    pub added_ms: fn(host: usize) -> u64,
    /// Whether a host announces that it leaves.
    pub is_leaving: fn(at_ms: u64, host: usize) -> bool,
    /// One in this many datagrams is lost.
    pub loss_one_in: u64,
}

/// No faults but a few lost datagrams.
pub const NO_FAULTS: Faults = Faults {
    connects: |_, _, _| true,
    is_frozen: |_, _| false,
    restart_ms: |_| None,
    added_ms: |_| 0,
    is_leaving: |_, _| false,
    loss_one_in: 20,
};
