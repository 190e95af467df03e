//! The gateway daemon as a library, for the binary, the demonstration and tests.

mod arguments;
mod console_handle;
mod console_start;
mod control_window;
mod daemon;
mod exit;
mod json_logs;
mod listeners;
mod logs;
mod main_exit;
mod node_handle;
mod node_metrics;
mod node_start;
mod resident_memory;
mod run;
mod settings;
mod settings_error;
mod start_error;
mod status;
mod unknown_key_reporter;

pub use arguments::Arguments;
pub use control_window::{ControlMetric, ControlSample, ControlWindow};
pub use daemon::{Addresses, Daemon};
pub use exit::Exit;
pub use logs::start_logs;
pub use main_exit::main_exit;
pub use run::run;
pub use settings::{
    ListenSettings, OperatorSettings, PlacementSettings, PlatformSettings, Settings,
};
pub use settings_error::SettingsError;
pub use start_error::StartError;
pub use unknown_key_reporter::UnknownKeyReporter;
