//! At-most-once execution of non-idempotent requests: keys, shard map, records and the owner and backup protocol.

mod instance;
mod message;
mod record;

pub use instance::{HostName, Instance};
pub use message::IdemMessage;
pub use record::{BodyDigest, ClaimId, Ending, KEPT_ANSWER_BYTES, Record, RecordKey};

/// The largest size of the records in one transfer part; a peer frame holds 64 KiB.
pub const TRANSFER_PART_BYTES: usize = 32 * 1024;
