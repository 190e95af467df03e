//! What placement tells about itself.

/// What the placement of a host tells about itself. Counters count from its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PlacementStatus {
    /// The fencing number while this host may act.
    pub epoch: Option<u64>,
    /// Commands that wait or are in flight.
    pub queued_commands: usize,
    /// Commands that were sent.
    pub sent_commands: u64,
    /// Readings of engine states that failed.
    pub failed_state_reads: u64,
}
