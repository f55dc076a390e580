//! The attempts that an agent holds, as a plain state machine.
//!
//! It obeys the highest epoch it has seen, starts an attempt at most once,
//! counts leases from the sending of the heartbeat that renewed them and keeps
//! ended attempts until the owner has recorded them. See `docs/CELLS.md`.

use std::{collections::BTreeMap, time::Duration};

use kernel::{Checkpoint, Epoch, Resources, TaskRun, Time};
use proto::{
    messages::{HeartbeatReply, Order, Renewal, StartOrder, TaskPhase, TaskReport, Usage},
    worker::{StartRun, WorkerRun},
};

/// What the state machine is told.
#[derive(Clone, Debug)]
pub enum Event {
    /// An entry answered the heartbeat that was sent at `sent_at`.
    Reply {
        /// When the heartbeat left.
        sent_at: Time,
        /// The answer.
        reply: Box<HeartbeatReply>,
    },
    /// The worker listed its attempts; the list was asked for at `asked_at`.
    Listed {
        /// When it was asked for.
        asked_at: Time,
        /// Everything the worker remembers.
        runs: Vec<WorkerRun>,
    },
    /// The worker took the start of an attempt.
    Started(TaskRun),
    /// The worker refused the start of an attempt and will not run it.
    StartRefused(TaskRun),
    /// The worker stopped an attempt.
    Stopped(WorkerRun),
    /// Whether operators let the VM take work.
    AcceptWork(bool),
    /// The agent is to take no new work any more.
    Leave,
    /// Time has passed.
    Tick,
}

/// What the daemon has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Start an attempt at the worker.
    Start(TaskRun, StartRun),
    /// Move the end of an attempt's lease at the worker.
    Renew(TaskRun, Time),
    /// Throttle an attempt, or end that.
    Throttle(TaskRun, bool),
    /// Checkpoint and stop an attempt.
    Evict(TaskRun),
    /// Stop an attempt.
    Stop(TaskRun),
    /// Let the worker forget an ended attempt.
    Forget(TaskRun),
    /// Send a heartbeat without waiting for its turn.
    Report,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Starting { until: Time },
    Live(TaskPhase),
    Stopping(Stopping),
    Ended(TaskPhase),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stopping {
    Evict,
    Stop,
}

#[derive(Clone, Debug)]
struct Held {
    phase: Phase,
    start: Option<StartRun>,
    /// Until when a start that the worker has not confirmed may still reach it.
    unconfirmed_until: Option<Time>,
    /// When the worker last showed that it knows the attempt; a list that was
    /// asked for earlier may lack it.
    known_at: Time,
    /// After this no copy of the start that is on its way can take effect.
    start_until: Time,
    /// The owner has recorded the end.
    recorded: bool,
    /// How many times the start was sent to the worker.
    sends: u32,
    reserved: Resources,
    lease_until: Time,
    checkpoint: Option<Checkpoint>,
    used: Option<Resources>,
    measured_at: Time,
}

impl Held {
    const fn never_started() -> Self {
        Self {
            phase: Phase::Ended(TaskPhase::Stopped),
            start: None,
            unconfirmed_until: None,
            known_at: Time::ZERO,
            start_until: Time::ZERO,
            recorded: false,
            sends: 0,
            reserved: Resources::NONE,
            lease_until: Time::ZERO,
            checkpoint: None,
            used: None,
            measured_at: Time::ZERO,
        }
    }
}

/// The attempts of one VM.
#[derive(Clone, Debug)]
pub struct RunTracker {
    capacity: Resources,
    epoch: Epoch,
    /// When the newest obeyed heartbeat of this epoch was sent.
    obeyed_at: Time,
    open: bool,
    leaving: bool,
    listed: bool,
    held: BTreeMap<TaskRun, Held>,
}

impl RunTracker {
    /// No attempts, on a worker that holds `capacity`.
    #[must_use]
    pub const fn new(capacity: Resources) -> Self {
        Self {
            capacity,
            epoch: Epoch(0),
            obeyed_at: Time::ZERO,
            open: true,
            leaving: false,
            listed: false,
            held: BTreeMap::new(),
        }
    }

    /// The highest epoch obeyed.
    #[must_use]
    pub const fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Whether the worker has been asked for its attempts since the start.
    #[must_use]
    pub const fn has_listed(&self) -> bool {
        self.listed
    }

