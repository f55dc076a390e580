//! Accepting jobs and cancellations: one durable write each.

use std::time::Duration;

use kernel::{JobName, Verdict};
use steps::{Job, JobState};
use store::{Compare, KeyRange, Op, StoreError, Txn, backoff::Backoff};

use super::{
    Shared,
    calls::not_now,
    index::{Fact, Index, in_order},
};
use crate::{edge::ClientReply, keys};

/// How long a write is tried if the client names no deadline.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(3);
/// The part of the client's time that goes to the write; the rest is for the
/// answer's way back.
const WRITE_PART: f64 = 0.7;
/// How often a write that the store refused is tried again: another entry may
/// reach the store when this one does not, so a client is soon sent there.
const MOST_REFUSALS: u32 = 2;

/// What became of the creation of a key.
enum Created {
    /// It is there now, by this call.
    Now,
    /// It was there before.
    Before,
    /// It is not there and will not be.
    Not(StoreError),
    /// It may be there.
    Unknown(StoreError),
}

/// Accepts a job.
pub(super) async fn submit(
    shared: &Shared,
    mut job: Job,
    deadline: Option<Duration>,
) -> ClientReply {
    if let Err(error) = job.validate() {
        return ClientReply::Malformed(error.to_string());
    }
    if shared.index().job(&job.name).is_some() {
        return ClientReply::Accepted;
    }
    job.accepted = crate::time::wall();
    let value = match serde_json::to_vec(&job) {
        Ok(value) => value,
        Err(error) => return ClientReply::Malformed(error.to_string()),
    };
    let began = shared.clock.now();
    let created = create(
        shared,
        &keys::job(&job.name),
        &[keys::ended(&job.name)],
        value,
        deadline,
    )
    .await;
    let took_ms = shared.clock.now().since(began).as_millis() as u64;
    match created {
        Created::Now => {
            tracing::info!(job = %job.name, queue = %job.queue, took_ms, "job accepted");
            ClientReply::Accepted
        }
        Created::Before => {
            tracing::info!(job = %job.name, queue = %job.queue, took_ms, "job was accepted before");
            ClientReply::Accepted
        }
        Created::Not(error) => not_now(format!("the job can't be stored: {error}")),
        Created::Unknown(error) => {
            ClientReply::OutcomeUnknown(format!("whether the job is stored is not known: {error}"))
        }
    }
}

/// Cancels a job.
pub(super) async fn cancel(
    shared: &Shared,
    name: &JobName,
    deadline: Option<Duration>,
) -> ClientReply {
    let known = shared.index().job(name).map(super::index::Known::state);
    let state = match known {
        Some(state) => state,
        None => match read_job(shared, name).await {
            Ok(Some(state)) => state,
            Ok(None) => return ClientReply::NoSuchJob,
            Err(error) => return not_now(error.message),
        },
    };
    if let JobState::Ended(_) = state {
        return ClientReply::CancelAccepted;
    }
    let key = keys::cancelled(name);
    match create(shared, &key, &[], b"{}".to_vec(), deadline).await {
        Created::Now | Created::Before => {
            tracing::info!(job = %name, "cancelling accepted");
            ClientReply::CancelAccepted
        }
        Created::Not(error) => not_now(format!("the cancelling can't be stored: {error}")),
        Created::Unknown(error) => ClientReply::OutcomeUnknown(format!(
            "whether the cancelling is stored is not known: {error}"
        )),
    }
}

/// Reads the state of a job from the store.
pub(super) async fn read_job(
    shared: &Shared,
    name: &JobName,
) -> Result<Option<JobState>, StoreError> {
    let mut found = Vec::new();
    // A job's key goes in the step in which its end comes, so this order can't
    // miss both.
    let keys = [keys::job(name), keys::ended(name), keys::cancelled(name)];
    for key in keys {
        found.extend(shared.store.range(KeyRange::one(key), 1).await?.kvs);
    }
    let mut index = Index::default();
    for fact in in_order(&found) {
        index.apply(&fact);
        if matches!(fact, Fact::Job(_) | Fact::Ended(..)) {
            shared.index().apply(&fact);
        }
    }
    let known = index.job(name).filter(|known| known.is_accepted());
    Ok(known.map(super::index::Known::state))
}

/// Creates a key unless it or one of `others` exists. An answer that is lost is
/// settled by the same call again: it creates the key, so it takes effect once.
async fn create(
    shared: &Shared,
    key: &str,
    others: &[String],
    value: Vec<u8>,
    deadline: Option<Duration>,
) -> Created {
    let give_up = shared.clock.now() + deadline.unwrap_or(DEFAULT_DEADLINE).mul_f64(WRITE_PART);
    let mut txn = Txn {
        compares: vec![Compare::Absent(key.to_owned())],
        ops: vec![Op::put(key, value)],
        otherwise: vec![KeyRange::one(key)],
    };
    for other in others {
        txn.compares.push(Compare::Absent(other.clone()));
        txn.otherwise.push(KeyRange::one(other.as_str()));
    }
    let mut backoff = Backoff::with_random_seed();
    let mut may_have_run = false;
    loop {
        let error = match shared.store.txn(txn.clone()).await {
            Ok(reply) if reply.succeeded => return Created::Now,
            Ok(reply) => {
                if reply.otherwise.iter().any(|found| !found.is_empty()) {
                    return Created::Before;
                }
                StoreError::not_run("the key came and went")
            }
            Err(error) => error,
        };
        may_have_run |= error.verdict != Verdict::NotRun;
        let wait = backoff.next_delay();
        let is_late = (give_up - wait).passed(shared.clock.now());
        if !may_have_run && (backoff.failures() > MOST_REFUSALS || is_late) {
            return Created::Not(error);
        }
        if is_late {
            return Created::Unknown(error);
        }
        smol::Timer::after(wait).await;
    }
}
