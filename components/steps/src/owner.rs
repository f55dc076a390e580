//! Owner of all step jobs: decides which task runs on which worker and which state
//! must be durable.
//!
//! The owner treats two kinds of state differently. The [`Progress`] of each job must
//! survive an owner change, so it is written to the store before workers may forget
//! the run ends that it is based on. The set of active runs is known to the workers
//! themselves, so a start needs no record: before a new owner starts a task that an
//! earlier owner may have started, it asks every worker. See `docs/STEPS.md`.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use kernel::{AvailabilityZoneName, EntryName, JobName, Time, VmName};

use crate::{
    Config, Job, Outcome, Progress, Queue, TaskKey, Timing,
    locality::Locality,
    message::{AgentReport, Orders, OrdersReply, RunKey},
};

mod crashes;
mod demand;
mod ends;
mod entry;
mod handover;
mod health;
mod interference;
mod journal;
mod near;
mod orders;
mod place;
pub mod rank;
mod recovery;
mod report;
mod schedule;
mod trials;
mod uneven;
mod unknown;
mod vm;
mod window;
mod work;

pub use entry::JobEntry;
pub use handover::{Handover, LongRunningTasks, PassedReading, UnreachableVm};
pub use interference::{InterferenceRecord, PairRecord};
pub use journal::RecordWrite;
pub use vm::VmStatus;
pub use work::{Backlog, WorkCounts};

use vm::Vm;

/// Input of the owner's state machine.
#[derive(Clone, Debug)]
pub enum Event {
    /// A configuration has come into force.
    Config(Arc<Config>),
    /// Full set of availability zones that accept no new work.
    ZonesOut(BTreeSet<AvailabilityZoneName>),
    /// A job read from the store, with its durable record.
    Job {
        /// Job as stored.
        job: Arc<Job>,
        /// Durable record and the store revision of that record; `None` if no record
        /// has been written.
        progress: Option<(Progress, i64)>,
    },
    /// A job has ended and its end is durable.
    Ended(JobName, Outcome),
    /// The configuration and the zones out that were passed on last were the newest ones at
    /// this time.
    OperatorItemsCurrent(Time),
    /// A client has cancelled a job.
    Cancelled(JobName),
    /// The store holds neither this job nor its end.
    NotStored(JobName),
    /// The store confirmed that this process was the only owner at this time. The first proof is
    /// the claim of the ownership, which may be older than the term.
    OwnershipProved(Time),
    /// Handover note of the previous owner, which stopped in an orderly way.
    HandedOver(Handover),
    /// Interference weights that an earlier owner has learnt.
    InterferenceRecord(InterferenceRecord),
    /// The jobs are being read from the store. Agents are called meanwhile, so that leases
    /// are renewed, but their runs are compared with the jobs only afterwards.
    LoadingJobs,
    /// All jobs in the store have been passed on, so jobs can be counted.
    JobsLoaded,
    /// An agent is registered on this VM.
    Vm(VmName),
    /// The agent on this VM answered a report poll.
    Report {
        /// VM of the agent.
        vm: VmName,
        /// State of the agent and its worker.
        report: Box<AgentReport>,
    },
    /// The agent on this VM did not answer a report poll.
    Unreachable(VmName, PollFailure),
    /// A call with orders has ended, with or without a reply.
    OrdersAnswered {
        /// VM of the agent.
        vm: VmName,
        /// Orders as sent.
        orders: Box<Orders>,
        /// Result of each order; `None` if the agent did not reply.
        reply: Option<OrdersReply>,
    },
    /// The time of a delayed scheduling pass has come; see [`Owner::next_pass`].
    PassDue,
    /// Time has passed; sent periodically.
    Tick,
}

/// How a report poll failed. It shows whether the agent or this process is slow.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PollFailure {
    /// Time from the call until its failure was handled.
    pub waited: Duration,
    /// By how much the timer of the timeout fired late in this process; zero if the call
    /// failed before its timeout.
    pub timer_late_by: Duration,
    /// Error of the call.
    pub error: String,
}

