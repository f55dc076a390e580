//! Routes the requests of one service at one entry.
//!
//! The router admits a request or refuses it at once, chooses an endpoint,
//! retries attempts that did not run, hedges slow ones and ends every request by
//! its deadline. A request that is not idempotent gets no further attempt once
//! any of its bytes may have reached an endpoint. See `docs/ROUTING.md`.

mod attempts;
mod ending;

use std::{collections::BTreeMap, time::Duration};

use kernel::{Cause, Time, VmName, object::Limit};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use self::ending::{micros_since, tally};
use crate::{
    budget::AttemptBudget,
    choice::Endpoints,
    latency::LatencyHistogram,
    limit::ConcurrencyLimit,
    pending::{AttemptState, Pending, Purpose},
    request::{
        Action, AttemptNumber, AttemptOutcome, Event, Request, RequestKey, TallyKind, Usability,
    },
};

/// A request is refused unless more time than the median latency divided by this
/// remains until its deadline.
const MIN_REMAINING_DIVISOR: u32 = 2;

/// The configuration of a service, as far as it affects routing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Policy {
    /// Limits on requests in flight, retries and hedges.
    pub limit: Limit,
    /// Latency up to which an answer counts as good; a later one counts as late.
    pub objective: Duration,
}

/// Routes the requests of one service.
#[derive(Clone, Debug)]
pub struct Router {
    policy: Policy,
    endpoints: Endpoints,
    pending: BTreeMap<RequestKey, Pending>,
    limit: ConcurrencyLimit,
    retry_budget: AttemptBudget,
    hedge_budget: AttemptBudget,
    latencies: LatencyHistogram,
    rng: ChaCha8Rng,
}

impl Router {
    /// Returns a router without endpoints; `seed` determines its random choices.
    #[must_use]
    pub fn new(policy: Policy, seed: u64) -> Self {
        Self {
            endpoints: Endpoints::default(),
            pending: BTreeMap::new(),
            limit: ConcurrencyLimit::new(policy.limit.in_flight),
            retry_budget: AttemptBudget::new(policy.limit.retry_percent),
            hedge_budget: AttemptBudget::new(policy.limit.hedge_percent),
            latencies: LatencyHistogram::default(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            policy,
        }
    }

    /// Applies a changed configuration.
    pub fn set_policy(&mut self, policy: Policy) {
        self.limit.set_max(policy.limit.in_flight);
        self.retry_budget.set_percent(policy.limit.retry_percent);
        self.hedge_budget.set_percent(policy.limit.hedge_percent);
        self.policy = policy;
    }

    /// Returns the configuration in force.
    #[must_use]
    pub const fn policy(&self) -> &Policy {
        &self.policy
    }

    /// Returns the number of requests in flight.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.pending.len()
    }

    /// Returns the current limit on requests in flight.
    #[must_use]
    pub const fn concurrency_limit(&self) -> u32 {
        self.limit.current()
    }

    /// Returns the endpoints with their load and health.
    #[must_use]
    pub const fn endpoints(&self) -> &Endpoints {
        &self.endpoints
    }

