//! The keeper of a worker: obeys the newest owner, holds the leases of what
//! runs, and remembers what has ended until its record is durable.

use std::collections::BTreeMap;

use kernel::{EntryName, Time};

use crate::{
    Timing,
    interference::Weights,
    message::{
        ActiveRun, AgentReport, ClockReading, EndedRun, Orders, OwnerHeader, Refusal, ReportPoll,
        Role, RunKey, StartOrder, WorkerIncarnation, WorkerInfo,
    },
    pace::Pacer,
};

/// How long one look at the worker waits for an end, in milliseconds; the worker
/// allows two seconds, and a lease needs at least two renewals.
pub const POLL_WAIT_MILLIS: u64 = 1_000;
/// The same while tasks that serve share the worker with tasks that fill: their
/// figures change every half second.
const PACING_WAIT_MILLIS: u64 = 500;
/// How many looks in a row go unanswered before the worker counts as silent.
const SILENT_AFTER: u32 = 2;

/// What a worker says of itself from time to time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Heartbeat {
    /// The worker as it is.
    pub info: WorkerInfo,
    /// Rises with each heartbeat of a life.
    pub sequence: u64,
}

/// One look at the worker: renews leases and asks what runs and what ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerPoll {
    /// The number of the look.
    pub number: u64,
    /// The life that is meant.
    pub incarnation: WorkerIncarnation,
    /// The fencing token.
    pub epoch: u64,
    /// Until when everything there may run, on the worker's clock.
    pub until_millis: Option<u64>,
    /// Ends up to this one may be forgotten.
    pub recorded: u64,
    /// How long the worker may wait for an end.
    pub wait_millis: u64,
}

/// What a worker answers to a look.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PollReply {
    /// The worker's clock.
    pub clock_millis: u64,
    /// When its life began, if it says so.
    pub started_at: Option<u64>,
    /// What runs.
    pub running: Vec<ActiveRun>,
    /// What ended.
    pub ended: Vec<EndedRun>,
}

/// Why a worker gave no answer to a look.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PollError {
    /// It did not answer in time, or can't be reached.
    Unresponsive,
    /// Another life answered.
    OtherIncarnation,
    /// It has seen a higher fencing token.
    Fenced,
}

/// A start that may be sent to the worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StartGrant {
    /// The fencing token.
    pub epoch: u64,
    /// Until when the run may live, on the worker's clock.
    pub until_millis: u64,
}

/// The state beside one worker.
#[derive(Debug)]
pub struct AgentState {
    timing: Timing,
    /// When it began, which tells its lives apart.
    began: Time,
    version: u64,
    epoch: u64,
    owner: Option<EntryName>,
    confirmed_epoch: u64,
    worker: Option<WorkerInfo>,
    sequence: u64,
    /// A reading of the worker's clock and when it arrived.
    clock: Option<(u64, Time)>,
    /// The newest stamp that an owner has echoed, on the worker's clock.
    echo: Option<u64>,
    /// The latest end of a lease that was granted, on the worker's clock.
    until: u64,
    /// When leases that an earlier process here may have granted have ended.
    earlier_until: Time,
    silent: u32,
    leases_expired: bool,
    look_begun: u64,
    look_applied: u64,
    recorded: u64,
    running: Vec<ActiveRun>,
    ended: BTreeMap<u64, EndedRun>,
    roles: BTreeMap<RunKey, Role>,
    /// How much images disturb.
    weights: Weights,
    pacer: Pacer,
}

impl AgentState {
    /// A keeper that has just started and knows nothing of its worker.
    #[must_use]
    pub fn new(timing: Timing, now: Time) -> Self {
        let earlier = timing.lease.div_f64(0.98) + timing.kill_slack;
        Self {
            version: 1,
            epoch: 0,
            owner: None,
            confirmed_epoch: 0,
            worker: None,
            sequence: 0,
            clock: None,
            echo: None,
            until: 0,
            earlier_until: now + earlier,
            silent: 0,
            leases_expired: false,
            look_begun: 0,
            look_applied: 0,
            recorded: 0,
            running: Vec::new(),
            ended: BTreeMap::new(),
            roles: BTreeMap::new(),
            weights: Weights::default(),
            pacer: Pacer::default(),
            timing,
            began: now,
        }
    }

