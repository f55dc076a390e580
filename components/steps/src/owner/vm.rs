//! State that the owner keeps for a VM and its worker.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    sync::Arc,
    time::Duration,
};

use kernel::{Resources, Time};
use serde::{Deserialize, Serialize};

use super::{
    health::Health,
    place::MIN_BEST_EFFORT_SPEED,
    uneven::{ColdStart, Unevenness},
    unknown::{Release, release},
};
use crate::{
    interference::{Weights, cpu_share, image_name},
    lending::{self, Baseline},
    listing::Listing,
    locality::Room,
    message::{ClockReading, OwnerHeader, Role, RunKey, StartOrder, WorkerIncarnation, WorkerInfo},
};

/// Latency of a serving task without best-effort tasks, as a fraction of its target,
/// until its first measurement.
const ASSUMED_BASELINE_FRACTION: f64 = 0.35;
/// Lower bound on the headroom when it is used as a divisor.
const MIN_HEADROOM: f64 = 0.05;
/// Serving tasks reserve for their peak load and use about half of it. Best-effort
/// tasks run slower if serving tasks use more.
const SERVING_USAGE_DIVISOR: u64 = 2;

/// The maximum number of open calls with orders to one agent.
const MAX_OPEN_CALLS: usize = 2;

/// Expected speed of a best-effort task on a VM.
#[derive(Clone, Copy, Debug)]
pub(super) struct SpeedForecast {
    /// Fraction of its full speed.
    pub(super) speed: f64,
    /// Fraction of the scarcest resource that the task would take.
    pub(super) bottleneck_share: f64,
}

/// Phase of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// The start order is queued or has been sent.
    Ordered,
    /// The worker accepted the run. A poll with a higher number than `after_poll`
    /// shows whether the run exists.
    Present {
        /// Number of the worker poll.
        after_poll: u64,
    },
    /// The run must stop. The stop order is queued, has been sent, or has been
    /// answered.
    Stopping {
        /// Number of the worker poll after which an unlisted run no longer exists;
        /// `None` until the worker has confirmed the stop order.
        after_poll: Option<u64>,
    },
}

/// A run on a worker.
#[derive(Clone, Debug)]
pub(super) struct AssignedRun {
    phase: Phase,
    /// Time at which the run was ordered or first reported.
    pub(super) since: Time,
    pub(super) reserved: Resources,
    pub(super) role: Role,
    /// Whether a start order got no reply, so that a refusal of the repeated order
    /// does not prove that the run does not exist.
    pub(super) start_unanswered: bool,
    /// Time at which the stop order was last sent.
    pub(super) stop_sent_at: Option<Time>,
    /// Logarithm of a serving task's latency without best-effort tasks, as a fraction
    /// of its target; `None` until the first measurement.
    pub(super) baseline: Option<Baseline>,
    /// Time since which the run has used no CPU.
    pub(super) idle_since: Option<Time>,
    /// Number of suspects that may be on trial together on the worker, and nothing else, until
    /// it has survived them; `None` if the task is not suspect.
    pub(super) trial_size: Option<usize>,
    /// Whether the worker is known to have survived the run for long enough.
    pub(super) has_survived: bool,
    /// Whether the worker has listed the run.
    pub(super) is_listed: bool,
    /// Incarnation of the agent process that knows of the run.
    pub(super) agent_incarnation: u64,
}

impl AssignedRun {
    pub(super) const fn new(phase: Phase, since: Time, reserved: Resources, role: Role) -> Self {
        Self {
            phase,
            since,
            reserved,
            role,
            start_unanswered: false,
            stop_sent_at: None,
            baseline: None,
            idle_since: None,
            trial_size: None,
            has_survived: false,
            is_listed: false,
            agent_incarnation: 0,
        }
    }

    /// Whether the run is on trial and the worker has not survived it for long enough.
    pub(super) const fn is_open_trial(&self) -> bool {
        self.trial_size.is_some() && !self.has_survived
    }

    pub(super) const fn phase(&self) -> Phase {
        self.phase
    }

    /// CPU time that the run takes from best-effort tasks, in thousandths of a core.
    fn expected_usage_milli(&self) -> u64 {
        match self.role {
            Role::Serving { .. } => self.reserved.cpu_milli / SERVING_USAGE_DIVISOR,
            Role::Plain | Role::BestEffort { .. } => self.reserved.cpu_milli,
        }
    }
}

