//! Placement of models on the engines of a region.
//!
//! The [`Decider`] follows the demand, compares what engines hold with what they should hold, and queues commands.
//! [`send_due`] performs the commands through a closure.

mod assign;
mod command_queue;
mod decider;
mod decider_times;
mod engine_memory;
mod engine_role;
mod engine_view;
mod model_want;
mod moving_average;
mod outgoing_command;
mod replica_count;
mod send_due;
mod tenure;
mod wanted_state;
mod weight_budget;

pub use assign::{EngineSlot, assign};
pub use command_queue::CommandQueue;
pub use decider::Decider;
pub use decider_times::DeciderTimes;
pub use engine_role::EngineRole;
pub use engine_view::EngineView;
pub use model_want::ModelWant;
pub use moving_average::MovingAverage;
pub use outgoing_command::{CommandResult, OutgoingCommand};
pub use replica_count::ReplicaCount;
pub use send_due::send_due;
pub use tenure::Tenure;
pub use wanted_state::WantedState;
pub use weight_budget::WeightBudget;
