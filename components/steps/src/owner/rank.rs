//! The order in which jobs get free capacity.
//!
//! Priority comes first; within one, jobs that can still be in time come before late ones, since
//! under overload an order by deadline alone would make all jobs late. After a loss of most runs,
//! long-running tasks and jobs of the first priority start before the rest. See
//! `docs/design/admission.md`.

use std::{collections::BTreeMap, time::Duration};

use kernel::{JobName, Time};

use super::{Owner, entry::JobEntry};
use crate::{Queue, admission::HOPELESS_AFTER_OBJECTIVES};

/// Objectives after which a late job has waited for long: it has one left in which it is worth
/// something.
const AGED_AFTER_OBJECTIVES: u32 = 2;
/// Starts of other jobs of the same priority for each start of a job that has waited for long,
/// which then get 6% of the starts. A pass may give such a job all that is free; it pays back.
pub const STARTS_PER_AGED_START: u64 = 16;
/// Most starts that a job which has waited for long may be owed: those of one large job.
const MAX_AGED_STARTS: u64 = 20;
/// Time after a mass loss during which jobs start in the order of a restart. Callers of large
/// jobs were seen to be badly served for 12 s after a loss of power.
const RESTART_SPAN: Duration = Duration::from_secs(12);
/// Time for which a job that could not use a start it was owed is not owed any. Without it, one job
/// that fits nowhere would keep all other late jobs of its priority from their share.
const PASSED_OVER_FOR: Duration = Duration::from_secs(1);

/// Whether a job can still meet its objective, best first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Timeliness {
    /// The objective has not passed.
    OnTime,
    /// The objective has passed.
    Late,
    /// The job is worth nothing any more.
    Hopeless,
}

/// What decides the rank of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Standing {
    /// Priority of the job's queue; 0 is the highest.
    pub priority: u32,
    /// Whether the queue has the highest priority of all.
    pub is_first_priority: bool,
    /// Whether tasks of the job run until it is cancelled.
    pub is_long_running: bool,
    /// When the objective begins to count.
    pub known_since: Time,
    /// Time within which the job should be done; `None` if it has no deadline.
    pub objective: Option<Duration>,
    /// Whether a started step waits only for its last tasks.
    pub has_last_tasks: bool,
    /// Whether tasks are done or have saved checkpoints.
    pub has_progress: bool,
}

impl Standing {
    fn timeliness(&self, now: Time) -> Timeliness {
        let is_after = |objectives: u32| {
            let objective = self.objective.map(|objective| objective * objectives);
            objective.is_some_and(|objective| (self.known_since + objective).passed(now))
        };
        match (is_after(1), is_after(HOPELESS_AFTER_OBJECTIVES)) {
            (_, true) => Timeliness::Hopeless,
            (true, false) => Timeliness::Late,
            (false, false) => Timeliness::OnTime,
        }
    }

    fn has_waited_for_long(&self, now: Time) -> bool {
        let objective = self.objective.map(|it| it * AGED_AFTER_OBJECTIVES);
        objective.is_some_and(|objective| (self.known_since + objective).passed(now))
    }
}

/// Place of a job in the order of starts; the least is first.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct JobRank {
    /// Whether the job waits for others after a mass loss; false without one.
    yields_after_loss: bool,
    /// Priority of the job's queue.
    pub priority: u32,
    /// Whether it is not the job that has waited for longest and is owed a start.
    is_not_owed: bool,
    timeliness: Timeliness,
    /// After a mass loss, whether the job would start from its beginning.
    lacks_progress: bool,
    has_no_last_tasks: bool,
    deadline: Time,
    job: JobName,
    known_since: Time,
    has_waited_for_long: bool,
}

impl JobRank {
    /// Ranks a job, in the order of a restart or the usual one.
    #[must_use]
    pub fn new(now: Time, job: JobName, standing: &Standing, is_restart: bool) -> Self {
        let timeliness = standing.timeliness(now);
        let is_on_time = timeliness == Timeliness::OnTime;
        let is_urgent = standing.is_long_running || (standing.is_first_priority && is_on_time);
        Self {
            yields_after_loss: is_restart && !is_urgent,
            priority: standing.priority,
            is_not_owed: true,
            timeliness,
            lacks_progress: is_restart && !standing.has_progress,
            has_no_last_tasks: !(is_on_time && standing.has_last_tasks),
            deadline: standing.known_since + standing.objective.unwrap_or_default(),
            job,
            known_since: standing.known_since,
            has_waited_for_long: standing.has_waited_for_long(now),
        }
    }

    /// Ranks the job by its deadline though it has waited for long.
    pub const fn pass_over(&mut self) {
        self.has_waited_for_long = false;
    }

    /// Name of the job.
    #[must_use]
    pub const fn job(&self) -> &JobName {
        &self.job
    }

    /// Whether the job ranks before others since it has waited for long.
    #[must_use]
    pub const fn is_owed(&self) -> bool {
        !self.is_not_owed
    }
}

