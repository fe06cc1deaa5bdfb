//! One file per command, each with `command()` and `run(&ArgMatches)`.

pub mod check;
#[allow(
    dead_code,
    reason = "some codes belong to commands that are added separately"
)]
pub mod exit;
pub mod files;
pub mod plan;
