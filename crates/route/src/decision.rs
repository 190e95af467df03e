//! Results of a decision.

use lw_base::prelude::*;

use crate::region_set::RegionSet;

/// Where a request from a caller goes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Decision {
    /// Send to this target of the own region.
    Target(TargetKey),
    /// Forward once to this region.
    Region(RegionKey),
    /// Reject; the request did not run.
    Refuse(Refusal),
}

/// Where a request that another region forwarded goes.
///
/// There is no case for a further region, so a second region hop cannot be expressed (I2).
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LocalDecision {
    /// Send to this target of the own region.
    Target(TargetKey),
    /// Reject; the request did not run.
    Refuse(Refusal),
}

/// Why a request is rejected.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Refusal {
    /// The error kind; its outcome is "not run".
    pub kind: ErrorKind,
    /// The regions whose entry hosts the caller should use; empty when no region helps.
    pub regions: RegionSet,
}

impl From<LocalDecision> for Decision {
    fn from(decision: LocalDecision) -> Self {
        match decision {
            LocalDecision::Target(target) => Self::Target(target),
            LocalDecision::Refuse(refusal) => Self::Refuse(refusal),
        }
    }
}
