//! The configuration in force at an entry.
//!
//! A watch on the head brings changes at once. A read of the head, about once a
//! second, proves that the watch missed no newer revision. Code that starts work
//! checks the age of that proof, so an entry that can't reach the store starts
//! nothing under a configuration that operators may have replaced. See
//! `docs/CONFIGURATION.md`.

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

/// The default interval between proofs that the revision in force is the newest.
const PROOF_INTERVAL: Duration = Duration::from_secs(1);

/// The configuration in force and the time of its proof.
#[derive(Clone, Debug, Default)]
pub struct ConfigInForce {
    /// The revision of `objects`; 0 until the first configuration is in force.
    pub revision: Revision,
    /// The configured objects.
    pub objects: Arc<ObjectSet>,
    /// When the read started that found this revision to be the newest; `None`
    /// if the configuration came from another process and is not yet proved.
    pub proved_at: Option<Time>,
}

/// Keeps the newest configuration in force. The revision in force never decreases.
pub struct ConfigFollower {
    store: Arc<dyn Store>,
    clock: Clock,
    proof_interval: Duration,
    in_force: ArcSwap<ConfigInForce>,
    /// Locked during a read, so that an earlier read can't replace the result of
    /// a later one.
    loader: AsyncMutex<Loader>,
    change_waiters: Mutex<Vec<async_channel::Sender<()>>>,
}

impl fmt::Debug for ConfigFollower {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ConfigFollower")
            .field("revision", &self.in_force().revision)
            .finish_non_exhaustive()
    }
}

impl ConfigFollower {
    /// Creates a follower without a configuration, with the default interval
    /// between proofs.
    #[must_use]
    pub fn new(store: Arc<dyn Store>, clock: Clock) -> Arc<Self> {
        Self::with_interval(store, clock, PROOF_INTERVAL)
    }

    /// Creates a follower without a configuration, with the given interval
    /// between proofs.
    #[must_use]
    pub fn with_interval(
        store: Arc<dyn Store>,
        clock: Clock,
        proof_interval: Duration,
    ) -> Arc<Self> {
        Arc::new(Self {
            store,
            clock,
            proof_interval,
            in_force: ArcSwap::default(),
            loader: AsyncMutex::default(),
            change_waiters: Mutex::default(),
        })
    }

    /// Returns the configuration in force.
    #[must_use]
    pub fn in_force(&self) -> Arc<ConfigInForce> {
        self.in_force.load_full()
    }

    /// Returns a future that completes at the next change of the revision after
    /// this call.
    pub fn next_change(&self) -> impl Future<Output = ()> + Send + use<> {
        let (tx, rx) = async_channel::bounded(1);
        self.change_waiters
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(tx);
        async move {
            // A change drops the sender, which completes `recv`.
            let _ = rx.recv().await;
        }
    }

    /// Waits until a revision newer than `revision` is in force.
    pub async fn wait_for_newer(&self, revision: Revision) -> Arc<ConfigInForce> {
        loop {
            let changed = self.next_change();
            let in_force = self.in_force();
            if in_force.revision > revision {
                return in_force;
            }
            changed.await;
        }
    }

    /// Follows the head and proves the revision, forever.
    pub async fn run(&self) {
        futures_lite::future::zip(self.follow_head(), self.prove_periodically()).await;
    }

    async fn follow_head(&self) {
        let head = KeyRange::one(keys::CONFIG_HEAD);
        let mut follower = RangeFollower::new(Arc::clone(&self.store), head);
        loop {
            follower.next().await;
            self.try_refresh().await;
        }
    }

    async fn prove_periodically(&self) {
        loop {
            smol::Timer::after(self.proof_interval).await;
            self.try_refresh().await;
        }
    }

    async fn try_refresh(&self) {
        if let Err(error) = self.refresh().await {
            let revision = self.in_force().revision;
            tracing::warn!(%error, %revision, "failed to prove that the configuration in force is the newest");
        }
    }

    /// Reads the head, and the objects if the head is newer than the revision in
    /// force.
    ///
    /// # Errors
    ///
    /// Returns a [`LoadError`] if the store fails; the configuration in force
    /// stays.
    pub async fn refresh(&self) -> Result<(), LoadError> {
        let mut loader = self.loader.lock().await;
        let read_started_at = self.clock.now();
        let newest = read_head(&*self.store).await?.revision();
        let in_force = self.in_force();
        if newest == in_force.revision {
            self.set_in_force(ConfigInForce {
                proved_at: Some(read_started_at),
                ..ConfigInForce::clone(&in_force)
            });
            return Ok(());
        }
        if newest < in_force.revision {
            tracing::error!(%newest, in_force = %in_force.revision, "the head in the store is older than the revision in force; ignoring it");
            return Ok(());
        }
        let read_started_at = self.clock.now();
        let loaded = loader.load(&*self.store).await?;
        if loaded.head.revision() <= in_force.revision {
            return Ok(());
        }
        self.set_in_force(ConfigInForce {
            revision: loaded.head.revision(),
            objects: Arc::new(loaded.objects),
            proved_at: Some(read_started_at),
        });
        Ok(())
    }

    /// Puts a configuration of another process in force if it is newer.
    ///
    /// An entry that starts while the store is down can serve with it. The
    /// configuration has no proof until the store answers.
    pub async fn offer(&self, revision: Revision, objects: Arc<ObjectSet>) {
        let _guard = self.loader.lock().await;
        if revision <= self.in_force().revision {
            return;
        }
        self.set_in_force(ConfigInForce {
            revision,
            objects,
            proved_at: None,
        });
    }

    fn set_in_force(&self, next: ConfigInForce) {
        let before = self.in_force.swap(Arc::new(next));
        let now = self.in_force();
        if now.revision == before.revision {
            return;
        }
        tracing::info!(revision = %now.revision, "a new configuration is in force");
        self.change_waiters
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clear();
    }
}
