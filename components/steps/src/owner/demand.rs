//! Waiting work, and the rate at which work drains, from which entries decide whether a job can
//! still be served ([`crate::admission`]).
//!
//! Completed tasks are counted as they end. All else is read from the jobs and the workers at
//! most once in [`SAMPLE_INTERVAL`], after a scheduling pass: only then does free capacity mean
//! that no waiting task could use it.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
    time::Duration,
};

use kernel::{Resources, ServiceName, Time};

use super::{Owner, entry::JobEntry, place::MIN_BEST_EFFORT_SPEED, vm::VmStatus};
use crate::{
    Step,
    admission::{
        Drain, HOPELESS_AFTER_OBJECTIVES, LoadSummary, MIN_EVIDENCE, QueueLoad, ServiceLoad, Work,
    },
};

/// Shortest time between two samples.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(500);
/// Longest time between two samples of one measurement. Capacity may have been free for longer.
const MAX_GAP: Duration = Duration::from_secs(1);

/// Work of jobs with a later deadline is not counted as waiting: they yield to jobs that are
/// submitted now, and an estimate that is far too long would get all others refused.
const MAX_TIME_TO_DEADLINE: Duration = Duration::from_secs(60);

/// What a service has done since the start of the term, and what was free on its workers.
#[derive(Clone, Copy, Debug)]
struct ServiceSample {
    /// Estimated work of the tasks that are done.
    completed: Work,
    /// Resources used by tasks that end by themselves, times the time for which they were used.
    used: Work,
    free: Resources,
    headroom_milli: i64,
}

impl Default for ServiceSample {
    fn default() -> Self {
        Self {
            completed: Work::default(),
            used: Work::default(),
            free: Resources::NONE,
            headroom_milli: i64::MIN,
        }
    }
}

/// Samples of all services.
#[derive(Debug, Default)]
pub(super) struct DemandMeter {
    /// Estimated work of the tasks that are done.
    completed: BTreeMap<ServiceName, Work>,
    /// Used resources times time until the last sample.
    used: BTreeMap<ServiceName, Work>,
    /// Resources in use at the last sample, as work of one millisecond.
    in_use: BTreeMap<ServiceName, Work>,
    /// Samples without a gap, the oldest first: one that is at least [`MIN_EVIDENCE`] old, if
    /// there is any, and all later ones.
    samples: VecDeque<(Time, BTreeMap<ServiceName, ServiceSample>)>,
    summary: Option<(Time, Arc<LoadSummary>)>,
}

impl DemandMeter {
    /// Counts tasks of a step that are done.
    pub(super) fn record_completed(&mut self, service: &ServiceName, step: &Step, tasks: usize) {
        let work = Work::of_tasks(step, tasks);
        match self.completed.get_mut(service) {
            Some(completed) => *completed = completed.plus(work),
            None => {
                self.completed.insert(service.clone(), work);
            }
        }
    }

    fn sampled_at(&self) -> Option<Time> {
        self.samples.back().map(|(at, _)| *at)
    }

    /// Adds what has been used since the last sample.
    fn add_used(&mut self, span: Duration) {
        let millis = u64::try_from(span.as_millis()).unwrap_or(u64::MAX);
        for (service, work) in &self.in_use {
            let used = self.used.entry(service.clone()).or_default();
            *used = used.plus(Work {
                cpu: work.cpu.saturating_mul(millis),
                memory: work.memory.saturating_mul(millis),
                accelerators: work.accelerators.saturating_mul(millis),
            });
        }
    }

    /// Adds a sample and drops those that are older than needed.
    fn push(&mut self, now: Time, sample: BTreeMap<ServiceName, ServiceSample>) {
        self.samples.push_back((now, sample));
        while let Some((second, _)) = self.samples.get(1)
            && (*second + MIN_EVIDENCE).passed(now)
        {
            self.samples.pop_front();
        }
    }

    /// What the service has done since the first sample; `None` if that is too recent.
    fn drain(&self, service: &ServiceName) -> Option<Drain> {
        let ((from, _), (until, last)) = (self.samples.front()?, self.samples.back()?);
        let span = until.since(*from);
        if span < MIN_EVIDENCE {
            return None;
        }
        let last = last.get(service)?;
        let mut free = Resources::NONE;
        let mut headroom_milli = i64::MIN;
        for (_, services) in &self.samples {
            // The service had no worker then.
            let sample = services.get(service)?;
            free = free.max(sample.free);
            headroom_milli = headroom_milli.max(sample.headroom_milli);
        }
        let first = self.samples.front()?.1.get(service)?;
        // Completed work is in the unit of the waiting work, whatever the estimates are worth.
        // Where tasks are long, hardly any may have ended, so what they have used counts too.
        let completed = last.completed.minus(first.completed);
        let used = last.used.minus(first.used);
        Some(Drain {
            span_millis: u64::try_from(span.as_millis()).unwrap_or(u64::MAX),
            work: completed.max(used),
            free,
            headroom_milli,
        })
    }
}

