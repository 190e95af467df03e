//! Benchmarks, policy simulations, fault injection and scaling measurements of the gateway.

mod counting_alloc;
mod decide;
mod faults;
pub mod limits;
mod options;
pub mod play;
mod policies;
mod proxy;
pub mod region;
mod run;
mod slopes;

pub use counting_alloc::{allocations, live_bytes};
pub use decide::{DecisionCost, measure_decision_cost};
pub use faults::{Check, FaultReport, inject_faults};
pub use policies::{Goal, PolicyRun, check_goals};
pub use run::run;
pub use slopes::{
    ControlTraffic, Fit, KvCallerLoad, KvCalls, MemoryItem, Point, ResourceEstimate, Slope, Slopes,
    slopes,
};
