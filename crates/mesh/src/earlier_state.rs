//! States of keys from before the store was restored.

use std::sync::Arc;

use lw_base::prelude::*;
use serde::{Deserialize, Serialize};

use crate::mirror::MirrorItem;
use crate::state_version::StateVersion;

/// A state from before a restore that a mirror holds instead of the store's.
#[derive(Clone, Debug)]
pub(crate) struct HeldState {
    /// The value, or the one that was removed.
    pub(crate) item: MirrorItem,
    pub(crate) is_removed: bool,
    /// The version of the write or the removal.
    pub(crate) version: StateVersion,
    /// The revision of the key in the restored store; `None` if the store lacks the key. A change of it ends the held
    /// state.
    pub(crate) listed_revision: Option<u64>,
    /// The age of the state when it was recorded, in milliseconds since the restore was noticed.
    recorded_age_ms: u64,
    recorded_at: MonoMs,
}

/// A held state as sent to another host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EarlierState {
    /// The key.
    pub key: Arc<str>,
    /// The value, or the one that was removed.
    pub item: MirrorItem,
    /// The key had been removed.
    pub is_removed: bool,
    /// The version of the write or the removal.
    pub version: StateVersion,
    /// The revision of the key in the restored store; `None` if the store lacks the key.
    pub listed_revision: Option<u64>,
    /// The time since the restore was noticed, in milliseconds.
    pub age_ms: u64,
}

/// The input of the decision whether a state from before a restore still holds.
#[derive(Clone, Copy, Debug)]
pub struct EarlierStateView<'a> {
    /// The key.
    pub key: &'a str,
    /// The value before the restore, or the one that was removed.
    pub item: &'a MirrorItem,
    /// The key had been removed before the restore.
    pub is_removed: bool,
    /// The state in the restored store; `None` if the store lacks the key.
    pub listed: Option<&'a MirrorItem>,
    /// The time since the restore was noticed, in milliseconds.
    pub age_ms: u64,
}

impl HeldState {
    pub(crate) fn new(
        now: MonoMs,
        item: MirrorItem,
        is_removed: bool,
        version: StateVersion,
        listed: Option<&MirrorItem>,
    ) -> Self {
        Self {
            item,
            is_removed,
            version,
            listed_revision: listed.map(|item| item.version.revision),
            recorded_age_ms: 0,
            recorded_at: now,
        }
    }

    pub(crate) fn received(now: MonoMs, state: &EarlierState) -> Self {
        Self {
            item: state.item.clone(),
            is_removed: state.is_removed,
            version: state.version,
            listed_revision: state.listed_revision,
            recorded_age_ms: state.age_ms,
            recorded_at: now,
        }
    }

    pub(crate) fn to_send(&self, now: MonoMs, key: Arc<str>) -> EarlierState {
        EarlierState {
            key,
            item: self.item.clone(),
            is_removed: self.is_removed,
            version: self.version,
            listed_revision: self.listed_revision,
            age_ms: self.age_ms(now),
        }
    }

    pub(crate) fn age_ms(&self, now: MonoMs) -> u64 {
        self.recorded_age_ms + now.since_ms(self.recorded_at)
    }

    /// Returns the value; `None` if the key had been removed.
    pub(crate) fn visible_item(&self) -> Option<&MirrorItem> {
        (!self.is_removed).then_some(&self.item)
    }

    pub(crate) fn view<'a>(
        &'a self,
        now: MonoMs,
        key: &'a str,
        listed: Option<&'a MirrorItem>,
    ) -> EarlierStateView<'a> {
        EarlierStateView {
            key,
            item: &self.item,
            is_removed: self.is_removed,
            listed,
            age_ms: self.age_ms(now),
        }
    }

    /// Returns whether the key has not changed in the store since the restore.
    pub(crate) fn is_current(&self, listed: Option<&MirrorItem>) -> bool {
        self.listed_revision == listed.map(|item| item.version.revision)
    }
}
