//! Plays recorded arrivals against a policy, with small models of engines and entry hosts.

mod arrival;
mod chooser;
mod deployment;
mod engine;
mod event;
mod figures;
mod host;
mod policy;
mod prefix_cache;
mod record;
mod region_load;
mod scenario;
mod world;
mod world_attempt;
mod world_hedge;
mod world_periodic;
mod world_request;

pub use arrival::{Arrival, TrafficSource};
pub use deployment::{Deployment, MODEL, PLAIN};
pub use engine::Engine;
pub use figures::{ClassFigures, Figures};
pub use policy::Policy;
pub use prefix_cache::PrefixCache;
pub use record::generate_arrivals;
pub use scenario::{Fault, Scenario};
pub use world::{simulate_policy, simulate_policy_hedged};
