//! Which tasks start now.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use kernel::{JobName, ServiceName, Time, VmName};

use super::{
    Owner,
    entry::{JobEntry, StepState, task_key},
    place::Wish,
    vm::{Held, Phase},
};
use crate::{
    Queue, Step, TaskKey,
    message::{Role, RunKey, StartOrder},
};

/// A job later than this many times its objective is worth nothing any more.
const WORTHLESS_AFTER: u32 = 3;
/// An occurrence starts this much after its time, since the clocks of machines
/// differ and none may start early.
const CLOCK_MARGIN: Duration = Duration::from_millis(40);
/// A job with nothing running and a task whose turn has come waits no longer for
/// a good place: users see a job that stands still for 3 s as lost.
const LONGEST_IDLE: Duration = Duration::from_millis(1_500);
/// Run numbers of one term start at a multiple of this, so that they rise from
/// term to term without a record.
const RUNS_PER_TERM: u64 = 1 << 24;

/// What a job that is finished soon is still worth, best first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Worth {
    Whole,
    Late,
    Nothing,
}

/// The order in which jobs are served: under overload the earliest deadline
/// alone would make all of them late, so those that are late already wait.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Turn {
    priority: u32,
    worth: Worth,
    deadline: Time,
    job: JobName,
}

/// A step whose turn has come.
struct StepTurn<'a> {
    job: &'a JobName,
    occurrence: u32,
    number: usize,
    step: &'a Step,
    service: &'a ServiceName,
}

/// A task without a run.
struct Waiting {
    index: usize,
    avoid: BTreeSet<VmName>,
}

impl StepTurn<'_> {
    fn state<'a>(&self, entry: &'a JobEntry) -> &'a StepState {
        &entry.occurrences[&self.occurrence][self.number]
    }

    fn task(&self, index: usize) -> TaskKey {
        task_key(self.job, self.occurrence, self.number, index)
    }

    fn wish<'a>(
        &'a self,
        waiting: &'a Waiting,
        beside: &'a BTreeMap<VmName, u32>,
        rack: Option<&'a str>,
        is_urgent: bool,
    ) -> Wish<'a> {
        Wish {
            service: self.service,
            step: self.step,
            avoid: &waiting.avoid,
            beside,
            rack,
            is_urgent,
        }
    }
}

/// The tasks of a step that may start now.
fn waiting(now: Time, state: &StepState) -> Vec<Waiting> {
    let mut found = Vec::new();
    for (index, task) in state.tasks.iter().enumerate() {
        if task.done || !task.runs.is_empty() || !task.not_before.passed(now) {
            continue;
        }
        let avoid = task.avoid.clone();
        found.push(Waiting { index, avoid });
    }
    found
}

