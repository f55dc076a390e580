//! Tasks under which workers crash.
//!
//! A crash says little about the tasks beside the one that caused it. A task that a worker
//! had just started as it crashed is therefore suspect, and starts next on trial: on a worker
//! that has survived everything else it runs and gets nothing new meanwhile. Only a crash with
//! a single suspect counts against a task. See `docs/STEPS.md`.

use std::{cmp::Reverse, collections::BTreeSet, time::Duration};

use kernel::{JobName, Time, VmName};

use super::{
    Owner,
    place::{PlacementRequest, suits},
    unknown::{Release, release},
    vm::{AssignedRun, Phase, Vm},
};
use crate::{
    Outcome, TaskKey,
    crash::{SuspectRun, WorkerCrash},
    message::{AgentReport, RunKey},
    progress::TaskCrash,
};

/// Number of VMs on which a task must have been the only suspect to be given up.
const VMS_TO_GIVE_UP: usize = 3;
/// Number of crashes under a task after which it is given up whoever else was suspect.
const CRASHES_TO_GIVE_UP: usize = 4;
/// Time for which a worker gets no other task, so that one can start there on trial.
const HOLD: Duration = Duration::from_millis(500);
/// Time after which a suspect gang starts without a trial, for which it may need more workers
/// than can be held.
const MAX_GANG_WAIT: Duration = Duration::from_secs(5);
/// Age of a run at the last report of a lost agent from which on the worker had survived it:
/// an agent notices only after some time that its worker does not answer.
const UNREPORTED_PROBATION: Duration = Duration::from_secs(3);
/// Share of the workers that may be held for trials, as a divisor.
const HELD_DIVISOR: usize = 2;

/// Whether a task has crashed enough workers to be given up.
fn is_given_up(crashes: &[TaskCrash]) -> bool {
    let sole = crashes.iter().filter(|crash| crash.is_sole_suspect);
    let vms: BTreeSet<&VmName> = sole.map(|crash| &crash.vm).collect();
    vms.len() >= VMS_TO_GIVE_UP || crashes.len() >= CRASHES_TO_GIVE_UP
}

impl Owner {
    /// Task whose crashes count for a task: the members of a gang count together.
    pub(super) fn crash_key(&self, task: &TaskKey) -> TaskKey {
        let step = self.jobs.get(&task.job);
        let step = step.and_then(|entry| entry.job.steps.get(usize::from(task.step)));
        let mut key = task.clone();
        if step.is_some_and(|step| step.gang) {
            key.index = 0;
        }
        key
    }

    /// Whether a task may crash each worker that starts it.
    pub(super) fn is_suspect(&self, task: &TaskKey) -> bool {
        !self.suspects.is_empty() && self.suspects.contains(&self.crash_key(task))
    }

    /// Whether the next start of a suspect must wait, since a new owner would not know of
    /// the last crash.
    pub(super) fn awaits_crash_record(&self, task: &TaskKey) -> bool {
        let key = self.crash_key(task);
        let entry = self.jobs.get(&key.job);
        let task = entry.and_then(|entry| entry.task(&key));
        task.is_some_and(|task| task.crash_change > self.durable_change)
    }

    /// Whether a gang is suspect and has not waited for too long to start on trial.
    pub(super) fn needs_gang_trial(&self, now: Time, task: &TaskKey) -> bool {
        let entry = self.jobs.get(&task.job);
        let first = entry.and_then(|entry| Some((entry, entry.task(task)?)));
        first.is_some_and(|(entry, first)| {
            let waited = (entry.waiting_since(first) + MAX_GANG_WAIT).passed(now);
            first.is_suspect() && !waited
        })
    }

    /// Applies the crashes that an agent has reported.
    pub(super) fn apply_crashes(&mut self, now: Time, name: &VmName, crashes: &[WorkerCrash]) {
        for crash in crashes {
            let processed = self.vms.get(name).map_or(0, |vm| vm.processed_crash);
            if crash.number <= processed {
                continue;
            }
            let unknown = self.record_crash(now, name, &crash.suspects);
            let release = match unknown.is_empty() {
                true => Release::AfterChange(self.last_change),
                false => Release::AfterJobs(unknown),
            };
            if let Some(vm) = self.vms.get_mut(name) {
                vm.processed_crash = crash.number;
                vm.unrecorded_crashes.push_back((crash.number, release));
                vm.advance_recorded_crash(self.durable_change);
                self.unrecorded_vms.insert(name.clone());
            }
        }
    }

