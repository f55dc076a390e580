//! Calls of clients and the readiness check of the load balancer.

use std::{sync::Arc, time::Duration};

use futures_lite::FutureExt;
use http::{HeaderValue, Method, StatusCode, header};
use kernel::JobName;
use smol::lock::SemaphoreGuard;
use steps::JobState;

use super::{Shared, pending, submit};
use crate::{
    edge::{ClientCall, ClientReply, HttpResponse},
    http1::{Limit, ReceivedRequest},
};

/// How long a client should wait before it retries a call that the entry can't serve:
/// about the time in which the store or a configuration usually becomes available.
pub(super) const RETRY_AFTER: Duration = Duration::from_secs(1);

/// How long a call waits for its turn to read a job from the store: a third of the usual time that
/// clients wait for an answer.
const READ_PERMIT_TIMEOUT: Duration = Duration::from_secs(1);

/// Handles a call of a client.
pub(super) async fn answer(shared: Arc<Shared>, arrived: ReceivedRequest) -> HttpResponse {
    let arrived_at = shared.clock.now();
    let mut method = Method::default();
    let reply = match arrived {
        ReceivedRequest::Complete(head, body) => {
            method = head.method.clone();
            let reply = handle_call(&shared, &head, &body).await;
            log_reply(&shared, &head, &reply);
            reply
        }
        ReceivedRequest::TooLarge => ClientReply::TooLarge,
        ReceivedRequest::Incomplete => ClientReply::Malformed("the body did not arrive".to_owned()),
        ReceivedRequest::Overloaded => unavailable("there is no memory for the body"),
    };
    let resp = shared.codec.encode_client_reply(&reply);
    let took = shared.clock.now().since(arrived_at);
    shared.metrics.record_call(&method, resp.status(), took);
    resp
}

/// Logs a reply that refuses a call or follows from the configuration alone.
fn log_reply(shared: &Shared, head: &http::request::Parts, reply: &ClientReply) {
    let config = shared.config.load();
    let version = config.as_ref().map(|config| config.version);
    let config_age_ms = shared.config_age().map(|age| age.as_millis() as u64);
    let (path, method) = (head.uri.path(), &head.method);
    match reply {
        ClientReply::Unavailable { reason, .. } | ClientReply::OutcomeUnknown(reason) => {
            tracing::info!(path, %method, reason, version, config_age_ms, "call refused");
        }
        ClientReply::NoSuchQueue => {
            let host = head.headers.get(header::HOST);
            let host = host.map(HeaderValue::as_bytes).map(String::from_utf8_lossy);
            tracing::info!(path, %method, host = host.as_deref(), version, config_age_ms, "no queue for the call");
        }
        ClientReply::Pending(pending) => {
            tracing::info!(
                path,
                pending,
                version,
                config_age_ms,
                "pending jobs counted"
            );
        }
        _ => {}
    }
}

/// Answers the readiness check of the load balancer.
pub(super) fn readiness(shared: &Shared, arrived: &ReceivedRequest) -> HttpResponse {
    let mut resp = HttpResponse::default();
    *resp.status_mut() = match arrived {
        ReceivedRequest::Complete(head, _) if !shared.codec.is_readiness_check(head) => {
            StatusCode::NOT_FOUND
        }
        _ if shared.is_ready() => StatusCode::OK,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    };
    resp
}

async fn handle_call(shared: &Shared, head: &http::request::Parts, body: &[u8]) -> ClientReply {
    // The age is read first, so that it never belongs to a newer configuration.
    let outdated = check_config_age(shared);
    let Some(config) = shared.config.load_full() else {
        return unavailable("no configuration is known yet");
    };
    let call = match shared.codec.decode_client_call(&config, head, body) {
        Ok(call) => call,
        Err(ClientReply::NoSuchQueue) => return outdated.unwrap_or(ClientReply::NoSuchQueue),
        Err(reply) => return reply,
    };
    let deadline = shared.codec.client_deadline(head);
    match (call, outdated) {
        (ClientCall::State(name), _) => state(shared, &name).await,
        (ClientCall::Cancel(name), _) => submit::cancel(shared, &name, deadline).await,
        (ClientCall::Submit(job), Some(_)) if shared.index().job(&job.name).is_some() => {
            ClientReply::Accepted
        }
        (_, Some(outdated)) => outdated,
        (ClientCall::Submit(job), None) => submit::submit(shared, *job, deadline).await,
        (ClientCall::Pending(queue), None) => {
            ClientReply::Pending(pending::count(shared, &queue).await)
        }
    }
}

/// Returns the refusal of a call that depends on the configuration if a newer one may have
/// been in force for too long. Jobs that have been accepted do not depend on it.
fn check_config_age(shared: &Shared) -> Option<ClientReply> {
    let age = shared.config_age()?;
    (age > shared.settings.max_config_age).then(|| {
        unavailable(format!(
            "the configuration was last known to be the newest {} ms ago",
            age.as_millis()
        ))
    })
}

pub(super) fn unavailable(reason: impl Into<String>) -> ClientReply {
    ClientReply::Unavailable {
        retry_after: RETRY_AFTER,
        reason: reason.into(),
    }
}

async fn state(shared: &Shared, name: &JobName) -> ClientReply {
    if let Some(state) = known_state(shared, name) {
        return ClientReply::State(state);
    }
    let Some(_permit) = read_permit(shared).await else {
        return too_many_reads();
    };
    match submit::read_job(shared, name).await {
        Ok(Some(state)) => ClientReply::State(state),
        Ok(None) => ClientReply::NoSuchJob,
        Err(error) => unavailable(error.message),
    }
}

/// Permits to wait for a read of a job from the store, and for the read itself.
pub(super) type ReadPermit<'a> = (SemaphoreGuard<'a>, SemaphoreGuard<'a>);

/// Waits for a permit to read a job from the store; `None` if there is none in time, or too many
/// calls wait. Clients whose jobs an entry does not know yet may ask together after its start.
pub(super) async fn read_permit(shared: &Shared) -> Option<ReadPermit<'_>> {
    let permit = async {
        let queued = shared.job_read_queue.try_acquire()?;
        Some((queued, shared.job_reads.acquire().await))
    };
    let timed_out = async {
        smol::Timer::after(READ_PERMIT_TIMEOUT).await;
        None
    };
    let permit = permit.or(timed_out).await;
    if permit.is_none() {
        shared.refusals.record(Limit::JobReads);
    }
    permit
}

pub(super) fn too_many_reads() -> ClientReply {
    unavailable("too many jobs are being read from the store")
}

fn known_state(shared: &Shared, name: &JobName) -> Option<JobState> {
    let state = shared.index().job(name)?.state();
    if state != JobState::Queued {
        return Some(state);
    }
    let started = shared.term().and_then(|term| term.has_started(name));
    Some(match started {
        Some(true) => JobState::Running,
        _ => state,
    })
}
