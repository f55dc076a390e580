//! Refuses submits of jobs that can't be served in time, by what the owner tells of the load.
//! See `docs/design/admission.md`.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use kernel::Time;
use proto::{Peer, Router, RpcError};
use steps::{
    Job,
    admission::{self, Decision, Estimate, LineLimit, LoadCall, LoadQuery, LoadReply, LoadSummary},
};
use store::{KeyRange, StoreError};

use super::Shared;
use crate::{edge::ClientReply, keys};

/// Shortest time between two calls to the owner.
const ASK_INTERVAL: Duration = Duration::from_millis(500);
/// Timeout of a call to the owner; a summary that is older than 2 s would count no more.
const OWNER_TIMEOUT: Duration = Duration::from_millis(500);

/// Adds the call of other entries to a router.
pub(super) fn add_route(router: Router, shared: &Arc<Shared>) -> Router {
    let shared = Arc::clone(shared);
    router.on::<LoadCall, _, _>(move |_| {
        let term = shared.term();
        async move {
            let Some(term) = term else {
                return Err(RpcError::not_run("this entry does not own the jobs"));
            };
            let known = term.load_summary();
            let (summary, age) = known
                .ok_or_else(|| RpcError::not_run("this owner has not measured the load yet"))?;
            let age_millis = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
            Ok(LoadReply {
                age_millis,
                summary,
            })
        }
    })
}

/// What this entry knows of the load.
#[derive(Debug, Default)]
pub(super) struct LoadCache {
    state: Arc<Mutex<CacheState>>,
    lines: Mutex<LineLimit>,
}

#[derive(Debug, Default)]
struct CacheState {
    /// The last summary and its time, on the clock of this entry.
    summary: Option<(Arc<LoadSummary>, Time)>,
    /// When the owner was last asked.
    asked_at: Option<Time>,
    /// Connection to the owner that was last asked.
    peer: Option<(SocketAddr, Peer)>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The load as the present owner last told it, and its age; `None` if it has not. Asks the owner
/// again in the background, so that no submit waits for the reply.
fn load(shared: &Shared) -> Option<(Arc<LoadSummary>, Duration)> {
    if let Some(term) = shared.term() {
        return term.load_summary();
    }
    let now = shared.clock.now();
    let owner = shared.index().owner().cloned()?;
    let mut state = lock(&shared.load.state);
    let is_due = state
        .asked_at
        .is_none_or(|at| (at + ASK_INTERVAL).passed(now));
    if let (true, Some(secrets)) = (is_due, shared.secrets()) {
        state.asked_at = Some(now);
        if state.peer.as_ref().map(|(address, _)| *address) != Some(owner.address) {
            state.peer = Some((owner.address, Peer::new(owner.address, secrets)));
        }
        if let Some((_, peer)) = state.peer.clone() {
            smol::spawn(ask(Arc::clone(&shared.load.state), peer, now)).detach();
        }
    }
    let (summary, at) = state.summary.as_ref()?;
    let is_of_owner = summary.epoch == owner.epoch;
    is_of_owner.then(|| (Arc::clone(summary), now.since(*at)))
}

/// Asks the owner; `now` is the time of the call.
async fn ask(state: Arc<Mutex<CacheState>>, peer: Peer, now: Time) {
    match peer.call::<LoadCall>(LoadQuery {}, OWNER_TIMEOUT).await {
        Ok(reply) => {
            let at = now - Duration::from_millis(reply.age_millis);
            lock(&state).summary = Some((reply.summary, at));
        }
        Err(error) => {
            tracing::debug!(%error, "owner did not tell the load; jobs are accepted without it");
            peer.reset();
        }
    }
}

/// Returns the refusal of a job that can't be served in time; `None` if it is to be accepted.
pub(super) async fn refuse(shared: &Shared, job: &Job) -> Option<ClientReply> {
    let queue = job.accepted_by.as_ref()?;
    let known = load(shared);
    let age_ms = known.as_ref().map(|(_, age)| age.as_millis() as u64);
    let summary = known
        .as_ref()
        .map(|(summary, age)| (summary.as_ref(), *age));
    let (estimate, retry_after) = match admission::decide(job, queue, summary) {
        Decision::Accept(reason, Some(estimate)) => {
            tracing::debug!(
                job = %job.name,
                queue = %job.queue,
                decision = ?reason,
                ahead_core_ms = estimate.ahead.cpu / 1_000,
                rate_milli_cores = rate_milli_cores(&estimate),
                wait_ms = estimate.wait.as_millis() as u64,
                age_ms,
                "submit admitted"
            );
            return None;
        }
        Decision::Accept(..) => return None,
        Decision::Refuse {
            estimate,
            retry_after,
        } => (estimate, retry_after),
    };
    // Without contact to the store the write refuses the job without a call.
    if shared.store_contact().silence(shared.clock.now()).is_some() {
        return None;
    }
    // An earlier call with the same ID may have stored the job. Without an answer of the store
    // the write decides.
    if !matches!(is_stored(shared, job).await, Ok(false)) {
        return None;
    }
    shared.metrics.record_refusal(retry_after);
    let left_out = lock(&shared.load.lines).admit(shared.clock.now());
    if let Some(left_out) = left_out {
        tracing::info!(
            job = %job.name,
            queue = %job.queue,
            decision = "refused",
            ahead_core_ms = estimate.ahead.cpu / 1_000,
            rate_milli_cores = rate_milli_cores(&estimate),
            wait_ms = estimate.wait.as_millis() as u64,
            age_ms,
            retry_after_s = retry_after.as_secs(),
            left_out,
            "submit refused by admission"
        );
    }
    Some(ClientReply::Overloaded {
        retry_after,
        reason: format!(
            "the work ahead of the job takes {} ms, so it can't end in time; this call has not run",
            estimate.wait.as_millis()
        ),
    })
}

/// Whether the store holds the job or its end. One transaction replaces the first by the second,
/// so reading in this order misses neither.
async fn is_stored(shared: &Shared, job: &Job) -> Result<bool, StoreError> {
    for key in [keys::job(&job.name), keys::ended(&job.name)] {
        if !shared
            .store
            .range(KeyRange::one(key), 1)
            .await?
            .kvs
            .is_empty()
        {
            return Ok(true);
        }
    }
    Ok(false)
}

const fn rate_milli_cores(estimate: &Estimate) -> u64 {
    let millis = estimate.span.as_millis() as u64;
    match millis {
        0 => 0,
        millis => estimate.drained.cpu / millis,
    }
}
