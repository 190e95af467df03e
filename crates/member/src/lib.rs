//! Membership inside a region, and summaries of the other regions.

mod action;
mod clock;
mod gossip;
mod member;
mod membership;
mod message;
mod probing;
mod readings;
mod region_entry;
mod region_load;
mod region_summary;
mod regions;
mod suspicion;
mod update;
mod updates;

pub use action::MemberAction;
pub use clock::MAX_CLOCK_OFFSET_MS;
pub use membership::{Membership, SUSPICION_TIMEOUT_MS};
pub use message::{Beat, MemberMessage};
pub use region_entry::{RegionEntry, ShortSummary};
pub use region_load::{MAX_SUMMARY_SERVICES, RegionLoad, ServiceUse};
pub use region_summary::RegionSummary;
pub use update::{MemberState, Update};

/// The most member updates that one message carries.
pub const UPDATES_PER_MESSAGE: usize = 8;
