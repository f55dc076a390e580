//! Writes an entry's accounts to the store.

use std::{sync::Arc, time::Duration};

use futures_lite::FutureExt;
use kernel::Span;
use store::{KeyRange, Op, Store, StoreError, Txn, keys};

use super::{Accounts, PartWrite};

/// The time between two writes of an entry, each of at most one call to the store.
pub const WRITE_INTERVAL: Duration = Duration::from_secs(10);
/// The maximum number of writes at a stop, so that a stop with a backlog still ends.
const MAX_WRITES_AT_STOP: usize = 8;

/// Writes the accounts until `stop` completes, then closes them and writes the
/// remaining parts.
pub async fn run(accounts: Accounts, store: Arc<dyn Store>, stop: impl Future<Output = ()>) {
    let writing = async {
        loop {
            smol::Timer::after(WRITE_INTERVAL).await;
            if let Err(error) = write_once(&accounts, &*store).await {
                tracing::warn!(%error, "failed to write accounts to the store; they wait in memory");
            }
        }
    };
    writing.or(stop).await;
    accounts.close();
    for _ in 0..MAX_WRITES_AT_STOP {
        match write_once(&accounts, &*store).await {
            Ok(true) => {}
            Ok(false) => return,
            Err(error) => {
                tracing::error!(%error, "failed to write the last accounts of this process to the store");
                return;
            }
        }
    }
}

/// Writes the next part. Returns false if there is none.
///
/// # Errors
///
/// Returns the store's error. The next call writes the part again, which changes
/// nothing if this write took effect.
pub async fn write_once(accounts: &Accounts, store: &dyn Store) -> Result<bool, StoreError> {
    let Some(write) = accounts.next_write() else {
        return Ok(false);
    };
    store.txn(part_txn(&write)?).await?;
    accounts.confirm_written(&write);
    Ok(true)
}

fn part_txn(write: &PartWrite) -> Result<Txn, StoreError> {
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
