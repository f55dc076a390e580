//! A small fleet in virtual time, to measure the policies on.
//!
//! It carries out what [`Policy`] decides with the delays of the real thing:
//! orders travel on heartbeats, a checkpoint takes its time, reports arrive
//! late. How much a task slows a service is a fixed truth unknown to the policy.

pub(crate) mod night;
pub(crate) mod policy;
pub(crate) mod scenarios;
pub(crate) mod truth;

use std::{collections::BTreeMap, time::Duration};

use kernel::{
    Attempt, JobName, Resources, TaskClass, TaskId, TaskRun, TeamName, Time, Urgency, VmName,
};
use place::{
    PlacementRequest, Worker,
    interference::ThrottleAction,
    learner::{LatencyReport, UsageReport},
};
use policy::{Policy, Step};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use truth::{NOISE, noise, slowdown};

/// From an order to its arrival on the next heartbeat.
pub(crate) const ORDER_DELAY: Duration = Duration::from_secs(1);
/// From the arrival of an eviction to the stop, for the checkpoint.
pub(crate) const CHECKPOINT_TIME: Duration = Duration::from_secs(2);
/// From the stop to its report on the next heartbeat.
pub(crate) const REPORT_DELAY: Duration = Duration::from_secs(1);
/// How much of its processor time a throttled task keeps.
const THROTTLED_PART: f64 = 0.2;
/// Between two measurements on a VM.
const MEASURE_EVERY: Duration = Duration::from_secs(5);
/// The undisturbed latency of a request, in microseconds.
const BASE_MICROS: f64 = 5000.0;
/// Requests drawn for each endpoint and second.
const REQUESTS: usize = 4;

/// A task as it truly is, beside what it declares.
#[derive(Clone, Debug)]
pub(crate) struct Spec {
    pub(crate) family: &'static str,
    pub(crate) team: &'static str,
    pub(crate) declared: Resources,
    pub(crate) demand: Resources,
    pub(crate) work: Duration,
    pub(crate) urgent: bool,
}

#[derive(Clone, Debug)]
struct Task {
    spec: Spec,
    attempt: Attempt,
    submitted: Time,
    left: f64,
    first_started: Option<Time>,
    state: State,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum State {
    Waiting,
    Bound {
        vm: VmName,
        runs_from: Time,
        throttled: bool,
        stops_at: Option<Time>,
    },
}

struct Vm {
    worker: Worker,
    measured_at: Time,
}

enum Report {
    Usage(UsageReport),
    Latency(LatencyReport),
}

/// What came out of a run.
#[derive(Clone, Debug, Default)]
pub(crate) struct Outcome {
    pub(crate) latencies: Vec<f64>,
    pub(crate) undisturbed: Vec<f64>,
    pub(crate) work_done: f64,
    pub(crate) finished: u32,
    pub(crate) evictions: u32,
    pub(crate) throttles: u32,
    pub(crate) overloaded_seconds: f64,
    /// From submission to the start, by team, urgent tasks apart.
    pub(crate) waits: BTreeMap<(&'static str, bool), Vec<f64>>,
    pub(crate) started: Vec<(Time, &'static str)>,
}

impl Outcome {
    /// By how much the 99th percentile is above the undisturbed one.
    pub(crate) fn inflation(&self) -> f64 {
        quantile(&self.latencies, 0.99) / quantile(&self.undisturbed, 0.99) - 1.0
    }
}

/// The value below which the part `at` of `values` lies.
pub(crate) fn quantile(values: &[f64], at: f64) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    let last = sorted.len().saturating_sub(1);
    sorted
        .get((last as f64 * at).round() as usize)
        .copied()
        .unwrap_or_default()
}

/// A fleet with its tasks.
pub(crate) struct World {
    pub(crate) policy: Policy,
    pub(crate) now: Time,
    pub(crate) outcome: Outcome,
    tick: Duration,
    vms: Vec<Vm>,
    tasks: BTreeMap<TaskId, Task>,
    reports: BTreeMap<(Time, u64), (VmName, Report)>,
    submitted: u32,
    reported: u64,
    rng: ChaCha8Rng,
    choices: ChaCha8Rng,
}

impl World {
    /// A world that moves on by `tick`. The random sources of the world and of
    /// the policy are apart, so that the same tasks come under every policy.
    pub(crate) fn new(policy: Policy, seed: u64, tick: Duration) -> Self {
        Self {
            policy,
            now: Time::from_secs(1_000_000),
            outcome: Outcome::default(),
            tick,
            vms: Vec::new(),
            tasks: BTreeMap::new(),
            reports: BTreeMap::new(),
            submitted: 0,
            reported: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            choices: ChaCha8Rng::seed_from_u64(seed + 1),
        }
    }

