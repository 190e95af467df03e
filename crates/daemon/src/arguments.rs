//! Command-line arguments of the daemon.

use std::path::PathBuf;

use gumdrop::Options;

/// Runs one host of the Lacewingstile gateway.
#[derive(Clone, Debug, Options)]
pub struct Arguments {
    /// Prints the help text.
    #[options(help = "print this help")]
    pub help: bool,
    /// Path of the settings file.
    #[options(
        no_short,
        meta = "FILE",
        help = "path of the settings file (JSON with comments)"
    )]
    pub settings: Option<PathBuf>,
    /// Checks the settings and exits.
    #[options(no_short, help = "check the settings file and exit")]
    pub check: bool,
    /// Runs on the platform, with the settings file that the environment names.
    #[options(
        no_short,
        help = "run on the platform; LACEWINGSTILE_SETTINGS gives the path of the settings file"
    )]
    pub platform: bool,
}
