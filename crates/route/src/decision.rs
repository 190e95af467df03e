//! Results of routing decisions.

use lw_base::prelude::*;

use crate::region_set::RegionSet;

/// Where a request from a caller is sent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Decision {
    /// Send to this target in the local region.
    Target(TargetKey),
    /// Forward once to this region.
    Region(RegionKey),
    /// Reject; the request did not run.
    Refuse(Refusal),
}

/// Where a request forwarded from another region is sent.
///
/// There is no variant for another region, so a second hop between regions cannot be expressed (`Invariant::NoLoop`).
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LocalDecision {
    /// Send to this target in the local region.
    Target(TargetKey),
    /// Reject; the request did not run.
    Refuse(Refusal),
}

/// Why a request is rejected.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Refusal {
    /// The error kind; the outcome of the request is "not run".
    pub kind: ErrorKind,
    /// The regions whose entry hosts the caller should use instead; empty when there are none.
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
