//! A simulated worker with fencing, leases on its own clock, and a list of ends that
//! is kept until they are recorded.

use std::collections::{BTreeMap, BTreeSet};

use kernel::Time;
use steps::{
    Timing,
    agent::{Heartbeat, PollError, PollReply, WorkerPoll},
    message::{
        ActiveRun, EndedRun, OrderResult, Refusal, RunEnd, RunKey, WorkerIncarnation, WorkerInfo,
    },
};

/// Time that a stop takes, in milliseconds.
const STOP_MILLIS: u64 = 100;

/// The fencing token of a call: the start of the incarnation for which the call is meant, then
/// the epoch of the owner.
pub(crate) type Token = (u64, u64);

/// Returns the fencing token of a call to an incarnation.
pub(crate) fn token(incarnation: &WorkerIncarnation, epoch: u64) -> Token {
    (incarnation.started_at, epoch)
}

struct SimulatedRun {
    started_at: Time,
    work_millis: u64,
    fails: bool,
    stops_at: Option<Time>,
}

pub(crate) struct SimulatedWorker {
    pub(crate) info: WorkerInfo,
    started_at: Time,
    /// Rate of the worker's clock.
    clock_rate: f64,
    /// Until when the worker answers no poll.
    pub(crate) unresponsive_until: Time,
    token: Token,
    /// Whether the worker refuses calls with a lower fencing token than it has seen.
    checks_tokens: bool,
    lease_until: u64,
    runs: BTreeMap<RunKey, SimulatedRun>,
    /// Highest run number of each task that was stopped or has ended here.
    highest_closed_run: BTreeMap<String, u64>,
    ended: Vec<EndedRun>,
    end_count: u64,
    /// Number of the last end that the worker may forget.
    recorded: u64,
    sequence: u64,
    /// When the lease was last found expired.
    pub(crate) lapsed_at: Option<Time>,
    pub(crate) expired_runs: BTreeSet<RunKey>,
}

impl SimulatedWorker {
    pub(crate) fn new(info: WorkerInfo, now: Time, clock_rate: f64) -> Self {
        Self {
            info,
            started_at: now,
            clock_rate,
            unresponsive_until: Time::ZERO,
            token: (0, 0),
            checks_tokens: true,
            lease_until: 0,
            runs: BTreeMap::new(),
            highest_closed_run: BTreeMap::new(),
            ended: Vec::new(),
            end_count: 0,
            recorded: 0,
            sequence: 0,
            lapsed_at: None,
            expired_runs: BTreeSet::new(),
        }
    }

    /// A worker that takes orders with any fencing token.
    pub(crate) fn without_fencing(mut self) -> Self {
        self.checks_tokens = false;
        self
    }

    fn is_fenced(&mut self, token: Token) -> bool {
        let is_lower = token < self.token;
        self.token = self.token.max(token);
        is_lower && self.checks_tokens
    }

    pub(crate) fn clock(&self, now: Time) -> u64 {
        let span = now.since(self.started_at).as_millis() as f64;
        1_000 + (span * self.clock_rate) as u64
    }

    pub(crate) fn heartbeat(&mut self) -> Heartbeat {
        self.sequence += 1;
        Heartbeat {
            info: self.info.clone(),
            sequence: self.sequence,
        }
    }

    pub(crate) fn runs(&self) -> impl Iterator<Item = &RunKey> {
        self.runs.keys()
    }

    pub(crate) fn started_at(&self, key: &RunKey) -> Option<Time> {
        self.runs.get(key).map(|run| run.started_at)
    }

    /// Returns whether the end with this number is recorded, so that the worker may
    /// forget it.
    pub(crate) fn is_recorded(&self, number: u64) -> bool {
        number <= self.recorded
    }

