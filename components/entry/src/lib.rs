//! An entry VM: caller, peer and operator listeners, relay, look-up and agents.
