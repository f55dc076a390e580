//! Follows a range of keys across lost connections and compaction.

use std::{collections::BTreeMap, sync::Arc};

use kernel::BootInstant;

use crate::{
    Change, Delivery, KeyRange, KeyValue, Store, StoreError, StoreRevision, Watch, WatchItem,
    backoff::Backoff,
};

/// An update of a followed range.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RangeUpdate {
    /// The whole content of the range at the given revision; delivered first, and
    /// again whenever changes may have been missed.
    Snapshot(StoreRevision, Vec<KeyValue>),
    /// The changes since the previous update, up to the given revision.
    Changes(StoreRevision, Vec<Change>),
}

/// Follows one range of the store with a single watch.
pub struct RangeFollower {
    store: Arc<dyn Store>,
    range: KeyRange,
    backoff: Backoff,
    /// The last delivered revision; `None` until the range is read and after a compaction.
    last_revision: Option<StoreRevision>,
    watch: Option<Watch>,
    /// The lengths of the values, if only the newest content is needed.
    value_lens: Option<BTreeMap<String, usize>>,
    /// See [`Self::complete_at`].
    complete_at: Option<BootInstant>,
}

impl RangeFollower {
    /// Returns a follower whose first update is the current content of `range`, and which
    /// delivers every change, in order, unless the service has forgotten some.
    #[must_use]
    pub fn new(store: Arc<dyn Store>, range: KeyRange) -> Self {
        Self {
            store,
            range,
            backoff: Backoff::with_random_seed(),
            last_revision: None,
            watch: None,
            value_lens: None,
            complete_at: None,
        }
    }

    /// Returns a follower that need not deliver changes that others have replaced. It reads
    /// the content again where that is shorter.
    #[must_use]
    pub fn newest(store: Arc<dyn Store>, range: KeyRange) -> Self {
        Self {
            value_lens: Some(BTreeMap::new()),
            ..Self::new(store, range)
        }
    }

    /// Returns the newest instant known at which the delivered updates were the whole
    /// content of the range; `None` before the first update.
    #[must_use]
    pub const fn complete_at(&self) -> Option<BootInstant> {
        self.complete_at
    }

    /// Waits for the next update; logs errors and retries with backoff.
    ///
    /// The future can be dropped at any point without losing updates.
    pub async fn next(&mut self) -> RangeUpdate {
        loop {
            match self.poll_once().await {
                Ok(Some(update)) => {
                    self.backoff.reset();
                    self.record_value_lens(&update);
                    return update;
                }
                Ok(None) => {}
                Err(error) => {
                    self.watch = None;
                    let delay = self.backoff.next_delay();
                    tracing::warn!(
                        %error,
                        from = self.range.from,
                        revision = self.last_revision,
                        retry_in_ms = delay.as_millis() as u64,
                        "following the store failed"
                    );
                    smol::Timer::after(delay).await;
                }
            }
        }
    }

    fn record_value_lens(&mut self, update: &RangeUpdate) {
        let Some(value_lens) = &mut self.value_lens else {
            return;
        };
        let len_of = |kv: &KeyValue| (kv.key.clone(), kv.value.len());
        match update {
            RangeUpdate::Snapshot(_, kvs) => *value_lens = kvs.iter().map(len_of).collect(),
            RangeUpdate::Changes(_, changes) => {
                for change in changes {
                    match change {
                        Change::Put(kv) => value_lens.extend([len_of(kv)]),
                        Change::Deleted(key, _) => {
                            value_lens.remove(key);
                        }
                    }
                }
            }
        }
    }

    fn delivery(&self) -> Delivery {
        match &self.value_lens {
            None => Delivery::EveryChange,
            Some(value_lens) => Delivery::Newest {
                content_bytes: value_lens.values().sum(),
            },
        }
    }

    async fn poll_once(&mut self) -> Result<Option<RangeUpdate>, StoreError> {
        let Some(last_revision) = self.last_revision else {
            let read_at = BootInstant::now();
            let reply = self.store.range(self.range.clone(), 0).await?;
            self.last_revision = Some(reply.revision);
            self.complete_at = Some(read_at);
            return Ok(Some(RangeUpdate::Snapshot(reply.revision, reply.kvs)));
        };
        let Some(watch) = &self.watch else {
            let watch = self
                .store
                .watch(self.range.clone(), last_revision + 1, self.delivery())
                .await?;
            self.watch = Some(watch);
            return Ok(None);
        };
        let item = watch
            .recv()
            .await
            .unwrap_or_else(|_| Err(StoreError::not_run("the watch closed without an error")))?;
        match item {
            WatchItem::Changes(revision, changes) => {
                self.last_revision = Some(revision);
                Ok(Some(RangeUpdate::Changes(revision, changes)))
            }
            WatchItem::Progress(revision, at) => {
                self.last_revision = Some(revision);
                self.complete_at = self.complete_at.max(Some(at));
                Ok(Some(RangeUpdate::Changes(revision, Vec::new())))
            }
            WatchItem::Compacted => {
                self.last_revision = None;
                self.watch = None;
                Ok(None)
            }
        }
    }
}
