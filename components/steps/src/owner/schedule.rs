//! Decides which tasks start now.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use kernel::{JobName, ServiceName, Time, VmName};

use super::{
    Owner,
    entry::{HeldBackBy, JobEntry, StepState, Task, task_key},
    near::FarTasks,
    place::{FailedPlacements, FullRacks, PlacementRequest, Shortlist, Trial},
    trials::Trials,
    vm::{AssignedRun, Phase, Vm},
    window::StartRoom,
};
use crate::{
    Queue, Step, TaskKey,
    message::{Role, RunKey, StartOrder},
};

/// Delay after an occurrence's due time, since the clocks of machines differ and no
/// occurrence may start early.
const CLOCK_MARGIN: Duration = Duration::from_millis(40);
/// Time after which a job without runs takes any worker for a ready task, and a long-running
/// step for each task that is down. Users consider a job or such a task lost after 3 s.
pub(super) const MAX_IDLE: Duration = Duration::from_millis(1_500);
/// Work for jobs that are not of the first priority after which a pass ends: workers examined,
/// and starts at [`START_WORK`] each.
const MAX_PASS_WORK: u64 = 1_024;
/// Work of a start order, in examinations of a worker.
const START_WORK: u64 = 16;
/// Run numbers of a term start at its epoch times this number, so that they increase
/// from term to term without a record.
const RUNS_PER_TERM: u64 = 1 << 24;

/// State of one scheduling pass.
struct Pass {
    room: StartRoom,
    /// Whether ends of runs of an earlier owner, or such runs, may exist that no worker has
    /// reported.
    is_recovering: bool,
    /// VMs on which such runs may exist.
    unlisted_vms: BTreeSet<VmName>,
    failed: FailedPlacements,
    full_racks: FullRacks,
    /// Whether there are tasks that may crash each worker that starts them.
    has_suspects: bool,
    /// Whether only suspects start that are tested alone.
    is_for_lone_suspects: bool,
    trials: Trials,
}

/// A step whose dependencies are done.
struct ReadyStep<'a> {
    job: &'a JobName,
    occurrence: u32,
    number: usize,
    step: &'a Step,
    service: &'a ServiceName,
    /// Whether a task of the step may crash each worker that starts it.
    has_suspects: bool,
}

/// A task that is not done and has no run.
#[derive(Default)]
struct ReadyTask {
    index: usize,
    avoid: BTreeSet<VmName>,
    /// Whether the task is long-running and has been down for too long.
    is_overdue: bool,
    /// Number of suspects with which the task has to be tested; `None` if it starts without a
    /// trial.
    trial_size: Option<usize>,
    /// Whether the task is suspect and has waited for too long to start on trial.
    has_waited_for_trial: bool,
}

impl Pass {
    /// Whether tasks of the job may run or have ended without a report.
    const fn is_recovering_job(&self, entry: &JobEntry) -> bool {
        self.is_recovering && entry.may_have_earlier_runs
    }
}

impl ReadyStep<'_> {
    fn state<'a>(&self, entry: &'a JobEntry) -> &'a StepState {
        &entry.occurrences[&self.occurrence][self.number]
    }

    fn task(&self, index: usize) -> TaskKey {
        task_key(self.job, self.occurrence, self.number, index)
    }

    const fn far_tasks<'a>(
        &'a self,
        count: usize,
        racks: &'a [Arc<str>],
        together: bool,
    ) -> FarTasks<'a> {
        FarTasks {
            job: self.job,
            occurrence: self.occurrence,
            number: self.number,
            count,
            racks,
            together,
        }
    }

    fn placement_request<'a>(
        &'a self,
        task: &'a ReadyTask,
        tasks_per_vm: &'a BTreeMap<VmName, u32>,
        required_rack: Option<&'a str>,
        is_urgent: bool,
        trial: Trial<'a>,
    ) -> PlacementRequest<'a> {
        PlacementRequest {
            service: self.service,
            step: self.step,
            avoid: &task.avoid,
            tasks_per_vm,
            required_rack,
            is_urgent,
            is_overdue: task.is_overdue,
            may_join_trials: task.has_waited_for_trial,
            trial,
        }
    }
}

/// Whether a task without a run is long-running and has been down for too long.
fn is_overdue(now: Time, entry: &JobEntry, step: &Step, task: &Task) -> bool {
    step.long_running && (entry.waiting_since(task) + MAX_IDLE).passed(now)
}

