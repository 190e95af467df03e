//! Region summaries as messages carry them.

use serde::{Deserialize, Serialize};

use crate::region_load::ServiceUse;
use crate::region_summary::RegionSummary;

/// A region summary, complete or without the parts that the receiver has from an earlier one.
///
/// Names, slots and addresses are 80% of a summary and seldom change. With complete summaries only, a relay
/// among 45 regions of five services would send and receive 24 KB/s, twice the budget of a host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RegionEntry {
    /// The complete summary.
    Full(RegionSummary),
    /// Only the parts that change with each renewal.
    Short(ShortSummary),
}

/// The parts of a region summary that change with each renewal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShortSummary {
    /// The hash of the region's name.
    pub(crate) region: u32,
    /// The version of the summary.
    pub(crate) version: u64,
    /// The hash of the other parts, see [`RegionSummary::base_hash`].
    pub(crate) base: [u8; 4],
    /// The newest configuration revision in the region.
    pub(crate) conf_revision: u64,
    /// The load, in thousandths of the capacity.
    pub(crate) load_permille: u16,
    /// The load of each service in thousandths of its slots, in the order of the complete summary.
    pub(crate) services: Vec<u16>,
}

impl ShortSummary {
    pub(crate) fn of(summary: &RegionSummary) -> Self {
        let services = summary.load.services.iter();
        Self {
            region: summary.region_hash(),
            version: summary.version,
            base: summary.base_hash(),
            conf_revision: summary.conf_revision,
            load_permille: summary.load.load_permille,
            services: services.map(|entry| entry.load_permille).collect(),
        }
    }

    /// Returns the complete summary, with the other parts taken from `known`; `None` when those parts differ from the
    /// ones that the sender has.
    pub(crate) fn applied_to(&self, known: &RegionSummary) -> Option<RegionSummary> {
        let services = &known.load.services;
        if known.base_hash() != self.base || services.len() != self.services.len() {
            return None;
        }
        let mut summary = known.clone();
        summary.version = self.version;
        summary.conf_revision = self.conf_revision;
        summary.load.load_permille = self.load_permille;
        let services = services.iter().zip(&self.services);
        summary.load.services = services
            .map(|(entry, load_permille)| ServiceUse {
                load_permille: *load_permille,
                ..*entry
            })
            .collect();
        Some(summary)
    }
}
