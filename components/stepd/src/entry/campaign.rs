//! Leader election: an entry becomes the owner of the jobs when there is none.

use std::{sync::Arc, time::Duration};

use futures_lite::FutureExt;
use kernel::Time;
use store::{
    Compare, KeyRange, KeyValue, LeaseId, Op, Store, StoreError, StoreRevision, Txn,
    backoff::Backoff,
};

use super::{
    Shared, candidacy,
    term::{self, Claim},
};
use crate::{
    keys::{self, OwnerRecord},
    secret,
};

/// How often an entry checks for an owner if it receives no update.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Becomes the owner whenever no other entry is, until this entry stops.
pub(super) async fn run(shared: Arc<Shared>) {
    let secrets = secret::obtain(&*shared.store).await;
    shared.set_secrets(secrets.clone());
    let serving = smol::spawn(serve_entries(Arc::clone(&shared), secrets.clone()));
    let mut is_first = true;
    while !shared.is_stopping() {
        let is_vacated = std::mem::take(&mut is_first) && release_own_key(&shared).await;
        if !is_vacated {
            wait_for_vacancy(&shared).await;
        }
        if shared.is_stopping() {
            break;
        }
        match try_acquire(&shared).await {
            Ok(Some(claim)) => term::run(&shared, claim, secrets.clone()).await,
            Ok(None) => {}
            Err(error) => tracing::info!(%error, "can't become owner of the jobs; trying again"),
        }
    }
    serving.cancel().await;
}

async fn serve_entries(shared: Arc<Shared>, secrets: kernel::secret::Secrets) {
    match observe::listen("internal", shared.settings.internal_address).await {
        Ok((listener, _)) => {
            let router = super::admission::add_route(super::pending::router(&shared), &shared);
            let router = candidacy::with_calls(router, &shared);
            proto::serve(listener, router, secrets, smol::future::pending()).await;
        }
        Err(error) => tracing::error!(%error, "can't listen for calls of other entries"),
    }
}

/// Releases the key of the owner if the earlier process of this entry wrote it, and returns
/// whether it did. That process is gone, since this one listens on its ports, so nobody has
/// to wait until the key expires. What it ordered is settled as after any other owner.
async fn release_own_key(shared: &Shared) -> bool {
    loop {
        let changed = shared.owner_changed.listen();
        if shared.is_stopping() {
            return false;
        }
        if shared.index().is_loaded && shared.config.load().is_some() {
            break;
        }
        let timer = async {
            smol::Timer::after(CHECK_INTERVAL).await;
        };
        changed.or(timer).await;
    }
    let give_up_at = shared.clock.now() + shared.settings.timing.owner_key;
    let mut backoff = Backoff::with_random_seed();
    loop {
        let error = match try_release_own_key(shared).await {
            Ok(is_released) => return is_released,
            Err(error) => error,
        };
        let delay = backoff.next_delay();
        if shared.is_stopping() || (give_up_at - delay).passed(shared.clock.now()) {
            tracing::info!(%error, "can't release the key of this entry's earlier process; it lasts until it expires");
            return false;
        }
        smol::Timer::after(delay).await;
    }
}

async fn try_release_own_key(shared: &Shared) -> Result<bool, StoreError> {
    let found = shared.store.range(KeyRange::one(keys::OWNER), 1).await?;
    let Some(kv) = found.kvs.into_iter().next() else {
        return Ok(false);
    };
    let settings = &shared.settings;
    let is_own = match serde_json::from_slice::<OwnerRecord>(&kv.value) {
        Ok(record) => record.entry == settings.name && record.address == settings.internal_address,
        Err(error) => {
            tracing::error!(%error, "can't decode the key of the owner; waiting until it expires");
            false
        }
    };
    let Some(lease) = kv.lease.filter(|_| is_own) else {
        return Ok(false);
    };
    shared.store.revoke(lease).await?;
    tracing::info!("key of this entry's earlier process released; it owned the jobs");
    Ok(true)
}

