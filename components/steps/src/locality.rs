//! Delay scheduling: how long a wait for a place in the wished rack pays.
//!
//! Tasks take longer on a rack away from their data, and so do the tasks of one step that
//! share no rack. A wait costs time as well, so it has to be shorter than what the near place
//! saves, and must not make a job late that would be in time on the far place. What the module
//! learns is how soon places become free in each rack; it reserves nothing. See
//! `docs/design/locality-wait.md`.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use kernel::{JobName, Resources, ServiceName, Time};

use crate::Step;

/// Time over which the rate of freed places is averaged. Waves of jobs for one rack last about
/// 5.5 s, so an average over much longer would follow the next wave only at its end.
const MEMORY: Duration = Duration::from_secs(4);
/// Number of freed places from which the rate counts as learnt.
const LEARNT_PLACES: u32 = 3;
/// Time after which the rate counts as learnt whatever became free: a rack in which nothing
/// became free for so long is as slow as that.
const LEARNT_AFTER: Duration = Duration::from_secs(2);
/// Share of the saving for which a task waits before anything has been learnt.
const UNLEARNT_FRACTION: f64 = 0.25;
/// The most sizes of tasks of which a rack's supply is followed. The one that was asked for
/// longest ago makes room for another.
const MAX_SIZES: usize = 32;
/// Time that a start takes beyond the duration of its task: passes, orders and reports. A wait that
/// used the slack to its end would make the job late by it.
const START_MARGIN: Duration = Duration::from_millis(150);
/// A job that is later than this many times its objective has no value left.
const LAST_OBJECTIVES: u32 = 3;

/// The workers of a service in one rack.
pub type Rack = (ServiceName, Arc<str>);
/// A step in one occurrence of a job: the job, the occurrence and the index of the step.
pub type StepKey = (JobName, u32, usize);

/// What is free on a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Room {
    /// Resources without a reservation.
    pub available: Resources,
    /// CPU time that best-effort tasks can use at an acceptable speed, in thousandths of a core.
    pub headroom_milli: i64,
}

/// Size of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Size {
    cpu_milli: u64,
    memory_mib: u64,
    accelerators: u32,
    is_best_effort: bool,
}

impl Size {
    /// Size of each task of the step.
    #[must_use]
    pub fn of(step: &Step) -> Self {
        Self {
            cpu_milli: step.need.cpu_milli,
            memory_mib: step.need.memory_mib,
            accelerators: step.need.accelerators,
            is_best_effort: step.best_effort,
        }
    }

    /// Rounds down, so that tasks of similar sizes share what is learnt. A size that is rounded up
    /// would not fit the place that a task of the same size has left.
    const fn rounded(self) -> Self {
        Self {
            cpu_milli: round_down(self.cpu_milli),
            memory_mib: round_down(self.memory_mib),
            ..self
        }
    }

    /// Number of tasks of this size for which there is room.
    #[must_use]
    pub fn places(&self, room: &Room) -> u64 {
        let cpu_milli = match self.is_best_effort {
            true => u64::try_from(room.headroom_milli).unwrap_or_default(),
            false => room.available.cpu_milli,
        };
        let by_cpu = cpu_milli.checked_div(self.cpu_milli);
        let by_memory = room.available.memory_mib.checked_div(self.memory_mib);
        let accelerators = room.available.accelerators.checked_div(self.accelerators);
        let limits = [by_cpu, by_memory, accelerators.map(u64::from)];
        limits.into_iter().flatten().min().unwrap_or_default()
    }
}

/// Rounds down to a number with two significant binary digits.
const fn round_down(value: u64) -> u64 {
    if value < 4 {
        return value;
    }
    let digits = value.ilog2() - 1;
    (value >> digits) << digits
}

/// Rate at which places for tasks of one size become free in one rack.
#[derive(Clone, Debug)]
struct Supply {
    size: Size,
    /// Decaying number of places that became free.
    places: f64,
    /// Decaying time in which they did, in seconds.
    span: f64,
    /// Number of places that became free, without decay.
    freed: u32,
    first_asked: Time,
    last_asked: Time,
    updated: Time,
}

impl Supply {
    const fn new(size: Size, now: Time) -> Self {
        Self {
            size,
            places: 0.0,
            span: 0.0,
            freed: 0,
            first_asked: now,
            last_asked: now,
            updated: now,
        }
    }

