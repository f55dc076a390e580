//! Logs as JSON lines on standard output.
//!
//! A thread writes the lines from a bounded queue, so that a slow reader of the output
//! never blocks the daemon. Lines that find the queue full are dropped and counted. The
//! thread writes the lines that have gathered in one call, since a call and a wake-up for
//! each line cost a busy daemon more than the lines themselves.

use std::{
    io::{self, BufWriter, Write},
    time::Duration,
};

use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;

/// Environment variable with the log filter, such as `info,cell=debug`.
pub const FILTER_VARIABLE: &str = "HEMLOCKMOOR_LOG";
/// Capacity of the queue, about 2 MB of lines.
const QUEUE_LINES: usize = 4_096;
/// How long lines gather. At most this much of the log is lost if the process is killed.
const GATHER_TIME: Duration = Duration::from_millis(20);
/// Bytes that are written in one call at most, but for a longer line: a pipe takes as many
/// as a whole, and what reads it may take less of a larger call.
const CALL_BYTES: usize = 4_096;
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

fn init_with(filter: &str, output: impl io::Write + Send + 'static) -> LogGuard {
    let filter =
        EnvFilter::try_from_env(FILTER_VARIABLE).unwrap_or_else(|_| EnvFilter::new(filter));
    let (writer, guard) = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(QUEUE_LINES)
        .finish(GatheringWriter::new(output));
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

/// Writes the lines that have gathered, and then waits for further ones. The thread that
/// owns the writer flushes it whenever the queue is empty.
#[derive(Debug)]
pub struct GatheringWriter<W: Write> {
    output: BufWriter<W>,
}

impl<W: Write> GatheringWriter<W> {
    /// Returns a writer to this output.
    pub fn new(output: W) -> Self {
        Self {
            output: BufWriter::with_capacity(CALL_BYTES, output),
        }
    }
}

impl<W: Write> Write for GatheringWriter<W> {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.output.write(buf)
    }

    fn flush(&mut self) -> io::Result<()> {
        self.output.flush()?;
        std::thread::sleep(GATHER_TIME);
        Ok(())
    }
}
