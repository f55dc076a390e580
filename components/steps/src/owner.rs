//! The owner of all jobs of steps: which task runs where, and what is durable.
//!
//! An owner keeps two kinds of knowledge apart. [`Progress`] of each job must
//! not be forgotten and is written to the store before the workers may forget
//! the ends that it rests on. What runs is known from the workers themselves, so
//! a start needs no record: a new owner asks every worker before it starts what
//! an earlier owner may have started. See `docs/STEPS.md`.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use kernel::{AvailabilityZoneName, EntryName, JobName, Time, VmName};

use crate::{
    Config, Job, Outcome, Progress, Queue, Timing,
    message::{AgentReport, Orders, OrdersReply},
};

mod ends;
mod entry;
mod handover;
mod harm;
mod health;
mod journal;
mod orders;
mod place;
mod report;
mod rescue;
mod schedule;
mod vm;

pub use entry::JobEntry;
pub use handover::{Handover, UnreachableVm};
pub use journal::RecordWrite;
pub use vm::VmStatus;

use vm::Vm;

/// What happens to an owner.
#[derive(Clone, Debug)]
pub enum Event {
    /// A configuration is in force.
    Config(Arc<Config>),
    /// These availability zones take no new work.
    ZonesOut(BTreeSet<AvailabilityZoneName>),
    /// A job lies in the store, with what is durable of it and the revision of
    /// that record.
    Job {
        /// The job.
        job: Arc<Job>,
        /// Its durable record, if there is one.
        progress: Option<(Progress, i64)>,
    },
    /// A job has ended, and that is durable.
    Ended(JobName, Outcome),
    /// A job was cancelled.
    Cancelled(JobName),
    /// There was no other owner at this time.
    OwnershipProved(Time),
    /// The owner before stopped and left this note.
    HandedOver(Handover),
    /// An agent runs beside a worker on this VM.
    Vm(VmName),
    /// The agent on this VM answered a call that waited for news.
    Report {
        /// The VM.
        vm: VmName,
        /// What it said.
        report: Box<AgentReport>,
    },
    /// The agent on this VM gave no answer.
    Unreachable(VmName),
    /// Orders were answered, or not.
    OrdersAnswered {
        /// The VM.
        vm: VmName,
        /// What was ordered.
        orders: Box<Orders>,
        /// What became of it, if that is known.
        reply: Option<OrdersReply>,
    },
    /// Time passed.
    Tick,
}

/// The state machine of the owner.
#[derive(Debug)]
pub struct Owner {
    name: EntryName,
    epoch: u64,
    timing: Timing,
    config: Option<Arc<Config>>,
    /// The last known policy of each queue, also of those that were removed.
    queues: BTreeMap<Arc<str>, Arc<Queue>>,
    zones_out: BTreeSet<AvailabilityZoneName>,
    jobs: BTreeMap<JobName, JobEntry>,
    /// Jobs that ended before this term, and when that was learnt.
    over: BTreeMap<JobName, Time>,
    vms: BTreeMap<VmName, Vm>,
    /// Numbers the runs of this term.
    starts: u64,
    /// When the term began.
    taken: Time,
    /// When it was last proved that there is no other owner.
    proved: Time,
    /// What the owner before left, if it stopped in order.
    handover: Option<Handover>,
    /// The number of the last change that has to become durable.
    changes: u64,
    /// The number of the last change that is known to be durable.
    durable: u64,
    /// Jobs whose record is not durable yet.
    dirty: BTreeSet<JobName>,
    deposed: Option<u64>,
    forgotten: Vec<JobName>,
    harm: harm::Harm,
    schedule_due: bool,
    next_rescue: Time,
}

impl Owner {
    /// An owner at the start of its term.
    #[must_use]
    pub fn new(name: EntryName, epoch: u64, timing: Timing, now: Time) -> Self {
        Self {
            name,
            epoch,
            timing,
            config: None,
            queues: BTreeMap::new(),
            zones_out: BTreeSet::new(),
            jobs: BTreeMap::new(),
            over: BTreeMap::new(),
            vms: BTreeMap::new(),
            starts: 0,
            taken: now,
            proved: now,
            handover: None,
            changes: 0,
            durable: 0,
            dirty: BTreeSet::new(),
            deposed: None,
            forgotten: Vec::new(),
            harm: harm::Harm::default(),
            schedule_due: true,
            next_rescue: now,
        }
    }

    /// The number of the term.
    #[must_use]
    pub const fn epoch(&self) -> u64 {
        self.epoch
    }

    /// The epoch of a later owner, if one is known.
    #[must_use]
    pub const fn deposed_by(&self) -> Option<u64> {
        self.deposed
    }

