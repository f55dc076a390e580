//! All decisions of one cell behind few calls.
//!
//! [`Policy`] owns the parts and passes between them what one learns and
//! another needs; the owner of a cell feeds it facts and carries out what it
//! answers. See `docs/PLACEMENT.md`.

use std::{collections::BTreeMap, time::Duration};

use kernel::{
    Cause, ObjectSet, Party, Resources, ServiceName, TaskId, TaskRun, TeamName, Time, VmName,
};
use rand::Rng;
use serde::{Deserialize, Serialize};

use crate::{
    decision::{Decision, Want, Why},
    fleet::Fleet,
    interference::{Calm, Estimator, Matched, Throttle, Throttler},
    learn::Sizes,
    quarantine::{AfterFailure, Quarantine},
    queue::Queue,
    worker::{Full, Holding, Worker},
};

/// How often new estimates are applied to what already runs.
const REFRESH_EVERY: Duration = Duration::from_secs(5);

/// What to do about a waiting task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Step {
    /// Bind it; the room is reserved already.
    Bind {
        /// The task with the size reserved.
        want: Want,
        /// Since when it waited.
        since: Time,
        /// Where.
        vm: VmName,
    },
    /// Stop a batch task; the room is kept for the one that waits.
    Evict(PolicyAction),
    /// It can never run.
    Refuse {
        /// The task.
        want: Want,
        /// Why not.
        why: Why,
    },
}

/// What is done to a running batch task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Measure {
    /// Give it less processor time.
    Throttle,
    /// Give it its processor time again.
    Unthrottle,
    /// Checkpoint it, stop it and let it wait again.
    Evict,
}

/// An action on a running task, as the accounts need it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PolicyAction {
    /// What to do.
    pub measure: Measure,
    /// Where.
    pub vm: VmName,
    /// To which attempt.
    pub run: TaskRun,
    /// Why.
    pub cause: Cause,
    /// Who gains.
    pub beneficiary: Party,
    /// Who pays.
    pub payer: Party,
}

/// What a worker measured of one attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageReport {
    /// The attempt.
    pub run: TaskRun,
    /// When it was measured.
    pub at: Time,
    /// What it used.
    pub used: Resources,
}

/// What was measured of one endpoint's answers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LatencyReport {
    /// The service.
    pub service: ServiceName,
    /// When it was measured.
    pub at: Time,
    /// The 99th percentile, in microseconds.
    pub p99_micros: u64,
}

/// Which parts are in use, so that each can be measured against its absence.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Whether measured interference steers the placement.
    pub interference: bool,
    /// Whether batch tasks are throttled and evicted for services.
    pub throttling: bool,
    /// Whether reservations grow to the sizes learnt.
    pub learning: bool,
    /// When to act for a service and when to let go.
    pub calm: Calm,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            interference: true,
            throttling: true,
            learning: true,
            calm: Calm::default(),
        }
    }
}

/// The decisions of one cell.
#[derive(Clone, Debug, Default)]
pub struct Policy {
    settings: Settings,
    fleet: Fleet,
    queue: Queue,
    estimator: Estimator,
    throttler: Throttler,
    sizes: Sizes,
    quarantine: Quarantine,
    objects: ObjectSet,
    /// Whether the owner lets each worker take new work.
    open: BTreeMap<VmName, bool>,
    waiting: BTreeMap<TaskId, Time>,
    /// Steps that were decided together with one already given.
    steps: Vec<Step>,
    refreshed_at: Time,
    largest: Resources,
}

