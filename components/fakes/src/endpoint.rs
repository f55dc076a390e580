//! A stand-in for a service's endpoint that misbehaves on demand.
//!
//! It counts every request as soon as its head has arrived, so a test can hold
//! each verdict against what the endpoint really saw.

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

/// How the endpoint treats the requests that come from now on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Behaviour {
    /// Answers at once.
    #[default]
    Immediate,
    /// Answers after this time.
    Slow(Duration),
    /// Never answers.
    Hang,
    /// Sends half of the answer and closes the connection.
    Truncated,
    /// Answers with the id of another request.
    WrongId,
    /// Closes the connection after reading the request.
    Close,
    /// Answers with this HTTP status.
    Status(u16),
}

#[derive(Debug, Default)]
struct State {
    behaviour: Behaviour,
    seen: BTreeMap<String, u32>,
    total: u64,
    running: u32,
    most_running: u32,
    connections: Vec<smol::Task<()>>,
}

/// A running endpoint; dropping it closes all its connections.
#[derive(Debug)]
pub struct Endpoint {
    address: SocketAddr,
    state: Arc<Mutex<State>>,
    _accepting: smol::Task<()>,
}

impl Endpoint {
    /// Listens on a port of the system's choice.
    ///
    /// # Errors
    ///
    /// Returns the system's error if no port can be had.
    pub async fn start() -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let state = Arc::<Mutex<State>>::default();
        let accepting = smol::spawn(accept(listener, state.clone()));
        Ok(Self {
            address,
            state,
            _accepting: accepting,
        })
    }

    /// Where it listens.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes how the next requests are treated.
    pub fn set_behaviour(&self, behaviour: Behaviour) {
        lock(&self.state).behaviour = behaviour;
    }

    /// How often it saw a request with this id.
    #[must_use]
    pub fn request_count(&self, id: &str) -> u32 {
        lock(&self.state).seen.get(id).copied().unwrap_or_default()
    }

    /// How many requests it saw.
    #[must_use]
    pub fn total_requests(&self) -> u64 {
        lock(&self.state).total
    }

    /// How many requests it is working on.
    #[must_use]
    pub fn running_requests(&self) -> u32 {
        lock(&self.state).running
    }

    /// The most requests it worked on at one time.
    #[must_use]
    pub fn max_running_requests(&self) -> u32 {
        lock(&self.state).most_running
    }

    /// Closes all open connections, as a crash would.
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
        let connection = smol::spawn(converse(stream, state.clone()));
        let mut state = lock(&state);
        state.connections.retain(|open| !open.is_finished());
        state.connections.push(connection);
    }
}

async fn converse(stream: TcpStream, state: Arc<Mutex<State>>) {
    let _ = stream.set_nodelay(true);
    let service = service_fn(|req| answer(req, state.clone()));
    let connection = http1::Builder::new().serve_connection(FuturesIo::new(stream), service);
    if let Err(error) = connection.await {
        tracing::debug!(%error, "connection closed");
    }
}

/// Counts a request as running until it is dropped.
struct Running(Arc<Mutex<State>>);

impl Drop for Running {
    fn drop(&mut self) {
        lock(&self.0).running -= 1;
    }
}

fn enter(state: &Arc<Mutex<State>>, id: &str) -> (Behaviour, Running) {
    let mut now = lock(state);
    *now.seen.entry(id.to_owned()).or_default() += 1;
    now.total += 1;
    now.running += 1;
    now.most_running = now.most_running.max(now.running);
    (now.behaviour, Running(state.clone()))
}

async fn answer(
    req: Request<Incoming>,
    state: Arc<Mutex<State>>,
) -> Result<Response<Reply>, std::io::Error> {
    let id = req
        .headers()
        .get(REQUEST_ID_HEADER)
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default()
        .to_owned();
    let (behaviour, _running) = enter(&state, &id);
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
    let mut resp = Response::new(Reply::new(text, behaviour == Behaviour::Truncated));
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

/// A body that may break off in the middle.
#[derive(Debug)]
struct Reply {
    text: String,
    is_half: bool,
    is_sent: bool,
}

impl Reply {
    const fn new(text: String, is_half: bool) -> Self {
        Self {
            text,
            is_half,
            is_sent: false,
        }
    }
}

impl Body for Reply {
    type Data = Bytes;
    type Error = std::io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, std::io::Error>>> {
        if self.is_sent && self.is_half {
            let error = std::io::Error::other("broken off on demand");
            return Poll::Ready(Some(Err(error)));
        }
        if self.is_sent {
            return Poll::Ready(None);
        }
        self.is_sent = true;
        let length = match self.is_half {
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
