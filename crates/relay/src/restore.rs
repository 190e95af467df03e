//! Decides how long the state from before a restore of the platform's store holds.
//!
//! A restored store lacks the last seconds of its history until the writers repeat what they wrote. Believing it at once
//! would bring back an older configuration, targets that have left, and evacuations that have ended.

/// What a key of the platform's store holds, with what the decision depends on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EarlierKind {
    /// The configuration, with its versions before the restore and in the restored store, where they can be read.
    Configuration {
        /// The version before the restore.
        earlier: Option<u64>,
        /// The version in the restored store.
        listed: Option<u64>,
    },
    /// The entry of a target.
    Target {
        /// The order of the entry before the restore, or of the one that was removed.
        earlier: EntryOrder,
        /// The entry had been removed before the restore.
        is_removed: bool,
        /// The order of the entry in the restored store; `None` if the store has none.
        listed: Option<EntryOrder>,
    },
    /// The evacuation of an availability zone.
    Evacuation {
        /// The evacuation is in force either before the restore or in the restored store, but not in both.
        is_changed: bool,
    },
    /// A key on which no decision of this host depends.
    Other,
}

/// The order in which the entries of one target were written: by the start of its process, then by the sequence number
/// of the entry.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct EntryOrder {
    /// The wall-clock time at which the target's process started, in milliseconds since the Unix epoch.
    pub started_at_ms: u64,
    /// The number that rises with the writes of the process.
    pub sequence: u64,
}

/// The time limits for states from before a restore.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RestoreLimits {
    /// The entry of a target that has left is gone from a restored store after this time, in milliseconds.
    pub target_expiry_ms: u64,
    /// Operators have repeated their writes after this time, in milliseconds.
    pub operator_repeat_ms: u64,
}

/// Targets write their entries again within this time after the store's return, in milliseconds.
const TARGET_RETURN_MS: u64 = 2_000;
/// An entry expires after this many heartbeat intervals without a heartbeat of its target.
const EXPIRY_HEARTBEATS: u64 = 3;

impl RestoreLimits {
    /// Returns the limits for targets with this heartbeat interval, and for operators who repeat a write for
    /// `operator_repeat_ms` until it is acknowledged.
    #[must_use]
    pub fn new(target_heartbeat_ms: u64, operator_repeat_ms: u64) -> Self {
        Self {
            target_expiry_ms: EXPIRY_HEARTBEATS * target_heartbeat_ms + TARGET_RETURN_MS,
            operator_repeat_ms,
        }
    }
}

/// Returns whether the state from before a restore holds instead of the store's, `age_ms` milliseconds after the restore
/// was noticed. It is asked only while the key is unchanged in the restored store.
#[must_use]
pub fn is_earlier_state_valid(kind: EarlierKind, age_ms: u64, limits: RestoreLimits) -> bool {
    match kind {
        // A host never goes back to an older configuration, however long the operator takes to write it again.
        EarlierKind::Configuration { earlier, listed } => earlier > listed,
        // Live targets write their entries again; one that is still missing then has left.
        EarlierKind::Target { listed: None, .. } => age_ms < TARGET_RETURN_MS,
        // Either the target has left, and the entry in the copy expires, or it lives and the entry stays.
        EarlierKind::Target {
            earlier,
            is_removed,
            listed: Some(listed),
        } => {
            let is_earlier_process = listed.started_at_ms <= earlier.started_at_ms;
            let is_older = match is_removed {
                true => is_earlier_process,
                false => listed < earlier,
            };
            is_older && age_ms < limits.target_expiry_ms
        }
        EarlierKind::Evacuation { is_changed } => is_changed && age_ms < limits.operator_repeat_ms,
        EarlierKind::Other => false,
    }
}
