//! Packing and removing old parts of the audit, so that the key-value service does not fill up.

mod audit_block;
mod audit_floor;
mod clean;
mod expire;
mod keep_report;
mod keeper;
mod link;
mod paced;
mod pack;
mod unpack;

pub(crate) use audit_block::read_block;
pub use audit_block::{MAX_BLOCK_BYTES, MAX_BLOCK_ENTRIES};
pub(crate) use audit_floor::read_floor;
pub use keep_report::RetentionReport;
pub use keeper::RetentionWorker;
pub use paced::with_call_delay;
