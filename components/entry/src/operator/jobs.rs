//! Submitting, cancelling and listing jobs.

use std::{sync::Arc, time::Duration};

use futures_util::future::join_all;
use kernel::{JobName, Verdict, secret::Secrets};
use proto::{
    Peer,
    messages::{Cancel, CancelReply, JobPart, JobQuery, JobReply, SubmitReply},
    methods::JobsCall,
};
use trillium::{Conn, Status};
use trillium_router::Router;

use super::{
    Context, SubmitRequest,
    objects::{Answer, name, query},
    reply::{Failure, read_json, write_failure, write_success},
};
use crate::{cells::Cells, peers::Peers};

/// How long another entry may take to list its jobs.
const LIST_TIMEOUT: Duration = Duration::from_secs(3);

/// What jobs are answered from.
pub struct JobsContext {
    /// The cells of this entry, and the way to all others.
    pub cells: Arc<Cells>,
    /// The other entries.
    pub peers: Arc<Peers>,
    /// The secrets of the system's own processes.
    pub secrets: Secrets,
}

pub(crate) fn routes(cx: &Arc<Context>) -> Router {
    let router = Router::new();
    let Some(jobs) = &cx.jobs else {
        return router;
    };
    let cx = &Arc::new(Scope {
        cx: Arc::clone(cx),
        jobs: Arc::clone(jobs),
    });
    let router = route!(router, post, "/v1/jobs", cx, submit);
    let router = route!(router, get, "/v1/jobs", cx, list);
    route!(router, post, "/v1/jobs/:name/cancel", cx, cancel)
}

/// What the functions below answer from.
struct Scope {
    cx: Arc<Context>,
    jobs: Arc<JobsContext>,
}

async fn submit(scope: &Scope, conn: &mut Conn) -> Answer<SubmitReply> {
    let req: SubmitRequest = read_json(conn, scope.cx.body_bytes).await?;
    let spec = req
        .into_spec(&scope.cx.config.in_force().objects)
        .map_err(|failure| (Status::UnprocessableEntity, failure))?;
    let submitted = scope.jobs.cells.submit(spec).await;
    let status = match submitted.verdict {
        Verdict::Done => {
            return Ok(SubmitReply {
                verdict: Verdict::Done,
                reason: submitted.reason,
            });
        }
        Verdict::NotRun => Status::UnprocessableEntity,
        Verdict::MayHaveRun => Status::GatewayTimeout,
    };
    Err((status, Failure::new(submitted.verdict, submitted.reason)))
}

async fn cancel(scope: &Scope, conn: &mut Conn) -> Answer<CancelReply> {
    let job: JobName = name(conn)?;
    let cancel = Cancel { job };
    let reply = scope
        .jobs
        .cells
        .cancel(&cancel.job)
        .await
        .map_err(|error| {
            let failure = Failure::new(error.verdict, error.message);
            (Status::ServiceUnavailable, failure)
        })?;
    if reply.known {
        return Ok(reply);
    }
    let message = format!("there is no job {}", cancel.job);
    Err((Status::NotFound, Failure::new(Verdict::NotRun, message)))
}

/// Lists the jobs of all entries; one that does not answer fails the list,
/// since a list with a silent gap would mislead.
async fn list(scope: &Scope, conn: &mut Conn) -> Answer<JobReply> {
    let asked = JobQuery {
        job: query(conn, "job")?,
        tasks: query(conn, "tasks")?.unwrap_or(false),
    };
    let mut reply = scope.jobs.cells.jobs(&asked).await;
    let mut calls = Vec::new();
    for entry in scope.jobs.peers.live() {
        if entry.name == scope.jobs.peers.own().name {
            continue;
        }
        let peer = Peer::new(entry.system, scope.jobs.secrets.clone());
        let asked = asked.clone();
        calls.push(async move {
            let listed = peer.call::<JobsCall>(asked, LIST_TIMEOUT).await;
            (entry.name, listed)
        });
    }
    for (entry, listed) in join_all(calls).await {
        match listed {
            Ok(part) => reply.jobs.extend(part.jobs),
            Err(error) => {
                let message = format!("entry {entry} did not list its jobs: {error}; ask again");
                let failure = Failure::new(Verdict::NotRun, message);
                return Err((Status::ServiceUnavailable, failure));
            }
        }
    }
    let order = |part: &JobPart| (part.accepted_at, part.spec.name.clone(), part.cell.clone());
    reply.jobs.sort_by_key(order);
    Ok(reply)
}
