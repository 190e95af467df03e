//! What hosts without a control plane know of the platform and of one another, as decisions without I/O.
//!
//! [`Mirror`] is a host's copy of the platform's state; hosts pass it on when the platform serves only some of them.
//! [`HostTable`] holds the hosts that a host hears of, by their [`Heartbeat`]s.

mod coverage;
mod heartbeat;
mod host_entry;
mod host_status;
mod host_table;
mod mirror;
mod stage;

pub use coverage::Coverage;
pub use heartbeat::{Heartbeat, HeartbeatError, PlacedPart, ServiceUsage, TargetUsage};
pub use host_entry::{HostAddress, HostEntry};
pub use host_status::HostStatus;
pub use host_table::{HEARTBEAT_TIMEOUT_MS, HostTable, Recipients, WATCHERS_PER_REGION};
pub use mirror::{ChangedKeys, Item, KeyChange, Listing, Mirror, MirrorUpdate};
pub use stage::Stage;
