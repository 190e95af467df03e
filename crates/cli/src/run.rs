//! Runs the command-line tool.

use gumdrop::Options;

use crate::arguments::{Arguments, Command};
use crate::cli_error::CliError;
use crate::commands::{
    audit, diff, drain, explain, publish, quarantine, rollback, show, status, trace, validate,
};
use crate::context::Context;
use crate::report::{Report, error_json, error_text};

/// Output and exit code of a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CommandOutput {
    /// Exit code: 0 ok, 1 failure, 2 usage, 3 validation failed or not confirmed, 4 conflict, 5 service unavailable.
    pub code: u8,
    /// Text for standard output.
    pub stdout: String,
    /// Text for standard error.
    pub stderr: String,
}

/// Runs the tool; `arguments` does not include the program name.
#[must_use]
pub fn run(arguments: &[String]) -> CommandOutput {
    let parsed = match Arguments::parse_args_default(arguments) {
        Ok(parsed) => parsed,
        Err(error) => {
            return failure(
                &CliError::Usage(format!(
                    "{error}; run `lacewingstile --help` to see the options and subcommands"
                )),
                false,
            );
        }
    };
    if parsed.help_requested() {
        return success(requested_help(&parsed));
    }
    let json = parsed.json;
    match run_command(parsed) {
        Ok(report) => success(report.render(json)),
        Err(error) => failure(&error, json),
    }
}

fn run_command(arguments: Arguments) -> Result<Report, CliError> {
    let context = Context::new(&arguments)?;
    let Some(command) = arguments.command else {
        let message = format!(
            "no subcommand is given; use one of those listed below\n\n{}",
            tool_help()
        );
        return Err(CliError::Usage(message));
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|error| {
            CliError::Failed(format!(
                "cannot start the async runtime: {error}; check the process limits"
            ))
        })?;
    // Clients run their connections as local tasks.
    let local = tokio::task::LocalSet::new();
    local.block_on(&runtime, run_subcommand(&context, command))
}

async fn run_subcommand(context: &Context, command: Command) -> Result<Report, CliError> {
    match command {
        Command::Validate(options) => validate::run(context, &options),
        Command::Diff(options) => diff::run(context, &options).await,
        Command::Publish(options) => publish::run(context, options).await,
        Command::Show(options) => show::run(context, &options).await,
        Command::Status(_) => status::run(context).await,
        Command::Audit(options) => audit::run(context, &options).await,
        Command::Rollback(options) => rollback::run(context, &options).await,
        Command::Explain(options) => explain::run(context, &options).await,
        Command::Trace(options) => trace::run(&options),
        Command::Quarantine(options) => quarantine::run(context, &options).await,
        Command::Drain(_) => drain::run(context).await,
    }
}

fn requested_help(arguments: &Arguments) -> String {
    match &arguments.command {
        Some(command) => format!("{}\n", command.self_usage()),
        None => tool_help(),
    }
}

fn tool_help() -> String {
    let commands = Arguments::command_list().unwrap_or_default();
    let options = Arguments::usage();
    format!("Usage: lacewingstile [OPTIONS] SUBCOMMAND\n\n{options}\n\nSubcommands:\n{commands}\n")
}

fn success(stdout: String) -> CommandOutput {
    CommandOutput {
        code: 0,
        stdout,
        stderr: String::new(),
    }
}

fn failure(error: &CliError, json: bool) -> CommandOutput {
    let stdout = match json {
        true => format!("{:#}\n", error_json(error)),
        false => String::new(),
    };
    let stderr = match json {
        true => String::new(),
        false => error_text(error),
    };
    CommandOutput {
        code: error.code(),
        stdout,
        stderr,
    }
}