    fn decay(&mut self, now: Time) {
        let elapsed = now.since(self.updated).as_secs_f64();
        let kept = (-elapsed / MEMORY.as_secs_f64()).exp();
        self.places *= kept;
        self.span = self.span.mul_add(kept, MEMORY.as_secs_f64() * (1.0 - kept));
        self.updated = now;
    }

    /// Places that become free in a second; `None` until that is learnt.
    fn rate(&mut self, now: Time) -> Option<f64> {
        self.decay(now);
        let is_learnt =
            self.freed >= LEARNT_PLACES || (self.first_asked + LEARNT_AFTER).passed(now);
        (is_learnt && self.span > 0.0).then(|| self.places / self.span)
    }
}

/// What is known about how soon places become free.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Expectation {
    /// Places that became free in a second, on average.
    Learnt(f64),
    /// Nothing is learnt. The rack has this many places, free or not.
    Unlearnt(u64),
}

/// The tasks of a step for which there is no near place now, and what they lose by a far one.
#[derive(Clone, Copy, Debug)]
pub struct Wish {
    /// Current time.
    pub now: Time,
    /// When the step first found no near place.
    pub since: Time,
    /// Number of tasks.
    pub tasks: usize,
    /// Near places that are free now, but too few for tasks that need them at the same time; 0 for
    /// tasks that start one by one.
    pub free: u64,
    /// Number of the tasks that wait already.
    pub waiting: usize,
    /// Number of other tasks that wait for the same rack.
    pub ahead: usize,
    /// Duration of a task on the near place.
    pub near: Duration,
    /// Duration of a task on a far place.
    pub far: Duration,
    /// Until when the job may wait without more loss than by a far place now; `None` if it has
    /// nothing to lose.
    pub slack_until: Option<Time>,
    /// When the job takes any worker, since nothing of it runs; `None` if something does.
    pub idle_until: Option<Time>,
    /// How soon places become free.
    pub expectation: Expectation,
}

/// Why tasks wait, or why they do not.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// A near place is expected in time.
    Expected,
    /// The tasks have waited for as long as the near place would save.
    NoSaving,
    /// A longer wait would make the job late.
    NoSlack,
    /// The job has nothing running and takes any worker.
    Idle,
    /// Too few places become free for the tasks that wait.
    TooSlow,
    /// No worker of the rack may take the tasks.
    NoWorker,
}

/// Whether the tasks of a step wait, and for how long.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Decision {
    /// Number of tasks that wait: all of them, or 0 if they take far places.
    pub tasks: usize,
    /// When the wait ends in any case.
    pub until: Time,
    /// Why they do not wait, or [`Reason::Expected`] if they do.
    pub reason: Reason,
}

/// Decides whether the tasks wait for near places.
#[must_use]
pub fn decide(wish: &Wish) -> Decision {
    let saving = wish.far.saturating_sub(wish.near);
    let share = match wish.expectation {
        Expectation::Learnt(_) => 1.0,
        Expectation::Unlearnt(_) => UNLEARNT_FRACTION,
    };
    let mut until = (wish.since + saving.mul_f64(share), Reason::NoSaving);
    let limits = [
        (wish.slack_until, Reason::NoSlack),
        (wish.idle_until, Reason::Idle),
    ];
    for (limit, reason) in limits {
        if let Some(limit) = limit.filter(|limit| *limit < until.0) {
            until = (limit, reason);
        }
    }
    let (until, end_reason) = until;
    if until.passed(wish.now) {
        return Decision {
            tasks: 0,
            until,
            reason: end_reason,
        };
    }
    let rate = match wish.expectation {
        Expectation::Learnt(rate) => rate,
        // Each place is taken to become free once in the duration of a task.
        Expectation::Unlearnt(places) => places as f64 / wish.near.as_secs_f64().max(0.001),
    };
    let expected_from = |from: Time| (rate * until.since(from).as_secs_f64()) as usize;
    let open = expected_from(wish.now).saturating_sub(wish.ahead);
    // Tasks that wait already have been counted by those that came later. They go on, unless the
    // rate has fallen: places come at random, so a part of the wait without one says little.
    let open = match wish.waiting >= wish.tasks {
        true => open.max(expected_from(wish.since)),
        false => open,
    };
    // A step ends with its last task, so one that goes far takes the gain from all.
    let free = usize::try_from(wish.free).unwrap_or(usize::MAX);
    let tasks = match wish.tasks.saturating_sub(free) <= open {
        true => wish.tasks,
        false => 0,
    };
    let reason = match tasks == wish.tasks {
        true => Reason::Expected,
        false => Reason::TooSlow,
    };
    Decision {
        tasks,
        until,
        reason,
    }
}

