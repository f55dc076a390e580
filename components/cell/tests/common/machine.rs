//! A simulated VM: the state machine of its agent and a fake worker.

use agent::runs::{Action, Event, RunTracker};
use fakes::{history::History, worker::FakeWorker};
use kernel::{Time, VmInfo};
use proto::{
    messages::{Heartbeat, HeartbeatReply},
    worker::{RenewRun, ThrottleRun},
};

/// A heartbeat without a reply yet.
pub(crate) struct PendingHeartbeat {
    pub(crate) id: u64,
    pub(crate) sent: Time,
}

pub(crate) struct Machine {
    pub(crate) info: VmInfo,
    pub(crate) runs: RunTracker,
    pub(crate) worker: FakeWorker,
    /// The process that the agent sends heartbeats to.
    pub(crate) target_process: usize,
    pub(crate) pending: Option<PendingHeartbeat>,
    pub(crate) next_heartbeat: Time,
    pub(crate) paused_until: Time,
    /// When the agent starts again; `None` while it runs.
    pub(crate) down_until: Option<Time>,
    /// Maximum delay of calls from the agent to the worker, in milliseconds.
    pub(crate) worker_delay: u64,
    /// Number of replacements of the VM; calls to an earlier worker are lost.
    pub(crate) worker_incarnation: u64,
    sequence: u64,
}

impl Machine {
    pub(crate) fn new(info: VmInfo, history: History) -> Self {
        Self {
            runs: RunTracker::new(info.capacity),
            worker: FakeWorker::new(info.vm.clone(), info.capacity, history),
            info,
            target_process: 0,
            pending: None,
            next_heartbeat: Time::ZERO,
            paused_until: Time::ZERO,
            down_until: None,
            worker_delay: 5,
            worker_incarnation: 0,
            sequence: 0,
        }
    }

    /// Restarts the agent without any of its state.
    pub(crate) fn restart(&mut self) {
        self.info.incarnation.0 += 1;
        self.runs = RunTracker::new(self.info.capacity);
        self.pending = None;
        self.down_until = None;
        self.sequence = 0;
    }

    /// Replaces the VM by an empty one whose agent starts at `up_at`.
    pub(crate) fn replace(&mut self, now: Time, up_at: Time) {
        self.worker.lose_all_runs(now);
        self.worker_incarnation += 1;
        self.down_until = Some(up_at);
    }

    pub(crate) fn heartbeat(&mut self, now: Time, id: u64) -> Heartbeat {
        self.sequence += 1;
        self.pending = Some(PendingHeartbeat { id, sent: now });
        Heartbeat {
            vm: self.info.vm.clone(),
            incarnation: self.info.incarnation,
            sequence: self.sequence,
            info: Some(self.info.clone()),
            epoch: self.runs.epoch(),
            revision: kernel::Revision::default(),
            leaving: false,
            load: Vec::new(),
            tasks_unknown: !self.runs.has_listed(),
            tasks: self.runs.reports(now),
        }
    }

    /// Handles a reply if it belongs to the pending heartbeat.
    pub(crate) fn handle_reply(
        &mut self,
        now: Time,
        id: u64,
        reply: HeartbeatReply,
    ) -> Vec<Action> {
        let sent_at = match &self.pending {
            Some(pending) if pending.id == id => pending.sent,
            _ => return Vec::new(),
        };
        self.pending = None;
        let reply = Box::new(reply);
        self.runs.handle(now, Event::Reply { sent_at, reply })
    }

    /// Executes an action of the agent on the worker and returns the resulting event.
    pub(crate) fn execute(&mut self, now: Time, action: &Action) -> Option<Event> {
        let worker = &mut self.worker;
        match action {
            Action::Start(run, start) => Some(match worker.start(now, run, start.clone()) {
                Ok(()) => Event::Started(run.clone()),
                Err(_) => Event::StartRefused(run.clone()),
            }),
            Action::Renew(run, until) => {
                let lease_until = *until;
                worker.renew(now, run, RenewRun { lease_until });
                None
            }
            Action::Throttle(run, on) => {
                worker.throttle(now, run, ThrottleRun { on: *on });
                None
            }
            Action::Evict(run) => worker.evict(now, run).map(Event::Stopped),
            Action::Stop(run) => worker.stop(now, run).map(Event::Stopped),
            Action::Forget(run) => {
                worker.forget(run);
                None
            }
            Action::Report => None,
        }
    }

    /// Returns whether the agent runs at `now`.
    pub(crate) fn is_running_at(&self, now: Time) -> bool {
        self.down_until.is_none() && self.paused_until.passed(now)
    }
}
