//! The configuration in force at an agent.

use std::sync::Arc;

use arc_swap::ArcSwap;
use kernel::{ObjectSet, Revision};
use proto::messages::ConfigUpdate;
use smol::channel::{Receiver, Sender};

/// A configuration with its revision.
#[derive(Clone, Debug, Default)]
pub struct InForce {
    /// The revision; 0 before the first configuration arrives.
    pub revision: Revision,
    /// The objects of this revision.
    pub objects: Arc<ObjectSet>,
}

/// Holds the newest configuration that the agent has received; its revision never decreases.
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
    /// Returns the configuration in force.
    #[must_use]
    pub fn in_force(&self) -> Arc<InForce> {
        self.in_force.load_full()
    }

    /// Puts `update` in force if its revision is newer than the present one.
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

    /// Waits for an update since the last call. Supports a single waiter.
    pub async fn changed(&self) -> Arc<InForce> {
        let _ = self.changed_rx.recv().await;
        self.in_force()
    }
}
