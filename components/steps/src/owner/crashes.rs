//! Tasks under which workers crash.
//!
//! A crash says little about the tasks beside the one that caused it. A task that a worker
//! had just started as it crashed is therefore suspect, and starts next on trial: on a worker
//! that has survived everything else it runs and gets nothing new meanwhile but other suspects.
//! Suspects are tested in groups first, and alone once groups have crashed their workers. A loss
//! of most machines at the same time casts no suspicion. What a suspicion withholds is bounded in
//! time and in the share of the workers. See `docs/STEPS.md`.

use std::{collections::BTreeSet, time::Duration};

use kernel::{JobName, Time, VmName};

use super::{
    Owner,
    entry::Task,
    unknown::{Release, release},
    vm::{Phase, Vm},
};
use crate::{
    Outcome, TaskKey,
    crash::{SuspectRun, WorkerCrash},
    message::{AgentReport, RunKey},
    progress::TaskCrash,
};

/// Number of crashes in a row under a task after which it is given up. Fewer may be crashes of
/// workers by themselves; a task may be started twice more after three.
const CRASHES_TO_GIVE_UP: usize = 4;
/// Number of them that must not be mass losses.
const SUSPECTED_TO_GIVE_UP: usize = 3;
/// The same if more of them are mass losses.
const CRASHES_WITH_MASS_LOSSES_TO_GIVE_UP: usize = 5;
/// Number of tasks that are tested together after their first and second crash; later ones are
/// tested alone.
const TRIAL_GROUP_SIZES: [usize; 2] = [8, 3];
/// Time after which a suspect takes any worker: users consider a job lost that has nothing running
/// for 3 s, once all has been calm for 4 s.
const MAX_TRIAL_WAIT: Duration = Duration::from_secs(4);
/// Age of a run at the last report of a lost agent from which on the worker had survived it:
/// an agent notices only after some time that its worker does not answer.
const UNREPORTED_PROBATION: Duration = Duration::from_secs(3);
/// Time within which an owner learns of workers that were lost together: machines come back
/// within 1.5 s of each other.
const LOSS_WINDOW: Duration = Duration::from_secs(2);
/// Share of the workers that must be lost with their agents for a mass loss, as a divisor.
const MASS_LOSS_DIVISOR: usize = 2;
/// Number of such losses in a row under a task from which on it is tested all the same.
const MASS_LOSSES_TO_TEST: usize = 3;

/// Whether a task has crashed enough workers to be given up: several in a row, at least once as
/// the only suspect.
fn is_given_up(crashes: &[TaskCrash]) -> bool {
    let suspected = crashes.iter().filter(|crash| !crash.is_mass_loss).count();
    let most = match suspected >= SUSPECTED_TO_GIVE_UP {
        true => CRASHES_TO_GIVE_UP,
        false => CRASHES_WITH_MASS_LOSSES_TO_GIVE_UP,
    };
    crashes.len() >= most && crashes.iter().any(|crash| crash.is_sole_suspect)
}

/// Number of suspects with which a task may be tested together; `None` if it is not suspect.
fn trial_size(crashes: &[TaskCrash]) -> Option<usize> {
    if crashes.iter().all(|crash| crash.is_mass_loss) {
        return (crashes.len() >= MASS_LOSSES_TO_TEST).then_some(TRIAL_GROUP_SIZES[0]);
    }
    if crashes.iter().any(|crash| crash.is_sole_suspect) {
        return Some(1);
    }
    let size = TRIAL_GROUP_SIZES.get(crashes.len() - 1);
    Some(size.copied().unwrap_or(1))
}

/// Workers of whose crashes an owner learned at about the same time.
#[derive(Debug, Default)]
struct RecentCrashes {
    since: Time,
    vms: BTreeSet<VmName>,
    /// Runs that are suspect as long as this is no mass loss.
    suspects: Vec<(VmName, RunKey)>,
}

impl RecentCrashes {
    /// Adds a worker; returns how many there are.
    fn add(&mut self, now: Time, vm: &VmName) -> usize {
        if (self.since + LOSS_WINDOW).passed(now) {
            *self = Self {
                since: now,
                ..Self::default()
            };
        }
        self.vms.insert(vm.clone());
        self.vms.len()
    }
}

/// Crashes that may be a mass loss, which no task causes by itself.
#[derive(Debug, Default)]
pub(super) struct CrashHistory {
    /// Workers that were lost with their agents.
    machines: RecentCrashes,
    /// Workers that crashed beside their agents. Several tasks may do that at the same time.
    workers: RecentCrashes,
}

