//! The whole system in one process, with stand-ins for the platform's services.
//!
//! The `dev` command runs the system on a laptop, and tests run parts of it. The daemons
//! are the real ones; they call each other over loopback sockets and reach the stand-in
//! store through the store's real protocol.

pub mod client;
pub mod demo;
pub mod plan;
pub mod platform;
pub mod system;
pub mod vm;

pub use client::EntryClient;
pub use plan::Plan;
pub use platform::Platform;
pub use system::{StartError, System};
pub use vm::Standins;
