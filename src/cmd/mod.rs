//! One file per command, each with `command()` and `run(&ArgMatches)`.

pub mod check;
pub mod demo;
#[allow(
    dead_code,
    reason = "some codes belong to commands that are added separately"
)]
pub mod exit;
pub mod files;
pub mod plan;
