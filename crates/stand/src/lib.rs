//! Fakes of the platform services and of targets, for tests and the demonstration.
//!
//! Each fake implements the protocol of its service over HTTP on loopback, can inject the failures of that service, and
//! runs inside the process that started it.

mod attempt_echo;
mod engine_chat;
mod engine_commands;
mod engine_http;
mod engine_job;
mod engine_load;
mod engine_options;
mod engine_shared;
mod fake_engine;
mod fake_host_list;
mod fake_kv;
mod fake_plain_service;
mod fake_weight_store;
mod http_server;
mod kv_http;
mod kv_limits;
mod kv_link;
mod kv_store;
mod prefix_cache;
mod slot_queue;

pub use engine_chat::{answer_token, whole_answer};
pub use engine_options::EngineOptions;
pub use engine_shared::EngineTotals;
pub use fake_engine::FakeEngine;
pub use fake_host_list::FakeHostList;
pub use fake_kv::FakeKv;
pub use fake_plain_service::FakePlainService;
pub use fake_weight_store::FakeWeightStore;
pub use http_server::ServerHandle;
pub use kv_limits::{KvLimits, KvTraffic};
pub use kv_link::{KvLink, LinkState};
