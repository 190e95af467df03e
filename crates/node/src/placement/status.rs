//! The status of placement.

/// The status of placement on a host. Counters start at 0 when placement starts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PlacementStatus {
    /// The epoch of the lease, which serves as the fencing token; `None` while this host may not act.
    pub epoch: Option<u64>,
    /// Commands that are queued or in flight.
    pub queued_commands: usize,
    /// Commands that were sent.
    pub sent_commands: u64,
    /// Reads of engine states that failed.
    pub failed_state_reads: u64,
}
