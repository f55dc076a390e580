//! A worker as its platform describes it: fencing, leases on its own clock, ends
//! that it lists until they are noted.

use std::collections::{BTreeMap, BTreeSet};

use kernel::Time;
use steps::{
    agent::{Heartbeat, PollError, PollReply, WorkerPoll},
    message::{ActiveRun, EndedRun, OrderResult, Refusal, RunEnd, RunKey, WorkerInfo},
};

/// How long a stop takes, in milliseconds.
const STOP_MILLIS: u64 = 100;

struct Present {
    began: Time,
    work_millis: u64,
    fails: bool,
    stops_at: Option<Time>,
}

pub(crate) struct Worker {
    pub(crate) info: WorkerInfo,
    began: Time,
    /// How fast its clock runs.
    rate: f64,
    pub(crate) silent_until: Time,
    token: u64,
    until: u64,
    present: BTreeMap<RunKey, Present>,
    /// The highest run of each task that was stopped or has ended here.
    closed: BTreeMap<String, u64>,
    ended: Vec<EndedRun>,
    ends: u64,
    noted: u64,
    sequence: u64,
    pub(crate) lapsed: BTreeSet<RunKey>,
}

impl Worker {
    pub(crate) fn new(info: WorkerInfo, now: Time, rate: f64) -> Self {
        Self {
            info,
            began: now,
            rate,
            silent_until: Time::ZERO,
            token: 0,
            until: 0,
            present: BTreeMap::new(),
            closed: BTreeMap::new(),
            ended: Vec::new(),
            ends: 0,
            noted: 0,
            sequence: 0,
            lapsed: BTreeSet::new(),
        }
    }

    pub(crate) fn clock(&self, now: Time) -> u64 {
        let span = now.since(self.began).as_millis() as f64;
        1_000 + (span * self.rate) as u64
    }

    pub(crate) fn heartbeat(&mut self) -> Heartbeat {
        self.sequence += 1;
        Heartbeat {
            info: self.info.clone(),
            sequence: self.sequence,
        }
    }

    pub(crate) fn runs(&self) -> impl Iterator<Item = &RunKey> {
        self.present.keys()
    }

    /// Ends that were noted when they are asked for.
    pub(crate) fn is_noted(&self, number: u64) -> bool {
        number <= self.noted
    }

    /// Lets time pass; gives the ends that came, with their numbers.
    pub(crate) fn advance(&mut self, now: Time) -> Vec<EndedRun> {
        let is_lapsed = self.clock(now) > self.until;
        let mut over = Vec::new();
        for (key, run) in &self.present {
            let worked = now.since(run.began).as_millis() as u64 >= run.work_millis;
            let stopped = run.stops_at.is_some_and(|at| at.passed(now));
            let how = match (is_lapsed, stopped, worked) {
                (true, _, _) => RunEnd::Lapsed,
                (_, true, _) => RunEnd::Stopped,
                (_, _, true) if run.fails => RunEnd::Failed,
                (_, _, true) => RunEnd::Done,
                _ => continue,
            };
            over.push((key.clone(), how));
        }
        let mut ends = Vec::new();
        for (key, how) in over {
            self.present.remove(&key);
            self.close(&key);
            self.ends += 1;
            let end = EndedRun {
                number: self.ends,
                key,
                how,
                checkpoint: None,
            };
            self.ended.push(end.clone());
            ends.push(end);
        }
        ends
    }

    fn close(&mut self, key: &RunKey) {
        let closed = self.closed.entry(key.task.to_string()).or_default();
        *closed = (*closed).max(key.run);
    }

    pub(crate) fn look(&mut self, now: Time, look: &WorkerPoll) -> Result<PollReply, PollError> {
        if !self.silent_until.passed(now) {
            return Err(PollError::Unresponsive);
        }
        if look.incarnation.worker != self.info.incarnation.worker {
            return Err(PollError::OtherIncarnation);
        }
        if look.epoch < self.token {
            return Err(PollError::Fenced);
        }
        self.token = look.epoch;
        self.until = self.until.max(look.until_millis.unwrap_or_default());
        self.noted = self.noted.max(look.recorded);
        self.ended.retain(|end| end.number > look.recorded);
        let row = |key: &RunKey| ActiveRun {
            key: key.clone(),
            checkpoint: None,
            progress_percent: 0,
            measurement: 500,
        };
        Ok(PollReply {
            clock_millis: self.clock(now),
            started_at: Some(self.info.incarnation.started_at),
            running: self.present.keys().map(row).collect(),
            ended: self.ended.clone(),
        })
    }

    /// Starts a run; whether one began that was not there.
    pub(crate) fn start(
        &mut self,
        now: Time,
        key: &RunKey,
        epoch: u64,
        until: u64,
        (work_millis, fails): (u64, bool),
    ) -> (OrderResult, bool) {
        let refused = |refusal| (OrderResult::Refused(refusal), false);
        if epoch < self.token {
            return refused(Refusal::Fenced);
        }
        self.token = epoch;
        if self.present.contains_key(key) {
            return (OrderResult::Done, false);
        }
        let closed = self.closed.get(&key.task.to_string()).copied();
        if closed.is_some_and(|run| key.run <= run) {
            return refused(Refusal::Old);
        }
        if until <= self.clock(now) {
            return refused(Refusal::Late);
        }
        self.until = self.until.max(until);
        let run = Present {
            began: now,
            work_millis,
            fails,
            stops_at: None,
        };
        self.present.insert(key.clone(), run);
        (OrderResult::Done, true)
    }

    pub(crate) fn stop(&mut self, now: Time, key: &RunKey, epoch: u64) -> OrderResult {
        if epoch < self.token {
            return OrderResult::Refused(Refusal::Fenced);
        }
        self.token = epoch;
        match self.present.get_mut(key) {
            Some(run) => {
                let at = now + std::time::Duration::from_millis(STOP_MILLIS);
                run.stops_at = Some(run.stops_at.unwrap_or(at));
            }
            None => self.close(key),
        }
        OrderResult::Done
    }
}
