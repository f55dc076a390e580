//! Decides whether an entry accepts a job or refuses it because it can't be served in time.
//!
//! The owner summarizes the work that waits and the rate at which work has drained
//! ([`LoadSummary`]); the entry that takes a submit decides by it. The estimate is optimistic:
//! estimates of durations are wrong by up to 90%, and refusing a job that could have been served
//! costs its caller more than accepting one that is late. See `docs/design/admission.md`.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use kernel::{Resources, ServiceName, Time};
use proto::Method;
use serde::{Deserialize, Serialize};

use crate::{Job, Queue, Step};

/// Multiple of its objective after which a job is worth nothing to its caller.
pub const HOPELESS_AFTER_OBJECTIVES: u32 = 3;
/// Shortest time over which a drain rate counts: three times the usual duration of a task.
pub const MIN_EVIDENCE: Duration = Duration::from_secs(3);
/// Age from which on a summary counts no more. Four times the interval at which entries ask, so
/// one lost call does not make an entry accept everything.
pub const MAX_SUMMARY_AGE: Duration = Duration::from_secs(2);
/// Bounds of the time after which a refused client may try again.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);
/// Maximum number of labels of a queue that are told apart, since clients choose them. Work for
/// further ones is not counted.
const MAX_LABELS: usize = 32;

/// Task time by resource: amounts of a resource times milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Work {
    /// Thousandths of a core times milliseconds.
    pub cpu: u64,
    /// MiB times milliseconds.
    pub memory: u64,
    /// Accelerators times milliseconds.
    pub accelerators: u64,
}

impl Work {
    /// Work that uses an amount of resources for a time.
    #[must_use]
    pub const fn new(need: Resources, millis: u64) -> Self {
        Self {
            cpu: need.cpu_milli.saturating_mul(millis),
            memory: need.memory_mib.saturating_mul(millis),
            accelerators: (need.accelerators as u64).saturating_mul(millis),
        }
    }

    /// Work of some tasks of a step, by its estimate.
    #[must_use]
    pub const fn of_tasks(step: &Step, tasks: usize) -> Self {
        let millis = step.estimate_millis.saturating_mul(tasks as u64);
        Self::new(step.need, millis)
    }

    /// Returns the sum, saturating at the largest value.
    #[must_use]
    pub const fn plus(self, other: Self) -> Self {
        Self {
            cpu: self.cpu.saturating_add(other.cpu),
            memory: self.memory.saturating_add(other.memory),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    /// Returns the difference, zero where `other` is larger.
    #[must_use]
    pub const fn minus(self, other: Self) -> Self {
        Self {
            cpu: self.cpu.saturating_sub(other.cpu),
            memory: self.memory.saturating_sub(other.memory),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }

    /// Returns the larger amount of each resource.
    #[must_use]
    pub fn max(self, other: Self) -> Self {
        Self {
            cpu: self.cpu.max(other.cpu),
            memory: self.memory.max(other.memory),
            accelerators: self.accelerators.max(other.accelerators),
        }
    }

    const fn by_resource(self) -> [u64; 3] {
        [self.cpu, self.memory, self.accelerators]
    }
}

/// Work of tasks that have no run.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaitingWork {
    /// Work of tasks that any worker may take.
    pub unlabelled: Work,
    /// Work of tasks that only workers with this label may take.
    pub labelled: BTreeMap<Arc<str>, Work>,
}

impl WaitingWork {
    /// Adds work of tasks with a label or without one.
    pub fn add(&mut self, label: Option<&Arc<str>>, work: Work) {
        let Some(label) = label else {
            self.unlabelled = self.unlabelled.plus(work);
            return;
        };
        let is_known = self.labelled.contains_key(label);
        if is_known || self.labelled.len() < MAX_LABELS {
            let known = self.labelled.entry(Arc::clone(label)).or_default();
            *known = known.plus(work);
        }
    }

    /// Work that may run before tasks of the job. Other labels are left out, since the workers
    /// that have them may be others than those of the job.
    fn ahead_of(&self, job: &Job) -> Work {
        let has_label = |label: &Arc<str>| {
            let mut labels = job.steps.iter().filter_map(|step| step.label.as_ref());
            labels.any(|known| known == label)
        };
        let labelled = self.labelled.iter().filter(|(label, _)| has_label(label));
        labelled.fold(self.unlabelled, |sum, (_, work)| sum.plus(*work))
    }
}

/// Waiting work of a queue. Jobs that are worth nothing any more are left out, since they yield
/// to all others.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueueLoad {
    /// Name of the queue.
    pub queue: Arc<str>,
    /// Priority of its jobs; 0 is the highest.
    pub priority: u32,
    /// Work of jobs that can still be in time.
    pub in_time: WaitingWork,
    /// Work of late jobs, which yield to those.
    pub late: WaitingWork,
}

impl QueueLoad {
    /// A queue without waiting work.
    #[must_use]
    pub fn new(queue: Arc<str>, priority: u32) -> Self {
        Self {
            queue,
            priority,
            in_time: WaitingWork::default(),
            late: WaitingWork::default(),
        }
    }

