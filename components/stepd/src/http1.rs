//! An HTTP/1.1 server on smol that limits what its clients can use.
//!
//! See `docs/design/connection-limits.md`.

use std::{
    convert::Infallible,
    future::Future,
    pin::Pin,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    task::{Context, Poll},
    time::{Duration, Instant},
};

use bytes::Bytes;
use futures_lite::{AsyncRead, AsyncWrite, FutureExt};
use http::{HeaderValue, Request, header, request::Parts};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use smol::net::{TcpListener, TcpStream};
use smol_hyper::rt::{FuturesIo, SmolTimer};
use steps::config::ConnectionLimits;

use crate::edge::HttpResponse;

mod body;
mod budget;
mod connections;
mod refusals;

use body::BodyError;
pub use budget::{BodyBudget, Exhausted, Reservation};
use connections::{Connection, Connections};
pub use refusals::{Limit, LimitLabels, Refusals};

/// The smallest buffer size for request heads that hyper accepts, in bytes.
const MIN_HEAD_BYTES: usize = 8_192;
/// The delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// The limits that apply before a configuration has been read.
pub const DEFAULT_LIMITS: ConnectionLimits = ConnectionLimits {
    max_head_bytes: 16_384,
    max_body_bytes: 262_144,
    head_timeout: Duration::from_secs(3),
    idle_timeout: Duration::from_secs(15),
};

/// The limits of addresses whose clients send no bodies.
pub const SMALL_BODY_LIMITS: ConnectionLimits = ConnectionLimits {
    max_body_bytes: 1_024,
    ..DEFAULT_LIMITS
};
/// The time in which a client must read a part of a response that does not fit into the buffers
/// of the connection.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);
/// The number of requests on a connection that may arrive before their predecessors are
/// answered. Clients of the platform wait for each answer.
const MAX_PIPELINED: usize = 16;
/// The part of a process's memory for the bodies of requests: one of so many.
const BODY_SHARE: u64 = 8;
/// The memory of a process if the settings do not tell it, in bytes.
const DEFAULT_MEMORY_BYTES: u64 = 256 << 20;

/// What the listeners of a process share.
#[derive(Clone, Debug)]
pub struct Guard {
    /// The memory for bodies.
    pub budget: BodyBudget,
    /// What the limits have refused.
    pub refusals: Refusals,
}

impl Guard {
    /// Creates the guard of a process with this memory.
    #[must_use]
    pub fn new(memory_bytes: Option<u64>) -> Self {
        let bytes = memory_bytes.unwrap_or(DEFAULT_MEMORY_BYTES) / BODY_SHARE;
        Self {
            budget: BodyBudget::new(usize::try_from(bytes).unwrap_or(usize::MAX)),
            refusals: Refusals::default(),
        }
    }
}

/// A received request, or why it could not be received.
#[derive(Debug)]
pub enum ReceivedRequest {
    /// The head and the complete body.
    Complete(Box<Parts>, Bytes),
    /// The body is longer than allowed.
    TooLarge,
    /// The body did not arrive completely or in time.
    Incomplete,
    /// There is no memory for the body; the request was not carried out.
    Overloaded,
}

/// The configuration of a server.
pub struct ServerSetup<L, H> {
    /// Returns the current limits; called once for each connection.
    pub limits: L,
    /// Handles a request.
    pub handler: H,
    /// The maximum number of open connections. A further one replaces the one that has waited
    /// longest for a complete request.
    pub max_connections: usize,
    /// What the listeners of the process share.
    pub guard: Guard,
}

/// Serves until `stop` completes, then waits for the requests that are still in progress.
pub async fn serve<L, H, F>(
    listener: TcpListener,
    setup: ServerSetup<L, H>,
    stop: impl Future<Output = ()> + Send,
) where
    L: Fn() -> ConnectionLimits + Send + Sync + 'static,
    H: Fn(ReceivedRequest) -> F + Send + Sync + 'static,
    F: Future<Output = HttpResponse> + Send + 'static,
{
    let setup = Arc::new(setup);
    let connections = Connections::new(setup.max_connections);
    let (stop_tx, stop_rx) = async_channel::bounded::<Infallible>(1);
    let (done_tx, done_rx) = async_channel::bounded::<Infallible>(1);
    let accepting = async {
        loop {
            let stream = match listener.accept().await {
                Ok((stream, _)) => stream,
                Err(error) => {
                    tracing::warn!(%error, "can't accept a connection; trying again");
                    smol::Timer::after(ACCEPT_RETRY_DELAY).await;
                    continue;
                }
            };
            let admission = connections.admit(Instant::now());
            if admission.is_full {
                setup.guard.refusals.record(Limit::Connections);
                // Lets the connection that was closed free its descriptor.
                futures_lite::future::yield_now().await;
            }
            let Some(connection) = admission.connection else {
                continue;
            };
            let done = done_tx.clone();
            let serving =
                handle_connection(stream, connection, Arc::clone(&setup), stop_rx.clone());
            smol::spawn(async move {
                serving.await;
                drop(done);
            })
            .detach();
        }
    };
    accepting.or(stop).await;
    drop((listener, stop_tx, done_tx));
    let _ = done_rx.recv().await;
}

