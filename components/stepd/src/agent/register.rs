//! Registers the agent in the store, where owners read its address.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use futures_lite::FutureExt;
use kernel::VmName;
use steps::registration::RegistrationStep;
use store::{Compare, KeyRange, Op, Store, StoreError, StoreRevision, Txn, backoff::Backoff};

use super::Shared;
use crate::keys::{self, AgentRecord};

/// How often an agent checks that its key still exists.
const CHECK_INTERVAL: Duration = Duration::from_secs(5);

/// Keeps the key of the agent in the store while it has a worker or may get one.
pub(super) async fn run(shared: Arc<Shared>, store: Arc<dyn Store>, address: SocketAddr) {
    let mut backoff = Backoff::with_random_seed();
    loop {
        let changed = shared.registration_changed.listen();
        let due = shared.registration().next_step();
        let done = match due {
            Some(due) => carry_out_step(&shared, &*store, address, due).await,
            None => Ok(()),
        };
        let wait = match done {
            Ok(()) => {
                if backoff.failures() > 0 {
                    tracing::info!("store available again; agent registration up to date");
                }
                backoff.reset();
                CHECK_INTERVAL
            }
            Err(error) => {
                if backoff.failures() == 0 {
                    tracing::warn!(
                        %error,
                        ?due,
                        "store unavailable; agent registration not confirmed"
                    );
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

async fn carry_out_step(
    shared: &Shared,
    store: &dyn Store,
    address: SocketAddr,
    due: RegistrationStep,
) -> Result<(), StoreError> {
    let vm = &shared.settings.vm;
    match due {
        RegistrationStep::List | RegistrationStep::ListAgain => {
            let revision = match due {
                RegistrationStep::ListAgain => write_key(store, vm, address).await?,
                _ => ensure_key(store, vm, address).await?,
            };
            let delayed_heartbeat = shared.registration().confirm_listed(revision);
            if let Some(heartbeat) = delayed_heartbeat {
                shared.apply_heartbeat(heartbeat);
            }
            Ok(())
        }
        RegistrationStep::Withdraw(revision) => {
            delete_key(store, vm, revision).await?;
            shared.registration().confirm_removed();
            Ok(())
        }
    }
}

/// Writes the key unless it exists with the current address; returns its revision.
async fn ensure_key(
    store: &dyn Store,
    vm: &VmName,
    address: SocketAddr,
) -> Result<StoreRevision, StoreError> {
    let found = store.range(KeyRange::one(keys::agent(vm)), 1).await?;
    if let Some(kv) = found.kvs.first()
        && kv.value == encode_record(address)?
    {
        return Ok(kv.modified);
    }
    write_key(store, vm, address).await
}

fn encode_record(address: SocketAddr) -> Result<Vec<u8>, StoreError> {
    serde_json::to_vec(&AgentRecord { address })
        .map_err(|error| StoreError::not_run(error.to_string()))
}

/// Writes the key; returns its revision.
async fn write_key(
    store: &dyn Store,
    vm: &VmName,
    address: SocketAddr,
) -> Result<StoreRevision, StoreError> {
    let txn = Txn {
        ops: vec![Op::put(keys::agent(vm), encode_record(address)?)],
        ..Txn::default()
    };
    let reply = store.txn(txn).await?;
    tracing::info!(%vm, %address, "agent registered");
    Ok(reply.revision)
}

/// Deletes the key unless it was written again: a delayed deletion finds another revision
/// and does nothing.
async fn delete_key(
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
    tracing::info!(%vm, "agent unregistered; its worker has left");
    Ok(())
}
