//! The operators' command line.

mod cli;
mod cmd;

use std::process::ExitCode;

fn main() -> ExitCode {
    env_logger::init();
    cli::run()
}
