//! Decision state of the agent on the VM of a worker: accepts orders only from the
//! newest owner, grants the leases of the worker's runs, and keeps run ends until their
//! records are durable.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use kernel::{EntryName, Resources, Time};

use crate::{
    Timing,
    crash::{TrackedRuns, WorkerCrash},
    interference::Weights,
    listing::SentLists,
    message::{
        ActiveRun, AgentReport, ClockReading, EndedRun, OrderResult, Orders, OwnerHeader, Refusal,
        ReportPoll, Role, RunKey, StartOrder, WorkerIncarnation, WorkerInfo,
    },
    pace::Pacer,
};

/// Time that the worker may hold a poll until a run ends, in milliseconds. The worker
/// allows two seconds, and a lease must be renewed at least twice.
pub const POLL_WAIT_MILLIS: u64 = 1_000;
/// Wait of a poll while serving tasks and best-effort tasks share the worker, in
/// milliseconds: their measurements change every half second.
const PACING_POLL_WAIT_MILLIS: u64 = 500;
/// Number of polls in a row without an answer after which the worker counts as
/// unresponsive.
const UNRESPONSIVE_AFTER_POLLS: u32 = 2;

/// The most runs that the log line about a crash names.
const MAX_NAMED_RUNS: usize = 20;

/// The most crashes that are kept until their records are durable.
const MAX_CRASHES: usize = 32;
/// Time after which an unanswered start is not carried out any more.
const UNANSWERED_RETENTION: Duration = Duration::from_secs(30);
/// Interval between two polls that check whether the worker has survived a run.
const DOUBTS_POLL_INTERVAL: Duration = Duration::from_millis(150);

/// By how much the clock of a worker may be ahead of that of its agent.
const MAX_CLOCK_LEAD: Duration = Duration::from_secs(60);
/// The most heartbeats of a worker that its agent may miss.
const MAX_MISSED_HEARTBEATS: u64 = 1_000_000;

/// Periodic message from a worker about itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Heartbeat {
    /// Description of the worker.
    pub info: WorkerInfo,
    /// Increases with each heartbeat of an incarnation.
    pub sequence: u64,
}

/// A poll of the worker: renews its leases and asks for its active and ended runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerPoll {
    /// Number of the poll, counted from the start of the agent.
    pub number: u64,
    /// Incarnation that the poll is meant for.
    pub incarnation: WorkerIncarnation,
    /// Fencing token.
    pub epoch: u64,
    /// Until when all runs may continue, on the worker's clock; `None` renews no
    /// lease.
    pub until_millis: Option<u64>,
    /// Number of the last end that the worker may forget; 0 if it has already forgotten all
    /// that it may.
    pub recorded: u64,
    /// Time that the worker may hold the poll until a run ends, in milliseconds.
    pub wait_millis: u64,
}

/// Reply of a worker to a poll.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PollReply {
    /// Reading of the worker's clock in milliseconds.
    pub clock_millis: u64,
    /// Start of the worker's incarnation in milliseconds since 1970, if the reply
    /// contains it.
    pub started_at: Option<u64>,
    /// Active runs.
    pub running: Vec<ActiveRun>,
    /// Ended runs that the worker has not been allowed to forget.
    pub ended: Vec<EndedRun>,
    /// Whether there may be further ended runs that the reply does not list.
    pub has_more_ends: bool,
}

/// A heartbeat of another incarnation than the known one, which the worker has to confirm.
#[derive(Debug)]
struct Claim {
    heartbeat: Heartbeat,
    /// Number of the first poll whose answer shows which incarnation runs.
    check: u64,
}

/// Why a poll failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PollError {
    /// The worker can't be reached or did not answer in time.
    Unresponsive,
    /// Another incarnation answered.
    OtherIncarnation,
    /// The worker has received a higher fencing token.
    Fenced,
}

/// Permission to send a start order to the worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StartGrant {
    /// Fencing token.
    pub epoch: u64,
    /// End of the run's lease, on the worker's clock.
    pub until_millis: u64,
}

/// Why an agent does not extend the leases of its worker's runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RenewalBound {
    /// No owner has echoed a clock reading within the contact grace.
    OwnerEcho,
    /// The worker does not answer polls.
    WorkerPolls,
}

impl RenewalBound {
    const fn text(self) -> &'static str {
        match self {
            Self::OwnerEcho => "no echo from the owner within the contact grace",
            Self::WorkerPolls => "worker polls unanswered",
        }
    }
}

/// A start whose outcome is unknown, or whose run the worker has not listed yet.
#[derive(Clone, Copy, Debug)]
struct UnsettledStart {
    /// When the last attempt was sent; zero if the time is not known.
    sent_at: Time,
    /// End of the lease that was granted, on the worker's clock.
    until_millis: u64,
    /// Whether an earlier attempt got no answer, so that a refusal of the newest one
    /// does not settle the start.
    has_lost_attempt: bool,
    /// Number of the last poll that was sent before the worker confirmed the start; `None`
    /// if it has not. Later polls show the run.
    confirmed_after: Option<u64>,
}

