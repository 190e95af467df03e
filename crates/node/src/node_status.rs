//! The status of a node.

use std::sync::atomic::Ordering;

use lw_member::MemberState;
use lw_peer::FrameRefusal;

use crate::control_counters::get;
use crate::core::Core;

/// The status of a node for metrics and status pages. Counters start at 0 when the node starts.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct NodeStatus {
    /// Whether a configuration is in force that is at least as new as the one that was stored at startup.
    pub ready: bool,
    /// Whether the node is leaving.
    pub leaving: bool,
    /// The revision in force, 0 for none.
    pub revision: u64,
    /// The revision of the shard map of this host, 0 for none.
    pub map_revision: u64,
    /// Other members that are alive.
    pub alive_members: usize,
    /// Members that are leaving.
    pub leaving_members: usize,
    /// Members that are suspected.
    pub suspect_members: usize,
    /// Members that are dead.
    pub dead_members: usize,
    /// Whether at least half of the last known members answered recently.
    pub sees_half: bool,
    /// Whether the wall clock agrees with the region.
    pub clock_ok: bool,
    /// Whether this host compacts and removes old audit entries for all regions.
    pub runs_audit_retention: bool,
    /// Milliseconds since the last answer of the key-value service; `None` without an answer.
    pub service_age_ms: Option<u64>,
    /// Shards that this host owns.
    pub owned_shards: usize,
    /// Shards for which this host is the backup.
    pub backup_shards: usize,
    /// Records of idempotency keys.
    pub records: usize,
    /// Regions whose summary is known, including the region of this host.
    pub known_regions: usize,
    /// Frames sent.
    pub sent_frames: u64,
    /// Bytes sent in frames.
    pub sent_bytes: u64,
    /// Frames received, including refused ones.
    pub received_frames: u64,
    /// Bytes received in frames.
    pub received_bytes: u64,
    /// Frames that were not sent because encoding failed, a queue was full or the address was unreachable.
    pub dropped_frames: u64,
    /// Received frames that were refused, by reason.
    pub refused_frames: Vec<(&'static str, u64)>,
    /// Reads of the shard map.
    pub map_reads: u64,
    /// Writes of the shard map.
    pub map_writes: u64,
    /// Polls of targets for their load.
    pub load_polls: u64,
    /// Time spent on control messages and periodic control work, in microseconds.
    pub busy_us: u64,
}

impl NodeStatus {
    pub(crate) fn of(core: &Core) -> Self {
        let now = core.clock.mono();
        let (owned_shards, backup_shards) = core.idem.shard_counts();
        let refusals = core.codec.refusals();
        let counters = &core.counters;
        let mut status = Self {
            ready: core.is_ready(),
            leaving: core.is_leaving(),
            revision: core.delivered_revision.load(Ordering::Acquire),
            map_revision: core.idem.map_revision(),
            service_age_ms: core.kv_answer_age_ms(now),
            owned_shards,
            backup_shards,
            records: core.idem.record_count(),
            sent_frames: get(&counters.sent_frames),
            sent_bytes: get(&counters.sent_bytes),
            received_frames: get(&counters.received_frames),
            received_bytes: get(&counters.received_bytes),
            dropped_frames: get(&counters.dropped_frames),
            refused_frames: FrameRefusal::ALL
                .map(|reason| (reason.as_str(), refusals.get(reason)))
                .to_vec(),
            map_reads: get(&counters.map_reads),
            map_writes: get(&counters.map_writes),
            load_polls: get(&counters.load_polls),
            busy_us: counters.busy_us(),
            ..Self::default()
        };
        status.runs_audit_retention = core.runs_audit_retention();
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
