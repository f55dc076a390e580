//! Request routing, limits, retries and hedging as plain state machines.
