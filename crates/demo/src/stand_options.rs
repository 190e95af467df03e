//! Command-line arguments of `lacewingstile-stand`.

use std::path::PathBuf;

/// Runs fakes of the platform and the targets, for hosts that are started manually.
#[derive(Clone, Debug, gumdrop::Options)]
pub struct StandOptions {
    /// Prints the help text.
    #[options(help = "print this help")]
    pub help: bool,
    /// The settings file.
    #[options(
        no_short,
        meta = "FILE",
        help = "the settings file (JSON with comments)"
    )]
    pub settings: Option<PathBuf>,
    /// The region to print an idempotency key for.
    #[options(
        no_short,
        meta = "REGION",
        help = "print a fresh idempotency key of the region and exit"
    )]
    pub new_key: Option<String>,
}