/// Up to `max` tasks of a step that are not done and have no run: suspect ones first, since
/// nothing else may start beside them, then overdue ones.
fn ready_tasks(now: Time, entry: &JobEntry, ready: &ReadyStep<'_>, max: usize) -> Vec<ReadyTask> {
    let state = ready.state(entry);
    let mut found = Vec::new();
    if state.waiting() == 0 {
        return found;
    }
    // The first member of a gang holds the crashes under all of them.
    let first = state.tasks().first().filter(|_| ready.step.gang);
    let gang_crashes = first
        .map(|task| task.crashes.as_slice())
        .unwrap_or_default();
    let is_any_order = !ready.step.long_running && !ready.has_suspects;
    for (index, task) in state.tasks().iter().enumerate() {
        if found.len() == max && is_any_order {
            break;
        }
        if !task.is_waiting() {
            continue;
        }
        let mut avoid = task.avoid.clone();
        avoid.extend(gang_crashes.iter().map(|crash| crash.vm.clone()));
        found.push(ReadyTask {
            index,
            avoid,
            is_overdue: is_overdue(now, entry, ready.step, task),
            trial_size: task.trial_size().filter(|_| task.needs_trial(now)),
            has_waited_for_trial: task.is_suspect() && !task.needs_trial(now),
        });
    }
    found.sort_by_key(|task| (task.trial_size.is_none(), !task.is_overdue));
    found.truncate(max);
    found
}

/// Role that tasks of a step have on their worker.
pub(super) fn role_of(step: &Step) -> Role {
    match step.target_millis {
        Some(target_millis) => Role::Serving {
            target_millis,
            image: step.image.clone(),
        },
        None if step.best_effort => Role::BestEffort {
            image: step.image.clone(),
            cpu_milli: step.need.cpu_milli,
        },
        None => Role::Plain,
    }
}

impl Owner {
    /// Time after which no unreported run of an earlier owner can exist.
    fn earlier_runs_expire_at(&self) -> Time {
        self.earlier_renewed_until() + self.timing.unreachable_agent_timeout()
    }

    /// Whether runs of an earlier owner, or their ends, may exist that no worker has
    /// reported.
    #[must_use]
    pub fn is_recovering(&self) -> bool {
        let has_unlisted_ends = |vm: &Vm| vm.attached && !vm.has_listed_ends;
        self.vms.values().any(has_unlisted_ends) || !self.unlisted_vms().is_empty()
    }

    /// VMs on which runs of an earlier owner may exist that no worker has reported.
    pub(super) fn unlisted_vms(&self) -> BTreeSet<VmName> {
        let earlier_runs_expire_at = self.earlier_runs_expire_at();
        let mut unlisted = BTreeSet::new();
        for (name, vm) in &self.vms {
            let expire_at = self
                .noted_expiry(name)
                .map_or(earlier_runs_expire_at, |noted| {
                    noted.max(earlier_runs_expire_at)
                });
            // An echo from this owner lets an agent renew the leases of earlier runs.
            let renewed_at = vm.first_echo_at.filter(|at| !expire_at.passed(*at));
            let were_renewed = !vm.has_listed_runs && renewed_at.is_some();
            let may_have_runs = match vm.attached {
                true => !vm.has_listed_runs,
                false => !vm.leases_expired && (!self.is_proved_after(expire_at) || were_renewed),
            };
            if may_have_runs {
                unlisted.insert(name.clone());
            }
        }
        unlisted
    }