/// Objective of a job and what is left of it.
#[derive(Clone, Copy, Debug)]
pub struct Objective {
    /// When the objective began to count.
    pub since: Time,
    /// Time within which the job is in time.
    pub span: Duration,
    /// Longest chain of estimated durations after the step.
    pub rest: Duration,
    /// The same if the later steps run on far places.
    pub far_rest: Duration,
}

/// Until when tasks may wait for a near place without more loss than by a far place now. A job
/// that is in time on the far place stays so, also if its later steps find far places only, as long
/// as that is possible. One that is late on the far place now goes by the time from which it has no
/// value, so it may wait for the near place on which it can be in time. `None` if the far place
/// gives it no value.
#[must_use]
pub fn slack_until(now: Time, objective: &Objective, far: Duration) -> Option<Time> {
    for objectives in [1, LAST_OBJECTIVES] {
        let end = objective.since + objective.span.saturating_mul(objectives);
        for rest in [objective.far_rest, objective.rest] {
            let latest = end - far - rest - START_MARGIN;
            if !latest.passed(now) {
                return Some(latest);
            }
        }
    }
    None
}

/// What is fixed when a step first finds no near place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WaitBegin {
    /// When that was.
    pub at: Time,
    /// Until when the job had slack then; see [`slack_until`]. Determined anew it would move on
    /// once it has passed.
    pub slack_until: Option<Time>,
}

/// Tasks of a step that wait for a near place.
#[derive(Clone, Debug)]
struct Wait {
    rack: Rack,
    began: WaitBegin,
    until: Time,
    /// Number of tasks that wait.
    tasks: usize,
}

/// What a change of a wait means for its tasks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WaitChange {
    /// Tasks that waited before.
    pub before: usize,
    /// Tasks that wait now.
    pub after: usize,
    /// How long the step has waited.
    pub waited: Duration,
}

/// Learnt supply of places by rack and size, and the steps that wait for one.
#[derive(Debug, Default)]
pub struct Locality {
    supplies: BTreeMap<Rack, Vec<Supply>>,
    waits: BTreeMap<StepKey, Wait>,
    /// Number of tasks that wait for each rack; no entry for none.
    waiting: BTreeMap<Rack, usize>,
    /// When the waits end.
    deadlines: BTreeSet<(Time, StepKey)>,
}

impl Locality {
    /// Places for tasks of this size that become free in the rack in a second; `None` until that
    /// is learnt. The rack's supply for this size is followed from the first call on.
    pub fn rate(&mut self, now: Time, rack: &Rack, size: Size) -> Option<f64> {
        let size = size.rounded();
        let supplies = self.supplies.entry(rack.clone()).or_default();
        if let Some(supply) = supplies.iter_mut().find(|supply| supply.size == size) {
            supply.last_asked = now;
            return supply.rate(now);
        }
        if supplies.len() >= MAX_SIZES {
            let oldest = supplies.iter().enumerate();
            if let Some((index, _)) = oldest.min_by_key(|(_, supply)| supply.last_asked) {
                supplies.swap_remove(index);
            }
        }
        supplies.push(Supply::new(size, now));
        None
    }

    /// Records that the room of a worker of the rack has changed as a run ended.
    pub fn record_end(&mut self, now: Time, rack: &Rack, before: &Room, after: &Room) {
        for supply in self.supplies.get_mut(rack).into_iter().flatten() {
            let freed = supply.size.places(after);
            let freed = freed.saturating_sub(supply.size.places(before));
            supply.decay(now);
            supply.places += freed as f64;
            let freed = u32::try_from(freed).unwrap_or(u32::MAX);
            supply.freed = supply.freed.saturating_add(freed);
        }
    }

