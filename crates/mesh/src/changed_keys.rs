//! The keys that an update of the mirror changed.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::state_version::StateVersion;

/// The keys that an update changed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ChangedKeys {
    /// Keys with a new value.
    pub written: Vec<Arc<str>>,
    /// Keys that were removed.
    pub removed: Vec<Arc<str>>,
}

impl ChangedKeys {
    /// Returns whether no key was changed.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.written.is_empty() && self.removed.is_empty()
    }

    /// Adds the keys of a later update.
    pub fn merge(&mut self, later: Self) {
        for key in later.written {
            self.push_written(&key);
        }
        for key in later.removed {
            self.push_removed(&key);
        }
    }

    /// Returns the keys whose versions differ.
    pub(crate) fn between(
        before: &BTreeMap<Arc<str>, StateVersion>,
        after: &BTreeMap<Arc<str>, StateVersion>,
    ) -> Self {
        let written = after.iter();
        let written = written.filter(|(key, version)| before.get(*key) != Some(version));
        let removed = before.keys().filter(|key| !after.contains_key(*key));
        Self {
            written: written.map(|(key, _)| key.clone()).collect(),
            removed: removed.cloned().collect(),
        }
    }

    /// Records a key by its versions before and after the update.
    pub(crate) fn record(
        &mut self,
        key: &Arc<str>,
        before: Option<StateVersion>,
        after: Option<StateVersion>,
    ) {
        match after {
            Some(_) if after != before => self.push_written(key),
            None if before.is_some() => self.push_removed(key),
            _ => {}
        }
    }

    fn push_written(&mut self, key: &Arc<str>) {
        self.removed.retain(|other| other != key);
        if !self.written.contains(key) {
            self.written.push(key.clone());
        }
    }

    fn push_removed(&mut self, key: &Arc<str>) {
        self.written.retain(|other| other != key);
        if !self.removed.contains(key) {
            self.removed.push(key.clone());
        }
    }
}