/// How a task of a step behaves beside others.
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
    /// Until when what an earlier owner started may still be unknown.
    fn unknown_until(&self) -> Time {
        self.earlier_renewed_until() + self.timing.unreachable_agent_timeout()
    }

    /// Whether every worker is known or written off, so that nothing of an
    /// earlier owner can run unseen.
    fn all_accounted_for(&self) -> bool {
        self.vms.values().all(|vm| vm.attached || vm.written_off)
    }

    /// Starts what can start.
    pub(super) fn schedule(&mut self, now: Time, wall: Time) {
        let is_clear = self.all_accounted_for() || self.unknown_until().passed(now);
        let earlier_owner_over = self.taken + self.timing.ownership;
        for turn in self.turns(now) {
            let Some(entry) = self.jobs.get(&turn.job) else {
                continue;
            };
            if !is_clear && entry.known_since < earlier_owner_over {
                continue;
            }
            let Some(queue) = self.queues.get(&entry.job.queue).cloned() else {
                continue;
            };
            self.schedule_job(now, wall, &turn.job, &queue);
        }
    }

    fn turns(&self, now: Time) -> Vec<Turn> {
        let mut turns = Vec::new();
        for (name, entry) in &self.jobs {
            if entry.outcome.is_some() {
                continue;
            }
            let Some(queue) = self.queues.get(&entry.job.queue) else {
                continue;
            };
            let objective = objective(entry, queue);
            let deadline = entry.known_since + objective;
            let last = entry.known_since + objective * WORTHLESS_AFTER;
            let has_deadline = !entry.job.is_long_running() && entry.job.schedule.is_none();
            let worth = match has_deadline {
                true if last.passed(now) => Worth::Nothing,
                true if deadline.passed(now) => Worth::Late,
                _ => Worth::Whole,
            };
            turns.push(Turn {
                priority: queue.priority,
                worth,
                deadline,
                job: name.clone(),
            });
        }
        turns.sort_unstable();
        turns
    }

    fn schedule_job(&mut self, now: Time, wall: Time, name: &JobName, queue: &Arc<Queue>) {
        let Some(entry) = self.jobs.get_mut(name) else {
            return;
        };
        entry.idle_since = match entry.has_runs() {
            true => None,
            false => entry.idle_since.or(Some(now)),
        };
        for occurrence in due(entry, wall) {
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
                let turn = StepTurn {
                    job: name,
                    occurrence,
                    number,
                    step,
                    service: &queue.service,
                };
                match step.gang || step.same_rack {
                    true => self.schedule_together(now, &turn),
                    false => self.schedule_step(now, &turn),
                }
            }
        }
    }

    /// Starts the tasks of a step that find a place.
    fn schedule_step(&mut self, now: Time, turn: &StepTurn<'_>) {
        let Some(entry) = self.jobs.get(turn.job) else {
            return;
        };
        let mut is_urgent = entry
            .idle_since
            .is_some_and(|since| (since + LONGEST_IDLE).passed(now));
        let state = turn.state(entry);
        let mut beside = count_beside(state);
        for waiting in waiting(now, state) {
            let wish = turn.wish(&waiting, &beside, None, is_urgent);
            let Some(vm) = self.choose(now, &wish) else {
                return;
            };
            *beside.entry(vm.clone()).or_default() += 1;
            let run = self.next_run();
            let task = turn.task(waiting.index);
            self.start(now, &vm, RunKey { task, run }, turn.step);
            is_urgent = false;
        }
    }

    /// Starts all tasks of a step at once, or none of them.
    fn schedule_together(&mut self, now: Time, turn: &StepTurn<'_>) {
        let Some(entry) = self.jobs.get(turn.job) else {
            return;
        };
        let state = turn.state(entry);
        let waiting = waiting(now, state);
        let is_whole = waiting.len() == state.tasks.len();
        if waiting.is_empty() || (turn.step.gang && !is_whole) {
            return;
        }
        let beside = count_beside(state);
        let mut racks: Vec<Option<String>> = vec![None];
        if turn.step.same_rack {
            racks = self.racks(turn.service).into_iter().map(Some).collect();
            // Slower on several racks is better than not at all.
            racks.push(None);
        }
        for rack in racks {
            if self.start_all(now, turn, &waiting, &beside, rack.as_deref()) {
                return;
            }
        }
    }

    fn start_all(
        &mut self,
        now: Time,
        turn: &StepTurn<'_>,
        waiting: &[Waiting],
        beside: &BTreeMap<VmName, u32>,
        rack: Option<&str>,
    ) -> bool {
        let mut beside = beside.clone();
        let of_gang = self.next_run();
        let mut started: Vec<(VmName, RunKey)> = Vec::new();
        for waiting in waiting {
            let wish = turn.wish(waiting, &beside, rack, true);
            let Some(vm) = self.choose(now, &wish) else {
                for (vm, key) in started {
                    self.drop_run(&vm, &key);
                }
                return false;
            };
            *beside.entry(vm.clone()).or_default() += 1;
            let run = match turn.step.gang {
                true => of_gang,
                false => self.next_run(),
            };
            let task = turn.task(waiting.index);
            let key = RunKey { task, run };
            self.start(now, &vm, key.clone(), turn.step);
            started.push((vm, key));
        }
        true
    }

    pub(super) fn next_run(&mut self) -> u64 {
        self.starts += 1;
        self.epoch * RUNS_PER_TERM + self.starts
    }

    /// Reserves the room and orders the start.
    pub(super) fn start(&mut self, now: Time, name: &VmName, key: RunKey, step: &Step) {
        let Some(entry) = self.jobs.get_mut(&key.task.job) else {
            return;
        };
        let job = Arc::clone(&entry.job);
        let known_since = entry.known_since;
        let Some(task) = entry.task_mut(&key.task) else {
            return;
        };
        task.runs.push((name.clone(), key.run));
        let checkpoint = task.checkpoint.clone().filter(|_| step.checkpoints);
        let Some(vm) = self.vms.get_mut(name) else {
            return;
        };
        tracing::info!(
            task = %key.task,
            run = key.run,
            vm = %name,
            resumes = checkpoint.is_some(),
            job_age_ms = now.since(known_since).as_millis() as u64,
            "start"
        );
        let role = role_of(step);
        vm.hold(
            key.clone(),
            Held {
                phase: Phase::Ordered,
                since: now,
                reserved: step.reserved(),
                role: role.clone(),
                is_doubtful: false,
                stop_sent: None,
                undisturbed: None,
                idle_since: None,
            },
        );
        vm.starts.push(StartOrder {
            key,
            spec: Arc::clone(&job.spec),
            checkpoint,
            ticket: None,
            role,
        });
    }
}

/// The occurrences whose time has come and that are not finished.
fn due(entry: &JobEntry, wall: Time) -> Vec<u32> {
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

pub(super) fn count_beside(state: &StepState) -> BTreeMap<VmName, u32> {
    let mut beside = BTreeMap::new();
    for task in &state.tasks {
        for (vm, _) in &task.runs {
            *beside.entry(vm.clone()).or_default() += 1;
        }
    }
    beside
}

fn objective(entry: &JobEntry, queue: &Queue) -> Duration {
    let chain = Duration::from_millis(entry.job.longest_chain_millis());
    chain.mul_f64(queue.slack_factor.max(1.0)) + queue.target_latency
}
