//! The routing policies that are compared.

use serde::Serialize;

/// How a target is chosen. Admission, outlier ejection and retries are the same for all policies.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Policy {
    /// The policy of the route crate, which also forwards requests to other regions.
    Lacewingstile,
    /// A random target of the region.
    Random,
    /// The next target in round-robin order.
    RoundRobin,
    /// The target with the fewest requests in its last load report.
    LeastLoaded,
    /// The first owner of the prefix, or the next target if that one was tried.
    PrefixAffinity,
}

impl Policy {
    /// Every policy.
    pub const ALL: [Self; 5] = [
        Self::Lacewingstile,
        Self::Random,
        Self::RoundRobin,
        Self::LeastLoaded,
        Self::PrefixAffinity,
    ];

    /// Returns the name in tables.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Lacewingstile => "lacewingstile",
            Self::Random => "random",
            Self::RoundRobin => "round robin",
            Self::LeastLoaded => "least loaded",
            Self::PrefixAffinity => "prefix affinity",
        }
    }
}