    fn ahead_of(&self, job: &Job, ahead: Ahead) -> Work {
        let in_time = self.in_time.ahead_of(job);
        match ahead {
            Ahead::InTime => in_time,
            Ahead::WithLate => in_time.plus(self.late.ahead_of(job)),
        }
    }
}

/// Which jobs get their turn before another.
#[derive(Clone, Copy, Debug)]
enum Ahead {
    /// Those that can still be in time, as long as it can be in time itself.
    InTime,
    /// Late ones too: all of them have an earlier deadline. Those that drop out while they wait
    /// do not help it, since it drops out after the same number of objectives.
    WithLate,
}

/// What a service has done over the last seconds, without a gap.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Drain {
    /// Length of the time that was measured, in milliseconds.
    pub span_millis: u64,
    /// Work that drained in this time.
    pub work: Work,
    /// Most of each resource that was free on a worker after a scheduling pass in this time.
    pub free: Resources,
    /// The largest best-effort task that would have run fast enough on a worker then, in
    /// thousandths of a core; below zero if none would.
    pub headroom_milli: i64,
}

impl Drain {
    /// Whether a task of the step might have found a worker.
    fn had_room_for(&self, step: &Step) -> bool {
        let need = i64::try_from(step.need.cpu_milli).unwrap_or(i64::MAX);
        step.reserved().fits(self.free) && (!step.best_effort || need <= self.headroom_milli)
    }

    /// Time in which an amount of each resource drains; `None` where none has drained.
    fn times(&self, work: Work) -> [Option<Duration>; 3] {
        let (ahead, drained) = (work.by_resource(), self.work.by_resource());
        [0, 1, 2].map(|resource| {
            let rate = drained[resource] as f64 / self.span_millis.max(1) as f64;
            let millis = ahead[resource] as f64 / rate;
            (drained[resource] > 0).then(|| Duration::from_secs_f64((millis / 1e3).min(1e9)))
        })
    }
}

/// Load of one service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceLoad {
    /// Name of the service.
    pub service: ServiceName,
    /// Waiting work by queue; queues without any may be left out.
    pub queues: Vec<QueueLoad>,
    /// What has drained; `None` until it has been measured for [`MIN_EVIDENCE`].
    pub drain: Option<Drain>,
}

/// What the owner tells entries about the load, derived from its state.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadSummary {
    /// Epoch of the owner.
    pub epoch: u64,
    /// Whether the owner does not know yet all that runs.
    pub is_recovering: bool,
    /// Load by service.
    pub services: Vec<ServiceLoad>,
}

/// Request of an entry to the owner for its [`LoadSummary`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LoadQuery {}

/// Reply to a [`LoadQuery`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LoadReply {
    /// Age of the summary as the owner replied.
    pub age_millis: u64,
    /// The last summary.
    pub summary: Arc<LoadSummary>,
}

/// The RPC method that takes a [`LoadQuery`].
#[derive(Debug)]
pub struct LoadCall;

impl Method for LoadCall {
    const PATH: &'static str = "/hemlockmoor.Owner/Load";
    type Req = LoadQuery;
    type Resp = LoadReply;
}

/// Why a job is accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcceptReason {
    /// It is long-running or scheduled, or has no objective.
    Exempt,
    /// There is no recent summary of the present owner.
    NoSummary,
    /// The owner is recovering.
    Recovering,
    /// The drain rate is not known.
    NoRate,
    /// A worker may have had room for one of its tasks.
    FreeCapacity,
    /// It may end before it is worth nothing.
    CanEnd,
}

/// Estimate by which a job is accepted or refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Estimate {
    /// Work ahead of the job.
    pub ahead: Work,
    /// Work that has drained in `span`.
    pub drained: Work,
    /// Time for which the drain was measured.
    pub span: Duration,
    /// Time until the first tasks of the job get their turn.
    pub wait: Duration,
}

/// Decision on a submitted job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The job is accepted; the estimate is `None` if none was needed.
    Accept(AcceptReason, Option<Estimate>),
    /// The job is refused.
    Refuse {
        /// Why it can't be served.
        estimate: Estimate,
        /// Whole seconds after which a client may try again.
        retry_after: Duration,
    },
}

impl Decision {
    /// Whether the job is refused.
    #[must_use]
    pub const fn is_refusal(&self) -> bool {
        matches!(self, Self::Refuse { .. })
    }
}

