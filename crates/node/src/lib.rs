//! The runtime of a gateway host.
//!
//! A [`Node`] connects the protocol crates (`member`, `idem`, `conf`) with the peer transport, the platform services
//! and the clocks of one host. Many nodes can run in one process.

mod actions;
mod clock;
mod config_delivery;
mod control_counters;
mod core;
mod customer_usage_exchange;
mod directory_task;
mod engine_state_task;
mod entry_host;
mod host_addresses;
mod host_list_task;
mod identity;
mod leave;
mod load_board_message;
mod load_task;
mod map_store;
mod map_task;
mod node;
mod node_error;
mod node_parts;
mod node_status;
mod pending_decisions;
mod placement;
mod proposal_rule;
mod readiness;
mod receive;
mod region_host_cache;
mod region_load;
mod retention_task;
mod run_permit;
mod socket_cleanup_task;
mod start;
mod submit;
mod submit_decision;
mod submit_request;
mod target_list;
mod tick_task;
mod transport;

pub use clock::NodeClock;
pub use customer_usage_exchange::CustomerUsageExchange;
pub use entry_host::EntryHost;
pub use identity::NodeIdentity;
pub use load_board_message::LoadBoardMessage;
pub use node::Node;
pub use node_error::NodeError;
pub use node_parts::{NodeParts, OnConfig};
pub use node_status::NodeStatus;
pub use placement::{Placement, PlacementOptions, PlacementStatus};
pub use run_permit::RunPermit;
pub use submit_decision::SubmitDecision;
pub use submit_request::SubmitRequest;
pub use transport::Transport;
