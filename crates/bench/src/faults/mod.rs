//! The subcommand `faults`: injects seeded faults into two regions and checks the invariants on the observations of
//! callers, targets and operators.

mod caller;
mod check;
mod client;
mod document;
mod host;
mod inject_faults;
mod injector;
mod injector_config;
mod injector_host;
mod injector_region;
mod injector_target;
mod observations;
mod operator;
mod order;
mod report;
mod schedule;
mod targets;
mod test_cluster;
mod watch;

use std::io;

pub use check::Check;
pub use inject_faults::inject_faults;
pub use report::FaultReport;

use crate::options::FaultsOptions;

/// Runs one seed and prints the report.
///
/// # Errors
///
/// Returns an error if the hosts cannot be started or a check was violated.
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
