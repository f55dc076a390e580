//! The agent's key in the store, by which owners find it.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use futures_lite::FutureExt;
use kernel::VmName;
use steps::registration::RegistrationStep;
use store::{Compare, KeyRange, Op, Store, StoreError, StoreRevision, Txn, backoff::Backoff};

use super::Shared;
use crate::keys::{self, AgentRecord};

/// How often an agent looks whether its key is still there.
const CHECK_INTERVAL: Duration = Duration::from_secs(5);

/// Keeps the key there while there is a worker or one may come.
pub(super) async fn run(shared: Arc<Shared>, store: Arc<dyn Store>, address: SocketAddr) {
    let mut backoff = Backoff::with_random_seed();
    loop {
        let changed = shared.registration_changed.listen();
        let due = shared.registration().next_step();
        let done = match due {
            Some(due) => carry_out(&shared, &*store, address, due).await,
            None => Ok(()),
        };
        let wait = match done {
            Ok(()) => {
                if backoff.failures() > 0 {
                    tracing::info!("store regained");
                }
                backoff.reset();
                CHECK_INTERVAL
            }
            Err(error) => {
                if backoff.failures() == 0 {
                    tracing::warn!(%error, ?due, "store lost: the agent's key is not confirmed");
                }
                backoff.next_delay()
            }
        };
        if backoff.failures() == 0 && shared.registration().is_urgent() {
            continue;
        }
        let timer = async {
            smol::Timer::after(wait).await;
        };
        changed.or(timer).await;
    }
}

async fn carry_out(
    shared: &Shared,
    store: &dyn Store,
    address: SocketAddr,
    due: RegistrationStep,
) -> Result<(), StoreError> {
    let vm = &shared.settings.vm;
    match due {
        RegistrationStep::List | RegistrationStep::ListAgain => {
            let revision = match due {
                RegistrationStep::ListAgain => write(store, vm, address).await?,
                _ => ensure(store, vm, address).await?,
            };
            let held = shared.registration().confirm_listed(revision);
            if let Some(beat) = held {
                shared.take_heartbeat(beat);
            }
            Ok(())
        }
        RegistrationStep::Withdraw(revision) => {
            withdraw(store, vm, revision).await?;
            shared.registration().confirm_removed();
            Ok(())
        }
    }
}

/// Makes sure that the key is there; gives its revision.
async fn ensure(
    store: &dyn Store,
    vm: &VmName,
    address: SocketAddr,
) -> Result<StoreRevision, StoreError> {
    let found = store.range(KeyRange::one(keys::agent(vm)), 1).await?;
    if let Some(kv) = found.kvs.first()
        && kv.value == record(address)?
    {
        return Ok(kv.modified);
    }
    write(store, vm, address).await
}

fn record(address: SocketAddr) -> Result<Vec<u8>, StoreError> {
    serde_json::to_vec(&AgentRecord { address })
        .map_err(|error| StoreError::not_run(error.to_string()))
}

/// Writes the key; gives its revision.
async fn write(
    store: &dyn Store,
    vm: &VmName,
    address: SocketAddr,
) -> Result<StoreRevision, StoreError> {
    let txn = Txn {
        ops: vec![Op::put(keys::agent(vm), record(address)?)],
        ..Txn::default()
    };
    let reply = store.txn(txn).await?;
    tracing::info!(%vm, %address, "agent registered");
    Ok(reply.revision)
}

/// Removes the key unless it was written again. A removal that comes late finds
/// another revision and does nothing.
async fn withdraw(
    store: &dyn Store,
    vm: &VmName,
    revision: StoreRevision,
) -> Result<(), StoreError> {
    let key = keys::agent(vm);
    let txn = Txn {
        compares: vec![Compare::ModifiedAt(key.clone(), revision)],
        ops: vec![Op::Delete(KeyRange::one(key))],
        otherwise: Vec::new(),
    };
    store.txn(txn).await?;
    tracing::info!(%vm, "agent withdrawn: its worker has left");
    Ok(())
}