    /// Starts tasks that may start and for which there is a suitable worker.
    ///
    /// A pass visits all waiting jobs of the first priority. The others are visited in rounds,
    /// each job once a round, and the pass ends once it has done enough work for them, so that
    /// starts leave and events are handled before the next one.
    pub(super) fn schedule(&mut self, now: Time, wall: Time) {
        self.work.passes += 1;
        self.review_unevenness(now);
        if self.round.is_empty() {
            self.schedule_due = false;
            self.round.clone_from(&self.waiting_jobs);
        }
        let first_priority = self.queues.values().map(|queue| queue.priority).min();
        let mut work_limit = None;
        let unanswered = self.unanswered_starts();
        let vms = &self.vms;
        self.reserve_starts.retain(|(vm, key)| {
            let run = vms.get(vm).and_then(|vm| vm.runs.get(key));
            run.is_some_and(|run| run.phase() == Phase::Ordered)
        });
        let mut pass = Pass {
            room: self.window.room(unanswered, self.reserve_starts.len()),
            is_recovering: self.is_recovering(),
            unlisted_vms: self.unlisted_vms(),
            failed: FailedPlacements::default(),
            full_racks: FullRacks::default(),
            has_suspects: self.review_suspects(),
            is_for_lone_suspects: true,
            trials: Trials::default(),
        };
        if pass.has_suspects {
            for name in self.jobs_with_lone_suspects() {
                self.visit_job(now, wall, &name, &mut pass);
            }
        }
        pass.is_for_lone_suspects = false;
        pass.trials.reset_limit();
        self.review_takeover(now);
        let mut is_cut_off = false;
        for rank in self.ranked_jobs(now) {
            if Some(rank.priority) != first_priority {
                if is_cut_off || !self.round.contains(rank.job()) {
                    continue;
                }
                let work = self.pass_work();
                if work >= *work_limit.get_or_insert(work + MAX_PASS_WORK) {
                    is_cut_off = true;
                    continue;
                }
            }
            self.round.remove(rank.job());
            let starts_before = self.work.starts_kept();
            self.visit_job(now, wall, rank.job(), &mut pass);
            let starts = self.work.starts_kept().saturating_sub(starts_before);
            self.record_starts_of(now, &rank, starts);
        }
        if !is_cut_off {
            // What is left has no queue or does not wait any more.
            self.round.clear();
        }
    }

    /// Starts the tasks of a job that may start, unless too many starts have no reply yet.
    fn visit_job(&mut self, now: Time, wall: Time, name: &JobName, pass: &mut Pass) {
        let Some(entry) = self.jobs.get(name) else {
            return;
        };
        if pass.is_recovering_job(entry) && !entry.job.is_long_running() {
            return;
        }
        let may_use_reserve = entry.job.is_long_running();
        if !pass.room.admits(may_use_reserve) {
            self.window.hold_back();
            return;
        }
        let Some(queue) = self.queues.get(&entry.job.queue).cloned() else {
            return;
        };
        self.work.jobs_visited += 1;
        self.schedule_job(now, wall, name, &queue, pass);
        if !self.may_have_ready_tasks(name) {
            self.waiting_jobs.remove(name);
        }
    }

    /// Work of all passes so far, in examinations of a worker.
    const fn pass_work(&self) -> u64 {
        self.work.workers_examined + self.work.starts_ordered * START_WORK
    }

    fn may_have_ready_tasks(&self, name: &JobName) -> bool {
        let entry = self.jobs.get(name);
        entry.is_some_and(JobEntry::may_have_ready_tasks)
    }

    fn schedule_job(
        &mut self,
        now: Time,
        wall: Time,
        name: &JobName,
        queue: &Arc<Queue>,
        pass: &mut Pass,
    ) {
        let Some(entry) = self.jobs.get(name) else {
            return;
        };
        for occurrence in due_occurrences(entry, wall) {
            let Some(entry) = self.jobs.get_mut(name) else {
                return;
            };
            let job = Arc::clone(&entry.job);
            entry.occurrence(occurrence);
            for (number, step) in job.steps.iter().enumerate() {
                let Some(entry) = self.jobs.get(name) else {
                    return;
                };
                if !entry.may_start(occurrence, number) {
                    continue;
                }
                // The ends of long-running tasks change nothing, so only their runs count.
                if pass.is_recovering_job(entry) && !step.long_running {
                    continue;
                }
                let ready = ReadyStep {
                    job: name,
                    occurrence,
                    number,
                    step,
                    service: &queue.service,
                    has_suspects: pass.has_suspects && entry.has_suspects(occurrence, number),
                };
                if pass.is_for_lone_suspects && (step.gang || !ready.has_suspects) {
                    continue;
                }
                // Suspect tasks start one by one, whichever rack can take them.
                match step.gang || (step.same_rack && !ready.has_suspects) {
                    true => self.schedule_all_or_none(now, &ready, pass),
                    false => self.schedule_step(now, &ready, pass),
                }
            }
        }
    }

