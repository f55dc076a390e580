//! HTTP/1.1 towards the endpoint beside the agent.
//!
//! Connections are kept and used for one request at a time, so an answer can
//! only belong to the request sent last on its connection. A connection whose
//! answer is late, cut off or wrong is closed, which makes a late answer
//! impossible to take for the next one. An error says whether the endpoint may
//! have seen the request. See `docs/ROUTING.md`.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

use bytes::Bytes;
use futures_lite::FutureExt;
use http::{HeaderValue, Method, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::{body::Incoming, client::conn::http1};
use kernel::Verdict;
use proto::fields::REQUEST_ID_HEADER;
use smol::{
    lock::{Semaphore, SemaphoreGuardArc},
    net::TcpStream,
};
use smol_hyper::rt::FuturesIo;

/// The most header fields taken from an endpoint.
const MAX_HEADERS: usize = 128;
/// The most memory for the head of an answer, in bytes.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// A kept connection that is silent for longer is not used again.
const MAX_IDLE: Duration = Duration::from_secs(20);

/// A request on its way to the endpoint.
pub type EndpointRequest = http::Request<Full<Bytes>>;

/// Why the endpoint gave no whole answer.
#[derive(Debug, thiserror::Error)]
pub enum EndpointError {
    /// No connection could be opened.
    #[error("can't connect to the endpoint at {address}: {source}")]
    Connect {
        /// The endpoint.
        address: SocketAddr,
        /// What the system said.
        source: std::io::Error,
    },
    /// All connections that the endpoint accepts are in use.
    #[error("all {0} connections to the endpoint are in use")]
    NoConnection(usize),
    /// Every connection closed before the request was written.
    #[error("the endpoint at {0} closes connections before a request is written")]
    ConnectionsClosed(SocketAddr),
    /// The deadline passed before the request was written.
    #[error("the deadline passed before the request was written")]
    NotSentInTime,
    /// The deadline passed before the whole answer came.
    #[error("the deadline passed before the whole answer came")]
    DeadlineExceeded,
    /// The connection failed after the request may have been written.
    #[error("the answer was cut off: {0}")]
    ConnectionFailed(hyper::Error),
    /// The body failed or is larger than allowed.
    #[error("the answer's body was cut off or is too large: {0}")]
    Body(Box<dyn std::error::Error + Send + Sync>),
    /// The answer does not say where it ends, so it can't be known to be whole.
    #[error("the answer has neither a content-length nor chunks")]
    UnknownLength,
    /// The answer names another request.
    #[error("the answer belongs to the request {0:?}")]
    RequestIdMismatch(HeaderValue),
}

impl EndpointError {
    /// Whether the endpoint may have run the request.
    #[must_use]
    pub const fn verdict(&self) -> Verdict {
        match self {
            Self::Connect { .. }
            | Self::NoConnection(_)
            | Self::ConnectionsClosed(_)
            | Self::NotSentInTime => Verdict::NotRun,
            Self::DeadlineExceeded
            | Self::ConnectionFailed(_)
            | Self::Body(_)
            | Self::UnknownLength
            | Self::RequestIdMismatch(_) => Verdict::MayHaveRun,
        }
    }
}

/// One connection; dropping it closes the socket.
#[derive(Debug)]
struct Connection {
    sender: http1::SendRequest<Full<Bytes>>,
    _driver: smol::Task<()>,
    _permit: SemaphoreGuardArc,
    idle_until: Instant,
}

/// The connections to one endpoint.
#[derive(Debug)]
pub struct EndpointClient {
    address: SocketAddr,
    max_connections: usize,
    permits: Arc<Semaphore>,
    idle: Mutex<Vec<Connection>>,
}

impl EndpointClient {
    /// A client of the endpoint at `address` that opens at most
    /// `max_connections` connections, and none before the first request.
    #[must_use]
    pub fn new(address: SocketAddr, max_connections: u32) -> Self {
        let max_connections = max_connections as usize;
        Self {
            address,
            max_connections,
            permits: Arc::new(Semaphore::new(max_connections)),
            idle: Mutex::default(),
        }
    }

    /// The endpoint's address.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends `req` and waits until `deadline` for the whole answer, whose body
    /// may have `max_body` bytes.
    ///
    /// # Errors
    ///
    /// Returns an [`EndpointError`] whose verdict says whether the endpoint may
    /// have run the request.
    pub async fn send(
        &self,
        req: EndpointRequest,
        deadline: Instant,
        max_body: usize,
    ) -> Result<http::Response<Bytes>, EndpointError> {
        let mut req = req;
        loop {
            let (mut connection, fresh) = self.checkout(deadline).await?;
            let id = req.headers().get(REQUEST_ID_HEADER).cloned();
            let method = req.method().clone();
            let sending = connection.sender.try_send_request(req);
            let mut failed = match before(deadline, sending, EndpointError::DeadlineExceeded)
                .await?
            {
                Ok(resp) => {
                    let reading = read(resp, &method, id.as_ref(), max_body);
                    let resp = before(deadline, reading, EndpointError::DeadlineExceeded).await??;
                    self.put_back(connection);
                    return Ok(resp);
                }
                Err(failed) => failed,
            };
            match failed.take_message() {
                Some(unsent) if !fresh => req = unsent,
                Some(_) => return Err(EndpointError::ConnectionsClosed(self.address)),
                None => return Err(EndpointError::ConnectionFailed(failed.into_error())),
            }
        }
    }

    /// A connection that is ready, and whether it was opened just now.
    async fn checkout(&self, deadline: Instant) -> Result<(Connection, bool), EndpointError> {
        while let Some(mut connection) = self.take_idle() {
            let expired = connection.idle_until <= Instant::now();
            if expired || connection.sender.is_closed() {
                continue;
            }
            let ready = connection.sender.ready();
            if before(deadline, ready, EndpointError::NotSentInTime)
                .await?
                .is_ok()
            {
                return Ok((connection, false));
            }
        }
        let permit = self
            .permits
            .try_acquire_arc()
            .ok_or(EndpointError::NoConnection(self.max_connections))?;
        let opening = open(self.address, permit);
        let connection = before(deadline, opening, EndpointError::NotSentInTime).await??;
        Ok((connection, true))
    }

    fn take_idle(&self) -> Option<Connection> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.pop()
    }

    fn put_back(&self, mut connection: Connection) {
        if connection.sender.is_closed() {
            return;
        }
        connection.idle_until = Instant::now() + MAX_IDLE;
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.push(connection);
    }
}