/// Starts that are owed to jobs which have waited for long, in one priority.
#[derive(Clone, Copy, Debug, Default)]
pub struct Aging {
    /// Starts of other jobs that are not paid back yet; below zero after a large job.
    credit: i64,
}

impl Aging {
    /// Records starts of a job, and whether it had been owed them.
    pub fn record_starts(&mut self, starts: u64, was_owed: bool) {
        let starts = i64::try_from(starts).unwrap_or(i64::MAX);
        let per_start = STARTS_PER_AGED_START as i64;
        let change = if was_owed {
            -starts.saturating_mul(per_start)
        } else {
            starts
        };
        let most = MAX_AGED_STARTS as i64 * per_start;
        self.credit = self.credit.saturating_add(change).min(most);
    }

    const fn owes_a_start(self) -> bool {
        self.credit >= STARTS_PER_AGED_START as i64
    }
}

/// Sorts jobs, and moves the one that has waited for longest to the front of each priority that
/// owes it a start. It goes by arrival, not by what the job is worth: among jobs that are all
/// late, a large one would starve otherwise.
pub fn sort(ranks: &mut [JobRank], aging: impl Fn(u32) -> Aging) {
    let mut oldest: BTreeMap<u32, (Time, usize)> = BTreeMap::new();
    for (index, rank) in ranks.iter().enumerate() {
        if rank.has_waited_for_long && aging(rank.priority).owes_a_start() {
            let found = oldest.entry(rank.priority).or_insert((Time::MAX, index));
            *found = (*found).min((rank.known_since, index));
        }
    }
    for (_, index) in oldest.into_values() {
        ranks[index].is_not_owed = false;
    }
    ranks.sort_unstable();
}

impl Owner {
    /// Notes that most runs were lost at about the same time.
    pub(super) fn note_mass_loss(&mut self, now: Time, why: &'static str) {
        if !self.is_restart(now) {
            tracing::info!(
                epoch = self.epoch,
                why,
                span_ms = RESTART_SPAN.as_millis() as u64,
                "mass loss: long-running tasks and jobs of the first priority start before the rest"
            );
        }
        self.restart_until = Some(now + RESTART_SPAN);
    }

    pub(super) fn is_restart(&self, now: Time) -> bool {
        self.restart_until.is_some_and(|until| !until.passed(now))
    }

    /// Notices that a new owner finds most long-running tasks down.
    pub(super) fn review_takeover(&mut self, now: Time) {
        if self.has_reviewed_takeover || !self.are_jobs_loaded || self.is_recovering() {
            return;
        }
        self.has_reviewed_takeover = true;
        let (mut known, mut down) = (0, 0);
        let found = self.jobs.values().filter(|entry| entry.outcome.is_none());
        // Jobs that arrive for the first time are no loss.
        for entry in found.filter(|entry| entry.may_have_earlier_runs) {
            let (tasks, waiting) = entry.count_long_running();
            known += tasks;
            down += waiting;
        }
        if 2 * down > known {
            self.note_mass_loss(now, "most long-running tasks are down after a takeover");
        }
    }

    /// The jobs that may have tasks to start, in scheduling order.
    pub(super) fn ranked_jobs(&self, now: Time) -> Vec<JobRank> {
        let is_restart = self.is_restart(now);
        let first_priority = self.queues.values().map(|queue| queue.priority).min();
        let mut ranks = Vec::new();
        for name in &self.waiting_jobs {
            let Some(entry) = self.jobs.get(name) else {
                continue;
            };
            let Some(queue) = self.queues.get(&entry.job.queue) else {
                continue;
            };
            let standing = entry.standing(queue, first_priority);
            let mut rank = JobRank::new(now, name.clone(), &standing, is_restart);
            if !entry.passed_over_until.passed(now) {
                rank.pass_over();
            }
            ranks.push(rank);
        }
        sort(&mut ranks, |priority| {
            self.aging.get(&priority).copied().unwrap_or_default()
        });
        ranks
    }

    /// Records the starts of a visit, so that late jobs get their share. A job that could not use
    /// what it is owed lets others have it for a while.
    pub(super) fn record_starts_of(&mut self, now: Time, rank: &JobRank, starts: u64) {
        if starts > 0 {
            let aging = self.aging.entry(rank.priority).or_default();
            aging.record_starts(starts, rank.is_owed());
        } else if rank.is_owed()
            && let Some(entry) = self.jobs.get_mut(rank.job())
        {
            entry.passed_over_until = now + PASSED_OVER_FOR;
        }
    }
}

impl JobEntry {
    fn standing(&self, queue: &Queue, first_priority: Option<u32>) -> Standing {
        let is_long_running = self.job.is_long_running();
        let has_deadline = !is_long_running && self.job.schedule.is_none();
        Standing {
            priority: queue.priority,
            is_first_priority: Some(queue.priority) == first_priority,
            is_long_running,
            known_since: self.known_since,
            objective: has_deadline.then(|| self.objective(queue)),
            has_last_tasks: has_deadline && self.has_last_tasks(),
            has_progress: self.has_progress(),
        }
    }
}
