//! Process that serves a backend server stand-in.

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
                .help("Server name in the responses"),
        )
        .arg(number_arg("slots", "3", "Concurrent requests in service"))
        .arg(number_arg(
            "queue",
            "3",
            "Requests that may wait for a slot",
        ))
        .arg(number_arg("connections", "330", "Concurrent connections"))
        .arg(number_arg(
            "service-time-ms",
            "10",
            "Mean service time in milliseconds",
        ))
        .arg(number_arg(
            "answer-bytes",
            "0",
            "Response size in bytes for requests without x-answer-bytes",
        ))
        .arg(number_arg(
            "seed",
            "1",
            "Random seed of service times and faults",
        ))
        .arg(float_arg(
            "straggler-probability",
            "0",
            "Probability that a request is a straggler",
        ))
        .arg(float_arg(
            "straggler-factor",
            "10",
            "Service time multiplier of stragglers",
        ))
        .arg(flag_arg(
            "exponential",
            "Draw service times from an exponential distribution",
        ))
        .arg(flag_arg(
            "binding",
            "Continue executions whose connection closes",
        ))
}

fn settings(matches: &ArgMatches) -> ServerSettings {
    let number = |name: &str| *matches.get_one::<u64>(name).expect("argument with default");
    let float = |name: &str| *matches.get_one::<f64>(name).expect("argument with default");
    let name = matches
        .get_one::<String>("name")
        .expect("argument with default");
    ServerSettings {
        name: name.as_str().into(),
        slots: number("slots") as usize,
        max_queue: number("queue") as usize,
        max_connections: number("connections") as usize,
        service_time: Duration::from_millis(number("service-time-ms")),
        exponential: matches.get_flag("exponential"),
        straggler_probability: float("straggler-probability"),
        straggler_factor: float("straggler-factor"),
        binding: matches.get_flag("binding"),
        default_response_bytes: number("answer-bytes") as usize,
        seed: number("seed"),
        ..ServerSettings::default()
    }
}

fn number_arg(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("N")
        .help(help)
        .default_value(default)
        .value_parser(value_parser!(u64))
}

fn float_arg(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    number_arg(name, default, help).value_parser(value_parser!(f64))
}

fn flag_arg(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .help(help)
        .action(ArgAction::SetTrue)
}
