//! Writing an entry's accounts to the store.

use std::{sync::Arc, time::Duration};

use futures_lite::FutureExt;
use kernel::Span;
use store::{KeyRange, Op, Store, StoreError, Txn, keys};

use super::{Accounts, PartWrite};

/// The time between two writes; one entry makes at most one call in it.
pub const WRITE_INTERVAL: Duration = Duration::from_secs(10);
/// The most writes made at a stop, so that a stop with a backlog still ends.
const MAX_LAST_WRITES: usize = 8;

/// Writes the accounts until `stop` is done, then writes what is left.
pub async fn run(accounts: Accounts, store: Arc<dyn Store>, stop: impl Future<Output = ()>) {
    let writing = async {
        loop {
            smol::Timer::after(WRITE_INTERVAL).await;
            if let Err(error) = write_once(&accounts, &*store).await {
                tracing::warn!(%error, "accounts wait in memory: the store took no write");
            }
        }
    };
    writing.or(stop).await;
    accounts.close();
    for _ in 0..MAX_LAST_WRITES {
        match write_once(&accounts, &*store).await {
            Ok(true) => {}
            Ok(false) => return,
            Err(error) => {
                tracing::error!(%error, "the last accounts of this process are not in the store");
                return;
            }
        }
    }
}

/// Writes the next part, if there is one, and says whether there was.
///
/// # Errors
///
/// Returns the store's error. The part is written again next time, which
/// changes nothing if the first write took effect.
pub async fn write_once(accounts: &Accounts, store: &dyn Store) -> Result<bool, StoreError> {
    let Some(write) = accounts.next_write() else {
        return Ok(false);
    };
    store.txn(txn(&write)?).await?;
    accounts.confirm_written(&write);
    Ok(true)
}

fn txn(write: &PartWrite) -> Result<Txn, StoreError> {
    let part = &write.part;
    let value = rmp_serde::to_vec_named(part)
        .map_err(|error| StoreError::not_run(format!("can't encode accounts: {error}")))?;
    let hour = Span::Hour.start_of(part.from).as_secs();
    let key = |number| keys::account_part(hour, &part.entry, part.incarnation.0, number);
    let mut ops = vec![Op::put(key(part.number), value)];
    if write.replaces_through > part.number {
        ops.push(Op::Delete(KeyRange {
            from: key(part.number + 1),
            until: key(write.replaces_through + 1),
        }));
    }
    Ok(Txn {
        ops,
        ..Txn::default()
    })
}
