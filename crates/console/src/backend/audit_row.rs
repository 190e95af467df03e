//! Rows of the audit trail.

use lw_base::WallMs;

/// The outcome of an attempt to publish.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AuditOutcome {
    /// The revision was published.
    Published {
        /// The revision.
        revision: u64,
    },
    /// The attempt was refused.
    Refused {
        /// The reason, for the operator.
        reason: String,
    },
    /// The key-value service lost the older records.
    Gap,
}

/// A record of the audit trail.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AuditRow {
    /// The time of the attempt; for a gap, the time of the next known record.
    pub at: WallMs,
    /// The name of the operator; empty for a gap.
    pub operator: String,
    /// The revision that the change was based on.
    pub base_revision: u64,
    /// The outcome of the attempt.
    pub outcome: AuditOutcome,
    /// The paths of the changed entities; `None` when the record does not list them.
    pub changed_paths: Option<Vec<String>>,
}
