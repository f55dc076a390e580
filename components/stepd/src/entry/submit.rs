//! Accepts jobs and cancellations with one durable write each.

use std::time::Duration;

use kernel::{JobName, Verdict};
use steps::{Job, JobState};
use store::{Compare, KeyRange, KeyValue, Op, Store, StoreError, Txn, backoff::Backoff};

use super::{
    Shared,
    calls::unavailable,
    index::{Index, KeyUpdate, jobs_first},
};
use crate::{edge::ClientReply, keys};

/// The deadline of a client that gives none.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(3);
/// The fraction of the client's deadline available for the write; the rest is for
/// the reply on its way to the client.
const WRITE_FRACTION: f64 = 0.7;
/// How often a write that did not run is retried. The limit is low because another entry
/// may reach the store when this one can't: an early refusal lets the client try there.
const MAX_REFUSED_WRITES: u32 = 2;

/// The outcome of the creation of a key.
enum CreateOutcome {
    /// This call created the key.
    Created,
    /// The key, or one that excludes it, already existed.
    AlreadyExisted,
    /// The key was not created and will not be.
    NotCreated(StoreError),
    /// The key may have been created.
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
    job.accepted = crate::time::wall_time();
    let value = match serde_json::to_vec(&job) {
        Ok(value) => value,
        Err(error) => return ClientReply::Malformed(error.to_string()),
    };
    let started_at = shared.clock.now();
    let created = create(
        shared,
        &keys::job(&job.name),
        &[keys::ended(&job.name)],
        value,
        deadline,
    )
    .await;
    let took_ms = shared.clock.now().since(started_at).as_millis() as u64;
    match created {
        CreateOutcome::Created => {
            tracing::info!(job = %job.name, queue = %job.queue, took_ms, "job accepted");
            ClientReply::Accepted
        }
        CreateOutcome::AlreadyExisted => {
            tracing::info!(
                job = %job.name,
                queue = %job.queue,
                took_ms,
                "job had already been accepted"
            );
            ClientReply::Accepted
        }
        CreateOutcome::NotCreated(error) => {
            unavailable(format!("the job can't be stored: {error}"))
        }
        CreateOutcome::Unknown(error) => {
            ClientReply::OutcomeUnknown(format!("the job may or may not have been stored: {error}"))
        }
    }
}

/// Cancels a job.
pub(super) async fn cancel(
    shared: &Shared,
    name: &JobName,
    deadline: Option<Duration>,
) -> ClientReply {
    let indexed = shared
        .index()
        .job(name)
        .map(super::index::IndexedJob::state);
    let state = match indexed {
        Some(state) => state,
        None => match read_job(shared, name).await {
            Ok(Some(state)) => state,
            Ok(None) => return ClientReply::NoSuchJob,
            Err(error) => return unavailable(error.message),
        },
    };
    if let JobState::Ended(_) = state {
        return ClientReply::CancelAccepted;
    }
    let key = keys::cancelled(name);
    match create(shared, &key, &[], b"{}".to_vec(), deadline).await {
        CreateOutcome::Created | CreateOutcome::AlreadyExisted => {
            tracing::info!(job = %name, "cancellation accepted");
            ClientReply::CancelAccepted
        }
        CreateOutcome::NotCreated(error) => {
            unavailable(format!("the cancellation can't be stored: {error}"))
        }
        CreateOutcome::Unknown(error) => ClientReply::OutcomeUnknown(format!(
            "the cancellation may or may not have been stored: {error}"
        )),
    }
}

/// Reads the state of a job from the store.
pub(super) async fn read_job(
    shared: &Shared,
    name: &JobName,
) -> Result<Option<JobState>, StoreError> {
    check_contact(shared)?;
    let mut index = Index::default();
    let kvs = read_job_keys(&*shared.store, name).await?;
    for update in jobs_first(&kvs) {
        index.apply(&update);
        if matches!(update, KeyUpdate::Job(_) | KeyUpdate::Ended(..)) {
            shared.index().apply(&update);
        }
    }
    let job = index.job(name).filter(|job| job.is_accepted());
    Ok(job.map(super::index::IndexedJob::state))
}

/// Reads a job, its progress, its end and whether it is cancelled from the store.
pub(super) async fn read_job_keys(
    store: &dyn Store,
    name: &JobName,
) -> Result<Vec<KeyValue>, StoreError> {
    // One transaction deletes the keys of a job and its progress and creates the record of its
    // end, so reading in this order finds a job with its progress, or its end.
    let keys = [
        keys::job(name),
        keys::progress(name),
        keys::ended(name),
        keys::cancelled(name),
    ];
    let mut kvs = Vec::new();
    for key in keys {
        kvs.extend(store.range(KeyRange::one(key), 1).await?.kvs);
    }
    Ok(kvs)
}

/// Refuses a call at once if the store has been silent for too long to be tried.
fn check_contact(shared: &Shared) -> Result<(), StoreError> {
    match shared.store_contact().silence(shared.clock.now()) {
        None => Ok(()),
        Some(silence) => Err(StoreError::not_run(format!(
            "the store has not replied for {} ms; another entry may reach it",
            silence.as_millis()
        ))),
    }
}

/// Creates a key unless it or one of `others` exists. If an answer is lost, sends the same
/// transaction again: it only creates the key, so it takes effect at most once.
async fn create(
    shared: &Shared,
    key: &str,
    others: &[String],
    value: Vec<u8>,
    deadline: Option<Duration>,
) -> CreateOutcome {
    if let Err(error) = check_contact(shared) {
        return CreateOutcome::NotCreated(error);
    }
    let give_up_at =
        shared.clock.now() + deadline.unwrap_or(DEFAULT_DEADLINE).mul_f64(WRITE_FRACTION);
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
            Ok(reply) if reply.succeeded => {
                shared.record_store_reply();
                return CreateOutcome::Created;
            }
            Ok(reply) => {
                shared.record_store_reply();
                if reply.otherwise.iter().any(|kvs| !kvs.is_empty()) {
                    return CreateOutcome::AlreadyExisted;
                }
                StoreError::not_run(
                    "the write was refused because a key of the job existed, which was then deleted",
                )
            }
            Err(error) => error,
        };
        may_have_run |= error.verdict != Verdict::NotRun;
        let wait = backoff.next_delay();
        let is_late = (give_up_at - wait).passed(shared.clock.now());
        if !may_have_run && (backoff.failures() > MAX_REFUSED_WRITES || is_late) {
            return CreateOutcome::NotCreated(error);
        }
        if is_late {
            return CreateOutcome::Unknown(error);
        }
        smol::Timer::after(wait).await;
    }
}