impl CrashHistory {
    fn of_kind(&mut self, is_machine_lost: bool) -> &mut RecentCrashes {
        match is_machine_lost {
            true => &mut self.machines,
            false => &mut self.workers,
        }
    }
}

/// Whether the crashes of as many of all known workers are a mass loss: most of the machines were
/// lost, or all of the workers have crashed.
const fn is_mass_loss(crashes: usize, known: usize, is_machine_lost: bool) -> bool {
    let least = match is_machine_lost {
        true => known / MASS_LOSS_DIVISOR + 1,
        false => known,
    };
    crashes > 1 && crashes >= least
}

impl Task {
    /// Number of suspects with which the task may be tested together; `None` if it is not
    /// suspect.
    pub(super) fn trial_size(&self) -> Option<usize> {
        trial_size(&self.crashes).filter(|_| !self.is_done())
    }

    /// Whether the task may crash each worker that starts it.
    pub(super) fn is_suspect(&self) -> bool {
        self.trial_size().is_some()
    }

    /// Whether the task is suspect and has not waited for too long to start on trial.
    pub(super) fn needs_trial(&self, now: Time) -> bool {
        let until = self.trial_awaited_since.map(|since| since + MAX_TRIAL_WAIT);
        self.is_suspect() && !until.is_some_and(|until| until.passed(now))
    }
}

impl Owner {
    /// The task that holds what counts for a task: the members of a gang count together.
    pub(super) fn shared_key(&self, task: &TaskKey) -> TaskKey {
        let entry = self.jobs.get(&task.job);
        entry.map_or_else(|| task.clone(), |entry| entry.shared_key(task))
    }

    /// The task that holds the crashes under a task.
    pub(super) fn crashed_task(&self, task: &TaskKey) -> Option<&Task> {
        let key = self.shared_key(task);
        self.jobs.get(&key.job)?.task(&key)
    }

    /// Number of suspects with which a task is tested together if it starts now; `None` if it
    /// starts without a trial. Gangs wait for workers that are free of other runs as long as
    /// tasks do, but nothing else starts beside them even then.
    pub(super) fn trial_size_at_start(&self, now: Time, task: &TaskKey) -> Option<usize> {
        if self.suspects.is_empty() {
            return None;
        }
        let entry = self.jobs.get(&task.job)?;
        let step = entry.job.steps.get(usize::from(task.step))?;
        let crashed = self.crashed_task(task)?;
        let size = crashed.trial_size();
        size.filter(|_| step.gang || crashed.needs_trial(now))
    }

    /// Whether the next start of a suspect must wait, since a new owner would not know of
    /// the last crash.
    pub(super) fn awaits_crash_record(&self, now: Time, task: &TaskKey) -> bool {
        let task = self.crashed_task(task);
        task.is_some_and(|task| task.needs_trial(now) && task.crash_change > self.durable_change)
    }

    /// Whether a gang is suspect and has not waited for too long to start on trial.
    pub(super) fn needs_gang_trial(&self, now: Time, task: &TaskKey) -> bool {
        self.crashed_task(task)
            .is_some_and(|task| task.needs_trial(now))
    }

