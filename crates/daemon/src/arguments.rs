//! Arguments of the daemon.

use std::path::PathBuf;

use gumdrop::Options;

/// Arguments of `lacewingstiled`.
#[derive(Clone, Debug, Options)]
pub struct Arguments {
    /// Print the arguments.
    #[options(help = "print this help")]
    pub help: bool,
    /// The settings file.
    #[options(
        no_short,
        meta = "FILE",
        help = "the settings file (JSON with comments)"
    )]
    pub settings: Option<PathBuf>,
    /// Only check the settings.
    #[options(no_short, help = "check the settings and exit")]
    pub check: bool,
    /// Run on the platform, with its settings.
    #[options(
        no_short,
        help = "run on the platform; its environment names the settings file"
    )]
    pub platform: bool,
}
