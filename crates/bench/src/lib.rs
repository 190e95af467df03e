//! Benchmarks of the decisions.

mod counting_alloc;
mod decide;
mod faults;
mod options;
pub mod play;
mod policies;
mod proxy;
mod run;

pub use counting_alloc::allocations;
pub use decide::{DecideRow, decide_cost};
pub use faults::{Check, FaultReport, play_faults};
pub use policies::{Goal, Run, check_goals};
pub use run::run;
