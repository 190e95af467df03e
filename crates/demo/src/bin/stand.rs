//! The binary `lacewingstile-stand`.

use std::process::ExitCode;

use gumdrop::Options as _;
use lw_demo::{StandOptions, run_stand};

fn main() -> ExitCode {
    let options = StandOptions::parse_args_default_or_exit();
    let result =
        tokio::runtime::Runtime::new().map(|runtime| runtime.block_on(run_stand(&options)));
    match result {
        Ok(Ok(())) => ExitCode::SUCCESS,
        Ok(Err(error)) => {
            eprintln!("lacewingstile-stand: {error}");
            ExitCode::FAILURE
        }
        Err(error) => {
            eprintln!("lacewingstile-stand: cannot start the async runtime: {error}");
            ExitCode::FAILURE
        }
    }
}
