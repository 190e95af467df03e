//! A host's copy of the platform's key-value state.

use std::collections::{BTreeMap, VecDeque};
use std::ops::Bound;
use std::sync::Arc;

use bytes::Bytes;
use lw_base::prelude::*;
use serde::{Deserialize, Serialize};

use crate::changed_keys::ChangedKeys;
use crate::earlier_state::{EarlierState, EarlierStateView, HeldState};
use crate::mirror_update::MirrorUpdate;
use crate::state_version::StateVersion;

/// The value of a key with the revision of its last write.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    /// The value as written.
    pub value: Bytes,
    /// The revision of the write.
    pub revision: u64,
}

/// The value of a key with the version at which the mirror first saw it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MirrorItem {
    /// The value as written.
    pub value: Bytes,
    /// The version of the write. An item that a restored copy still contains unchanged keeps its version.
    pub version: StateVersion,
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

impl KeyChange {
    fn size_bytes(&self) -> usize {
        self.key.len() + self.value.as_ref().map_or(0, Bytes::len)
    }
}

/// All keys and values, read from the platform or from another host.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Listing {
    /// The listing contains every change up to this version: that of its oldest page. Single items may be newer,
    /// because the pages of a listing are not read from one snapshot.
    pub as_of: StateVersion,
    /// The items by key.
    pub items: BTreeMap<Arc<str>, Item>,
}

/// The number of changes kept for other hosts: a few seconds of changes in a busy deployment.
const MAX_RECENT_CHANGES: usize = 256;
/// The size of the changes kept for other hosts, in bytes. Hosts that lack more get the whole state.
const MAX_RECENT_BYTES: usize = 4 * 1024 * 1024;
/// The removal of a key is remembered for this long, in milliseconds. A store is restored from a copy that is some
/// seconds old, which may contain the key again.
const REMOVAL_MEMORY_MS: u64 = 60_000;

/// The removal of a key.
#[derive(Clone, Debug)]
struct Removal {
    /// The value that was removed.
    former: MirrorItem,
    /// The version of the removal, or of the listing that lacked the key.
    version: StateVersion,
    /// The removal was read in a listing, so the key may have been written after `former`.
    is_from_listing: bool,
    removed_at: MonoMs,
}

/// A copy of the platform's state that never reverts to an older version.
///
/// When the store is restored from a copy, its state goes back by some seconds, until the writers have repeated what
/// the copy lacks. The mirror then holds the earlier state of each key that differs, and returns it instead of the
/// store's, until the key is written again or [`Mirror::end_earlier_states`] gives it up.
#[derive(Clone, Debug, Default)]
pub struct Mirror {
    as_of: StateVersion,
    /// The items as the store has them.
    items: BTreeMap<Arc<str>, MirrorItem>,
    /// The states from earlier eras that hold instead of the store's.
    earlier: BTreeMap<Arc<str>, HeldState>,
    removals: BTreeMap<Arc<str>, Removal>,
    /// The mirror has seen an earlier era than the current one, or has got the earlier states of a host that has.
    knows_earlier_era: bool,
    /// The most recent changes; every change after `recent_after` is included.
    recent: VecDeque<KeyChange>,
    recent_bytes: usize,
    recent_after: u64,
}

impl Mirror {
    /// Returns the version up to which the mirror contains every change; the default before the first listing.
    #[must_use]
    pub fn as_of(&self) -> StateVersion {
        self.as_of
    }

    /// Returns whether the mirror contains a listing.
    #[must_use]
    pub fn is_listed(&self) -> bool {
        self.as_of > StateVersion::default()
    }

    /// Returns the number of keys whose earlier state holds instead of the store's.
    #[must_use]
    pub fn earlier_states(&self) -> usize {
        self.earlier.len()
    }

    /// Returns whether the mirror should get the earlier states of another host, because it began in the current era.
    #[must_use]
    pub fn lacks_earlier_states(&self) -> bool {
        self.is_listed() && !self.knows_earlier_era
    }

