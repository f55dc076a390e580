//! The agent daemon: runs on the VM of a worker and carries out the
//! orders of the owner.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use event_listener::Event;
use futures_lite::FutureExt;
use http::StatusCode;
use kernel::{ServiceName, VmName};
use observe::{ListenError, listen};
use proto::{Router, RpcError};
use smol::Task;
use steps::{
    AgentState, Registration, Timing,
    agent::Heartbeat,
    config::ConnectionLimits,
    message::{
        AgentReport, OrderResult, Orders, OrdersCall, OrdersReply, Refusal, ReportPoll,
        ReportPollCall, RunKey, WorkerIncarnation,
    },
};
use store::{KeyRange, Store, backoff::Backoff};

use crate::{
    SteadyClock,
    edge::{Codec, HttpResponse, WorkerApi, WorkerCall},
    http1::{self, DEFAULT_LIMITS, Guard, ReceivedRequest, ServerSetup},
    keys,
    metrics::{self, AgentMetrics},
    secret, time,
};

mod polls;
mod register;

/// The maximum number of open connections from the worker, which uses one or two.
const MAX_WORKER_CONNECTIONS: usize = 64;
/// The largest heartbeat that a worker may send, in bytes.
const MAX_HEARTBEAT_BYTES: usize = 4 << 20;

/// The settings of an agent.
#[derive(Clone, Debug)]
pub struct AgentSettings {
    /// The name of the VM on which the agent runs.
    pub vm: VmName,
    /// The address at which the agent listens for heartbeats of its worker.
    pub worker_report_address: SocketAddr,
    /// The address at which the agent listens for calls of the owner.
    pub internal_address: SocketAddr,
    /// The service of the worker on the VM; `None` if the settings name none.
    pub service: Option<ServiceName>,
    /// The durations on which owners and agents must agree.
    pub timing: Timing,
    /// The maximum duration of a graceful stop.
    pub stop_timeout: Duration,
    /// The address of the metrics; `None` if none are served.
    pub metrics_address: Option<SocketAddr>,
    /// The memory of the machine in bytes; `None` if it is unknown.
    pub memory_bytes: Option<u64>,
}

/// The longest delay between attempts to read the epoch, before which no owner is served.
const MAX_EPOCH_RETRY_DELAY: Duration = Duration::from_millis(400);

/// How often a stopping agent checks whether it still has to wait.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// An agent that runs in this process.
pub struct Agent {
    shared: Arc<Shared>,
    running: Vec<Task<()>>,
}

impl std::fmt::Debug for Agent {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Agent").finish_non_exhaustive()
    }
}

/// State that the tasks of an agent share.
pub(crate) struct Shared {
    settings: AgentSettings,
    clock: SteadyClock,
    agent_state: Mutex<AgentState>,
    api: Arc<dyn WorkerApi>,
    codec: Arc<dyn Codec>,
    /// Notified when the report to the owner may have changed.
    report_changed: Event,
    /// Notified when the next poll of the worker should not wait.
    poll_wanted: Event,
    registration: Mutex<Registration>,
    /// Notified when the key of the agent may have to be written or deleted.
    registration_changed: Event,
    metrics: AgentMetrics,
}

impl Shared {
    fn agent_state(&self) -> MutexGuard<'_, AgentState> {
        self.agent_state
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn registration(&self) -> MutexGuard<'_, Registration> {
        self.registration
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn apply_heartbeat(&self, heartbeat: Heartbeat) {
        self.agent_state().apply_heartbeat(heartbeat);
        self.report_changed.notify(usize::MAX);
        self.poll_wanted.notify(usize::MAX);
    }

    fn apply_departure(&self, worker: &str, started_at: Option<u64>) {
        let mut agent_state = self.agent_state();
        agent_state.worker_left(worker, started_at);
        let is_vacant = agent_state.worker().is_none();
        drop(agent_state);
        if is_vacant {
            self.registration().worker_left();
        }
        self.report_changed.notify(usize::MAX);
        self.poll_wanted.notify(usize::MAX);
    }
}

