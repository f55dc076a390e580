//! What a new owner derives from the state that it found.

use std::collections::BTreeSet;

use super::{Owner, runs::Live, schedule::Feed};

impl Owner {
    /// Fills the indexes; workers and leases are learnt from heartbeats.
    pub(super) fn index_recovered(&mut self) {
        let mut homes = Vec::new();
        for (run, task, binding) in self.state.bound_attempts() {
            let live = Live {
                vm: binding.vm.clone(),
                lease_until: self.earlier_leases_end,
                told: true,
                bound_in: 0,
                checkpoint: None,
                checkpoint_by: (task.state == kernel::TaskState::Evicting)
                    .then(|| task.since + self.timing.checkpoint_timeout),
                throttled: None,
                reserved: false,
            };
            homes.push((run, live));
        }
        for (run, live) in homes {
            let home = self.homes.entry(live.vm.clone()).or_default();
            home.insert(run.clone());
            self.live.insert(run, live);
        }
        let jobs: BTreeSet<_> = self.state.jobs.keys().cloned().collect();
        for job in jobs {
            self.feeds.insert(job.clone(), Feed::default());
            self.refill(&job);
        }
    }
}
