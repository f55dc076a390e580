//! A stand-in for a service's endpoint, with faults on demand.
//!
//! The endpoint counts every request as soon as its head has arrived, so that a test
//! can compare the verdicts with the requests that reached the endpoint.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    pin::Pin,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    task::{Context, Poll},
    time::Duration,
};

use http_body_util::BodyExt;
use hyper::{
    Request, Response,
    body::{Body, Bytes, Frame, Incoming},
    header::{CONTENT_LENGTH, HeaderValue},
    server::conn::http1,
    service::service_fn,
};
use proto::fields::REQUEST_ID_HEADER;
use smol::net::{TcpListener, TcpStream};
use smol_hyper::rt::FuturesIo;

/// How the endpoint handles the following requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Behaviour {
    /// Answers without delay.
    #[default]
    Immediate,
    /// Answers after this delay.
    Slow(Duration),
    /// Never answers.
    Hang,
    /// Sends half of the body and closes the connection.
    Truncated,
    /// Answers with a request id other than the request's.
    WrongId,
    /// Closes the connection after reading the whole request, without an answer.
    Close,
    /// Answers with this HTTP status.
    Status(u16),
}

#[derive(Debug, Default)]
struct State {
    behaviour: Behaviour,
    count_by_id: BTreeMap<String, u32>,
    total_requests: u64,
    running_requests: u32,
    max_running_requests: u32,
    connections: Vec<smol::Task<()>>,
}

/// A running endpoint; dropping it closes all its connections.
#[derive(Debug)]
pub struct Endpoint {
    address: SocketAddr,
    state: Arc<Mutex<State>>,
    _accept_task: smol::Task<()>,
}

impl Endpoint {
    /// Starts an endpoint on a free loopback port.
    ///
    /// # Errors
    ///
    /// Returns the system's error if it can't listen.
    pub async fn start() -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let state = Arc::<Mutex<State>>::default();
        let accept_task = smol::spawn(accept(listener, state.clone()));
        Ok(Self {
            address,
            state,
            _accept_task: accept_task,
        })
    }

    /// The address on which the endpoint listens.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes how the following requests are handled.
    pub fn set_behaviour(&self, behaviour: Behaviour) {
        lock(&self.state).behaviour = behaviour;
    }

    /// Returns how many requests with this id have arrived.
    #[must_use]
    pub fn request_count(&self, id: &str) -> u32 {
        lock(&self.state)
            .count_by_id
            .get(id)
            .copied()
            .unwrap_or_default()
    }

    /// Returns how many requests have arrived.
    #[must_use]
    pub fn total_requests(&self) -> u64 {
        lock(&self.state).total_requests
    }

    /// Returns how many requests are in progress.
    #[must_use]
    pub fn running_requests(&self) -> u32 {
        lock(&self.state).running_requests
    }

    /// Returns the highest number of requests in progress at one time.
    #[must_use]
    pub fn max_running_requests(&self) -> u32 {
        lock(&self.state).max_running_requests
    }

    /// Closes all open connections, as a crash does.
    pub fn close_connections(&self) {
        let connections = std::mem::take(&mut lock(&self.state).connections);
        drop(connections);
    }
}

impl Drop for Endpoint {
    fn drop(&mut self) {
        self.close_connections();
    }
}

async fn accept(listener: TcpListener, state: Arc<Mutex<State>>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            return;
        };
        let connection = smol::spawn(serve_connection(stream, state.clone()));
        let mut state = lock(&state);
        state.connections.retain(|open| !open.is_finished());
        state.connections.push(connection);
    }
}

async fn serve_connection(stream: TcpStream, state: Arc<Mutex<State>>) {
    let _ = stream.set_nodelay(true);
    let service = service_fn(|req| handle_request(req, state.clone()));
    let connection = http1::Builder::new().serve_connection(FuturesIo::new(stream), service);
    if let Err(error) = connection.await {
        tracing::debug!(%error, "connection to the stand-in endpoint failed");
    }
}

/// Counts a request as in progress until it is dropped.
struct RunningRequest(Arc<Mutex<State>>);

impl Drop for RunningRequest {
    fn drop(&mut self) {
        lock(&self.0).running_requests -= 1;
    }
}

fn record_arrival(state: &Arc<Mutex<State>>, id: &str) -> (Behaviour, RunningRequest) {
    let mut locked = lock(state);
    *locked.count_by_id.entry(id.to_owned()).or_default() += 1;
    locked.total_requests += 1;
    locked.running_requests += 1;
    locked.max_running_requests = locked.max_running_requests.max(locked.running_requests);
    (locked.behaviour, RunningRequest(state.clone()))
}

async fn handle_request(
    req: Request<Incoming>,
    state: Arc<Mutex<State>>,
) -> Result<Response<ResponseBody>, std::io::Error> {
    let id = req
        .headers()
        .get(REQUEST_ID_HEADER)
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default()
        .to_owned();
    let (behaviour, _running_request) = record_arrival(&state, &id);
    let line = format!("{id} {} {}", req.method(), req.uri());
    let body = req.into_body().collect().await;
    let body = body.map_err(std::io::Error::other)?.to_bytes();
    let text = format!("{line} {}\n", body.len());
    match behaviour {
        Behaviour::Slow(delay) => {
            smol::Timer::after(delay).await;
        }
        Behaviour::Hang => smol::future::pending().await,
        Behaviour::Close => return Err(std::io::Error::other("closed on demand")),
        _ => {}
    }
    let mut resp = Response::new(ResponseBody::new(text, behaviour == Behaviour::Truncated));
    let id = match behaviour {
        Behaviour::WrongId => "another-request",
        _ => id.as_str(),
    };
    if let Ok(value) = HeaderValue::from_str(id) {
        resp.headers_mut().insert(REQUEST_ID_HEADER, value);
    }
    let length = HeaderValue::from(resp.body().text.len());
    resp.headers_mut().insert(CONTENT_LENGTH, length);
    if let Behaviour::Status(status) = behaviour
        && let Ok(status) = status.try_into()
    {
        *resp.status_mut() = status;
    }
    Ok(resp)
}

/// A response body; with `is_truncated`, it fails after half of the text.
#[derive(Debug)]
struct ResponseBody {
    text: String,
    is_truncated: bool,
    is_sent: bool,
}

impl ResponseBody {
    const fn new(text: String, is_truncated: bool) -> Self {
        Self {
            text,
            is_truncated,
            is_sent: false,
        }
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = std::io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, std::io::Error>>> {
        if self.is_sent && self.is_truncated {
            let error = std::io::Error::other("broken off on demand");
            return Poll::Ready(Some(Err(error)));
        }
        if self.is_sent {
            return Poll::Ready(None);
        }
        self.is_sent = true;
        let length = match self.is_truncated {
            true => self.text.len() / 2,
            false => self.text.len(),
        };
        let bytes = Bytes::copy_from_slice(&self.text.as_bytes()[..length]);
        Poll::Ready(Some(Ok(Frame::data(bytes))))
    }
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}
