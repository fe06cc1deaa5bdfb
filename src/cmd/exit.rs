//! Exit codes of all subcommands, documented in `docs/EXIT-CODES.md`.

use std::process::ExitCode;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Code(u8);

pub const SUCCESS: Code = Code(0);
/// A file has errors, a requested name or generation does not exist, or `demo` failed.
pub const FAILURE: Code = Code(1);
/// The command line arguments are invalid.
pub const USAGE: Code = Code(2);
/// The base generation is not in force, such as after another operator's change.
pub const CONFLICT: Code = Code(3);
/// The platform could not be reached or gave an invalid response; nothing was changed.
pub const PLATFORM_UNREACHABLE: Code = Code(4);
/// A file cannot be read.
pub const FILE_UNREADABLE: Code = Code(5);
/// The change would move more traffic than its cap allows.
pub const CAP_EXCEEDED: Code = Code(6);
/// The platform did not confirm a change that may have taken effect.
pub const OUTCOME_UNKNOWN: Code = Code(7);
/// An entry VM does not respond or does not have the newest configuration.
pub const OUTDATED: Code = Code(8);

impl From<Code> for ExitCode {
    fn from(code: Code) -> ExitCode {
        ExitCode::from(code.0)
    }
}