    /// Starts those ready tasks of a step for which there is a suitable worker.
    fn schedule_step(&mut self, now: Time, ready: &ReadyStep<'_>, pass: &mut Pass) {
        let Some(entry) = self.jobs.get(ready.job) else {
            return;
        };
        let mut is_idle = entry
            .idle_since()
            .is_some_and(|since| (since + MAX_IDLE).passed(now));
        let state = ready.state(entry);
        if state.waiting() == 0 {
            return;
        }
        let mut waiting = state.tasks().iter().filter(|task| task.is_waiting());
        let has_overdue =
            ready.step.long_running && waiting.any(|task| is_overdue(now, entry, ready.step, task));
        let any_task = ReadyTask {
            is_overdue: has_overdue,
            ..ReadyTask::default()
        };
        let no_tasks = BTreeMap::new();
        let is_urgent = is_idle || has_overdue;
        let any_request = ready.placement_request(&any_task, &no_tasks, None, is_urgent, Trial::No);
        if !ready.has_suspects
            && let Some(by) = pass.failed.cover(&any_request)
        {
            self.hold_back_step(ready, by);
            return;
        }
        let is_held_back = pass.is_recovering_job(entry);
        let most = match is_held_back {
            true => usize::MAX,
            false => pass.room.most(),
        };
        let mut tasks = ready_tasks(now, entry, ready, most);
        if is_held_back {
            tasks.retain(|task| !self.may_run_on(&ready.task(task.index), &pass.unlisted_vms));
        }
        let is_cut_off = !is_held_back && tasks.len() < state.waiting();
        if pass.is_for_lone_suspects {
            tasks.retain(|task| task.trial_size == Some(1));
        }
        let mut tasks_per_vm = count_tasks_per_vm(ready.step, state);
        let mut shortlist = Shortlist::default();
        let count = tasks.len();
        // A step whose tasks belong on one rack waits for it as a whole.
        let is_single = !ready.step.gang && !ready.step.same_rack;
        let near_rack = ready.step.data_rack.as_ref();
        let near_rack = near_rack.filter(|_| is_single && self.may_wait_for_near(ready.step));
        // How many tasks wait for a near place, once there is none left.
        let mut to_wait = None;
        for (started, task) in tasks.into_iter().enumerate() {
            if !pass.room.admits(task.is_overdue) {
                self.window.hold_back();
                self.hold_back_step(ready, HeldBackBy::Window);
                return;
            }
            let is_urgent = is_idle || task.is_overdue;
            let request = ready.placement_request(&task, &tasks_per_vm, None, is_urgent, Trial::No);
            let key = ready.task(task.index);
            let left = count - started;
            let near_rack = near_rack.filter(|_| !is_urgent && task.trial_size.is_none());
            if let Some(rack) = near_rack {
                if to_wait.is_none() && pass.full_racks.cover(&request) {
                    let far = ready.far_tasks(left, std::slice::from_ref(rack), false);
                    to_wait = Some(self.tasks_to_wait(now, &far, &request));
                }
                if to_wait.is_some_and(|tasks| tasks >= left) {
                    self.hold_back_step(ready, HeldBackBy::NearPlace);
                    return;
                }
            }
            let chosen = match task.trial_size {
                Some(size) => {
                    let trials = &mut pass.trials;
                    match self.choose_vm_on_trial(now, &key, size, &request, trials) {
                        Some(vm) => Ok(vm),
                        None => continue,
                    }
                }
                None => match pass.failed.cover(&request) {
                    Some(by) => {
                        self.hold_back_step(ready, by);
                        return;
                    }
                    None => self.choose_next_vm(now, &request, &mut shortlist, count - started),
                },
            };
            let vm = match chosen {
                Ok(vm) => vm,
                Err(by) => {
                    if task.is_overdue {
                        self.keep_for_overdue(now, &request);
                    }
                    pass.failed.record(&request, by);
                    self.hold_back_step(ready, by);
                    return;
                }
            };
            if let Some(rack) = near_rack
                && to_wait.is_none()
                && self.is_far(&vm, ready.step)
            {
                // A near worker may have room and be so slow that a far one is better.
                let tasks = match self.has_room_in_rack(now, &request, rack) {
                    true => 0,
                    false => {
                        pass.full_racks.record(&request, rack);
                        let far = ready.far_tasks(left, std::slice::from_ref(rack), false);
                        self.tasks_to_wait(now, &far, &request)
                    }
                };
                to_wait = Some(tasks);
                if tasks >= left {
                    self.hold_back_step(ready, HeldBackBy::NearPlace);
                    return;
                }
            }
            *tasks_per_vm.entry(vm.clone()).or_default() += 1;
            let run = self.next_run();
            let key = RunKey { task: key, run };
            self.order_start(now, &vm, key.clone(), ready.step);
            self.record_near_start(now, &vm, &key.task, ready.step);
            if pass.room.is_full() {
                self.reserve_starts.push((vm, key));
            }
            pass.room.take(1);
            is_idle = false;
        }
        if is_cut_off {
            self.window.hold_back();
            self.hold_back_step(ready, HeldBackBy::Window);
            return;
        }
        if near_rack.is_some() && count > 0 {
            self.end_near_wait(now, &ready.task(0));
        }
    }

