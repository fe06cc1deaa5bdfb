//! Prints the capacity measurements. The only argument is the seed, 1 by default.

use std::io::{self, stdout};

fn main() -> io::Result<()> {
    let seed = match std::env::args().nth(1) {
        Some(s) => s.parse().map_err(io::Error::other)?,
        None => 1,
    };
    load::capacity::run(seed, &mut stdout().lock())
}
