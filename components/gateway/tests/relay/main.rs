//! Tests of an entry VM between callers and scripted servers, over real connections.

mod answers;
mod callers;
mod connection_ends;
mod cut_off;
mod endless_responses;
mod faulty_servers;
mod forward;
mod harness;
mod hedges;
mod invalid_heads;
mod look_ups;
mod malformed_input;
mod partition;
mod pool_owner;
mod refusal_copies;
mod reused_addresses;
mod stop;
mod upload_resets;
