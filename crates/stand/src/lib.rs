//! Stand-ins of the platform and of targets, for tests and the demonstration.
//!
//! Each speaks the protocol of the service that it stands for over HTTP on loopback, has knobs for the failures of
//! that service, and runs inside the process that started it.

mod host_list_stand;
mod http_server;
mod kv_http;
mod kv_limits;
mod kv_link;
mod kv_stand;
mod kv_store;
mod weight_stand;

pub use host_list_stand::HostListStand;
pub use http_server::ServerHandle;
pub use kv_limits::{KvLimits, KvTraffic};
pub use kv_link::{KvLink, LinkState};
pub use kv_stand::KvStand;
pub use weight_stand::WeightStand;
