//! Metrics of the daemons for jobs of steps, served in the OpenMetrics text format.
//!
//! On-call engineers read them beside the log: which calls of clients fail and how long
//! they take, what the owner's processor time goes into, and whether an agent reaches its
//! worker. See `docs/operations/METRICS.md`.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError, atomic::AtomicU64},
    time::Duration,
};

use bytes::Bytes;
use http::{HeaderValue, Method, StatusCode, header::CONTENT_TYPE};
use observe::{latency_histogram, listen};
use prometheus_client::{
    encoding::{EncodeLabelSet, text::encode},
    metrics::{counter::Counter, family::Family, gauge::Gauge, histogram::Histogram},
    registry::{Registry, Unit},
};
use steps::{
    AgentState,
    message::OrderResult,
    owner::{Backlog, WorkCounts},
};

use crate::{
    edge::HttpResponse,
    http1::{self, Guard, ReceivedRequest, SMALL_BODY_LIMITS, ServerSetup},
};

/// Path of the metrics.
const PATH: &str = "/metrics";
/// Prefix of the names of all metrics.
const PREFIX: &str = "hemlockmoor_steps";
/// Content type of the OpenMetrics text format.
const OPEN_METRICS: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";
/// The maximum number of open connections: a few collectors.
const MAX_CONNECTIONS: usize = 8;

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct CallLabels {
    method: &'static str,
    status: u16,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct MethodLabels {
    method: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct OrderLabels {
    order: &'static str,
    result: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct OrderKindLabels {
    order: &'static str,
}

/// The metrics of an entry.
#[derive(Clone, Debug)]
pub(crate) struct EntryMetrics {
    calls: Family<CallLabels, Counter>,
    call_latency: Family<MethodLabels, Histogram>,
    refused_submits: Counter,
    retry_after_seconds: Counter,
    owns_jobs: Gauge,
    owner_work: Arc<OwnerCounters>,
    open_jobs: Gauge,
    unanswered_starts: Gauge,
    start_window: Gauge,
    unreachable_vms: Gauge,
    interference_writes: Counter,
    failed_interference_writes: Counter,
    cold_workers: Gauge,
    flapping_workers: Gauge,
}

/// Counters that follow [`WorkCounts`] and go on over the terms of this process.
#[derive(Debug, Default)]
struct OwnerCounters {
    last: Mutex<WorkCounts>,
    events: Counter,
    passes: Counter,
    jobs_visited: Counter,
    workers_examined: Counter,
    starts: Counter,
    near_waits: Counter,
    near_found: Counter,
    near_given_up: Counter,
    late_starts: Counter,
    lapsed_runs: Counter,
    event_time: Counter<f64, AtomicU64>,
    pass_time: Counter<f64, AtomicU64>,
}

impl Default for EntryMetrics {
    fn default() -> Self {
        Self {
            calls: Family::default(),
            call_latency: Family::new_with_constructor(latency_histogram),
            refused_submits: Counter::default(),
            retry_after_seconds: Counter::default(),
            owns_jobs: Gauge::default(),
            owner_work: Arc::default(),
            open_jobs: Gauge::default(),
            unanswered_starts: Gauge::default(),
            start_window: Gauge::default(),
            unreachable_vms: Gauge::default(),
            interference_writes: Counter::default(),
            failed_interference_writes: Counter::default(),
            cold_workers: Gauge::default(),
            flapping_workers: Gauge::default(),
        }
    }
}

impl EntryMetrics {
    /// Records a write of the learnt interference weights.
    pub(crate) fn record_interference_write(&self, is_written: bool) {
        match is_written {
            true => self.interference_writes.inc(),
            false => self.failed_interference_writes.inc(),
        };
    }

    /// Records a call of a client that has been answered.
    pub(crate) fn record_call(&self, method: &Method, status: StatusCode, took: Duration) {
        let method = known_method(method);
        let status = status.as_u16();
        self.calls
            .get_or_create(&CallLabels { method, status })
            .inc();
        self.call_latency
            .get_or_create(&MethodLabels { method })
            .observe(took.as_secs_f64());
    }

    /// Records a submit that was refused since the job can't be served in time.
    pub(crate) fn record_refusal(&self, retry_after: Duration) {
        self.refused_submits.inc();
        self.retry_after_seconds.inc_by(retry_after.as_secs());
    }

    /// Records that a term as the owner starts or ends.
    pub(crate) fn set_owner(&self, owns_jobs: bool) {
        self.owns_jobs.set(i64::from(owns_jobs));
        *self.owner_work.lock() = WorkCounts::default();
        if !owns_jobs {
            self.set_backlog(&Backlog::default());
        }
    }

    /// Records the work of the owner since the start of its term, and its backlog. A late
    /// record of an ended term may make a count wrong, never the process fail.
    pub(crate) fn record_owner(&self, work: WorkCounts, backlog: &Backlog) {
        let counters = &self.owner_work;
        let before = std::mem::replace(&mut *counters.lock(), work);
        let counts = [
            (&counters.events, work.events, before.events),
            (&counters.passes, work.passes, before.passes),
            (
                &counters.jobs_visited,
                work.jobs_visited,
                before.jobs_visited,
            ),
            (
                &counters.workers_examined,
                work.workers_examined,
                before.workers_examined,
            ),
            (&counters.starts, work.starts_ordered, before.starts_ordered),
            (&counters.near_waits, work.near_waits, before.near_waits),
            (&counters.near_found, work.near_found, before.near_found),
            (
                &counters.near_given_up,
                work.near_given_up,
                before.near_given_up,
            ),
            (&counters.late_starts, work.starts_late, before.starts_late),
            (&counters.lapsed_runs, work.runs_lapsed, before.runs_lapsed),
        ];
        for (counter, now, before) in counts {
            counter.inc_by(now.saturating_sub(before));
        }
        let spent = |now: Duration, before: Duration| now.saturating_sub(before).as_secs_f64();
        counters
            .event_time
            .inc_by(spent(work.event_time, before.event_time));
        counters
            .pass_time
            .inc_by(spent(work.pass_time, before.pass_time));
        self.set_backlog(backlog);
    }

    fn set_backlog(&self, backlog: &Backlog) {
        set(&self.open_jobs, backlog.open_jobs);
        set(&self.unanswered_starts, backlog.unanswered_starts);
        set(&self.start_window, backlog.start_window);
        set(&self.unreachable_vms, backlog.unreachable_vms);
        set(&self.cold_workers, backlog.cold_workers);
        set(&self.flapping_workers, backlog.flapping_workers);
    }

    /// Returns a registry with all metrics.
    pub(crate) fn registry(&self) -> Registry {
        let mut registry = Registry::with_prefix(PREFIX);
        let work = &self.owner_work;
        registry.register("client_calls", "Calls of clients", self.calls.clone());
        registry.register_with_unit(
            "client_call_latency",
            "Time from the arrival of a client's call to its answer",
            Unit::Seconds,
            self.call_latency.clone(),
        );
        registry.register(
            "admission_refused_submits",
            "Submits refused since the job can't be served in time",
            self.refused_submits.clone(),
        );
        registry.register_with_unit(
            "admission_retry_after",
            "Sum of the times after which clients of refused submits may try again",
            Unit::Seconds,
            self.retry_after_seconds.clone(),
        );
        let gauges = [
            ("owner", "Owns the jobs", &self.owns_jobs),
            ("owner_open_jobs", "Open jobs", &self.open_jobs),
            (
                "owner_unanswered_starts",
                "Start orders without a reply",
                &self.unanswered_starts,
            ),
            (
                "owner_start_window",
                "Limit of the start orders without a reply",
                &self.start_window,
            ),
            (
                "owner_unreachable_vms",
                "VMs whose agents do not answer",
                &self.unreachable_vms,
            ),
            (
                "owner_cold_workers",
                "Workers that get their tasks gradually since they are cold",
                &self.cold_workers,
            ),
            (
                "owner_flapping_workers",
                "Workers that cost more since they were lost twice within 30 s",
                &self.flapping_workers,
            ),
        ];
        for (name, help, gauge) in gauges {
            registry.register(name, help, gauge.clone());
        }
        let counters = [
            ("owner_events", "Events handled", &work.events),
            ("owner_passes", "Scheduling passes", &work.passes),
            (
                "owner_jobs_visited",
                "Jobs visited by scheduling passes",
                &work.jobs_visited,
            ),
            (
                "owner_workers_examined",
                "Workers examined to place tasks",
                &work.workers_examined,
            ),
            ("owner_starts", "Start orders given", &work.starts),
            (
                "owner_near_waits",
                "Tasks that waited for a near place while a far one was free",
                &work.near_waits,
            ),
            (
                "owner_near_found",
                "Tasks that waited for a near place and found one",
                &work.near_found,
            ),
            (
                "owner_near_given_up",
                "Tasks that waited for a near place and gave up",
                &work.near_given_up,
            ),
            (
                "owner_late_starts",
                "Start orders that reached an agent after their deadline",
                &work.late_starts,
            ),
            (
                "owner_lapsed_runs",
                "Runs whose lease expired on a worker that the owner could reach",
                &work.lapsed_runs,
            ),
            (
                "owner_interference_writes",
                "Writes of the learnt interference weights",
                &self.interference_writes,
            ),
            (
                "owner_failed_interference_writes",
                "Writes of the learnt interference weights that failed",
                &self.failed_interference_writes,
            ),
        ];
        for (name, help, counter) in counters {
            registry.register(name, help, counter.clone());
        }
        let times = [
            (
                "owner_event_time",
                "Time spent on events, without scheduling passes",
                &work.event_time,
            ),
            (
                "owner_pass_time",
                "Time spent on scheduling passes",
                &work.pass_time,
            ),
        ];
        for (name, help, time) in times {
            registry.register_with_unit(name, help, Unit::Seconds, time.clone());
        }
        registry
    }
}

impl OwnerCounters {
    fn lock(&self) -> std::sync::MutexGuard<'_, WorkCounts> {
        self.last.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The metrics of an agent.
#[derive(Clone, Debug)]
pub(crate) struct AgentMetrics {
    orders: Family<OrderLabels, Counter>,
    order_latency: Family<OrderKindLabels, Histogram>,
    runs: Gauge,
    is_worker_responsive: Gauge,
}

impl Default for AgentMetrics {
    fn default() -> Self {
        Self {
            orders: Family::default(),
            order_latency: Family::new_with_constructor(latency_histogram),
            runs: Gauge::default(),
            is_worker_responsive: Gauge::default(),
        }
    }
}

impl AgentMetrics {
    /// Records an order (`start` or `stop`) that the worker has answered or not.
    pub(crate) fn record_order(&self, order: &'static str, result: OrderResult, took: Duration) {
        let result = match result {
            OrderResult::Done => "done",
            OrderResult::Refused(_) => "refused",
            OrderResult::Unsettled => "unsettled",
        };
        self.orders
            .get_or_create(&OrderLabels { order, result })
            .inc();
        self.order_latency
            .get_or_create(&OrderKindLabels { order })
            .observe(took.as_secs_f64());
    }

    /// Records what a poll of the worker has shown.
    pub(crate) fn record_worker(&self, agent_state: &AgentState) {
        set(&self.runs, agent_state.run_count());
        let is_responsive = i64::from(agent_state.is_worker_responsive());
        self.is_worker_responsive.set(is_responsive);
    }

    /// Returns a registry with all metrics.
    pub(crate) fn registry(&self) -> Registry {
        let mut registry = Registry::with_prefix(PREFIX);
        registry.register("agent_orders", "Orders to the worker", self.orders.clone());
        registry.register_with_unit(
            "agent_order_latency",
            "Time from sending an order to the worker to its answer",
            Unit::Seconds,
            self.order_latency.clone(),
        );
        registry.register("agent_runs", "Runs on the worker", self.runs.clone());
        registry.register(
            "agent_worker_responsive",
            "Whether the worker answers polls",
            self.is_worker_responsive.clone(),
        );
        registry
    }
}

fn set(gauge: &Gauge, value: usize) {
    gauge.set(i64::try_from(value).unwrap_or(i64::MAX));
}

fn known_method(method: &Method) -> &'static str {
    match *method {
        Method::GET => "GET",
        Method::POST => "POST",
        Method::DELETE => "DELETE",
        _ => "other",
    }
}

/// Serves the metrics until the future is dropped. A daemon whose port is taken goes on
/// without them: they are of less use than the work.
pub(crate) async fn serve(address: Option<SocketAddr>, mut registry: Registry, guard: Guard) {
    let Some(address) = address else {
        return;
    };
    let listener = match listen("metrics", address).await {
        Ok((listener, _)) => listener,
        Err(error) => {
            tracing::warn!(%error, "metrics are not served");
            return;
        }
    };
    registry.register(
        "limit_refusals",
        "Requests and connections that a limit on clients has refused or closed",
        guard.refusals.counters(),
    );
    let registry = Arc::new(registry);
    let setup = ServerSetup {
        limits: || SMALL_BODY_LIMITS,
        handler: move |arrived| smol::future::ready(answer(&registry, &arrived)),
        max_connections: MAX_CONNECTIONS,
        guard,
    };
    http1::serve(listener, setup, smol::future::pending()).await;
}

fn answer(registry: &Registry, arrived: &ReceivedRequest) -> HttpResponse {
    let is_known = matches!(arrived, ReceivedRequest::Complete(head, _)
        if head.method == Method::GET && head.uri.path() == PATH);
    let mut text = String::new();
    let (status, content_type) = match is_known {
        false => (StatusCode::NOT_FOUND, "text/plain"),
        true if encode(&mut text, registry).is_err() => {
            tracing::error!("can't encode the metrics");
            (StatusCode::INTERNAL_SERVER_ERROR, "text/plain")
        }
        true => (StatusCode::OK, OPEN_METRICS),
    };
    let mut resp = HttpResponse::new(Bytes::from(text).into());
    *resp.status_mut() = status;
    let content_type = HeaderValue::from_static(content_type);
    resp.headers_mut().insert(CONTENT_TYPE, content_type);
    resp
}
