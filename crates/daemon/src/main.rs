//! The binary `lacewingstiled`.

use std::process::ExitCode;

fn main() -> ExitCode {
    ExitCode::from(lw_daemon::main_exit().code())
}
