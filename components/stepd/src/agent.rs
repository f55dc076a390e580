//! The daemon beside a worker.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use event_listener::Event;
use futures_lite::FutureExt;
use http::StatusCode;
use kernel::VmName;
use observe::{ListenError, listen};
use proto::{Router, RpcError};
use smol::Task;
use steps::{
    AgentState, Registration, Timing,
    agent::Heartbeat,
    message::{
        AgentReport, OrderResult, Orders, OrdersCall, OrdersReply, Refusal, ReportPoll,
        ReportPollCall, RunKey, WorkerIncarnation,
    },
};
use store::Store;

use crate::{
    SteadyClock,
    edge::{Codec, HttpResponse, WorkerApi, WorkerCall},
    http1::{self, DEFAULT_LIMITS, ReceivedRequest, ServerSetup},
    secret,
};

mod looks;
mod register;

/// The most connections from the worker; it holds one or two.
const MAX_WORKER_CONNECTIONS: usize = 64;

/// What an agent has to know.
#[derive(Clone, Debug)]
pub struct AgentSettings {
    /// The name of its VM.
    pub vm: VmName,
    /// Where the worker reports to.
    pub worker_report_address: SocketAddr,
    /// Where owners call.
    pub internal_address: SocketAddr,
    /// The spans that owners and keepers agree on.
    pub timing: Timing,
}

/// An agent that runs in this process.
#[derive(Debug)]
pub struct Agent {
    running: Vec<Task<()>>,
}

/// What the tasks of an agent share.
pub(crate) struct Shared {
    settings: AgentSettings,
    clock: SteadyClock,
    keeper: Mutex<AgentState>,
    api: Arc<dyn WorkerApi>,
    codec: Arc<dyn Codec>,
    /// The report has changed.
    news: Event,
    /// The next look should not wait.
    kick: Event,
    registration: Mutex<Registration>,
    /// The agent's key in the store may have to be written or removed.
    registration_changed: Event,
}

impl Shared {
    fn keeper(&self) -> MutexGuard<'_, AgentState> {
        self.keeper.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn registration(&self) -> MutexGuard<'_, Registration> {
        self.registration
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn take_heartbeat(&self, beat: Heartbeat) {
        self.keeper().apply_heartbeat(beat);
        self.news.notify(usize::MAX);
        self.kick.notify(usize::MAX);
    }

    fn take_departure(&self, worker: &str) {
        let mut keeper = self.keeper();
        keeper.worker_left(worker);
        let is_vacant = keeper.worker().is_none();
        drop(keeper);
        if is_vacant {
            self.registration().worker_left();
        }
        self.news.notify(usize::MAX);
        self.kick.notify(usize::MAX);
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
        keeper: Mutex::new(AgentState::new(settings.timing, clock.now())),
        settings,
        clock,
        api,
        codec,
        news: Event::new(),
        kick: Event::new(),
        registration: Mutex::default(),
        registration_changed: Event::new(),
    });
    let reports = http1::serve(worker_reports, reports(&shared), smol::future::pending());
    let served = Arc::clone(&shared);
    let owners = async move {
        let secrets = secret::obtain(&*store).await;
        let calls = proto::serve(internal, router(&served), secrets, smol::future::pending());
        let registering = register::run(Arc::clone(&served), store, internal_address);
        futures_lite::future::zip(calls, registering).await;
    };
    let running = vec![
        smol::spawn(reports),
        smol::spawn(owners),
        smol::spawn(looks::run(Arc::clone(&shared))),
    ];
    Ok(Agent { running })
}

impl Agent {
    /// Stops the agent; what runs beside it goes on under its leases, and an
    /// agent that starts in time takes it over.
    pub async fn stop(self) {
        for task in self.running {
            task.cancel().await;
        }
    }
}

fn reports(
    shared: &Arc<Shared>,
) -> ServerSetup<
    impl Fn() -> steps::config::ConnectionLimits + Send + Sync + 'static,
    impl Fn(ReceivedRequest) -> smol::future::Ready<HttpResponse> + Send + Sync + 'static,
> {
    let shared = Arc::clone(shared);
    ServerSetup {
        limits: || DEFAULT_LIMITS,
        handler: move |arrived| smol::future::ready(take_worker_call(&shared, arrived)),
        max_connections: MAX_WORKER_CONNECTIONS,
    }
}

