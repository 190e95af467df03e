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
pub use audit_block::{BLOCK_ENTRIES, MAX_BLOCK_BYTES};
pub(crate) use audit_floor::read_floor;
pub use keep_report::KeepReport;
pub use keeper::Keeper;
pub use paced::paced;
