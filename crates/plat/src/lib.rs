//! Clients of the platform: key-value service, host list, directory and weight store.
//!
//! Each client is a struct with a closure, so a fake in a test is a closure too.

mod host_entry;
mod kv;
mod kv_error;

pub use host_entry::{HostEntry, HostState};
pub use kv::{Kv, KvCall, KvFuture, KvReply};
pub use kv_error::KvError;
