//! Stand-ins of the platform and of targets, for tests and the demonstration.
//!
//! Each speaks the protocol of the service that it stands for over HTTP on loopback, has knobs for the failures of
//! that service, and runs inside the process that started it.

mod attempt_echo;
mod engine_chat;
mod engine_commands;
mod engine_http;
mod engine_job;
mod engine_load;
mod engine_options;
mod engine_shared;
mod engine_stand;
mod host_list_stand;
mod http_server;
mod kv_http;
mod kv_limits;
mod kv_link;
mod kv_stand;
mod kv_store;
mod plain_stand;
mod prefix_cache;
mod slot_queue;
mod weight_stand;

pub use engine_chat::{answer_token, whole_answer};
pub use engine_options::EngineOptions;
pub use engine_shared::EngineTotals;
pub use engine_stand::EngineStand;
pub use host_list_stand::HostListStand;
pub use http_server::ServerHandle;
pub use kv_limits::{KvLimits, KvTraffic};
pub use kv_link::{KvLink, LinkState};
pub use kv_stand::KvStand;
pub use plain_stand::PlainStand;
pub use weight_stand::WeightStand;
