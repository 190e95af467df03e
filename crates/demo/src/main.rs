//! The binary `lacewingstile-demo`.

use std::process::ExitCode;

use gumdrop::Options as _;
use lw_demo::{Options, run_demo};

fn main() -> ExitCode {
    let options = Options::parse_args_default_or_exit();
    lw_daemon::start_logs(options.log_level);
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("lacewingstile-demo: cannot start the async runtime: {error}");
            return ExitCode::FAILURE;
        }
    };
    match runtime.block_on(run_demo(&options)) {
        Ok(summary) if summary.passed() => ExitCode::SUCCESS,
        Ok(_) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("lacewingstile-demo: {error}");
            ExitCode::FAILURE
        }
    }
}
