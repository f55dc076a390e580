//! The server side of calls between the processes of the system.

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

/// The idle time after which a connection is probed.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(10);
/// The time that a probed connection has to respond.
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(10);
/// The time that a new connection has to send the HTTP/2 preface.
const PREFACE_TIMEOUT: Duration = Duration::from_secs(5);
/// The interval at which a new connection is checked for the preface.
const PREFACE_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// The preface that a client sends first (RFC 9113, section 3.4).
const PREFACE: &[u8; 24] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
/// The limit of concurrent connections; higher than the number that all agents and
/// entries of a site open, and lower than the limit of open files of a process.
const MAX_CONNECTIONS: usize = 16_384;
/// The limit of concurrent calls on one connection.
const MAX_STREAMS: u32 = 4096;
/// The delay after a failed attempt to accept a connection.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

type HttpResponse = http::Response<Body>;
type ResponseFuture = Pin<Box<dyn Future<Output = HttpResponse> + Send>>;
type RequestHandler =
    Arc<dyn Fn(http::Request<hyper::body::Incoming>) -> ResponseFuture + Send + Sync>;

/// Runs the tasks of hyper on the smol runtime.
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

/// The RPC methods that a process serves.
#[derive(Clone, Default)]
pub struct Router {
    handlers: HashMap<&'static str, RequestHandler>,
}

impl std::fmt::Debug for Router {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_set().entries(self.handlers.keys()).finish()
    }
}

impl Router {
    /// Returns a router without methods.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Serves the calls of `M` with `handler`.
    #[must_use]
    pub fn on<M, F, A>(mut self, handler: F) -> Self
    where
        M: Method,
        F: Fn(M::Req) -> A + Clone + Send + Sync + 'static,
        A: Future<Output = Result<M::Resp, RpcError>> + Send + 'static,
    {
        let serve_request: RequestHandler = Arc::new(move |req| {
            let service = UnaryHandler::<M, F> {
                handler: handler.clone(),
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
        self.handlers.insert(M::PATH, serve_request);
        self
    }

    fn dispatch(
        &self,
        secrets: &Secrets,
        req: http::Request<hyper::body::Incoming>,
    ) -> ResponseFuture {
        let header = req
            .headers()
            .get(http::header::AUTHORIZATION)
            .and_then(|value| value.to_str().ok());
        if !secrets.accepts(header) {
            return reject(Status::unauthenticated("the secret is missing or wrong"));
        }
        match self.handlers.get(req.uri().path()) {
            Some(handler) => handler(req),
            None => reject(Status::unimplemented("no such method")),
        }
    }
}

fn reject(status: Status) -> ResponseFuture {
    Box::pin(async move { status.into_http() })
}

struct UnaryHandler<M, F> {
    handler: F,
    method: std::marker::PhantomData<fn() -> M>,
}

impl<M, F, A> tonic::server::UnaryService<M::Req> for UnaryHandler<M, F>
where
    M: Method,
    F: Fn(M::Req) -> A,
    A: Future<Output = Result<M::Resp, RpcError>> + Send + 'static,
{
    type Response = M::Resp;
    type Future = Pin<Box<dyn Future<Output = Result<Response<M::Resp>, Status>> + Send>>;

    fn call(&mut self, req: Request<M::Req>) -> Self::Future {
        let reply = (self.handler)(req.into_inner());
        Box::pin(async move { reply.await.map(Response::new).map_err(to_status) })
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

/// Serves calls on `listener` until `stop` completes, then waits for the calls in
/// progress.
///
/// A peer that does not speak HTTP/2 loses only its own connection.
pub async fn serve(
    listener: TcpListener,
    router: Router,
    secrets: Secrets,
    stop: impl Future<Output = ()> + Send,
) {
    let router = Arc::new(router);
    let service = move |req: http::Request<hyper::body::Incoming>| {
        let resp = router.dispatch(&secrets, req);
        async move { Ok::<_, Infallible>(resp.await) }
    };
    accept(listener, hyper::service::service_fn(service), stop).await;
}

/// Serves a tower service, such as a generated tonic server, until `stop` completes.
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
    let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    let accept_loop = async {
        loop {
            match listener.accept().await {
                Ok((stream, peer)) => {
                    let Some(permit) = permits.try_acquire_arc() else {
                        tracing::warn!(%peer, "too many connections; closing this one");
                        continue;
                    };
                    let connection =
                        serve_connection_until(stream, service.clone(), stop_rx.clone());
                    let done = done_tx.clone();
                    smol::spawn(async move {
                        connection.await;
                        drop((done, permit));
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
    accept_loop.or(stop).await;
    drop(listener);
    drop(stop_tx);
    drop(done_tx);
    let _ = done_rx.recv().await;
}

/// Waits for the first bytes of the peer; returns whether they are the HTTP/2 preface.
///
/// hyper waits for the preface without a time limit, so an unresponsive client would
/// occupy its connection slot forever.
async fn has_http2_preface(stream: &TcpStream) -> bool {
    let mut received = [0; PREFACE.len()];
    loop {
        let Ok(count) = stream.peek(&mut received).await else {
            return false;
        };
        if count == 0 || !PREFACE.starts_with(&received[..count]) {
            return false;
        }
        if count == PREFACE.len() {
            return true;
        }
        smol::Timer::after(PREFACE_POLL_INTERVAL).await;
    }
}

async fn serve_connection_until<S>(
    stream: TcpStream,
    service: S,
    stop: smol::channel::Receiver<Infallible>,
) where
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
    let expired = async {
        smol::Timer::after(PREFACE_TIMEOUT).await;
        false
    };
    if !has_http2_preface(&stream).or(expired).await {
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
    let completed = async { Some(connection.as_mut().await) };
    let result = match completed.or(stopped).await {
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
