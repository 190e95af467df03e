//! Targets of the services.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use lw_base::prelude::*;

use crate::target_load::TargetLoad;

/// A running incarnation of a target.
#[derive(Clone, Debug)]
pub struct Target {
    /// The id that the target compares with the one in a request; only this incarnation runs a request that names it.
    pub id: Arc<str>,
    /// The id together with the start time of the process, which distinguishes two processes with the same id.
    pub incarnation: Arc<str>,
    /// The low 32 bits of the stable hash of the incarnation.
    pub hash: u32,
    /// The service.
    pub service: ServiceKey,
    /// The address that it listens on.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: Arc<str>,
    /// Its region.
    pub region: Arc<str>,
    /// The number of requests that it processes concurrently.
    pub slots: u32,
    /// False once the platform lists it as draining; it then receives no new requests.
    pub is_in_service: bool,
    /// Its load as known to this host; kept across configurations.
    pub load: Rc<RefCell<TargetLoad>>,
}