    /// Ends the runs whose lease has expired, whose stop has taken effect or whose work
    /// is done. Returns these ends.
    pub(crate) fn advance(&mut self, now: Time) -> Vec<EndedRun> {
        let is_expired = self.clock(now) > self.lease_until;
        if is_expired {
            self.lapsed_at = Some(now);
        }
        let mut ended_now = Vec::new();
        for (key, run) in &self.runs {
            let worked = now.since(run.started_at).as_millis() as u64 >= run.work_millis;
            let stopped = run.stops_at.is_some_and(|at| at.passed(now));
            let how = match (is_expired, stopped, worked) {
                (true, _, _) => RunEnd::Lapsed,
                (_, true, _) => RunEnd::Stopped,
                (_, _, true) if run.fails => RunEnd::Failed,
                (_, _, true) => RunEnd::Done,
                _ => continue,
            };
            ended_now.push((key.clone(), how));
        }
        let mut ends = Vec::new();
        for (key, how) in ended_now {
            self.runs.remove(&key);
            self.close(&key);
            self.end_count += 1;
            let end = EndedRun {
                number: self.end_count,
                key,
                how,
                checkpoint: None,
            };
            self.ended.push(end.clone());
            ends.push(end);
        }
        ends
    }

    /// A worker shortens a lease that is longer than its limit.
    fn extend_lease(&mut self, now: Time, until: u64) {
        let longest = Timing::default().max_lease.as_millis() as u64;
        let until = until.min(self.clock(now) + longest);
        self.lease_until = self.lease_until.max(until);
    }

    fn close(&mut self, key: &RunKey) {
        let closed = self
            .highest_closed_run
            .entry(key.task.to_string())
            .or_default();
        *closed = (*closed).max(key.run);
    }

    pub(crate) fn poll(&mut self, now: Time, poll: &WorkerPoll) -> Result<PollReply, PollError> {
        if !self.unresponsive_until.passed(now) {
            return Err(PollError::Unresponsive);
        }
        if poll.incarnation.worker != self.info.incarnation.worker {
            return Err(PollError::OtherIncarnation);
        }
        if self.is_fenced(token(&poll.incarnation, poll.epoch)) {
            return Err(PollError::Fenced);
        }
        self.extend_lease(now, poll.until_millis.unwrap_or_default());
        self.recorded = self.recorded.max(poll.recorded.min(self.end_count));
        self.ended.retain(|end| end.number > poll.recorded);
        let row = |key: &RunKey| ActiveRun {
            key: key.clone(),
            checkpoint: None,
            progress_percent: 0,
            measurement: 500,
        };
        Ok(PollReply {
            has_more_ends: false,
            clock_millis: self.clock(now),
            started_at: Some(self.info.incarnation.started_at),
            running: self.runs.keys().map(row).collect(),
            ended: self.ended.clone(),
        })
    }

    /// Starts a run. Returns the result and whether a new run started.
    pub(crate) fn start(
        &mut self,
        now: Time,
        key: &RunKey,
        token: Token,
        until: u64,
        (work_millis, fails): (u64, bool),
    ) -> (OrderResult, bool) {
        let refused = |refusal| (OrderResult::Refused(refusal), false);
        if self.is_fenced(token) {
            return refused(Refusal::Fenced);
        }
        if self.runs.contains_key(key) {
            return (OrderResult::Done, false);
        }
        let closed = self.highest_closed_run.get(&key.task.to_string()).copied();
        if closed.is_some_and(|run| key.run <= run) {
            return refused(Refusal::Old);
        }
        if until <= self.clock(now) {
            return refused(Refusal::Late);
        }
        self.extend_lease(now, until);
        let run = SimulatedRun {
            started_at: now,
            work_millis,
            fails,
            stops_at: None,
        };
        self.runs.insert(key.clone(), run);
        (OrderResult::Done, true)
    }

    pub(crate) fn stop(&mut self, now: Time, key: &RunKey, token: Token) -> OrderResult {
        if self.is_fenced(token) {
            return OrderResult::Refused(Refusal::Fenced);
        }
        match self.runs.get_mut(key) {
            Some(run) => {
                let at = now + std::time::Duration::from_millis(STOP_MILLIS);
                run.stops_at = Some(run.stops_at.unwrap_or(at));
            }
            None => self.close(key),
        }
        OrderResult::Done
    }
}
