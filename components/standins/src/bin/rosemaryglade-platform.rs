//! Process that serves the platform stand-in.

use std::net::SocketAddr;
use std::time::Duration;

use clap::{Arg, Command, value_parser};
use standins::platform::{Platform, PlatformSettings, serve_platform};

fn main() -> std::io::Result<()> {
    env_logger::init();
    let matches = Command::new("rosemaryglade-platform")
        .about("Stand-in for the platform: table service, object store and VM list in memory")
        .arg(listen_arg())
        .arg(number_arg(
            "vm-list-lag-ms",
            "2000",
            "Delay in milliseconds until a change of the VM list is visible",
        ))
        .get_matches();
    let address = *matches
        .get_one::<SocketAddr>("listen")
        .expect("required argument");
    let lag = *matches
        .get_one::<u64>("vm-list-lag-ms")
        .expect("argument with default");
    let platform = Platform::new(PlatformSettings {
        vm_list_lag: Duration::from_millis(lag),
        ..PlatformSettings::default()
    });
    runtime::block_on(2, async move {
        let listener = async_net::TcpListener::bind(address).await?;
        log::info!(
            "event=listening role=platform address={}",
            listener.local_addr()?
        );
        let (_running, stop) = async_channel::bounded(1);
        serve_platform(listener, platform, stop).await;
        Ok(())
    })
}

fn listen_arg() -> Arg {
    Arg::new("listen")
        .long("listen")
        .value_name("ADDR")
        .help("Address to listen on, IP:PORT")
        .required(true)
        .value_parser(value_parser!(SocketAddr))
}

fn number_arg(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("N")
        .help(help)
        .default_value(default)
        .value_parser(value_parser!(u64))
}