async fn handle_connection<L, H, F>(
    stream: TcpStream,
    connection: Connection,
    setup: Arc<ServerSetup<L, H>>,
    stop: async_channel::Receiver<Infallible>,
) where
    L: Fn() -> ConnectionLimits + Send + Sync + 'static,
    H: Fn(ReceivedRequest) -> F + Send + Sync + 'static,
    F: Future<Output = HttpResponse> + Send + 'static,
{
    if let Err(error) = stream.set_nodelay(true) {
        tracing::debug!(%error, "can't set TCP_NODELAY");
    }
    let limits = (setup.limits)();
    let refusals = setup.guard.refusals.clone();
    let tracker = Arc::new(PhaseTracker::new(connection));
    let io = FuturesIo::new(TrackedStream {
        stream,
        tracker: Arc::clone(&tracker),
    });
    let service = {
        let tracker = Arc::clone(&tracker);
        service_fn(move |req: Request<Incoming>| {
            let setup = Arc::clone(&setup);
            let tracker = Arc::clone(&tracker);
            let is_last = tracker.begin_request();
            async move {
                let (arrived, _reservation) = receive(req, &limits, &setup.guard).await;
                let arrived = match tracker.connection.set_waiting_since(None) {
                    true => arrived,
                    // The connection is about to be closed, perhaps before the answer.
                    false => ReceivedRequest::Overloaded,
                };
                let mut resp = (setup.handler)(arrived).await;
                if is_last {
                    setup.guard.refusals.record(Limit::Pipeline);
                    let close = HeaderValue::from_static("close");
                    resp.headers_mut().insert(header::CONNECTION, close);
                }
                tracker.end_request();
                Ok::<_, Infallible>(resp)
            }
        })
    };
    let mut connection = std::pin::pin!(
        http1::Builder::new()
            .timer(SmolTimer::new())
            .header_read_timeout(None)
            .max_buf_size(limits.max_head_bytes.max(MIN_HEAD_BYTES))
            .serve_connection(io, service)
    );
    let stopped = async {
        let _ = stop.recv().await;
        ConnectionEnd::Stop
    };
    let overdue = async {
        let limit = tracker.wait_until_overdue(&limits).await;
        ConnectionEnd::Overdue(limit)
    };
    let replaced = async {
        tracker.connection.closed().await;
        ConnectionEnd::Overdue(None)
    };
    let served = async { ConnectionEnd::Served(connection.as_mut().await) };
    // A connection that has lost its slot must not begin another request, so this comes first.
    let result = match replaced.or(served).or(overdue).or(stopped).await {
        ConnectionEnd::Served(result) => result,
        ConnectionEnd::Overdue(limit) => {
            if let Some(limit) = limit {
                refusals.record(limit);
            }
            return;
        }
        ConnectionEnd::Stop => {
            connection.as_mut().graceful_shutdown();
            let overdue = async {
                tracker.wait_until_overdue(&limits).await;
                Ok(())
            };
            connection.or(overdue).await
        }
    };
    if let Err(error) = result {
        tracing::debug!(%error, "connection of a peer closed with an error");
    }
}

enum ConnectionEnd {
    Served(Result<(), hyper::Error>),
    /// The connection is closed, perhaps by this limit.
    Overdue(Option<Limit>),
    Stop,
}

/// Receives the rest of a request. The reservation has to be kept until it is answered.
async fn receive(
    req: Request<Incoming>,
    limits: &ConnectionLimits,
    guard: &Guard,
) -> (ReceivedRequest, Option<Reservation>) {
    let (head, body) = req.into_parts();
    let limit = match body::receive(body, limits, &guard.budget).await {
        Ok((body, reservation)) => {
            return (ReceivedRequest::Complete(Box::new(head), body), reservation);
        }
        Err(BodyError::Broken) => return (ReceivedRequest::Incomplete, None),
        Err(BodyError::Refused(limit)) => limit,
    };
    guard.refusals.record(limit);
    let arrived = match limit {
        Limit::BodySize => ReceivedRequest::TooLarge,
        Limit::BodyBudget => ReceivedRequest::Overloaded,
        _ => ReceivedRequest::Incomplete,
    };
    (arrived, None)
}