/// Status of a VM from the owner's view.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmStatus {
    /// The agent has not answered in this term.
    Unknown,
    /// The worker accepts tasks.
    Ready,
    /// The worker is draining.
    Draining,
    /// The worker does not answer its agent.
    #[serde(rename = "silent")]
    Unresponsive,
    /// The agent does not answer.
    Unreachable,
    /// Nothing runs on the VM.
    Empty,
}

/// An echo of a clock reading, which lets an agent renew leases.
#[derive(Clone, Copy, Debug)]
pub(super) struct SentEcho {
    pub(super) sent_at: Time,
    /// Time at which the report with the clock reading was handled.
    pub(super) read_at: Time,
}

/// State of a VM and its worker.
#[derive(Clone, Debug)]
pub(super) struct Vm {
    pub(super) info: Option<WorkerInfo>,
    /// Whether the worker has answered under this epoch, so that no order of an
    /// earlier owner can still be carried out.
    pub(super) attached: bool,
    /// Whether all runs that may have existed on the VM have ended.
    pub(super) leases_expired: bool,
    /// Whether the worker answers the polls of its agent.
    pub(super) worker_responsive: bool,
    /// Whether the agent did not answer the last report poll of this owner.
    pub(super) unreachable: bool,
    /// Time of the report before the last one; `None` before the second report.
    pub(super) earlier_answer_at: Option<Time>,
    /// When the agent was last taken for unreachable.
    pub(super) unreachable_at: Time,
    /// Time at which the agent last answered, or at which the owner first learned of
    /// it.
    pub(super) last_answer_at: Time,
    /// Time at which the agent process before the present one last answered.
    pub(super) earlier_agent_answer_at: Time,
    /// Incarnation of the agent process and version of its last report; 0 before the
    /// first report.
    pub(super) agent_incarnation: u64,
    pub(super) report_version: u64,
    /// Incarnations of agent processes that a later one has replaced. Their numbers say nothing
    /// about their order, since the time of day may jump back.
    pub(super) earlier_agents: BTreeSet<u64>,
    /// Incarnation of the agent process that last told of the present worker.
    pub(super) worker_reported_by: u64,
    pub(super) clock_reading: Option<(ClockReading, Time)>,
    /// When the worker's clock reading was first echoed to the agent in this term.
    pub(super) first_echo_at: Option<Time>,
    /// Last echo of a clock reading that was sent to the agent.
    pub(super) last_echo: Option<SentEcho>,
    pub(super) runs: BTreeMap<RunKey, AssignedRun>,
    pub(super) reserved: Resources,
    /// Runs of serving tasks.
    serving: BTreeSet<RunKey>,
    /// CPU time that best-effort tasks use at full speed, by image, in thousandths of a
    /// core.
    best_effort: BTreeMap<Arc<str>, u64>,
    /// Sum of the usage that is expected of the runs, in thousandths of a core.
    expected_usage_milli: u64,
    /// Number of start orders that are queued or have no reply yet.
    unanswered_starts: usize,
    /// Number of the last end that the owner has handled.
    pub(super) processed_end: u64,
    /// Handled ends that the worker must still list: number of the end and what it waits
    /// for.
    pub(super) unrecorded_ends: VecDeque<(u64, Release)>,
    /// Number of the last end whose record is durable.
    pub(super) recorded_end: u64,
    /// Number of the last recorded end that has been sent to the agent.
    pub(super) acknowledged_end: u64,
    pub(super) starts: Vec<StartOrder>,
    pub(super) stops: BTreeSet<RunKey>,
    pub(super) roles: Vec<(RunKey, Role)>,
    /// Version of the interference weights that were last sent to the agent.
    pub(super) sent_weights_version: u64,
    /// Whether the worker has listed its active runs in this term.
    pub(super) has_listed_runs: bool,
    /// Whether the worker has listed all of its ended runs in this term.
    pub(super) has_listed_ends: bool,
    /// Calls with orders that have no reply yet.
    pub(super) open_calls: usize,
    pub(super) health: Health,
    pub(super) cold_start: ColdStart,
    /// What makes the worker worse than others, as of the last scheduling pass.
    pub(super) unevenness: Unevenness,
    /// Active runs as the agent has reported them.
    pub(super) listing: Listing,
    /// Reported runs of unknown jobs, with the time of the first report.
    pub(super) unknown_runs: BTreeMap<RunKey, Time>,
    /// Runs that the worker may still start, as the agent has reported them last.
    pub(super) unsettled: Vec<RunKey>,
    /// Whether the worker has or may get runs whose needs are unknown, as their jobs are not
    /// known any more. How much room they leave is unknown too.
    pub(super) has_unaccounted_runs: bool,
    /// Time before which no task starts here, since the worker refused one for lack of
    /// capacity.
    pub(super) full_until: Time,
    /// Time until which the worker gets no new tasks but those on trial.
    pub(super) held_until: Time,
    /// Time until which the worker gets no new tasks but overdue long-running ones.
    pub(super) kept_until: Time,
    /// Number of the last crash that the owner has handled, within the agent process.
    pub(super) processed_crash: u64,
    /// Handled crashes that the agent must still report: number of the crash and what it
    /// waits for.
    pub(super) unrecorded_crashes: VecDeque<(u64, Release)>,
    /// Number of the last crash whose record is durable.
    pub(super) recorded_crash: u64,
}