    /// Records the crash of a worker with the runs that may have caused it. Returns their
    /// unknown jobs.
    fn record_crash(&mut self, now: Time, name: &VmName, suspects: &[SuspectRun]) -> Vec<JobName> {
        let tasks = suspects.iter().map(|run| self.crash_key(&run.key.task));
        let tasks: BTreeSet<TaskKey> = tasks.collect();
        let mut unknown = Vec::new();
        for run in suspects {
            let is_sole_suspect = tasks.len() == 1 && run.is_confirmed;
            if self.keep_unknown_suspect(name, &run.key, is_sole_suspect) {
                unknown.push(run.key.task.job.clone());
                continue;
            }
            self.record_task_crash(now, name, &run.key, is_sole_suspect);
        }
        unknown
    }

    pub(super) fn record_task_crash(
        &mut self,
        now: Time,
        name: &VmName,
        run: &RunKey,
        is_sole_suspect: bool,
    ) {
        let key = self.crash_key(&run.task);
        let Some(entry) = self.jobs.get_mut(&key.job) else {
            return;
        };
        if entry.outcome.is_some() {
            return;
        }
        let Some(task) = entry.task_mut(&key).filter(|task| !task.is_done()) else {
            return;
        };
        if task.crashes.iter().any(|crash| crash.run == run.run) {
            return;
        }
        task.crashes.push(TaskCrash {
            run: run.run,
            vm: name.clone(),
            is_sole_suspect,
        });
        task.avoid.insert(name.clone());
        let crashes = task.crashes.clone();
        tracing::warn!(
            task = %run.task,
            run = run.run,
            vm = %name,
            is_sole_suspect,
            crashes = crashes.len(),
            "worker crashed as it had just started the task"
        );
        self.suspects.insert(key.clone());
        self.mark_dirty(&key.job);
        let change = self.last_change;
        let task = self
            .jobs
            .get_mut(&key.job)
            .and_then(|entry| entry.task_mut(&key));
        if let Some(task) = task {
            task.crash_change = change;
        }
        if is_given_up(&crashes) {
            tracing::warn!(
                task = %run.task,
                crashes = crashes.len(),
                "task crashes the workers that start it; its job fails"
            );
            self.end_job(now, &key.job, Outcome::Failed);
        }
    }

    /// Records the crash of a worker whose agent has been lost with it, so that no process
    /// knows any more how long the worker survived its runs.
    pub(super) fn record_unreported_crash(&mut self, now: Time, name: &VmName) {
        let Some(vm) = self.vms.get(name) else {
            return;
        };
        if vm.info.as_ref().is_some_and(|info| info.draining) {
            return;
        }
        let mut suspects = Vec::new();
        for (key, run) in &vm.runs {
            let was_reported = run.agent_incarnation == vm.agent_incarnation;
            let survived_until = vm.earlier_agent_answer_at;
            let is_old = (run.since + UNREPORTED_PROBATION).passed(survived_until);
            if run.has_survived || was_reported || is_old {
                continue;
            }
            suspects.push(SuspectRun {
                key: key.clone(),
                is_confirmed: run.phase() != Phase::Ordered,
            });
        }
        self.record_crash(now, name, &suspects);
    }

    /// Notes which runs the worker of a VM has survived for long enough.
    pub(super) fn apply_doubts(&mut self, name: &VmName, report: &AgentReport) {
        let (Some(in_doubt), Some(vm)) = (&report.in_doubt, self.vms.get_mut(name)) else {
            return;
        };
        let mut survived = Vec::new();
        for (key, run) in &mut vm.runs {
            let is_listed = vm.listing.running().contains_key(key);
            if !run.has_survived && is_listed && !in_doubt.contains(key) {
                run.has_survived = true;
                survived.push(key.clone());
            }
        }
        self.schedule_due |= !survived.is_empty();
        for key in survived {
            self.clear_suspicion(&key);
        }
    }

