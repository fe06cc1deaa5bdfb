//! Runs one case: `review-case NAME RECORD`. Exits with 1 if the rule was broken, 0 if it held, and 2
//! if the case could not run. With `TROUBLE=0` the disruption is left out.

mod gone;
mod kit;
mod late;
mod pipeline;

use std::path::Path;
use std::process::ExitCode;

use late::Meanwhile;

fn main() -> ExitCode {
    kit::now();
    let args: Vec<String> = std::env::args().collect();
    let [_, name, record] = &args[..] else {
        eprintln!("usage: review-case NAME RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |v| v != "0");
    let record = kit::Record::create(Path::new(record));
    let broken = match name.as_str() {
        "pipeline" => pipeline::run(&record, trouble),
        "restart" => late::run(&record, trouble, Meanwhile::Restart),
        "outage" => late::run(&record, trouble, Meanwhile::Outage),
        "gone" => gone::run(&record, trouble),
        _ => None,
    };
    match broken {
        Some(true) => ExitCode::from(1),
        Some(false) => ExitCode::SUCCESS,
        None => ExitCode::from(2),
    }
}
