//! The configuration in force at an agent.

use std::sync::Arc;

use arc_swap::ArcSwap;
use kernel::{ObjectSet, Revision};
use proto::messages::ConfigUpdate;
use smol::channel::{Receiver, Sender};

/// A configuration with its revision.
#[derive(Clone, Debug, Default)]
pub struct InForce {
    /// Its revision; 0 before the first one arrives.
    pub revision: Revision,
    /// Its objects.
    pub objects: Arc<ObjectSet>,
}

/// The newest configuration that an agent was told; it never goes back.
#[derive(Debug)]
pub struct AgentConfig {
    in_force: ArcSwap<InForce>,
    changed_tx: Sender<()>,
    changed_rx: Receiver<()>,
}

impl Default for AgentConfig {
    fn default() -> Self {
        let (changed_tx, changed_rx) = smol::channel::bounded(1);
        Self {
            in_force: ArcSwap::default(),
            changed_tx,
            changed_rx,
        }
    }
}

impl AgentConfig {
    /// The configuration in force now.
    #[must_use]
    pub fn in_force(&self) -> Arc<InForce> {
        self.in_force.load_full()
    }

    /// Puts `update` in force unless it is older than the present one.
    pub fn update(&self, update: ConfigUpdate) {
        let next = Arc::new(InForce {
            revision: update.revision,
            objects: Arc::new(update.objects),
        });
        self.in_force.rcu(|present| {
            if present.revision >= next.revision {
                return Arc::clone(present);
            }
            Arc::clone(&next)
        });
        let _ = self.changed_tx.try_send(());
    }

    /// Waits for an update after the last call; there is one waiter.
    pub async fn changed(&self) -> Arc<InForce> {
        let _ = self.changed_rx.recv().await;
        self.in_force()
    }
}
