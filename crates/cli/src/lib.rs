//! The command-line tool of operators.

mod admin;
mod arguments;
mod cli_error;
mod commands;
mod context;
mod report;
mod run;
mod settings;
mod tables;

pub use run::{Finished, run};
pub use settings::Settings;
