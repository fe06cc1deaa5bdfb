//! Entry VMs as child processes that are killed, frozen and terminated under load.
//!
//! Every test compares the answers to callers with the execution logs of the servers.

mod common;
mod freeze;
mod keys;
mod kill;
mod serve;
mod slots;
mod terminate;
