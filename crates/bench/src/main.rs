//! Entry point of the binary `lacewingstile-bench`.

use std::process::ExitCode;

fn main() -> ExitCode {
    lw_bench::run()
}