    /// Handles an event at `now` and returns the actions that the entry must carry out.
    pub fn handle(&mut self, now: Time, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Arrived(request) => self.on_arrived(now, request, &mut actions),
            Event::AttemptEnded {
                key,
                attempt,
                outcome,
            } => self.on_attempt_ended(now, key, attempt, outcome, &mut actions),
            Event::Due(key) => self.on_due(now, key, &mut actions),
            Event::CallerGone(key) => self.on_caller_gone(now, key, &mut actions),
            Event::Endpoints(candidates) => self.endpoints.replace(candidates),
        }
        actions
    }

    fn on_arrived(&mut self, now: Time, request: Request, actions: &mut Vec<Action>) {
        let key = request.key;
        if !self.has_time(now, request.deadline) {
            return self.reject_arrival(now, key, Cause::Deadline, actions);
        }
        if !self.endpoints.has_usable() {
            return self.reject_arrival(now, key, Cause::NoEndpoint, actions);
        }
        if !self.limit.try_acquire() {
            return self.reject_arrival(now, key, Cause::Overload, actions);
        }
        let mut pending = Pending::new(request, now);
        if pending.request.idempotent {
            pending.hedge_at = self.hedge_delay().map(|delay| now + delay);
        }
        self.pending.insert(key, pending);
        self.start_attempt(now, key, Purpose::First, Cause::NoEndpoint, actions);
        if let Some(pending) = self.pending.get(&key) {
            let at = pending.wake_at();
            actions.push(Action::Wake { key, at });
        }
    }

    fn has_time(&self, now: Time, deadline: Time) -> bool {
        let needed = self.latencies.quantile(0.5).unwrap_or_default() / MIN_REMAINING_DIVISOR;
        deadline.remaining(now) > needed
    }

    fn on_attempt_ended(
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
        let Some(ended) = pending.end_attempt(attempt) else {
            return;
        };
        ended.may_have_run = outcome == AttemptOutcome::Unknown;
        ended.is_fenced = outcome == AttemptOutcome::NotHere;
        ended.is_declined = outcome == AttemptOutcome::Leaving;
        let ended = ended.clone();
        self.record_attempt_end(now, &ended, outcome);
        let is_probe = ended.purpose == Purpose::Probe;
        let is_late = deadline.passed(now);
        match outcome {
            AttemptOutcome::Answered { failed, .. } => {
                self.finish_answered(now, key, attempt, &ended, failed, actions);
            }
            AttemptOutcome::NotHere if is_probe => self.on_probe_ended(now, key, actions),
            AttemptOutcome::Unknown if is_late => self.fail(now, key, Cause::Deadline, actions),
            AttemptOutcome::Invalid => self.fail(now, key, Cause::Ordinary, actions),
            AttemptOutcome::NotHere => self.finish_unknown(now, key, Cause::Ordinary, actions),
            AttemptOutcome::Restarted => self.finish_unknown(now, key, Cause::NoEndpoint, actions),
            _ if is_probe => self.finish_unknown(now, key, Cause::NoEndpoint, actions),
            AttemptOutcome::Overloaded { .. } => self.retry(now, key, Cause::Overload, actions),
            AttemptOutcome::Leaving => self.redirect(now, key, actions),
            AttemptOutcome::Unreachable => self.retry(now, key, Cause::NoEndpoint, actions),
            AttemptOutcome::Unknown if idempotent => {
                self.retry(now, key, Cause::EndpointFailed, actions);
            }
            AttemptOutcome::Unknown => self.fail(now, key, Cause::EndpointFailed, actions),
        }
    }

    /// Updates load, health, budgets and the concurrency limit at the end of an attempt,
    /// whether or not its request continues.
    fn record_attempt_end(&mut self, now: Time, ended: &AttemptState, outcome: AttemptOutcome) {
        if let Some(endpoint) = self.endpoints.get_mut(&ended.vm) {
            endpoint.in_flight = endpoint.in_flight.saturating_sub(1);
            match outcome {
                AttemptOutcome::Answered { load, .. } | AttemptOutcome::Overloaded { load } => {
                    endpoint.candidate.reported_load = load;
                    endpoint.candidate.reported_at = now;
                }
                AttemptOutcome::Leaving => endpoint.candidate.usability = Usability::RecordsOnly,
                _ => {}
            }
        }
        if ended.purpose == Purpose::Probe {
            return;
        }
        let latency = now.since(ended.sent_at);
        match outcome {
            AttemptOutcome::Answered { failed: false, .. } => {
                self.retry_budget.earn();
                self.hedge_budget.earn();
                self.latencies.add(latency);
                self.limit.on_success();
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

    fn on_probe_ended(&mut self, now: Time, key: RequestKey, actions: &mut Vec<Action>) {
        let Some(pending) = self.pending.get(&key) else {
            return;
        };
        if pending.has_open_attempt() {
            return;
        }
        self.start_at_most_once(now, key, Purpose::First, actions);
    }

    fn on_due(&mut self, now: Time, key: RequestKey, actions: &mut Vec<Action>) {
        let Some(pending) = self.pending.get_mut(&key) else {
            return;
        };
        if pending.request.deadline.passed(now) {
            let slow_vms: Vec<VmName> = pending
                .open_attempts()
                .map(|open| open.vm.clone())
                .collect();
            for vm in slow_vms {
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
        let Some(pending) = self.remove_pending(key) else {
            return;
        };
        let micros = micros_since(now, pending.arrived_at);
        let last = pending.attempts.last();
        actions.push(Action::Tally(tally(
            TallyKind::Failed,
            Cause::Cancelled,
            last,
            micros,
        )));
    }
}
