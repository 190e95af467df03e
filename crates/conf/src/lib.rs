//! Configuration revisions: publishing by compare-and-swap, the audit chain, and distribution to every host.
//!
//! [`publish`] writes a revision to the key-value service. A [`Replica`] decides, for one host, which revision is in
//! force and whom to tell; it takes the time and random numbers as arguments and returns actions. [`ConfShell`] performs
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

pub use action::{ConfAction, Held, Loaded, ServiceCall, ServiceEvent};
pub use audit::{AuditRecord, read_audit};
pub use chain::{document_at, load_document};
pub use commit::{MAX_CHANGES_BYTES, SNAPSHOT_INTERVAL};
pub use config::{Config, ConfigReader};
pub use entry::Entry;
pub use execute::execute;
pub use head::{Head, Mark, SnapshotRef, StoredHead};
pub use keys::HEAD_KEY;
pub use message::{ConfMessage, MAX_MESSAGE_BYTES, MAX_PAYLOAD_BYTES, Part, PartRequest};
pub use publish::publish;
pub use publish_error::PublishError;
pub use publish_request::{PublishRequest, Published};
pub use refused::{Refused, read_refused};
pub use relay::{MAX_BACKOFF_MS, READ_INTERVAL_MS, WATCH_MS};
pub use replica::Replica;
pub use retention::{BLOCK_ENTRIES, KeepReport, Keeper, MAX_BLOCK_BYTES, paced};
pub use rollback::{Rollback, prepare_rollback};
pub use service::{read_entry, read_head};
pub use service_error::ServiceError;
pub use shell::{ConfShell, SendMessage, ShellParts};
pub use snapshot::SNAPSHOT_PART_BYTES;
pub use tree::{FAN_OUT, RELAYS};
