//! Dispatches to the subcommands.

use std::process::ExitCode;

use gumdrop::Options;

use crate::options::{
    BenchOptions, Command, DecideOptions, LimitsOptions, PoliciesOptions, ProxyOptions,
    SlopesOptions,
};
use crate::{decide, faults, limits, policies, proxy, slopes};

/// Runs the binary with the arguments of the process.
///
/// Returns exit code 0 if the benchmark succeeded, 1 if it failed, and 2 for invalid arguments or a missing
/// subcommand.
#[must_use]
pub fn run() -> ExitCode {
    let options = BenchOptions::parse_args_default_or_exit();
    let result = match options.command {
        Some(Command::Policies(options)) => policies::run(&options),
        Some(Command::Decide(options)) => decide::run(&options),
        Some(Command::Proxy(options)) => proxy::run(&options),
        Some(Command::Faults(options)) => faults::run(&options),
        Some(Command::Slopes(options)) => slopes::run(&options),
        Some(Command::Limits(options)) => limits::run(&options),
        Some(Command::All(_)) => run_all(),
        None => {
            println!("{}", BenchOptions::usage());
            if let Some(list) = BenchOptions::command_list() {
                println!("\nCommands:\n{list}");
            }
            return ExitCode::from(2);
        }
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("bench: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run_all() -> std::io::Result<()> {
    policies::run(
        &PoliciesOptions::parse_args_default::<&str>(&[]).map_err(|error| usage(&error))?,
    )?;
    decide::run(&DecideOptions::parse_args_default::<&str>(&[]).map_err(|error| usage(&error))?)?;
    proxy::run(&ProxyOptions::parse_args_default::<&str>(&[]).map_err(|error| usage(&error))?)?;
    limits::run(&LimitsOptions::parse_args_default::<&str>(&[]).map_err(|error| usage(&error))?)?;
    slopes::run(&SlopesOptions::parse_args_default::<&str>(&[]).map_err(|error| usage(&error))?)
}

fn usage(error: &gumdrop::Error) -> std::io::Error {
    std::io::Error::other(error.to_string())
}
