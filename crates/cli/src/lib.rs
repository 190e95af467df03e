//! Command-line tool for operators.

mod admin;
mod arguments;
mod cli_error;
mod commands;
mod context;
mod report;
mod run;
mod settings;
mod tables;

pub use run::{CommandOutput, run};
pub use settings::Settings;
