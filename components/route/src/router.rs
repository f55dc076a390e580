//! The life of each request of one service at one entry.
//!
//! The router admits a request or refuses it at once, chooses an endpoint,
//! retries what did not run, hedges what is slow and ends every request by its
//! deadline. A request that is not idempotent gets no further attempt once any
//! of its bytes may have reached an endpoint. See `docs/ROUTING.md`.

use std::{collections::BTreeMap, time::Duration};

use kernel::{Cause, Time, Verdict, VmName, object::Limit};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::{
    budget::Budget,
    choice::Endpoints,
    home,
    limit::ConcurrencyLimit,
    pending::{Pending, Purpose, Try},
    request::{
        Action, Attempt, Event, Final, Outcome, Request, RequestKey, Tally, TallyKind, Usable,
    },
    tail::Tail,
};

/// The most attempts that may run one request.
const MAX_RUNS: usize = 3;
/// How often one request moves on from leaving agents without budget.
const MAX_FREE_MOVES: usize = 4;
/// A request is hedged once it is slower than this share of the others.
const HEDGE_QUANTILE: f64 = 0.95;
/// A request is hedged at the latest at this many times the middle latency.
const HEDGE_MIDDLE_FACTOR: u32 = 3;
/// No request is hedged before this.
const MIN_HEDGE_DELAY: Duration = Duration::from_millis(1);
/// A request with less time than this part of the middle latency is refused.
const MIN_REMAINING_DIVISOR: u32 = 2;
/// The shortest time after which a refused caller is asked to come back.
const COME_BACK_AFTER: Duration = Duration::from_secs(1);
/// Callers are spread over this much more time, so that they don't come back
/// all at once.
const COME_BACK_SPREAD: Duration = Duration::from_secs(2);

/// What the configuration says about a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Policy {
    /// Its limits.
    pub limit: Limit,
    /// An answer counts as in time up to this.
    pub objective: Duration,
}

/// Routes the requests of one service.
#[derive(Clone, Debug)]
pub struct Router {
    policy: Policy,
    endpoints: Endpoints,
    pending: BTreeMap<RequestKey, Pending>,
    limit: ConcurrencyLimit,
    retries: Budget,
    hedges: Budget,
    tail: Tail,
    rng: ChaCha8Rng,
}

impl Router {
    /// A router without endpoints whose random choices follow from `seed`.
    #[must_use]
    pub fn new(policy: Policy, seed: u64) -> Self {
        Self {
            endpoints: Endpoints::default(),
            pending: BTreeMap::new(),
            limit: ConcurrencyLimit::new(policy.limit.in_flight),
            retries: Budget::new(policy.limit.retry_percent),
            hedges: Budget::new(policy.limit.hedge_percent),
            tail: Tail::default(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            policy,
        }
    }

    /// Takes over a changed configuration.
    pub fn set_policy(&mut self, policy: Policy) {
        self.limit.set_most(policy.limit.in_flight);
        self.retries.set_percent(policy.limit.retry_percent);
        self.hedges.set_percent(policy.limit.hedge_percent);
        self.policy = policy;
    }

    /// The configuration in force.
    #[must_use]
    pub const fn policy(&self) -> &Policy {
        &self.policy
    }

    /// Requests under way.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.pending.len()
    }

    /// The limit of requests in flight.
    #[must_use]
    pub const fn concurrency_limit(&self) -> u32 {
        self.limit.current()
    }

    /// The endpoints with what is seen of them.
    #[must_use]
    pub const fn endpoints(&self) -> &Endpoints {
        &self.endpoints
    }

