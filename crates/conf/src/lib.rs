//! Configuration revisions: publishing by compare-and-swap, the audit chain, and distribution to every host.
//!
//! [`publish`] writes a revision to the key-value service. A [`Replica`] decides for one host which revision is in
//! force and which hosts to send it to. It does no I/O: it takes the time and random numbers as arguments and returns
//! actions, and a [`ReplicaDriver`] performs them.

mod action;
mod audit;
mod audit_entry;
mod call_schedule;
mod chain;
mod chain_reader;
mod commit;
mod config;
mod config_store_error;
mod document_assembly;
mod execute;
mod head;
mod history;
mod keys;
mod message;
mod publish;
mod publish_error;
mod publish_request;
mod pull;
mod push_tree;
mod reconcile;
mod refused_attempt;
mod replica;
mod replica_driver;
mod replica_peers;
mod replica_store;
mod retention;
mod rollback;
mod served_document;
mod snapshot;
mod store;
mod write_back;

pub use action::{ConfAction, LoadedDocument, LocalRevision, StoreCall, StoreEvent};
pub use audit::{AuditRecord, read_audit};
pub use audit_entry::AuditEntry;
pub use call_schedule::{MAX_BACKOFF_MS, READ_INTERVAL_MS, WATCH_TIMEOUT_MS};
pub use chain::{document_at, load_document};
pub use commit::{MAX_CHANGES_BYTES, REVISIONS_PER_SNAPSHOT};
pub use config::{Config, ConfigReader};
pub use config_store_error::ConfigStoreError;
pub use execute::execute;
pub use head::{Head, RevisionMark, SnapshotRef, StoredHead};
pub use keys::HEAD_KEY;
pub use message::{ConfMessage, DocumentPart, MAX_MESSAGE_BYTES, MAX_PAYLOAD_BYTES, PartRequest};
pub use publish::publish;
pub use publish_error::PublishError;
pub use publish_request::{PublishRequest, Published};
pub use push_tree::{FAN_OUT, RELAYS_PER_REGION};
pub use refused_attempt::{RefusedAttempt, read_refused_attempts};
pub use replica::Replica;
pub use replica_driver::{ReplicaDriver, ReplicaDriverParts, SendMessage};
pub use retention::{
    MAX_BLOCK_BYTES, MAX_BLOCK_ENTRIES, RetentionReport, RetentionWorker, with_call_delay,
};
pub use rollback::{Rollback, prepare_rollback};
pub use snapshot::SNAPSHOT_PART_BYTES;
pub use store::{read_entry, read_head};
