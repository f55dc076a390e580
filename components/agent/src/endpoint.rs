//! HTTP/1.1 client of an endpoint on the agent's VM.
//!
//! Connections are kept alive and carry one request at a time, so a response can
//! only belong to the last request on its connection. The client closes a
//! connection whose response is late, truncated or mismatched, so a late response
//! is never taken for that of the next request. An error states whether the
//! endpoint may have run the request. See `docs/ROUTING.md`.

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

/// Maximum number of header fields in a response.
const MAX_HEADERS: usize = 128;
/// Maximum buffer size for the head of a response, in bytes.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// A connection that was idle for longer is not reused.
const MAX_IDLE: Duration = Duration::from_secs(20);

/// A request to an endpoint.
pub type EndpointRequest = http::Request<Full<Bytes>>;

/// Why there is no complete response of the endpoint.
#[derive(Debug, thiserror::Error)]
pub enum EndpointError {
    /// No connection could be opened.
    #[error("can't connect to the endpoint at {address}: {source}")]
    Connect {
        /// The address of the endpoint.
        address: SocketAddr,
        /// The error of the connection attempt.
        source: std::io::Error,
    },
    /// All connections that the endpoint accepts are in use.
    #[error("all {0} connections to the endpoint are in use")]
    NoConnection(usize),
    /// The endpoint closed the new connection before the request was written.
    #[error("the endpoint at {0} closes connections before a request is written")]
    ConnectionsClosed(SocketAddr),
    /// The deadline passed before the request was written.
    #[error("the deadline passed before the request was written")]
    NotSentInTime,
    /// The deadline passed before the complete response arrived.
    #[error("the deadline passed before the complete response arrived")]
    DeadlineExceeded,
    /// The connection failed after the request may have been written.
    #[error("the connection failed before the complete response arrived: {0}")]
    ConnectionFailed(hyper::Error),
    /// The body is truncated or larger than allowed.
    #[error("the response body is truncated or too large: {0}")]
    Body(Box<dyn std::error::Error + Send + Sync>),
    /// The response does not declare its length, so a truncation can't be detected.
    #[error("the response has neither a content-length nor chunked encoding")]
    UnknownLength,
    /// The response carries the id of another request.
    #[error("the response carries the id of another request: {0:?}")]
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

/// Sends requests to one endpoint over kept-alive connections.
#[derive(Debug)]
pub struct EndpointClient {
    address: SocketAddr,
    max_connections: usize,
    permits: Arc<Semaphore>,
    idle: Mutex<Vec<Connection>>,
}

impl EndpointClient {
    /// Creates a client of the endpoint at `address` that opens at most
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

    /// Returns the endpoint's address.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends `req` and waits until `deadline` for the complete response, whose body
    /// may have at most `max_body` bytes.
    ///
    /// # Errors
    ///
    /// Returns an [`EndpointError`] whose verdict states whether the endpoint may
    /// have run the request.
    pub async fn send(
        &self,
        req: EndpointRequest,
        deadline: Instant,
        max_body: usize,
    ) -> Result<http::Response<Bytes>, EndpointError> {
        let sent_at = Instant::now();
        let result = self.exchange(req, deadline, max_body).await;
        if matches!(result, Err(EndpointError::DeadlineExceeded)) {
            self.drop_idle(sent_at + sent_at.elapsed() / 2);
        }
        result
    }

    async fn exchange(
        &self,
        mut req: EndpointRequest,
        deadline: Instant,
        max_body: usize,
    ) -> Result<http::Response<Bytes>, EndpointError> {
        loop {
            let (mut connection, is_new) = self.checkout(deadline).await?;
            let id = req.headers().get(REQUEST_ID_HEADER).cloned();
            let method = req.method().clone();
            let sending = connection.sender.try_send_request(req);
            let mut send_error =
                match within_deadline(deadline, sending, EndpointError::DeadlineExceeded).await? {
                    Ok(resp) => {
                        let reading = read_response(resp, &method, id.as_ref(), max_body);
                        let resp =
                            within_deadline(deadline, reading, EndpointError::DeadlineExceeded)
                                .await??;
                        self.put_back(connection);
                        return Ok(resp);
                    }
                    Err(send_error) => send_error,
                };
            match send_error.take_message() {
                Some(unsent) if !is_new => req = unsent,
                Some(_) => return Err(EndpointError::ConnectionsClosed(self.address)),
                None => return Err(EndpointError::ConnectionFailed(send_error.into_error())),
            }
        }
    }

    /// Returns a connection that is ready, and whether it is newly opened.
    async fn checkout(&self, deadline: Instant) -> Result<(Connection, bool), EndpointError> {
        while let Some(mut connection) = self.take_idle() {
            let expired = connection.idle_until <= Instant::now();
            if expired || connection.sender.is_closed() {
                continue;
            }
            let ready = connection.sender.ready();
            if within_deadline(deadline, ready, EndpointError::NotSentInTime)
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
        let opening = open_connection(self.address, permit);
        let connection = within_deadline(deadline, opening, EndpointError::NotSentInTime).await??;
        Ok((connection, true))
    }

    fn take_idle(&self) -> Option<Connection> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.pop()
    }

    /// Drops the idle connections on which nothing has been answered since then. They may have
    /// fallen silent like the one of a request without an answer.
    fn drop_idle(&self, unanswered_since: Instant) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.retain(|connection| connection.idle_until > unanswered_since + MAX_IDLE);
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

async fn open_connection(
    address: SocketAddr,
    permit: SemaphoreGuardArc,
) -> Result<Connection, EndpointError> {
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

async fn read_response(
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
    if !has_known_length(method, &parts) {
        return Err(EndpointError::UnknownLength);
    }
    let body = Limited::new(body, max_body)
        .collect()
        .await
        .map_err(EndpointError::Body)?;
    Ok(http::Response::from_parts(parts, body.to_bytes()))
}

/// Whether a truncated response can be detected; hyper checks the length itself.
fn has_known_length(method: &Method, parts: &http::response::Parts) -> bool {
    let bodiless = method == Method::HEAD
        || parts.status == StatusCode::NO_CONTENT
        || parts.status == StatusCode::NOT_MODIFIED;
    bodiless
        || parts.headers.contains_key(header::CONTENT_LENGTH)
        || parts.headers.contains_key(header::TRANSFER_ENCODING)
}

async fn within_deadline<T>(
    deadline: Instant,
    work: impl Future<Output = T>,
    timeout_error: EndpointError,
) -> Result<T, EndpointError> {
    let work = async { Ok(work.await) };
    let expiry = async {
        smol::Timer::at(deadline).await;
        Err(timeout_error)
    };
    work.or(expiry).await
}
