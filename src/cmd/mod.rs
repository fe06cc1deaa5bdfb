//! One module per subcommand, each with `command()` and `run(&ArgMatches)`, and shared modules.

pub mod apply;
pub mod check;
pub mod demo;
pub mod drain;
pub mod exit;
pub mod files;
pub mod history;
pub mod list;
pub mod plan;
pub mod revert_to;
pub mod session;
pub mod settings;
pub mod shift;
pub mod show;
pub mod status;
pub mod undrain;
