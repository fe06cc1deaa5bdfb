//! Exit codes of all commands, listed in `docs/EXIT-CODES.md`.

use std::process::ExitCode;

/// Numbered exit code.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Code(u8);

/// Done.
pub const FINE: Code = Code(0);
/// The files contain faults.
pub const FAULTS: Code = Code(1);
/// The command line is wrong.
pub const USAGE: Code = Code(2);
/// Another operator's change is in force.
pub const CONFLICT: Code = Code(3);
/// The platform gave no usable answer; nothing was changed.
pub const UNREACHABLE: Code = Code(4);
/// A file cannot be read.
pub const UNREADABLE: Code = Code(5);
/// A step would move more traffic than its cap allows.
pub const CAP: Code = Code(6);
/// The platform did not confirm a change that may have taken effect.
pub const UNKNOWN: Code = Code(7);
/// An entry VM does not answer or does not have the newest configuration.
pub const BEHIND: Code = Code(8);

impl From<Code> for ExitCode {
    fn from(code: Code) -> ExitCode {
        ExitCode::from(code.0)
    }
}
