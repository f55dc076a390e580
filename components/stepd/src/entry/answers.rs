//! What only the owner knows: jobs that have not started.

use std::{sync::Arc, time::Duration};

use kernel::secret::Secrets;
use proto::{Method, Peer, Router, RpcError};
use serde::{Deserialize, Serialize};

use super::Shared;

/// How long an entry waits for the owner; clients ask for a count that may be
/// two seconds old, so a guess from the store must do after that.
const OWNER_TIMEOUT: Duration = Duration::from_millis(500);

/// Asks the owner for the jobs of a queue that have not started.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct Pending {
    queue: Arc<str>,
}

/// The call [`Pending`].
#[derive(Debug)]
pub(super) struct PendingCall;

impl Method for PendingCall {
    const PATH: &'static str = "/hemlockmoor.Owner/Pending";
    type Req = Pending;
    type Resp = usize;
}

/// Answers other entries.
pub(super) fn router(shared: &Arc<Shared>) -> Router {
    let shared = Arc::clone(shared);
    Router::new().on::<PendingCall, _, _>(move |asked| {
        let term = shared.term();
        async move {
            match term {
                Some(term) => Ok(term.pending(&asked.queue)),
                None => Err(RpcError::not_run("this entry does not own the jobs")),
            }
        }
    })
}

/// How many jobs of a queue have not started; without the owner, how many show
/// no sign of it in the store.
pub(super) async fn pending(shared: &Shared, queue: &Arc<str>) -> usize {
    if let Some(term) = shared.term() {
        return term.pending(queue);
    }
    let owner = shared.index().owner().cloned();
    let secrets = shared.secrets();
    if let (Some(owner), Some(secrets)) = (owner, secrets) {
        match ask(owner.address, secrets, queue).await {
            Ok(count) => return count,
            Err(error) => {
                tracing::info!(owner = %owner.entry, %error, "count taken from the store");
            }
        }
    }
    shared.index().pending(queue)
}

async fn ask(
    address: std::net::SocketAddr,
    secrets: Secrets,
    queue: &Arc<str>,
) -> Result<usize, RpcError> {
    let asked = Pending {
        queue: Arc::clone(queue),
    };
    let peer = Peer::new(address, secrets);
    peer.call::<PendingCall>(asked, OWNER_TIMEOUT).await
}
