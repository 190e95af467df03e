//! The binary `lacewingstile`.

use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let finished = lw_cli::run(&arguments);
    print!("{}", finished.stdout);
    eprint!("{}", finished.stderr);
    ExitCode::from(finished.code)
}
