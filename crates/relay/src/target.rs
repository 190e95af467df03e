//! Targets as the platform lists them.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use lw_base::prelude::*;

use crate::target_load::TargetLoad;

/// A running incarnation of a target.
#[derive(Clone, Debug)]
pub struct Target {
    /// The id that the target checks; only this incarnation runs a request that names it.
    pub id: Arc<str>,
    /// The id with the start of the process, which tells two processes with one id apart.
    pub incarnation: Arc<str>,
    /// The low half of the stable hash of the incarnation.
    pub hash: u32,
    /// The service.
    pub service: ServiceKey,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: Arc<str>,
    /// Its region.
    pub region: Arc<str>,
    /// The requests that it processes at once.
    pub slots: u32,
    /// Whether it takes new requests.
    pub takes_work: bool,
    /// What this host knows of its load; kept across configurations.
    pub load: Rc<RefCell<TargetLoad>>,
}