/// State machine of the owner.
#[derive(Debug)]
pub struct Owner {
    name: EntryName,
    epoch: u64,
    timing: Timing,
    config: Option<Arc<Config>>,
    /// Last known policy of each queue, including queues that have been removed and of which
    /// only jobs tell.
    queues: BTreeMap<Arc<str>, Arc<Queue>>,
    zones_out: BTreeSet<AvailabilityZoneName>,
    /// When these two were last known to be the newest ones; `None` before the first event
    /// that tells, when they are taken to be.
    operator_items_at: Option<Time>,
    /// Since when nothing starts, as a zone may have been taken out; `None` while tasks start.
    starts_withheld_since: Option<Time>,
    jobs: BTreeMap<JobName, JobEntry>,
    /// Whether all jobs in the store are known.
    are_jobs_loaded: bool,
    /// Whether the jobs are being read from the store.
    is_loading: bool,
    /// Last report of each agent that answered while the jobs were being read.
    early_reports: BTreeMap<VmName, AgentReport>,
    /// Jobs that ended before this term, with the time at which this owner learned of
    /// the end.
    ended_jobs: BTreeMap<JobName, Time>,
    /// Reported jobs that the store does not hold any more, with the time of that answer.
    absent_jobs: BTreeMap<JobName, Time>,
    /// Reported jobs that this owner does not know, until the store has told.
    unknown_jobs: BTreeMap<JobName, unknown::UnknownJob>,
    /// Those of them that the caller has not been asked to read yet.
    unread_jobs: Vec<JobName>,
    vms: BTreeMap<VmName, Vm>,
    /// Number of runs started in this term; part of each run number.
    run_count: u64,
    /// Start of the term.
    term_start: Time,
    /// Time of the last proof that there is no other owner; `None` before the first one, when
    /// the start of the term counts.
    last_proof: Option<Time>,
    /// Since when agents may not renew leases for want of a recent proof; `None` while
    /// they may.
    renewal_withheld_since: Option<Time>,
    /// Handover note of the previous owner; `None` if that owner did not stop in an
    /// orderly way.
    handover: Option<Handover>,
    /// Number of the last change that must become durable.
    last_change: u64,
    /// Number of the last change known to be durable.
    durable_change: u64,
    /// Jobs whose record has not been written since it changed.
    dirty: BTreeSet<JobName>,
    /// Whether one of these records ends a job.
    has_urgent_changes: bool,
    /// Jobs that may have tasks to start; a pass visits no others.
    waiting_jobs: BTreeSet<JobName>,
    /// Those of them that the present round of passes has not visited.
    round: BTreeSet<JobName>,
    /// Tasks that may crash each worker that starts them.
    suspects: BTreeSet<TaskKey>,
    crash_history: crashes::CrashHistory,
    demand: demand::DemandMeter,
    /// Workers that have been quarantined, some of them not any more.
    quarantined: BTreeSet<VmName>,
    /// Losses of workers that count, by VM.
    loss_histories: BTreeMap<VmName, uneven::LossHistory>,
    /// VMs that may have orders to send.
    order_vms: BTreeSet<VmName>,
    /// VMs with ends that wait for a durable record.
    unrecorded_vms: BTreeSet<VmName>,
    /// Workers that take tasks, in the order of what is free on them.
    index: place::WorkerIndex,
    /// VMs that have changed since they were entered into the index.
    index_vms: BTreeSet<VmName>,
    /// Epoch of a later owner, if an agent has reported one.
    deposed_by: Option<u64>,
    /// Jobs dropped after their retention, whose remaining keys the caller may remove
    /// from the store.
    forgotten: Vec<JobName>,
    interference: interference::InterferenceModel,
    /// Steps that wait for near places, and how soon such places become free.
    locality: Locality,
    /// Starts owed to late jobs, by priority.
    aging: BTreeMap<u32, rank::Aging>,
    /// Until when jobs start in the order of a restart; `None` without a mass loss.
    restart_until: Option<Time>,
    /// Whether this owner has compared the long-running tasks that it found with those that run.
    has_reviewed_takeover: bool,
    schedule_due: bool,
    /// Earliest time of the next scheduling pass.
    next_pass: Time,
    next_recovery: Time,
    window: window::StartWindow,
    /// Starts without a reply that used the reserve of the window.
    reserve_starts: Vec<(VmName, RunKey)>,
    work: WorkCounts,
    /// Whether the last event included a scheduling pass.
    ran_pass: bool,
}

