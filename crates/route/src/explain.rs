//! The candidates of a routing decision, for operators.

use lw_base::prelude::*;

use crate::decision::Decision;

/// How a target became a candidate. Explanations for operators contain the names of the variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CandidateSource {
    /// The first owner of the prefix.
    FirstHome,
    /// The second owner of the prefix.
    SecondHome,
    /// A random draw.
    Random,
    /// The search over all targets, when no other candidate accepts the request.
    Search,
    /// No target is in service, so ejections are ignored.
    LastResort,
}

/// Why a candidate is excluded. Explanations for operators contain the names of the variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExclusionReason {
    /// A planned stop is active, or the target is marked as leaving.
    Stopped,
    /// The engine drains, is on standby or has not loaded the model.
    NotServing,
    /// The target is ejected after failures.
    Ejected,
    /// An earlier attempt of the request used the target.
    Tried,
    /// The target is in slow start, and the random draw was not within its share.
    SlowStart,
}

/// A candidate target of a decision.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CandidateTarget {
    /// The target.
    pub target: TargetKey,
    /// How it became a candidate.
    pub source: CandidateSource,
    /// Why it is excluded; `None` when it is usable.
    pub ruled_out: Option<ExclusionReason>,
    /// The estimated number of requests at the target.
    pub requests: f64,
    /// The expected wait, in milliseconds.
    pub wait_ms: f64,
    /// The expected prefill time after a prefix cache miss, in milliseconds.
    pub miss_ms: f64,
    /// The weighted cost; the lowest score is chosen.
    pub score: f64,
}

/// A region as seen by a decision.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CandidateRegion {
    /// The region.
    pub region: RegionKey,
    /// The residency rules allow the region.
    pub allowed: bool,
    /// The region has targets of the service.
    pub serves: bool,
    /// The load relative to the capacity; `None` without a recent summary.
    pub use_ratio: Option<f64>,
    /// Requests of the service may spill into the region now.
    pub takes_spill: bool,
}

/// A decision with its candidates.
#[derive(Clone, Debug, PartialEq)]
pub struct Explanation {
    /// The decision.
    pub decision: Decision,
    /// The share of requests that spill into other regions, between 0 and 1.
    pub spill_share: f64,
    /// All regions of the configuration document.
    pub regions: Vec<CandidateRegion>,
    /// The candidates in the local region, in the order in which they were considered.
    pub targets: Vec<CandidateTarget>,
}