async fn wait_for_vacancy(shared: &Shared) {
    loop {
        let changed = shared.owner_changed.listen();
        let is_vacant = {
            let index = shared.index();
            index.is_loaded && index.owner().is_none()
        };
        if shared.is_stopping() {
            return;
        }
        if is_vacant && shared.config.load().is_some() {
            wait_for_turn(shared).await;
            if shared.index().owner().is_none() {
                return;
            }
            continue;
        }
        let timer = async {
            smol::Timer::after(CHECK_INTERVAL).await;
        };
        changed.or(timer).await;
    }
}

/// Waits for a random time, and for larger entries to campaign first.
async fn wait_for_turn(shared: &Shared) {
    let now = shared.clock.now();
    let delay = shared.candidacy().campaign_delay(now, &mut rand::rng());
    if let Some(larger) = &delay.yields_to {
        tracing::info!(
            cpu_milli = shared.settings.cpu_milli,
            larger = %larger.name,
            larger_cpu_milli = larger.cpu_milli,
            wait_ms = delay.wait.as_millis() as u64,
            "no entry owns the jobs; waiting for larger entries to become the owner first"
        );
    }
    smol::Timer::after(delay.wait).await;
}

/// Tries to become the owner; returns `None` if another entry was faster or this one stops.
async fn try_acquire(shared: &Shared) -> Result<Option<Claim>, StoreError> {
    let read = shared.store.range(KeyRange::one(keys::EPOCH), 1).await?;
    let previous = read.kvs.into_iter().next();
    let epoch = previous.as_ref().map_or(0, keys::parse_epoch) + 1;
    let sent_at = shared.clock.now();
    let lease = shared.store.grant(shared.settings.timing.owner_key).await?;
    if shared.is_stopping() {
        revoke(&*shared.store, lease).await;
        return Ok(None);
    }
    let record = OwnerRecord {
        entry: shared.settings.name.clone(),
        address: shared.settings.internal_address,
        epoch,
    };
    match write_owner(shared, &record, lease, previous.as_ref()).await {
        Ok(Some(revision)) => Ok(Some(claim(record, lease, revision, sent_at))),
        Ok(None) => {
            revoke(&*shared.store, lease).await;
            Ok(None)
        }
        Err(error) => {
            // Without the lease a delayed transaction can't take effect.
            revoke(&*shared.store, lease).await;
            Err(error)
        }
    }
}

fn claim(record: OwnerRecord, lease: LeaseId, revision: StoreRevision, proved_at: Time) -> Claim {
    Claim {
        record,
        lease,
        epoch_revision: revision,
        proved_at,
    }
}

async fn write_owner(
    shared: &Shared,
    record: &OwnerRecord,
    lease: LeaseId,
    previous: Option<&KeyValue>,
) -> Result<Option<StoreRevision>, StoreError> {
    let epoch_unchanged = match previous {
        Some(kv) => Compare::ModifiedAt(keys::EPOCH.to_owned(), kv.modified),
        None => Compare::Absent(keys::EPOCH.to_owned()),
    };
    let txn = Txn {
        compares: vec![Compare::Absent(keys::OWNER.to_owned()), epoch_unchanged],
        ops: vec![
            put_owner(record, lease)?,
            Op::put(keys::EPOCH, record.epoch.to_string()),
        ],
        otherwise: Vec::new(),
    };
    let reply = shared.store.txn(txn).await?;
    Ok(reply.succeeded.then_some(reply.revision))
}

/// Returns the operation that writes the key of the owner on its lease.
pub(super) fn put_owner(record: &OwnerRecord, lease: LeaseId) -> Result<Op, StoreError> {
    let value =
        serde_json::to_vec(record).map_err(|error| StoreError::not_run(error.to_string()))?;
    Ok(Op::Put {
        key: keys::OWNER.to_owned(),
        value,
        lease: Some(lease),
    })
}

/// Revokes a lease that is not needed; if this fails, the lease expires.
pub(super) async fn revoke(store: &dyn Store, lease: LeaseId) {
    if let Err(error) = store.revoke(lease).await {
        tracing::info!(%error, "can't revoke an unneeded lease; it lasts until it expires");
    }
}
