//! Daemon of an entry VM.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Arg, Command, value_parser};
use config::Settings;

/// Exit code when the settings are invalid.
const EXIT_INVALID_SETTINGS: u8 = 1;
/// Exit code when the daemon fails to start.
const EXIT_START_FAILED: u8 = 7;
/// Exit code when the settings file cannot be read.
const EXIT_UNREADABLE: u8 = 5;

fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info")).init();
    let matches = Command::new("rosemaryglade-entry")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Runs an entry VM: look-ups, relaying, membership and configuration")
        .after_help("SIGTERM starts a graceful shutdown. See docs/OPERATING.md.")
        .arg(
            Arg::new("settings")
                .long("settings")
                .value_name("FILE")
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("Settings of this entry VM, JSON with comments"),
        )
        .get_matches();
    let path = matches
        .get_one::<PathBuf>("settings")
        .cloned()
        .unwrap_or_default();
    let settings = match read_settings(&path) {
        Ok(settings) => settings,
        Err((code, message)) => {
            eprintln!("{message}");
            return code.into();
        }
    };
    match run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("{}: error: {report:#}", path.display());
            EXIT_START_FAILED.into()
        }
    }
}

fn read_settings(path: &Path) -> Result<Settings, (u8, String)> {
    let name = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|e| {
        (
            EXIT_UNREADABLE,
            format!("{name}: cannot read settings file: {e}"),
        )
    })?;
    config::parse_settings(&name, &text)
        .map_err(|e| (EXIT_INVALID_SETTINGS, e.current_context().to_string()))
}

fn run(settings: Settings) -> entry::Result<()> {
    runtime::recorder::install();
    let stop = runtime::signals::termination()
        .map_err(|e| error_stack::Report::new(entry::Error::Signals).attach(e))?;
    runtime::block_on(settings.threads, entry::run(settings, stop))
}
