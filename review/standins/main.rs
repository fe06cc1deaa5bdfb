//! Stand-ins and runner of the cases under `review/`: the platform's store, backend servers and
//! callers, which run in this process, and the gateways, which it starts as child processes with the
//! command of `deploy/system.toml`. Uses the standard library only.

mod cases;
mod client;
mod deployment;
mod http;
mod json;
mod record;
mod server;
mod store;

use std::process::exit;

fn main() {
    let args: Vec<String> = std::env::args().collect();
    if args.len() != 3 {
        eprintln!("usage: review-case CASE RECORD");
        exit(2);
    }
    let trouble = std::env::var("TROUBLE").map_or(true, |v| v != "0");
    let record = record::Record::create(&args[2]);
    record.line(&format!("case={} trouble={trouble}", args[1]));
    // A panic of any thread means that the case could not run.
    std::panic::set_hook(Box::new(|info| eprintln!("{info}")));
    let run = record.clone();
    let name = args[1].clone();
    let result = std::thread::spawn(move || cases::run(&name, trouble, &run)).join();
    let code = match result {
        Ok(cases::Verdict::Held) => 0,
        Ok(cases::Verdict::Broken) => 1,
        Ok(cases::Verdict::NotRun) | Err(_) => 2,
    };
    record.line(&format!("exit={code}"));
    exit(code);
}
