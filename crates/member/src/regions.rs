//! The known region summaries.

use std::collections::BTreeMap;
use std::sync::Arc;

use lw_base::stable_hash;

use crate::region_summary::RegionSummary;

/// The newest summary of each region.
#[derive(Debug, Default)]
pub(crate) struct Regions {
    summaries: BTreeMap<Arc<str>, RegionSummary>,
    /// Regions whose summary changed since it was last passed on, and the host that it came from.
    fresh: BTreeMap<Arc<str>, Arc<str>>,
}

impl Regions {
    pub(crate) fn get(&self, region: &str) -> Option<&RegionSummary> {
        self.summaries.get(region)
    }

    pub(crate) fn all(&self) -> impl Iterator<Item = &RegionSummary> {
        self.summaries.values()
    }

    /// Takes a summary from a host if it is newer than the known one.
    pub(crate) fn take(&mut self, summary: RegionSummary, from: &Arc<str>) {
        let known = self.summaries.get(&summary.region);
        if known.is_some_and(|known| known.version >= summary.version) {
            return;
        }
        self.fresh.insert(summary.region.clone(), from.clone());
        self.summaries.insert(summary.region.clone(), summary);
    }

    pub(crate) fn digest(&self) -> Vec<(u32, u64)> {
        let all = self.summaries.values();
        all.map(|summary| (short_hash(&summary.region), summary.version))
            .collect()
    }

    /// Returns the summaries that are newer than in `versions`.
    ///
    /// A digest with `only_named` is a request for the regions that it names.
    pub(crate) fn newer_than(
        &self,
        versions: &[(u32, u64)],
        only_named: bool,
    ) -> Vec<RegionSummary> {
        let known: BTreeMap<u32, u64> = versions.iter().copied().collect();
        let newer = |summary: &&RegionSummary| match known.get(&short_hash(&summary.region)) {
            Some(version) => summary.version > *version,
            None => !only_named,
        };
        self.summaries.values().filter(newer).cloned().collect()
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
    pub(crate) fn take_fresh(&mut self) -> Vec<(Arc<str>, RegionSummary)> {
        let fresh = std::mem::take(&mut self.fresh);
        let found = fresh.into_iter().filter_map(|(region, from)| {
            let summary = self.summaries.get(&region)?;
            Some((from, summary.clone()))
        });
        found.collect()
    }
}

/// Returns the name of a region as digests carry it; names would double the size of a digest.
fn short_hash(region: &str) -> u32 {
    (stable_hash(region.as_bytes()) >> 32) as u32
}
