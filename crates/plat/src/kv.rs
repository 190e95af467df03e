//! The key-value service as a struct with one closure.

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
    /// Waits until the key has a version above `after_version`; answers [`KvReply::Unchanged`] when the time is up.
    Watch {
        /// The key.
        key: String,
        /// The version that the caller knows, 0 for an absent key.
        after_version: u64,
        /// The longest wait in milliseconds.
        wait_ms: u64,
    },
    /// Writes a key when its stored version is `if_version` (0 for an absent key).
    Put {
        /// The key.
        key: String,
        /// The value.
        value: Bytes,
        /// The version that must be stored.
        if_version: u64,
        /// The lease that the key is bound to.
        lease_id: Option<u64>,
    },
    /// Removes a key when its stored version is `if_version`.
    Delete {
        /// The key.
        key: String,
        /// The version that must be stored.
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
        /// The lease.
        lease_id: u64,
    },
    /// Ends a lease, and removes the keys bound to it.
    LeaseClose {
        /// The lease.
        lease_id: u64,
    },
}

/// A reply of the key-value service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KvReply {
    /// A stored value.
    Value {
        /// The version, from 1.
        version: u64,
        /// The value.
        value: Bytes,
    },
    /// The key is absent.
    Absent,
    /// The watched key did not change in time.
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
        /// The lease.
        lease_id: u64,
        /// A number that is higher than that of every earlier lease.
        epoch: u64,
    },
    /// The call took effect and has nothing to tell.
    Done,
}

/// The result of a call, to be awaited.
pub type KvFuture = Pin<Box<dyn Future<Output = Result<KvReply, KvError>> + Send>>;

/// A client of the key-value service.
#[derive(Clone)]
pub struct Kv {
    call: Arc<dyn Fn(KvCall) -> KvFuture + Send + Sync>,
}

impl Kv {
    /// Builds a client from the closure that performs calls.
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
