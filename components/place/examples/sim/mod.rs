//! Simulation of a small fleet in virtual time, to measure policies.
//!
//! The simulation carries out the decisions of [`Policy`] with realistic
//! delays: orders travel on heartbeats, a checkpoint takes time and reports
//! arrive late. How much a task slows down a service is fixed and unknown to
//! the policy.

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
use policy::{Action, Policy};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use truth::{NOISE, noise, slowdown};

/// Time from an order to its arrival on the next heartbeat.
pub(crate) const ORDER_DELAY: Duration = Duration::from_secs(1);
/// Time from the arrival of an eviction to the stop, for the checkpoint.
pub(crate) const CHECKPOINT_TIME: Duration = Duration::from_secs(2);
/// Time from the stop to its report on the next heartbeat.
pub(crate) const REPORT_DELAY: Duration = Duration::from_secs(1);
/// The fraction of its CPU time that a throttled task gets.
const THROTTLED_CPU_FRACTION: f64 = 0.2;
/// Time between two measurements on a VM.
const MEASUREMENT_INTERVAL: Duration = Duration::from_secs(5);
/// The undisturbed latency of a request, in microseconds.
const BASE_MICROS: f64 = 5000.0;
/// Requests simulated for each endpoint and tick.
const REQUESTS_PER_TICK: usize = 4;

/// The declared and the actual attributes of a task.
#[derive(Clone, Debug)]
pub(crate) struct TaskSpec {
    pub(crate) family: &'static str,
    pub(crate) team: &'static str,
    pub(crate) declared: Resources,
    /// The resources that the task actually uses.
    pub(crate) demand: Resources,
    /// The run time at full speed.
    pub(crate) work: Duration,
    pub(crate) urgent: bool,
}

