//! Slot split and loans, class queues, retry budget, hedging and link pacing.
