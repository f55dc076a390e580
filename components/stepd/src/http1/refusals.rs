//! Counts and logs what the limits on clients refuse.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

use prometheus_client::{
    encoding::{EncodeLabelSet, EncodeLabelValue, LabelValueEncoder},
    metrics::{counter::Counter, family::Family},
};

/// The shortest time between two log lines of one limit.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// A limit that can refuse a request or close a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Limit {
    /// The memory for bodies of all connections.
    BodyBudget,
    /// The length of one body.
    BodySize,
    /// The time until the next bytes of a body.
    BodyProgress,
    /// The time for a whole body.
    BodyTime,
    /// The time for a request head, or between two requests.
    HeadTime,
    /// The time in which a client must read a part of its response.
    ResponseTime,
    /// The number of open connections.
    Connections,
    /// The number of requests sent before their predecessors were answered.
    Pipeline,
    /// The number of jobs that are read from the store at a time.
    JobReads,
}

impl Limit {
    const fn name(self) -> &'static str {
        match self {
            Self::BodyBudget => "body_budget",
            Self::BodySize => "body_size",
            Self::BodyProgress => "body_progress",
            Self::BodyTime => "body_time",
            Self::HeadTime => "head_time",
            Self::ResponseTime => "response_time",
            Self::Connections => "connections",
            Self::Pipeline => "pipeline",
            Self::JobReads => "job_reads",
        }
    }
}

impl EncodeLabelValue for Limit {
    fn encode(&self, encoder: &mut LabelValueEncoder<'_>) -> std::fmt::Result {
        self.name().encode(encoder)
    }
}

/// The labels of the counter.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct LimitLabels {
    limit: Limit,
}

/// The refusals of all listeners of a process.
#[derive(Clone, Debug, Default)]
pub struct Refusals {
    counters: Family<LimitLabels, Counter>,
    logged: Arc<Mutex<HashMap<Limit, LogState>>>,
}

#[derive(Clone, Copy, Debug)]
struct LogState {
    at: Instant,
    since: u64,
}

impl Refusals {
    /// Counts a refusal. Logs the first one of each limit, then their number once a second.
    pub fn record(&self, limit: Limit) {
        self.counters.get_or_create(&LimitLabels { limit }).inc();
        let now = Instant::now();
        let mut logged = self.logged.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(state) = logged.get_mut(&limit) {
            state.since += 1;
            if now.duration_since(state.at) < LOG_INTERVAL {
                return;
            }
        }
        let before = logged.insert(limit, LogState { at: now, since: 0 });
        drop(logged);
        let refusals = before.map_or(1, |state| state.since);
        tracing::warn!(limit = limit.name(), refusals, "limit refuses clients");
    }

    /// Returns the counters, for a registry of metrics.
    pub fn counters(&self) -> Family<LimitLabels, Counter> {
        self.counters.clone()
    }
}
