//! What a pass of the retention did.

/// Counts of one pass.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RetentionReport {
    /// Blocks that were written.
    pub blocks_written: usize,
    /// Entries that were removed because a block has them.
    pub entries_packed: usize,
    /// Entries that were removed because they are in no chain or older than the retention time.
    pub entries_dropped: usize,
    /// Parts of snapshots that were removed.
    pub snapshot_parts_removed: usize,
    /// Blocks that were removed because they are older than the retention time.
    pub blocks_expired: usize,
    /// Hours of refused attempts that were removed.
    pub refused_hours_removed: usize,
}
