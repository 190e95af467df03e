//! The invariants that a fault-injection run checks.

/// An invariant that is checked while faults are injected; I1 to I9 are the numbers of the system invariants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Check {
    /// Every idempotency key of an order ran at most once (I6).
    AtMostOnce,
    /// No order with the outcome `not-run` ran (I5).
    NotRunIsTrue,
    /// Every request ends in exactly one outcome; only a killed host may leave a request without one.
    OneOutcome,
    /// Every request ends within its deadline plus a margin.
    Deadline,
    /// Responses are complete and belong to their request (I4).
    WholeAnswer,
    /// Requests of customers with a home region reach only targets of that region (I1).
    Bound,
    /// A stricter residency rule also applies to queued requests (I1).
    StricterResidency,
    /// A target in a planned stop receives no request from 3 s after the start of the stop (I7).
    StoppedTarget,
    /// A graceful replacement of a host interrupts no request (I8).
    GracefulStop,
    /// The configuration revision of a host never decreases (I9).
    RevisionNeverReverts,
    /// Accepted revisions are in force on all hosts within 11 s of the last fault (I9).
    AcceptedInForce,
    /// At most one of two publications with the same base revision is accepted (I9).
    OnePublication,
    /// A region that is partitioned from the key-value service keeps serving (I3).
    CutRegionServes,
    /// The violation counters of the process are zero, including the counter of forwarding loops (I2).
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