    fn hold_back_step(&mut self, ready: &ReadyStep<'_>, by: HeldBackBy) {
        if let Some(entry) = self.jobs.get_mut(ready.job) {
            entry.hold_back(ready.occurrence, ready.number, by);
        }
    }

    /// Starts all tasks of a step at once, or none of them.
    fn schedule_all_or_none(&mut self, now: Time, ready: &ReadyStep<'_>, pass: &mut Pass) {
        let Some(entry) = self.jobs.get(ready.job) else {
            return;
        };
        let state = ready.state(entry);
        let are_all_ready = state.waiting() == state.tasks().len();
        if state.waiting() == 0 || (ready.step.gang && !are_all_ready) {
            return;
        }
        let tasks = ready_tasks(now, entry, ready, usize::MAX);
        let may_run =
            |task: &ReadyTask| self.may_run_on(&ready.task(task.index), &pass.unlisted_vms);
        if pass.is_recovering_job(entry) && tasks.iter().any(may_run) {
            return;
        }
        if self.awaits_crash_record(now, &ready.task(0)) {
            let tasks_per_vm = count_tasks_per_vm(ready.step, state);
            let request = ready.placement_request(&tasks[0], &tasks_per_vm, None, true, Trial::No);
            self.await_trial(now, &ready.task(0), &request, &mut pass.trials);
            return;
        }
        if !pass.room.admits(tasks.iter().any(|task| task.is_overdue)) {
            self.window.hold_back();
            return;
        }
        let tasks_per_vm = count_tasks_per_vm(ready.step, state);
        let mut racks: Vec<Option<String>> = vec![None];
        if ready.step.same_rack {
            racks = self.racks(ready.service).into_iter().map(Some).collect();
            // Running on several racks is slower but better than not running.
            racks.push(None);
        }
        let is_idle = entry
            .idle_since()
            .is_some_and(|since| (since + MAX_IDLE).passed(now));
        let is_tested = tasks.iter().any(|task| task.trial_size.is_some());
        let mut near_racks: Vec<Arc<str>> = Vec::new();
        if are_all_ready && !is_idle && !is_tested && self.may_wait_for_near(ready.step) {
            match &ready.step.data_rack {
                Some(near) => {
                    near_racks.push(Arc::clone(near));
                    racks.retain(|rack| rack.as_deref() != Some(near));
                    racks.insert(0, Some(near.to_string()));
                }
                None => {
                    let racks = racks.iter().flatten();
                    near_racks.extend(racks.map(|rack| Arc::from(rack.as_str())));
                }
            }
        }
        let mut has_decided = near_racks.is_empty();
        for rack in racks {
            let is_near = rack
                .as_deref()
                .is_some_and(|rack| near_racks.iter().any(|near| **near == *rack));
            if !is_near && !has_decided {
                has_decided = true;
                let request =
                    ready.placement_request(&tasks[0], &tasks_per_vm, None, true, Trial::No);
                let far = ready.far_tasks(tasks.len(), &near_racks, true);
                if self.tasks_to_wait(now, &far, &request) > 0 {
                    self.hold_back_step(ready, HeldBackBy::NearPlace);
                    return;
                }
            }
            if self.try_start_all(now, ready, &tasks, &tasks_per_vm, rack.as_deref()) {
                if is_near {
                    self.record_near_found(now, &ready.task(0), tasks.len());
                }
                self.end_near_wait(now, &ready.task(0));
                pass.room.take(tasks.len());
                return;
            }
        }
        if let Some(task) = tasks.iter().find(|task| task.trial_size.is_some()) {
            let request = ready.placement_request(task, &tasks_per_vm, None, true, Trial::No);
            self.hold_for_trial(now, &request, &mut pass.trials);
            self.await_trial(now, &ready.task(0), &request, &mut pass.trials);
            return;
        }
        // The step may need more than all workers have.
        if !ready.step.gang {
            self.schedule_step(now, ready, pass);
        }
    }

