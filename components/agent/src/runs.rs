//! State machine of the task attempts on one VM, without I/O.
//!
//! It ignores replies of a lower epoch than the highest one received, starts an
//! attempt at most once, counts a lease from the time at which the heartbeat that
//! renewed it was sent, and keeps an ended attempt until the owner has recorded
//! its end. See `docs/CELLS.md`.

use std::{collections::BTreeMap, time::Duration};

use kernel::{Checkpoint, Epoch, Resources, TaskRun, Time};
use proto::{
    messages::{HeartbeatReply, Order, Renewal, StartOrder, TaskPhase, TaskReport, Usage},
    worker::{StartRun, WorkerRun},
};

/// An input of the state machine.
#[derive(Clone, Debug)]
pub enum Event {
    /// An entry answered the heartbeat that was sent at `sent_at`.
    Reply {
        /// When the heartbeat was sent, by the agent's clock.
        sent_at: Time,
        /// The reply.
        reply: Box<HeartbeatReply>,
    },
    /// The worker listed its attempts.
    Listed {
        /// When the agent requested the list, by its own clock.
        asked_at: Time,
        /// All attempts that the worker remembers.
        runs: Vec<WorkerRun>,
    },
    /// The worker accepted the start of an attempt.
    Started(TaskRun),
    /// The worker refused the start of an attempt and will not run it.
    StartRefused(TaskRun),
    /// The worker stopped an attempt.
    Stopped(WorkerRun),
    /// Operators allow (`true`) or forbid (`false`) new tasks on the VM.
    AcceptWork(bool),
    /// The agent is leaving and takes no new tasks from now on.
    Leave,
    /// Time has passed; sent at regular intervals.
    Tick,
}

/// An action for [`TaskRunner`](crate::tasks::TaskRunner) to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Start an attempt at the worker.
    Start(TaskRun, StartRun),
    /// Move the end of an attempt's lease at the worker.
    Renew(TaskRun, Time),
    /// Throttle an attempt (`true`) or end its throttling (`false`).
    Throttle(TaskRun, bool),
    /// Checkpoint and stop an attempt.
    Evict(TaskRun),
    /// Stop an attempt.
    Stop(TaskRun),
    /// Make the worker forget an ended attempt.
    Forget(TaskRun),
    /// Send a heartbeat before the next regular one.
    Report,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Starting { until: Time },
    Active(TaskPhase),
    Stopping(StopMode),
    Ended(TaskPhase),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StopMode {
    Evict,
    Stop,
}

#[derive(Clone, Debug)]
struct TrackedAttempt {
    phase: Phase,
    start: Option<StartRun>,
    /// Until this time a start that the worker has not confirmed may still reach it;
    /// `None` if no unconfirmed start was sent.
    unconfirmed_until: Option<Time>,
    /// When the worker confirmed the start of the attempt; a list that was
    /// requested earlier may lack the attempt.
    confirmed_at: Time,
    /// After this time no delayed copy of the start can take effect.
    start_until: Time,
    /// The owner has recorded the end of the attempt.
    recorded: bool,
    /// How many times the start was sent to the worker.
    start_count: u32,
    reserved: Resources,
    lease_until: Time,
    checkpoint: Option<Checkpoint>,
    /// Resources used at `measured_at`; `None` before the first measurement.
    used: Option<Resources>,
    measured_at: Time,
}

impl TrackedAttempt {
    const fn never_started() -> Self {
        Self {
            phase: Phase::Ended(TaskPhase::Stopped),
            start: None,
            unconfirmed_until: None,
            confirmed_at: Time::ZERO,
            start_until: Time::ZERO,
            recorded: false,
            start_count: 0,
            reserved: Resources::NONE,
            lease_until: Time::ZERO,
            checkpoint: None,
            used: None,
            measured_at: Time::ZERO,
        }
    }
}

/// Tracks the attempts of one VM.
#[derive(Clone, Debug)]
pub struct RunTracker {
    capacity: Resources,
    epoch: Epoch,
    /// When the heartbeat was sent whose reply was applied last in this epoch.
    applied_sent_at: Time,
    accepts_work: bool,
    leaving: bool,
    has_listed: bool,
    tracked: BTreeMap<TaskRun, TrackedAttempt>,
}

