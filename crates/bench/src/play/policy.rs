//! The policies that are compared.

use serde::Serialize;

/// How a target is chosen. Admission, ejection and retries are the same for all.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Policy {
    /// The policy of the route crate, with spilling between regions.
    Lacewingstile,
    /// A random target of the region.
    Random,
    /// The next target in turn.
    RoundRobin,
    /// The target with the lowest last report.
    LeastLoaded,
    /// The first available home of the prefix.
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