    pub(crate) fn add_vm(&mut self, capacity: Resources, services: &[&str]) {
        let number = self.vms.len();
        let worker = Worker {
            vm: name(&format!("vm-{number}")),
            zone: name(&format!("zone-{}", number % 4)),
            rack: name(&format!("rack-{}", number / 3)),
            capacity,
            services: services.iter().map(|service| name(service)).collect(),
            open: true,
        };
        self.policy.on_worker(worker.clone());
        self.vms.push(Vm {
            worker,
            measured_at: self.now,
        });
    }

    pub(crate) fn submit(&mut self, spec: &Spec) {
        self.submitted += 1;
        let id = TaskId {
            job: JobName::new(format!("{}-{}", spec.family, self.submitted)).unwrap_or_else(bad),
            index: 0,
        };
        let task = Task {
            spec: spec.clone(),
            attempt: Attempt(1),
            submitted: self.now,
            left: spec.work.as_secs_f64(),
            first_started: None,
            state: State::Waiting,
        };
        self.policy.submit(want(&id, &task), self.now);
        self.tasks.insert(id, task);
    }

    /// The number of waiting tasks of a team.
    pub(crate) fn waiting_of(&self, team: &str) -> usize {
        let waits = |task: &&Task| task.spec.team == team && task.state == State::Waiting;
        self.tasks.values().filter(waits).count()
    }

    /// Moves on by one tick.
    pub(crate) fn step(&mut self) {
        self.now = self.now + self.tick;
        self.deliver();
        self.run_tasks();
        self.decide();
    }

    fn deliver(&mut self) {
        while let Some(entry) = self.reports.first_entry() {
            if entry.key().0 > self.now {
                return;
            }
            let (vm, report) = entry.remove();
            let throttles = match report {
                Report::Usage(usage) => self.policy.on_usage(self.now, &vm, usage),
                Report::Latency(latency) => self.policy.on_latency(self.now, &vm, latency),
            };
            for throttle in throttles {
                match throttle {
                    ThrottleAction::Start { run, .. } => self.throttle(&run, true),
                    ThrottleAction::End { run, .. } => self.throttle(&run, false),
                    ThrottleAction::Evict { run, .. } => self.evict(&run),
                }
            }
        }
    }

    fn throttle(&mut self, run: &TaskRun, on: bool) {
        let Some(task) = self.tasks.get_mut(&run.task) else {
            return;
        };
        if let State::Bound { throttled, .. } = &mut task.state {
            *throttled = on;
            self.outcome.throttles += u32::from(on);
        }
    }

    fn evict(&mut self, run: &TaskRun) {
        let Some(task) = self.tasks.get_mut(&run.task) else {
            return;
        };
        if let State::Bound { stops_at, .. } = &mut task.state
            && stops_at.is_none()
        {
            *stops_at = Some(self.now + ORDER_DELAY + CHECKPOINT_TIME);
            self.outcome.evictions += 1;
        }
    }

    fn decide(&mut self) {
        while let Some(step) = self.policy.next_step(self.now, &mut self.choices) {
            match step {
                Step::Bind(want, vm) => self.bind(&want, vm),
                Step::Evict(victims) => {
                    for run in victims {
                        self.evict(&run);
                    }
                }
                Step::Refuse(want) => {
                    self.tasks.remove(&want.run.task);
                }
            }
        }
    }

    fn bind(&mut self, want: &PlacementRequest, vm: VmName) {
        let Some(task) = self.tasks.get_mut(&want.run.task) else {
            return;
        };
        let runs_from = self.now + ORDER_DELAY;
        if task.first_started.is_none() {
            task.first_started = Some(runs_from);
            let waits = self.outcome.waits.entry((task.spec.team, task.spec.urgent));
            let waited = runs_from.since(task.submitted).as_secs_f64();
            waits.or_default().push(waited);
        }
        self.outcome.started.push((self.now, task.spec.team));
        task.state = State::Bound {
            vm,
            runs_from,
            throttled: false,
            stops_at: None,
        };
    }

    /// Runs all tasks for one tick, answers requests and measures.
    fn run_tasks(&mut self) {
        let mut running: BTreeMap<VmName, Vec<(TaskId, f64)>> = BTreeMap::new();
        for (id, task) in &self.tasks {
            if let State::Bound {
                vm,
                runs_from,
                throttled,
                stops_at,
            } = &task.state
            {
                let checkpointing = stops_at.is_some_and(|stop| self.now + CHECKPOINT_TIME >= stop);
                if self.now < *runs_from || checkpointing {
                    continue;
                }
                let part = if *throttled { THROTTLED_PART } else { 1.0 };
                let demand = task.spec.demand.cpu_milli as f64 * part;
                running
                    .entry(vm.clone())
                    .or_default()
                    .push((id.clone(), demand));
            }
        }
        for number in 0..self.vms.len() {
            let vm = self.vms[number].worker.vm.clone();
            let beside = running.remove(&vm).unwrap_or_default();
            self.run_vm(number, &beside);
        }
        self.end_tasks();
    }