impl Owner {
    /// Returns an owner at the start of its term.
    #[must_use]
    pub fn new(name: EntryName, epoch: u64, timing: Timing, now: Time) -> Self {
        Self {
            name,
            epoch,
            timing,
            config: None,
            queues: BTreeMap::new(),
            zones_out: BTreeSet::new(),
            operator_items_at: None,
            starts_withheld_since: None,
            jobs: BTreeMap::new(),
            are_jobs_loaded: false,
            is_loading: false,
            early_reports: BTreeMap::new(),
            ended_jobs: BTreeMap::new(),
            absent_jobs: BTreeMap::new(),
            unknown_jobs: BTreeMap::new(),
            unread_jobs: Vec::new(),
            vms: BTreeMap::new(),
            run_count: 0,
            term_start: now,
            last_proof: None,
            renewal_withheld_since: None,
            handover: None,
            last_change: 0,
            durable_change: 0,
            dirty: BTreeSet::new(),
            has_urgent_changes: false,
            waiting_jobs: BTreeSet::new(),
            round: BTreeSet::new(),
            suspects: BTreeSet::new(),
            crash_history: crashes::CrashHistory::default(),
            demand: demand::DemandMeter::default(),
            quarantined: BTreeSet::new(),
            loss_histories: BTreeMap::new(),
            order_vms: BTreeSet::new(),
            unrecorded_vms: BTreeSet::new(),
            index: place::WorkerIndex::default(),
            index_vms: BTreeSet::new(),
            deposed_by: None,
            forgotten: Vec::new(),
            interference: interference::InterferenceModel::default(),
            locality: Locality::default(),
            aging: BTreeMap::new(),
            restart_until: None,
            has_reviewed_takeover: false,
            schedule_due: true,
            next_pass: now,
            next_recovery: now,
            window: window::StartWindow::new(timing.start_within, now),
            reserve_starts: Vec::new(),
            work: WorkCounts::default(),
            ran_pass: false,
        }
    }

    /// Epoch of this term.
    #[must_use]
    pub const fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Epoch of a later owner, if an agent has reported one.
    #[must_use]
    pub const fn deposed_by(&self) -> Option<u64> {
        self.deposed_by
    }

    /// Time of the last proof that there is no other owner.
    fn proved_at(&self) -> Time {
        self.last_proof.unwrap_or(self.term_start)
    }