/// The phase of a connection.
#[derive(Clone, Copy, Debug)]
enum Phase {
    /// Waits for the first byte of a request, since this time.
    Idle(Instant),
    /// Waits for the rest of a request head, since this time.
    Head(Instant),
    /// Receives a body or waits for the handler.
    Busy,
}

/// Tracks the phase of a connection, so that connections of slow peers can be closed.
#[derive(Debug)]
struct PhaseTracker {
    phase: Mutex<Phase>,
    /// Since when the peer has read nothing of a response that it has to read.
    write_blocked_since: Mutex<Option<Instant>>,
    /// Whether bytes have arrived since the last request began.
    has_new_bytes: AtomicBool,
    /// The number of requests that had arrived before their predecessors were answered.
    pipelined: AtomicUsize,
    connection: Connection,
}

impl PhaseTracker {
    fn new(connection: Connection) -> Self {
        Self {
            phase: Mutex::new(Phase::Idle(Instant::now())),
            write_blocked_since: Mutex::default(),
            has_new_bytes: AtomicBool::new(false),
            pipelined: AtomicUsize::new(0),
            connection,
        }
    }

    fn set(&self, phase: Phase) {
        *self.phase.lock().unwrap_or_else(PoisonError::into_inner) = phase;
    }

    /// Records the head of a request; returns whether it is the last one of the connection.
    fn begin_request(&self) -> bool {
        self.set(Phase::Busy);
        if self.has_new_bytes.swap(false, Ordering::Relaxed) {
            return false;
        }
        self.pipelined.fetch_add(1, Ordering::Relaxed) >= MAX_PIPELINED
    }

    /// Records that a request was received completely.
    fn end_request(&self) {
        let now = Instant::now();
        self.set(Phase::Idle(now));
        self.connection.set_waiting_since(Some(now));
    }

    fn on_bytes_received(&self) {
        self.has_new_bytes.store(true, Ordering::Relaxed);
        let mut phase = self.phase.lock().unwrap_or_else(PoisonError::into_inner);
        if matches!(*phase, Phase::Idle(_)) {
            *phase = Phase::Head(Instant::now());
        }
    }

    fn lock_write_blocked(&self) -> MutexGuard<'_, Option<Instant>> {
        self.write_blocked_since
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn write_blocked_since(&self) -> Option<Instant> {
        *self.lock_write_blocked()
    }

    fn on_write(&self, is_blocked: bool) {
        let mut since = self.lock_write_blocked();
        *since = match is_blocked {
            true => since.or_else(|| Some(Instant::now())),
            false => None,
        };
    }

    /// Waits until the peer has exceeded the time for a request head, between two requests or
    /// to read a response; returns the limit, unless the connection was idle.
    async fn wait_until_overdue(&self, limits: &ConnectionLimits) -> Option<Limit> {
        loop {
            let now = Instant::now();
            let phase = *self.phase.lock().unwrap_or_else(PoisonError::into_inner);
            let (mut due, mut limit) = match phase {
                Phase::Idle(since) => (since + limits.idle_timeout, None),
                Phase::Head(since) => (since + limits.head_timeout, Some(Limit::HeadTime)),
                Phase::Busy => (now + limits.head_timeout, None),
            };
            let blocked = self.write_blocked_since().map(|at| at + RESPONSE_TIMEOUT);
            if let Some(blocked) = blocked.filter(|blocked| *blocked < due) {
                (due, limit) = (blocked, Some(Limit::ResponseTime));
            }
            if due <= now {
                return limit;
            }
            // A head that starts after this check can't become overdue before this time.
            let earliest = (now + limits.head_timeout).min(due);
            smol::Timer::at(earliest).await;
        }
    }
}

/// A stream that reports received bytes to its [`PhaseTracker`].
struct TrackedStream {
    stream: TcpStream,
    tracker: Arc<PhaseTracker>,
}

impl AsyncRead for TrackedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<std::io::Result<usize>> {
        let poll = Pin::new(&mut self.stream).poll_read(cx, buf);
        if matches!(poll, Poll::Ready(Ok(count)) if count > 0) {
            self.tracker.on_bytes_received();
        }
        poll
    }
}

impl AsyncWrite for TrackedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        let poll = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.tracker.on_write(poll.is_pending());
        poll
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(cx)
    }
}