/// Decides on a job of a queue, by a summary of the present owner and its age.
#[must_use]
pub fn decide(job: &Job, queue: &Queue, summary: Option<(&LoadSummary, Duration)>) -> Decision {
    use AcceptReason::{CanEnd, Exempt, FreeCapacity, NoRate, NoSummary, Recovering};

    let accept = |reason| Decision::Accept(reason, None);
    let objective = queue.objective(job);
    if job.is_long_running() || job.schedule.is_some() || objective.is_zero() {
        return accept(Exempt);
    }
    let recent = summary.filter(|(_, age)| *age < MAX_SUMMARY_AGE);
    let Some((summary, _)) = recent else {
        return accept(NoSummary);
    };
    if summary.is_recovering {
        return accept(Recovering);
    }
    let mut services = summary.services.iter();
    let load = services.find(|load| load.service == queue.service);
    let Some((load, drain)) = load.and_then(|load| Some((load, load.drain?))) else {
        return accept(NoRate);
    };
    if Duration::from_millis(drain.span_millis) < MIN_EVIDENCE {
        return accept(NoRate);
    }
    if job.steps.iter().any(|step| drain.had_room_for(step)) {
        return accept(FreeCapacity);
    }
    let Some(estimate) = estimate(job, queue, load, &drain, Ahead::InTime) else {
        return accept(NoRate);
    };
    let chain = Duration::from_millis(job.longest_chain_millis());
    if estimate.wait + chain <= objective {
        return Decision::Accept(CanEnd, Some(estimate));
    }
    let Some(estimate) = self::estimate(job, queue, load, &drain, Ahead::WithLate) else {
        return accept(NoRate);
    };
    let last = objective * HOPELESS_AFTER_OBJECTIVES;
    let excess = (estimate.wait + chain).saturating_sub(last);
    if excess.is_zero() {
        return Decision::Accept(CanEnd, Some(estimate));
    }
    Decision::Refuse {
        estimate,
        retry_after: retry_after(excess),
    }
}

/// Estimates the wait of a job; `None` if the rate of no resource that it needs is known.
fn estimate(
    job: &Job,
    queue: &Queue,
    load: &ServiceLoad,
    drain: &Drain,
    ahead: Ahead,
) -> Option<Estimate> {
    let ahead = work_ahead(job, queue, load, ahead);
    // Another resource than the scarce one may drain more slowly than it could, so the shortest
    // time counts.
    let needed = needed_resources(job).into_iter().zip(drain.times(ahead));
    let times = needed.filter_map(|(is_needed, time)| time.filter(|_| is_needed));
    Some(Estimate {
        ahead,
        drained: drain.work,
        span: Duration::from_millis(drain.span_millis),
        wait: times.min()?,
    })
}

/// Whole seconds until enough of the work ahead has drained for the same job to be accepted.
fn retry_after(excess: Duration) -> Duration {
    let whole = Duration::from_secs(excess.as_secs_f64().ceil() as u64);
    whole.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
}

/// Whether a task of the job needs each resource.
fn needed_resources(job: &Job) -> [bool; 3] {
    let needs = job.steps.iter().map(|step| step.need);
    let sum = needs.fold(Resources::NONE, Resources::plus);
    Work::new(sum, 1).by_resource().map(|amount| amount > 0)
}

/// Work ahead of a job: that of higher priorities, and of its own one. A queue with less than an
/// equal share of what waits in its priority does not wait behind what other queues have beyond
/// theirs, so only its own work counts there.
fn work_ahead(job: &Job, queue: &Queue, load: &ServiceLoad, ahead: Ahead) -> Work {
    let (mut higher, mut own, mut same) = (Work::default(), Work::default(), Work::default());
    let mut queues = 1;
    for other in &load.queues {
        let work = other.ahead_of(job, ahead);
        if other.queue == queue.name {
            own = own.plus(work);
        } else if other.priority < queue.priority {
            higher = higher.plus(work);
        } else if other.priority == queue.priority && work != Work::default() {
            same = same.plus(work);
            queues += 1;
        }
    }
    let of_resource = |higher: u64, own: u64, others: u64| {
        let total = own.saturating_add(others);
        let is_below_share = own.saturating_mul(queues) < total;
        higher.saturating_add(if is_below_share { own } else { total })
    };
    Work {
        cpu: of_resource(higher.cpu, own.cpu, same.cpu),
        memory: of_resource(higher.memory, own.memory, same.memory),
        accelerators: of_resource(higher.accelerators, own.accelerators, same.accelerators),
    }
}

/// Limits the log lines on refusals, so that an overload does not fill the log.
#[derive(Clone, Copy, Debug, Default)]
pub struct LineLimit {
    since: Option<Time>,
    lines: u32,
    left_out: u64,
}

impl LineLimit {
    /// Lines that may be written in one second.
    pub const LINES_A_SECOND: u32 = 10;

    /// Returns how many lines were left out since the last one if a line may be written now;
    /// `None` if this one is left out too.
    pub fn admit(&mut self, now: Time) -> Option<u64> {
        let is_over = |since: Time| (since + Duration::from_secs(1)).passed(now);
        if self.since.is_none_or(is_over) {
            self.since = Some(now);
            self.lines = 0;
        }
        if self.lines == Self::LINES_A_SECOND {
            self.left_out += 1;
            return None;
        }
        self.lines += 1;
        Some(std::mem::take(&mut self.left_out))
    }
}
