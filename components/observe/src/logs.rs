//! Logs as JSON lines on standard output.
//!
//! Lines wait in a bounded queue for a thread that writes them, so that a reader
//! who is slow never holds up a decision; what finds the queue full is dropped
//! and counted.

use std::{io, time::Duration};

use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;

/// The variable that sets what is logged, such as `info,cell=debug`.
pub const FILTER_VARIABLE: &str = "HEMLOCKMOOR_LOG";
/// How many lines may wait; about 2 MB.
const QUEUE_LINES: usize = 4_096;
/// How often dropped lines are reported.
const REPORT_INTERVAL: Duration = Duration::from_secs(5);

/// Writes the lines that still wait when it is dropped.
#[derive(Debug)]
pub struct LogGuard {
    _guard: WorkerGuard,
    dropped: ErrorCounter,
}

impl LogGuard {
    /// How many lines were dropped since the start.
    #[must_use]
    pub fn dropped_lines(&self) -> usize {
        self.dropped.dropped_lines()
    }

    /// Reports dropped lines for as long as it is polled.
    pub async fn report_dropped_lines(&self) {
        let mut reported = 0;
        loop {
            smol::Timer::after(REPORT_INTERVAL).await;
            let dropped = self.dropped_lines();
            if dropped > reported {
                tracing::warn!(lines = dropped - reported, "log lines were dropped");
                reported = dropped;
            }
        }
    }
}

/// Logs to standard output from now on; later calls change nothing.
#[must_use = "dropping it ends the log"]
pub fn init() -> LogGuard {
    init_with("info", io::stdout())
}

/// Logs warnings to standard error, for a program whose standard output is for
/// people; [`FILTER_VARIABLE`] may say otherwise.
#[must_use = "dropping it ends the log"]
pub fn init_on_stderr() -> LogGuard {
    init_with("warn", io::stderr())
}

fn init_with(filter: &str, output: impl io::Write + Send + 'static) -> LogGuard {
    let filter =
        EnvFilter::try_from_env(FILTER_VARIABLE).unwrap_or_else(|_| EnvFilter::new(filter));
    let (writer, guard) = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(QUEUE_LINES)
        .finish(output);
    let dropped = writer.error_counter();
    let _ = tracing_subscriber::fmt()
        .json()
        .flatten_event(true)
        .with_env_filter(filter)
        .with_writer(writer)
        .try_init();
    LogGuard {
        _guard: guard,
        dropped,
    }
}
