//! An HTTP/1.1 server on smol with limits on heads, bodies and idle time.

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

/// The smallest buffer for heads that the library accepts, in bytes.
const MIN_HEAD_BYTES: usize = 8_192;
/// How long to wait after the system refused to accept a connection.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);
/// Limits while no configuration is known.
pub const DEFAULT_LIMITS: ConnectionLimits = ConnectionLimits {
    max_head_bytes: 16_384,
    max_body_bytes: 262_144,
    head_timeout: Duration::from_secs(3),
    idle_timeout: Duration::from_secs(15),
};

/// A request whose body has arrived, or why it has not.
#[derive(Debug)]
pub enum ReceivedRequest {
    /// The whole request.
    Complete(Box<Parts>, Bytes),
    /// Its body is longer than allowed.
    TooLarge,
    /// Its body did not arrive.
    Incomplete,
}

/// What a server needs to know.
pub struct ServerSetup<L, H> {
    /// The limits in force, asked for each connection.
    pub limits: L,
    /// Answers requests.
    pub handler: H,
    /// How many connections are held at a time.
    pub max_connections: usize,
}

/// Serves until `stop` is done, then lets requests under way end.
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
    let open = Arc::new(AtomicUsize::new(0));
    let (stop_tx, stop_rx) = async_channel::bounded::<Infallible>(1);
    let (done_tx, done_rx) = async_channel::bounded::<Infallible>(1);
    let accepting = async {
        loop {
            let stream = match listener.accept().await {
                Ok((stream, _)) => stream,
                Err(error) => {
                    tracing::warn!(%error, "can't accept a connection");
                    smol::Timer::after(ACCEPT_BACKOFF).await;
                    continue;
                }
            };
            if open.load(Ordering::Relaxed) >= setup.max_connections {
                tracing::warn!(most = setup.max_connections, "too many connections");
                continue;
            }
            open.fetch_add(1, Ordering::Relaxed);
            let open = Arc::clone(&open);
            let done = done_tx.clone();
            let conversation = converse(stream, Arc::clone(&setup), stop_rx.clone());
            smol::spawn(async move {
                conversation.await;
                open.fetch_sub(1, Ordering::Relaxed);
                drop(done);
            })
            .detach();
        }
    };
    accepting.or(stop).await;
    drop((listener, stop_tx, done_tx));
    let _ = done_rx.recv().await;
}

async fn converse<L, H, F>(
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
    let pulse = Arc::new(Pulse::new());
    let io = FuturesIo::new(Watched {
        stream,
        pulse: Arc::clone(&pulse),
    });
    let service = {
        let pulse = Arc::clone(&pulse);
        service_fn(move |req: Request<Incoming>| {
            let setup = Arc::clone(&setup);
            let pulse = Arc::clone(&pulse);
            pulse.set(State::Busy);
            async move {
                let arrived = gather(req, &limits).await;
                let resp = (setup.handler)(arrived).await;
                pulse.set(State::Idle(Instant::now()));
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
        End::Stop
    };
    let overdue = async {
        pulse.overdue(&limits).await;
        End::Overdue
    };
    let served = async { End::Served(connection.as_mut().await) };
    let result = match served.or(overdue).or(stopped).await {
        End::Served(result) => result,
        End::Overdue => return,
        End::Stop => {
            connection.as_mut().graceful_shutdown();
            let overdue = async {
                pulse.overdue(&limits).await;
                Ok(())
            };
            connection.or(overdue).await
        }
    };
    if let Err(error) = result {
        tracing::debug!(%error, "connection closed");
    }
}

enum End {
    Served(Result<(), hyper::Error>),
    Overdue,
    Stop,
}

async fn gather(req: Request<Incoming>, limits: &ConnectionLimits) -> ReceivedRequest {
    let (head, body) = req.into_parts();
    let body = async {
        match Limited::new(body, limits.max_body_bytes).collect().await {
            Ok(body) => ReceivedRequest::Complete(Box::new(head), body.to_bytes()),
            Err(error) if error.is::<LengthLimitError>() => ReceivedRequest::TooLarge,
            Err(_) => ReceivedRequest::Incomplete,
        }
    };
    let late = async {
        smol::Timer::after(limits.idle_timeout).await;
        ReceivedRequest::Incomplete
    };
    body.or(late).await
}

/// What a connection is waiting for.
#[derive(Clone, Copy, Debug)]
enum State {
    /// For the first byte of a request, since then.
    Idle(Instant),
    /// For the rest of a head, since then.
    Head(Instant),
    /// For an answer of ours.
    Busy,
}

/// Notes what a connection waits for, so that slow peers lose theirs.
#[derive(Debug)]
struct Pulse(Mutex<State>);

impl Pulse {
    fn new() -> Self {
        Self(Mutex::new(State::Idle(Instant::now())))
    }

    fn set(&self, state: State) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = state;
    }

    fn bytes_came(&self) {
        let mut state = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if matches!(*state, State::Idle(_)) {
            *state = State::Head(Instant::now());
        }
    }

    /// Waits until the peer has taken too long for a head or between two.
    async fn overdue(&self, limits: &ConnectionLimits) {
        loop {
            let state = *self.0.lock().unwrap_or_else(PoisonError::into_inner);
            let due = match state {
                State::Idle(since) => since + limits.idle_timeout,
                State::Head(since) => since + limits.head_timeout,
                State::Busy => Instant::now() + limits.head_timeout,
            };
            if due <= Instant::now() {
                return;
            }
            // A head that begins later than now can't be due before this.
            let soonest = (Instant::now() + limits.head_timeout).min(due);
            smol::Timer::at(soonest).await;
        }
    }
}

/// A stream that tells its pulse of bytes that came.
struct Watched {
    stream: TcpStream,
    pulse: Arc<Pulse>,
}

impl AsyncRead for Watched {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<std::io::Result<usize>> {
        let poll = Pin::new(&mut self.stream).poll_read(cx, buf);
        if matches!(poll, Poll::Ready(Ok(count)) if count > 0) {
            self.pulse.bytes_came();
        }
        poll
    }
}

impl AsyncWrite for Watched {
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