    /// Returns the update for a host whose mirror contains every change up to `known`, or `None` if that mirror is not
    /// older.
    #[must_use]
    pub fn update_after(&self, now: MonoMs, known: StateVersion) -> Option<MirrorUpdate> {
        if self.as_of <= known {
            return None;
        }
        if known.era < self.as_of.era || known.revision < self.recent_after {
            return Some(MirrorUpdate::Listing {
                listing: self.listing(),
                earlier: self.earlier_to_send(now),
            });
        }
        let changes = self.recent.iter();
        let changes = changes.filter(|change| change.revision > known.revision);
        Some(MirrorUpdate::Changes {
            changes: changes.cloned().collect(),
            as_of: self.as_of,
        })
    }

    /// Applies an update from another host. An update never reverts the mirror to an older version.
    pub fn apply_update(&mut self, now: MonoMs, update: MirrorUpdate) -> ChangedKeys {
        match update {
            MirrorUpdate::Changes { changes, as_of } => self.apply_changes(now, changes, as_of),
            MirrorUpdate::Listing { listing, earlier } => {
                let era = listing.as_of.era;
                // States that this host has given up must not come back from a host that still holds them.
                let is_new_era = era > self.as_of.era || !self.knows_earlier_era;
                let known = match self.is_listed() && era > self.as_of.era {
                    true => self.known_versions(),
                    false => BTreeMap::new(),
                };
                let mut changed = self.replace(now, listing);
                if is_new_era && era == self.as_of.era {
                    changed.merge(self.adopt(now, earlier, &known));
                }
                changed
            }
        }
    }

    /// Returns the value and version of a key.
    #[must_use]
    pub fn get(&self, key: &str) -> Option<&MirrorItem> {
        match self.earlier.get(key) {
            Some(held) => held.visible_item(),
            None => self.items.get(key),
        }
    }

