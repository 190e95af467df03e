//! What the platform says, decoded.

use std::net::SocketAddr;
use std::sync::Arc;

use lw_base::prelude::*;

use crate::plan::{CallerLimits, Service};
use crate::route::RouteTable;

/// A version of the operators' configuration.
#[derive(Clone, Debug, Default)]
pub struct Configuration {
    /// The version; zero when there is none.
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
    /// The id that the target checks.
    pub id: Arc<str>,
    /// The wall clock at the start of its process, in milliseconds; zero when it does not say.
    pub started_at_ms: u64,
    /// The name of its service.
    pub service: Arc<str>,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: Arc<str>,
    /// The requests that it processes at once.
    pub slots: u32,
    /// It leaves and takes no new requests.
    pub is_leaving: bool,
    /// How much longer it stays cold, in milliseconds, when the entry was written.
    pub cold_left_ms: u64,
    /// The revision of the entry.
    pub revision: u64,
}

/// Everything that the platform says at one moment.
#[derive(Clone, Debug, Default)]
pub struct PlatformSnapshot {
    /// The configuration.
    pub configuration: std::rc::Rc<Configuration>,
    /// The targets.
    pub targets: Vec<ListedTarget>,
    /// The availability zones that are evacuated.
    pub evacuated: FastSet<Arc<str>>,
}
