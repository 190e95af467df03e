//! Region summaries on the wire.

use serde::{Deserialize, Serialize};

use crate::region_load::ServiceUse;
use crate::region_summary::RegionSummary;

/// A region summary, whole or without what the receiver has from an earlier one.
///
/// Names, slots and addresses are 80% of a summary and seldom change. With whole summaries only, a relay of 45 regions
/// with five services took 24 KB/s, twice the budget of a node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RegionEntry {
    /// All of it.
    Full(RegionSummary),
    /// The parts that change.
    Short(ShortSummary),
}

/// The parts of a region summary that change with each renewal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShortSummary {
    /// The short hash of the region's name.
    pub(crate) region: u32,
    /// The version of the summary.
    pub(crate) version: u64,
    /// The hash of the other parts, see [`RegionSummary::base`].
    pub(crate) base: [u8; 4],
    /// The newest configuration revision in the region.
    pub(crate) conf_revision: u64,
    /// The use of the capacity in thousandths.
    pub(crate) load_permille: u16,
    /// The use of the slots of each service, in the order of the base.
    pub(crate) services: Vec<u16>,
}

impl ShortSummary {
    pub(crate) fn of(summary: &RegionSummary) -> Self {
        let services = summary.load.services.iter();
        Self {
            region: summary.short_hash(),
            version: summary.version,
            base: summary.base(),
            conf_revision: summary.conf_revision,
            load_permille: summary.load.load_permille,
            services: services.map(|entry| entry.load_permille).collect(),
        }
    }

    /// Completes the summary with the parts of an earlier one; `None` when they differ from those of the sender.
    pub(crate) fn on(&self, known: &RegionSummary) -> Option<RegionSummary> {
        let services = &known.load.services;
        if known.base() != self.base || services.len() != self.services.len() {
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