    /// The worker, if it is known.
    #[must_use]
    pub const fn worker(&self) -> Option<&WorkerInfo> {
        self.worker.as_ref()
    }

    /// The version of the report.
    #[must_use]
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// The highest epoch seen.
    #[must_use]
    pub const fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Whether ends wait for their records.
    #[must_use]
    pub fn has_unrecorded_ends(&self) -> bool {
        !self.ended.is_empty()
    }

    /// Whether a look under the newest epoch is still to be answered.
    #[must_use]
    pub fn is_unconfirmed(&self) -> bool {
        self.worker.is_some() && self.confirmed_epoch < self.epoch
    }

    /// Takes in a heartbeat; a late one of an earlier life changes nothing.
    pub fn apply_heartbeat(&mut self, beat: Heartbeat) {
        let same_life = match &self.worker {
            Some(known) if known.incarnation == beat.info.incarnation => true,
            Some(known) if known.incarnation.started_at > beat.info.incarnation.started_at => {
                tracing::info!(
                    worker = %beat.info.incarnation.worker,
                    born = beat.info.incarnation.started_at,
                    known_born = known.incarnation.started_at,
                    "late heartbeat of an earlier life ignored"
                );
                return;
            }
            _ => false,
        };
        if same_life && beat.sequence <= self.sequence {
            return;
        }
        self.sequence = beat.sequence;
        if !same_life {
            tracing::info!(
                worker = %beat.info.incarnation.worker,
                born = beat.info.incarnation.started_at,
                zone = %beat.info.zone,
                "a new life of the worker"
            );
            self.begin_life();
        }
        if self.worker.as_ref() == Some(&beat.info) {
            return;
        }
        if same_life && beat.info.draining {
            tracing::info!(worker = %beat.info.incarnation.worker, "the worker drains");
        }
        self.worker = Some(beat.info);
        self.version += 1;
    }

    /// The worker has left, so nothing runs there.
    pub fn worker_left(&mut self, worker: &str) {
        let is_known = self
            .worker
            .as_ref()
            .is_some_and(|known| known.incarnation.worker.as_ref() == worker);
        if !is_known {
            return;
        }
        tracing::info!(worker, "the worker has left");
        self.begin_life();
        self.worker = None;
        self.leases_expired = true;
        self.version += 1;
    }

    fn begin_life(&mut self) {
        self.clock = None;
        self.echo = None;
        self.until = 0;
        self.earlier_until = Time::ZERO;
        self.silent = 0;
        self.leases_expired = false;
        self.confirmed_epoch = 0;
        self.recorded = 0;
        self.running.clear();
        self.ended.clear();
        self.roles.clear();
        self.pacer = Pacer::default();
    }

    /// Takes in the word of an owner; whether it is to be obeyed.
    pub fn accept_header(&mut self, header: &OwnerHeader) -> bool {
        if header.epoch < self.epoch {
            tracing::warn!(
                owner = %header.owner,
                epoch = header.epoch,
                seen = self.epoch,
                "call of an earlier owner refused"
            );
            return false;
        }
        if header.epoch > self.epoch {
            tracing::info!(owner = %header.owner, epoch = header.epoch, "a new owner");
            self.epoch = header.epoch;
            self.owner = Some(header.owner.clone());
            self.version += 1;
        }
        let Some(worker) = &self.worker else {
            return true;
        };
        if let Some(echo) = &header.echo
            && echo.incarnation == worker.incarnation
        {
            self.echo = self.echo.max(Some(echo.millis));
        }
        if let Some((incarnation, number)) = &header.recorded
            && *incarnation == worker.incarnation
            && *number > self.recorded
        {
            self.recorded = *number;
            self.ended = self.ended.split_off(&(number + 1));
        }
        true
    }

    /// Takes in a call that waits for news; whether it is to be obeyed.
    pub fn accept_poll(&mut self, attend: &ReportPoll) -> bool {
        if !self.accept_header(&attend.header) {
            return false;
        }
        for (key, role) in &attend.roles {
            self.roles.insert(key.clone(), role.clone());
        }
        for weight in &attend.weights {
            self.weights.set(weight);
        }
        true
    }

