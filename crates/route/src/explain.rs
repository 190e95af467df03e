//! What a decision considered, for operators.

use lw_base::prelude::*;

use crate::decision::Decision;

/// How a target became a candidate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// The first rendezvous home of the prefix.
    FirstHome,
    /// The second rendezvous home of the prefix.
    SecondHome,
    /// A random draw.
    Random,
    /// The search that follows when no other candidate can take the request.
    Search,
    /// No target is in service, so the ejections do not count.
    LastResort,
}

/// Why a candidate is not considered further.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExclusionReason {
    /// A planned stop or a leaving mark covers it.
    Stopped,
    /// It is an engine that drains, stands by or lacks the model.
    NotServing,
    /// It is ejected after failures.
    Ejected,
    /// An earlier attempt of the request used it.
    Tried,
    /// Its slow start gives it a small share, and the draw did not fall into it.
    SlowStart,
}

/// One candidate of a decision.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CandidateTarget {
    /// The target.
    pub target: TargetKey,
    /// How it became a candidate.
    pub source: Source,
    /// Why it was dropped.
    pub ruled_out: Option<ExclusionReason>,
    /// The estimated number of requests at the target.
    pub requests: f64,
    /// The expected wait, in milliseconds.
    pub wait_ms: f64,
    /// The expected prefill time that a cached prefix would have saved, in milliseconds.
    pub miss_ms: f64,
    /// The weighted sum; the lowest wins.
    pub score: f64,
}

/// One region of a decision.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CandidateRegion {
    /// The region.
    pub region: RegionKey,
    /// The residency rule allows it.
    pub allowed: bool,
    /// It has targets for the service.
    pub serves: bool,
    /// Its load relative to its capacity; `None` without a recent summary.
    pub use_ratio: Option<f64>,
    /// Requests of this service may spill into it now.
    pub takes_spill: bool,
}

/// A decision and what led to it.
#[derive(Clone, Debug, PartialEq)]
pub struct Explanation {
    /// The decision.
    pub decision: Decision,
    /// The share of requests that spill into other regions.
    pub spill_share: f64,
    /// The regions.
    pub regions: Vec<CandidateRegion>,
    /// The candidates of the own region, in the order in which they were looked at.
    pub targets: Vec<CandidateTarget>,
}
