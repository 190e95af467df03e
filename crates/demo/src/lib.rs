//! The demonstration of a whole system in one process, and the fakes of platform and targets as a separate process.

mod caller;
mod demo;
mod demo_error;
mod demo_request;
mod demo_summary;
mod deployment;
mod fake_services;
mod faults;
mod host_placement;
mod hosts;
mod instructions;
mod metrics_scraper;
mod options;
mod orders;
mod platform;
mod publisher;
mod stand_options;
mod stand_settings;
mod table;
mod targets;
mod traffic;
mod traffic_counts;
mod workload;

pub use demo::run_demo;
pub use demo_error::DemoError;
pub use demo_summary::DemoSummary;
pub use deployment::Deployment;
pub use fake_services::{FakeServices, run_stand};
pub use options::Options;
pub use stand_options::StandOptions;
pub use stand_settings::StandSettings;