impl Vm {
    pub(super) fn new(now: Time) -> Self {
        Self {
            info: None,
            attached: false,
            leases_expired: false,
            worker_responsive: false,
            unreachable: false,
            earlier_answer_at: None,
            unreachable_at: Time::ZERO,
            last_answer_at: now,
            earlier_agent_answer_at: Time::ZERO,
            agent_incarnation: 0,
            report_version: 0,
            earlier_agents: BTreeSet::new(),
            worker_reported_by: 0,
            clock_reading: None,
            first_echo_at: None,
            last_echo: None,
            runs: BTreeMap::new(),
            reserved: Resources::NONE,
            serving: BTreeSet::new(),
            best_effort: BTreeMap::new(),
            expected_usage_milli: 0,
            unanswered_starts: 0,
            processed_end: 0,
            unrecorded_ends: VecDeque::new(),
            recorded_end: 0,
            acknowledged_end: 0,
            starts: Vec::new(),
            stops: BTreeSet::new(),
            roles: Vec::new(),
            sent_weights_version: 0,
            has_listed_runs: false,
            has_listed_ends: false,
            open_calls: 0,
            health: Health::default(),
            cold_start: ColdStart::default(),
            unevenness: Unevenness::default(),
            listing: Listing::default(),
            unknown_runs: BTreeMap::new(),
            unsettled: Vec::new(),
            has_unaccounted_runs: false,
            full_until: Time::ZERO,
            held_until: Time::ZERO,
            kept_until: Time::ZERO,
            processed_crash: 0,
            unrecorded_crashes: VecDeque::new(),
            recorded_crash: 0,
        }
    }

    /// Whether the agent has answered in this term.
    pub(super) const fn has_answered(&self) -> bool {
        self.agent_incarnation != 0
    }

    pub(super) fn incarnation(&self) -> Option<&WorkerIncarnation> {
        self.info.as_ref().map(|info| &info.incarnation)
    }

    pub(super) fn status(&self) -> VmStatus {
        let Some(info) = &self.info else {
            return match self.leases_expired {
                true => VmStatus::Empty,
                false => VmStatus::Unknown,
            };
        };
        if self.unreachable {
            return VmStatus::Unreachable;
        }
        if !self.attached {
            return VmStatus::Unknown;
        }
        if !self.worker_responsive {
            return VmStatus::Unresponsive;
        }
        match info.draining {
            true => VmStatus::Draining,
            false => VmStatus::Ready,
        }
    }

    /// Whether there are orders or a newly recorded end to send to the agent.
    pub(super) fn has_orders(&self) -> bool {
        let is_acknowledged = self.acknowledged_end >= self.recorded_end || self.unreachable;
        self.info.is_some()
            && (!self.starts.is_empty() || !self.stops.is_empty() || !is_acknowledged)
    }

    /// Records that a call with this header is sent to the agent.
    pub(super) fn record_echo(&mut self, now: Time, header: &OwnerHeader) {
        let read_at = self.clock_reading.as_ref().map(|(_, at)| *at);
        if let Some(read_at) = read_at.filter(|_| header.echo.is_some()) {
            self.first_echo_at.get_or_insert(now);
            self.last_echo = Some(SentEcho {
                sent_at: now,
                read_at,
            });
        }
    }

