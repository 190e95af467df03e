//! Running the tool.

use gumdrop::Options;

use crate::arguments::{Arguments, Command};
use crate::cli_error::CliError;
use crate::commands::{
    audit, diff, drain, explain, publish, rollback, show, status, trace, validate,
};
use crate::context::Context;
use crate::report::{Report, error_json, error_text};

/// What a run prints, and its exit code.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CommandOutput {
    /// 0 ok, 1 failure, 2 usage, 3 validation failed, 4 conflict, 5 service unavailable.
    pub code: u8,
    /// For standard output.
    pub stdout: String,
    /// For standard error.
    pub stderr: String,
}

/// Runs the tool with the arguments after the program name.
#[must_use]
pub fn run(arguments: &[String]) -> CommandOutput {
    let parsed = match Arguments::parse_args_default(arguments) {
        Ok(parsed) => parsed,
        Err(error) => return failed(&CliError::Usage(error.to_string()), false),
    };
    if parsed.help_requested() {
        return ok(help_text(&parsed));
    }
    let json = parsed.json;
    match run_command(parsed) {
        Ok(report) => ok(report.render(json)),
        Err(error) => failed(&error, json),
    }
}

fn run_command(arguments: Arguments) -> Result<Report, CliError> {
    let context = Context::new(&arguments)?;
    let Some(command) = arguments.command else {
        let message = format!("name a subcommand\n\n{}", help_of_tool());
        return Err(CliError::Usage(message));
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|error| CliError::Failed(error.to_string()))?;
    runtime.block_on(run_subcommand(&context, command))
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
        Command::Drain(_) => drain::run(context).await,
    }
}

fn help_text(arguments: &Arguments) -> String {
    match &arguments.command {
        Some(command) => format!("{}\n", command.self_usage()),
        None => help_of_tool(),
    }
}

fn help_of_tool() -> String {
    let commands = Arguments::command_list().unwrap_or_default();
    let options = Arguments::usage();
    format!("Usage: lacewingstile [OPTIONS] SUBCOMMAND\n\n{options}\n\nSubcommands:\n{commands}\n")
}

fn ok(stdout: String) -> CommandOutput {
    CommandOutput {
        code: 0,
        stdout,
        stderr: String::new(),
    }
}

fn failed(error: &CliError, json: bool) -> CommandOutput {
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
