//! The runtime of placement: one host of the region decides which engines hold which model.
//!
//! The relays of the region ask for the lease of its scope. The holder reads the states of the engines, feeds the
//! [`lw_place::PlacementController`] and sends its commands.

mod decide_task;
mod engine_reader;
mod handle;
mod options;
mod shared;
mod start;
mod status;

pub use handle::Placement;
pub use options::PlacementOptions;
pub use status::PlacementStatus;

pub(crate) use start::start;
