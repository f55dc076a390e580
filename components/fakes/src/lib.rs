//! Small stand-ins for the platform used by tests and by the dev command.

pub mod endpoint;
pub mod history;
pub mod store;
pub mod worker;
