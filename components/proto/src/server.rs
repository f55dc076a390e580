//! The answering half of the calls between our own processes.

use std::{
    collections::HashMap, convert::Infallible, future::Future, pin::Pin, sync::Arc, time::Duration,
};

use futures_lite::FutureExt;
use hyper::{rt::Executor, server::conn::http2};
use hyper_util::service::TowerToHyperService;
use kernel::secret::Secrets;
use smol::{
    lock::Semaphore,
    net::{TcpListener, TcpStream},
};
use smol_hyper::rt::{FuturesIo, SmolTimer};
use tonic::{Request, Response, Status, body::Body, metadata::MetadataValue};

use crate::{
    Method,
    codec::MsgPack,
    peer::{MAX_MESSAGE_BYTES, RpcError, VERDICT_TRAILER},
};

/// How long a connection may stay silent before it is probed.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(10);
/// How long a probed connection has to answer.
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(10);
/// How long a new connection has to say that it speaks HTTP/2.
const PREFACE_TIMEOUT: Duration = Duration::from_secs(5);
/// How often it is looked whether it has.
const PREFACE_POLL: Duration = Duration::from_millis(5);
/// What every HTTP/2 connection begins with (RFC 9113, section 3.4).
const PREFACE: &[u8; 24] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
/// How many connections are served at a time; more than all agents and entries
/// of a site hold, and fewer than a process may have open.
const MAX_CONNECTIONS: usize = 16_384;
/// How many calls one connection may have open.
const MAX_STREAMS: u32 = 4096;
/// How long to wait after the system refused to accept a connection.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

type HttpResponse = http::Response<Body>;
type Answering = Pin<Box<dyn Future<Output = HttpResponse> + Send>>;
type Handler = Arc<dyn Fn(http::Request<hyper::body::Incoming>) -> Answering + Send + Sync>;

/// Runs hyper's tasks on smol.
#[derive(Clone, Copy, Debug)]
pub struct SmolExecutor;

impl<F> Executor<F> for SmolExecutor
where
    F: Future + Send + 'static,
    F::Output: Send + 'static,
{
    fn execute(&self, task: F) {
        smol::spawn(task).detach();
    }
}

/// The calls that a process answers.
#[derive(Clone, Default)]
pub struct Router {
    handlers: HashMap<&'static str, Handler>,
}

impl std::fmt::Debug for Router {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_set().entries(self.handlers.keys()).finish()
    }
}

impl Router {
    /// A router without calls.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Answers the calls of `M` by `answer`.
    #[must_use]
    pub fn on<M, F, A>(mut self, answer: F) -> Self
    where
        M: Method,
        F: Fn(M::Req) -> A + Clone + Send + Sync + 'static,
        A: Future<Output = Result<M::Resp, RpcError>> + Send + 'static,
    {
        let handler: Handler = Arc::new(move |req| {
            let service = Unary::<M, F> {
                answer: answer.clone(),
                method: std::marker::PhantomData,
            };
            Box::pin(async move {
                tonic::server::Grpc::new(MsgPack::<M::Resp, M::Req>::default())
                    .max_decoding_message_size(MAX_MESSAGE_BYTES)
                    .max_encoding_message_size(MAX_MESSAGE_BYTES)
                    .unary(service, req)
                    .await
            })
        });
        self.handlers.insert(M::PATH, handler);
        self
    }

    fn answer(&self, secrets: &Secrets, req: http::Request<hyper::body::Incoming>) -> Answering {
        let header = req
            .headers()
            .get(http::header::AUTHORIZATION)
            .and_then(|value| value.to_str().ok());
        if !secrets.accepts(header) {
            return refuse(Status::unauthenticated("the secret is missing or wrong"));
        }
        match self.handlers.get(req.uri().path()) {
            Some(handler) => handler(req),
            None => refuse(Status::unimplemented("no such call")),
        }
    }
}

fn refuse(status: Status) -> Answering {
    Box::pin(async move { status.into_http() })
}

struct Unary<M, F> {
    answer: F,
    method: std::marker::PhantomData<fn() -> M>,
}

impl<M, F, A> tonic::server::UnaryService<M::Req> for Unary<M, F>
where
    M: Method,
    F: Fn(M::Req) -> A,
    A: Future<Output = Result<M::Resp, RpcError>> + Send + 'static,
{
    type Response = M::Resp;
    type Future = Pin<Box<dyn Future<Output = Result<Response<M::Resp>, Status>> + Send>>;

    fn call(&mut self, req: Request<M::Req>) -> Self::Future {
        let answer = (self.answer)(req.into_inner());
        Box::pin(async move { answer.await.map(Response::new).map_err(to_status) })
    }
}