    /// Applies the crashes that an agent has reported.
    pub(super) fn apply_crashes(&mut self, now: Time, name: &VmName, crashes: &[WorkerCrash]) {
        for crash in crashes {
            let processed = self.vms.get(name).map_or(0, |vm| vm.processed_crash);
            if crash.number <= processed {
                continue;
            }
            let unknown = self.record_crash(now, name, false, &crash.suspects);
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
    fn record_crash(
        &mut self,
        now: Time,
        name: &VmName,
        is_machine_lost: bool,
        suspects: &[SuspectRun],
    ) -> Vec<JobName> {
        let known = self.vms.len();
        let crashes = self.crash_history.of_kind(is_machine_lost);
        let is_mass_loss = is_mass_loss(crashes.add(now, name), known, is_machine_lost);
        if is_mass_loss {
            self.withdraw_suspicions(name, is_machine_lost);
            self.note_mass_loss(now, "most workers were lost");
        }
        let tasks = suspects.iter().map(|run| self.shared_key(&run.key.task));
        let tasks: BTreeSet<TaskKey> = tasks.collect();
        let mut unknown = Vec::new();
        for run in suspects {
            let is_sole_suspect = tasks.len() == 1 && run.is_confirmed && !is_mass_loss;
            if !is_mass_loss {
                let suspect = (name.clone(), run.key.clone());
                let crashes = self.crash_history.of_kind(is_machine_lost);
                crashes.suspects.push(suspect);
            }
            if self.keep_unknown_suspect(name, &run.key, is_sole_suspect) {
                unknown.push(run.key.task.job.clone());
                continue;
            }
            let crash = TaskCrash {
                run: run.key.run,
                vm: name.clone(),
                is_sole_suspect,
                is_mass_loss,
            };
            self.record_task_crash(now, &run.key, crash);
        }
        unknown
    }

    /// Takes back that runs are suspect of recent crashes, as these are a mass loss.
    fn withdraw_suspicions(&mut self, name: &VmName, is_machine_lost: bool) {
        let crashes = self.crash_history.of_kind(is_machine_lost);
        let suspects = std::mem::take(&mut crashes.suspects);
        if suspects.is_empty() {
            return;
        }
        tracing::warn!(
            vm = %name,
            crashed = crashes.vms.len(),
            is_machine_lost,
            known = self.vms.len(),
            withdrawn = suspects.len(),
            "most machines were lost or all workers have crashed at the same time; no task is suspected of it"
        );
        for (vm, run) in &suspects {
            self.withdraw_suspicion(run, vm);
        }
    }

    fn withdraw_suspicion(&mut self, run: &RunKey, vm: &VmName) {
        let key = self.shared_key(&run.task);
        let Some(entry) = self.jobs.get_mut(&key.job) else {
            return;
        };
        if entry.outcome.is_some() {
            return;
        }
        let Some(task) = entry.task_mut(&key) else {
            return;
        };
        let mut crashes = task.crashes.iter_mut();
        let Some(crash) = crashes.find(|crash| crash.run == run.run) else {
            return;
        };
        crash.is_sole_suspect = false;
        crash.is_mass_loss = true;
        task.avoid.remove(vm);
        self.schedule_due = true;
        self.mark_dirty(&key.job);
    }

    pub(super) fn record_task_crash(&mut self, now: Time, run: &RunKey, crash: TaskCrash) {
        let key = self.shared_key(&run.task);
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
        tracing::warn!(
            task = %run.task,
            run = run.run,
            vm = %crash.vm,
            is_sole_suspect = crash.is_sole_suspect,
            is_mass_loss = crash.is_mass_loss,
            crashes = task.crashes.len() + 1,
            "worker crashed as it had just started the task"
        );
        if !crash.is_mass_loss {
            task.avoid.insert(crash.vm.clone());
        }
        task.crashes.push(crash);
        task.trial_awaited_since = None;
        // Otherwise the crash is kept in memory only, as it is no evidence by itself.
        if !task.is_suspect() {
            return;
        }
        let crashes = task.crashes.clone();
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

    /// Records the crash of a worker whose agent may have been lost with it, so that no process
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
        let is_machine_lost = vm.info.is_some() && vm.worker_reported_by != vm.agent_incarnation;
        if !is_machine_lost && suspects.is_empty() {
            return;
        }
        if let Some(vm) = self.vms.get_mut(name) {
            vm.note_recorded_loss(&suspects);
        }
        self.record_crash(now, name, is_machine_lost, &suspects);
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
        let key = self.shared_key(&run.task);
        let has_crashes = |task: &Task| !task.crashes.is_empty();
        if !self.crashed_task(&key).is_some_and(has_crashes) || !self.has_gang_survived(run) {
            return;
        }
        let was_suspect = self.suspects.remove(&key);
        let task = self
            .jobs
            .get_mut(&key.job)
            .and_then(|entry| entry.task_mut(&key));
        let Some(task) = task else {
            return;
        };
        task.crashes.clear();
        if !was_suspect {
            return;
        }
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

    /// Drops the suspects that need no start any more; returns whether any are left.
    pub(super) fn review_suspects(&mut self) -> bool {
        let jobs = &self.jobs;
        self.suspects.retain(|key| {
            let entry = jobs.get(&key.job).filter(|entry| entry.outcome.is_none());
            let task = entry.and_then(|entry| entry.task(key));
            task.is_some_and(Task::is_suspect)
        });
        !self.suspects.is_empty()
    }
}

impl Vm {
    /// Notes that the loss of the worker is recorded, so that it counts once.
    fn note_recorded_loss(&mut self, suspects: &[SuspectRun]) {
        self.worker_reported_by = self.agent_incarnation;
        for suspect in suspects {
            if let Some(run) = self.runs.get_mut(&suspect.key) {
                run.agent_incarnation = self.agent_incarnation;
            }
        }
    }

    /// Releases the crashes for which the changes up to this one suffice.
    pub(super) fn advance_recorded_crash(&mut self, durable_change: u64) {
        let released = release(&mut self.unrecorded_crashes, durable_change);
        self.recorded_crash = released.unwrap_or(self.recorded_crash);
    }
}
