//! A store that lets something happen just before one transaction.

use std::{sync::Mutex, time::Duration};

use async_trait::async_trait;
use conf::publish::{ApplyInfo, clean_up, publish};
use fakes::store::MemStore;
use kernel::ObjectSet;
use store::{
    KeyRange, LeaseId, Op, RangeReply, Store, StoreError, StoreRevision, Txn, TxnReply, Watch, keys,
};

/// What happens in between.
pub(crate) enum Meanwhile {
    /// The head is about to be swapped; a clean-up runs.
    CleanUpBeforeSwap,
    /// Chunks are about to be deleted; a set is published.
    PublishBeforeDelete(ObjectSet, ApplyInfo),
}

impl Meanwhile {
    fn is_due(&self, txn: &Txn) -> bool {
        txn.ops.iter().any(|op| match (self, op) {
            (Self::CleanUpBeforeSwap, Op::Put { key, .. }) => key == keys::CONFIG_HEAD,
            (Self::PublishBeforeDelete(..), Op::Delete(_)) => true,
            _ => false,
        })
    }

    async fn happen(self, store: &MemStore) {
        match self {
            Self::CleanUpBeforeSwap => drop(clean_up(store).await.unwrap()),
            Self::PublishBeforeDelete(set, apply) => {
                publish(store, &set, &apply, None).await.unwrap();
            }
        }
    }
}

/// The store, interrupted once.
pub(crate) struct Interrupted {
    store: MemStore,
    meanwhile: Mutex<Option<Meanwhile>>,
}

impl Interrupted {
    pub(crate) fn new(store: &MemStore, meanwhile: Meanwhile) -> Self {
        Self {
            store: store.clone(),
            meanwhile: Mutex::new(Some(meanwhile)),
        }
    }

    pub(crate) fn happened(&self) -> bool {
        self.meanwhile.lock().unwrap().is_none()
    }

    fn due(&self, txn: &Txn) -> Option<Meanwhile> {
        let mut meanwhile = self.meanwhile.lock().unwrap();
        meanwhile.take_if(|meanwhile| meanwhile.is_due(txn))
    }
}

#[async_trait]
impl Store for Interrupted {
    async fn range(&self, range: KeyRange, limit: i64) -> Result<RangeReply, StoreError> {
        self.store.range(range, limit).await
    }

    async fn txn(&self, txn: Txn) -> Result<TxnReply, StoreError> {
        if let Some(meanwhile) = self.due(&txn) {
            meanwhile.happen(&self.store).await;
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

    async fn watch(&self, range: KeyRange, from: StoreRevision) -> Result<Watch, StoreError> {
        self.store.watch(range, from).await
    }
}