    fn try_start_all(
        &mut self,
        now: Time,
        ready: &ReadyStep<'_>,
        tasks: &[ReadyTask],
        tasks_per_vm: &BTreeMap<VmName, u32>,
        rack: Option<&str>,
    ) -> bool {
        let mut tasks_per_vm = tasks_per_vm.clone();
        let entry = self.jobs.get(ready.job);
        let idle_since = entry.and_then(JobEntry::idle_since);
        let gang_run = self.next_run();
        let gang_key = RunKey {
            task: ready.task(0),
            run: gang_run,
        };
        let trial = match ready.step.gang && self.needs_gang_trial(now, &gang_key.task) {
            true => Trial::WithGang(&gang_key),
            false => Trial::No,
        };
        let mut started: Vec<(VmName, RunKey)> = Vec::new();
        let was_due = self.schedule_due;
        for task in tasks {
            let request = ready.placement_request(task, &tasks_per_vm, rack, true, trial);
            let Ok(vm) = self.choose_vm(now, &request) else {
                self.work.starts_undone += started.len() as u64;
                for (name, key) in started {
                    if let Some(vm) = self.vms.get_mut(&name) {
                        vm.cold_start.undo_start();
                    }
                    self.remove_run(now, &name, &key);
                }
                if let Some(entry) = self.jobs.get_mut(ready.job) {
                    entry.set_idle_since(idle_since);
                }
                // Nothing is free that was not free before this attempt.
                self.schedule_due = was_due;
                return false;
            };
            *tasks_per_vm.entry(vm.clone()).or_default() += 1;
            let run = match ready.step.gang {
                true => gang_run,
                false => self.next_run(),
            };
            let task = ready.task(task.index);
            let key = RunKey { task, run };
            self.order_start(now, &vm, key.clone(), ready.step);
            started.push((vm, key));
        }
        true
    }

    pub(super) fn next_run(&mut self) -> u64 {
        self.run_count += 1;
        self.epoch * RUNS_PER_TERM + self.run_count
    }

    /// Reserves capacity for a run and queues its start order.
    pub(super) fn order_start(&mut self, now: Time, name: &VmName, key: RunKey, step: &Step) {
        let trial_size = self.trial_size_at_start(now, &key.task);
        let Some(entry) = self.jobs.get_mut(&key.task.job) else {
            return;
        };
        let job = Arc::clone(&entry.job);
        let known_since = entry.known_since;
        let Some(vm) = self.vms.get_mut(name) else {
            return;
        };
        if !entry.add_run(&key, name) {
            return;
        }
        self.work.starts_ordered += 1;
        if let Some(task) = entry.task_mut(&key.task) {
            task.trial_awaited_since = None;
        }
        let checkpoint = entry.checkpoint(&key.task).filter(|_| step.checkpoints);
        tracing::info!(
            task = %key.task,
            run = key.run,
            vm = %name,
            image = step.image.as_deref(),
            resumes = checkpoint.is_some(),
            trial_size,
            held_back_by = ?entry.held_back_by(&key.task),
            job_age_ms = now.since(known_since).as_millis() as u64,
            "starting run"
        );
        let role = role_of(step);
        vm.health.record_start(now);
        vm.cold_start.record_start(now);
        let mut assigned = AssignedRun::new(Phase::Ordered, now, step.reserved(), role.clone());
        assigned.trial_size = trial_size;
        vm.add_run(key.clone(), assigned);
        vm.starts.push(StartOrder {
            key,
            spec: Arc::clone(&job.spec),
            checkpoint,
            ticket: None,
            role,
        });
        self.touch_vm(name);
    }
}

/// Unfinished occurrences that are due.
fn due_occurrences(entry: &JobEntry, wall: Time) -> Vec<u32> {
    let mut found = Vec::new();
    for occurrence in 0..entry.job.occurrences() {
        if entry.job.schedule.is_some() && !(entry.job.due(occurrence) + CLOCK_MARGIN).passed(wall)
        {
            break;
        }
        if !entry.finished.contains(&occurrence) {
            found.push(occurrence);
        }
    }
    found
}

/// Number of tasks of a step on each VM, if the step limits it.
pub(super) fn count_tasks_per_vm(step: &Step, state: &StepState) -> BTreeMap<VmName, u32> {
    let mut tasks_per_vm = BTreeMap::new();
    if step.per_worker.is_none() {
        return tasks_per_vm;
    }
    for task in state.tasks() {
        for (vm, _) in task.runs() {
            *tasks_per_vm.entry(vm.clone()).or_default() += 1;
        }
    }
    tasks_per_vm
}