fn take_worker_call(shared: &Shared, arrived: ReceivedRequest) -> HttpResponse {
    let (head, body) = match arrived {
        ReceivedRequest::Complete(head, body) => (head, body),
        ReceivedRequest::TooLarge => return status(StatusCode::PAYLOAD_TOO_LARGE),
        ReceivedRequest::Incomplete => return status(StatusCode::BAD_REQUEST),
    };
    match shared.codec.decode_worker_call(&head, &body) {
        Ok(WorkerCall::Heartbeat(beat)) => {
            let beat = shared.registration().admit_heartbeat(beat);
            if let Some(beat) = beat {
                shared.take_heartbeat(beat);
            }
        }
        Ok(WorkerCall::Left(worker)) => shared.take_departure(&worker),
        Err(error) => {
            tracing::warn!(%error, path = head.uri.path(), "a worker's call can't be read");
            return status(StatusCode::BAD_REQUEST);
        }
    }
    if shared.registration().is_urgent() {
        shared.registration_changed.notify(1);
    }
    status(StatusCode::OK)
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
    let attending = Arc::clone(shared);
    let ordering = Arc::clone(shared);
    Router::new()
        .on::<ReportPollCall, _, _>(move |attend| {
            let shared = Arc::clone(&attending);
            async move { attend_to(&shared, attend).await }
        })
        .on::<OrdersCall, _, _>(move |orders| {
            let shared = Arc::clone(&ordering);
            async move { Ok(carry_out(&shared, orders).await) }
        })
}

/// Waits until there is a report that the owner does not have.
async fn attend_to(shared: &Shared, attend: ReportPoll) -> Result<AgentReport, RpcError> {
    shared.keeper().accept_poll(&attend);
    shared.kick.notify(usize::MAX);
    let changed = async {
        loop {
            let news = shared.news.listen();
            if shared.keeper().version() != attend.known_version {
                return;
            }
            news.await;
        }
    };
    let waited = async {
        smol::Timer::after(Duration::from_millis(attend.wait_millis)).await;
    };
    changed.or(waited).await;
    Ok(shared.keeper().report(shared.clock.now()))
}

async fn carry_out(shared: &Arc<Shared>, orders: Orders) -> OrdersReply {
    let obeys = shared.keeper().accept_header(&orders.header);
    shared.kick.notify(usize::MAX);
    if !obeys {
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
    let keeper = shared.keeper();
    OrdersReply {
        epoch: keeper.epoch(),
        poll: keeper.last_poll_number(),
        starts,
        stops,
    }
}

fn refuse_all(shared: &Shared, orders: &Orders) -> OrdersReply {
    let refused = OrderResult::Refused(Refusal::Fenced);
    OrdersReply {
        epoch: shared.keeper().epoch(),
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
    let admitted = shared.keeper().admit(shared.clock.now(), orders);
    let admitted = match admitted {
        Ok(admitted) => admitted,
        Err(refusal) => {
            tracing::info!(task = %start.key.task, run = start.key.run, ?refusal, "start refused here");
            return OrderResult::Refused(refusal);
        }
    };
    let result = shared.api.start(&orders.incarnation, start, admitted).await;
    if result == OrderResult::Done {
        let percent = shared.keeper().record_start(start);
        if let Some(percent) = percent {
            set_pace(
                shared,
                &orders.incarnation,
                &start.key,
                percent,
                admitted.epoch,
            )
            .await;
        }
    } else {
        tracing::info!(task = %start.key.task, run = start.key.run, ?result, "start not done");
    }
    result
}

async fn stop_one(
    shared: &Shared,
    life: &WorkerIncarnation,
    key: &RunKey,
    epoch: u64,
) -> OrderResult {
    let result = shared.api.stop(life, key, epoch).await;
    if result != OrderResult::Done {
        tracing::info!(task = %key.task, run = key.run, ?result, "stop not done");
    }
    result
}

async fn set_pace(
    shared: &Shared,
    life: &WorkerIncarnation,
    key: &RunKey,
    percent: u32,
    epoch: u64,
) {
    if shared.api.set_pace(life, key, percent, epoch).await {
        shared.keeper().record_pace(key, percent);
    } else {
        tracing::info!(task = %key.task, run = key.run, percent, "pace not set");
    }
}