    /// Whether a call with the waiting orders may be sent now. Orders that wait for open
    /// calls leave together; a stop waits for fewer of them, since its job may be
    /// cancelled.
    pub(super) fn may_send_orders(&self) -> bool {
        let max_open = match self.stops.is_empty() {
            true => MAX_OPEN_CALLS,
            false => MAX_OPEN_CALLS + 1,
        };
        self.has_orders() && self.open_calls < max_open
    }

    /// Capacity that is free for new tasks: none while the worker is short of any resource.
    pub(super) fn available(&self) -> Resources {
        if self.is_over_capacity() {
            return Resources::NONE;
        }
        let capacity = self.info.as_ref().map(|info| info.capacity);
        capacity.unwrap_or_default().minus(self.reserved)
    }

    /// Whether the runs need more than the worker has, since its capacity has fallen.
    pub(super) fn is_over_capacity(&self) -> bool {
        let capacity = self.info.as_ref().map(|info| info.capacity);
        !self.reserved.fits(capacity.unwrap_or_default())
    }

    pub(super) fn add_run(&mut self, key: RunKey, mut run: AssignedRun) {
        self.forget_run(&key);
        run.agent_incarnation = self.agent_incarnation;
        self.reserved = self.reserved.plus(run.reserved);
        self.expected_usage_milli += run.expected_usage_milli();
        self.unanswered_starts += usize::from(run.phase == Phase::Ordered);
        match &run.role {
            Role::Plain => {}
            Role::Serving { .. } => {
                self.serving.insert(key.clone());
            }
            Role::BestEffort { image, cpu_milli } => {
                let demand = self.best_effort.entry(image_name(image.as_ref()));
                *demand.or_default() += cpu_milli;
            }
        }
        self.runs.insert(key, run);
    }

    pub(super) fn remove_run(&mut self, key: &RunKey) -> Option<AssignedRun> {
        let run = self.forget_run(key)?;
        self.stops.remove(key);
        self.starts.retain(|start| start.key != *key);
        Some(run)
    }

    fn forget_run(&mut self, key: &RunKey) -> Option<AssignedRun> {
        let run = self.runs.remove(key)?;
        self.reserved = self.reserved.minus(run.reserved);
        self.expected_usage_milli -= run.expected_usage_milli();
        self.unanswered_starts -= usize::from(run.phase == Phase::Ordered);
        match &run.role {
            Role::Plain => {}
            Role::Serving { .. } => {
                self.serving.remove(key);
            }
            Role::BestEffort { image, cpu_milli } => {
                let image = image_name(image.as_ref());
                if let Some(demand) = self.best_effort.get_mut(&image) {
                    *demand -= cpu_milli;
                    if *demand == 0 {
                        self.best_effort.remove(&image);
                    }
                }
            }
        }
        Some(run)
    }

    pub(super) fn set_phase(&mut self, key: &RunKey, phase: Phase) {
        if let Some(run) = self.runs.get_mut(key) {
            self.unanswered_starts -= usize::from(run.phase == Phase::Ordered);
            self.unanswered_starts += usize::from(phase == Phase::Ordered);
            run.phase = phase;
        }
    }

    /// Sends the roles of all runs with the next poll, since the agent may not know them.
    pub(super) fn queue_roles(&mut self) {
        let mut roles = Vec::new();
        for (key, assigned) in &self.runs {
            if assigned.role != Role::Plain {
                roles.push((key.clone(), assigned.role.clone()));
            }
        }
        self.roles = roles;
    }

    /// Notes that the agent has restarted and counts its polls from zero.
    pub(super) fn reset_polls(&mut self) {
        for run in self.runs.values_mut() {
            run.phase = match run.phase {
                Phase::Ordered => Phase::Ordered,
                Phase::Present { .. } => Phase::Present { after_poll: 0 },
                Phase::Stopping { .. } => Phase::Stopping { after_poll: None },
            };
        }
    }

    /// Releases the ends for which the changes up to this one suffice; returns whether
    /// any was released.
    pub(super) fn advance_recorded_end(&mut self, durable_change: u64) -> bool {
        let released = release(&mut self.unrecorded_ends, durable_change);
        self.recorded_end = released.unwrap_or(self.recorded_end);
        released.is_some()
    }

