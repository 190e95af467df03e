//! The report of a retention pass.

/// The counts of one pass of the retention worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RetentionReport {
    /// Blocks written.
    pub blocks_written: usize,
    /// Entries removed because a block contains them.
    pub entries_packed: usize,
    /// Entries removed because they are not in the chain, remained after a block had been written, or are older than
    /// the retention time.
    pub entries_dropped: usize,
    /// Snapshot parts removed.
    pub snapshot_parts_removed: usize,
    /// Blocks removed because they are older than the retention time.
    pub blocks_expired: usize,
    /// Hours of refused attempts removed.
    pub refused_hours_removed: usize,
}
