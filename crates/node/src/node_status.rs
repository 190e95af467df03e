//! What a node tells about itself.

/// What a node tells about itself, for metrics and status pages. Counters count from the start of the node.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct NodeStatus {
    /// Whether a configuration is held that is as new as the one of the service at the start.
    pub ready: bool,
    /// Whether the node is leaving.
    pub leaving: bool,
    /// The revision in force, 0 for none.
    pub revision: u64,
    /// The revision of the held shard map, 0 for none.
    pub map_revision: u64,
    /// Members that answer, without this host.
    pub alive_members: usize,
    /// Members that are leaving.
    pub leaving_members: usize,
    /// Members that are suspected.
    pub suspect_members: usize,
    /// Members that are lost.
    pub dead_members: usize,
    /// Whether half of the last known members were seen recently.
    pub sees_half: bool,
    /// Whether the wall clock agrees with the region.
    pub clock_ok: bool,
    /// Whether this host packs and removes old parts of the audit for the fleet.
    pub keeps_audit: bool,
    /// Milliseconds since the key-value service answered; `None` for never.
    pub service_age_ms: Option<u64>,
    /// Shards that this host owns.
    pub owned_shards: usize,
    /// Shards for which this host is the backup.
    pub backup_shards: usize,
    /// Records of idempotency keys.
    pub records: usize,
    /// Regions whose summary is known, the own one included.
    pub known_regions: usize,
    /// Frames sent.
    pub sent_frames: u64,
    /// Bytes sent in frames.
    pub sent_bytes: u64,
    /// Frames received, refused ones included.
    pub received_frames: u64,
    /// Bytes received in frames.
    pub received_bytes: u64,
    /// Frames that were not sent because a queue was full or an address not usable.
    pub dropped_frames: u64,
    /// Received frames that were refused, by reason.
    pub refused_frames: Vec<(&'static str, u64)>,
    /// Reads of the shard map.
    pub map_reads: u64,
    /// Writes of the shard map.
    pub map_writes: u64,
    /// Polls of targets for their load.
    pub load_polls: u64,
    /// Time spent in control work on messages and ticks, in microseconds.
    pub busy_us: u64,
}
