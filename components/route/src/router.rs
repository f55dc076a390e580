//! The life of each request of one service at one entry.
//!
//! The router admits a request or refuses it at once, chooses an endpoint,
//! retries what did not run, hedges what is slow and ends every request by its
//! deadline. A request that is not idempotent gets no further attempt once any
//! of its bytes may have reached an endpoint. See `docs/ROUTING.md`.

mod attempts;
mod ending;

use std::{collections::BTreeMap, time::Duration};

use kernel::{Cause, Time, VmName, object::Limit};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use self::ending::{micros_since, tally};
use crate::{
    budget::Budget,
    choice::Endpoints,
    limit::ConcurrencyLimit,
    pending::{Pending, Purpose, Try},
    request::{
        Action, AttemptNumber, AttemptOutcome, Event, Request, RequestKey, TallyKind, Usability,
    },
    tail::Tail,
};

/// A request with less time than this part of the middle latency is refused.
const MIN_REMAINING_DIVISOR: u32 = 2;

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
            Event::AttemptEnded {
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

    fn has_time(&self, now: Time, deadline: Time) -> bool {
        let needed = self.tail.quantile(0.5).unwrap_or_default() / MIN_REMAINING_DIVISOR;
        deadline.remaining(now) > needed
    }

    fn on_ended(
        &mut self,
        now: Time,
        key: RequestKey,
        attempt: AttemptNumber,
        outcome: AttemptOutcome,
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
        ended.may_have_run = outcome == AttemptOutcome::Unknown;
        ended.is_fenced = outcome == AttemptOutcome::NotHere;
        ended.is_turned_away = outcome == AttemptOutcome::Leaving;
        let ended = ended.clone();
        self.note_end(now, &ended, outcome);
        let is_probe = ended.purpose == Purpose::Probe;
        let is_late = deadline.passed(now);
        match outcome {
            AttemptOutcome::Answered { failed, .. } => {
                self.answer(now, key, attempt, &ended, failed, actions);
            }
            AttemptOutcome::NotHere if is_probe => self.on_probed(now, key, actions),
            AttemptOutcome::Unknown if is_late => self.fail(now, key, Cause::Deadline, actions),
            AttemptOutcome::Invalid => self.fail(now, key, Cause::Ordinary, actions),
            AttemptOutcome::NotHere => self.finish_unknown(now, key, Cause::Ordinary, actions),
            AttemptOutcome::Restarted => self.finish_unknown(now, key, Cause::NoEndpoint, actions),
            _ if is_probe => self.finish_unknown(now, key, Cause::NoEndpoint, actions),
            AttemptOutcome::Overloaded { .. } => self.again(now, key, Cause::Overload, actions),
            AttemptOutcome::Leaving => self.move_on(now, key, actions),
            AttemptOutcome::Unreachable => self.again(now, key, Cause::NoEndpoint, actions),
            AttemptOutcome::Unknown if idempotent => {
                self.again(now, key, Cause::EndpointFailed, actions);
            }
            AttemptOutcome::Unknown => self.fail(now, key, Cause::EndpointFailed, actions),
        }
    }

    /// Learns from the end of an attempt, whatever becomes of its request.
    fn note_end(&mut self, now: Time, ended: &Try, outcome: AttemptOutcome) {
        if let Some(known) = self.endpoints.get_mut(&ended.vm) {
            known.in_flight = known.in_flight.saturating_sub(1);
            match outcome {
                AttemptOutcome::Answered { load, .. } | AttemptOutcome::Overloaded { load } => {
                    known.candidate.reported_load = load;
                    known.candidate.reported_at = now;
                }
                AttemptOutcome::Leaving => known.candidate.usability = Usability::RecordsOnly,
                _ => {}
            }
        }
        if ended.purpose == Purpose::Probe {
            return;
        }
        let latency = now.since(ended.sent_at);
        match outcome {
            AttemptOutcome::Answered { failed: false, .. } => {
                self.retries.earn();
                self.hedges.earn();
                self.tail.add(latency);
                self.limit.on_good();
                self.endpoints.on_result(now, &ended.vm, Some(latency));
            }
            AttemptOutcome::Answered { failed: true, .. }
            | AttemptOutcome::Unreachable
            | AttemptOutcome::Unknown => {
                self.endpoints.on_result(now, &ended.vm, None);
            }
            AttemptOutcome::Overloaded { .. } => self.limit.on_overload(now),
            AttemptOutcome::Leaving
            | AttemptOutcome::NotHere
            | AttemptOutcome::Restarted
            | AttemptOutcome::Invalid => {}
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
}
