//! What a node tells about itself.

use std::sync::atomic::Ordering;

use lw_member::MemberState;
use lw_peer::FrameRefusal;

use crate::core::Core;
use crate::traffic::get;

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

impl NodeStatus {
    pub(crate) fn of(core: &Core) -> Self {
        let now = core.clock.mono();
        let (owned_shards, backup_shards) = core.idem.shard_counts();
        let refusals = core.codec.refusals();
        let traffic = &core.traffic;
        let mut status = Self {
            ready: core.is_ready(),
            leaving: core.is_leaving(),
            revision: core.delivered.load(Ordering::Acquire),
            map_revision: core.idem.map_revision(),
            service_age_ms: core.service_age_ms(now),
            owned_shards,
            backup_shards,
            records: core.idem.record_count(),
            sent_frames: get(&traffic.sent_frames),
            sent_bytes: get(&traffic.sent_bytes),
            received_frames: get(&traffic.received_frames),
            received_bytes: get(&traffic.received_bytes),
            dropped_frames: get(&traffic.dropped_frames),
            refused_frames: FrameRefusal::ALL
                .map(|reason| (reason.as_str(), refusals.get(reason)))
                .to_vec(),
            map_reads: get(&traffic.map_reads),
            map_writes: get(&traffic.map_writes),
            load_polls: get(&traffic.load_polls),
            busy_us: traffic.busy_us(),
            ..Self::default()
        };
        status.keeps_audit = core.keeps_audit();
        let members = core.members.lock();
        status.sees_half = members.sees_half(now);
        status.clock_ok = members.clock_ok(now);
        status.known_regions = members.region_summaries().count();
        for update in members.members() {
            let count = match update.state {
                MemberState::Alive => &mut status.alive_members,
                MemberState::Leaving => &mut status.leaving_members,
                MemberState::Suspect => &mut status.suspect_members,
                MemberState::Dead => &mut status.dead_members,
            };
            *count += 1;
        }
        status
    }
}
