//! Configuration revisions: publishing by compare-and-swap, the audit chain, and distribution to every host.
//!
//! [`publish`] writes a revision to the key-value service. A [`Replica`] decides, for one host, which revision is in
//! force and whom to tell; it takes the time and random numbers as arguments and returns actions. [`ReplicaDriver`] performs
//! the actions.

mod action;
mod assembly;
mod audit;
mod chain;
mod chain_reader;
mod commit;
mod config;
mod entry;
mod execute;
mod head;
mod history;
mod keys;
mod message;
mod publish;
mod publish_error;
mod publish_request;
mod pull;
mod reconcile;
mod refused;
mod relay;
mod replica;
mod replica_peers;
mod replica_service;
mod retention;
mod rollback;
mod service;
mod service_error;
mod serving;
mod shell;
mod snapshot;
mod tree;
mod write_back;

pub use action::{ConfAction, HeldRevision, LoadedDocument, StoreCall, StoreEvent};
pub use audit::{AuditRecord, read_audit};
pub use chain::{document_at, load_document};
pub use commit::{MAX_CHANGES_BYTES, REVISIONS_PER_SNAPSHOT};
pub use config::{Config, ConfigReader};
pub use entry::Entry;
pub use execute::execute;
pub use head::{Head, RevisionMark, SnapshotRef, StoredHead};
pub use keys::HEAD_KEY;
pub use message::{ConfMessage, MAX_MESSAGE_BYTES, MAX_PAYLOAD_BYTES, Part, PartRequest};
pub use publish::publish;
pub use publish_error::PublishError;
pub use publish_request::{PublishRequest, Published};
pub use refused::{RefusedAttempt, read_refused_attempts};
pub use relay::{MAX_BACKOFF_MS, READ_INTERVAL_MS, WATCH_TIMEOUT_MS};
pub use replica::Replica;
pub use retention::{
    MAX_BLOCK_BYTES, MAX_BLOCK_ENTRIES, RetentionReport, RetentionWorker, with_call_delay,
};
pub use rollback::{Rollback, prepare_rollback};
pub use service::{read_entry, read_head};
pub use service_error::ConfigStoreError;
pub use shell::{ReplicaDriver, ReplicaDriverParts, SendMessage};
pub use snapshot::SNAPSHOT_PART_BYTES;
pub use tree::{FAN_OUT, RELAYS_PER_REGION};
