//! A VM: its agent's state machine and the stand-in of its worker.

use agent::runs::{Action, Event, Runs};
use fakes::{history::History, worker::FakeWorker};
use kernel::{Time, VmInfo};
use proto::{
    messages::{Heartbeat, HeartbeatReply},
    worker::{RenewRun, ThrottleRun},
};

/// A heartbeat without an answer yet.
pub(crate) struct Waiting {
    pub(crate) id: u64,
    pub(crate) sent: Time,
}

pub(crate) struct Machine {
    pub(crate) info: VmInfo,
    pub(crate) runs: Runs,
    pub(crate) worker: FakeWorker,
    /// Which process the agent sends heartbeats to.
    pub(crate) target: usize,
    pub(crate) waiting: Option<Waiting>,
    pub(crate) next_beat: Time,
    pub(crate) paused_until: Time,
    /// When the agent starts again, while it is down.
    pub(crate) down_until: Option<Time>,
    /// Calls between agent and worker take this long, in milliseconds.
    pub(crate) worker_delay: u64,
    /// Counts the replacements of the VM; calls to an earlier worker are lost.
    pub(crate) worker_life: u64,
    sequence: u64,
}

impl Machine {
    pub(crate) fn new(info: VmInfo, history: History) -> Self {
        Self {
            runs: Runs::new(info.capacity),
            worker: FakeWorker::new(info.vm.clone(), info.capacity, history),
            info,
            target: 0,
            waiting: None,
            next_beat: Time::ZERO,
            paused_until: Time::ZERO,
            down_until: None,
            worker_delay: 5,
            worker_life: 0,
            sequence: 0,
        }
    }

    /// The agent starts again and knows nothing.
    pub(crate) fn restart(&mut self) {
        self.info.incarnation.0 += 1;
        self.runs = Runs::new(self.info.capacity);
        self.waiting = None;
        self.down_until = None;
        self.sequence = 0;
    }

    /// The VM is replaced by an empty one whose agent starts later.
    pub(crate) fn replace(&mut self, now: Time, back: Time) {
        self.worker.lose_everything(now);
        self.worker_life += 1;
        self.down_until = Some(back);
    }

    pub(crate) fn heartbeat(&mut self, now: Time, id: u64) -> Heartbeat {
        self.sequence += 1;
        self.waiting = Some(Waiting { id, sent: now });
        Heartbeat {
            vm: self.info.vm.clone(),
            incarnation: self.info.incarnation,
            sequence: self.sequence,
            info: Some(self.info.clone()),
            epoch: self.runs.epoch(),
            revision: kernel::Revision::default(),
            leaving: false,
            load: Vec::new(),
            tasks_unknown: !self.runs.known(),
            tasks: self.runs.reports(now),
        }
    }

    /// Takes an answer if it is the one waited for.
    pub(crate) fn obey(&mut self, now: Time, id: u64, reply: HeartbeatReply) -> Vec<Action> {
        let sent_at = match &self.waiting {
            Some(waiting) if waiting.id == id => waiting.sent,
            _ => return Vec::new(),
        };
        self.waiting = None;
        let reply = Box::new(reply);
        self.runs.handle(now, Event::Reply { sent_at, reply })
    }

    /// What the worker does with a call, and what the agent learns from that.
    pub(crate) fn work(&mut self, now: Time, action: &Action) -> Option<Event> {
        let worker = &mut self.worker;
        match action {
            Action::Start(run, start) => Some(match worker.start(now, run, start.clone()) {
                Ok(()) => Event::Started(run.clone()),
                Err(_) => Event::Refused(run.clone()),
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

    /// Whether the agent runs at `now`.
    pub(crate) fn runs_at(&self, now: Time) -> bool {
        self.down_until.is_none() && self.paused_until.passed(now)
    }
}