/// Starts an agent.
///
/// # Errors
///
/// Returns a [`ListenError`] if a port can't be opened.
pub async fn start(
    settings: AgentSettings,
    store: Arc<dyn Store>,
    api: Arc<dyn WorkerApi>,
    codec: Arc<dyn Codec>,
) -> Result<Agent, ListenError> {
    let (worker_reports, _) = listen("worker_reports", settings.worker_report_address).await?;
    let (internal, internal_address) = listen("internal", settings.internal_address).await?;
    let clock = SteadyClock::start();
    let shared = Arc::new(Shared {
        agent_state: Mutex::new(AgentState::new(settings.timing, clock.now())),
        settings,
        clock,
        api,
        codec,
        report_changed: Event::new(),
        poll_wanted: Event::new(),
        registration: Mutex::default(),
        registration_changed: Event::new(),
        metrics: AgentMetrics::default(),
    });
    let guard = Guard::new(shared.settings.memory_bytes);
    let report_server = http1::serve(
        worker_reports,
        worker_report_setup(&shared, guard.clone()),
        smol::future::pending(),
    );
    let for_owners = Arc::clone(&shared);
    let serve_owners = async move {
        let secrets = secret::obtain(&*store).await;
        let epoch = read_epoch(&*store).await;
        for_owners.agent_state().observe_epoch(epoch);
        let calls = proto::serve(
            internal,
            router(&for_owners),
            secrets,
            smol::future::pending(),
        );
        let registering = register::run(Arc::clone(&for_owners), store, internal_address);
        futures_lite::future::zip(calls, registering).await;
    };
    let running = vec![
        smol::spawn(report_server),
        smol::spawn(serve_owners),
        smol::spawn(polls::fence_unknown_worker(Arc::clone(&shared))),
        smol::spawn(polls::run(Arc::clone(&shared))),
        smol::spawn(metrics::serve(
            shared.settings.metrics_address,
            shared.metrics.registry(),
            guard,
        )),
    ];
    Ok(Agent { shared, running })
}

/// Reads the epoch of the newest owner; retries until the store answers.
async fn read_epoch(store: &dyn Store) -> u64 {
    let mut backoff = Backoff::with_random_seed();
    loop {
        match store.range(KeyRange::one(keys::EPOCH), 1).await {
            Ok(found) => return found.kvs.first().map_or(0, keys::parse_epoch),
            Err(error) => {
                if backoff.failures() == 0 {
                    tracing::warn!(%error, "store unavailable; can't read the epoch of the owner yet");
                }
                let wait = backoff.next_delay().min(MAX_EPOCH_RETRY_DELAY);
                smol::Timer::after(wait).await;
            }
        }
    }
}

impl Agent {
    /// Stops the agent. Its runs continue until their leases expire; an agent that starts
    /// before that takes them over.
    ///
    /// If the worker does not answer, its VM may be about to disappear, and then no owner
    /// can learn any more when the leases there expire. The agent therefore waits for that
    /// and removes its key.
    pub async fn stop(self) {
        let withdrawn = async {
            while self.shared.agent_state().awaits_lease_expiry() {
                smol::Timer::after(STOP_CHECK_INTERVAL).await;
            }
            self.withdraw_if_worker_lost().await;
        };
        let timed_out = async {
            smol::Timer::after(self.shared.settings.stop_timeout).await;
            tracing::warn!(
                vm = %self.shared.settings.vm,
                "stopping before the key of the agent was removed; the next owner waits for this VM"
            );
        };
        withdrawn.or(timed_out).await;
        for task in self.running {
            task.cancel().await;
        }
    }
}

impl Agent {
    /// Removes the key of the agent if nothing can run on the VM, and waits until a removal
    /// that is under way is confirmed.
    async fn withdraw_if_worker_lost(&self) {
        if self.shared.agent_state().has_lost_worker() {
            self.shared.registration().worker_left();
            self.shared.registration_changed.notify(1);
        }
        while self.shared.registration().is_urgent() {
            smol::Timer::after(STOP_CHECK_INTERVAL).await;
        }
    }
}

fn worker_report_setup(
    shared: &Arc<Shared>,
    guard: Guard,
) -> ServerSetup<
    impl Fn() -> ConnectionLimits + Send + Sync + 'static,
    impl Fn(ReceivedRequest) -> smol::future::Ready<HttpResponse> + Send + Sync + 'static,
