//! Stand-ins for the platform's services, used by tests and by the `dev` command.

pub mod endpoint;
pub mod history;
pub mod proxy;
pub mod store;
pub mod worker;
