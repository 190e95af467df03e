//! Command-line arguments of the demonstration.

use crate::deployment::Deployment;

/// Runs a whole system in one process and sends traffic through it.
#[derive(Clone, Debug, gumdrop::Options)]
pub struct Options {
    /// Prints the help text.
    #[options(help = "print this help")]
    pub help: bool,
    /// The sample deployment whose document is used.
    #[options(
        no_short,
        meta = "NAME",
        help = "sample deployment: riad or sahyog",
        default = "riad"
    )]
    pub deployment: Deployment,
    /// Minimum duration of the traffic in seconds; 0 means until Ctrl-C. With faults, each is produced at least once.
    #[options(
        no_short,
        meta = "N",
        help = "seconds of traffic; 0 runs until Ctrl-C",
        default = "0"
    )]
    pub seconds: u64,
    /// Requests per second.
    #[options(no_short, meta = "N", help = "requests per second", default = "30")]
    pub requests_per_s: f64,
    /// Whether faults are produced.
    #[options(
        no_short,
        help = "produce faults in turn: key-value outage, killed host, failing engine, planned stops"
    )]
    pub faults: bool,
    /// The seed of the traffic.
    #[options(no_short, meta = "N", help = "seed of the traffic", default = "7")]
    pub seed: u64,
    /// The least severe level that is logged.
    #[options(
        no_short,
        meta = "LEVEL",
        help = "lowest logged level: error, warn, info, debug or trace",
        default = "error"
    )]
    pub log_level: log::LevelFilter,
}
