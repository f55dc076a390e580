//! Following a range through lost connections and compaction.

use std::sync::Arc;

use crate::{
    Change, KeyRange, KeyValue, Store, StoreError, StoreRevision, Watch, WatchItem,
    backoff::Backoff,
};

/// What is new in a followed range.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RangeUpdate {
    /// The whole range, at first and whenever changes may have been missed.
    Snapshot(StoreRevision, Vec<KeyValue>),
    /// Changes since the news before.
    Changes(StoreRevision, Vec<Change>),
}

/// Follows one range of the store, with one waiting watch.
pub struct RangeFollower {
    store: Arc<dyn Store>,
    range: KeyRange,
    backoff: Backoff,
    /// The last revision that was delivered, if the range has been read.
    seen: Option<StoreRevision>,
    watch: Option<Watch>,
}

impl RangeFollower {
    /// Follows `range` from its present content on.
    #[must_use]
    pub fn new(store: Arc<dyn Store>, range: KeyRange) -> Self {
        Self {
            store,
            range,
            backoff: Backoff::with_random_seed(),
            seen: None,
            watch: None,
        }
    }

    /// Waits for news; errors are logged and tried again with back-off.
    ///
    /// It can be cancelled at any point without losing news.
    pub async fn next(&mut self) -> RangeUpdate {
        loop {
            match self.step().await {
                Ok(Some(news)) => {
                    self.backoff.reset();
                    return news;
                }
                Ok(None) => {}
                Err(error) => {
                    self.watch = None;
                    let wait = self.backoff.next_delay();
                    tracing::warn!(%error, from = self.range.from, "following the store failed");
                    smol::Timer::after(wait).await;
                }
            }
        }
    }

    async fn step(&mut self) -> Result<Option<RangeUpdate>, StoreError> {
        let Some(seen) = self.seen else {
            let reply = self.store.range(self.range.clone(), 0).await?;
            self.seen = Some(reply.revision);
            return Ok(Some(RangeUpdate::Snapshot(reply.revision, reply.kvs)));
        };
        let Some(watch) = &self.watch else {
            let watch = self.store.watch(self.range.clone(), seen + 1).await?;
            self.watch = Some(watch);
            return Ok(None);
        };
        let item = watch
            .recv()
            .await
            .unwrap_or_else(|_| Err(StoreError::not_run("the watch ended")))?;
        match item {
            WatchItem::Changes(revision, changes) => {
                self.seen = Some(revision);
                Ok(Some(RangeUpdate::Changes(revision, changes)))
            }
            WatchItem::Compacted => {
                self.seen = None;
                self.watch = None;
                Ok(None)
            }
        }
    }
}
