//! Logs as JSON lines.

use tracing_subscriber::EnvFilter;

/// The variable that sets what is logged, such as `info,cell=debug`.
pub const FILTER_VARIABLE: &str = "HEMLOCKMOOR_LOG";

/// Logs to standard error from now on; later calls change nothing.
pub fn init() {
    init_with("info");
}

/// As [`init`], with what is logged unless [`FILTER_VARIABLE`] says otherwise.
pub fn init_with(filter: &str) {
    let filter =
        EnvFilter::try_from_env(FILTER_VARIABLE).unwrap_or_else(|_| EnvFilter::new(filter));
    let _ = tracing_subscriber::fmt()
        .json()
        .flatten_event(true)
        .with_env_filter(filter)
        .with_writer(std::io::stderr)
        .try_init();
}
