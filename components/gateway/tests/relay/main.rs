//! An entry VM between callers and scripted servers, over real connections.

mod answers;
mod callers;
mod forward;
mod garbage;
mod stop;
mod world;
