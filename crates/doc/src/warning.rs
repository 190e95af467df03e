//! Warnings on dangerous changes.

use std::fmt;

use thiserror::Error;

/// What makes a change dangerous.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Error)]
pub enum WarningKind {
    /// A service lists a region but has no target there.
    #[error("the service lists region `{region}` but has no target there")]
    NoTargetInRegion {
        /// The region.
        region: String,
    },
    /// Customers are bound to a region in which no target may serve them.
    #[error("no target may serve the customers that are bound to region `{region}`")]
    ResidencyUnsatisfied {
        /// The home region.
        region: String,
    },
    /// A planned stop stops the last targets of a service.
    #[error("during the stop, service `{service}` has no target left")]
    StopOfLastTargets {
        /// The service.
        service: String,
    },
    /// More than half of the targets of a service are removed.
    #[error("{removed} of {before} targets are removed")]
    MostTargetsRemoved {
        /// How many targets are removed.
        removed: usize,
        /// How many targets the service had.
        before: usize,
    },
    /// A service is removed.
    #[error("the service is removed, and its requests will be rejected")]
    ServiceRemoved,
    /// A region is removed.
    #[error("the region is removed, and idempotency keys of this region will be rejected")]
    RegionRemoved,
    /// Requests of a service may be processed in more regions than before.
    #[error("requests may now be processed in regions that were not allowed before")]
    ResidencyRelaxed,
    /// A customer is bound to another region than before, or to none.
    #[error("the customer's home region changes")]
    HomeRegionChanged,
    /// The audit is kept for a shorter time than before.
    #[error(
        "audit records older than {after} days are removed for good; they were kept for {before}"
    )]
    AuditShortened {
        /// The days before.
        before: u32,
        /// The days from now on.
        after: u32,
    },
    /// A customer needs no credential any more.
    #[error("the customer needs no key any more")]
    CredentialRemoved,
}

/// A warning that the operator must confirm.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Warning {
    /// The part of the document, like `services/grade-assistant`.
    pub path: String,
    /// What makes the change dangerous.
    pub kind: WarningKind,
}

impl fmt::Display for Warning {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.path, self.kind)
    }
}
