//! A host's copy of the platform's key-value state.

use std::collections::{BTreeMap, VecDeque};
use std::ops::Bound;
use std::sync::Arc;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// The value of a key with the revision of its last write.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    /// The value as written.
    pub value: Bytes,
    /// The revision of the write.
    pub revision: u64,
}

/// One write or removal of a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyChange {
    /// The key.
    pub key: Arc<str>,
    /// The revision of the change.
    pub revision: u64,
    /// The new value; `None` when the key was removed.
    pub value: Option<Bytes>,
}

/// All keys and values, read from the platform or from another host.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listing {
    /// The listing contains every change up to this revision. Single items may be newer, because the pages of a listing
    /// are not read from one snapshot.
    pub as_of: u64,
    /// The items by key.
    pub items: BTreeMap<Arc<str>, Item>,
}

/// An update from a host to another host whose mirror is older.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MirrorUpdate {
    /// The changes after the revision of the other host's mirror.
    Changes {
        /// The changes, in revision order.
        changes: Vec<KeyChange>,
        /// The mirror contains every change up to this revision once the changes are applied.
        as_of: u64,
    },
    /// All keys and values.
    Listing(Listing),
}

/// The number of changes kept for other hosts: a few seconds of changes in a busy deployment.
const MAX_RECENT_CHANGES: usize = 256;

/// The keys that an update changed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ChangedKeys {
    /// Keys with a new value.
    pub written: Vec<Arc<str>>,
    /// Keys that were removed.
    pub removed: Vec<Arc<str>>,
}

/// A copy of the platform's state that never reverts to an older revision.
#[derive(Clone, Debug, Default)]
pub struct Mirror {
    listing: Listing,
    /// The most recent changes; every change after `recent_after` is included.
    recent: VecDeque<KeyChange>,
    recent_after: u64,
}

impl Mirror {
    /// Returns the revision up to which the mirror contains every change; zero before the first listing.
    #[must_use]
    pub fn as_of(&self) -> u64 {
        self.listing.as_of
    }

    /// Returns the update for a host whose mirror contains every change up to `known`, or `None` if that mirror is not
    /// older.
    #[must_use]
    pub fn update_after(&self, known: u64) -> Option<MirrorUpdate> {
        if self.listing.as_of <= known {
            return None;
        }
        if known < self.recent_after {
            return Some(MirrorUpdate::Listing(self.listing.clone()));
        }
        let changes = self.recent.iter();
        let changes = changes.filter(|change| change.revision > known);
        Some(MirrorUpdate::Changes {
            changes: changes.cloned().collect(),
            as_of: self.listing.as_of,
        })
    }

    /// Applies an update from another host. An update never reverts the mirror to an older state.
    pub fn apply_update(&mut self, update: MirrorUpdate) -> ChangedKeys {
        match update {
            MirrorUpdate::Changes { changes, as_of } => self.apply_changes(changes, as_of),
            MirrorUpdate::Listing(listing) => self.replace(listing),
        }
    }

    /// Returns the value and revision of a key.
    #[must_use]
    pub fn get(&self, key: &str) -> Option<&Item> {
        self.listing.items.get(key)
    }

    /// Iterates over the items whose keys start with `prefix`, in key order.
    pub fn with_prefix<'a>(
        &'a self,
        prefix: &'a str,
    ) -> impl Iterator<Item = (&'a Arc<str>, &'a Item)> {
        let keys = self
            .listing
            .items
            .range::<str, _>((Bound::Included(prefix), Bound::Unbounded));
        keys.take_while(move |(key, _)| key.starts_with(prefix))
    }

    /// Applies the changes from a watch, which must include every change after [`Self::as_of`] up to `as_of`.
    pub fn apply_changes(&mut self, changes: Vec<KeyChange>, as_of: u64) -> ChangedKeys {
        let mut changed = ChangedKeys::default();
        for change in changes {
            self.apply_change(change, &mut changed);
        }
        self.listing.as_of = self.listing.as_of.max(as_of);
        changed
    }

    /// Replaces the state with a listing. A listing older than the mirror is ignored.
    pub fn replace(&mut self, listing: Listing) -> ChangedKeys {
        let mut changed = ChangedKeys::default();
        if listing.as_of < self.listing.as_of {
            return changed;
        }
        for (key, item) in &listing.items {
            let known = self.listing.items.get(key).map(|known| known.revision);
            if known.is_none_or(|known| known < item.revision) {
                changed.written.push(key.clone());
            }
        }
        let mut items = listing.items;
        for (key, known) in &self.listing.items {
            match items.get(key) {
                Some(item) if item.revision >= known.revision => {}
                // The listing may have read this key before its last write, which a watch has already delivered.
                _ if known.revision > listing.as_of => {
                    items.insert(key.clone(), known.clone());
                }
                Some(_) => {}
                None => changed.removed.push(key.clone()),
            }
        }
        self.listing = Listing {
            as_of: listing.as_of,
            items,
        };
        self.recent.clear();
        self.recent_after = self.listing.as_of;
        changed
    }

    fn push_recent(&mut self, change: KeyChange) {
        if self.recent.len() == MAX_RECENT_CHANGES
            && let Some(oldest) = self.recent.pop_front()
        {
            self.recent_after = self.recent_after.max(oldest.revision);
        }
        self.recent.push_back(change);
    }

    fn apply_change(&mut self, change: KeyChange, changed: &mut ChangedKeys) {
        let known = self
            .listing
            .items
            .get(&change.key)
            .map(|item| item.revision);
        if change.revision <= self.listing.as_of || known >= Some(change.revision) {
            return;
        }
        self.push_recent(change.clone());
        match change.value {
            Some(value) => {
                let item = Item {
                    value,
                    revision: change.revision,
                };
                changed.removed.retain(|key| *key != change.key);
                changed.written.push(change.key.clone());
                self.listing.items.insert(change.key, item);
            }
            None => {
                if self.listing.items.remove(&change.key).is_some() {
                    changed.written.retain(|key| *key != change.key);
                    changed.removed.push(change.key);
                }
            }
        }
    }
}
