//! A [`Store`] that speaks the etcd v3 protocol.
//!
//! A call fails with [`kernel::Verdict::NotRun`] only if it certainly did not
//! reach the service, or if the service rejected it before changing anything.

mod watch;
mod wire;

use std::{
    future::Future,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use async_trait::async_trait;
use futures_lite::{FutureExt, stream};
use kernel::{Clock, Time, Verdict};
use proto::{
    Channel,
    channel::channel_error,
    etcd::{self, kv_client::KvClient, lease_client::LeaseClient},
};
use tonic::{Code, Status};

use crate::{
    Delivery, KeyRange, LeaseId, RangeReply, Store, StoreError, StoreRevision, Txn, TxnReply,
    Watch, backoff::Backoff,
};

/// The default time limit of one call at one address.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// The largest message accepted or sent, in bytes.
const MAX_MESSAGE_BYTES: usize = 64 << 20;

/// The address in use and the backoff of failed attempts to connect.
#[derive(Debug)]
struct ConnectState {
    /// The index of the address that the next call tries first.
    current: usize,
    backoff: Backoff,
    /// Calls before this time fail without an attempt to connect.
    not_before: Time,
}

/// A client of a service that is reachable at several addresses.
#[derive(Clone, Debug)]
pub struct EtcdStore {
    channels: Arc<[Channel]>,
    clock: Clock,
    connect_state: Arc<Mutex<ConnectState>>,
    timeout: Duration,
}

impl EtcdStore {
    /// Returns a client of the service at `addresses`; opens no connection yet.
    #[must_use]
    pub fn new(addresses: &[SocketAddr]) -> Self {
        Self {
            channels: addresses.iter().copied().map(Channel::new).collect(),
            clock: Clock::start(),
            connect_state: Arc::new(Mutex::new(ConnectState {
                current: 0,
                backoff: Backoff::with_random_seed(),
                not_before: Time::ZERO,
            })),
            timeout: CALL_TIMEOUT,
        }
    }

    /// Sets how long each attempt of a call waits for a reply.
    #[must_use]
    pub fn with_timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }

    fn connect_state(&self) -> MutexGuard<'_, ConnectState> {
        self.connect_state
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the channels to try, the current one first.
    fn candidates(&self) -> Result<Vec<(usize, Channel)>, StoreError> {
        let connect_state = self.connect_state();
        if !connect_state.not_before.passed(self.clock.now()) {
            return Err(StoreError::not_run(
                "the store can't be reached; waiting before the next attempt",
            ));
        }
        let count = self.channels.len();
        let indexes = (0..count).map(|step| (connect_state.current + step) % count);
        Ok(indexes
            .map(|index| (index, self.channels[index].clone()))
            .collect())
    }

    fn mark_reachable(&self, index: usize) {
        let mut connect_state = self.connect_state();
        connect_state.current = index;
        connect_state.backoff.reset();
    }

    fn mark_unreachable(&self) {
        let mut connect_state = self.connect_state();
        let delay = connect_state.backoff.next_delay();
        connect_state.not_before = self.clock.now() + delay;
    }

    /// Sends a call to the first address that accepts a connection.
    ///
    /// Tries the next address only if the call was certainly not sent.
    async fn call<T, F>(&self, call: impl Fn(Channel) -> F + Send) -> Result<T, StoreError>
    where
        F: Future<Output = Result<T, Status>> + Send,
        T: Send,
    {
        let mut last = StoreError::not_run("no address of the store is configured");
        for (index, channel) in self.candidates()? {
            match self.with_time_limit(&channel, call(channel.clone())).await {
                Ok(reply) => {
                    self.mark_reachable(index);
                    return Ok(reply);
                }
                Err(failure) if failure.is_unsent => last = failure.error,
                Err(failure) => {
                    self.rotate_from(index);
                    return Err(failure.error);
                }
            }
        }
        self.mark_unreachable();
        Err(last)
    }

    /// Makes the next call try another address than that of `index` first.
    fn rotate_from(&self, index: usize) {
        let mut connect_state = self.connect_state();
        if connect_state.current == index {
            connect_state.current = (index + 1) % self.channels.len();
        }
    }

    async fn with_time_limit<T>(
        &self,
        channel: &Channel,
        call: impl Future<Output = Result<T, Status>>,
    ) -> Result<T, Failure> {
        let completed = async { Some(call.await) };
        let expired = async {
            smol::Timer::after(self.timeout).await;
            None
        };
        let Some(reply) = completed.or(expired).await else {
            channel.reset();
            let message = format!("no answer from {} in time", channel.address());
            return Err(Failure::sent(StoreError::may_have_run(message)));
        };
        reply.map_err(|status| Failure::from_status(&status))
    }
}

