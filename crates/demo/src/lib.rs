//! A whole system in one process, and the stand-ins as a process of their own.

mod ask;
mod caller;
mod demo;
mod demo_error;
mod demo_summary;
mod deployment;
mod faults;
mod host_plan;
mod hosts;
mod intro;
mod options;
mod orders;
mod platform;
mod publisher;
mod scrape;
mod stand_options;
mod stand_run;
mod stand_settings;
mod table;
mod tally;
mod targets;
mod traffic;
mod workload;

pub use demo::run_demo;
pub use demo_error::DemoError;
pub use demo_summary::DemoSummary;
pub use deployment::Deployment;
pub use options::Options;
pub use stand_options::StandOptions;
pub use stand_run::{Stand, run_stand};
pub use stand_settings::StandSettings;
