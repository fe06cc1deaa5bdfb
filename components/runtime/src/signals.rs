//! Termination signals.

use std::thread;

use async_channel::Receiver;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

/// Returns a channel that closes at the first SIGTERM or SIGINT.
pub fn termination() -> std::io::Result<Receiver<()>> {
    let mut signals = Signals::new([SIGTERM, SIGINT])?;
    let (tx, rx) = async_channel::bounded::<()>(1);
    thread::Builder::new()
        .name("signals".to_owned())
        .spawn(move || {
            if let Some(signal) = signals.forever().next() {
                log::info!("event=signal number={signal}");
            }
            drop(tx);
        })?;
    Ok(rx)
}
