//! Command line for operators.

mod cli;
mod cmd;

use std::process::ExitCode;

fn main() -> ExitCode {
    env_logger::init();
    cli::run()
}
