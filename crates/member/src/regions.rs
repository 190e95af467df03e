//! The known region summaries.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use crate::region_entry::{RegionEntry, ShortSummary};
use crate::region_summary::RegionSummary;

/// The newest summary of each region.
#[derive(Debug, Default)]
pub(crate) struct Regions {
    known: BTreeMap<Arc<str>, Known>,
    /// Regions whose summary changed since it was last passed on.
    fresh: BTreeMap<Arc<str>, Fresh>,
    /// Regions for which a short summary came that does not fit the known one.
    lacking: BTreeSet<u32>,
}

#[derive(Debug)]
struct Known {
    summary: RegionSummary,
    /// The version at which the seldom changing parts changed last.
    base_since: u64,
}

#[derive(Debug)]
struct Fresh {
    /// The host that the summary came from.
    from: Arc<str>,
    /// True when the seldom changing parts changed.
    whole: bool,
}

impl Regions {
    pub(crate) fn get(&self, region: &str) -> Option<&RegionSummary> {
        self.known.get(region).map(|known| &known.summary)
    }

    pub(crate) fn all(&self) -> impl Iterator<Item = &RegionSummary> {
        self.known.values().map(|known| &known.summary)
    }

    /// Takes an entry from a host if it is newer than the known summary.
    ///
    /// Returns the short hash of the region when the whole summary is needed.
    pub(crate) fn take_entry(&mut self, entry: RegionEntry, from: &Arc<str>) -> Option<u32> {
        match entry {
            RegionEntry::Full(summary) => self.take(summary, from),
            RegionEntry::Short(short) => {
                let Some(summary) = self.complete(&short) else {
                    self.lacking.insert(short.region);
                    return Some(short.region);
                };
                self.take(summary, from);
            }
        }
        None
    }

    /// Takes a summary from a host if it is newer than the known one.
    pub(crate) fn take(&mut self, summary: RegionSummary, from: &Arc<str>) {
        let known = self.known.get(&summary.region);
        if known.is_some_and(|known| known.summary.version >= summary.version) {
            return;
        }
        self.lacking.remove(&summary.short_hash());
        let same = known.filter(|known| known.summary.base() == summary.base());
        let base_since = same.map_or(summary.version, |known| known.base_since);
        let region = summary.region.clone();
        let waiting = self.fresh.get(&region).is_some_and(|fresh| fresh.whole);
        let fresh = Fresh {
            from: from.clone(),
            whole: waiting || same.is_none(),
        };
        self.fresh.insert(region.clone(), fresh);
        let known = Known {
            summary,
            base_since,
        };
        self.known.insert(region, known);
    }

    fn complete(&self, short: &ShortSummary) -> Option<RegionSummary> {
        let mut all = self.all();
        let known = all.find(|summary| summary.short_hash() == short.region)?;
        if known.version >= short.version {
            return Some(known.clone());
        }
        short.on(known)
    }

    /// Returns the known versions; a region that needs its whole summary counts as unknown.
    pub(crate) fn digest(&self) -> Vec<(u32, u64)> {
        let versions = self.all().map(|summary| {
            let hash = summary.short_hash();
            let lacking = self.lacking.contains(&hash);
            (hash, if lacking { 0 } else { summary.version })
        });
        versions.collect()
    }

    /// Returns the summaries that are newer than in `versions`.
    ///
    /// A digest with `only_named` is a request for the regions that it names.
    pub(crate) fn newer_than(&self, versions: &[(u32, u64)], only_named: bool) -> Vec<RegionEntry> {
        let theirs: BTreeMap<u32, u64> = versions.iter().copied().collect();
        let newer = self.known.values().filter_map(|known| {
            let theirs = theirs.get(&known.summary.short_hash()).copied();
            if theirs.is_none() && only_named {
                return None;
            }
            let theirs = theirs.unwrap_or(0);
            (known.summary.version > theirs).then(|| known.entry(theirs < known.base_since))
        });
        newer.collect()
    }

    /// Returns the own versions of the regions that are newer in `versions`.
    pub(crate) fn behind(&self, versions: &[(u32, u64)]) -> Vec<(u32, u64)> {
        let own: BTreeMap<u32, u64> = self.digest().into_iter().collect();
        let own = |hash: &u32| own.get(hash).copied().unwrap_or(0);
        let older = versions
            .iter()
            .filter(|(hash, version)| own(hash) < *version);
        older.map(|(hash, _)| (*hash, own(hash))).collect()
    }

    /// Returns and forgets the summaries that changed, with the host that each one came from.
    pub(crate) fn take_fresh(&mut self) -> Vec<(Arc<str>, RegionEntry)> {
        let fresh = std::mem::take(&mut self.fresh);
        let found = fresh.into_iter().filter_map(|(region, fresh)| {
            let known = self.known.get(&region)?;
            Some((fresh.from, known.entry(fresh.whole)))
        });
        found.collect()
    }
}

impl Known {
    fn entry(&self, whole: bool) -> RegionEntry {
        match whole {
            true => RegionEntry::Full(self.summary.clone()),
            false => RegionEntry::Short(ShortSummary::of(&self.summary)),
        }
    }
}
