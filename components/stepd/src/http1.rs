//! An HTTP/1.1 server on smol that limits request heads, bodies and idle time.

use std::{
    convert::Infallible,
    future::Future,
    pin::Pin,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicUsize, Ordering},
    },
    task::{Context, Poll},
    time::{Duration, Instant},
};

use bytes::Bytes;
use futures_lite::{AsyncRead, AsyncWrite, FutureExt};
use http::{Request, request::Parts};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use smol::net::{TcpListener, TcpStream};
use smol_hyper::rt::{FuturesIo, SmolTimer};
use steps::config::ConnectionLimits;

use crate::edge::HttpResponse;

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

/// A received request, or why it could not be received.
#[derive(Debug)]
pub enum ReceivedRequest {
    /// The head and the complete body.
    Complete(Box<Parts>, Bytes),
    /// The body is longer than allowed.
    TooLarge,
    /// The body did not arrive completely or in time.
    Incomplete,
}

/// The configuration of a server.
pub struct ServerSetup<L, H> {
    /// Returns the current limits; called once for each connection.
    pub limits: L,
    /// Handles a request.
    pub handler: H,
    /// The maximum number of open connections; further ones are closed at once.
    pub max_connections: usize,
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
    let open_connections = Arc::new(AtomicUsize::new(0));
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
            if open_connections.load(Ordering::Relaxed) >= setup.max_connections {
                tracing::warn!(
                    most = setup.max_connections,
                    "too many connections; new connection closed"
                );
                continue;
            }
            open_connections.fetch_add(1, Ordering::Relaxed);
            let open_connections = Arc::clone(&open_connections);
            let done = done_tx.clone();
            let serving = handle_connection(stream, Arc::clone(&setup), stop_rx.clone());
            smol::spawn(async move {
                serving.await;
                open_connections.fetch_sub(1, Ordering::Relaxed);
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
    let tracker = Arc::new(PhaseTracker::new());
    let io = FuturesIo::new(TrackedStream {
        stream,
        tracker: Arc::clone(&tracker),
    });
    let service = {
        let tracker = Arc::clone(&tracker);
        service_fn(move |req: Request<Incoming>| {
            let setup = Arc::clone(&setup);
            let tracker = Arc::clone(&tracker);
            tracker.set(Phase::Busy);
            async move {
                let arrived = receive(req, &limits).await;
                let resp = (setup.handler)(arrived).await;
                tracker.set(Phase::Idle(Instant::now()));
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
        tracker.wait_until_overdue(&limits).await;
        ConnectionEnd::Overdue
    };
    let served = async { ConnectionEnd::Served(connection.as_mut().await) };
    let result = match served.or(overdue).or(stopped).await {
        ConnectionEnd::Served(result) => result,
        ConnectionEnd::Overdue => return,
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
    Overdue,
    Stop,
}

async fn receive(req: Request<Incoming>, limits: &ConnectionLimits) -> ReceivedRequest {
    let (head, body) = req.into_parts();
    let body = async {
        match Limited::new(body, limits.max_body_bytes).collect().await {
            Ok(body) => ReceivedRequest::Complete(Box::new(head), body.to_bytes()),
            Err(error) if error.is::<LengthLimitError>() => ReceivedRequest::TooLarge,
            Err(_) => ReceivedRequest::Incomplete,
        }
    };
    let timed_out = async {
        smol::Timer::after(limits.idle_timeout).await;
        ReceivedRequest::Incomplete
    };
    body.or(timed_out).await
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
struct PhaseTracker(Mutex<Phase>);

impl PhaseTracker {
    fn new() -> Self {
        Self(Mutex::new(Phase::Idle(Instant::now())))
    }

    fn set(&self, phase: Phase) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = phase;
    }

    fn on_bytes_received(&self) {
        let mut phase = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if matches!(*phase, Phase::Idle(_)) {
            *phase = Phase::Head(Instant::now());
        }
    }

    /// Waits until the peer has exceeded the time for a request head or between two requests.
    async fn wait_until_overdue(&self, limits: &ConnectionLimits) {
        loop {
            let phase = *self.0.lock().unwrap_or_else(PoisonError::into_inner);
            let due = match phase {
                Phase::Idle(since) => since + limits.idle_timeout,
                Phase::Head(since) => since + limits.head_timeout,
                Phase::Busy => Instant::now() + limits.head_timeout,
            };
            if due <= Instant::now() {
                return;
            }
            // A head that starts after this check can't become overdue before this time.
            let earliest = (Instant::now() + limits.head_timeout).min(due);
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
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(cx)
    }
}