    /// Iterates over the items whose keys start with `prefix`.
    pub fn with_prefix<'a>(
        &'a self,
        prefix: &'a str,
    ) -> impl Iterator<Item = (&'a Arc<str>, &'a MirrorItem)> {
        let listed =
            keys_from(&self.items, prefix).filter_map(|(key, _)| Some((key, self.get(key)?)));
        let unlisted = keys_from(&self.earlier, prefix)
            .filter(|(key, _)| !self.items.contains_key(*key))
            .filter_map(|(key, held)| Some((key, held.visible_item()?)));
        listed.chain(unlisted)
    }

    /// Applies the changes from a watch, which must include every change after [`Self::as_of`] up to `as_of`. Changes
    /// of another era are ignored.
    pub fn apply_changes(
        &mut self,
        now: MonoMs,
        changes: Vec<KeyChange>,
        as_of: StateVersion,
    ) -> ChangedKeys {
        let mut changed = ChangedKeys::default();
        // The first changes of an empty mirror come from the beginning of the store's history.
        let is_first = !self.is_listed();
        if as_of.era != self.as_of.era && !is_first {
            return changed;
        }
        self.as_of.era = as_of.era;
        for change in changes {
            self.apply_change(now, change, &mut changed);
        }
        self.as_of.revision = self.as_of.revision.max(as_of.revision);
        changed
    }

    /// Replaces the state with a listing. A listing older than the mirror is ignored.
    pub fn replace(&mut self, now: MonoMs, listing: Listing) -> ChangedKeys {
        if listing.as_of < self.as_of {
            return ChangedKeys::default();
        }
        let before = self.visible_versions();
        let is_restored = self.is_listed() && listing.as_of.era > self.as_of.era;
        let former = std::mem::take(&mut self.items);
        for (key, item) in listing.items {
            let known = former.get(&key);
            let is_same = |known: &&MirrorItem| {
                known.version.revision == item.revision && known.value == item.value
            };
            let item = match known.filter(is_same) {
                Some(known) => known.clone(),
                None => MirrorItem {
                    value: item.value,
                    version: StateVersion {
                        era: listing.as_of.era,
                        revision: item.revision,
                    },
                },
            };
            self.items.insert(key, item);
        }
        if is_restored {
            self.hold_earlier_states(now, former);
        } else {
            self.keep_newer_items(now, former, listing.as_of);
        }
        self.as_of = listing.as_of;
        self.recent.clear();
        self.recent_bytes = 0;
        self.recent_after = self.as_of.revision;
        let items = &self.items;
        self.earlier
            .retain(|key, held| held.is_current(items.get(key)));
        ChangedKeys::between(&before, &self.visible_versions())
    }

    /// Gives up the earlier states for which `holds` returns false.
    pub fn end_earlier_states(
        &mut self,
        now: MonoMs,
        holds: impl Fn(&EarlierStateView<'_>) -> bool,
    ) -> ChangedKeys {
        let mut changed = ChangedKeys::default();
        let mut removed = Vec::new();
        let items = &self.items;
        self.earlier.retain(|key, held| {
            let listed = items.get(key);
            let is_held = holds(&held.view(now, key, listed));
            if !is_held {
                let before = held.visible_item().map(|item| item.version);
                changed.record(key, before, listed.map(|item| item.version));
                if !held.is_removed && listed.is_none() {
                    removed.push((key.clone(), held.item.clone()));
                }
            }
            is_held
        });
        for (key, former) in removed {
            self.record_removal(now, key, former, self.as_of, true);
        }
        changed
    }

    /// Holds the states of the former era that the restored store lacks or has replaced by older ones.
    fn hold_earlier_states(&mut self, now: MonoMs, mut former: BTreeMap<Arc<str>, MirrorItem>) {
        // A later revision than the known one was written after the restore, because this mirror had every change of the
        // former era. That is not known of a state that comes from an earlier era itself.
        let is_complete = self.earlier.is_empty();
        let mut earlier = BTreeMap::new();
        for (key, held) in std::mem::take(&mut self.earlier) {
            former.remove(&key);
            let listed = self.items.get(&key);
            let value = held.visible_item().map(|item| &item.value);
            if value != listed.map(|item| &item.value) {
                let held = HeldState::new(now, held.item, held.is_removed, held.version, listed);
                earlier.insert(key, held);
            }
        }
        for (key, item) in former {
            let listed = self.items.get(&key);
            let is_written_again = listed.is_some_and(|listed| {
                listed.value == item.value
                    || (is_complete && listed.version.revision >= item.version.revision)
            });
            if !is_written_again {
                let version = item.version;
                earlier.insert(key, HeldState::new(now, item, false, version, listed));
            }
        }
        for (key, removal) in std::mem::take(&mut self.removals) {
            if now.since_ms(removal.removed_at) >= REMOVAL_MEMORY_MS {
                continue;
            }
            let listed = self.items.get(&key);
            let former = &removal.former;
            let last_revision = match removal.is_from_listing {
                true => removal.version.revision,
                false => former.version.revision,
            };
            let is_removal_lost = listed.is_some_and(|listed| {
                let is_older = listed.version.revision < last_revision;
                !is_complete || is_older || listed.value == former.value
            });
            if is_removal_lost && !earlier.contains_key(&key) {
                let held = HeldState::new(now, former.clone(), true, removal.version, listed);
                earlier.insert(key.clone(), held);
            }
            if is_removal_lost || listed.is_none() {
                self.removals.insert(key, removal);
            }
        }
        self.earlier = earlier;
        self.knows_earlier_era = true;
    }

    /// Keeps the items of the same era that are newer than a listing: it may have read a key before its last write,
    /// which a watch has already delivered.
    fn keep_newer_items(
        &mut self,
        now: MonoMs,
        former: BTreeMap<Arc<str>, MirrorItem>,
        listed_at: StateVersion,
    ) {
        for (key, known) in former {
            let listed = self.items.get(&key);
            if listed.is_some_and(|listed| listed.version.revision >= known.version.revision) {
                continue;
            }
            if known.version.revision > listed_at.revision {
                self.items.insert(key, known);
            } else if listed.is_none() {
                self.record_removal(now, key, known, listed_at, true);
            }
        }
        let (items, earlier) = (&self.items, &self.earlier);
        self.removals
            .retain(|key, _| earlier.contains_key(key) || !items.contains_key(key));
    }

    /// Takes over the earlier states of another host for keys that have not changed in the current era.
    ///
    /// `known` holds the versions of the states that this host knew before it entered the era.
    fn adopt(
        &mut self,
        now: MonoMs,
        earlier: Vec<EarlierState>,
        known: &BTreeMap<Arc<str>, StateVersion>,
    ) -> ChangedKeys {
        let before = self.visible_versions();
        self.knows_earlier_era = true;
        for state in earlier {
            let held = HeldState::received(now, &state);
            let is_newer = known
                .get(&state.key)
                .is_none_or(|known| *known < held.version);
            // This host has seen a later removal of the key, or the removal of this very value.
            let is_removed = self.removals.get(&state.key).is_some_and(|removal| {
                removal.version > held.version || removal.former.value == held.item.value
            });
            if !is_newer || is_removed || !held.is_current(self.items.get(&state.key)) {
                continue;
            }
            if held.is_removed {
                let former = held.item.clone();
                self.record_removal(now, state.key.clone(), former, held.version, true);
            }
            self.earlier.insert(state.key, held);
        }
        ChangedKeys::between(&before, &self.visible_versions())
    }

    fn listing(&self) -> Listing {
        let items = self.items.iter().map(|(key, item)| {
            let listed = Item {
                value: item.value.clone(),
                revision: item.version.revision,
            };
            (key.clone(), listed)
        });
        Listing {
            as_of: self.as_of,
            items: items.collect(),
        }
    }

    fn earlier_to_send(&self, now: MonoMs) -> Vec<EarlierState> {
        let earlier = self.earlier.iter();
        earlier
            .map(|(key, held)| held.to_send(now, key.clone()))
            .collect()
    }

    fn visible_versions(&self) -> BTreeMap<Arc<str>, StateVersion> {
        let items = self.with_prefix("");
        items
            .map(|(key, item)| (key.clone(), item.version))
            .collect()
    }

    /// Returns the versions of the visible states of keys, including those of removals.
    fn known_versions(&self) -> BTreeMap<Arc<str>, StateVersion> {
        let removals = self.removals.iter();
        let mut known: BTreeMap<Arc<str>, StateVersion> = removals
            .map(|(key, removal)| (key.clone(), removal.version))
            .collect();
        known.extend(self.visible_versions());
        let held = self.earlier.iter();
        known.extend(held.map(|(key, held)| (key.clone(), held.version)));
        known
    }

    fn record_removal(
        &mut self,
        now: MonoMs,
        key: Arc<str>,
        former: MirrorItem,
        version: StateVersion,
        is_from_listing: bool,
    ) {
        self.removals
            .retain(|_, removal| now.since_ms(removal.removed_at) < REMOVAL_MEMORY_MS);
        let removal = Removal {
            former,
            version,
            is_from_listing,
            removed_at: now,
        };
        self.removals.insert(key, removal);
    }

    fn push_recent(&mut self, change: KeyChange) {
        self.recent_bytes += change.size_bytes();
        self.recent.push_back(change);
        while self.recent.len() > MAX_RECENT_CHANGES || self.recent_bytes > MAX_RECENT_BYTES {
            let Some(oldest) = self.recent.pop_front() else {
                return;
            };
            self.recent_bytes -= oldest.size_bytes();
            self.recent_after = self.recent_after.max(oldest.revision);
        }
    }

    fn apply_change(&mut self, now: MonoMs, change: KeyChange, changed: &mut ChangedKeys) {
        if change.revision <= self.as_of.revision {
            return;
        }
        // Another host may lack a change that a newer page of the listing already contained.
        self.push_recent(change.clone());
        let known = self.items.get(&change.key);
        let known = known.map(|item| item.version.revision);
        if known >= Some(change.revision) {
            return;
        }
        let KeyChange {
            key,
            revision,
            value,
        } = change;
        let before = self.get(&key).map(|item| item.version);
        // The key was written or removed again in this era.
        self.earlier.remove(&key);
        match value {
            Some(value) => {
                let version = StateVersion {
                    era: self.as_of.era,
                    revision,
                };
                self.items
                    .insert(key.clone(), MirrorItem { value, version });
                self.removals.remove(&key);
            }
            None => {
                if let Some(known) = self.items.remove(&key) {
                    let version = StateVersion {
                        era: self.as_of.era,
                        revision,
                    };
                    self.record_removal(now, key.clone(), known, version, false);
                }
            }
        }
        let after = self.get(&key).map(|item| item.version);
        changed.record(&key, before, after);
    }
}

fn keys_from<'a, T>(
    map: &'a BTreeMap<Arc<str>, T>,
    prefix: &'a str,
) -> impl Iterator<Item = (&'a Arc<str>, &'a T)> {
    let keys = map.range::<str, _>((Bound::Included(prefix), Bound::Unbounded));
    keys.take_while(move |(key, _)| key.starts_with(prefix))
}
