//! Clients of the platform services: key-value service, host list, directory, weight store and engine control.
//!
//! Each client is a struct of closures, so that tests can replace it with closures of their own.

mod call_counts;
mod directory;
mod engine_control;
mod engine_messages;
mod host_entry;
mod host_list;
mod http_client;
mod http_kv;
mod http_timeouts;
mod kv;
mod kv_call_kind;
mod kv_error;
mod platform_error;
mod reconnect_backoff;
mod weight_store;

pub use call_counts::CallCounts;
pub use directory::Directory;
pub use engine_control::EngineControl;
pub use engine_messages::{EngineCommand, EngineLoad, EngineState};
pub use host_entry::{HostEntry, HostState};
pub use host_list::HostList;
pub use http_kv::http_kv;
pub use http_timeouts::HttpTimeouts;
pub use kv::{Kv, KvCall, KvFuture, KvReply};
pub use kv_call_kind::KvCallKind;
pub use kv_error::KvError;
pub use platform_error::{PlatformError, PlatformFuture};
pub use reconnect_backoff::ReconnectBackoff;
pub use weight_store::WeightStore;
