//! An HTTP/2 connection to a peer that opens on demand.
//!
//! A [`Channel`] is a client transport for tonic on the smol runtime. It keeps one
//! connection, opens a new one after a failure, and reports for each failed call
//! whether the call may have left this process.

use std::{
    net::SocketAddr,
    pin::Pin,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    task::{Context, Poll},
    time::{Duration, Instant},
};

use hyper::client::conn::http2;
use kernel::Verdict;
use smol::net::TcpStream;
use smol_hyper::rt::{FuturesIo, SmolTimer};
use tonic::body::Body;

use crate::server::SmolExecutor;

/// The idle time after which a connection with open calls is probed.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(5);
/// The time that a probed connection has to respond.
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(5);

type Sender = http2::SendRequest<Body>;
type Response = http::Response<hyper::body::Incoming>;

/// The failure of a call at the transport.
#[derive(Debug, thiserror::Error)]
pub enum ChannelError {
    /// The connection could not be opened; the call was not sent.
    #[error("can't connect to {address}: {source}")]
    Connect {
        /// The address of the peer.
        address: SocketAddr,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The HTTP/2 handshake with the peer failed; the call was not sent.
    #[error("no HTTP/2 connection with {address}: {source}")]
    Handshake {
        /// The address of the peer.
        address: SocketAddr,
        /// The error of the HTTP library.
        source: hyper::Error,
    },
    /// The connection closed before the call was sent.
    #[error("the connection to {0} closed before the call was sent")]
    NotSent(SocketAddr),
    /// The connection failed after the call may have been sent.
    #[error("the connection to {address} failed during the call: {source}")]
    Broken {
        /// The address of the peer.
        address: SocketAddr,
        /// The error of the HTTP library.
        source: hyper::Error,
    },
}

impl ChannelError {
    /// Returns whether the peer may have acted on the call.
    #[must_use]
    pub const fn verdict(&self) -> Verdict {
        match self {
            Self::Connect { .. } | Self::Handshake { .. } | Self::NotSent(_) => Verdict::NotRun,
            Self::Broken { .. } => Verdict::MayHaveRun,
        }
    }
}

/// A connection to one peer; clones share the connection.
#[derive(Clone, Debug)]
pub struct Channel {
    address: SocketAddr,
    current: Arc<Mutex<Option<Connection>>>,
}

#[derive(Clone, Debug)]
struct Connection {
    sender: Sender,
    /// When the last response on it began; before the first one, when its opening began.
    last_response_at: Arc<Mutex<Instant>>,
}

impl Connection {
    fn last_response_at(&self) -> MutexGuard<'_, Instant> {
        lock(&self.last_response_at)
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Channel {
    /// Returns a channel to `address`; opens no connection yet.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            current: Arc::default(),
        }
    }

    /// Returns the address of the peer.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Drops the connection, so that the next call opens a new one.
    pub fn reset(&self) {
        *self.current() = None;
    }

    /// Drops the connection if nothing has been answered on it since then. It may have fallen
    /// silent without being closed, which its probes notice only later.
    pub fn reset_if_silent(&self, since: Instant) {
        let silent = self
            .current()
            .take_if(|connection| *connection.last_response_at() < since);
        if silent.is_some() {
            tracing::info!(address = %self.address, "call not answered in time; its connection is not used any more");
        }
    }

    /// Drops a connection that has failed; another call may have opened a later one.
    fn drop_connection(&self, failed: &Connection) {
        let is_failed = |current: &mut Connection| {
            Arc::ptr_eq(&current.last_response_at, &failed.last_response_at)
        };
        self.current().take_if(is_failed);
    }

    fn current(&self) -> MutexGuard<'_, Option<Connection>> {
        lock(&self.current)
    }

    fn open_connection(&self) -> Option<Connection> {
        let current = self.current().clone();
        current.filter(|connection| !connection.sender.is_closed())
    }

    async fn connection(&self) -> Result<Connection, ChannelError> {
        if let Some(connection) = self.open_connection() {
            return Ok(connection);
        }
        let opened_at = Instant::now();
        let connection = Connection {
            sender: connect(self.address).await?,
            last_response_at: Arc::new(Mutex::new(opened_at)),
        };
        Ok(self.current().insert(connection).clone())
    }

    async fn send(self, mut req: http::Request<Body>) -> Result<Response, ChannelError> {
        let mut parts = req.uri().clone().into_parts();
        parts.scheme = Some(http::uri::Scheme::HTTP);
        parts.authority = self.address.to_string().parse().ok();
        if let Ok(uri) = http::Uri::from_parts(parts) {
            *req.uri_mut() = uri;
        }
        let mut connection = self.connection().await?;
        if connection.sender.ready().await.is_err() {
            self.drop_connection(&connection);
            return Err(ChannelError::NotSent(self.address));
        }
        let mut send_error = match connection.sender.try_send_request(req).await {
            Ok(resp) => {
                *connection.last_response_at() = Instant::now();
                return Ok(resp);
            }
            Err(send_error) => send_error,
        };
        self.drop_connection(&connection);
        if send_error.take_message().is_some() {
            return Err(ChannelError::NotSent(self.address));
        }
        Err(ChannelError::Broken {
            address: self.address,
            source: send_error.into_error(),
        })
    }
}

async fn connect(address: SocketAddr) -> Result<Sender, ChannelError> {
    let connect_error = |source| ChannelError::Connect { address, source };
    let stream = TcpStream::connect(address).await.map_err(connect_error)?;
    stream.set_nodelay(true).map_err(connect_error)?;
    let (sender, connection) = http2::Builder::new(SmolExecutor)
        .timer(SmolTimer::new())
        .keep_alive_interval(KEEP_ALIVE_INTERVAL)
        .keep_alive_timeout(KEEP_ALIVE_TIMEOUT)
        .handshake(FuturesIo::new(stream))
        .await
        .map_err(|source| ChannelError::Handshake { address, source })?;
    smol::spawn(async move {
        if let Err(error) = connection.await {
            tracing::debug!(%address, %error, "connection closed");
        }
    })
    .detach();
    Ok(sender)
}

impl tower_service::Service<http::Request<Body>> for Channel {
    type Response = Response;
    type Error = ChannelError;
    type Future = Pin<Box<dyn Future<Output = Result<Response, ChannelError>> + Send>>;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<Result<(), ChannelError>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, req: http::Request<Body>) -> Self::Future {
        Box::pin(self.clone().send(req))
    }
}

/// Returns the [`ChannelError`] that caused `status`; `None` if the cause is another.
#[must_use]
pub fn channel_error(status: &tonic::Status) -> Option<&ChannelError> {
    let mut source = std::error::Error::source(status);
    while let Some(error) = source {
        if let Some(found) = error.downcast_ref::<ChannelError>() {
            return Some(found);
        }
        source = error.source();
    }
    None
}