/// The failure of a call at one address.
struct Failure {
    error: StoreError,
    /// Whether the call certainly did not leave this process.
    is_unsent: bool,
}

impl Failure {
    const fn sent(error: StoreError) -> Self {
        Self {
            error,
            is_unsent: false,
        }
    }

    fn from_status(status: &Status) -> Self {
        if let Some(error) = channel_error(status) {
            let verdict = error.verdict();
            return Self {
                is_unsent: verdict == Verdict::NotRun,
                error: StoreError {
                    verdict,
                    message: error.to_string(),
                },
            };
        }
        Self::sent(StoreError {
            verdict: verdict_of(status.code()),
            message: format!("{:?}: {}", status.code(), status.message()),
        })
    }
}

/// Returns the verdict of a status code; the service uses the listed codes only to
/// reject a call before changing anything.
const fn verdict_of(code: Code) -> Verdict {
    match code {
        Code::InvalidArgument
        | Code::NotFound
        | Code::AlreadyExists
        | Code::PermissionDenied
        | Code::Unauthenticated
        | Code::FailedPrecondition
        | Code::OutOfRange
        | Code::ResourceExhausted
        | Code::Unimplemented => Verdict::NotRun,
        _ => Verdict::MayHaveRun,
    }
}

fn kv_client(channel: Channel) -> KvClient<Channel> {
    KvClient::new(channel)
        .max_decoding_message_size(MAX_MESSAGE_BYTES)
        .max_encoding_message_size(MAX_MESSAGE_BYTES)
}

/// Marks the error of a read as not run, since a read never changes anything.
fn read_error(error: StoreError) -> StoreError {
    StoreError {
        verdict: Verdict::NotRun,
        ..error
    }
}

#[async_trait]
impl Store for EtcdStore {
    async fn range(&self, range: KeyRange, limit: i64) -> Result<RangeReply, StoreError> {
        let req = wire::range_request(&range, limit);
        let resp = self
            .call(|channel| {
                let req = req.clone();
                async move { kv_client(channel).range(req).await }
            })
            .await
            .map_err(read_error)?;
        wire::range_reply(resp.into_inner())
    }

    async fn txn(&self, txn: Txn) -> Result<TxnReply, StoreError> {
        let req = wire::txn_request(txn);
        let resp = self
            .call(|channel| {
                let req = req.clone();
                async move { kv_client(channel).txn(req).await }
            })
            .await?;
        wire::txn_reply(resp.into_inner())
    }

    async fn grant(&self, ttl: Duration) -> Result<LeaseId, StoreError> {
        let seconds = ttl.as_millis().div_ceil(1000).max(1);
        let req = etcd::LeaseGrantRequest {
            ttl: i64::try_from(seconds).unwrap_or(i64::MAX),
            id: 0,
        };
        let resp = self
            .call(|channel| async move { LeaseClient::new(channel).lease_grant(req).await })
            .await?;
        Ok(LeaseId(resp.into_inner().id))
    }

    async fn keep_alive(&self, lease: LeaseId) -> Result<bool, StoreError> {
        let req = etcd::LeaseKeepAliveRequest { id: lease.0 };
        let reply = self
            .call(|channel| async move {
                let requests = stream::once(req);
                let mut client = LeaseClient::new(channel);
                let mut replies = client.lease_keep_alive(requests).await?.into_inner();
                replies.message().await?.ok_or_else(|| {
                    Status::unknown("the renewal stream ended before the service replied")
                })
            })
            .await?;
        Ok(reply.ttl > 0)
    }

    async fn revoke(&self, lease: LeaseId) -> Result<(), StoreError> {
        let req = etcd::LeaseRevokeRequest { id: lease.0 };
        self.call(|channel| async move { LeaseClient::new(channel).lease_revoke(req).await })
            .await?;
        Ok(())
    }

    async fn watch(
        &self,
        range: KeyRange,
        from: StoreRevision,
        _: Delivery,
    ) -> Result<Watch, StoreError> {
        let req = wire::watch_request(&range, from);
        let responses = self
            .call(|channel| watch::open(channel, req.clone()))
            .await
            .map_err(read_error)?;
        Ok(watch::deliver(responses))
    }
}
