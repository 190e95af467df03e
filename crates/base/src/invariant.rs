//! Invariants that are checked at run time, with a violation counter for each.

use std::sync::atomic::{AtomicU64, Ordering};

/// An invariant of the gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Invariant {
    /// A request never leaves the regions that its residency rule allows.
    Residency,
    /// No request is forwarded in a loop.
    NoLoop,
    /// An isolated region continues to serve its own callers.
    IsolatedRegionServes,
    /// Each caller receives the complete response to its own request.
    WholeAnswer,
    /// A request with the reported outcome "not run" did not run.
    NotRunIsTrue,
    /// A non-idempotent request runs at most once.
    AtMostOnce,
    /// A leaving target receives no new requests after 3 s.
    LeavingTargetIdle,
    /// A planned stop aborts no in-flight request.
    GracefulStop,
    /// The configuration revision of a host never decreases.
    RevisionNeverReverts,
    /// Every accepted request ends in exactly one outcome.
    OneOutcome,
    /// No two lease holders act under the same epoch, which is the fencing number of a lease grant.
    OneHolder,
}

impl Invariant {
    /// All invariants.
    pub const ALL: [Self; 11] = [
        Self::Residency,
        Self::NoLoop,
        Self::IsolatedRegionServes,
        Self::WholeAnswer,
        Self::NotRunIsTrue,
        Self::AtMostOnce,
        Self::LeavingTargetIdle,
        Self::GracefulStop,
        Self::RevisionNeverReverts,
        Self::OneOutcome,
        Self::OneHolder,
    ];

    /// Returns the metric label of the invariant.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Residency => "residency",
            Self::NoLoop => "no-loop",
            Self::IsolatedRegionServes => "isolated-region-serves",
            Self::WholeAnswer => "whole-answer",
            Self::NotRunIsTrue => "not-run-is-true",
            Self::AtMostOnce => "at-most-once",
            Self::LeavingTargetIdle => "leaving-target-idle",
            Self::GracefulStop => "graceful-stop",
            Self::RevisionNeverReverts => "revision-never-reverts",
            Self::OneOutcome => "one-outcome",
            Self::OneHolder => "one-holder",
        }
    }
}

static VIOLATION_COUNTS: [AtomicU64; 11] = [const { AtomicU64::new(0) }; 11];

/// Counts a violation of `invariant` and logs `detail`.
///
/// Does not abort the process: a crash would lose many requests because of a single incorrect one. Tests and benchmarks
/// assert that the counts are zero.
pub fn report_violation(invariant: Invariant, detail: impl std::fmt::Display) {
    VIOLATION_COUNTS[invariant as usize].fetch_add(1, Ordering::Relaxed);
    log::error!("invariant: {} violated: {detail}", invariant.as_str());
}

/// Returns the number of violations of `invariant` in this process.
#[must_use]
pub fn violation_count(invariant: Invariant) -> u64 {
    VIOLATION_COUNTS[invariant as usize].load(Ordering::Relaxed)
}
