//! A model of the hosts of one region, which exchange heartbeats while faults befall them.

mod faults;
#[expect(clippy::module_inception)]
mod region;

pub use faults::{Faults, NO_FAULTS};
pub use region::{Behaviour, HostMoment, Region, STEP_MS, model_host_name};
