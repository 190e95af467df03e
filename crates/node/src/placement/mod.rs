//! The runtime of placement: one host of the region decides which engines load which model.
//!
//! The relays of the region request the lease of the region. The holder reads the states of the engines, passes them to
//! the [`lw_place::PlacementController`] and sends its commands.

mod context;
mod controller_task;
mod engine_state_reader;
mod handle;
mod options;
mod start;
mod status;

pub use handle::Placement;
pub use options::PlacementOptions;
pub use status::PlacementStatus;

pub(crate) use start::start;