> {
    let shared = Arc::clone(shared);
    ServerSetup {
        limits: || ConnectionLimits {
            max_body_bytes: MAX_HEARTBEAT_BYTES,
            ..DEFAULT_LIMITS
        },
        handler: move |arrived| smol::future::ready(handle_worker_call(&shared, arrived)),
        max_connections: MAX_WORKER_CONNECTIONS,
        guard,
    }
}

fn handle_worker_call(shared: &Shared, arrived: ReceivedRequest) -> HttpResponse {
    let (head, body) = match arrived {
        ReceivedRequest::Complete(head, body) => (head, body),
        ReceivedRequest::TooLarge => return status(StatusCode::PAYLOAD_TOO_LARGE),
        ReceivedRequest::Incomplete => return status(StatusCode::BAD_REQUEST),
        ReceivedRequest::Overloaded => return status(StatusCode::SERVICE_UNAVAILABLE),
    };
    match shared.codec.decode_worker_call(&head, &body) {
        Ok(WorkerCall::Heartbeat(heartbeat)) => {
            if let Some(why) = odd_heartbeat(shared, &heartbeat) {
                let incarnation = &heartbeat.info.incarnation;
                tracing::warn!(
                    worker = %incarnation.worker,
                    born = incarnation.started_at,
                    sequence = heartbeat.sequence,
                    service = %heartbeat.info.service,
                    why,
                    "heartbeat refused, since no worker can have sent it"
                );
                return status(StatusCode::BAD_REQUEST);
            }
            let heartbeat = shared.registration().admit_heartbeat(heartbeat);
            if let Some(heartbeat) = heartbeat {
                shared.apply_heartbeat(heartbeat);
            }
        }
        Ok(WorkerCall::Left { worker, started_at }) => {
            shared.apply_departure(&worker, started_at);
        }
        Err(error) => {
            tracing::warn!(%error, path = head.uri.path(), "can't decode a call of the worker");
            return status(StatusCode::BAD_REQUEST);
        }
    }
    if shared.registration().is_urgent() {
        shared.registration_changed.notify(1);
    }
    status(StatusCode::OK)
}

/// Why the worker of this VM can't have sent the heartbeat; `None` if it can.
fn odd_heartbeat(shared: &Shared, heartbeat: &Heartbeat) -> Option<&'static str> {
    let expected = shared.settings.service.as_ref();
    if expected.is_some_and(|service| *service != heartbeat.info.service) {
        return Some("service is not the one of this VM");
    }
    shared
        .agent_state()
        .odd_heartbeat(time::wall_time(), heartbeat)
}

fn status(code: StatusCode) -> HttpResponse {
    let mut resp = HttpResponse::new(bytes::Bytes::from_static(b"{}").into());
    *resp.status_mut() = code;
    resp.headers_mut().insert(
        http::header::CONTENT_TYPE,
        http::HeaderValue::from_static("application/json"),
    );
    resp
}

fn router(shared: &Arc<Shared>) -> Router {
    let for_polls = Arc::clone(shared);
    let for_orders = Arc::clone(shared);
    Router::new()
        .on::<ReportPollCall, _, _>(move |report_poll| {
            let shared = Arc::clone(&for_polls);
            async move { wait_for_report(&shared, report_poll).await }
        })
        .on::<OrdersCall, _, _>(move |orders| {
            let shared = Arc::clone(&for_orders);
            async move { Ok(execute_orders(&shared, orders).await) }
        })
}

/// Returns the report as soon as it differs from the version that the owner has, or
/// when the wait time of the poll is over.
async fn wait_for_report(
    shared: &Shared,
    report_poll: ReportPoll,
) -> Result<AgentReport, RpcError> {
    let now = shared.clock.now();
    shared.agent_state().accept_poll(now, &report_poll);
    shared.poll_wanted.notify(usize::MAX);
    let changed = async {
        loop {
            let report_changed = shared.report_changed.listen();
            if shared.agent_state().version() != report_poll.known_version {
                return;
            }
            report_changed.await;
        }
    };
    let waited = async {
        smol::Timer::after(Duration::from_millis(report_poll.wait_millis)).await;
    };
    changed.or(waited).await;
    let now = shared.clock.now();
    Ok(shared.agent_state().report_for(now, &report_poll))
}

