//! Logs as JSON lines on standard output.
//!
//! A thread writes the lines from a bounded queue, so that a slow reader of the output
//! never blocks the daemon. Lines that find the queue full are dropped and counted.

use std::{io, time::Duration};

use tracing_appender::non_blocking::{ErrorCounter, NonBlocking, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;

/// Environment variable with the log filter, such as `info,cell=debug`.
pub const FILTER_VARIABLE: &str = "HEMLOCKMOOR_LOG";
/// Capacity of the queue, about 2 MB of lines.
const QUEUE_LINES: usize = 4_096;
/// Interval between two reports of dropped lines.
const REPORT_INTERVAL: Duration = Duration::from_secs(5);

/// Keeps logging active; writes the queued lines when it is dropped.
#[derive(Debug)]
pub struct LogGuard {
    _guard: WorkerGuard,
    dropped: ErrorCounter,
}

impl LogGuard {
    /// Returns the number of lines dropped since logging started.
    #[must_use]
    pub fn dropped_lines(&self) -> usize {
        self.dropped.dropped_lines()
    }

    /// Logs the number of newly dropped lines periodically, forever.
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

/// Starts logging to standard output; has no effect if logging has started before.
#[must_use = "dropping it ends the log"]
pub fn init() -> LogGuard {
    init_with("info", io::stdout())
}

/// Starts logging to standard error, for a program that prints results on standard
/// output. Logs warnings and errors unless [`FILTER_VARIABLE`] sets another filter.
#[must_use = "dropping it ends the log"]
pub fn init_on_stderr() -> LogGuard {
    init_with("warn", io::stderr())
}

/// Returns a writer whose lines a thread passes on to the output. A line that the output
/// does not take is lost; later ones are tried again.
pub fn queue_lines(output: impl io::Write + Send + 'static) -> (NonBlocking, WorkerGuard) {
    NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(QUEUE_LINES)
        .finish(output)
}

fn init_with(filter: &str, output: impl io::Write + Send + 'static) -> LogGuard {
    let filter =
        EnvFilter::try_from_env(FILTER_VARIABLE).unwrap_or_else(|_| EnvFilter::new(filter));
    let (writer, guard) = queue_lines(output);
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