impl RunTracker {
    /// Tracks no attempts yet, of a worker with `capacity`.
    #[must_use]
    pub const fn new(capacity: Resources) -> Self {
        Self {
            capacity,
            epoch: Epoch(0),
            applied_sent_at: Time::ZERO,
            accepts_work: true,
            leaving: false,
            has_listed: false,
            tracked: BTreeMap::new(),
        }
    }

    /// Returns the highest epoch whose reply was applied.
    #[must_use]
    pub const fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Whether the worker has listed its attempts since the agent started.
    #[must_use]
    pub const fn has_listed(&self) -> bool {
        self.has_listed
    }

    /// Whether every attempt that the agent tracks has ended.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.tracked
            .values()
            .all(|tracked| matches!(tracked.phase, Phase::Ended(_)))
    }

    /// Returns a report of every attempt whose end is not recorded, for the next heartbeat.
    #[must_use]
    pub fn reports(&self, now: Time) -> Vec<TaskReport> {
        let mut reports = Vec::new();
        for (run, tracked) in &self.tracked {
            if tracked.recorded {
                continue;
            }
            let phase = match tracked.phase {
                Phase::Active(phase) | Phase::Ended(phase) => phase,
                Phase::Starting { .. } | Phase::Stopping(_) => TaskPhase::Running,
            };
            let usage = tracked.used.map(|used| Usage {
                used,
                age_millis: now.since(tracked.measured_at).as_millis() as u64,
            });
            reports.push(TaskReport {
                run: run.clone(),
                phase,
                checkpoint: tracked.checkpoint.clone(),
                usage,
            });
        }
        reports
    }

    /// Applies one event and returns the actions to carry out.
    pub fn handle(&mut self, now: Time, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Reply { sent_at, reply } => self.on_reply(now, sent_at, *reply, &mut actions),
            Event::Listed { asked_at, runs } => self.on_list(asked_at, runs, &mut actions),
            Event::Started(run) => self.on_started(now, &run, &mut actions),
            Event::StartRefused(run) => self.on_start_refused(&run, &mut actions),
            Event::Stopped(run) => self.update_from_worker(run, &mut actions),
            Event::AcceptWork(accepts_work) => self.accepts_work = accepts_work,
            Event::Leave => self.leaving = true,
            Event::Tick => self.tick(now, &mut actions),
        }
        actions
    }

    fn on_reply(
        &mut self,
        now: Time,
        sent_at: Time,
        reply: HeartbeatReply,
        actions: &mut Vec<Action>,
    ) {
        let outdated = reply.epoch == self.epoch && sent_at < self.applied_sent_at;
        if reply.epoch < self.epoch || outdated {
            return;
        }
        self.epoch = reply.epoch;
        self.applied_sent_at = sent_at;
        for renewal in reply.renewed {
            self.renew(sent_at, renewal, actions);
        }
        for order in reply.orders {
            self.on_order(now, sent_at, order, actions);
        }
        for run in reply.recorded {
            self.on_recorded(now, run, actions);
        }
    }

    fn renew(&mut self, sent_at: Time, renewal: Renewal, actions: &mut Vec<Action>) {
        let Some(tracked) = self.tracked.get_mut(&renewal.run) else {
            return;
        };
        let until = sent_at + Duration::from_millis(renewal.lease_millis);
        if until <= tracked.lease_until || matches!(tracked.phase, Phase::Ended(_)) {
            return;
        }
        tracked.lease_until = until;
        if let Some(start) = &mut tracked.start {
            start.lease_until = until;
        }
        actions.push(Action::Renew(renewal.run, until));
    }

    fn on_order(&mut self, now: Time, sent_at: Time, order: Order, actions: &mut Vec<Action>) {
        match order {
            Order::Start(order) => self.on_start_order(now, sent_at, order, actions),
            Order::Throttle(run) => self.throttle(run, true, actions),
            Order::Unthrottle(run) => self.throttle(run, false, actions),
            Order::Evict(run) => self.stop(run, StopMode::Evict, actions),
            Order::Stop(run) => self.stop(run, StopMode::Stop, actions),
        }
    }

    fn on_start_order(
        &mut self,
        now: Time,
        sent_at: Time,
        order: StartOrder,
        actions: &mut Vec<Action>,
    ) {
        if self.tracked.contains_key(&order.run) {
            return;
        }
        let start = StartRun {
            program: order.program,
            reserved: order.reserved,
            checkpoint: order.checkpoint.clone(),
            lease_until: sent_at + Duration::from_millis(order.lease_millis),
            start_until: sent_at + Duration::from_millis(order.start_within_millis),
        };
        let may_start = self.may_start(now, &start);
        let mut tracked = TrackedAttempt {
            reserved: order.reserved,
            lease_until: start.lease_until,
            checkpoint: order.checkpoint,
            measured_at: now,
            ..TrackedAttempt::never_started()
        };
        if may_start {
            tracked.phase = Phase::Starting {
                until: start.start_until,
            };
            tracked.start = Some(start.clone());
            tracked.unconfirmed_until = Some(start.start_until);
            tracked.start_until = start.start_until;
            tracked.start_count = 1;
            actions.push(Action::Start(order.run.clone(), start));
        } else {
            actions.push(Action::Report);
        }
        self.tracked.insert(order.run, tracked);
    }

    fn may_start(&self, now: Time, start: &StartRun) -> bool {
        if self.leaving || !self.accepts_work || !self.has_listed {
            return false;
        }
        if start.start_until.passed(now) || start.lease_until.passed(now) {
            return false;
        }
        self.reserved().plus(start.reserved).fits(self.capacity)
    }

    fn reserved(&self) -> Resources {
        let mut sum = Resources::NONE;
        for tracked in self.tracked.values() {
            if matches!(tracked.phase, Phase::Ended(_)) {
                continue;
            }
            sum = sum.plus(tracked.reserved);
        }
        sum
    }

    fn throttle(&mut self, run: TaskRun, on: bool, actions: &mut Vec<Action>) {
        let target = match on {
            true => TaskPhase::Throttled,
            false => TaskPhase::Running,
        };
        let Some(tracked) = self.tracked.get_mut(&run) else {
            return;
        };
        let Phase::Active(present) = tracked.phase else {
            return;
        };
        if present != target {
            tracked.phase = Phase::Active(target);
            actions.push(Action::Throttle(run, on));
        }
    }

    /// Stops an attempt. An unknown attempt counts as stopped from now on, so that
    /// a start order that arrives after its stop order has no effect.
    fn stop(&mut self, run: TaskRun, mode: StopMode, actions: &mut Vec<Action>) {
        let tracked = self
            .tracked
            .entry(run.clone())
            .or_insert_with(TrackedAttempt::never_started);
        match tracked.phase {
            Phase::Ended(_) => actions.push(Action::Report),
            Phase::Stopping(current) if current == mode => {}
            _ => {
                tracked.phase = Phase::Stopping(mode);
                tracked.start = None;
                actions.push(stop_action(run, mode));
            }
        }
    }

    fn on_recorded(&mut self, now: Time, run: TaskRun, actions: &mut Vec<Action>) {
        let Some(tracked) = self.tracked.get_mut(&run) else {
            return;
        };
        tracked.recorded = matches!(tracked.phase, Phase::Ended(_));
        self.forget_if_final(now, run, actions);
    }

    /// Forgets a recorded attempt, but not while a delayed copy of its start could
    /// still reach the worker, which would run it again.
    fn forget_if_final(&mut self, now: Time, run: TaskRun, actions: &mut Vec<Action>) {
        let is_final = self
            .tracked
            .get(&run)
            .is_some_and(|tracked| tracked.recorded && tracked.start_until.passed(now));
        if is_final {
            self.tracked.remove(&run);
            actions.push(Action::Forget(run));
        }
    }

    fn on_list(&mut self, asked_at: Time, runs: Vec<WorkerRun>, actions: &mut Vec<Action>) {
        let mut missing: Vec<TaskRun> = Vec::new();
        for (run, tracked) in &self.tracked {
            if matches!(tracked.phase, Phase::Ended(_)) {
                continue;
            }
            let may_still_start = tracked
                .unconfirmed_until
                .is_some_and(|until| !until.passed(asked_at));
            let outdated = asked_at <= tracked.confirmed_at;
            if !may_still_start
                && !outdated
                && !runs.iter().any(|worker_run| worker_run.run == *run)
            {
                missing.push(run.clone());
            }
        }
        for run in missing {
            self.end(&run, TaskPhase::Stopped, actions);
        }
        for worker_run in runs {
            self.update_from_worker(worker_run, actions);
        }
        self.has_listed = true;
    }

    /// Applies the state that the worker reports for one attempt.
    fn update_from_worker(&mut self, worker_run: WorkerRun, actions: &mut Vec<Action>) {
        let run = worker_run.run.clone();
        let tracked = self
            .tracked
            .entry(run.clone())
            .or_insert_with(|| TrackedAttempt {
                phase: Phase::Active(TaskPhase::Running),
                reserved: worker_run.reserved,
                lease_until: worker_run.lease_until,
                ..TrackedAttempt::never_started()
            });
        if matches!(tracked.phase, Phase::Ended(_)) {
            return;
        }
        tracked.unconfirmed_until = None;
        tracked.used = worker_run.used.or(tracked.used);
        tracked.measured_at = worker_run.measured_at;
        if worker_run.checkpoint.is_some() {
            tracked.checkpoint = worker_run.checkpoint;
        }
        match worker_run.phase {
            TaskPhase::Running | TaskPhase::Throttled => {
                if matches!(tracked.phase, Phase::Starting { .. }) {
                    tracked.phase = Phase::Active(worker_run.phase);
                    tracked.start = None;
                }
            }
            phase => self.end(&run, phase, actions),
        }
    }

    fn on_started(&mut self, now: Time, run: &TaskRun, actions: &mut Vec<Action>) {
        let Some(tracked) = self.tracked.get_mut(run) else {
            return;
        };
        tracked.start = None;
        tracked.unconfirmed_until = None;
        tracked.confirmed_at = now;
        match tracked.phase {
            Phase::Starting { .. } => tracked.phase = Phase::Active(TaskPhase::Running),
            Phase::Stopping(mode) => actions.push(stop_action(run.clone(), mode)),
            _ => {}
        }
    }

    /// Ends the attempt only if its start was sent once; otherwise the worker may
    /// still receive another copy.
    fn on_start_refused(&mut self, run: &TaskRun, actions: &mut Vec<Action>) {
        let Some(tracked) = self.tracked.get_mut(run) else {
            return;
        };
        tracked.start = None;
        if tracked.start_count == 1 {
            self.end(run, TaskPhase::Stopped, actions);
        }
    }

    fn end(&mut self, run: &TaskRun, phase: TaskPhase, actions: &mut Vec<Action>) {
        let Some(tracked) = self.tracked.get_mut(run) else {
            return;
        };
        if matches!(tracked.phase, Phase::Ended(_)) {
            return;
        }
        tracked.phase = Phase::Ended(phase);
        tracked.start = None;
        actions.push(Action::Report);
    }

    /// Repeats unconfirmed starts and stops, and evicts attempts whose lease expired.
    fn tick(&mut self, now: Time, actions: &mut Vec<Action>) {
        let recorded: Vec<TaskRun> = self
            .tracked
            .iter()
            .filter(|(_, tracked)| tracked.recorded)
            .map(|(run, _)| run.clone())
            .collect();
        for run in recorded {
            self.forget_if_final(now, run, actions);
        }
        for (run, tracked) in &mut self.tracked {
            match tracked.phase {
                Phase::Ended(_) => {}
                Phase::Stopping(mode) => actions.push(stop_action(run.clone(), mode)),
                Phase::Starting { until } if !until.passed(now) => {
                    if let Some(start) = &tracked.start {
                        tracked.start_count += 1;
                        actions.push(Action::Start(run.clone(), start.clone()));
                    }
                }
                _ if tracked.lease_until.passed(now) => {
                    tracked.phase = Phase::Stopping(StopMode::Evict);
                    actions.push(Action::Evict(run.clone()));
                }
                _ => {}
            }
        }
    }
}

fn stop_action(run: TaskRun, mode: StopMode) -> Action {
    match mode {
        StopMode::Evict => Action::Evict(run),
        StopMode::Stop => Action::Stop(run),
    }
}