async fn execute_orders(shared: &Arc<Shared>, orders: Orders) -> OrdersReply {
    let now = shared.clock.now();
    let is_accepted = shared.agent_state().accept_header(now, &orders.header);
    shared.poll_wanted.notify(usize::MAX);
    if !is_accepted {
        return refuse_all(shared, &orders);
    }
    let starts = orders.starts.iter().map(|start| {
        let orders = &orders;
        async move { start_one(shared, orders, start).await }
    });
    let stops = orders
        .stops
        .iter()
        .map(|key| stop_one(shared, &orders.incarnation, key, orders.header.epoch));
    let (starts, stops) = futures_lite::future::zip(
        futures_util::future::join_all(starts),
        futures_util::future::join_all(stops),
    )
    .await;
    let results = orders.stops.iter().zip(&stops);
    let confirmed = results.filter(|(_, result)| **result == OrderResult::Done);
    let stopped: Vec<RunKey> = confirmed.map(|(key, _)| key.clone()).collect();
    let mut agent_state = shared.agent_state();
    let reply = OrdersReply {
        agent_incarnation: agent_state.incarnation(),
        epoch: agent_state.epoch(),
        poll: agent_state.last_poll_number(),
        starts,
        stops,
    };
    agent_state.verify_stops(&stopped);
    drop(agent_state);
    shared.poll_wanted.notify(usize::MAX);
    reply
}

fn refuse_all(shared: &Shared, orders: &Orders) -> OrdersReply {
    let refused = OrderResult::Refused(Refusal::Fenced);
    let agent_state = shared.agent_state();
    OrdersReply {
        agent_incarnation: agent_state.incarnation(),
        epoch: agent_state.epoch(),
        poll: 0,
        starts: vec![refused; orders.starts.len()],
        stops: vec![refused; orders.stops.len()],
    }
}

async fn start_one(
    shared: &Shared,
    orders: &Orders,
    start: &steps::message::StartOrder,
) -> OrderResult {
    let now = shared.clock.now();
    let grant = shared.agent_state().admit(now, orders, &start.key);
    let grant = match grant {
        Ok(grant) => grant,
        Err(refusal) => {
            tracing::info!(
                task = %start.key.task,
                run = start.key.run,
                ?refusal,
                "start refused by the agent"
            );
            return OrderResult::Refused(refusal);
        }
    };
    let result = shared.api.start(&orders.incarnation, start, grant).await;
    let took = shared.clock.now().since(now);
    shared.metrics.record_order("start", result, took);
    shared.agent_state().settle_start(&start.key, result);
    if result == OrderResult::Done {
        let percent = shared.agent_state().record_start(start);
        if let Some(percent) = percent {
            set_pace(
                shared,
                &orders.incarnation,
                &start.key,
                percent,
                grant.epoch,
            )
            .await;
        }
    } else {
        tracing::info!(
            task = %start.key.task,
            run = start.key.run,
            ?result,
            "start not confirmed by the worker"
        );
    }
    result
}

async fn stop_one(
    shared: &Shared,
    incarnation: &WorkerIncarnation,
    key: &RunKey,
    epoch: u64,
) -> OrderResult {
    let sent_at = shared.clock.now();
    let result = shared.api.stop(incarnation, key, epoch).await;
    let took = shared.clock.now().since(sent_at);
    shared.metrics.record_order("stop", result, took);
    shared.agent_state().settle_stop(key, result);
    if result != OrderResult::Done {
        tracing::info!(task = %key.task, run = key.run, ?result, "stop not confirmed by the worker");
    }
    result
}

async fn set_pace(
    shared: &Shared,
    incarnation: &WorkerIncarnation,
    key: &RunKey,
    percent: u32,
    epoch: u64,
) {
    if shared.api.set_pace(incarnation, key, percent, epoch).await {
        shared.agent_state().record_pace(key, percent);
    } else {
        tracing::info!(task = %key.task, run = key.run, percent, "pace not confirmed by the worker");
    }
}
