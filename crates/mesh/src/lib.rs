//! Tracks the platform's state and the other hosts without a central control plane. This crate performs no I/O.
//!
//! [`Mirror`] is a host's copy of the platform's state; hosts forward it to hosts that the platform does not serve.
//! [`HostTable`] tracks the other hosts by the [`Heartbeat`]s received from them.

mod changed_keys;
mod coverage;
mod datagrams;
mod earlier_state;
mod forgotten_hosts;
mod heartbeat;
mod host_entry;
mod host_status;
mod host_table;
mod limit_report;
mod mirror;
mod mirror_update;
mod sighting;
mod stage;
mod state_evidence;
mod state_version;
mod watch_duty;

pub use changed_keys::ChangedKeys;
pub use coverage::Coverage;
pub use datagrams::{DividedHeartbeat, HashRange, MAX_DATAGRAM_BYTES};
pub use earlier_state::{EarlierState, EarlierStateView};
pub use forgotten_hosts::HELD_WITHOUT_CONTACT_MS;
pub use heartbeat::{Heartbeat, HeartbeatError, PlacedPart, ServiceUsage, TargetUsage};
pub use host_entry::{HostAddress, HostEntry, ListedHost};
pub use host_status::HostStatus;
pub use host_table::{HEARTBEAT_TIMEOUT_MS, HostTable, Recipients, SharingHost};
pub use limit_report::{LimitLoan, LimitReport, StatementId};
pub use mirror::{Item, KeyChange, Listing, Mirror, MirrorItem};
pub use mirror_update::{MirrorUpdate, MirrorUpdateError};
pub use sighting::Sighting;
pub use stage::Stage;
pub use state_evidence::{
    MAX_CALL_GAP_MS, OtherHosts, StateDoubt, StateEvidence, contact_timeout_ms,
};
pub use state_version::{StateVersion, StateVersionError};
pub use watch_duty::WATCHERS_PER_REGION;