/// Decision state of the agent on the VM of one worker.
#[derive(Debug)]
pub struct AgentState {
    timing: Timing,
    /// Start of the agent, which distinguishes its incarnations.
    started_at: Time,
    version: u64,
    epoch: u64,
    owner: Option<EntryName>,
    /// Highest epoch with which the worker has answered a poll; 0 if it has answered
    /// none.
    confirmed_epoch: u64,
    worker: Option<WorkerInfo>,
    /// Whether the worker has answered as this incarnation.
    has_answered: bool,
    heartbeat_sequence: u64,
    /// Newest heartbeat of another incarnation, which replaces the known one only once the worker
    /// shows that the known one is over.
    claim: Option<Claim>,
    /// Last reading of the worker's clock and the time at which it arrived.
    clock: Option<(u64, Time)>,
    /// Newest clock reading that an owner has echoed, on the worker's clock.
    echo: Option<u64>,
    /// Time of the last accepted call of an owner; `None` before the first.
    last_call_at: Option<Time>,
    /// Latest end of all granted leases, on the worker's clock.
    granted_until: u64,
    /// Latest end of the leases that were granted to the earlier incarnation of a restarted
    /// worker. Calls for that one may have reached this one, and count by its clock; `None` once
    /// it refuses them, since it has answered a poll with a higher fencing token.
    inherited_until: Option<u64>,
    /// Since when and why leases are not renewed; `None` while they are, and before the
    /// first lease.
    renewal_stop: Option<(Time, RenewalBound)>,
    /// Time at which all leases that an earlier agent process may have granted have
    /// expired.
    earlier_leases_end: Time,
    unanswered_polls: u32,
    /// Whether the worker has refused the newest poll, which carried the newest epoch.
    refuses_polls: bool,
    leases_expired: bool,
    /// Number of the last poll that was sent.
    last_poll: u64,
    /// Number of the first poll that shows whether the stopped runs exist, which an owner
    /// waits for; `None` if none is waited for.
    stop_check: Option<u64>,
    /// Highest number of a poll whose reply was applied; later replies to earlier polls
    /// do not change the list of runs.
    last_applied_poll: u64,
    /// Number of the last end that the worker may forget, since its record is durable.
    recorded: u64,
    /// Number of the last end that the worker is known to have forgotten.
    forgotten: u64,
    running: Vec<ActiveRun>,
    /// Whether the worker may have ended runs that it has not listed.
    has_more_ends: bool,
    ended: BTreeMap<u64, EndedRun>,
    /// Starts that were sent to the worker and that its lists do not show yet.
    unsettled: BTreeMap<RunKey, UnsettledStart>,
    /// Starts without an answer, with the time of the last attempt. A worker that restarts
    /// under its name may still carry them out, even if the earlier incarnation had stopped
    /// them.
    unanswered: BTreeMap<RunKey, Time>,
    /// Runs of the worker, with the time for which it has survived them.
    tracked: TrackedRuns,
    /// Whether the owner asks which runs the worker has not survived for long enough yet.
    wants_doubts: bool,
    /// When the last poll was sent for this question.
    doubts_polled_at: Time,
    /// Number of crashes of workers in this process.
    crash_count: u64,
    /// Crashes whose records are not known to be durable.
    crashes: VecDeque<WorkerCrash>,
    roles: BTreeMap<RunKey, Role>,
    /// Interference between pairs of images.
    weights: Weights,
    pacer: Pacer,
    /// Number of reports that later ones may be based on.
    reports_sent: u64,
    /// Lists of the last report to the newest owner.
    sent_lists: Option<SentLists>,
}

impl AgentState {
    /// Returns the state of an agent that has just started and has no information
    /// about its worker.
    #[must_use]
    pub fn new(timing: Timing, now: Time) -> Self {
        let earlier = timing.lease.div_f64(0.98) + timing.kill_slack;
        Self {
            version: 1,
            epoch: 0,
            owner: None,
            confirmed_epoch: 0,
            worker: None,
            has_answered: false,
            heartbeat_sequence: 0,
            claim: None,
            clock: None,
            echo: None,
            last_call_at: None,
            granted_until: 0,
            inherited_until: None,
            renewal_stop: None,
            earlier_leases_end: now + earlier,
            unanswered_polls: 0,
            refuses_polls: false,
            leases_expired: false,
            last_poll: 0,
            stop_check: None,
            last_applied_poll: 0,
            recorded: 0,
            forgotten: 0,
            running: Vec::new(),
            has_more_ends: false,
            ended: BTreeMap::new(),
            unsettled: BTreeMap::new(),
            unanswered: BTreeMap::new(),
            tracked: TrackedRuns::default(),
            wants_doubts: false,
            doubts_polled_at: Time::ZERO,
            crash_count: 0,
            crashes: VecDeque::new(),
            roles: BTreeMap::new(),
            weights: Weights::default(),
            pacer: Pacer::default(),
            reports_sent: 0,
            sent_lists: None,
            timing,
            started_at: now,
        }
    }

    /// The worker, if one has reported and has not left.
    #[must_use]
    pub const fn worker(&self) -> Option<&WorkerInfo> {
        self.worker.as_ref()
    }

    /// Start of the agent process, which distinguishes its incarnations.
    #[must_use]
    pub const fn incarnation(&self) -> u64 {
        self.started_at.0
    }

    /// Version of the report.
    #[must_use]
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// Highest epoch received.
    #[must_use]
    pub const fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Number of runs that the worker has listed last.
    #[must_use]
    pub const fn run_count(&self) -> usize {
        self.running.len()
    }

    /// Learns the epoch of the newest owner in the store, so that a restarted agent accepts no
    /// earlier one.
    pub fn observe_epoch(&mut self, epoch: u64) {
        if epoch > self.epoch {
            self.epoch = epoch;
            self.version += 1;
        }
    }

