//! What a run of faults checks.

/// A property that is checked while faults are played.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Check {
    /// Every order key ran at most once (I6).
    AtMostOnce,
    /// No order that was answered "not run" ran (I5).
    NotRunIsTrue,
    /// Every request ended in exactly one outcome; only a killed host leaves a request without one.
    OneOutcome,
    /// Every request ended within its deadline and the grace.
    Deadline,
    /// Answers are whole and belong to their request (I4).
    WholeAnswer,
    /// Requests of bound customers reached targets of their home region only (I1).
    Bound,
    /// A stricter residency rule holds for waiting requests too (I1).
    StricterResidency,
    /// A target in a planned stop receives nothing after 3 s (I7).
    StoppedTarget,
    /// A graceful replacement cuts off no request (I8).
    GracefulStop,
    /// The revision of a host never goes down (I9).
    RevisionNeverReverts,
    /// Accepted revisions are in force on all hosts within 11 s after the faults (I9).
    AcceptedInForce,
    /// Of two publications from the same base at most one is accepted (I9).
    OnePublication,
    /// A region that is cut off from the key-value service keeps serving (I3).
    CutRegionServes,
    /// The counters of the program are zero, among them the one of forwarding loops (I2).
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
