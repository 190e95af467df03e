//! The configuration and the target list as decoded from the platform.

use std::net::SocketAddr;
use std::sync::Arc;

use lw_base::prelude::*;
use lw_mesh::StateVersion;

use crate::plan::{CallerLimits, Service};
use crate::route::RouteTable;

/// A version of the operators' configuration.
#[derive(Clone, Debug, Default)]
pub struct Configuration {
    /// The version; zero before the first configuration.
    pub version: u64,
    /// The services.
    pub services: NamedArena<ServiceKey, Service>,
    /// The routes.
    pub routes: RouteTable,
    /// The limits on callers.
    pub limits: CallerLimits,
}

/// A target as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedTarget {
    /// The id that the target compares with the one in a request.
    pub id: Arc<str>,
    /// Wall-clock time of the process start, in milliseconds; zero when the entry has none.
    pub started_at_ms: u64,
    /// The name of its service.
    pub service: Arc<str>,
    /// The address that it listens on.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: Arc<str>,
    /// The number of requests that it processes concurrently.
    pub slots: u32,
    /// The target is draining and accepts no new requests.
    pub is_leaving: bool,
    /// The remaining slow-start time when its entry was written, in milliseconds.
    pub cold_left_ms: u64,
    /// The version of its entry in the platform's store.
    pub version: StateVersion,
}

/// A consistent view of the platform's configuration and targets.
#[derive(Clone, Debug, Default)]
pub struct PlatformSnapshot {
    /// The configuration.
    pub configuration: std::rc::Rc<Configuration>,
    /// The targets.
    pub targets: Vec<ListedTarget>,
    /// The availability zones that are evacuated.
    pub evacuated: FastSet<Arc<str>>,
}
