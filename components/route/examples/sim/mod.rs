//! A small discrete-event simulation of entries, agents and endpoints.
//!
//! It runs the real state machines of entry and agent in virtual time; only the
//! network delays and the endpoints' service times are drawn.

pub(crate) mod endpoint;
pub(crate) mod world;

use std::time::Duration;

use hdrhistogram::Histogram;
use kernel::Time;

/// The one-way delay between an entry and an agent.
pub(crate) const HOP: Duration = Duration::from_millis(1);
/// The shortest service time.
pub(crate) const SERVICE_BASE: Duration = Duration::from_millis(10);
/// The mean of the exponential part of the service time.
pub(crate) const SERVICE_MEAN_EXTRA: Duration = Duration::from_millis(10);
/// How long callers wait.
pub(crate) const TIMEOUT: Duration = Duration::from_millis(500);
/// Endpoints of the service.
pub(crate) const ENDPOINTS: usize = 11;
/// Slots of each endpoint.
pub(crate) const SLOTS: u32 = 8;
/// Entries.
pub(crate) const ENTRIES: usize = 2;
/// Availability zones.
pub(crate) const ZONES: usize = 4;

/// Which decisions are made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Deciding {
    /// Those of the product.
    Product,
    /// Random choice, no limits, no hedges, every failure tried three times.
    Baseline,
}

/// What goes wrong, always a quarter of the way through.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    /// Nothing.
    None,
    /// One endpoint takes this many times as long.
    Slow(u32),
    /// One request in fifty takes this many times as long, on any endpoint.
    Hiccups(u32),
    /// No endpoint accepts connections.
    Unreachable,
    /// Every endpoint reads requests and closes the connection.
    Crashing,
    /// Operators take one availability zone out.
    ZoneOut,
}

/// One run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Scenario {
    /// Which decisions are made.
    pub(crate) deciding: Deciding,
    /// What goes wrong.
    pub(crate) fault: Fault,
    /// Requests per second as a share of what all endpoints can answer.
    pub(crate) load: f64,
    /// How long requests arrive.
    pub(crate) span: Duration,
    /// Seeds arrivals, service times and choices.
    pub(crate) seed: u64,
}

impl Scenario {
    /// Requests per second that all endpoints can answer.
    #[must_use]
    pub(crate) fn capacity() -> f64 {
        let service = (SERVICE_BASE + SERVICE_MEAN_EXTRA).as_secs_f64();
        ENDPOINTS as f64 * f64::from(SLOTS) / service
    }

    /// When the fault begins.
    #[must_use]
    pub(crate) fn fault_at(&self) -> Time {
        Time::ZERO + self.span / 4
    }
}

/// What came of a run, counted from the beginning of the fault.
#[derive(Clone, Debug)]
pub(crate) struct Summary {
    /// Requests that arrived.
    pub(crate) requests: u64,
    /// Whole answers within the deadline.
    pub(crate) good: u64,
    /// Attempts that were sent to agents.
    pub(crate) attempts: u64,
    /// Requests that were refused and did not run.
    pub(crate) refused: u64,
    /// Requests that ended without an answer and may have run.
    pub(crate) failed: u64,
    /// The time over which this was counted, in seconds.
    pub(crate) span_secs: f64,
    /// Latency of all requests that were not refused, in microseconds; those
    /// without an answer count with the whole deadline.
    pub(crate) latency: Histogram<u64>,
}

impl Summary {
    /// The 99th percentile of the latency, in milliseconds.
    #[must_use]
    pub(crate) fn p99_millis(&self) -> f64 {
        self.latency.value_at_quantile(0.99) as f64 / 1000.0
    }

    /// Good answers per second as a share of what all endpoints can answer.
    #[must_use]
    pub(crate) fn goodput(&self) -> f64 {
        self.good as f64 / self.span_secs / Scenario::capacity()
    }

    /// Attempts per request.
    #[must_use]
    pub(crate) fn attempts_per_request(&self) -> f64 {
        self.attempts as f64 / self.requests as f64
    }
}
