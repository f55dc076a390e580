//! The whole system in one process, around stand-ins for the platform.
//!
//! The `dev` command runs it on a laptop, and tests run parts of it. The
//! daemons are the real ones and talk over loopback sockets, the store through
//! its real protocol.

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
