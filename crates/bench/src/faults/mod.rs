//! The subcommand `faults`: seeded faults against two regions, with the invariants checked from outside.

mod caller;
mod check;
mod client;
mod document;
mod host;
mod inject_faults;
mod ledger;
mod operator;
mod order;
mod player;
mod player_config;
mod player_host;
mod player_region;
mod player_target;
mod report;
mod schedule;
mod targets;
mod watch;
mod world;

use std::io;

pub use check::Check;
pub use inject_faults::inject_faults;
pub use report::FaultReport;

use crate::options::FaultsOptions;

/// Plays one seed and prints the report.
///
/// # Errors
///
/// Returns an error when the hosts cannot be started, and when a check was violated.
pub(crate) fn run(options: &FaultsOptions) -> io::Result<()> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(4)
        .enable_all()
        .build()?;
    let report = runtime.block_on(inject_faults(options.seed, options.seconds))?;
    report.print();
    match report.violations.len() {
        0 => Ok(()),
        count => Err(io::Error::other(format!("{count} checks were violated"))),
    }
}