    /// Handles one event. `wall` is the time of day, which decides when scheduled jobs
    /// are due.
    pub fn handle(&mut self, now: Time, wall: Time, event: Event) {
        self.work.events += 1;
        match event {
            Event::Config(config) => self.on_config(config),
            Event::ZonesOut(zones) => {
                self.zones_out = zones;
                self.schedule_due = true;
            }
            Event::OperatorItemsCurrent(at) => {
                self.operator_items_at = self.operator_items_at.max(Some(at));
            }
            Event::Job { job, progress } => self.on_job(now, job, progress),
            Event::Ended(name, outcome) => self.on_ended(now, &name, outcome),
            Event::Cancelled(name) => self.on_cancelled(now, &name),
            Event::NotStored(name) => self.on_not_stored(now, &name),
            Event::OwnershipProved(at) => {
                self.last_proof = self.last_proof.max(Some(at));
                self.track_renewal(now);
            }
            Event::HandedOver(handover) => self.on_handover(handover),
            Event::InterferenceRecord(record) => {
                self.on_interference_record(now, wall, &record);
            }
            Event::LoadingJobs => self.is_loading = true,
            Event::JobsLoaded => self.on_jobs_loaded(now),
            Event::Vm(vm) => self.on_vm(now, vm),
            Event::Report { vm, report } => self.on_report(now, &vm, *report),
            Event::Unreachable(vm, failure) => self.on_unreachable(now, &vm, &failure),
            Event::OrdersAnswered { vm, orders, reply } => self.on_reply(now, &vm, &orders, reply),
            Event::PassDue => {}
            Event::Tick => self.on_tick(now),
        }
        self.track_operator_items(now);
        self.schedule_due |= self.locality.take_due(now);
        self.ran_pass = self.is_pass_due() && self.next_pass.passed(now);
        if self.ran_pass {
            self.schedule(now, wall);
            self.sample_demand(now);
        }
    }

    /// Whether there is a reason for a scheduling pass, and tasks may start.
    fn is_pass_due(&self) -> bool {
        let has_reason = self.schedule_due || !self.round.is_empty();
        has_reason && self.starts_withheld_since.is_none()
    }

    /// Notices whether a zone may have been taken out too long ago for a task to start there.
    fn track_operator_items(&mut self, now: Time) {
        let Some(at) = self.operator_items_at else {
            return;
        };
        let age_ms = now.since(at).as_millis() as u64;
        let may_start = !(at + self.timing.operator_items).passed(now);
        match (self.starts_withheld_since, may_start) {
            (None, false) => {
                tracing::warn!(
                    epoch = self.epoch,
                    age_ms,
                    "operators may have taken zones out that this owner does not know; it starts no tasks"
                );
                self.starts_withheld_since = Some(now);
            }
            (Some(since), true) => {
                tracing::info!(
                    epoch = self.epoch,
                    age_ms,
                    span_ms = now.since(since).as_millis() as u64,
                    "all zones out are known; this owner starts tasks again"
                );
                self.starts_withheld_since = None;
            }
            _ => {}
        }
    }

    /// Time at which the next event starts a scheduling pass; `None` if none is due. The end of a
    /// wait for a near place is a reason for one.
    #[must_use]
    pub fn next_pass(&self) -> Option<Time> {
        if self.is_pass_due() {
            return Some(self.next_pass);
        }
        let wait_end = self.locality.next_deadline();
        let wait_end = wait_end.filter(|_| self.starts_withheld_since.is_none());
        wait_end.map(|at| at.max(self.next_pass))
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
        if self.jobs.contains_key(&job.name) || self.ended_jobs.contains_key(&job.name) {
            return;
        }
        let mut entry = JobEntry::new(job, progress, now);
        if let Some(queue) = &entry.job.accepted_by {
            let name = Arc::clone(&queue.name);
            self.queues.entry(name).or_insert_with(|| Arc::clone(queue));
        }
        // Loading the jobs may take longer than an earlier owner goes on.
        let is_earlier_owner_over = (self.term_start + self.timing.ownership).passed(now);
        let was_reported = self.unknown_jobs.contains_key(&entry.job.name);
        entry.may_have_earlier_runs =
            !self.are_jobs_loaded || !is_earlier_owner_over || was_reported;
        if self.are_jobs_loaded {
            entry.log_known();
        }
        if entry.outcome.is_none() {
            self.waiting_jobs.insert(entry.job.name.clone());
            self.suspects.extend(entry.suspects());
        }
        let name = entry.job.name.clone();
        self.jobs.insert(name.clone(), entry);
        self.apply_earlier_reports(now, &name);
        self.schedule_due = true;
    }

