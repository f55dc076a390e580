//! The number of jobs that have not started, which only the owner has exactly.

use std::{sync::Arc, time::Duration};

use kernel::secret::Secrets;
use proto::{Method, Peer, Router, RpcError};
use serde::{Deserialize, Serialize};

use super::Shared;

/// Timeout of the call to the owner. Clients accept a count that is up to two seconds
/// old; after the timeout the entry estimates the count from the store.
const OWNER_TIMEOUT: Duration = Duration::from_millis(500);

/// Request for the number of jobs of a queue that have not started.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct Pending {
    queue: Arc<str>,
}

/// The RPC method that takes a [`Pending`] request.
#[derive(Debug)]
pub(super) struct PendingCall;

impl Method for PendingCall {
    const PATH: &'static str = "/hemlockmoor.Owner/Pending";
    type Req = Pending;
    type Resp = usize;
}

/// Returns the router for calls of other entries.
pub(super) fn router(shared: &Arc<Shared>) -> Router {
    let shared = Arc::clone(shared);
    Router::new().on::<PendingCall, _, _>(move |query| {
        let term = shared.term();
        async move {
            let Some(term) = term else {
                return Err(RpcError::not_run("this entry does not own the jobs"));
            };
            term.pending_jobs(&query.queue)
                .ok_or_else(|| RpcError::not_run("this owner has not loaded the jobs yet"))
        }
    })
}

/// Returns how many jobs of a queue have not started. If the owner does not answer,
/// counts the jobs whose keys in the store record neither an end nor a cancellation.
pub(super) async fn count(shared: &Shared, queue: &Arc<str>) -> usize {
    if let Some(term) = shared.term() {
        let count = term.pending_jobs(queue);
        return count.unwrap_or_else(|| shared.index().pending_jobs(queue));
    }
    let owner = shared.index().owner().cloned();
    let secrets = shared.secrets();
    if let (Some(owner), Some(secrets)) = (owner, secrets) {
        match ask_owner(owner.address, secrets, queue).await {
            Ok(count) => return count,
            Err(error) => {
                tracing::info!(
                    owner = %owner.entry,
                    %error,
                    "owner did not answer; pending jobs counted from the store"
                );
            }
        }
    }
    shared.index().pending_jobs(queue)
}

async fn ask_owner(
    address: std::net::SocketAddr,
    secrets: Secrets,
    queue: &Arc<str>,
) -> Result<usize, RpcError> {
    let query = Pending {
        queue: Arc::clone(queue),
    };
    let peer = Peer::new(address, secrets);
    peer.call::<PendingCall>(query, OWNER_TIMEOUT).await
}
