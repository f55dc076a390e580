//! The etcd v3 protocol as a [`Store`].
//!
//! An error is [`kernel::Verdict::NotRun`] only if the call certainly did not
//! reach the service or was refused by it before anything changed.

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
    KeyRange, LeaseId, RangeReply, Store, StoreError, StoreRevision, Txn, TxnReply, Watch,
    backoff::Backoff,
};

/// How long one call may take.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// The largest message taken or sent, in bytes.
const MAX_MESSAGE_BYTES: usize = 64 << 20;

/// Which address is in use and how it fared.
#[derive(Debug)]
struct Connecting {
    current: usize,
    backoff: Backoff,
    /// No connection is tried before this.
    not_before: Time,
}

/// A client of the service at one of several addresses.
#[derive(Clone, Debug)]
pub struct EtcdStore {
    channels: Arc<[Channel]>,
    clock: Clock,
    connecting: Arc<Mutex<Connecting>>,
    timeout: Duration,
}

impl EtcdStore {
    /// A client of the service at `addresses`; nothing is opened yet.
    #[must_use]
    pub fn new(addresses: &[SocketAddr]) -> Self {
        Self {
            channels: addresses.iter().copied().map(Channel::new).collect(),
            clock: Clock::start(),
            connecting: Arc::new(Mutex::new(Connecting {
                current: 0,
                backoff: Backoff::with_random_seed(),
                not_before: Time::ZERO,
            })),
            timeout: CALL_TIMEOUT,
        }
    }

    /// The same client, whose calls may take up to `timeout`.
    #[must_use]
    pub fn with_timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }

    fn connecting(&self) -> MutexGuard<'_, Connecting> {
        self.connecting
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// The channels to try, the one in use first.
    fn candidates(&self) -> Result<Vec<(usize, Channel)>, StoreError> {
        let connecting = self.connecting();
        if !connecting.not_before.passed(self.clock.now()) {
            return Err(StoreError::not_run(
                "the store can't be reached; waiting before the next attempt",
            ));
        }
        let count = self.channels.len();
        let numbers = (0..count).map(|step| (connecting.current + step) % count);
        Ok(numbers
            .map(|number| (number, self.channels[number].clone()))
            .collect())
    }

    fn reached(&self, number: usize) {
        let mut connecting = self.connecting();
        connecting.current = number;
        connecting.backoff.reset();
    }

    fn unreachable(&self) {
        let mut connecting = self.connecting();
        let wait = connecting.backoff.next_delay();
        connecting.not_before = self.clock.now() + wait;
    }

    /// Makes a call at the first address that can be connected to.
    ///
    /// Only a call that certainly was not sent goes on to the next address.
    async fn call<T, F>(&self, call: impl Fn(Channel) -> F + Send) -> Result<T, StoreError>
    where
        F: Future<Output = Result<T, Status>> + Send,
        T: Send,
    {
        let mut last = StoreError::not_run("no address of the store is set");
        for (number, channel) in self.candidates()? {
            match self.within_timeout(&channel, call(channel.clone())).await {
                Ok(reply) => {
                    self.reached(number);
                    return Ok(reply);
                }
                Err(failure) if failure.unsent => last = failure.error,
                Err(failure) => {
                    self.move_on_from(number);
                    return Err(failure.error);
                }
            }
        }
        self.unreachable();
        Err(last)
    }

    /// The next call begins at another address.
    fn move_on_from(&self, number: usize) {
        let mut connecting = self.connecting();
        if connecting.current == number {
            connecting.current = (number + 1) % self.channels.len();
        }
    }

    async fn within_timeout<T>(
        &self,
        channel: &Channel,
        call: impl Future<Output = Result<T, Status>>,
    ) -> Result<T, Failure> {
        let answered = async { Some(call.await) };
        let expired = async {
            smol::Timer::after(self.timeout).await;
            None
        };
        let Some(answer) = answered.or(expired).await else {
            channel.reset();
            let message = format!("no answer from {} in time", channel.address());
            return Err(Failure::sent(StoreError::may_have_run(message)));
        };
        answer.map_err(|status| Failure::of(&status))
    }
}

/// Why a call at one address failed.
struct Failure {
    error: StoreError,
    /// The call did not leave this process.
    unsent: bool,
}

impl Failure {
    const fn sent(error: StoreError) -> Self {
        Self {
            error,
            unsent: false,
        }
    }

    fn of(status: &Status) -> Self {
        if let Some(error) = channel_error(status) {
            let verdict = error.verdict();
            return Self {
                unsent: verdict == Verdict::NotRun,
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

/// Codes with which the service refuses a call before it changes anything.
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

fn kv(channel: Channel) -> KvClient<Channel> {
    KvClient::new(channel)
        .max_decoding_message_size(MAX_MESSAGE_BYTES)
        .max_encoding_message_size(MAX_MESSAGE_BYTES)
}

/// A read changes nothing, whatever became of it.
fn reading(error: StoreError) -> StoreError {
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
                async move { kv(channel).range(req).await }
            })
            .await
            .map_err(reading)?;
        wire::range_reply(resp.into_inner())
    }

    async fn txn(&self, txn: Txn) -> Result<TxnReply, StoreError> {
        let req = wire::txn_request(txn);
        let resp = self
            .call(|channel| {
                let req = req.clone();
                async move { kv(channel).txn(req).await }
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
        let answer = self
            .call(|channel| async move {
                let requests = stream::once(req);
                let mut client = LeaseClient::new(channel);
                let mut answers = client.lease_keep_alive(requests).await?.into_inner();
                answers
                    .message()
                    .await?
                    .ok_or_else(|| Status::unknown("the stream ended without an answer"))
            })
            .await?;
        Ok(answer.ttl > 0)
    }

    async fn revoke(&self, lease: LeaseId) -> Result<(), StoreError> {
        let req = etcd::LeaseRevokeRequest { id: lease.0 };
        self.call(|channel| async move { LeaseClient::new(channel).lease_revoke(req).await })
            .await?;
        Ok(())
    }

    async fn watch(&self, range: KeyRange, from: StoreRevision) -> Result<Watch, StoreError> {
        let req = wire::watch_request(&range, from);
        let responses = self
            .call(|channel| watch::open(channel, req.clone()))
            .await
            .map_err(reading)?;
        Ok(watch::deliver(responses))
    }
}
