//! Announces the capacity of an entry to the others, and hands the jobs over to a larger
//! one that is ready.

use std::{sync::Arc, time::Duration};

use futures_lite::FutureExt;
use kernel::EntryName;
use proto::{Method, Peer, Router, RpcError};
use serde::{Deserialize, Serialize};
use store::{LeaseId, Op, StoreError, Txn, backoff::Backoff};

use super::{Shared, campaign, term::Term};
use crate::keys::{self, EntryRecord};

/// The time to live of an announcement without a renewal. It bounds how long others let
/// an entry go first that has crashed.
const ANNOUNCEMENT_TTL: Duration = Duration::from_secs(60);
/// How often an announcement is renewed.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(20);
/// How often an owner looks for a larger entry.
const COMPARE_INTERVAL: Duration = Duration::from_secs(1);
/// Timeout of the question whether an entry is ready. It is long because an owner asks that
/// may have little processor time left.
const READINESS_TIMEOUT: Duration = Duration::from_secs(5);

/// The question whether an entry is ready to own the jobs.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
struct Readiness {
    /// The epoch of the owner that asks.
    epoch: u64,
}

/// The RPC method that takes a [`Readiness`] question.
#[derive(Debug)]
struct ReadinessCall;

impl Method for ReadinessCall {
    const PATH: &'static str = "/hemlockmoor.Entry/Readiness";
    type Req = Readiness;
    type Resp = bool;
}

/// Announces this entry until it stops, then withdraws the announcement.
pub(super) async fn announce(shared: Arc<Shared>) {
    let mut lease = None;
    let mut backoff = Backoff::with_random_seed();
    while !shared.is_stopping() {
        let wait = match keep_announcement(&shared, lease).await {
            Ok(kept) => {
                lease = Some(kept);
                backoff = Backoff::with_random_seed();
                RENEWAL_INTERVAL
            }
            Err(error) => {
                if backoff.failures() == 0 {
                    tracing::info!(%error, "can't announce this entry; trying again");
                }
                backoff.next_delay()
            }
        };
        let timer = async {
            smol::Timer::after(wait).await;
        };
        timer.or(wait_for_stop(&shared)).await;
    }
    if let Some(lease) = lease {
        campaign::revoke(&*shared.store, lease).await;
    }
}

async fn wait_for_stop(shared: &Shared) {
    loop {
        let stopping = shared.owner_changed.listen();
        if shared.is_stopping() {
            return;
        }
        stopping.await;
    }
}

/// Renews the announcement, or writes it if it or its lease has ended; returns its lease.
async fn keep_announcement(shared: &Shared, lease: Option<LeaseId>) -> Result<LeaseId, StoreError> {
    let is_listed = shared.index().entry(&shared.settings.name).is_some();
    if let Some(lease) = lease
        && is_listed
        && shared.store.keep_alive(lease).await?
    {
        return Ok(lease);
    }
    let record = EntryRecord {
        address: shared.settings.internal_address,
        cpu_milli: shared.settings.cpu_milli,
    };
    let value =
        serde_json::to_vec(&record).map_err(|error| StoreError::not_run(error.to_string()))?;
    let lease = shared.store.grant(ANNOUNCEMENT_TTL).await?;
    let put = Op::Put {
        key: keys::entry(&shared.settings.name),
        value,
        lease: Some(lease),
    };
    let txn = Txn {
        ops: vec![put],
        ..Txn::default()
    };
    match shared.store.txn(txn).await {
        Ok(_) => Ok(lease),
        Err(error) => {
            // Without the lease a delayed write can't outlast this entry's next one.
            campaign::revoke(&*shared.store, lease).await;
            Err(error)
        }
    }
}

/// Adds the call by which an owner asks whether this entry is ready to own the jobs.
pub(super) fn with_calls(router: Router, shared: &Arc<Shared>) -> Router {
    let shared = Arc::clone(shared);
    router.on::<ReadinessCall, _, _>(move |question| {
        let is_ready = shared.is_ready() && shared.index().is_loaded;
        tracing::info!(
            epoch = question.epoch,
            is_ready,
            "the owner asks whether this entry can own the jobs"
        );
        smol::future::ready(Ok(is_ready))
    })
}

/// Lets the owner step down once a clearly larger entry is ready. Asking it also finds out
/// whether it has crashed or been told to stop since it announced itself.
pub(super) async fn step_down_when_smaller(shared: Arc<Shared>, term: Arc<Term>) {
    loop {
        smol::Timer::after(COMPARE_INTERVAL).await;
        // Another change of owner would begin the recovery anew.
        if term.owner().is_recovering() {
            continue;
        }
        let target = shared.candidacy().hand_over_target(shared.clock.now());
        let Some(target) = target else {
            continue;
        };
        let epoch = term.claim.record.epoch;
        if !is_ready(&shared, &target.name, epoch).await {
            let now = shared.clock.now();
            shared.candidacy().decline(now, &target.name);
            continue;
        }
        tracing::info!(
            epoch,
            cpu_milli = shared.settings.cpu_milli,
            larger = %target.name,
            larger_cpu_milli = target.cpu_milli,
            "handing the jobs over because a larger entry is ready"
        );
        term.step_down();
        return;
    }
}

async fn is_ready(shared: &Shared, name: &EntryName, epoch: u64) -> bool {
    let record = shared.index().entry(name);
    let (Some(record), Some(secrets)) = (record, shared.secrets()) else {
        return false;
    };
    let peer = Peer::new(record.address, secrets);
    let reply: Result<bool, RpcError> = peer
        .call::<ReadinessCall>(Readiness { epoch }, READINESS_TIMEOUT)
        .await;
    match reply {
        Ok(true) => true,
        Ok(false) => {
            tracing::info!(entry = %name, "a larger entry is not ready to own the jobs");
            false
        }
        Err(error) => {
            tracing::info!(entry = %name, %error, "a larger entry does not answer; keeping the jobs");
            false
        }
    }
}
