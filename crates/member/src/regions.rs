//! The known region summaries.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use crate::region_entry::{RegionEntry, ShortSummary};
use crate::region_summary::RegionSummary;

/// The newest summary of each region.
#[derive(Debug, Default)]
pub(crate) struct Regions {
    known: BTreeMap<Arc<str>, KnownSummary>,
    /// Regions whose summary changed since it was last sent inside the region.
    changed: BTreeMap<Arc<str>, ChangedSummary>,
    /// Hashes of the regions whose last short summary does not match the known summary.
    needs_full: BTreeSet<u32>,
}

#[derive(Debug)]
struct KnownSummary {
    summary: RegionSummary,
    /// The version at which the parts that short summaries omit last changed.
    base_version: u64,
}

#[derive(Debug)]
struct ChangedSummary {
    /// The host that sent the summary.
    from: Arc<str>,
    /// True when the parts that short summaries omit changed.
    full: bool,
}

impl Regions {
    pub(crate) fn get(&self, region: &str) -> Option<&RegionSummary> {
        self.known.get(region).map(|known| &known.summary)
    }

    pub(crate) fn all(&self) -> impl Iterator<Item = &RegionSummary> {
        self.known.values().map(|known| &known.summary)
    }

    /// Stores an entry from a host if it is newer than the known summary.
    ///
    /// Returns the hash of the region when its full summary is needed.
    pub(crate) fn insert_entry(&mut self, entry: RegionEntry, from: &Arc<str>) -> Option<u32> {
        match entry {
            RegionEntry::Full(summary) => self.insert(summary, from),
            RegionEntry::Short(short) => {
                let Some(summary) = self.complete(&short) else {
                    self.needs_full.insert(short.region);
                    return Some(short.region);
                };
                self.insert(summary, from);
            }
        }
        None
    }

    /// Stores a summary from a host if it is newer than the known one.
    pub(crate) fn insert(&mut self, summary: RegionSummary, from: &Arc<str>) {
        let known = self.known.get(&summary.region);
        if known.is_some_and(|known| known.summary.version >= summary.version) {
            return;
        }
        self.needs_full.remove(&summary.region_hash());
        let same = known.filter(|known| known.summary.base_hash() == summary.base_hash());
        let base_version = same.map_or(summary.version, |known| known.base_version);
        let region = summary.region.clone();
        let full_pending = self
            .changed
            .get(&region)
            .is_some_and(|changed| changed.full);
        let changed = ChangedSummary {
            from: from.clone(),
            full: full_pending || same.is_none(),
        };
        self.changed.insert(region.clone(), changed);
        let known = KnownSummary {
            summary,
            base_version,
        };
        self.known.insert(region, known);
    }

    fn complete(&self, short: &ShortSummary) -> Option<RegionSummary> {
        let mut all = self.all();
        let known = all.find(|summary| summary.region_hash() == short.region)?;
        if known.version >= short.version {
            return Some(known.clone());
        }
        short.applied_to(known)
    }

    /// Returns the known versions, with 0 for a region whose full summary is needed.
    pub(crate) fn digest(&self) -> Vec<(u32, u64)> {
        let versions = self.all().map(|summary| {
            let hash = summary.region_hash();
            let needs_full = self.needs_full.contains(&hash);
            (hash, if needs_full { 0 } else { summary.version })
        });
        versions.collect()
    }

    /// Returns the summaries that are newer than their versions in `versions`.
    ///
    /// With `only_listed`, regions that `versions` does not list are left out.
    pub(crate) fn newer_than(
        &self,
        versions: &[(u32, u64)],
        only_listed: bool,
    ) -> Vec<RegionEntry> {
        let theirs: BTreeMap<u32, u64> = versions.iter().copied().collect();
        let newer = self.known.values().filter_map(|known| {
            let theirs = theirs.get(&known.summary.region_hash()).copied();
            if theirs.is_none() && only_listed {
                return None;
            }
            let theirs = theirs.unwrap_or(0);
            (known.summary.version > theirs).then(|| known.entry(theirs < known.base_version))
        });
        newer.collect()
    }

    /// Returns the versions that this host has of the regions for which `versions` has a newer one.
    pub(crate) fn versions_behind(&self, versions: &[(u32, u64)]) -> Vec<(u32, u64)> {
        let own: BTreeMap<u32, u64> = self.digest().into_iter().collect();
        let own = |hash: &u32| own.get(hash).copied().unwrap_or(0);
        let older = versions
            .iter()
            .filter(|(hash, version)| own(hash) < *version);
        older.map(|(hash, _)| (*hash, own(hash))).collect()
    }

    /// Removes and returns the changed summaries, each with the host that sent it.
    pub(crate) fn take_changed(&mut self) -> Vec<(Arc<str>, RegionEntry)> {
        let changed = std::mem::take(&mut self.changed);
        let found = changed.into_iter().filter_map(|(region, changed)| {
            let known = self.known.get(&region)?;
            Some((changed.from, known.entry(changed.full)))
        });
        found.collect()
    }
}

impl KnownSummary {
    fn entry(&self, full: bool) -> RegionEntry {
        match full {
            true => RegionEntry::Full(self.summary.clone()),
            false => RegionEntry::Short(ShortSummary::of(&self.summary)),
        }
    }
}
