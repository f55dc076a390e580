//! Accepts jobs and cancellations with one durable write each.

use std::time::Duration;

use kernel::{JobName, Verdict};
use steps::{Job, JobState};
use store::{Compare, KeyRange, KeyValue, LeaseId, Op, Store, StoreError, Txn, backoff::Backoff};

use super::{
    Shared, admission,
    calls::{self, unavailable},
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

/// A key to be created, unless it or one of `excluded_by` exists.
struct NewKey {
    key: String,
    value: Vec<u8>,
    lease: Option<LeaseId>,
    excluded_by: Vec<String>,
}

/// The outcome of the creation of a key.
enum CreateOutcome {
    /// This call created the key.
    Created,
    /// This key, which is the key itself or one that excludes it, already existed.
    AlreadyExisted(String),
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
    if let Some(refusal) = admission::refuse(shared, &job).await {
        return refusal;
    }
    job.accepted = crate::time::wall_time();
    let value = match serde_json::to_vec(&job) {
        Ok(value) => value,
        Err(error) => return ClientReply::Malformed(error.to_string()),
    };
    let started_at = shared.clock.now();
    let withdrawn = keys::withdrawn(&job.name);
    let new_key = NewKey {
        key: keys::job(&job.name),
        value,
        lease: None,
        excluded_by: vec![keys::ended(&job.name), withdrawn.clone()],
    };
    let created = create(shared, new_key, deadline).await;
    let took_ms = shared.clock.now().since(started_at).as_millis() as u64;
    match created {
        CreateOutcome::Created => {
            tracing::info!(job = %job.name, queue = %job.queue, took_ms, "job accepted");
            ClientReply::Accepted
        }
        CreateOutcome::AlreadyExisted(key) if key == withdrawn => {
            unavailable("the job was cancelled before it was stored")
        }
        CreateOutcome::AlreadyExisted(_) => {
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
    let permit = match indexed {
        Some(_) => None,
        None => match calls::read_permit(shared).await {
            Some(permit) => Some(permit),
            None => return calls::too_many_reads(),
        },
    };
    let state = match indexed {
        Some(state) => state,
        None => match read_job(shared, name).await {
            Ok(Some(state)) => state,
            Ok(None) => match withdraw(shared, name, deadline).await {
                CreateOutcome::AlreadyExisted(key) if key == keys::job(name) => JobState::Queued,
                CreateOutcome::Created | CreateOutcome::AlreadyExisted(_) => {
                    tracing::info!(job = %name, "unknown job cancelled; it will not be stored");
                    return ClientReply::NoSuchJob;
                }
                failed => return not_cancelled(failed),
            },
            Err(error) => return unavailable(error.message),
        },
    };
    drop(permit);
    if let JobState::Ended(_) = state {
        return ClientReply::CancelAccepted;
    }
    let new_key = NewKey {
        key: keys::cancelled(name),
        value: b"{}".to_vec(),
        lease: None,
        excluded_by: Vec::new(),
    };
    match create(shared, new_key, deadline).await {
        CreateOutcome::Created | CreateOutcome::AlreadyExisted(_) => {
            tracing::info!(job = %name, "cancellation accepted");
            ClientReply::CancelAccepted
        }
        failed => not_cancelled(failed),
    }
}

fn not_cancelled(outcome: CreateOutcome) -> ClientReply {
    match outcome {
        CreateOutcome::NotCreated(error) => {
            unavailable(format!("the cancellation can't be stored: {error}"))
        }
        CreateOutcome::Unknown(error) => ClientReply::OutcomeUnknown(format!(
            "the cancellation may or may not have been stored: {error}"
        )),
        CreateOutcome::Created | CreateOutcome::AlreadyExisted(_) => ClientReply::CancelAccepted,
    }
}

/// Keeps a job that is not stored from being stored by a write that is carried out late. The
/// mark ends with its lease.
async fn withdraw(shared: &Shared, name: &JobName, deadline: Option<Duration>) -> CreateOutcome {
    let lease = match shared
        .store
        .grant(shared.settings.timing.ended_job_retention)
        .await
    {
        Ok(lease) => lease,
        Err(error) => return CreateOutcome::NotCreated(error),
    };
    let new_key = NewKey {
        key: keys::withdrawn(name),
        value: b"{}".to_vec(),
        lease: Some(lease),
        excluded_by: vec![keys::job(name), keys::ended(name)],
    };
    create(shared, new_key, deadline).await
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

/// Creates a key. If an answer is lost, sends the same transaction again: it only creates the
/// key, so it takes effect at most once.
async fn create(shared: &Shared, new_key: NewKey, deadline: Option<Duration>) -> CreateOutcome {
    if let Err(error) = check_contact(shared) {
        return CreateOutcome::NotCreated(error);
    }
    let give_up_at =
        shared.clock.now() + deadline.unwrap_or(DEFAULT_DEADLINE).mul_f64(WRITE_FRACTION);
    let (key, value, lease) = (new_key.key, new_key.value, new_key.lease);
    let mut txn = Txn {
        compares: vec![Compare::Absent(key.clone())],
        otherwise: vec![KeyRange::one(key.as_str())],
        ops: vec![Op::Put { key, value, lease }],
    };
    for other in new_key.excluded_by {
        txn.otherwise.push(KeyRange::one(other.as_str()));
        txn.compares.push(Compare::Absent(other));
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
                if let Some(found) = reply.otherwise.into_iter().flatten().next() {
                    return CreateOutcome::AlreadyExisted(found.key);
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
