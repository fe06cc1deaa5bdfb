//! Tickets, execution records and caller-key claims: binding work runs at most once.
