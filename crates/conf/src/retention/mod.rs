//! Retention of the audit log: packs old entries and removes expired ones, so that the key-value service does not fill
//! up.

mod audit_block;
mod audit_floor;
mod chain_link;
mod clean;
mod expire;
mod pack;
mod remove_packed;
mod retention_report;
mod retention_worker;
mod with_call_delay;

pub(crate) use audit_block::read_block;
pub use audit_block::{MAX_BLOCK_BYTES, MAX_BLOCK_ENTRIES};
pub(crate) use audit_floor::read_floor;
pub use retention_report::RetentionReport;
pub use retention_worker::RetentionWorker;
pub use with_call_delay::with_call_delay;
