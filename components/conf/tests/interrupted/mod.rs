//! A store that runs a concurrent operation just before one transaction.

use std::{sync::Mutex, time::Duration};

use async_trait::async_trait;
use conf::publish::{ApplyInfo, clean_up, publish};
use fakes::store::MemStore;
use kernel::ObjectSet;
use store::{
    Delivery, KeyRange, LeaseId, Op, RangeReply, Store, StoreError, StoreRevision, Txn, TxnReply,
    Watch, keys,
};

/// Concurrent operation and the transaction that it precedes.
pub(crate) enum Interruption {
    /// Runs a clean-up before the head is swapped.
    CleanUpBeforeSwap,
    /// Publishes a set before chunks are deleted.
    PublishBeforeDelete(ObjectSet, ApplyInfo),
}

impl Interruption {
    fn precedes(&self, txn: &Txn) -> bool {
        txn.ops.iter().any(|op| match (self, op) {
            (Self::CleanUpBeforeSwap, Op::Put { key, .. }) => key == keys::CONFIG_HEAD,
            (Self::PublishBeforeDelete(..), Op::Delete(_)) => true,
            _ => false,
        })
    }

    async fn run(self, store: &MemStore) {
        match self {
            Self::CleanUpBeforeSwap => drop(clean_up(store).await.unwrap()),
            Self::PublishBeforeDelete(set, apply) => {
                publish(store, &set, &apply, None).await.unwrap();
            }
        }
    }
}

/// A store that is interrupted once.
pub(crate) struct InterruptedStore {
    store: MemStore,
    interruption: Mutex<Option<Interruption>>,
}

impl InterruptedStore {
    pub(crate) fn new(store: &MemStore, interruption: Interruption) -> Self {
        Self {
            store: store.clone(),
            interruption: Mutex::new(Some(interruption)),
        }
    }

    pub(crate) fn has_run(&self) -> bool {
        self.interruption.lock().unwrap().is_none()
    }

    fn take_due(&self, txn: &Txn) -> Option<Interruption> {
        let mut interruption = self.interruption.lock().unwrap();
        interruption.take_if(|interruption| interruption.precedes(txn))
    }
}

#[async_trait]
impl Store for InterruptedStore {
    async fn range(&self, range: KeyRange, limit: i64) -> Result<RangeReply, StoreError> {
        self.store.range(range, limit).await
    }

    async fn txn(&self, txn: Txn) -> Result<TxnReply, StoreError> {
        if let Some(interruption) = self.take_due(&txn) {
            interruption.run(&self.store).await;
        }
        self.store.txn(txn).await
    }

    async fn grant(&self, ttl: Duration) -> Result<LeaseId, StoreError> {
        self.store.grant(ttl).await
    }

    async fn keep_alive(&self, lease: LeaseId) -> Result<bool, StoreError> {
        self.store.keep_alive(lease).await
    }

    async fn revoke(&self, lease: LeaseId) -> Result<(), StoreError> {
        self.store.revoke(lease).await
    }

    async fn watch(
        &self,
        range: KeyRange,
        from: StoreRevision,
        delivery: Delivery,
    ) -> Result<Watch, StoreError> {
        self.store.watch(range, from, delivery).await
    }
}
