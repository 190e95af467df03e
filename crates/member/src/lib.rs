//! Membership inside a region, and summaries of the other regions.

mod message;
mod region_summary;
mod update;

pub use message::{Beat, MemberMessage};
pub use region_summary::RegionSummary;
pub use update::{MemberState, Update};

/// The most member updates that one message carries.
pub const UPDATES_PER_MESSAGE: usize = 8;
