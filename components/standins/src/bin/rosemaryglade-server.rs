//! Runs a backend server stand-in as a process.

use std::net::SocketAddr;
use std::time::Duration;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use standins::server::{Server, ServerSettings, serve_server};

fn main() -> std::io::Result<()> {
    env_logger::init();
    let matches = command().get_matches();
    let address = *matches
        .get_one::<SocketAddr>("listen")
        .expect("required argument");
    let server = Server::new(settings(&matches));
    runtime::block_on(2, async move {
        let listener = async_net::TcpListener::bind(address).await?;
        log::info!(
            "event=listening role=server address={}",
            listener.local_addr()?
        );
        let (_running, stop) = async_channel::bounded(1);
        serve_server(listener, server, stop).await;
        Ok(())
    })
}

fn command() -> Command {
    Command::new("rosemaryglade-server")
        .about("Stand-in for a backend server")
        .arg(
            Arg::new("listen")
                .long("listen")
                .value_name("ADDR")
                .help("Address to listen on, IP:PORT")
                .required(true)
                .value_parser(value_parser!(SocketAddr)),
        )
        .arg(
            Arg::new("name")
                .long("name")
                .default_value("server")
                .help("Name in the answers"),
        )
        .arg(number("slots", "3", "Requests in service at once"))
        .arg(number("queue", "3", "Requests that wait for a slot"))
        .arg(number("connections", "330", "Connections open at once"))
        .arg(number("service-time-ms", "10", "Mean service time"))
        .arg(number(
            "answer-bytes",
            "0",
            "Size of an answer without x-answer-bytes",
        ))
        .arg(number("seed", "1", "Seed of the service times"))
        .arg(real(
            "straggler-probability",
            "0",
            "Probability of a straggler",
        ))
        .arg(real(
            "straggler-factor",
            "10",
            "Factor on the service time of a straggler",
        ))
        .arg(flag(
            "exponential",
            "Draw service times from an exponential distribution",
        ))
        .arg(flag(
            "binding",
            "Don't cancel work when its connection closes",
        ))
}

fn settings(matches: &ArgMatches) -> ServerSettings {
    let number = |name: &str| *matches.get_one::<u64>(name).expect("argument with default");
    let real = |name: &str| *matches.get_one::<f64>(name).expect("argument with default");
    let name = matches
        .get_one::<String>("name")
        .expect("argument with default");
    ServerSettings {
        name: name.as_str().into(),
        slots: number("slots") as usize,
        queue: number("queue") as usize,
        connections: number("connections") as usize,
        service_time: Duration::from_millis(number("service-time-ms")),
        exponential: matches.get_flag("exponential"),
        straggler_probability: real("straggler-probability"),
        straggler_factor: real("straggler-factor"),
        binding: matches.get_flag("binding"),
        answer_bytes: number("answer-bytes") as usize,
        seed: number("seed"),
        ..ServerSettings::default()
    }
}

fn number(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("N")
        .help(help)
        .default_value(default)
        .value_parser(value_parser!(u64))
}

fn real(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    number(name, default, help).value_parser(value_parser!(f64))
}

fn flag(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .help(help)
        .action(ArgAction::SetTrue)
}
