//! Unix signals delivered to tasks through channels.

use std::thread;

use async_channel::Receiver;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
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

/// Returns a channel that receives a message on SIGHUP; signals that arrive before the message is
/// read are merged.
pub fn reloads() -> std::io::Result<Receiver<()>> {
    let mut signals = Signals::new([SIGHUP])?;
    let (tx, rx) = async_channel::bounded::<()>(1);
    thread::Builder::new()
        .name("reload-signals".to_owned())
        .spawn(move || {
            for _ in signals.forever() {
                // A full channel means that a reload is already pending.
                if tx.try_send(()).is_err_and(|e| e.is_closed()) {
                    return;
                }
            }
        })?;
    Ok(rx)
}
