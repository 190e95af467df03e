//! The state that routing decisions depend on: configuration, targets and evacuations.

use std::sync::Arc;

use lw_base::prelude::*;

use crate::route::RouteTable;
use crate::target::Target;

/// The capacity of the engines of a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineCapacity {
    /// The number of tokens that fit the memory of an engine.
    pub memory_tokens: u64,
}

/// A service.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: Arc<str>,
    /// The low 32 bits of the stable hash of the name.
    pub hash: u32,
    /// The number of connections that a target accepts from all hosts together.
    pub max_connections: u32,
    /// The duration of the slow start after a target starts, in milliseconds; the target is cold meanwhile.
    pub cold_ms: u64,
    /// The requests per second that a cold target accepts from all hosts together; zero when slow start is off.
    pub cold_per_s: f64,
    /// The path of the health check of its targets; `None` if they have none.
    pub health_path: Option<Arc<str>>,
    /// The capacity of its engines; `None` for a plain service.
    pub engine: Option<EngineCapacity>,
}

/// Limits on what a caller may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// The maximum size of header names and values together.
    pub header_bytes: usize,
    /// The maximum size of a body.
    pub body_bytes: usize,
    /// The time limit for the head of a request, in milliseconds.
    pub header_timeout_ms: u64,
    /// The time for which a connection may stay idle, in milliseconds.
    pub idle_timeout_ms: u64,
}

impl Default for CallerLimits {
    /// Returns the limits in force before the first configuration.
    fn default() -> Self {
        Self {
            header_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
    }
}

/// One version of the state that routing decisions depend on.
#[derive(Clone, Debug, Default)]
pub struct Plan {
    /// The version of the configuration; zero before the first one.
    pub version: u64,
    /// The routes.
    pub routes: RouteTable,
    /// The services.
    pub services: NamedArena<ServiceKey, Service>,
    /// The limits on callers.
    pub limits: CallerLimits,
    /// The targets of each service in all regions, indexed by service key.
    pub targets: Vec<Vec<Target>>,
    /// The availability zones that are evacuated.
    pub evacuated: FastSet<Arc<str>>,
}

impl Plan {
    /// Returns the target with this hash.
    pub(crate) fn target_with_hash(&self, hash: u32) -> Option<&Target> {
        let mut targets = self.targets.iter().flatten();
        targets.find(|target| target.hash == hash)
    }

    /// Returns the targets of a service.
    #[must_use]
    pub fn targets_of(&self, service: ServiceKey) -> &[Target] {
        self.targets.get(service.index()).map_or(&[], Vec::as_slice)
    }

    /// Returns whether a target may receive new requests.
    #[must_use]
    pub fn accepts_requests(&self, target: &Target) -> bool {
        target.is_in_service
            && !self.evacuated.contains(&target.zone)
            && !target.load.borrow().health.is_leaving()
    }
}