    /// Takes in one event; `wall` is the time of day, by which jobs are due.
    pub fn handle(&mut self, now: Time, wall: Time, event: Event) {
        match event {
            Event::Config(config) => self.on_config(config),
            Event::ZonesOut(zones) => {
                self.zones_out = zones;
                self.schedule_due = true;
            }
            Event::Job { job, progress } => self.on_job(now, job, progress),
            Event::Ended(name, outcome) => self.on_ended(now, &name, outcome),
            Event::Cancelled(name) => self.on_cancelled(now, &name),
            Event::OwnershipProved(at) => self.proved = self.proved.max(at),
            Event::HandedOver(handover) => self.on_handover(handover),
            Event::Vm(vm) => self.on_vm(now, vm),
            Event::Report { vm, report } => self.on_report(now, &vm, *report),
            Event::Unreachable(vm) => self.on_unreachable(&vm),
            Event::OrdersAnswered { vm, orders, reply } => self.on_reply(now, &vm, &orders, reply),
            Event::Tick => self.on_tick(now),
        }
        if self.schedule_due || self.next_rescue.passed(now) {
            self.schedule_due = false;
            self.schedule(now, wall);
        }
    }

    fn on_config(&mut self, config: Arc<Config>) {
        let newest = self.config.as_ref().map_or(0, |known| known.version);
        if config.version < newest {
            return;
        }
        for queue in &config.queues {
            let queue = Arc::new(queue.clone());
            self.queues.insert(Arc::clone(&queue.name), queue);
        }
        self.config = Some(config);
        self.schedule_due = true;
    }

    fn on_job(&mut self, now: Time, job: Arc<Job>, progress: Option<(Progress, i64)>) {
        if self.jobs.contains_key(&job.name) || self.over.contains_key(&job.name) {
            return;
        }
        let entry = JobEntry::new(job, progress, now);
        self.jobs.insert(entry.job.name.clone(), entry);
        self.schedule_due = true;
    }

    /// Takes in an end that an earlier owner made durable; what still runs of
    /// the job is stopped as it is seen.
    fn on_ended(&mut self, now: Time, name: &JobName, outcome: Outcome) {
        if let Some(entry) = self.jobs.get_mut(name) {
            entry.outcome = Some(outcome);
            entry.ended = entry.ended.or(Some(now));
            return;
        }
        self.over.insert(name.clone(), now);
    }

    fn on_cancelled(&mut self, now: Time, name: &JobName) {
        let Some(entry) = self.jobs.get_mut(name) else {
            return;
        };
        if entry.outcome.is_some() {
            return;
        }
        tracing::info!(job = %name, epoch = self.epoch, "job cancelled");
        self.end_job(now, name, Outcome::Cancelled);
    }

    /// Ends a job for good: what still runs of it is stopped.
    fn end_job(&mut self, now: Time, name: &JobName, outcome: Outcome) {
        let Some(entry) = self.jobs.get_mut(name) else {
            return;
        };
        entry.outcome = Some(outcome);
        entry.ended = Some(now);
        let runs = entry.runs();
        tracing::info!(
            job = %name,
            outcome = ?outcome,
            runs_left = runs.len(),
            age_ms = now.since(entry.known_since).as_millis() as u64,
            "job ended"
        );
        for (vm, key) in runs {
            self.stop_run(now, &vm, &key, "job ended");
        }
        self.mark_dirty(name);
        self.schedule_due = true;
    }

    fn on_vm(&mut self, now: Time, vm: VmName) {
        self.vms.entry(vm).or_insert_with(|| Vm::new(now));
    }

    fn on_tick(&mut self, now: Time) {
        self.check_silent(now);
        self.rescue(now);
        self.forget_ended(now);
    }

    /// Forgets jobs that ended long ago.
    fn forget_ended(&mut self, now: Time) {
        let remember = self.timing.ended_job_retention;
        for (name, entry) in &self.jobs {
            let is_over = entry.ended.is_some_and(|at| (at + remember).passed(now));
            if is_over && !self.dirty.contains(name) && !entry.has_runs() {
                self.forgotten.push(name.clone());
            }
        }
        for (name, at) in &self.over {
            if (*at + remember).passed(now) {
                self.forgotten.push(name.clone());
            }
        }
        for name in &self.forgotten {
            self.jobs.remove(name);
            self.over.remove(name);
        }
    }

    /// Takes out jobs whose last keys may be removed.
    pub fn take_forgotten(&mut self) -> Vec<JobName> {
        std::mem::take(&mut self.forgotten)
    }

    /// How many jobs of a queue have not started, for clients that ask.
    #[must_use]
    pub fn pending_jobs(&self, queue: &str) -> usize {
        let of_queue = self.jobs.values().filter(|entry| {
            entry.job.queue.as_ref() == queue && entry.outcome.is_none() && !entry.started
        });
        of_queue.count()
    }

    /// Whether a task of the job has started, if the job is known.
    #[must_use]
    pub fn has_started(&self, job: &JobName) -> Option<bool> {
        self.jobs.get(job).map(|entry| entry.started)
    }

    /// Each VM as the owner sees it, for logs and reports.
    pub fn vms(&self) -> impl Iterator<Item = (&VmName, VmStatus)> {
        self.vms.iter().map(|(name, vm)| (name, vm.status()))
    }
}