    fn run_vm(&mut self, number: usize, beside: &[(TaskId, f64)]) {
        let worker = self.vms[number].worker.clone();
        let capacity = worker.capacity.cpu_milli as f64;
        let demand: f64 = beside.iter().map(|(_, demand)| demand).sum();
        let scale = (capacity / demand.max(1.0)).min(1.0);
        let span = self.tick.as_secs_f64();
        if demand > capacity * 1.01 {
            self.outcome.overloaded_seconds += span;
        }
        for (id, demand) in beside {
            if let Some(task) = self.tasks.get_mut(id) {
                let speed = demand * scale / task.spec.demand.cpu_milli.max(1) as f64;
                task.left -= speed * span;
                self.outcome.work_done += demand * scale * span / 1000.0;
            }
        }
        let measure = self.now.since(self.vms[number].measured_at) >= MEASURE_EVERY;
        if measure {
            self.vms[number].measured_at = self.now;
            self.report_usage(&worker.vm, beside, scale);
        }
        for service in &worker.services {
            let slow: f64 = beside
                .iter()
                .map(|(id, demand)| slowdown(service.as_str(), &id.job) * demand / capacity)
                .sum();
            let overload = (demand / capacity).max(1.0);
            self.answer(slow.exp() * overload);
            if measure {
                let p99 = BASE_MICROS * (slow + 2.33 * NOISE).exp() * overload;
                let micros = (p99 * noise(&mut self.rng, 0.1)) as u64;
                let report = LatencyReport {
                    service: service.clone(),
                    at: self.now,
                    micros,
                };
                self.send(&worker.vm, Report::Latency(report));
            }
        }
    }

    fn answer(&mut self, factor: f64) {
        for _ in 0..REQUESTS {
            let undisturbed = BASE_MICROS * noise(&mut self.rng, NOISE);
            self.outcome.undisturbed.push(undisturbed);
            self.outcome.latencies.push(undisturbed * factor);
        }
    }

    fn report_usage(&mut self, vm: &VmName, beside: &[(TaskId, f64)], scale: f64) {
        for (id, demand) in beside {
            let Some(task) = self.tasks.get(id) else {
                continue;
            };
            let cpu = demand * scale * noise(&mut self.rng, 0.05);
            let report = UsageReport {
                run: task.run(id),
                at: self.now,
                used: Resources::new(cpu as u64, task.spec.demand.memory_mib, 0),
            };
            self.send(vm, Report::Usage(report));
        }
    }

    /// Reports lag by tens of seconds and overtake one another.
    fn send(&mut self, vm: &VmName, report: Report) {
        let lag = Duration::from_millis(self.rng.random_range(10_000..25_000));
        self.reported += 1;
        let key = (self.now + lag, self.reported);
        self.reports.insert(key, (vm.clone(), report));
    }

    fn end_tasks(&mut self) {
        let ids: Vec<TaskId> = self.tasks.keys().cloned().collect();
        for id in ids {
            let Some(task) = self.tasks.get_mut(&id) else {
                continue;
            };
            let State::Bound { stops_at, .. } = &task.state else {
                continue;
            };
            if task.left <= 0.0 {
                let ran = task.first_started.map(|from| self.now.since(from));
                let run = task.run(&id);
                self.policy
                    .on_finished(self.now, &run, ran.unwrap_or_default());
                self.tasks.remove(&id);
                self.outcome.finished += 1;
                continue;
            }
            let stopped = stops_at.is_some_and(|stop| (stop + REPORT_DELAY).passed(self.now));
            if stopped {
                self.policy.on_stopped(&task.run(&id));
                task.state = State::Waiting;
                task.attempt = task.attempt.next();
                let want = want(&id, task);
                self.policy.submit(want, self.now);
            }
        }
    }
}

impl Task {
    fn run(&self, id: &TaskId) -> TaskRun {
        TaskRun {
            task: id.clone(),
            attempt: self.attempt,
        }
    }
}

fn want(id: &TaskId, task: &Task) -> PlacementRequest {
    PlacementRequest {
        run: task.run(id),
        team: TeamName::new(task.spec.team).unwrap_or_else(bad),
        class: TaskClass::Batch,
        urgency: if task.spec.urgent {
            Urgency::Urgent
        } else {
            Urgency::Normal
        },
        need: task.spec.declared,
        service: None,
        avoid: Vec::new(),
        finish_by: None,
        payers: Vec::new(),
    }
}

fn name<T: std::str::FromStr<Err = kernel::NameError>>(name: &str) -> T {
    name.parse().unwrap_or_else(bad)
}

/// The names here are fixed, so this can't happen.
fn bad<T>(error: kernel::NameError) -> T {
    panic!("{error}")
}
