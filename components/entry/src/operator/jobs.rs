//! Submits, cancels and lists jobs.

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
    objects::{HandlerResult, path_name, query_field},
    reply::{Failure, read_json, write_failure, write_success},
};
use crate::{cells::Cells, peers::Peers};

/// Timeout of another entry's job list.
const LIST_TIMEOUT: Duration = Duration::from_secs(3);

/// Dependencies of the job handlers.
pub struct JobsContext {
    /// The cells of this entry, with access to those of other entries.
    pub cells: Arc<Cells>,
    /// The other entries.
    pub peers: Arc<Peers>,
    /// Secrets that authenticate this entry to other entries.
    pub secrets: Secrets,
}

pub(crate) fn routes(cx: &Arc<Context>) -> Router {
    let router = Router::new();
    let Some(jobs) = &cx.jobs else {
        return router;
    };
    let cx = &Arc::new(HandlerContext {
        cx: Arc::clone(cx),
        jobs: Arc::clone(jobs),
    });
    let router = route!(router, post, "/v1/jobs", cx, submit);
    let router = route!(router, get, "/v1/jobs", cx, list);
    route!(router, post, "/v1/jobs/:name/cancel", cx, cancel)
}

/// First argument of the handlers below.
struct HandlerContext {
    cx: Arc<Context>,
    jobs: Arc<JobsContext>,
}

async fn submit(scope: &HandlerContext, conn: &mut Conn) -> HandlerResult<SubmitReply> {
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

async fn cancel(scope: &HandlerContext, conn: &mut Conn) -> HandlerResult<CancelReply> {
    let job: JobName = path_name(conn)?;
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

/// Lists the jobs of all entries. Fails if one entry does not answer, since an
/// incomplete list without notice would mislead.
async fn list(scope: &HandlerContext, conn: &mut Conn) -> HandlerResult<JobReply> {
    let job_query = JobQuery {
        job: query_field(conn, "job")?,
        tasks: query_field(conn, "tasks")?.unwrap_or(false),
    };
    let mut reply = scope.jobs.cells.jobs(&job_query).await;
    let mut calls = Vec::new();
    for entry in scope.jobs.peers.live_entries() {
        if entry.name == scope.jobs.peers.own_record().name {
            continue;
        }
        let peer = Peer::new(entry.system, scope.jobs.secrets.clone());
        let job_query = job_query.clone();
        calls.push(async move {
            let list_result = peer.call::<JobsCall>(job_query, LIST_TIMEOUT).await;
            (entry.name, list_result)
        });
    }
    for (entry, list_result) in join_all(calls).await {
        match list_result {
            Ok(part) => reply.jobs.extend(part.jobs),
            Err(error) => {
                let message = format!("entry {entry} did not list its jobs: {error}; try again");
                let failure = Failure::new(Verdict::NotRun, message);
                return Err((Status::ServiceUnavailable, failure));
            }
        }
    }
    let sort_key = |part: &JobPart| (part.accepted_at, part.spec.name.clone(), part.cell.clone());
    reply.jobs.sort_by_key(sort_key);
    Ok(reply)
}