    /// Whether nothing runs or is about to.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.held
            .values()
            .all(|held| matches!(held.phase, Phase::Ended(_)))
    }

    /// What to say of every attempt in the next heartbeat.
    #[must_use]
    pub fn reports(&self, now: Time) -> Vec<TaskReport> {
        let mut reports = Vec::new();
        for (run, held) in &self.held {
            if held.recorded {
                continue;
            }
            let phase = match held.phase {
                Phase::Live(phase) | Phase::Ended(phase) => phase,
                Phase::Starting { .. } | Phase::Stopping(_) => TaskPhase::Running,
            };
            let usage = held.used.map(|used| Usage {
                used,
                age_millis: now.since(held.measured_at).as_millis() as u64,
            });
            reports.push(TaskReport {
                run: run.clone(),
                phase,
                checkpoint: held.checkpoint.clone(),
                usage,
            });
        }
        reports
    }

    /// Takes one event and says what has to be done.
    pub fn handle(&mut self, now: Time, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Reply { sent_at, reply } => self.obey(now, sent_at, *reply, &mut actions),
            Event::Listed { asked_at, runs } => self.listed(asked_at, runs, &mut actions),
            Event::Started(run) => self.started(now, &run, &mut actions),
            Event::StartRefused(run) => self.refused(&run, &mut actions),
            Event::Stopped(run) => self.take(run, &mut actions),
            Event::AcceptWork(open) => self.open = open,
            Event::Leave => self.leaving = true,
            Event::Tick => self.tick(now, &mut actions),
        }
        actions
    }

    fn obey(&mut self, now: Time, sent_at: Time, reply: HeartbeatReply, out: &mut Vec<Action>) {
        let outdated = reply.epoch == self.epoch && sent_at < self.obeyed_at;
        if reply.epoch < self.epoch || outdated {
            return;
        }
        self.epoch = reply.epoch;
        self.obeyed_at = sent_at;
        for renewal in reply.renewed {
            self.renew(sent_at, renewal, out);
        }
        for order in reply.orders {
            self.order(now, sent_at, order, out);
        }
        for run in reply.recorded {
            self.recorded(now, run, out);
        }
    }

    fn renew(&mut self, sent_at: Time, renewal: Renewal, out: &mut Vec<Action>) {
        let Some(held) = self.held.get_mut(&renewal.run) else {
            return;
        };
        let until = sent_at + Duration::from_millis(renewal.lease_millis);
        if until <= held.lease_until || matches!(held.phase, Phase::Ended(_)) {
            return;
        }
        held.lease_until = until;
        if let Some(start) = &mut held.start {
            start.lease_until = until;
        }
        out.push(Action::Renew(renewal.run, until));
    }

    fn order(&mut self, now: Time, sent_at: Time, order: Order, out: &mut Vec<Action>) {
        match order {
            Order::Start(order) => self.start(now, sent_at, order, out),
            Order::Throttle(run) => self.throttle(run, true, out),
            Order::Unthrottle(run) => self.throttle(run, false, out),
            Order::Evict(run) => self.stop(run, Stopping::Evict, out),
            Order::Stop(run) => self.stop(run, Stopping::Stop, out),
        }
    }

    fn start(&mut self, now: Time, sent_at: Time, order: StartOrder, out: &mut Vec<Action>) {
        if self.held.contains_key(&order.run) {
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
        let mut held = Held {
            reserved: order.reserved,
            lease_until: start.lease_until,
            checkpoint: order.checkpoint,
            measured_at: now,
            ..Held::never_started()
        };
        if may_start {
            held.phase = Phase::Starting {
                until: start.start_until,
            };
            held.start = Some(start.clone());
            held.unconfirmed_until = Some(start.start_until);
            held.start_until = start.start_until;
            held.sends = 1;
            out.push(Action::Start(order.run.clone(), start));
        } else {
            out.push(Action::Report);
        }
        self.held.insert(order.run, held);
    }

    fn may_start(&self, now: Time, start: &StartRun) -> bool {
        if self.leaving || !self.open || !self.listed {
            return false;
        }
        if start.start_until.passed(now) || start.lease_until.passed(now) {
            return false;
        }
        self.reserved().plus(start.reserved).fits(self.capacity)
    }

    fn reserved(&self) -> Resources {
        let mut sum = Resources::NONE;
        for held in self.held.values() {
            if matches!(held.phase, Phase::Ended(_)) {
                continue;
            }
            sum = sum.plus(held.reserved);
        }
        sum
    }

    fn throttle(&mut self, run: TaskRun, on: bool, out: &mut Vec<Action>) {
        let wanted = match on {
            true => TaskPhase::Throttled,
            false => TaskPhase::Running,
        };
        let Some(held) = self.held.get_mut(&run) else {
            return;
        };
        let Phase::Live(present) = held.phase else {
            return;
        };
        if present != wanted {
            held.phase = Phase::Live(wanted);
            out.push(Action::Throttle(run, on));
        }
    }

    /// An attempt that is not known yet counts as stopped from now on, so that
    /// a start that was overtaken by its stop changes nothing.
    fn stop(&mut self, run: TaskRun, how: Stopping, out: &mut Vec<Action>) {
        let held = self
            .held
            .entry(run.clone())
            .or_insert_with(Held::never_started);
        match held.phase {
            Phase::Ended(_) => out.push(Action::Report),
            Phase::Stopping(before) if before == how => {}
            _ => {
                held.phase = Phase::Stopping(how);
                held.start = None;
                out.push(stop_action(run, how));
            }
        }
    }

    fn recorded(&mut self, now: Time, run: TaskRun, out: &mut Vec<Action>) {
        let Some(held) = self.held.get_mut(&run) else {
            return;
        };
        held.recorded = matches!(held.phase, Phase::Ended(_));
        self.forget_if_safe(now, run, out);
    }

    /// Forgets a recorded attempt, but not while a copy of its start could
    /// still reach the worker, which would run it again.
    fn forget_if_safe(&mut self, now: Time, run: TaskRun, out: &mut Vec<Action>) {
        let safe = self
            .held
            .get(&run)
            .is_some_and(|held| held.recorded && held.start_until.passed(now));
        if safe {
            self.held.remove(&run);
            out.push(Action::Forget(run));
        }
    }

    fn listed(&mut self, asked_at: Time, runs: Vec<WorkerRun>, out: &mut Vec<Action>) {
        let mut gone: Vec<TaskRun> = Vec::new();
        for (run, held) in &self.held {
            if matches!(held.phase, Phase::Ended(_)) {
                continue;
            }
            let on_its_way = held
                .unconfirmed_until
                .is_some_and(|until| !until.passed(asked_at));
            let outdated = asked_at <= held.known_at;
            if !on_its_way && !outdated && !runs.iter().any(|shown| shown.run == *run) {
                gone.push(run.clone());
            }
        }
        for run in gone {
            self.end(&run, TaskPhase::Stopped, out);
        }
        for shown in runs {
            self.take(shown, out);
        }
        self.listed = true;
    }

    /// Takes over what the worker says of one attempt.
    fn take(&mut self, shown: WorkerRun, out: &mut Vec<Action>) {
        let run = shown.run.clone();
        let held = self.held.entry(run.clone()).or_insert_with(|| Held {
            phase: Phase::Live(TaskPhase::Running),
            reserved: shown.reserved,
            lease_until: shown.lease_until,
            ..Held::never_started()
        });
        if matches!(held.phase, Phase::Ended(_)) {
            return;
        }
        held.unconfirmed_until = None;
        held.used = shown.used.or(held.used);
        held.measured_at = shown.measured_at;
        if shown.checkpoint.is_some() {
            held.checkpoint = shown.checkpoint;
        }
        match shown.phase {
            TaskPhase::Running | TaskPhase::Throttled => {
                if matches!(held.phase, Phase::Starting { .. }) {
                    held.phase = Phase::Live(shown.phase);
                    held.start = None;
                }
            }
            phase => self.end(&run, phase, out),
        }
    }

    fn started(&mut self, now: Time, run: &TaskRun, out: &mut Vec<Action>) {
        let Some(held) = self.held.get_mut(run) else {
            return;
        };
        held.start = None;
        held.unconfirmed_until = None;
        held.known_at = now;
        match held.phase {
            Phase::Starting { .. } => held.phase = Phase::Live(TaskPhase::Running),
            Phase::Stopping(how) => out.push(stop_action(run.clone(), how)),
            _ => {}
        }
    }

    /// Believes a refusal only if no other copy of the start can be on its way.
    fn refused(&mut self, run: &TaskRun, out: &mut Vec<Action>) {
        let Some(held) = self.held.get_mut(run) else {
            return;
        };
        held.start = None;
        if held.sends == 1 {
            self.end(run, TaskPhase::Stopped, out);
        }
    }

    fn end(&mut self, run: &TaskRun, phase: TaskPhase, out: &mut Vec<Action>) {
        let Some(held) = self.held.get_mut(run) else {
            return;
        };
        if matches!(held.phase, Phase::Ended(_)) {
            return;
        }
        held.phase = Phase::Ended(phase);
        held.start = None;
        out.push(Action::Report);
    }

    /// Repeats what the worker has not confirmed and ends leases that passed.
    fn tick(&mut self, now: Time, out: &mut Vec<Action>) {
        let recorded: Vec<TaskRun> = self
            .held
            .iter()
            .filter(|(_, held)| held.recorded)
            .map(|(run, _)| run.clone())
            .collect();
        for run in recorded {
            self.forget_if_safe(now, run, out);
        }
        for (run, held) in &mut self.held {
            match held.phase {
                Phase::Ended(_) => {}
                Phase::Stopping(how) => out.push(stop_action(run.clone(), how)),
                Phase::Starting { until } if !until.passed(now) => {
                    if let Some(start) = &held.start {
                        held.sends += 1;
                        out.push(Action::Start(run.clone(), start.clone()));
                    }
                }
                _ if held.lease_until.passed(now) => {
                    held.phase = Phase::Stopping(Stopping::Evict);
                    out.push(Action::Evict(run.clone()));
                }
                _ => {}
            }
        }
    }
}

fn stop_action(run: TaskRun, how: Stopping) -> Action {
    match how {
        Stopping::Evict => Action::Evict(run),
        Stopping::Stop => Action::Stop(run),
    }
}