fn to_status(error: RpcError) -> Status {
    let mut status = Status::unavailable(error.message);
    status.metadata_mut().insert(
        VERDICT_TRAILER,
        MetadataValue::from_static(error.verdict.as_str()),
    );
    status
}

/// Answers calls on `listener` until `stop` is done, then lets the calls in
/// progress end.
///
/// A peer that speaks anything but HTTP/2 loses its own connection only.
pub async fn serve(
    listener: TcpListener,
    router: Router,
    secrets: Secrets,
    stop: impl Future<Output = ()> + Send,
) {
    let router = Arc::new(router);
    let service = move |req: http::Request<hyper::body::Incoming>| {
        let answer = router.answer(&secrets, req);
        async move { Ok::<_, Infallible>(answer.await) }
    };
    accept(listener, hyper::service::service_fn(service), stop).await;
}

/// Serves a tower service, such as a generated tonic server, until `stop`.
pub async fn serve_service<S>(
    listener: TcpListener,
    service: S,
    stop: impl Future<Output = ()> + Send,
) where
    S: tower_service::Service<
            http::Request<hyper::body::Incoming>,
            Response = HttpResponse,
            Error = Infallible,
        > + Clone
        + Send
        + Sync
        + 'static,
    S::Future: Send + 'static,
{
    accept(listener, TowerToHyperService::new(service), stop).await;
}

async fn accept<S>(listener: TcpListener, service: S, stop: impl Future<Output = ()> + Send)
where
    S: hyper::service::Service<
            http::Request<hyper::body::Incoming>,
            Response = HttpResponse,
            Error = Infallible,
        > + Clone
        + Send
        + 'static,
    S::Future: Send + 'static,
{
    let (stop_tx, stop_rx) = smol::channel::bounded::<Infallible>(1);
    let (done_tx, done_rx) = smol::channel::bounded::<Infallible>(1);
    let places = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    let accepting = async {
        loop {
            match listener.accept().await {
                Ok((stream, peer)) => {
                    let Some(place) = places.try_acquire_arc() else {
                        tracing::warn!(%peer, "too many connections; this one is closed");
                        continue;
                    };
                    let connection = converse(stream, service.clone(), stop_rx.clone());
                    let done = done_tx.clone();
                    smol::spawn(async move {
                        connection.await;
                        drop((done, place));
                    })
                    .detach();
                }
                Err(error) => {
                    tracing::warn!(%error, "can't accept a connection");
                    smol::Timer::after(ACCEPT_BACKOFF).await;
                }
            }
        }
    };
    accepting.or(stop).await;
    drop(listener);
    drop(stop_tx);
    drop(done_tx);
    let _ = done_rx.recv().await;
}

/// Waits until the peer has sent the beginning of an HTTP/2 connection.
///
/// The library waits for it forever, so a silent stranger would keep its place.
async fn begins_well(stream: &TcpStream) -> bool {
    let mut seen = [0; PREFACE.len()];
    loop {
        let Ok(count) = stream.peek(&mut seen).await else {
            return false;
        };
        if count == 0 || !PREFACE.starts_with(&seen[..count]) {
            return false;
        }
        if count == PREFACE.len() {
            return true;
        }
        smol::Timer::after(PREFACE_POLL).await;
    }
}

async fn converse<S>(stream: TcpStream, service: S, stop: smol::channel::Receiver<Infallible>)
where
    S: hyper::service::Service<
            http::Request<hyper::body::Incoming>,
            Response = HttpResponse,
            Error = Infallible,
        > + Send
        + 'static,
    S::Future: Send + 'static,
{
    if let Err(error) = stream.set_nodelay(true) {
        tracing::debug!(%error, "can't set TCP_NODELAY");
    }
    let too_late = async {
        smol::Timer::after(PREFACE_TIMEOUT).await;
        false
    };
    if !begins_well(&stream).or(too_late).await {
        return;
    }
    let mut connection = std::pin::pin!(
        http2::Builder::new(SmolExecutor)
            .timer(SmolTimer::new())
            .max_concurrent_streams(MAX_STREAMS)
            .keep_alive_interval(KEEP_ALIVE_INTERVAL)
            .keep_alive_timeout(KEEP_ALIVE_TIMEOUT)
            .serve_connection(FuturesIo::new(stream), service)
    );
    let stopped = async {
        let _ = stop.recv().await;
        None
    };
    let ended = async { Some(connection.as_mut().await) };
    let result = match ended.or(stopped).await {
        Some(result) => result,
        None => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = result {
        tracing::debug!(%error, "connection closed");
    }
}
