//! The configuration in force at an agent.

use std::sync::Arc;

use arc_swap::ArcSwap;
use kernel::{ObjectSet, Revision};
use proto::messages::ConfigUpdate;

/// A configuration with its revision.
#[derive(Clone, Debug, Default)]
pub struct InForce {
    /// Its revision; 0 before the first one arrives.
    pub revision: Revision,
    /// Its objects.
    pub objects: Arc<ObjectSet>,
}

/// The newest configuration that an agent was told; it never goes back.
#[derive(Debug, Default)]
pub struct AgentConfig(ArcSwap<InForce>);

impl AgentConfig {
    /// The configuration in force now.
    #[must_use]
    pub fn in_force(&self) -> Arc<InForce> {
        self.0.load_full()
    }

    /// Puts `update` in force unless it is older than the present one.
    pub fn update(&self, update: ConfigUpdate) {
        let next = Arc::new(InForce {
            revision: update.revision,
            objects: Arc::new(update.objects),
        });
        self.0.rcu(|present| {
            if present.revision >= next.revision {
                return Arc::clone(present);
            }
            Arc::clone(&next)
        });
    }
}