    /// Clears a task that a worker has survived; a gang once all of its members have been
    /// survived.
    pub(super) fn clear_suspicion(&mut self, run: &RunKey) {
        let key = self.crash_key(&run.task);
        if !self.suspects.contains(&key) || !self.has_gang_survived(run) {
            return;
        }
        self.suspects.remove(&key);
        let task = self
            .jobs
            .get_mut(&key.job)
            .and_then(|entry| entry.task_mut(&key));
        let Some(task) = task else {
            return;
        };
        task.crashes.clear();
        tracing::info!(task = %run.task, run = run.run, "worker survived the task, which is not suspect any more");
        self.mark_dirty(&key.job);
    }

    fn has_gang_survived(&self, run: &RunKey) -> bool {
        let Some(entry) = self.jobs.get(&run.task.job) else {
            return true;
        };
        let step = entry.job.steps.get(usize::from(run.task.step));
        if !step.is_some_and(|step| step.gang) {
            return true;
        }
        let members = super::orders::members_of(entry.runs(), run);
        members.iter().all(|(vm, member)| {
            let vm = self.vms.get(vm);
            vm.and_then(|vm| vm.runs.get(member))
                .is_some_and(|run| run.has_survived)
        })
    }

    /// Drops the suspects that need no start any more; returns how many starts of the others
    /// wait for a worker or are on trial.
    pub(super) fn review_suspects(&mut self) -> usize {
        let jobs = &self.jobs;
        self.suspects.retain(|key| {
            let entry = jobs.get(&key.job).filter(|entry| entry.outcome.is_none());
            let task = entry.and_then(|entry| entry.task(key));
            task.is_some_and(|task| task.is_suspect())
        });
        let mut starts = 0;
        for key in &self.suspects {
            let step = jobs.get(&key.job).map(|entry| &entry.job.steps);
            let step = step.and_then(|steps| steps.get(usize::from(key.step)));
            starts += match step {
                Some(step) if step.gang => step.count as usize,
                _ => 1,
            };
        }
        starts
    }

    /// Keeps workers free of new tasks so that the request can be met on trial.
    pub(super) fn hold_for_trial(
        &mut self,
        now: Time,
        request: &PlacementRequest<'_>,
        most: usize,
    ) {
        let mut suitable = 0;
        let mut held = Vec::new();
        let mut best = None;
        for (name, vm) in &self.vms {
            if !suits(vm, request, &self.zones_out) {
                continue;
            }
            suitable += 1;
            if vm.has_open_trial() || vm.is_held(now) {
                held.push(name.clone());
                continue;
            }
            let is_avoided = request.avoid.contains(name);
            let free = Reverse(vm.available().cpu_milli);
            let rank = (is_avoided, vm.runs_in_doubt(), free);
            best = best.max(Some(Reverse((rank, name.clone()))));
        }
        let most = most.min((suitable / HELD_DIVISOR).max(1));
        if held.len() < most
            && let Some(Reverse((_, name))) = best
        {
            tracing::info!(vm = %name, held = held.len() + 1, "worker gets no new tasks until a suspect one has run on trial");
            held.push(name);
        }
        for name in held {
            if let Some(vm) = self.vms.get_mut(&name) {
                vm.held_until = now + HOLD;
            }
        }
    }
}

impl Vm {
    /// Whether a task on trial runs here that the worker has not survived for long enough.
    pub(super) fn has_open_trial(&self) -> bool {
        self.runs.values().any(AssignedRun::is_open_trial)
    }

    /// Whether the worker gets no new tasks but those on trial.
    pub(super) fn is_held(&self, now: Time) -> bool {
        !self.held_until.passed(now)
    }

    /// Number of runs that the worker has not survived for long enough.
    fn runs_in_doubt(&self) -> usize {
        let in_doubt = self.runs.values().filter(|run| !run.has_survived);
        in_doubt.count()
    }

    /// Whether a task may start here on trial: all other runs are known to be harmless, but
    /// those that start with it as members of its gang.
    pub(super) fn may_take_trial(&self, gang: Option<&RunKey>) -> bool {
        self.runs.iter().all(|(key, run)| {
            let is_same_gang = gang.is_some_and(|gang| {
                key.run == gang.run
                    && key.task.job == gang.task.job
                    && key.task.step == gang.task.step
            });
            run.has_survived || is_same_gang
        })
    }

    /// Releases the crashes for which the changes up to this one suffice.
    pub(super) fn advance_recorded_crash(&mut self, durable_change: u64) {
        let released = release(&mut self.unrecorded_crashes, durable_change);
        self.recorded_crash = released.unwrap_or(self.recorded_crash);
    }
}
