//! The compiled form of a document: arenas with small keys, which request handling reads without a lock.

use std::sync::Arc;

use lw_base::prelude::*;

use crate::document::Weights;
use crate::service_kind::ServiceKind;
use crate::stop_window::StopWindow;

/// One compiled configuration revision: the regions, zones, services, targets and customers that routing reads.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    /// The revision that this was compiled from.
    pub revision: u64,
    /// The weights of the routing policy.
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
    /// The model version that engines should load, by service.
    pub model_versions: FastMap<ServiceKey, Arc<str>>,
}

/// A region of a [`Fleet`].
#[derive(Clone, Debug, Default)]
pub struct Region {
    /// The availability zones of the region.
    pub zones: Vec<ZoneKey>,
    /// One-way delay to the region with the same index, in milliseconds.
    pub delay_ms: Vec<f64>,
}

/// An availability zone of a [`Fleet`].
#[derive(Clone, Debug)]
pub struct Zone {
    /// The region of the availability zone.
    pub region: RegionKey,
    /// Planned stops of the whole availability zone.
    pub stops: Vec<StopWindow>,
}

/// A service of a [`Fleet`].
#[derive(Clone, Debug)]
pub struct Service {
    /// Whether model engines or plain HTTP servers serve the service.
    pub kind: ServiceKind,
    /// The priority class of requests to the service.
    pub priority: PriorityClass,
    /// The regions that have targets for the service.
    pub regions: Vec<RegionKey>,
    /// The regions that may process requests to the service; `None` means every region.
    pub allowed_regions: Option<Vec<RegionKey>>,
    /// The deadline of requests that state none, in milliseconds.
    pub deadline_ms: u64,
    /// The maximum number of in-flight requests per target of a plain service.
    pub max_in_flight_per_target: u32,
    /// The maximum number of queued requests per host.
    pub queue_entries: u32,
    /// The maximum size of all queued requests per host, in bytes.
    pub queue_bytes: u64,
    /// The HTTP methods whose requests must run at most once, in upper case.
    pub non_idempotent_methods: Vec<Arc<str>>,
    /// Targets of the service, indexed by region.
    pub targets_by_region: Vec<Vec<TargetKey>>,
}

/// A target of a [`Fleet`].
#[derive(Clone, Debug)]
pub struct Target {
    /// The service whose requests the target processes.
    pub service: ServiceKey,
    /// The availability zone of the target.
    pub zone: ZoneKey,
    /// The region of the target.
    pub region: RegionKey,
    /// The IP address and port of the target.
    pub address: Arc<str>,
    /// Whether the target rejects commands with an outdated fencing number.
    pub fencing: bool,
    /// Whether the target can resume a stream at a given token.
    pub resume: bool,
    /// The number of requests that the target processes concurrently.
    pub slots: u32,
    /// Planned stops of this target and of its availability zone.
    pub stops: Vec<StopWindow>,
}

impl Target {
    /// Returns whether a planned stop is in effect at `now`, in which case the target receives no new requests.
    #[must_use]
    pub fn is_in_planned_stop(&self, now: WallMs) -> bool {
        self.stops.iter().any(|window| window.contains(now))
    }
}

/// A customer of a [`Fleet`].
#[derive(Clone, Debug)]
pub struct Customer {
    /// The region that the customer's requests are bound to.
    pub home_region: Option<RegionKey>,
    /// The rate limit across all hosts, in requests per second; `None` means no limit.
    pub requests_per_s: Option<f64>,
    /// The SHA-256 digest of the bearer key; `None` when no key is required.
    pub key_digest: Option<[u8; 32]>,
}