impl JobEntry {
    /// Calls `visit` with each step whose tasks end by themselves, the number of its tasks that
    /// have no run and are not done, and the number of those that run.
    fn visit_finite_steps(&self, mut visit: impl FnMut(&Step, usize, usize)) {
        if self.occurrences.is_empty() {
            for step in self.job.steps.iter().filter(|step| !step.long_running) {
                visit(step, usize::try_from(step.count).unwrap_or_default(), 0);
            }
        }
        for (occurrence, states) in &self.occurrences {
            if self.finished.contains(occurrence) {
                continue;
            }
            for (step, state) in self.job.steps.iter().zip(states) {
                if !step.long_running {
                    visit(step, state.waiting(), state.running());
                }
            }
        }
    }
}

impl Owner {
    /// The last summary of the load, and its age; `None` before the first one.
    #[must_use]
    pub fn load_summary(&self, now: Time) -> Option<(Arc<LoadSummary>, Duration)> {
        let (at, summary) = self.demand.summary.as_ref()?;
        Some((Arc::clone(summary), now.since(*at)))
    }

    /// Samples the load after a scheduling pass, unless the last sample is recent.
    pub(super) fn sample_demand(&mut self, now: Time) {
        let sampled_at = self.demand.sampled_at();
        if sampled_at.is_some_and(|at| !(at + SAMPLE_INTERVAL).passed(now)) {
            return;
        }
        self.work.load_samples += 1;
        // What was started before the owner knew of it would show as free capacity or as work.
        let is_recovering = !self.are_jobs_loaded || self.is_recovering();
        if is_recovering || sampled_at.is_some_and(|at| (at + MAX_GAP).passed(now)) {
            self.demand.samples.clear();
        } else if let Some(at) = sampled_at {
            self.demand.add_used(now.since(at));
        }
        let queues = self.sample_jobs(now);
        let sample = self.sample_workers();
        let services = sample.keys().cloned().collect::<Vec<_>>();
        self.demand.push(now, sample);
        let services = services.into_iter().map(|service| ServiceLoad {
            drain: self.demand.drain(&service),
            queues: queues.get(&service).cloned().unwrap_or_default(),
            service,
        });
        let summary = LoadSummary {
            epoch: self.epoch,
            is_recovering,
            services: services.collect(),
        };
        self.demand.summary = Some((now, Arc::new(summary)));
    }

    /// Sums up what waits in each queue, and notes what is in use.
    fn sample_jobs(&mut self, now: Time) -> BTreeMap<ServiceName, Vec<QueueLoad>> {
        let mut in_use: BTreeMap<ServiceName, Work> = BTreeMap::new();
        let mut waiting: BTreeMap<Arc<str>, QueueLoad> = BTreeMap::new();
        for entry in self.jobs.values() {
            let Some(queue) = self.queues.get(&entry.job.queue) else {
                continue;
            };
            if entry.outcome.is_some() {
                continue;
            }
            let deadline = entry.known_since + entry.objective(queue);
            let is_finite = !entry.job.is_long_running() && entry.job.schedule.is_none();
            let last = entry.known_since + entry.objective(queue) * HOPELESS_AFTER_OBJECTIVES;
            let is_far_off = !(deadline - MAX_TIME_TO_DEADLINE).passed(now);
            let has_value = is_finite && !last.passed(now) && !is_far_off;
            let load = waiting
                .entry(Arc::clone(&queue.name))
                .or_insert_with(|| QueueLoad::new(Arc::clone(&queue.name), queue.priority));
            let used = in_use.entry(queue.service.clone()).or_default();
            entry.visit_finite_steps(|step, waiting, running| {
                if has_value && waiting > 0 {
                    let load = match deadline.passed(now) {
                        true => &mut load.late,
                        false => &mut load.in_time,
                    };
                    load.add(step.label.as_ref(), Work::of_tasks(step, waiting));
                }
                *used = used.plus(Work::new(step.need, running as u64));
            });
        }
        self.demand.in_use = in_use;
        let mut by_service: BTreeMap<ServiceName, Vec<QueueLoad>> = BTreeMap::new();
        for (name, load) in waiting {
            if let Some(queue) = self.queues.get(&name) {
                let loads = by_service.entry(queue.service.clone()).or_default();
                loads.push(load);
            }
        }
        by_service
    }

    /// Samples what the workers of each service have done and what is free on them.
    fn sample_workers(&self) -> BTreeMap<ServiceName, ServiceSample> {
        let mut services: BTreeMap<ServiceName, ServiceSample> = BTreeMap::new();
        for vm in self.vms.values() {
            let Some(info) = vm.info.as_ref() else {
                continue;
            };
            let sample = services.entry(info.service.clone()).or_default();
            if vm.status() != VmStatus::Ready || self.zones_out.contains(&info.zone) {
                continue;
            }
            sample.free = sample.free.max(vm.available());
            let headroom = vm.best_effort_headroom_milli(MIN_BEST_EFFORT_SPEED);
            sample.headroom_milli = sample.headroom_milli.max(headroom);
        }
        for (service, sample) in &mut services {
            let demand = &self.demand;
            sample.completed = demand.completed.get(service).copied().unwrap_or_default();
            sample.used = demand.used.get(service).copied().unwrap_or_default();
        }
        services
    }
}