async fn open(address: SocketAddr, permit: SemaphoreGuardArc) -> Result<Connection, EndpointError> {
    let to_error = |source| EndpointError::Connect { address, source };
    let stream = TcpStream::connect(address).await.map_err(to_error)?;
    stream.set_nodelay(true).map_err(to_error)?;
    let (sender, driver) = http1::Builder::new()
        .max_headers(MAX_HEADERS)
        .max_buf_size(MAX_HEAD_BYTES)
        .handshake(FuturesIo::new(stream))
        .await
        .map_err(|error| to_error(std::io::Error::other(error)))?;
    let driver = smol::spawn(async move {
        if let Err(error) = driver.await {
            tracing::debug!(%address, %error, "connection to the endpoint closed");
        }
    });
    Ok(Connection {
        sender,
        _driver: driver,
        _permit: permit,
        idle_until: Instant::now() + MAX_IDLE,
    })
}

async fn read(
    resp: http::Response<Incoming>,
    method: &Method,
    id: Option<&HeaderValue>,
    max_body: usize,
) -> Result<http::Response<Bytes>, EndpointError> {
    let (parts, body) = resp.into_parts();
    if let Some(other) = parts.headers.get(REQUEST_ID_HEADER)
        && Some(other) != id
    {
        return Err(EndpointError::RequestIdMismatch(other.clone()));
    }
    if !says_its_length(method, &parts) {
        return Err(EndpointError::UnknownLength);
    }
    let body = Limited::new(body, max_body)
        .collect()
        .await
        .map_err(EndpointError::Body)?;
    Ok(http::Response::from_parts(parts, body.to_bytes()))
}

/// Whether a cut in the answer can be noticed; hyper checks the length itself.
fn says_its_length(method: &Method, parts: &http::response::Parts) -> bool {
    let bodiless = method == Method::HEAD
        || parts.status == StatusCode::NO_CONTENT
        || parts.status == StatusCode::NOT_MODIFIED;
    bodiless
        || parts.headers.contains_key(header::CONTENT_LENGTH)
        || parts.headers.contains_key(header::TRANSFER_ENCODING)
}

async fn before<T>(
    deadline: Instant,
    work: impl Future<Output = T>,
    late: EndpointError,
) -> Result<T, EndpointError> {
    let work = async { Ok(work.await) };
    let expiry = async {
        smol::Timer::at(deadline).await;
        Err(late)
    };
    work.or(expiry).await
}