impl Policy {
    /// A policy for a cell without workers.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        Self::with_fleet(settings, Fleet::new())
    }

    /// A policy over a given fleet, for one with other scores.
    #[must_use]
    pub fn with_fleet(settings: Settings, fleet: Fleet) -> Self {
        Self {
            settings,
            fleet,
            throttler: Throttler::new(settings.calm),
            ..Self::default()
        }
    }

    /// The workers and reservations.
    #[must_use]
    pub const fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// The number of waiting tasks.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// What was learnt of sizes and run times.
    #[must_use]
    pub const fn sizes(&self) -> &Sizes {
        &self.sizes
    }

    /// The record of failures.
    #[must_use]
    pub const fn quarantine(&self) -> &Quarantine {
        &self.quarantine
    }

    /// Takes in the configuration in force, with each team's quota already cut
    /// down to this cell's allowance.
    pub fn on_objects(&mut self, objects: ObjectSet) {
        self.objects = objects;
    }

    /// Takes in a worker or its new facts; `worker.open` is the owner's word.
    pub fn on_worker(&mut self, now: Time, mut worker: Worker) {
        self.open.insert(worker.vm.clone(), worker.open);
        self.quarantine.on_fleet_size(self.open.len());
        self.largest = self.largest.max(worker.capacity);
        self.estimator.on_worker(&worker.vm, worker.capacity);
        worker.open &= self.quarantine.allows(now, &worker.vm);
        self.fleet.upsert(worker);
    }

    /// Takes in that a worker is gone with all its reservations.
    pub fn on_worker_lost(&mut self, vm: &VmName) {
        self.open.remove(vm);
        self.quarantine.on_fleet_size(self.open.len());
        self.quarantine.forget_worker(vm);
        self.estimator.remove(vm);
        self.throttler.remove(vm);
        self.fleet.remove(vm);
    }

    /// Takes in a task that waits, with its declared need.
    pub fn submit(&mut self, mut want: Want, since: Time) {
        let task = want.run.task.clone();
        if self.settings.learning {
            let sizes = &self.sizes;
            want.need = sizes.reservation(&task.job, want.need, self.largest);
        }
        for vm in self.quarantine.avoid(&task) {
            if !want.avoid.contains(&vm) {
                want.avoid.push(vm);
            }
        }
        self.waiting.insert(task, since);
        self.queue.push(want, since);
    }

    /// Takes in an attempt that already runs, after a change of the owner.
    ///
    /// # Errors
    ///
    /// Returns [`Full`] if it does not fit on the worker as known.
    pub fn adopt(&mut self, run: &TaskRun, vm: &VmName, holding: Holding) -> Result<(), Full> {
        self.fleet.reserve(run, vm, holding)
    }

    /// What to do next about waiting tasks; call it until it gives nothing.
    pub fn next_step(&mut self, now: Time, rng: &mut impl Rng) -> Option<Step> {
        if let Some(step) = self.steps.pop() {
            return Some(step);
        }
        while let Some(want) = self.queue.next(now, &self.objects, &self.fleet) {
            let since = self.since(&want.run.task, now);
            match self.fleet.place(now, &want, rng) {
                Decision::Bind(vm) => match self.bind(now, &want, &vm) {
                    Ok(()) => return Some(Step::Bind { want, since, vm }),
                    Err(_) => self.queue.push(want, since),
                },
                Decision::Evict { vm, victims } => {
                    self.steps = self.evictions(&want, &vm, victims);
                    self.queue.push(want, since);
                    return self.steps.pop();
                }
                Decision::Wait(_) => self.queue.push(want, since),
                Decision::Never(why) => {
                    self.waiting.remove(&want.run.task);
                    return Some(Step::Refuse { want, why });
                }
            }
        }
        None
    }

    /// Takes in what a heartbeat brought from a VM, however late.
    pub fn on_heartbeat(
        &mut self,
        now: Time,
        vm: &VmName,
        usage: &[UsageReport],
        latency: &[LatencyReport],
    ) -> Vec<PolicyAction> {
        let mut matched = Vec::new();
        for report in latency {
            let LatencyReport {
                service,
                at,
                p99_micros,
            } = report;
            matched.extend(
                self.estimator
                    .on_latency(now, *at, vm, service, *p99_micros),
            );
        }
        for report in usage {
            self.sizes.on_usage(now, &report.run, report.used);
            if self.is_batch(&report.run) {
                let UsageReport { run, at, used } = report;
                matched.extend(self.estimator.on_usage(now, *at, vm, run, *used));
            }
        }
        self.refresh(now);
        if !self.settings.throttling {
            return Vec::new();
        }
        matched
            .iter()
            .flat_map(|report| self.guard(now, report))
            .collect()
    }

    /// Takes in that an attempt ended well; `ran` is since its task first started.
    pub fn on_finished(&mut self, now: Time, run: &TaskRun, ran: Duration) {
        if let Some(vm) = self.fleet.home_of(run).cloned() {
            self.quarantine.on_success(now, run, &vm);
        }
        self.sizes.on_finished(now, run, ran);
        self.fleet.release(run);
    }

    /// Takes in that an attempt failed, and says what follows for its task.
    pub fn on_failed(&mut self, now: Time, run: &TaskRun) -> Option<AfterFailure> {
        let vm = self.fleet.home_of(run).cloned()?;
        let after = self.quarantine.on_failure(now, run, &vm);
        self.on_stopped(run);
        self.reopen(now, &vm);
        Some(after)
    }

    /// Takes in that an attempt was stopped; submit its task again to resume it.
    pub fn on_stopped(&mut self, run: &TaskRun) {
        self.sizes.on_stopped(run);
        self.fleet.release(run);
    }

    /// Takes in that a task was cancelled; its attempt, if it has one, holds its
    /// room until it has stopped.
    pub fn on_cancelled(&mut self, task: &TaskId) {
        self.queue.remove(task);
        self.waiting.remove(task);
        self.fleet.drop_claim(task);
        self.quarantine.forget_task(task);
    }

    /// Ends what ends by time; call it about once a second.
    pub fn on_tick(&mut self, now: Time) {
        let vms: Vec<VmName> = self.open.keys().cloned().collect();
        for vm in vms {
            self.reopen(now, &vm);
        }
    }

    fn since(&self, task: &TaskId, now: Time) -> Time {
        self.waiting.get(task).copied().unwrap_or(now)
    }

    fn bind(&mut self, now: Time, want: &Want, vm: &VmName) -> Result<(), Full> {
        let holding = Holding {
            team: want.team.clone(),
            class: want.class,
            urgency: want.urgency,
            reserved: want.need,
            started: now,
        };
        self.fleet.reserve(&want.run, vm, holding)?;
        self.waiting.remove(&want.run.task);
        Ok(())
    }

    fn evictions(&self, want: &Want, vm: &VmName, victims: Vec<TaskRun>) -> Vec<Step> {
        let cause = if want.payers.is_empty() {
            Cause::Urgent
        } else {
            Cause::Quota
        };
        let beneficiary = Party {
            team: Some(want.team.clone()),
            service: want.service.clone(),
            run: Some(want.run.clone()),
        };
        let mut steps = Vec::new();
        for run in victims {
            steps.push(Step::Evict(PolicyAction {
                measure: Measure::Evict,
                vm: vm.clone(),
                payer: self.payer(&run),
                run,
                cause,
                beneficiary: beneficiary.clone(),
            }));
        }
        steps
    }

    fn payer(&self, run: &TaskRun) -> Party {
        let team = |holding: &Holding| -> TeamName { holding.team.clone() };
        Party {
            team: self.fleet.holding(run).map(team),
            service: None,
            run: Some(run.clone()),
        }
    }

    fn guard(&mut self, now: Time, report: &Matched) -> Vec<PolicyAction> {
        let fleet = &self.fleet;
        let evictable = |run: &TaskRun| fleet.holding(run).is_some_and(Holding::is_evictable);
        let throttles = self.throttler.on_report(now, report, evictable);
        throttles
            .into_iter()
            .map(|throttle| self.action(throttle))
            .collect()
    }

    fn action(&self, throttle: Throttle) -> PolicyAction {
        let (measure, vm, service, run) = match throttle {
            Throttle::Start { vm, service, run } => (Measure::Throttle, vm, service, run),
            Throttle::End { vm, service, run } => (Measure::Unthrottle, vm, service, run),
            Throttle::Evict { vm, service, run } => (Measure::Evict, vm, service, run),
        };
        let owner = self.objects.services.get(&service);
        PolicyAction {
            measure,
            vm,
            cause: Cause::Interference,
            beneficiary: Party {
                team: owner.map(|service| service.team.clone()),
                service: Some(service),
                run: None,
            },
            payer: self.payer(&run),
            run,
        }
    }

    fn is_batch(&self, run: &TaskRun) -> bool {
        let holding = self.fleet.holding(run);
        holding.is_some_and(|holding| holding.class == kernel::TaskClass::Batch)
    }

    fn refresh(&mut self, now: Time) {
        if !self.settings.interference || now.since(self.refreshed_at) < REFRESH_EVERY {
            return;
        }
        self.refreshed_at = now;
        for estimate in self.estimator.changed() {
            self.fleet
                .set_harm(&estimate.service, &estimate.job, estimate.slowdown);
        }
        self.fleet.refresh_harm();
    }

    fn reopen(&mut self, now: Time, vm: &VmName) {
        let Some(owner_opens) = self.open.get(vm) else {
            return;
        };
        let open = *owner_opens && self.quarantine.allows(now, vm);
        let Some(worker) = self.fleet.worker(vm) else {
            return;
        };
        if worker.open != open {
            let worker = Worker {
                open,
                ..worker.clone()
            };
            self.fleet.upsert(worker);
        }
    }
}
