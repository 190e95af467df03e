//! The compiled document: arenas with small keys, read by the request path without a lock.

use std::sync::Arc;

use lw_base::prelude::*;

use crate::document::Weights;
use crate::service_kind::ServiceKind;
use crate::stop_window::StopWindow;

/// One configuration revision in the form that decisions read.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    /// The revision that this was compiled from.
    pub revision: u64,
    /// What the routing policy weighs.
    pub weights: Weights,
    /// Regions by name.
    pub regions: NamedArena<RegionKey, Region>,
    /// Availability zones by name.
    pub zones: NamedArena<ZoneKey, Zone>,
    /// Services by name.
    pub services: NamedArena<ServiceKey, Service>,
    /// Targets by name.
    pub targets: NamedArena<TargetKey, Target>,
    /// Customers by name.
    pub customers: NamedArena<CustomerKey, Customer>,
    /// Planned stops of hosts by host name.
    pub host_stops: FastMap<Arc<str>, Vec<StopWindow>>,
    /// The wanted model version of services that engines serve.
    pub model_versions: FastMap<ServiceKey, Arc<str>>,
}

/// A region of a snapshot.
#[derive(Clone, Debug, Default)]
pub struct Region {
    /// Its availability zones.
    pub zones: Vec<ZoneKey>,
    /// One-way delay to the region with the same index, in milliseconds.
    pub delay_ms: Vec<f64>,
}

/// An availability zone of a snapshot.
#[derive(Clone, Debug)]
pub struct Zone {
    /// The region that it belongs to.
    pub region: RegionKey,
    /// Planned stops of the whole zone.
    pub stops: Vec<StopWindow>,
}

/// A service of a snapshot.
#[derive(Clone, Debug)]
pub struct Service {
    /// Model engines or a plain service.
    pub kind: ServiceKind,
    /// The priority class of its requests.
    pub priority: PriorityClass,
    /// The regions that have targets for it.
    pub regions: Vec<RegionKey>,
    /// The regions that may process its requests; `None` means every region.
    pub allowed_regions: Option<Vec<RegionKey>>,
    /// The deadline of a request that names none, in milliseconds.
    pub deadline_ms: u64,
    /// How many requests one target of a plain service takes at once.
    pub max_in_flight_per_target: u32,
    /// How many requests may wait on one host.
    pub queue_entries: u32,
    /// How many bytes of waiting requests one host holds.
    pub queue_bytes: u64,
    /// The methods that must not run twice, in upper case.
    pub non_idempotent_methods: Vec<Arc<str>>,
    /// Targets of the service by the index of their region.
    pub targets_by_region: Vec<Vec<TargetKey>>,
}

/// A target of a snapshot.
#[derive(Clone, Debug)]
pub struct Target {
    /// The service that it serves.
    pub service: ServiceKey,
    /// The availability zone that it stands in.
    pub zone: ZoneKey,
    /// The region that it stands in.
    pub region: RegionKey,
    /// Its IP address and port.
    pub address: Arc<str>,
    /// Whether it refuses commands with an old fencing number.
    pub fencing: bool,
    /// Whether it resumes a stream from a given token.
    pub resume: bool,
    /// How many requests it processes at once.
    pub slots: u32,
    /// Planned stops of this target and of its zone.
    pub stops: Vec<StopWindow>,
}

impl Target {
    /// Returns true when a planned stop covers `now`, so the target takes no new work.
    #[must_use]
    pub fn is_in_planned_stop(&self, now: WallMs) -> bool {
        self.stops.iter().any(|window| window.contains(now))
    }
}

/// A customer of a snapshot.
#[derive(Clone, Debug)]
pub struct Customer {
    /// The region that the customer's requests are bound to.
    pub home_region: Option<RegionKey>,
    /// The limit over all hosts, in requests per second.
    pub requests_per_s: Option<f64>,
    /// The SHA-256 digest of the bearer key; `None` when no key is needed.
    pub key_digest: Option<[u8; 32]>,
}
