//! Benchmarks of the decisions.

mod counting_alloc;
mod decide;
mod faults;
mod options;
pub mod play;
mod policies;
mod proxy;
mod run;
mod slopes;

pub use counting_alloc::{allocations, live_bytes};
pub use decide::{DecideRow, decide_cost};
pub use faults::{Check, FaultReport, play_faults};
pub use policies::{Goal, Run, check_goals};
pub use run::run;
pub use slopes::{Account, Caller, Calls, Fit, Memory, Point, Share, Slope, Slopes, slopes};
