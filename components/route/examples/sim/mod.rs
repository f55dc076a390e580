//! A small discrete-event simulation of entries, agents and endpoints.
//!
//! It runs the real state machines of entry and agent in virtual time. Network delays are
//! fixed; arrivals and the endpoints' service times are random.

pub(crate) mod endpoint;
pub(crate) mod world;

use std::time::Duration;

use hdrhistogram::Histogram;
use kernel::Time;

/// One-way delay between an entry and an agent.
pub(crate) const NETWORK_DELAY: Duration = Duration::from_millis(1);
/// Minimum service time.
pub(crate) const SERVICE_BASE: Duration = Duration::from_millis(10);
/// Mean of the exponential part of the service time, which is added to the minimum.
pub(crate) const SERVICE_MEAN_EXTRA: Duration = Duration::from_millis(10);
/// Time from the arrival of a request to its deadline.
pub(crate) const TIMEOUT: Duration = Duration::from_millis(500);
/// Number of endpoints of the service.
pub(crate) const ENDPOINTS: usize = 11;
/// Number of slots of each endpoint.
pub(crate) const SLOTS: u32 = 8;
/// Number of entries.
pub(crate) const ENTRIES: usize = 2;
/// Number of availability zones.
pub(crate) const ZONES: usize = 4;

/// How requests are routed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Strategy {
    /// The router and the admission of this crate.
    Product,
    /// Random choice, no limits, no hedges, up to three attempts per request.
    Baseline,
}

/// The fault of a run, which begins after a quarter of its time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    /// No fault.
    None,
    /// One endpoint takes this many times as long for each request.
    Slow(u32),
    /// One request in fifty takes this many times as long, on any endpoint.
    SlowRequests(u32),
    /// No endpoint accepts connections.
    Unreachable,
    /// Every endpoint reads requests and closes the connection.
    Crashing,
    /// Operators take one availability zone out.
    ZoneOut,
}

/// Parameters of one run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Scenario {
    /// How requests are routed.
    pub(crate) strategy: Strategy,
    /// Fault of the run.
    pub(crate) fault: Fault,
    /// Rate of requests, as a share of the capacity of all endpoints.
    pub(crate) load: f64,
    /// Time during which requests arrive.
    pub(crate) span: Duration,
    /// Seed of arrivals, service times and random choices.
    pub(crate) seed: u64,
}

impl Scenario {
    /// Returns the capacity of all endpoints, in requests per second.
    #[must_use]
    pub(crate) fn capacity() -> f64 {
        let service = (SERVICE_BASE + SERVICE_MEAN_EXTRA).as_secs_f64();
        ENDPOINTS as f64 * f64::from(SLOTS) / service
    }

    /// Returns when the fault begins.
    #[must_use]
    pub(crate) fn fault_at(&self) -> Time {
        Time::ZERO + self.span / 4
    }
}

/// Results of a run, for requests that arrive after the fault begins.
#[derive(Clone, Debug)]
pub(crate) struct Summary {
    /// Number of requests that arrived.
    pub(crate) requests: u64,
    /// Number of whole answers within the deadline.
    pub(crate) good: u64,
    /// Number of attempts sent to agents.
    pub(crate) attempts: u64,
    /// Number of requests that were refused and did not run.
    pub(crate) refused: u64,
    /// Number of requests that ended without an answer in time and may have run.
    pub(crate) failed: u64,
    /// Time from the beginning of the fault to the last arrivals, in seconds.
    pub(crate) span_secs: f64,
    /// Latency of all requests that were not refused, in microseconds; a request without
    /// an answer counts with [`TIMEOUT`].
    pub(crate) latency: Histogram<u64>,
}

impl Summary {
    /// Returns the 99th percentile of the latency, in milliseconds.
    #[must_use]
    pub(crate) fn p99_millis(&self) -> f64 {
        self.latency.value_at_quantile(0.99) as f64 / 1000.0
    }

    /// Returns the rate of good answers, as a share of the capacity of all endpoints.
    #[must_use]
    pub(crate) fn goodput(&self) -> f64 {
        self.good as f64 / self.span_secs / Scenario::capacity()
    }

    /// Returns the number of attempts per request.
    #[must_use]
    pub(crate) fn attempts_per_request(&self) -> f64 {
        self.attempts as f64 / self.requests as f64
    }
}
