//! What hosts without a control plane know of the platform and of one another, as decisions without I/O.
//!
//! [`Mirror`] is a host's copy of the platform's state; hosts pass it on when the platform serves only some of them.
//! [`HostTable`] holds the hosts that a host hears of, by their [`Beat`]s.

mod beat;
mod coverage;
mod host_entry;
mod host_table;
mod host_word;
mod mirror;
mod stage;

pub use beat::{Beat, BeatError, PlacedPart, RegionUse, TargetUse};
pub use coverage::Coverage;
pub use host_entry::{HostAddress, HostEntry};
pub use host_table::{HEARD_MS, HostTable, Recipients, WATCHERS};
pub use host_word::HostWord;
pub use mirror::{Changed, Item, Listing, Mirror, MirrorUpdate, Written};
pub use stage::Stage;