    /// What the worker's clock shows at `now`, at most.
    fn clock_at(&self, now: Time) -> Option<u64> {
        let (millis, at) = self.clock?;
        let passed = Timing::min_elapsed_on_worker(now.since(at)).as_millis();
        Some(millis.saturating_add(u64::try_from(passed).unwrap_or(u64::MAX)))
    }

    /// Until when leases may be granted at `now`, on the worker's clock.
    fn lease_until(&self, now: Time) -> Option<u64> {
        let lease = millis(self.timing.lease);
        let wanted = self.clock_at(now)?.saturating_add(lease);
        let allowed = self
            .echo?
            .saturating_add(millis(self.timing.contact_grace) + lease);
        Some(wanted.min(allowed))
    }

    /// The next look at the worker; none while no owner or no worker is known.
    pub fn next_poll(&mut self, now: Time, may_wait: bool) -> Option<WorkerPoll> {
        let incarnation = self.worker.as_ref()?.incarnation.clone();
        if self.epoch == 0 {
            return None;
        }
        // A worker that does not answer is granted nothing more, or its leases
        // would never be known to have ended.
        let until_millis = self.lease_until(now).filter(|_| self.silent == 0);
        self.until = self.until.max(until_millis.unwrap_or_default());
        self.look_begun += 1;
        let wait_millis = match may_wait && !self.is_unconfirmed() {
            false => 0,
            true if self.paces() => PACING_WAIT_MILLIS,
            true => POLL_WAIT_MILLIS,
        };
        Some(WorkerPoll {
            number: self.look_begun,
            incarnation,
            epoch: self.epoch,
            until_millis,
            recorded: self.recorded,
            wait_millis,
        })
    }

    fn capacity_milli(&self) -> u64 {
        let room = self.worker.as_ref().map(|worker| worker.capacity);
        room.unwrap_or_default().cpu_milli
    }

    fn paces(&self) -> bool {
        let has = |wanted: fn(&Role) -> bool| {
            self.running
                .iter()
                .any(|row| self.roles.get(&row.key).is_some_and(wanted))
        };
        has(|role| matches!(role, Role::BestEffort { .. }))
            && has(|role| matches!(role, Role::Serving { .. }))
    }

    /// Takes in the answer to a look; gives the paces to be set.
    pub fn apply_reply(
        &mut self,
        now: Time,
        look: &WorkerPoll,
        seen: PollReply,
    ) -> Vec<(RunKey, u32)> {
        let Some(worker) = &mut self.worker else {
            return Vec::new();
        };
        if worker.incarnation != look.incarnation {
            return Vec::new();
        }
        if let Some(born) = seen.started_at
            && born != worker.incarnation.started_at
        {
            if born < worker.incarnation.started_at {
                return Vec::new();
            }
            tracing::info!(worker = %worker.incarnation.worker, born, "the worker has restarted");
            worker.incarnation.started_at = born;
            self.sequence = 0;
            self.begin_life();
            self.version += 1;
            return Vec::new();
        }
        if self.silent >= SILENT_AFTER {
            tracing::info!(worker = %worker.incarnation.worker, "the worker answers again");
            self.version += 1;
        }
        self.silent = 0;
        self.leases_expired = false;
        if look.number > self.look_applied {
            self.clock = Some((seen.clock_millis, now));
        }
        if look.epoch > self.confirmed_epoch {
            self.confirmed_epoch = look.epoch;
            self.version += 1;
        }
        for end in seen.ended {
            if end.number > self.recorded && !self.ended.contains_key(&end.number) {
                self.roles.remove(&end.key);
                self.pacer.forget(&end.key);
                self.ended.insert(end.number, end);
                self.version += 1;
            }
        }
        if look.number <= self.look_applied {
            return Vec::new();
        }
        self.look_applied = look.number;
        if !same_runs(&self.running, &seen.running) {
            self.version += 1;
        }
        self.running = seen.running;
        let capacity_milli = self.capacity_milli();
        self.pacer.decide(
            now,
            capacity_milli,
            &self.running,
            &self.roles,
            &self.weights,
        )
    }

