//! The configuration in force at an entry.
//!
//! One watch on the head brings changes at once; a read of the head about once
//! a second proves that nothing newer was missed. What starts work asks how old
//! that proof is, so an entry that lost the store starts nothing under a
//! configuration that operators may have replaced. See `docs/CONFIGURATION.md`.

use std::{
    fmt,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use arc_swap::ArcSwap;
use conf::publish::{LoadError, Loader, read_head};
use kernel::{Clock, ObjectSet, Revision, Time};
use smol::lock::Mutex as AsyncMutex;
use store::{KeyRange, RangeFollower, Store, keys};

/// How often the newest revision is proved if the settings say nothing else.
const PROOF_INTERVAL: Duration = Duration::from_secs(1);

/// A configuration in force.
#[derive(Clone, Debug, Default)]
pub struct InForce {
    /// Its revision, 0 while none was ever read.
    pub revision: Revision,
    /// Its objects.
    pub objects: Arc<ObjectSet>,
    /// When the read began that found this revision to be the newest.
    pub proved_at: Option<Time>,
}

/// Keeps the newest configuration in force; it never goes back.
pub struct Follower {
    store: Arc<dyn Store>,
    clock: Clock,
    interval: Duration,
    in_force: ArcSwap<InForce>,
    /// Held while a set is read, so that reads don't overtake one another.
    loader: AsyncMutex<Loader>,
    waiting: Mutex<Vec<async_channel::Sender<()>>>,
}

impl fmt::Debug for Follower {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Follower")
            .field("revision", &self.in_force().revision)
            .finish_non_exhaustive()
    }
}

impl Follower {
    /// A follower that has read nothing yet.
    #[must_use]
    pub fn new(store: Arc<dyn Store>, clock: Clock) -> Arc<Self> {
        Self::with_interval(store, clock, PROOF_INTERVAL)
    }

    /// As [`Self::new`], with the interval between proofs.
    #[must_use]
    pub fn with_interval(store: Arc<dyn Store>, clock: Clock, interval: Duration) -> Arc<Self> {
        Arc::new(Self {
            store,
            clock,
            interval,
            in_force: ArcSwap::default(),
            loader: AsyncMutex::default(),
            waiting: Mutex::default(),
        })
    }

    /// The configuration in force now.
    #[must_use]
    pub fn in_force(&self) -> Arc<InForce> {
        self.in_force.load_full()
    }

    /// Waits for the next change of the revision after this call.
    pub fn changed(&self) -> impl Future<Output = ()> + Send + use<> {
        let (tx, rx) = async_channel::bounded(1);
        self.waiting
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(tx);
        async move {
            // The sender is dropped at the change.
            let _ = rx.recv().await;
        }
    }

    /// Waits until a revision newer than `revision` is in force.
    pub async fn newer_than(&self, revision: Revision) -> Arc<InForce> {
        loop {
            let changed = self.changed();
            let in_force = self.in_force();
            if in_force.revision > revision {
                return in_force;
            }
            changed.await;
        }
    }

    /// Follows the head until dropped.
    pub async fn run(&self) {
        futures_lite::future::zip(self.follow(), self.prove()).await;
    }

    async fn follow(&self) {
        let head = KeyRange::one(keys::CONFIG_HEAD);
        let mut follow = RangeFollower::new(Arc::clone(&self.store), head);
        loop {
            follow.next().await;
            self.try_refresh().await;
        }
    }

    async fn prove(&self) {
        loop {
            smol::Timer::after(self.interval).await;
            self.try_refresh().await;
        }
    }

    async fn try_refresh(&self) {
        if let Err(error) = self.refresh().await {
            let revision = self.in_force().revision;
            tracing::warn!(%error, %revision, "the configuration could not be proved");
        }
    }

    /// Reads the head, and the set if it is newer than the one in force.
    ///
    /// # Errors
    ///
    /// Returns a [`LoadError`] if the store fails; what is in force stays.
    pub async fn refresh(&self) -> Result<(), LoadError> {
        let mut loader = self.loader.lock().await;
        let asked_at = self.clock.now();
        let newest = read_head(&*self.store).await?.revision();
        let in_force = self.in_force();
        if newest == in_force.revision {
            self.put(InForce {
                proved_at: Some(asked_at),
                ..InForce::clone(&in_force)
            });
            return Ok(());
        }
        if newest < in_force.revision {
            tracing::error!(%newest, in_force = %in_force.revision, "the head went back; it is ignored");
            return Ok(());
        }
        let asked_at = self.clock.now();
        let loaded = loader.load(&*self.store).await?;
        if loaded.head.revision() <= in_force.revision {
            return Ok(());
        }
        self.put(InForce {
            revision: loaded.head.revision(),
            objects: Arc::new(loaded.objects),
            proved_at: Some(asked_at),
        });
        Ok(())
    }

    /// Takes a set that another process has in force, if it is newer.
    ///
    /// An entry that starts while the store is down can serve by it; it stays
    /// without proof until the store answers.
    pub async fn offer(&self, revision: Revision, objects: Arc<ObjectSet>) {
        let _reading = self.loader.lock().await;
        if revision <= self.in_force().revision {
            return;
        }
        self.put(InForce {
            revision,
            objects,
            proved_at: None,
        });
    }

    fn put(&self, next: InForce) {
        let before = self.in_force.swap(Arc::new(next));
        let now = self.in_force();
        if now.revision == before.revision {
            return;
        }
        tracing::info!(revision = %now.revision, "a new configuration is in force");
        self.waiting
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clear();
    }
}