    /// Records an end that is durable. Runs that the owner does not know are stopped when
    /// workers report them.
    fn on_ended(&mut self, now: Time, name: &JobName, outcome: Outcome) {
        if let Some(entry) = self.jobs.get_mut(name) {
            entry.outcome = Some(outcome);
            entry.ended_at = entry.ended_at.or(Some(now));
            self.waiting_jobs.remove(name);
            self.locality.forget_job(name);
            for (vm, key) in entry.runs() {
                self.stop_run(now, &vm, &key, "job ended");
            }
            return;
        }
        self.ended_jobs.insert(name.clone(), now);
        self.apply_earlier_reports(now, name);
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

    /// Ends a job and stops its remaining runs.
    fn end_job(&mut self, now: Time, name: &JobName, outcome: Outcome) {
        let Some(entry) = self.jobs.get_mut(name) else {
            return;
        };
        entry.outcome = Some(outcome);
        entry.ended_at = Some(now);
        self.waiting_jobs.remove(name);
        self.locality.forget_job(name);
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

    /// Notes that a VM has changed, so that it may have orders to send and other room.
    fn touch_vm(&mut self, vm: &VmName) {
        self.order_vms.insert(vm.clone());
        self.index_vms.insert(vm.clone());
    }

    fn on_jobs_loaded(&mut self, now: Time) {
        self.are_jobs_loaded = true;
        self.is_loading = false;
        for (vm, report) in std::mem::take(&mut self.early_reports) {
            self.apply_crashes(now, &vm, &report.crashes);
            self.apply_lists(now, &vm, &report);
        }
        self.schedule_due = true;
    }

    fn on_vm(&mut self, now: Time, vm: VmName) {
        self.vms.entry(vm).or_insert_with(|| Vm::new(now));
    }

    fn on_tick(&mut self, now: Time) {
        self.track_renewal(now);
        self.window.adjust(now, self.vms.len());
        self.expire_unreachable(now);
        self.recover_runs(now);
        self.forget_ended(now);
    }

    /// Drops jobs that ended longer ago than the retention time.
    fn forget_ended(&mut self, now: Time) {
        let remember = self.timing.ended_job_retention;
        for (name, entry) in &self.jobs {
            let has_ended = entry.ended_at.is_some_and(|at| (at + remember).passed(now));
            if has_ended && !self.dirty.contains(name) && !entry.has_runs() {
                self.forgotten.push(name.clone());
            }
        }
        for (name, at) in &self.ended_jobs {
            if (*at + remember).passed(now) {
                self.forgotten.push(name.clone());
            }
        }
        for name in &self.forgotten {
            self.jobs.remove(name);
            self.ended_jobs.remove(name);
        }
        self.absent_jobs
            .retain(|_, at| !(*at + remember).passed(now));
    }

    /// Returns and clears the jobs whose remaining keys may be removed from the store.
    pub fn take_forgotten(&mut self) -> Vec<JobName> {
        std::mem::take(&mut self.forgotten)
    }

    /// Number of jobs in a queue of which no task has started; `None` before all jobs
    /// are loaded.
    #[must_use]
    pub fn pending_jobs(&self, queue: &str) -> Option<usize> {
        if !self.are_jobs_loaded {
            return None;
        }
        let of_queue = self.jobs.values().filter(|entry| {
            entry.job.queue.as_ref() == queue && entry.outcome.is_none() && !entry.started
        });
        Some(of_queue.count())
    }

    /// Whether a task of the job has started; `None` for an unknown job.
    #[must_use]
    pub fn has_started(&self, job: &JobName) -> Option<bool> {
        self.jobs.get(job).map(|entry| entry.started)
    }

    /// All VMs with their status.
    pub fn vms(&self) -> impl Iterator<Item = (&VmName, VmStatus)> {
        self.vms.iter().map(|(name, vm)| (name, vm.status()))
    }
}