    /// Takes in that a look was not answered.
    pub fn apply_error(&mut self, now: Time, look: &WorkerPoll, why: PollError) {
        let is_current = self
            .worker
            .as_ref()
            .is_some_and(|w| w.incarnation == look.incarnation);
        if !is_current {
            return;
        }
        match why {
            PollError::Unresponsive => {
                self.silent = self.silent.saturating_add(1);
                if self.silent == SILENT_AFTER {
                    tracing::warn!(worker = %look.incarnation.worker, "the worker is silent");
                    self.version += 1;
                }
                self.check_lease_expiry(now);
            }
            PollError::OtherIncarnation => {
                tracing::info!(worker = %look.incarnation.worker, "another incarnation of the worker answers");
                self.worker_left(&look.incarnation.worker.clone());
            }
            PollError::Fenced => {
                tracing::warn!(
                    worker = %look.incarnation.worker,
                    epoch = look.epoch,
                    "the worker has seen a higher epoch"
                );
            }
        }
    }

    /// Notes when the last lease of a silent worker has ended.
    pub fn check_lease_expiry(&mut self, now: Time) {
        if self.leases_expired || self.silent < SILENT_AFTER {
            return;
        }
        let slack = millis(self.timing.kill_slack);
        let has_ended = match self.clock_at(now) {
            Some(clock) => clock > self.until.saturating_add(slack),
            None => true,
        };
        if has_ended && self.earlier_until.passed(now) {
            tracing::warn!(
                until_millis = self.until,
                "all leases of the silent worker have ended"
            );
            self.leases_expired = true;
            self.running.clear();
            self.version += 1;
        }
    }

    /// Whether orders may be sent to the worker now, and under which lease.
    ///
    /// # Errors
    ///
    /// Returns why the order must not be sent.
    pub fn admit(&mut self, now: Time, orders: &Orders) -> Result<StartGrant, Refusal> {
        if orders.header.epoch < self.epoch {
            return Err(Refusal::Fenced);
        }
        let worker = self.worker.as_ref().ok_or(Refusal::Worker)?;
        // An owner that was told that all leases have ended takes nothing to run
        // there, so nothing may begin before the worker answers again.
        let is_silent = self.leases_expired || self.silent >= SILENT_AFTER;
        if worker.incarnation != orders.incarnation || worker.draining || is_silent {
            return Err(Refusal::Worker);
        }
        let clock = self.clock_at(now).ok_or(Refusal::Worker)?;
        if clock > orders.start_by_millis {
            return Err(Refusal::Late);
        }
        let until_millis = self.lease_until(now).ok_or(Refusal::Late)?;
        self.until = self.until.max(until_millis);
        Ok(StartGrant {
            epoch: self.epoch,
            until_millis,
        })
    }

    /// Remembers a run that the worker took; gives the pace it has to start at
    /// if that isn't the full one.
    pub fn record_start(&mut self, start: &StartOrder) -> Option<u32> {
        self.roles.insert(start.key.clone(), start.role.clone());
        let capacity_milli = self.capacity_milli();
        let percent = self.pacer.first(&start.role, capacity_milli, &self.weights);
        (percent < 100).then_some(percent)
    }

    /// Notes a pace that the worker has taken.
    pub fn record_pace(&mut self, key: &RunKey, percent: u32) {
        self.pacer.set(key, percent);
    }

    /// The number of the last look that was begun.
    #[must_use]
    pub const fn last_poll_number(&self) -> u64 {
        self.look_begun
    }

    /// What an owner is told.
    #[must_use]
    pub fn report(&self, now: Time) -> AgentReport {
        let clock_reading = self.worker.as_ref().and_then(|worker| {
            Some(ClockReading {
                incarnation: worker.incarnation.clone(),
                millis: self.clock_at(now)?,
            })
        });
        let leases_expired =
            self.leases_expired || (self.worker.is_none() && self.earlier_until.passed(now));
        AgentReport {
            agent_incarnation: self.began.0,
            version: self.version,
            epoch: self.epoch,
            confirmed_epoch: self.confirmed_epoch,
            worker: self.worker.clone(),
            worker_responsive: self.worker.is_some() && self.silent < SILENT_AFTER,
            leases_expired,
            clock_reading,
            poll: self.look_applied,
            running: self.running.clone(),
            ended: self.ended.values().cloned().collect(),
        }
    }
}

fn millis(span: std::time::Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

fn same_runs(old: &[ActiveRun], new: &[ActiveRun]) -> bool {
    old.len() == new.len() && old.iter().zip(new).all(|(old, new)| old.key == new.key)
}
