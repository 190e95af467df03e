//! Warnings about dangerous changes.

use std::fmt;

use thiserror::Error;

/// What makes a change dangerous.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Error)]
pub enum WarningKind {
    /// A service lists a region but has no target there.
    #[error(
        "the service lists region `{region}` but has no target there; please add a target or remove the region"
    )]
    NoTargetInRegion {
        /// The region.
        region: String,
    },
    /// Customers are bound to a home region in which the service has no target or is not allowed.
    #[error(
        "no target may serve the customers that are bound to region `{region}`; please add a target or allow the region"
    )]
    ResidencyUnsatisfied {
        /// The home region.
        region: String,
    },
    /// While a planned stop is in effect, all targets of a service are stopped.
    #[error(
        "during this stop, service `{service}` has no target left; please change the stop or add a target"
    )]
    StopOfLastTargets {
        /// The service.
        service: String,
    },
    /// More than half of the targets of a service are removed.
    #[error(
        "{removed} of the {before} targets of this service are removed; please check that the others can take the load"
    )]
    MostTargetsRemoved {
        /// The number of removed targets.
        removed: usize,
        /// The number of targets before the change.
        before: usize,
    },
    /// A service is removed.
    #[error(
        "the service is removed, and its requests will be rejected; please check that nobody uses it"
    )]
    ServiceRemoved,
    /// A region is removed.
    #[error(
        "the region is removed, and idempotency keys of this region will be rejected; please check that none is in use"
    )]
    RegionRemoved,
    /// Requests of a service may be processed in more regions than before.
    #[error(
        "requests may now be processed in regions that were not allowed before; please check the residency rules"
    )]
    ResidencyRelaxed,
    /// A customer is bound to another region than before, or to none.
    #[error("the customer's home region changes")]
    HomeRegionChanged,
    /// The retention time of the audit log is shortened.
    #[error(
        "audit records will be kept for {after} days instead of {before}, and older ones deleted; please save what you need"
    )]
    AuditShortened {
        /// The former retention time, in days.
        before: u32,
        /// The new retention time, in days.
        after: u32,
    },
    /// A customer no longer needs a credential.
    #[error("the customer no longer needs a key; please check that anyone may use its name")]
    CredentialRemoved,
}

/// A warning that the operator must confirm before publishing.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Warning {
    /// The path of the part, such as `services/grade-assistant`.
    pub path: String,
    /// What makes the change dangerous.
    pub kind: WarningKind,
}

impl fmt::Display for Warning {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.path, self.kind)
    }
}
