//! The agent's key in the store, by which owners find it.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use kernel::VmName;
use store::{KeyRange, Op, Store, StoreError, Txn, backoff::Backoff};

use crate::keys::{self, AgentRecord};

/// How often an agent looks whether its key is still there.
const CHECK_INTERVAL: Duration = Duration::from_secs(5);

/// Keeps the key there for as long as the agent runs.
pub(super) async fn run(store: Arc<dyn Store>, vm: VmName, address: SocketAddr) {
    let mut backoff = Backoff::random();
    loop {
        match ensure(&*store, &vm, address).await {
            Ok(()) => {
                if backoff.failures() > 0 {
                    tracing::info!("store regained");
                }
                backoff.succeeded();
                smol::Timer::after(CHECK_INTERVAL).await;
            }
            Err(error) => {
                if backoff.failures() == 0 {
                    tracing::warn!(%error, "store lost: the agent's key is not confirmed");
                }
                smol::Timer::after(backoff.failed()).await;
            }
        }
    }
}

async fn ensure(store: &dyn Store, vm: &VmName, address: SocketAddr) -> Result<(), StoreError> {
    let key = keys::agent(vm);
    let record = serde_json::to_vec(&AgentRecord { address })
        .map_err(|error| StoreError::not_run(error.to_string()))?;
    let found = store.range(KeyRange::one(key.as_str()), 1).await?;
    if found.kvs.first().is_some_and(|kv| kv.value == record) {
        return Ok(());
    }
    let txn = Txn {
        ops: vec![Op::put(key, record)],
        ..Txn::default()
    };
    store.txn(txn).await?;
    tracing::info!(%vm, %address, "agent registered");
    Ok(())
}