    /// Number of start orders that are queued or have no reply yet.
    pub(super) const fn unanswered_starts(&self) -> usize {
        self.unanswered_starts
    }

    pub(super) fn has_serving_runs(&self) -> bool {
        !self.serving.is_empty()
    }

    /// Share of the serving tasks that have another image than this one.
    pub(super) fn other_serving_share(&self, image: Option<&Arc<str>>) -> f64 {
        let mut others = 0;
        for key in &self.serving {
            let role = self.runs.get(key).map(|run| &run.role);
            if let Some(Role::Serving { image: known, .. }) = role
                && known.as_ref() != image
            {
                others += 1;
            }
        }
        others as f64 / self.serving.len().max(1) as f64
    }

    /// CPU capacity of the worker in thousandths of a core.
    pub(super) fn capacity_milli(&self) -> u64 {
        let capacity = self.info.as_ref().map(|info| info.capacity);
        capacity.unwrap_or_default().cpu_milli.max(1)
    }

    /// CPU time that a further best-effort task could ask for and still run at
    /// `min_speed` of its full speed, if no serving task suffers, in thousandths of a
    /// core. Negative where the best-effort tasks already run slower.
    pub(super) fn best_effort_headroom_milli(&self, min_speed: f64) -> i64 {
        let free = self.best_effort_available_milli() as f64;
        (free / min_speed) as i64 - self.best_effort_demand_milli() as i64
    }

    /// What is free on the worker.
    pub(super) fn room(&self) -> Room {
        Room {
            available: self.available(),
            headroom_milli: self.best_effort_headroom_milli(MIN_BEST_EFFORT_SPEED),
        }
    }

    /// Expected speed of a best-effort task on this VM that stays for `stay`.
    pub(super) fn forecast(
        &self,
        image: Option<&Arc<str>>,
        cpu_milli: u64,
        stay: Duration,
        weights: &Weights,
    ) -> SpeedForecast {
        let image = image_name(image);
        let wanted = self.best_effort_demand_milli() + cpu_milli;
        let free = self.best_effort_available_milli();
        let mut forecast = SpeedForecast {
            speed: cpu_share(free, wanted).min(1.0),
            bottleneck_share: cpu_share(cpu_milli, free).min(1.0),
        };
        let share = cpu_share(cpu_milli, self.capacity_milli());
        for key in &self.serving {
            let Some(run) = self.runs.get(key) else {
                continue;
            };
            let Role::Serving { image: serving, .. } = &run.role else {
                continue;
            };
            let serving = image_name(serving.as_ref());
            let estimate = weights.estimate(&serving, &image);
            let full_effect = estimate.weight * share;
            if full_effect <= 0.0 {
                continue;
            }
            let assumed = || Baseline::new(run.since, ASSUMED_BASELINE_FRACTION.ln());
            let baseline = run.baseline.unwrap_or_else(assumed);
            let margin = lending::margin(estimate.error, share, &baseline, stay);
            let headroom = self.latency_headroom(&serving, baseline.present(), weights) - margin;
            forecast.speed = forecast.speed.min((headroom / full_effect).max(0.0));
            let share_of_headroom = full_effect / headroom.max(MIN_HEADROOM);
            forecast.bottleneck_share = forecast.bottleneck_share.max(share_of_headroom.min(1.0));
        }
        forecast
    }

    /// Logarithm of the factor by which the latency of a serving image may still rise up to
    /// its target if all best-effort tasks here run at full speed.
    fn latency_headroom(&self, serving: &Arc<str>, baseline: f64, weights: &Weights) -> f64 {
        let mut headroom = -baseline;
        for (image, cpu_milli) in &self.best_effort {
            headroom -= weights.get(serving, image) * cpu_share(*cpu_milli, self.capacity_milli());
        }
        headroom
    }

    /// CPU time that the best-effort tasks here can use at full speed, in thousandths
    /// of a core.
    fn best_effort_demand_milli(&self) -> u64 {
        self.best_effort.values().sum()
    }

    /// CPU time left for best-effort tasks, in thousandths of a core.
    fn best_effort_available_milli(&self) -> u64 {
        self.capacity_milli()
            .saturating_sub(self.expected_usage_milli)
    }
}