    /// Records that a task which does not wait for the rack took room there. While others wait,
    /// the places that it took are not for them.
    pub fn record_other_start(&mut self, now: Time, rack: &Rack, before: &Room, after: &Room) {
        if !self.waiting.contains_key(rack) {
            return;
        }
        for supply in self.supplies.get_mut(rack).into_iter().flatten() {
            let taken = supply.size.places(before);
            let taken = taken.saturating_sub(supply.size.places(after));
            supply.decay(now);
            supply.places = (supply.places - taken as f64).max(0.0);
        }
    }

    /// Number of tasks of other steps that wait for the rack.
    #[must_use]
    pub fn ahead(&self, rack: &Rack, step: &StepKey) -> usize {
        let all = self.waiting.get(rack).copied().unwrap_or_default();
        all.saturating_sub(self.waiting_of(rack, step))
    }

    /// Number of tasks of the step that wait for the rack.
    #[must_use]
    pub fn waiting_of(&self, rack: &Rack, step: &StepKey) -> usize {
        let wait = self.waits.get(step).filter(|wait| wait.rack == *rack);
        wait.map_or(0, |wait| wait.tasks)
    }

    /// What was fixed when the step first found no near place; `None` if it always did.
    #[must_use]
    pub fn began(&self, step: &StepKey) -> Option<WaitBegin> {
        self.waits.get(step).map(|wait| wait.began)
    }

    /// Sets how many tasks of a step wait for a rack, and until when.
    pub fn set(
        &mut self,
        now: Time,
        step: &StepKey,
        rack: &Rack,
        began: WaitBegin,
        until: Time,
        tasks: usize,
    ) -> WaitChange {
        let known = self.remove(step);
        if tasks > 0 {
            *self.waiting.entry(rack.clone()).or_default() += tasks;
            self.deadlines.insert((until, step.clone()));
        }
        let wait = Wait {
            rack: rack.clone(),
            began,
            until,
            tasks,
        };
        self.waits.insert(step.clone(), wait);
        WaitChange {
            before: known.map_or(0, |wait| wait.tasks),
            after: tasks,
            waited: now.since(began.at),
        }
    }

    /// Records that tasks of a step have started on near places. Returns the change of its wait.
    pub fn found(&mut self, now: Time, step: &StepKey, tasks: usize) -> WaitChange {
        let Some(wait) = self.waits.get(step).cloned() else {
            return WaitChange::default();
        };
        let left = wait.tasks.saturating_sub(tasks);
        self.set(now, step, &wait.rack, wait.began, wait.until, left)
    }

    /// Forgets the wait of a step of which no task is left to start. Returns the change of it.
    pub fn end(&mut self, now: Time, step: &StepKey) -> WaitChange {
        self.remove(step)
            .map_or_else(WaitChange::default, |wait| WaitChange {
                before: wait.tasks,
                after: 0,
                waited: now.since(wait.began.at),
            })
    }

    /// Forgets the waits of a job that has ended.
    pub fn forget_job(&mut self, job: &JobName) {
        let first = (job.clone(), 0, 0);
        let steps = self.waits.range(first..).map(|(step, _)| step);
        let of_job = steps.take_while(|(name, ..)| name == job);
        let steps: Vec<StepKey> = of_job.cloned().collect();
        for step in steps {
            self.remove(&step);
        }
    }

    fn remove(&mut self, step: &StepKey) -> Option<Wait> {
        let wait = self.waits.remove(step)?;
        self.deadlines.remove(&(wait.until, step.clone()));
        if let Some(waiting) = self.waiting.get_mut(&wait.rack) {
            *waiting = waiting.saturating_sub(wait.tasks);
            if *waiting == 0 {
                self.waiting.remove(&wait.rack);
            }
        }
        Some(wait)
    }

    /// Number of tasks that wait for a rack.
    #[must_use]
    pub fn waiting(&self, rack: &Rack) -> usize {
        self.waiting.get(rack).copied().unwrap_or_default()
    }

    /// When the next wait ends; `None` if there is none.
    #[must_use]
    pub fn next_deadline(&self) -> Option<Time> {
        self.deadlines.first().map(|(at, _)| *at)
    }

    /// Removes the deadlines that have passed; returns whether there was one.
    pub fn take_due(&mut self, now: Time) -> bool {
        let mut is_due = false;
        while self.deadlines.first().is_some_and(|(at, _)| at.passed(now)) {
            self.deadlines.pop_first();
            is_due = true;
        }
        is_due
    }
}
