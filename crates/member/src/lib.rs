//! Membership of the hosts of a region, and summaries of the other regions.

mod action;
mod clock_offsets;
mod dissemination;
mod member;
mod member_update;
mod membership;
mod message;
mod probing;
mod queries;
mod region_entry;
mod region_gossip;
mod region_load;
mod region_summary;
mod regions;
mod suspicion;

pub use action::MemberAction;
pub use clock_offsets::MAX_CLOCK_OFFSET_MS;
pub use member_update::{MemberState, MemberUpdate};
pub use membership::{Membership, SUSPICION_TIMEOUT_MS};
pub use message::{MemberMessage, ProbePayload};
pub use region_entry::{RegionEntry, ShortSummary};
pub use region_load::{MAX_SUMMARY_SERVICES, RegionLoad, ServiceUse};
pub use region_summary::RegionSummary;

/// The maximum number of member updates in one message.
pub const UPDATES_PER_MESSAGE: usize = 8;
