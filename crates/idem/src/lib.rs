//! At-most-once execution of non-idempotent requests: keys, shard map, records and the owner and backup protocol.

mod action;
mod authority;
mod backup;
mod evidence;
mod idem;
mod instance;
mod key;
mod map_change;
mod message;
mod owner;
mod propose;
mod record;
mod shard;
mod shard_map;
mod shard_table;
mod transfer;
mod votes;
mod waiting;

pub use action::{IdemAction, IdemRequest, IdemRoute, ProposalResult, Ticket};
pub use evidence::EVIDENCE_MAX_AGE_MS;
pub use idem::{Idem, ProcessStatus};
pub use instance::{HostName, Instance};
pub use key::{IdempotencyKey, MAX_KEY_AHEAD_MS, issue_time};
pub use map_change::{CUTOFF_AHEAD_MS, MapContext, next_map};
pub use message::IdemMessage;
pub use record::{BodyDigest, ClaimId, Ending, MAX_KEPT_BODY_BYTES, Record, RecordKey};
pub use shard_map::{Cutoff, MapHost, SHARDS, ShardMap, ShardView, scope_of, shard_of};
pub use shard_table::{ShardTable, WINDOW_MS};
pub use votes::SILENT_MS;

/// The largest size of the records in one transfer part; a peer frame holds 64 KiB.
pub const TRANSFER_PART_BYTES: usize = 32 * 1024;