    /// Whether there is a worker and it answers polls.
    #[must_use]
    pub const fn is_worker_responsive(&self) -> bool {
        self.worker.is_some() && self.unanswered_polls < UNRESPONSIVE_AFTER_POLLS
    }

    /// Whether there are run ends whose records are not known to be durable.
    #[must_use]
    pub fn has_unrecorded_ends(&self) -> bool {
        !self.ended.is_empty()
    }

    /// Whether no poll under the newest epoch has been answered yet.
    #[must_use]
    pub fn is_unconfirmed(&self) -> bool {
        self.worker.is_some() && self.confirmed_epoch < self.epoch
    }

    /// Why no worker can have sent the heartbeat by this time of day; `None` if one can. One
    /// that is applied is taken for the newest, so that those of the worker would be ignored.
    #[must_use]
    pub fn odd_heartbeat(&self, wall: Time, beat: &Heartbeat) -> Option<&'static str> {
        let known = self.worker.as_ref();
        let incarnation = &beat.info.incarnation;
        if known.is_some_and(|known| known.incarnation == *incarnation) {
            let most = self
                .heartbeat_sequence
                .saturating_add(MAX_MISSED_HEARTBEATS);
            return (beat.sequence > most).then_some("sequence is far above the last one");
        }
        let latest_start = (wall + MAX_CLOCK_LEAD).as_millis();
        (incarnation.started_at > latest_start).then_some("start is in the future")
    }

    /// Applies a heartbeat. A late heartbeat of an earlier incarnation is ignored. One of a later
    /// incarnation ends no known one by itself, since it may come from another writer: the worker
    /// is asked which of them runs.
    pub fn apply_heartbeat(&mut self, mut beat: Heartbeat) {
        let is_same_incarnation = match &self.worker {
            Some(known) if known.incarnation == beat.info.incarnation => true,
            Some(known) if known.incarnation.started_at > beat.info.incarnation.started_at => {
                tracing::info!(
                    worker = %beat.info.incarnation.worker,
                    born = beat.info.incarnation.started_at,
                    known_born = known.incarnation.started_at,
                    "late heartbeat of an earlier worker incarnation ignored"
                );
                return;
            }
            _ => false,
        };
        if is_same_incarnation && beat.sequence <= self.heartbeat_sequence {
            return;
        }
        if !is_same_incarnation {
            if self.has_answered && !self.leases_expired {
                self.ask_worker(beat);
                return;
            }
            self.start_incarnation(&beat.info);
        }
        self.heartbeat_sequence = beat.sequence;
        if let Some(known) = self.worker.as_ref().filter(|_| is_same_incarnation) {
            beat.info.settle(known);
        }
        if self.worker.as_ref() == Some(&beat.info) {
            return;
        }
        if is_same_incarnation && beat.info.draining {
            tracing::info!(worker = %beat.info.incarnation.worker, "worker is draining");
        }
        if let Some(known) = self.worker.as_ref().filter(|_| is_same_incarnation)
            && known.capacity != beat.info.capacity
        {
            tracing::info!(
                worker = %beat.info.incarnation.worker,
                before = ?known.capacity,
                after = ?beat.info.capacity,
                runs = self.running.len(),
                "capacity of the worker has changed"
            );
        }
        self.worker = Some(beat.info);
        self.version += 1;
    }

    /// Keeps the heartbeat of another incarnation until the worker has shown which one runs.
    fn ask_worker(&mut self, beat: Heartbeat) {
        let incarnation = &beat.info.incarnation;
        let asked = self.claim.as_ref();
        let asked = asked.filter(|claim| claim.heartbeat.info.incarnation == *incarnation);
        let check = match asked {
            Some(claim) => claim.check,
            None => {
                tracing::info!(
                    worker = %incarnation.worker,
                    born = incarnation.started_at,
                    known = self.worker.as_ref().map(|known| tracing::field::display(&known.incarnation.worker)),
                    known_born = self.worker.as_ref().map(|known| known.incarnation.started_at),
                    "heartbeat of another worker incarnation; asking the worker which one runs"
                );
                self.last_poll + 1
            }
        };
        self.claim = Some(Claim {
            heartbeat: beat,
            check,
        });
    }

    /// Drops the heartbeat of another incarnation, since the known one has answered a poll that
    /// was sent after it.
    fn refute_claim(&mut self, poll: u64) {
        let Some(claim) = self.claim.take_if(|claim| poll >= claim.check) else {
            return;
        };
        let incarnation = &claim.heartbeat.info.incarnation;
        tracing::warn!(
            worker = %incarnation.worker,
            born = incarnation.started_at,
            sequence = claim.heartbeat.sequence,
            "heartbeat of another worker incarnation ignored, since the known one answers"
        );
    }

    /// Starts the incarnation that a heartbeat has named, in place of the known one.
    fn start_incarnation(&mut self, info: &WorkerInfo) {
        tracing::info!(
            worker = %info.incarnation.worker,
            born = info.incarnation.started_at,
            zone = %info.zone,
            "new worker incarnation"
        );
        let known = self.worker.as_ref();
        let is_restart =
            known.is_some_and(|known| known.incarnation.worker == info.incarnation.worker);
        self.note_crash();
        // What an owner has told an agent that has just started is about this worker.
        let roles = match self.worker {
            None => std::mem::take(&mut self.roles),
            Some(_) => BTreeMap::new(),
        };
        self.reset_worker(is_restart);
        self.roles = roles;
    }

    /// Handles the departure of the worker, after which no run exists. `started_at` is the
    /// start of the incarnation that left, if the departure names it. A departure of another
    /// incarnation than the known one is ignored. If it names none it may be a late one of an
    /// earlier incarnation: a worker reports that it drains before it leaves.
    pub fn worker_left(&mut self, worker: &str, started_at: Option<u64>) {
        let has_left = |info: &WorkerInfo| {
            let is_incarnation = match started_at {
                Some(started_at) => started_at == info.incarnation.started_at,
                None => info.draining,
            };
            info.incarnation.worker.as_ref() == worker && is_incarnation
        };
        self.claim.take_if(|claim| has_left(&claim.heartbeat.info));
        let Some(known) = &self.worker else {
            return;
        };
        if !has_left(known) {
            tracing::info!(
                worker,
                born = started_at,
                known = %known.incarnation.worker,
                known_born = known.incarnation.started_at,
                "departure of another worker incarnation ignored"
            );
            return;
        }
        tracing::info!(worker, born = started_at, "worker has left");
        self.remove_worker();
    }

    fn remove_worker(&mut self) {
        self.reset_worker(false);
        self.worker = None;
        self.leases_expired = true;
        self.version += 1;
    }

    /// Notes that the worker's incarnation has ended without notice, or counts as ended.
    fn note_crash(&mut self) {
        let tracked = std::mem::take(&mut self.tracked);
        let Some(worker) = self.worker.as_ref().filter(|worker| !worker.draining) else {
            return;
        };
        let suspects = tracked.in_doubt();
        let named = suspects.iter().take(MAX_NAMED_RUNS);
        let named: Vec<String> = named
            .map(|run| format!("{}/{}", run.key.task, run.key.run))
            .collect();
        tracing::warn!(
            worker = %worker.incarnation.worker,
            born = worker.incarnation.started_at,
            runs = tracked.len(),
            in_doubt = suspects.len(),
            in_doubt_runs = named.join(" "),
            "worker has crashed"
        );
        if suspects.is_empty() {
            return;
        }
        self.crash_count += 1;
        self.crashes.push_back(WorkerCrash {
            number: self.crash_count,
            incarnation: worker.incarnation.clone(),
            suspects,
        });
        if self.crashes.len() > MAX_CRASHES {
            let dropped = self.crashes.pop_front();
            tracing::warn!(
                number = dropped.map(|crash| crash.number),
                "too many crashes of the worker without a record; the oldest one is forgotten"
            );
        }
    }

    /// Forgets the state of the worker's incarnation. One that restarts under its name may
    /// still carry out the unsettled starts.
    fn reset_worker(&mut self, is_restart: bool) {
        if !is_restart {
            self.unsettled.clear();
            self.unanswered.clear();
        }
        for key in self.unanswered.keys() {
            let start = UnsettledStart {
                sent_at: Time::ZERO,
                until_millis: u64::MAX,
                has_lost_attempt: true,
                confirmed_after: None,
            };
            self.unsettled.insert(key.clone(), start);
        }
        self.has_answered = false;
        self.claim = None;
        self.tracked = TrackedRuns::default();
        self.clock = None;
        self.echo = None;
        let inherited = self.granted_until.max(self.inherited_until.unwrap_or(0));
        self.inherited_until = (is_restart && inherited > 0).then_some(inherited);
        self.granted_until = 0;
        self.renewal_stop = None;
        self.unanswered_polls = 0;
        self.refuses_polls = false;
        self.stop_check = None;
        self.leases_expired = false;
        self.confirmed_epoch = 0;
        self.recorded = 0;
        self.forgotten = 0;
        self.running.clear();
        self.has_more_ends = false;
        self.ended.clear();
        self.roles.clear();
        self.pacer = Pacer::default();
        self.sent_lists = None;
    }

    /// Checks and applies the header of an owner's call. Returns whether the call may
    /// proceed.
    pub fn accept_header(&mut self, now: Time, header: &OwnerHeader) -> bool {
        if header.epoch < self.epoch {
            tracing::warn!(
                owner = %header.owner,
                epoch = header.epoch,
                seen = self.epoch,
                "call of an owner with an older epoch refused"
            );
            return false;
        }
        self.last_call_at = Some(now);
        if header.epoch > self.epoch {
            tracing::info!(owner = %header.owner, epoch = header.epoch, "new owner");
            self.epoch = header.epoch;
            self.owner = Some(header.owner.clone());
            self.version += 1;
        }
        self.forget_crashes(header);
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

    /// Forgets the crashes of workers whose records are durable.
    fn forget_crashes(&mut self, header: &OwnerHeader) {
        if let Some((agent_incarnation, number)) = header.recorded_crash
            && agent_incarnation == self.incarnation()
        {
            self.crashes.retain(|crash| crash.number > number);
        }
    }

    /// Applies a report poll. Returns whether the call may proceed.
    pub fn accept_poll(&mut self, now: Time, poll: &ReportPoll) -> bool {
        if !self.accept_header(now, &poll.header) {
            return false;
        }
        self.wants_doubts = poll.wants_doubts;
        for (key, role) in &poll.roles {
            self.roles.insert(key.clone(), role.clone());
        }
        for weight in &poll.weights {
            self.weights.set(weight);
        }
        true
    }

    /// Lower bound of the worker's clock at `now`.
    fn clock_at(&self, now: Time) -> Option<u64> {
        let (millis, at) = self.clock?;
        let passed = Timing::min_elapsed_on_worker(now.since(at)).as_millis();
        Some(millis.saturating_add(u64::try_from(passed).unwrap_or(u64::MAX)))
    }

    /// End of a lease that is granted at `now`, on the worker's clock; `None` if no
    /// lease may be granted.
    fn lease_until(&self, now: Time) -> Option<u64> {
        let lease = millis(self.timing.lease);
        let wanted = self.clock_at(now)?.saturating_add(lease);
        let allowed = self
            .echo?
            .saturating_add(millis(self.timing.contact_grace) + lease);
        Some(wanted.min(allowed))
    }

    /// Which bound keeps a poll that is sent now from extending the leases; `None` if
    /// none does. A single unanswered poll pauses renewal only until the next one, so it
    /// does not count.
    fn renewal_bound(&self, now: Time) -> Option<RenewalBound> {
        if self.unanswered_polls >= UNRESPONSIVE_AFTER_POLLS {
            return Some(RenewalBound::WorkerPolls);
        }
        let contact_until = self.echo?.saturating_add(millis(self.timing.contact_grace));
        (self.clock_at(now)? > contact_until).then_some(RenewalBound::OwnerEcho)
    }

    /// Logs when leases stop being renewed and when they are renewed again.
    fn track_renewal(&mut self, now: Time) {
        let Some(worker) = self.worker.as_ref().filter(|_| self.granted_until > 0) else {
            return;
        };
        let worker = &worker.incarnation.worker;
        let clock = self.clock_at(now);
        let echo_age_ms = clock
            .zip(self.echo)
            .map(|(clock, echo)| clock.saturating_sub(echo));
        let last_call_ms = self.last_call_at.map(|at| millis(now.since(at)));
        match (self.renewal_stop, self.renewal_bound(now)) {
            (None, Some(bound)) => {
                tracing::warn!(
                    %worker,
                    epoch = self.epoch,
                    why = bound.text(),
                    last_call_ms,
                    echo_age_ms,
                    unanswered_polls = self.unanswered_polls,
                    until_millis = self.granted_until,
                    left_ms = clock.map(|clock| self.granted_until.saturating_sub(clock)),
                    runs = self.running.len(),
                    "leases are not renewed any more"
                );
                self.renewal_stop = Some((now, bound));
            }
            (Some((since, bound)), None) => {
                tracing::info!(
                    %worker,
                    epoch = self.epoch,
                    why = bound.text(),
                    span_ms = millis(now.since(since)),
                    last_call_ms,
                    echo_age_ms,
                    until_millis = self.granted_until,
                    runs = self.running.len(),
                    "leases are renewed again"
                );
                self.renewal_stop = None;
            }
            _ => {}
        }
    }

    /// Why leases are not renewed; `None` while they are, and before the first lease.
    #[must_use]
    pub fn renewal_stop(&self) -> Option<RenewalBound> {
        self.renewal_stop.map(|(_, bound)| bound)
    }

    /// Returns the next poll of the worker; `None` while no worker is known.
    ///
    /// Without an owner it grants no lease, but it keeps late calls that were meant for an
    /// earlier incarnation from the worker.
    pub fn next_poll(&mut self, now: Time, may_wait: bool) -> Option<WorkerPoll> {
        let incarnation = self.worker.as_ref()?.incarnation.clone();
        self.track_renewal(now);
        // An unanswered poll may still have reached the worker and renewed its leases.
        // If further polls granted leases, these would never be known to have expired; nor if
        // refused ones did. Another incarnation, which may get the poll, has other leases and ends.
        let renews = self.unanswered_polls == 0 && !self.refuses_polls && self.claim.is_none();
        let until_millis = self.lease_until(now).filter(|_| renews);
        self.granted_until = self.granted_until.max(until_millis.unwrap_or_default());
        self.last_poll += 1;
        // After an unanswered poll, leases are renewed only once the worker has answered.
        let may_wait = may_wait
            && self.unanswered_polls == 0
            && !self.is_unconfirmed()
            && self.next_check() != Some(self.last_poll);
        let wait_millis = match may_wait {
            false => 0,
            true if self.is_pacing() => PACING_POLL_WAIT_MILLIS,
            true => POLL_WAIT_MILLIS,
        };
        // A poll may reach the next incarnation of the worker, whose ends have other numbers.
        let has_news = self.recorded > self.forgotten && self.claim.is_none();
        Some(WorkerPoll {
            number: self.last_poll,
            incarnation,
            epoch: self.epoch,
            until_millis,
            recorded: if has_news { self.recorded } else { 0 },
            wait_millis,
        })
    }

    fn capacity_milli(&self) -> u64 {
        let capacity = self.worker.as_ref().map(|worker| worker.capacity);
        capacity.unwrap_or_default().cpu_milli
    }

    fn is_pacing(&self) -> bool {
        let has_role = |matches_role: fn(&Role) -> bool| {
            self.running
                .iter()
                .any(|row| self.roles.get(&row.key).is_some_and(matches_role))
        };
        has_role(|role| matches!(role, Role::BestEffort { .. }))
            && has_role(|role| matches!(role, Role::Serving { .. }))
    }

    /// Applies the reply to a poll. Returns the runs whose pace must change, with the
    /// new pace in percent.
    pub fn apply_reply(
        &mut self,
        now: Time,
        poll: &WorkerPoll,
        mut reply: PollReply,
    ) -> Vec<(RunKey, u32)> {
        let Some(worker) = &self.worker else {
            return Vec::new();
        };
        if worker.incarnation != poll.incarnation {
            return Vec::new();
        }
        if let Some(born) = reply.started_at
            && born != worker.incarnation.started_at
        {
            // An answer proves more than the heartbeat by which the worker is known.
            if born < worker.incarnation.started_at && self.has_answered {
                return Vec::new();
            }
            self.restart_worker(now, born, reply.clock_millis);
            return Vec::new();
        }
        let incarnation = &worker.incarnation;
        let is_known_alive = reply.started_at == Some(incarnation.started_at);
        if is_known_alive
            && self
                .crashes
                .iter()
                .any(|crash| crash.incarnation == *incarnation)
        {
            tracing::info!(worker = %incarnation.worker, "worker has not crashed, since it answers again");
            self.crashes
                .retain(|crash| crash.incarnation != *incarnation);
            self.version += 1;
        }
        if self.unanswered_polls >= UNRESPONSIVE_AFTER_POLLS {
            tracing::info!(worker = %incarnation.worker, "worker answers again");
            self.version += 1;
        }
        self.has_answered = true;
        self.refute_claim(poll.number);
        self.unanswered_polls = 0;
        self.refuses_polls = false;
        self.leases_expired = false;
        self.forgotten = self.forgotten.max(poll.recorded);
        if poll.number > self.last_applied_poll {
            self.clock = Some((reply.clock_millis, now));
        }
        self.count_inherited_leases(reply.clock_millis);
        self.inherited_until = None;
        if poll.epoch > self.confirmed_epoch {
            self.confirmed_epoch = poll.epoch;
            self.version += 1;
        }
        for end in reply.ended {
            if end.number > self.recorded && !self.ended.contains_key(&end.number) {
                self.roles.remove(&end.key);
                self.pacer.remove(&end.key);
                self.tracked.remove(&end.key);
                self.unsettled.remove(&end.key);
                self.running.retain(|row| row.key != end.key);
                self.ended.insert(end.number, end);
                self.version += 1;
            }
        }
        if poll.number <= self.last_applied_poll {
            return Vec::new();
        }
        self.last_applied_poll = poll.number;
        // A reply may have been overtaken by one that lists the ends of its runs.
        let ended = &self.ended;
        let has_ended = |key: &RunKey| ended.values().any(|end| end.key == *key);
        reply.running.retain(|row| !has_ended(&row.key));
        let in_doubt = self.wants_doubts.then(|| self.tracked.in_doubt().len());
        self.tracked.apply_running(now, &reply.running);
        if in_doubt.is_some_and(|before| self.tracked.in_doubt().len() < before) {
            self.version += 1;
        }
        if self.stop_check.is_some_and(|check| poll.number >= check) {
            self.stop_check = None;
            self.version += 1;
        }
        if !same_runs(&self.running, &reply.running) || self.has_more_ends != reply.has_more_ends {
            self.version += 1;
        }
        self.running = reply.running;
        self.settle_listed(poll.number, reply.clock_millis);
        self.has_more_ends = reply.has_more_ends;
        let capacity_milli = self.capacity_milli();
        self.pacer.decide(
            now,
            capacity_milli,
            &self.running,
            &self.roles,
            &self.weights,
        )
    }

    /// Counts the leases that a restarted worker, whose clock is at `clock_millis`, may have got
    /// from calls for its earlier incarnation.
    fn count_inherited_leases(&mut self, clock_millis: u64) {
        if let Some(inherited) = self.inherited_until {
            let longest = clock_millis.saturating_add(millis(self.timing.max_lease));
            self.granted_until = self.granted_until.max(inherited.min(longest));
        }
    }

    /// Handles a worker that has answered as a later incarnation of its name.
    fn restart_worker(&mut self, now: Time, born: u64, clock_millis: u64) {
        let Some(mut info) = self.worker.clone() else {
            return;
        };
        info.incarnation.started_at = born;
        tracing::info!(worker = %info.incarnation.worker, born, "worker has restarted");
        let claim = self.claim.take();
        let claim = claim.filter(|claim| claim.heartbeat.info.incarnation == info.incarnation);
        self.note_crash();
        self.reset_worker(true);
        self.heartbeat_sequence = 0;
        if let Some(Claim { heartbeat, .. }) = claim {
            self.heartbeat_sequence = heartbeat.sequence;
            info = heartbeat.info;
        }
        self.worker = Some(info);
        self.has_answered = true;
        self.clock = Some((clock_millis, now));
        self.count_inherited_leases(clock_millis);
        self.version += 1;
    }

    /// Handles a failed poll.
    pub fn apply_error(&mut self, now: Time, poll: &WorkerPoll, error: PollError) {
        let is_current = self
            .worker
            .as_ref()
            .is_some_and(|w| w.incarnation == poll.incarnation);
        if !is_current {
            return;
        }
        match error {
            PollError::Unresponsive => {
                self.unanswered_polls = self.unanswered_polls.saturating_add(1);
                if self.unanswered_polls == UNRESPONSIVE_AFTER_POLLS {
                    tracing::warn!(worker = %poll.incarnation.worker, "worker does not answer polls");
                    self.version += 1;
                }
                self.check_lease_expiry(now);
            }
            PollError::OtherIncarnation => {
                tracing::info!(worker = %poll.incarnation.worker, "poll answered by another incarnation of the worker");
                let claim = self.claim.take();
                self.note_crash();
                self.remove_worker();
                // The other incarnation may run what an earlier agent process granted.
                self.leases_expired = self.earlier_leases_end.passed(now);
                if let Some(Claim { heartbeat, .. }) = claim {
                    self.apply_heartbeat(heartbeat);
                }
            }
            PollError::Fenced => {
                tracing::warn!(
                    worker = %poll.incarnation.worker,
                    epoch = poll.epoch,
                    "poll refused: worker has received a higher epoch"
                );
                // An agent that has just started may not know the epoch yet.
                let is_newest = poll.number > self.last_applied_poll;
                if is_newest && poll.epoch > 0 && poll.epoch == self.epoch {
                    self.refuses_polls = true;
                    self.end_expired_leases(now);
                }
            }
        }
    }

    /// Marks the leases of an unresponsive worker as expired once the last of them has
    /// ended.
    pub fn check_lease_expiry(&mut self, now: Time) {
        self.track_renewal(now);
        if self.unanswered_polls >= UNRESPONSIVE_AFTER_POLLS {
            self.end_expired_leases(now);
        }
    }

    /// Notes that nothing runs on a worker that does not answer, or refuses what renews its
    /// leases, once the last of them has ended.
    fn end_expired_leases(&mut self, now: Time) {
        if self.leases_expired {
            return;
        }
        let slack = millis(self.timing.kill_slack);
        let has_ended = match self.clock_at(now) {
            Some(clock) => clock > self.granted_until.saturating_add(slack),
            None => true,
        };
        if has_ended && self.earlier_leases_end.passed(now) {
            tracing::warn!(
                until_millis = self.granted_until,
                "all leases of the unresponsive worker have expired"
            );
            // Its tasks start elsewhere now, before it may be back and show that it crashed.
            self.note_crash();
            self.leases_expired = true;
            self.running.clear();
            self.version += 1;
            if let Some(Claim { heartbeat, .. }) = self.claim.take() {
                self.apply_heartbeat(heartbeat);
            }
        }
    }

    /// Whether the worker does not answer and may still run tasks.
    #[must_use]
    pub const fn awaits_lease_expiry(&self) -> bool {
        self.worker.is_some() && !self.is_worker_responsive() && !self.leases_expired
    }

    /// Whether the worker does not answer and all of its leases have expired.
    #[must_use]
    pub const fn has_lost_worker(&self) -> bool {
        self.worker.is_some() && !self.is_worker_responsive() && self.leases_expired
    }

    /// Checks whether a start order may be sent to the worker now. Returns the lease
    /// to send with it. Until the outcome is known, reports list the run as unsettled.
    ///
    /// # Errors
    ///
    /// Returns the reason for which the order must not be sent.
    pub fn admit(
        &mut self,
        now: Time,
        orders: &Orders,
        key: &RunKey,
    ) -> Result<StartGrant, Refusal> {
        if orders.header.epoch < self.epoch {
            return Err(Refusal::Fenced);
        }
        let worker = self.worker.as_ref().ok_or(Refusal::Worker)?;
        // After a report that all leases have expired, the owner assumes that nothing
        // runs on the worker, so nothing may start there before the worker answers
        // again.
        let is_unresponsive = self.leases_expired
            || self.refuses_polls
            || self.unanswered_polls >= UNRESPONSIVE_AFTER_POLLS;
        if worker.incarnation != orders.incarnation || worker.draining || is_unresponsive {
            return Err(Refusal::Worker);
        }
        // A worker may start whatever it is sent, and only the owner knows what each run needs.
        let has_less = |expected: Resources| !expected.fits(worker.capacity);
        if orders.capacity.is_some_and(has_less) {
            return Err(Refusal::Room);
        }
        let clock = self.clock_at(now).ok_or(Refusal::Worker)?;
        if clock > orders.start_by_millis {
            return Err(Refusal::Late);
        }
        let until_millis = self.lease_until(now).ok_or(Refusal::Late)?;
        self.granted_until = self.granted_until.max(until_millis);
        self.unanswered
            .retain(|_, at| !(*at + UNANSWERED_RETENTION).passed(now));
        let start = UnsettledStart {
            sent_at: now,
            until_millis,
            has_lost_attempt: self.unsettled.contains_key(key),
            confirmed_after: None,
        };
        self.unsettled.insert(key.clone(), start);
        self.tracked.record_sent(now, key);
        Ok(StartGrant {
            epoch: self.epoch,
            until_millis,
        })
    }

    /// Records the result of a start that was sent to the worker.
    pub fn settle_start(&mut self, key: &RunKey, result: OrderResult) {
        let has_lost_attempt = |start: &UnsettledStart| start.has_lost_attempt;
        let is_settled = match result {
            OrderResult::Refused(Refusal::Old) => true,
            OrderResult::Refused(_) => !self.unsettled.get(key).is_some_and(has_lost_attempt),
            OrderResult::Done | OrderResult::Unsettled => false,
        };
        if let Some(start) = self.unsettled.get_mut(key) {
            match result {
                OrderResult::Done => start.confirmed_after = Some(self.last_poll),
                OrderResult::Unsettled => {
                    self.unanswered.insert(key.clone(), start.sent_at);
                }
                OrderResult::Refused(_) => {}
            }
        }
        if is_settled {
            self.unsettled.remove(key);
        }
        match result {
            OrderResult::Done => self.tracked.record_confirmed(key),
            OrderResult::Refused(_) if is_settled => self.tracked.remove_unlisted(key),
            OrderResult::Refused(_) | OrderResult::Unsettled => {}
        }
    }

    /// Records the result of a stop that was sent to the worker. A worker starts no run
    /// that was stopped before.
    pub fn settle_stop(&mut self, key: &RunKey, result: OrderResult) {
        if result == OrderResult::Done {
            self.unsettled.remove(key);
            self.tracked.remove_unlisted(key);
        }
    }

    /// Makes the next poll show at once whether stopped runs exist that the worker has not
    /// listed. Other stopped runs end, which the worker lists.
    pub fn verify_stops(&mut self, stopped: &[RunKey]) {
        let is_listed = |key: &RunKey| self.running.iter().any(|row| row.key == *key);
        if !stopped.iter().all(is_listed) {
            self.stop_check = Some(self.last_poll + 1);
        }
    }

    /// Whether the next poll should be sent at once to show whether stopped runs exist, or which
    /// incarnation of the worker runs.
    #[must_use]
    pub fn is_check_due(&self) -> bool {
        self.next_check()
            .is_some_and(|check| check > self.last_poll)
    }

    /// Number of the last poll whose reply something waits for.
    fn next_check(&self) -> Option<u64> {
        let claim = self.claim.as_ref().map(|claim| claim.check);
        self.stop_check.max(claim)
    }

    fn runs_in_doubt(&self) -> Vec<RunKey> {
        let in_doubt = self.tracked.in_doubt().into_iter();
        in_doubt.map(|run| run.key).collect()
    }

    /// When a poll should be sent to show whether the worker has survived its newest runs;
    /// `None` if no owner asks for that.
    #[must_use]
    pub fn next_doubts_check(&self) -> Option<Time> {
        if !self.wants_doubts || !self.is_worker_responsive() {
            return None;
        }
        let earliest = self.doubts_polled_at + DOUBTS_POLL_INTERVAL;
        self.tracked.next_check().map(|at| at.max(earliest))
    }

    /// Records that a poll is sent at `now` to show whether the worker has survived its newest
    /// runs.
    pub const fn record_doubts_check(&mut self, now: Time) {
        self.doubts_polled_at = now;
    }

    /// Drops the unsettled starts whose outcome the lists of a poll show, and those that the
    /// worker would refuse as late now.
    fn settle_listed(&mut self, poll: u64, clock_millis: u64) {
        let (running, ended) = (&self.running, &self.ended);
        let tracked = &mut self.tracked;
        self.unsettled.retain(|key, start| {
            let is_listed = running.iter().any(|row| row.key == *key)
                || ended.values().any(|end| end.key == *key);
            if let Some(confirmed_after) = start.confirmed_after {
                return !is_listed && poll <= confirmed_after;
            }
            let is_too_late = clock_millis > start.until_millis;
            if is_too_late {
                tracked.remove_unlisted(key);
            }
            !is_listed && !is_too_late
        });
    }

    /// Records a run that the worker has accepted. Returns its initial pace in
    /// percent, unless that is full speed.
    pub fn record_start(&mut self, start: &StartOrder) -> Option<u32> {
        self.roles.insert(start.key.clone(), start.role.clone());
        let capacity_milli = self.capacity_milli();
        let percent = self
            .pacer
            .initial_pace(&start.role, capacity_milli, &self.weights);
        (percent < 100).then_some(percent)
    }

    /// Records a pace that the worker has set.
    pub fn record_pace(&mut self, key: &RunKey, percent: u32) {
        self.pacer.record_pace(key, percent);
    }

    /// Number of the last poll that was sent.
    #[must_use]
    pub const fn last_poll_number(&self) -> u64 {
        self.last_poll
    }

    /// Returns the report that answers a poll. It leaves out what the owner has applied
    /// from the last report.
    pub fn report_for(&mut self, now: Time, poll: &ReportPoll) -> AgentReport {
        let mut report = self.report(now);
        if poll.header.epoch < self.epoch {
            return report;
        }
        self.reports_sent += 1;
        report.number = self.reports_sent;
        let lists = SentLists::new(report.number, &report);
        let known = poll
            .known_report
            .filter(|known| known.agent_incarnation == report.agent_incarnation);
        if let (Some(known), Some(sent)) = (known, &self.sent_lists)
            && known.number == sent.number()
        {
            sent.reduce(&mut report);
        }
        self.sent_lists = Some(lists);
        report
    }

    /// Returns the whole report for an owner.
    #[must_use]
    pub fn report(&self, now: Time) -> AgentReport {
        let clock_reading = self.worker.as_ref().and_then(|worker| {
            Some(ClockReading {
                incarnation: worker.incarnation.clone(),
                millis: self.clock_at(now)?,
            })
        });
        // A worker that is back after its leases have expired refuses these starts as late, unless
        // it has restarted under its name.
        let unsettled = self.unsettled.keys().filter(|_| !self.leases_expired);
        let leases_expired =
            self.leases_expired || (self.worker.is_none() && self.earlier_leases_end.passed(now));
        AgentReport {
            agent_incarnation: self.incarnation(),
            version: self.version,
            epoch: self.epoch,
            confirmed_epoch: self.confirmed_epoch,
            worker: self.worker.clone(),
            worker_responsive: self.is_worker_responsive(),
            leases_expired,
            clock_reading,
            poll: self.last_applied_poll,
            running: self.running.clone(),
            ended: self.ended.values().cloned().collect(),
            has_more_ends: self.has_more_ends,
            unsettled: unsettled.cloned().collect(),
            crashes: self.crashes.iter().cloned().collect(),
            in_doubt: self.wants_doubts.then(|| self.runs_in_doubt()),
            ..AgentReport::default()
        }
    }
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

fn same_runs(old: &[ActiveRun], new: &[ActiveRun]) -> bool {
    old.len() == new.len() && old.iter().zip(new).all(|(old, new)| old.key == new.key)
}
