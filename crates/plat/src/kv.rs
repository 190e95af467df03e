//! The interface to the key-value service.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;

use bytes::Bytes;

use crate::kv_error::KvError;

/// A call to the key-value service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KvCall {
    /// Reads a key.
    Get {
        /// The key.
        key: String,
    },
    /// Waits until the version of a key exceeds `after_version`; the reply is [`KvReply::Unchanged`] after `wait_ms`.
    Watch {
        /// The key.
        key: String,
        /// The version that the client has already read, 0 for an absent key.
        after_version: u64,
        /// The maximum waiting time in milliseconds.
        wait_ms: u64,
    },
    /// Writes a key if its stored version is `if_version`, or if the key is absent and `if_version` is 0.
    Put {
        /// The key.
        key: String,
        /// The value.
        value: Bytes,
        /// The required stored version.
        if_version: u64,
        /// The lease with which the key expires, if any.
        lease_id: Option<u64>,
    },
    /// Removes a key if its stored version is `if_version`.
    Delete {
        /// The key.
        key: String,
        /// The required stored version.
        if_version: u64,
    },
    /// Lists the keys that start with a prefix.
    List {
        /// The prefix.
        prefix: String,
    },
    /// Opens a lease.
    LeaseOpen {
        /// The time to live in milliseconds.
        ttl_ms: u64,
    },
    /// Renews a lease.
    LeaseRenew {
        /// The identifier of the lease.
        lease_id: u64,
    },
    /// Ends a lease and removes its keys.
    LeaseClose {
        /// The identifier of the lease.
        lease_id: u64,
    },
}

/// A reply of the key-value service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KvReply {
    /// The stored value.
    Value {
        /// The version, from 1.
        version: u64,
        /// The value.
        value: Bytes,
    },
    /// The key is absent.
    Absent,
    /// The watched key did not change within the waiting time.
    Unchanged,
    /// The write took effect.
    Written {
        /// The new version.
        version: u64,
    },
    /// The keys that start with the prefix, in order.
    Keys(Vec<String>),
    /// An open lease.
    Lease {
        /// The identifier of the lease.
        lease_id: u64,
        /// A number that is higher than the epoch of every earlier lease.
        epoch: u64,
    },
    /// The call took effect; there is nothing to return.
    Done,
}

/// The future result of a call.
pub type KvFuture = Pin<Box<dyn Future<Output = Result<KvReply, KvError>> + Send>>;

/// A client of the key-value service. It is a closure, so that tests can replace it.
#[derive(Clone)]
pub struct Kv {
    call: Arc<dyn Fn(KvCall) -> KvFuture + Send + Sync>,
}

impl Kv {
    /// Creates a client from a closure that performs calls.
    pub fn new(call: impl Fn(KvCall) -> KvFuture + Send + Sync + 'static) -> Self {
        Self {
            call: Arc::new(call),
        }
    }

    /// Performs a call.
    ///
    /// # Errors
    ///
    /// Returns [`KvError::ReplyLost`] when a write may have taken effect; with the other errors it did not.
    pub async fn call(&self, call: KvCall) -> Result<KvReply, KvError> {
        (self.call)(call).await
    }
}