    /// Takes in an event at `now` and says what to do.
    pub fn handle(&mut self, now: Time, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Arrived(request) => self.on_arrived(now, request, &mut actions),
            Event::Ended {
                key,
                attempt,
                outcome,
            } => self.on_ended(now, key, attempt, outcome, &mut actions),
            Event::Due(key) => self.on_due(now, key, &mut actions),
            Event::CallerGone(key) => self.on_caller_gone(now, key, &mut actions),
            Event::Endpoints(candidates) => self.endpoints.replace(candidates),
        }
        actions
    }

    fn on_arrived(&mut self, now: Time, request: Request, actions: &mut Vec<Action>) {
        let key = request.key;
        if !self.has_time(now, request.deadline) {
            return self.refuse_arrived(now, key, Cause::Deadline, actions);
        }
        if !self.endpoints.any_usable() {
            return self.refuse_arrived(now, key, Cause::NoEndpoint, actions);
        }
        if !self.limit.acquire() {
            return self.refuse_arrived(now, key, Cause::Overload, actions);
        }
        let mut pending = Pending::new(request, now);
        if pending.request.idempotent {
            pending.hedge_at = self.hedge_delay().map(|delay| now + delay);
        }
        self.pending.insert(key, pending);
        self.start(now, key, Purpose::First, Cause::NoEndpoint, actions);
        if let Some(pending) = self.pending.get(&key) {
            let at = pending.wake_at();
            actions.push(Action::Wake { key, at });
        }
    }

    fn refuse_arrived(
        &mut self,
        now: Time,
        key: RequestKey,
        cause: Cause,
        actions: &mut Vec<Action>,
    ) {
        let result = self.refusal(now, Verdict::NotRun, cause);
        actions.push(Action::Finish { key, result });
        actions.push(Action::Tally(tally(TallyKind::Refused, cause, None, 0)));
    }

    fn has_time(&self, now: Time, deadline: Time) -> bool {
        let needed = self.tail.quantile(0.5).unwrap_or_default() / MIN_REMAINING_DIVISOR;
        deadline.remaining(now) > needed
    }

    fn hedge_delay(&self) -> Option<Duration> {
        let high = self.tail.quantile(HEDGE_QUANTILE)?;
        let middle = self.tail.quantile(0.5)?;
        Some(high.min(middle * HEDGE_MIDDLE_FACTOR).max(MIN_HEDGE_DELAY))
    }

    /// Makes the next attempt, or ends the request if there is none to make.
    fn start(
        &mut self,
        now: Time,
        key: RequestKey,
        purpose: Purpose,
        cause: Cause,
        actions: &mut Vec<Action>,
    ) {
        let Some(pending) = self.pending.get(&key) else {
            return;
        };
        if pending.is_recorded() {
            return self.start_recorded(now, key, purpose, actions);
        }
        match self.endpoints.choose(now, &pending.tried(), &mut self.rng) {
            Some(vm) => self.send(now, key, &vm, purpose, actions),
            None => self.fail(now, key, cause, actions),
        }
    }

    /// Probes those that may hold the record, then sends to the home. The set of
    /// endpoints may have changed meanwhile, so the plan is made anew each time.
    fn start_recorded(
        &mut self,
        now: Time,
        key: RequestKey,
        purpose: Purpose,
        actions: &mut Vec<Action>,
    ) {
        let Some(pending) = self.pending.get(&key) else {
            return;
        };
        let Some(id) = &pending.request.id else {
            return;
        };
        let plan = home::plan(now, id, &self.endpoints.candidates());
        if plan.record_lost {
            return self.finish_unknown(now, key, Cause::NoEndpoint, actions);
        }
        let mut probes = plan.probes;
        probes.retain(|vm| {
            let known = self.endpoints.get(vm);
            known.is_some_and(|known| !pending.is_fenced_at(vm, known.candidate.incarnation))
        });
        for vm in &probes {
            self.send(now, key, vm, Purpose::Probe, actions);
        }
        if !probes.is_empty() {
            return;
        }
        match plan.home {
            Some(vm) => self.send(now, key, &vm, purpose, actions),
            None => self.fail(now, key, Cause::NoEndpoint, actions),
        }
    }

    fn send(
        &mut self,
        now: Time,
        key: RequestKey,
        vm: &VmName,
        purpose: Purpose,
        actions: &mut Vec<Action>,
    ) {
        let (Some(pending), Some(known)) = (self.pending.get_mut(&key), self.endpoints.get_mut(vm))
        else {
            return;
        };
        known.in_flight += 1;
        let candidate = &known.candidate;
        pending.tries.push(Try {
            vm: vm.clone(),
            incarnation: candidate.incarnation,
            zone: candidate.zone.clone(),
            purpose,
            sent_at: now,
            is_open: true,
            may_have_run: false,
            is_fenced: false,
            is_turned_away: false,
        });
        actions.push(Action::Send {
            key,
            attempt: Attempt(pending.tries.len() as u32),
            vm: vm.clone(),
            incarnation: candidate.incarnation,
            address: candidate.address,
            record: pending.recording(purpose),
        });
    }

    fn on_ended(
        &mut self,
        now: Time,
        key: RequestKey,
        attempt: Attempt,
        outcome: Outcome,
        actions: &mut Vec<Action>,
    ) {
        let Some(pending) = self.pending.get_mut(&key) else {
            return;
        };
        let idempotent = pending.request.idempotent;
        let deadline = pending.request.deadline;
        let Some(ended) = pending.close(attempt) else {
            return;
        };
        ended.may_have_run = outcome == Outcome::Unknown;
        ended.is_fenced = outcome == Outcome::NotHere;
        ended.is_turned_away = outcome == Outcome::Leaving;
        let ended = ended.clone();
        self.note_end(now, &ended, outcome);
        let is_probe = ended.purpose == Purpose::Probe;
        let is_late = deadline.passed(now);
        match outcome {
            Outcome::Answered { failed, .. } => {
                self.answer(now, key, attempt, &ended, failed, actions);
            }
            Outcome::NotHere if is_probe => self.on_probed(now, key, actions),
            Outcome::Unknown if is_late => self.fail(now, key, Cause::Deadline, actions),
            Outcome::Invalid => self.fail(now, key, Cause::Ordinary, actions),
            Outcome::NotHere => self.finish_unknown(now, key, Cause::Ordinary, actions),
            Outcome::Restarted => self.finish_unknown(now, key, Cause::NoEndpoint, actions),
            _ if is_probe => self.finish_unknown(now, key, Cause::NoEndpoint, actions),
            Outcome::Overloaded { .. } => self.again(now, key, Cause::Overload, actions),
            Outcome::Leaving => self.move_on(now, key, actions),
            Outcome::Unreachable => self.again(now, key, Cause::NoEndpoint, actions),
            Outcome::Unknown if idempotent => {
                self.again(now, key, Cause::EndpointFailed, actions);
            }
            Outcome::Unknown => self.fail(now, key, Cause::EndpointFailed, actions),
        }
    }

    /// Learns from the end of an attempt, whatever becomes of its request.
    fn note_end(&mut self, now: Time, ended: &Try, outcome: Outcome) {
        if let Some(known) = self.endpoints.get_mut(&ended.vm) {
            known.in_flight = known.in_flight.saturating_sub(1);
            match outcome {
                Outcome::Answered { load, .. } | Outcome::Overloaded { load } => {
                    known.candidate.reported = load;
                    known.candidate.reported_at = now;
                }
                Outcome::Leaving => known.candidate.usable = Usable::ForRecords,
                _ => {}
            }
        }
        if ended.purpose == Purpose::Probe {
            return;
        }
        let latency = now.since(ended.sent_at);
        match outcome {
            Outcome::Answered { failed: false, .. } => {
                self.retries.earn();
                self.hedges.earn();
                self.tail.add(latency);
                self.limit.on_good();
                self.endpoints.on_result(now, &ended.vm, Some(latency));
            }
            Outcome::Answered { failed: true, .. } | Outcome::Unreachable | Outcome::Unknown => {
                self.endpoints.on_result(now, &ended.vm, None);
            }
            Outcome::Overloaded { .. } => self.limit.on_overload(now),
            Outcome::Leaving | Outcome::NotHere | Outcome::Restarted | Outcome::Invalid => {}
        }
    }

    fn on_probed(&mut self, now: Time, key: RequestKey, actions: &mut Vec<Action>) {
        let Some(pending) = self.pending.get(&key) else {
            return;
        };
        if pending.has_open() {
            return;
        }
        self.start_recorded(now, key, Purpose::First, actions);
    }

    /// Sends what a leaving agent turned away elsewhere. This costs no budget: the
    /// agent gets no more requests, so each one that leaves costs few attempts.
    fn move_on(&mut self, now: Time, key: RequestKey, actions: &mut Vec<Action>) {
        let Some(pending) = self.pending.get(&key) else {
            return;
        };
        if pending.has_open() {
            return;
        }
        if pending.times_turned_away() > MAX_FREE_MOVES {
            return self.again(now, key, Cause::NoEndpoint, actions);
        }
        self.start(now, key, Purpose::Retry, Cause::NoEndpoint, actions);
    }

    /// Tries again what did not run or may run twice, if budget and time allow.
    fn again(&mut self, now: Time, key: RequestKey, cause: Cause, actions: &mut Vec<Action>) {
        let Some(pending) = self.pending.get(&key) else {
            return;
        };
        if pending.has_open() {
            return;
        }
        let may_move = !pending.is_recorded() || cause == Cause::NoEndpoint;
        let allowed = may_move
            && pending.runs() < MAX_RUNS
            && self.has_time(now, pending.request.deadline)
            && self.retries.spend();
        if !allowed {
            return self.fail(now, key, cause, actions);
        }
        let sent_before = pending.tries.len();
        self.start(now, key, Purpose::Retry, cause, actions);
        let Some(pending) = self.pending.get(&key) else {
            return;
        };
        if let Some(last) = pending.tries[sent_before..].last() {
            actions.push(Action::Tally(tally(
                TallyKind::Retried,
                cause,
                Some(last),
                0,
            )));
        }
    }

    fn on_due(&mut self, now: Time, key: RequestKey, actions: &mut Vec<Action>) {
        let Some(pending) = self.pending.get_mut(&key) else {
            return;
        };
        if pending.request.deadline.passed(now) {
            let late: Vec<VmName> = pending.open_tries().map(|open| open.vm.clone()).collect();
            for vm in late {
                self.endpoints.on_result(now, &vm, None);
            }
            self.limit.on_overload(now);
            return self.fail(now, key, Cause::Deadline, actions);
        }
        if pending.hedge_at.is_some_and(|at| at.passed(now)) {
            pending.hedge_at = None;
            self.hedge(now, key, actions);
        }
        if let Some(pending) = self.pending.get(&key) {
            let at = pending.wake_at();
            actions.push(Action::Wake { key, at });
        }
    }

    fn hedge(&mut self, now: Time, key: RequestKey, actions: &mut Vec<Action>) {
        let Some(pending) = self.pending.get(&key) else {
            return;
        };
        let open: Vec<Try> = pending.open_tries().cloned().collect();
        let [slow] = open.as_slice() else {
            return;
        };
        let tried = pending.tried();
        self.endpoints
            .on_slow(now, &slow.vm, now.since(slow.sent_at));
        if self.limit.is_strained() {
            return;
        }
        let Some(vm) = self.endpoints.choose(now, &tried, &mut self.rng) else {
            return;
        };
        if !self.hedges.spend() {
            return;
        }
        self.send(now, key, &vm, Purpose::Hedge, actions);
        let count = tally(TallyKind::Hedged, Cause::Ordinary, Some(slow), 0);
        actions.push(Action::Tally(count));
    }

    fn on_caller_gone(&mut self, now: Time, key: RequestKey, actions: &mut Vec<Action>) {
        let Some(pending) = self.end(key) else {
            return;
        };
        let micros = micros_since(now, pending.arrived);
        let last = pending.tries.last();
        actions.push(Action::Tally(tally(
            TallyKind::Failed,
            Cause::Cancelled,
            last,
            micros,
        )));
    }

    fn answer(
        &mut self,
        now: Time,
        key: RequestKey,
        attempt: Attempt,
        ended: &Try,
        failed: bool,
        actions: &mut Vec<Action>,
    ) {
        let Some(pending) = self.end(key) else {
            return;
        };
        let took = now.since(pending.arrived);
        let is_late = took > self.policy.objective || pending.request.deadline.passed(now);
        let (kind, cause) = match (failed, is_late) {
            (true, _) => (TallyKind::Failed, Cause::EndpointFailed),
            (false, false) => (TallyKind::Good, Cause::Ordinary),
            (false, true) => (TallyKind::Late, Cause::Ordinary),
        };
        let result = Final::Answer(attempt);
        actions.push(Action::Finish { key, result });
        let micros = micros_since(now, pending.arrived);
        actions.push(Action::Tally(tally(kind, cause, Some(ended), micros)));
    }

    /// Ends a request that got no answer, with what is known of its execution.
    fn fail(&mut self, now: Time, key: RequestKey, cause: Cause, actions: &mut Vec<Action>) {
        let may_have_run = self.pending.get(&key).is_some_and(Pending::may_have_run);
        let verdict = if may_have_run {
            Verdict::MayHaveRun
        } else {
            Verdict::NotRun
        };
        self.finish_refused(now, key, verdict, cause, actions);
    }

    /// Ends a request that an earlier repeat may have run.
    fn finish_unknown(
        &mut self,
        now: Time,
        key: RequestKey,
        cause: Cause,
        actions: &mut Vec<Action>,
    ) {
        self.finish_refused(now, key, Verdict::MayHaveRun, cause, actions);
    }

    fn finish_refused(
        &mut self,
        now: Time,
        key: RequestKey,
        verdict: Verdict,
        cause: Cause,
        actions: &mut Vec<Action>,
    ) {
        let Some(pending) = self.end(key) else {
            return;
        };
        let result = self.refusal(now, verdict, cause);
        actions.push(Action::Finish { key, result });
        let kind = match verdict {
            Verdict::NotRun => TallyKind::Refused,
            Verdict::Done | Verdict::MayHaveRun => TallyKind::Failed,
        };
        let micros = micros_since(now, pending.arrived);
        let last = pending.tries.last();
        actions.push(Action::Tally(tally(kind, cause, last, micros)));
    }

    fn refusal(&mut self, now: Time, verdict: Verdict, cause: Cause) -> Final {
        let spread = COME_BACK_SPREAD.mul_f64(self.rng.random::<f64>());
        Final::Refused {
            verdict,
            cause,
            come_back_at: now + COME_BACK_AFTER + spread,
        }
    }

    fn end(&mut self, key: RequestKey) -> Option<Pending> {
        let pending = self.pending.remove(&key)?;
        self.limit.release();
        for open in pending.open_tries() {
            if let Some(known) = self.endpoints.get_mut(&open.vm) {
                known.in_flight = known.in_flight.saturating_sub(1);
            }
        }
        Some(pending)
    }
}

fn micros_since(now: Time, earlier: Time) -> u64 {
    u64::try_from(now.since(earlier).as_micros()).unwrap_or(u64::MAX)
}

fn tally(kind: TallyKind, cause: Cause, attempt: Option<&Try>, micros: u64) -> Tally {
    Tally {
        kind,
        cause,
        vm: attempt.map(|attempt| attempt.vm.clone()),
        zone: attempt.map(|attempt| attempt.zone.clone()),
        micros,
    }
}
