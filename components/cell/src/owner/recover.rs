//! Indexes that a new owner derives from the recovered state.

use std::collections::BTreeSet;

use super::{Owner, runs::BoundRun, schedule::JobBacklog};

impl Owner {
    /// Fills the indexes. Workers and leases are unknown until heartbeats arrive.
    pub(super) fn index_recovered(&mut self) {
        let mut bound_runs = Vec::new();
        for (run, task, binding) in self.state.bound_attempts() {
            let bound_run = BoundRun {
                vm: binding.vm.clone(),
                lease_until: self.earlier_leases_end,
                may_have_started: true,
                bound_in: 0,
                checkpoint: None,
                checkpoint_by: (task.state == kernel::TaskState::Evicting)
                    .then(|| task.since + self.timing.checkpoint_timeout),
                throttled: None,
                reserved: false,
            };
            bound_runs.push((run, bound_run));
        }
        for (run, bound_run) in bound_runs {
            let runs = self.runs_by_vm.entry(bound_run.vm.clone()).or_default();
            runs.insert(run.clone());
            self.bound_runs.insert(run, bound_run);
        }
        let jobs: BTreeSet<_> = self.state.jobs.keys().cloned().collect();
        for job in jobs {
            self.backlogs.insert(job.clone(), JobBacklog::default());
            self.fill_queue(&job);
        }
    }
}