#[derive(Clone, Debug)]
struct Task {
    spec: TaskSpec,
    attempt: Attempt,
    submitted: Time,
    remaining_seconds: f64,
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

/// The results of a simulation.
#[derive(Clone, Debug, Default)]
pub(crate) struct Outcome {
    pub(crate) latencies: Vec<f64>,
    pub(crate) undisturbed: Vec<f64>,
    pub(crate) work_done: f64,
    pub(crate) finished: u32,
    pub(crate) evictions: u32,
    pub(crate) throttles: u32,
    pub(crate) overloaded_seconds: f64,
    /// Seconds from submission to the first start, by team and whether urgent.
    pub(crate) waits: BTreeMap<(&'static str, bool), Vec<f64>>,
    pub(crate) started: Vec<(Time, &'static str)>,
}

impl Outcome {
    /// Returns the relative increase of the 99th percentile over the
    /// undisturbed one.
    pub(crate) fn inflation(&self) -> f64 {
        quantile(&self.latencies, 0.99) / quantile(&self.undisturbed, 0.99) - 1.0
    }
}

/// Returns the quantile `at`, 0 to 1, of `values`.
pub(crate) fn quantile(values: &[f64], at: f64) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    let last = sorted.len().saturating_sub(1);
    sorted
        .get((last as f64 * at).round() as usize)
        .copied()
        .unwrap_or_default()
}

/// A simulated fleet with its tasks.
pub(crate) struct Simulation {
    pub(crate) policy: Policy,
    pub(crate) now: Time,
    pub(crate) outcome: Outcome,
    tick: Duration,
    vms: Vec<Vm>,
    tasks: BTreeMap<TaskId, Task>,
    reports: BTreeMap<(Time, u64), (VmName, Report)>,
    submit_count: u32,
    report_count: u64,
    rng: ChaCha8Rng,
    policy_rng: ChaCha8Rng,
}

impl Simulation {
    /// Creates a simulation that advances by `tick`. The simulation and the
    /// policy use separate random sources, so that every policy gets the same
    /// tasks.
    pub(crate) fn new(policy: Policy, seed: u64, tick: Duration) -> Self {
        Self {
            policy,
            now: Time::from_secs(1_000_000),
            outcome: Outcome::default(),
            tick,
            vms: Vec::new(),
            tasks: BTreeMap::new(),
            reports: BTreeMap::new(),
            submit_count: 0,
            report_count: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            policy_rng: ChaCha8Rng::seed_from_u64(seed + 1),
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

    pub(crate) fn submit(&mut self, spec: &TaskSpec) {
        self.submit_count += 1;
        let id = TaskId {
            job: JobName::new(format!("{}-{}", spec.family, self.submit_count))
                .unwrap_or_else(invalid_name),
            index: 0,
        };
        let task = Task {
            spec: spec.clone(),
            attempt: Attempt(1),
            submitted: self.now,
            remaining_seconds: spec.work.as_secs_f64(),
            first_started: None,
            state: State::Waiting,
        };
        self.policy.submit(placement_request(&id, &task), self.now);
        self.tasks.insert(id, task);
    }

    /// Returns the number of waiting tasks of a team.
    pub(crate) fn waiting_of(&self, team: &str) -> usize {
        let is_waiting = |task: &&Task| task.spec.team == team && task.state == State::Waiting;
        self.tasks.values().filter(is_waiting).count()
    }

    /// Advances by one tick.
    pub(crate) fn step(&mut self) {
        self.now = self.now + self.tick;
        self.deliver_reports();
        self.run_tasks();
        self.apply_decisions();
    }

    fn deliver_reports(&mut self) {
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

    fn apply_decisions(&mut self) {
        while let Some(action) = self.policy.next_action(self.now, &mut self.policy_rng) {
            match action {
                Action::Bind(request, vm) => self.bind(&request, vm),
                Action::Evict(victims) => {
                    for run in victims {
                        self.evict(&run);
                    }
                }
                Action::Reject(request) => {
                    self.tasks.remove(&request.run.task);
                }
            }
        }
    }

    fn bind(&mut self, request: &PlacementRequest, vm: VmName) {
        let Some(task) = self.tasks.get_mut(&request.run.task) else {
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

    /// Runs all tasks for one tick, serves requests and measures.
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
                let cpu_fraction = if *throttled {
                    THROTTLED_CPU_FRACTION
                } else {
                    1.0
                };
                let demand = task.spec.demand.cpu_milli as f64 * cpu_fraction;
                running
                    .entry(vm.clone())
                    .or_default()
                    .push((id.clone(), demand));
            }
        }
        for number in 0..self.vms.len() {
            let vm = self.vms[number].worker.vm.clone();
            let running_tasks = running.remove(&vm).unwrap_or_default();
            self.run_vm(number, &running_tasks);
        }
        self.end_tasks();
    }

    fn run_vm(&mut self, number: usize, running_tasks: &[(TaskId, f64)]) {
        let worker = self.vms[number].worker.clone();
        let capacity = worker.capacity.cpu_milli as f64;
        let demand: f64 = running_tasks.iter().map(|(_, demand)| demand).sum();
        let scale = (capacity / demand.max(1.0)).min(1.0);
        let span = self.tick.as_secs_f64();
        if demand > capacity * 1.01 {
            self.outcome.overloaded_seconds += span;
        }
        for (id, demand) in running_tasks {
            if let Some(task) = self.tasks.get_mut(id) {
                let speed = demand * scale / task.spec.demand.cpu_milli.max(1) as f64;
                task.remaining_seconds -= speed * span;
                self.outcome.work_done += demand * scale * span / 1000.0;
            }
        }
        let is_measurement_due =
            self.now.since(self.vms[number].measured_at) >= MEASUREMENT_INTERVAL;
        if is_measurement_due {
            self.vms[number].measured_at = self.now;
            self.report_usage(&worker.vm, running_tasks, scale);
        }
        for service in &worker.services {
            let log_slowdown: f64 = running_tasks
                .iter()
                .map(|(id, demand)| slowdown(service.as_str(), &id.job) * demand / capacity)
                .sum();
            let overload = (demand / capacity).max(1.0);
            self.serve_requests(log_slowdown.exp() * overload);
            if is_measurement_due {
                let p99 = BASE_MICROS * (log_slowdown + 2.33 * NOISE).exp() * overload;
                let micros = (p99 * noise(&mut self.rng, 0.1)) as u64;
                let report = LatencyReport {
                    service: service.clone(),
                    at: self.now,
                    micros,
                };
                self.send_late(&worker.vm, Report::Latency(report));
            }
        }
    }

    fn serve_requests(&mut self, factor: f64) {
        for _ in 0..REQUESTS_PER_TICK {
            let undisturbed = BASE_MICROS * noise(&mut self.rng, NOISE);
            self.outcome.undisturbed.push(undisturbed);
            self.outcome.latencies.push(undisturbed * factor);
        }
    }

    fn report_usage(&mut self, vm: &VmName, running_tasks: &[(TaskId, f64)], scale: f64) {
        for (id, demand) in running_tasks {
            let Some(task) = self.tasks.get(id) else {
                continue;
            };
            let cpu = demand * scale * noise(&mut self.rng, 0.05);
            let report = UsageReport {
                run: task.run(id),
                at: self.now,
                used: Resources::new(cpu as u64, task.spec.demand.memory_mib, 0),
            };
            self.send_late(vm, Report::Usage(report));
        }
    }

    /// Queues a report with a delay of 10 to 25 s, so that reports overtake one
    /// another.
    fn send_late(&mut self, vm: &VmName, report: Report) {
        let lag = Duration::from_millis(self.rng.random_range(10_000..25_000));
        self.report_count += 1;
        let key = (self.now + lag, self.report_count);
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
            if task.remaining_seconds <= 0.0 {
                let run_time = task.first_started.map(|from| self.now.since(from));
                let run = task.run(&id);
                self.policy
                    .on_finished(self.now, &run, run_time.unwrap_or_default());
                self.tasks.remove(&id);
                self.outcome.finished += 1;
                continue;
            }
            let stopped = stops_at.is_some_and(|stop| (stop + REPORT_DELAY).passed(self.now));
            if stopped {
                self.policy.on_stopped(&task.run(&id));
                task.state = State::Waiting;
                task.attempt = task.attempt.next();
                let request = placement_request(&id, task);
                self.policy.submit(request, self.now);
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

fn placement_request(id: &TaskId, task: &Task) -> PlacementRequest {
    PlacementRequest {
        run: task.run(id),
        team: TeamName::new(task.spec.team).unwrap_or_else(invalid_name),
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
    name.parse().unwrap_or_else(invalid_name)
}

/// All names in the simulation are valid, so this is never reached.
fn invalid_name<T>(error: kernel::NameError) -> T {
    panic!("{error}")
}
