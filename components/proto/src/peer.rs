//! The client side of calls between the processes of the system.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use futures_lite::FutureExt;
use http::uri::PathAndQuery;
use kernel::{Verdict, secret::Secrets};
use tonic::{Code, Request, Status, metadata::MetadataValue};

use crate::{Method, channel::Channel, channel::channel_error, codec::MsgPack};

/// The largest message exchanged with a peer, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 16 * 1024 * 1024;

/// The delay of a timer up to which this process counts as on time.
const MAX_TIMER_DELAY: Duration = Duration::from_millis(20);

/// The trailer that carries the verdict of a failed call.
pub const VERDICT_TRAILER: &str = "x-hemlockmoor-verdict";

/// The failure of a call to a peer.
#[derive(Debug, Clone, thiserror::Error)]
#[error("{message}")]
pub struct RpcError {
    /// Whether the peer may have acted on the call.
    pub verdict: Verdict,
    /// The cause of the failure, for logs.
    pub message: String,
}

impl RpcError {
    /// Returns the error of a call that the peer certainly did not act on.
    #[must_use]
    pub fn not_run(message: impl Into<String>) -> Self {
        Self {
            verdict: Verdict::NotRun,
            message: message.into(),
        }
    }

    /// Returns the error of a call that the peer may have acted on.
    #[must_use]
    pub fn may_have_run(message: impl Into<String>) -> Self {
        Self {
            verdict: Verdict::MayHaveRun,
            message: message.into(),
        }
    }
}

/// A client of another process of the system; all calls share one connection.
#[derive(Clone, Debug)]
pub struct Peer {
    channel: Channel,
    secrets: Secrets,
}

impl Peer {
    /// Returns a client of the process at `address`; opens no connection yet.
    #[must_use]
    pub fn new(address: SocketAddr, secrets: Secrets) -> Self {
        Self {
            channel: Channel::new(address),
            secrets,
        }
    }

    /// Returns the address of the peer.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.channel.address()
    }

    /// Drops the connection, so that the next call opens a new one, whether or not other calls
    /// have been answered on it.
    pub fn reset(&self) {
        self.channel.reset();
    }

    /// Sends one call and waits at most `timeout` for the reply. After a timeout the next call
    /// opens a new connection, unless this one has answered others in the second half of the time.
    ///
    /// # Errors
    ///
    /// Returns an [`RpcError`] whose verdict states whether the peer may have acted
    /// on the call; after a timeout it always may have.
    pub async fn call<M: Method>(
        &self,
        req: M::Req,
        timeout: Duration,
    ) -> Result<M::Resp, RpcError> {
        let sent_at = Instant::now();
        let completed = self.exchange::<M>(req);
        let expired = async {
            expire(timeout).await;
            self.channel.reset_if_silent(sent_at + timeout / 2);
            Err(RpcError::may_have_run(format!(
                "no answer from {} within {timeout:?}; it may have acted on the call",
                self.address()
            )))
        };
        completed.or(expired).await
    }

    async fn exchange<M: Method>(&self, req: M::Req) -> Result<M::Resp, RpcError> {
        let mut grpc = tonic::client::Grpc::new(self.channel.clone())
            .max_decoding_message_size(MAX_MESSAGE_BYTES)
            .max_encoding_message_size(MAX_MESSAGE_BYTES);
        let mut req = Request::new(req);
        if let Ok(value) = MetadataValue::try_from(self.secrets.authorization()) {
            req.metadata_mut().insert("authorization", value);
        }
        let path = PathAndQuery::from_static(M::PATH);
        let codec = MsgPack::<M::Req, M::Resp>::default();
        match grpc.unary(req, path, codec).await {
            Ok(resp) => Ok(resp.into_inner()),
            Err(status) => Err(to_rpc_error(&status)),
        }
    }
}

/// Completes when `timeout` has passed. If this process was late to notice, it gets the
/// same time once more, since a reply may have arrived that it has not read yet.
pub async fn expire(timeout: Duration) {
    let due_at = Instant::now() + timeout;
    smol::Timer::at(due_at).await;
    let late_by = due_at.elapsed();
    if late_by > MAX_TIMER_DELAY {
        smol::Timer::after(late_by.min(timeout)).await;
    }
}

fn to_rpc_error(status: &Status) -> RpcError {
    RpcError {
        verdict: verdict_of(status),
        message: describe(status),
    }
}

fn verdict_of(status: &Status) -> Verdict {
    if let Some(error) = channel_error(status) {
        return error.verdict();
    }
    if let Some(value) = status.metadata().get(VERDICT_TRAILER) {
        return Verdict::from_header(value.to_str().unwrap_or_default());
    }
    match status.code() {
        Code::Unimplemented | Code::Unauthenticated => Verdict::NotRun,
        _ => Verdict::MayHaveRun,
    }
}

fn describe(status: &Status) -> String {
    match channel_error(status) {
        Some(error) => error.to_string(),
        None => format!("{:?}: {}", status.code(), status.message()),
    }
}
