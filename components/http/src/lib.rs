//! Strict HTTP/1.1 on async-h1: whole bodies, head checks, timers, result codes and authenticated peer messages.
