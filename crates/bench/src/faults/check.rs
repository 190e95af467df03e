//! The invariants that a fault-injection run checks.

/// A check that runs while faults are injected, with the [`lw_base::Invariant`] that it belongs to, if any.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Check {
    /// Every idempotency key of an order ran at most once (`AtMostOnce`).
    AtMostOnce,
    /// No order with the outcome `not-run` ran (`NotRunIsTrue`).
    NotRunIsTrue,
    /// Every request ends in exactly one outcome; only a killed host may leave a request without one (`OneOutcome`).
    OneOutcome,
    /// Every request ends within its deadline plus a margin.
    Deadline,
    /// Responses are complete and belong to their request (`WholeAnswer`).
    WholeAnswer,
    /// Requests of customers with a home region reach only targets of that region (`Residency`).
    Bound,
    /// A stricter residency rule also applies to queued requests (`Residency`).
    StricterResidency,
    /// A target in a planned stop receives no request from 3 s after the start of the stop (`LeavingTargetIdle`).
    StoppedTarget,
    /// A graceful replacement of a host interrupts no request (`GracefulStop`).
    GracefulStop,
    /// The configuration revision of a host never decreases (`RevisionNeverReverts`).
    RevisionNeverReverts,
    /// Accepted revisions are in force on all hosts within 11 s of the last fault.
    AcceptedInForce,
    /// At most one of two publications with the same base revision is accepted.
    OnePublication,
    /// A region that is partitioned from the key-value service keeps serving (`IsolatedRegionServes`).
    CutRegionServes,
    /// The violation counters of the process are zero, including the counter of forwarding loops (`NoLoop`).
    ProgramCounters,
}

impl Check {
    /// Every check.
    pub const ALL: [Self; 14] = [
        Self::AtMostOnce,
        Self::NotRunIsTrue,
        Self::OneOutcome,
        Self::Deadline,
        Self::WholeAnswer,
        Self::Bound,
        Self::StricterResidency,
        Self::StoppedTarget,
        Self::GracefulStop,
        Self::RevisionNeverReverts,
        Self::AcceptedInForce,
        Self::OnePublication,
        Self::CutRegionServes,
        Self::ProgramCounters,
    ];
}
