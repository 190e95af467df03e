//! Discrete-event simulation of routing policies, with models of engines and entry hosts.

mod arrival;
mod deployment;
mod engine;
mod event_queue;
mod figures;
mod generate_arrivals;
mod host;
mod policy;
mod prefix_cache;
mod region_load;
mod scenario;
mod simulation;
mod simulation_attempt;
mod simulation_hedge;
mod simulation_periodic;
mod simulation_request;
mod target_selector;

pub use arrival::{Arrival, TrafficSource};
pub use deployment::{Deployment, MODEL, PLAIN};
pub use engine::Engine;
pub use figures::{ClassFigures, Figures};
pub use generate_arrivals::generate_arrivals;
pub use policy::Policy;
pub use prefix_cache::PrefixCache;
pub use scenario::{Fault, Scenario};
pub use simulation::{simulate_policy, simulate_policy_hedged};
