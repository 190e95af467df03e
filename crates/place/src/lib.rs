//! Placement of models on the engines of a region.
//!
//! The [`PlacementController`] tracks the demand, compares the observed with the desired state of the engines, and
//! queues commands. [`send_due()`] sends the commands through a closure.

mod assign;
mod command_queue;
mod desired_state;
mod engine_record;
mod engine_role;
mod lease_term;
mod model_spec;
mod moving_average;
mod observed_state;
mod outgoing_command;
mod placement_controller;
mod placement_times;
mod replica_count;
mod send_due;
mod weight_budget;

pub use assign::{EngineCandidate, assign};
pub use command_queue::CommandQueue;
pub use desired_state::DesiredState;
pub use engine_role::EngineRole;
pub use lease_term::LeaseTerm;
pub use model_spec::ModelSpec;
pub use moving_average::MovingAverage;
pub use observed_state::ObservedState;
pub use outgoing_command::{CommandResult, OutgoingCommand};
pub use placement_controller::PlacementController;
pub use placement_times::PlacementTimes;
pub use replica_count::ReplicaCount;
pub use send_due::send_due;
pub use weight_budget::WeightBudget;
