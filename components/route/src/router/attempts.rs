//! Sends the attempts of a request: the first one, retries, hedges and probes.

use std::time::Duration;

use kernel::{Cause, Time, VmName};

use super::{Router, ending::tally};
use crate::{
    home,
    pending::{AttemptState, Purpose},
    request::{Action, AttemptNumber, RequestKey, TallyKind},
};

/// Maximum number of attempts to run one request.
const MAX_RUN_ATTEMPTS: usize = 3;
/// Maximum number of redirects of one request that do not draw on the retry budget.
const MAX_FREE_REDIRECTS: usize = 4;
/// A request is hedged once it takes longer than this quantile of recent latencies.
const HEDGE_QUANTILE: f64 = 0.95;
/// Upper bound of the hedge delay, as a multiple of the median latency.
const HEDGE_MEDIAN_FACTOR: u32 = 3;
/// Lower bound of the hedge delay.
const MIN_HEDGE_DELAY: Duration = Duration::from_millis(1);

impl Router {
    pub(super) fn hedge_delay(&self) -> Option<Duration> {
        let high = self.latencies.quantile(HEDGE_QUANTILE)?;
        let median = self.latencies.quantile(0.5)?;
        Some(high.min(median * HEDGE_MEDIAN_FACTOR).max(MIN_HEDGE_DELAY))
    }

    /// Sends the next attempt, or ends the request if no endpoint is left to try.
    pub(super) fn start_attempt(
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
        if pending.is_at_most_once() {
            return self.start_at_most_once(now, key, purpose, actions);
        }
        match self
            .endpoints
            .choose(now, &pending.tried_vms(), &mut self.rng)
        {
            Some(vm) => self.send(now, key, &vm, purpose, actions),
            None => self.fail(now, key, cause, actions),
        }
    }

    /// Probes the endpoints that may hold the request's record, then sends the request
    /// to its home. The set of endpoints may change between attempts, so each call
    /// computes a new plan.
    pub(super) fn start_at_most_once(
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
            let endpoint = self.endpoints.get(vm);
            endpoint
                .is_some_and(|endpoint| !pending.is_fenced_at(vm, endpoint.candidate.incarnation))
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

    pub(super) fn send(
        &mut self,
        now: Time,
        key: RequestKey,
        vm: &VmName,
        purpose: Purpose,
        actions: &mut Vec<Action>,
    ) {
        let (Some(pending), Some(endpoint)) =
            (self.pending.get_mut(&key), self.endpoints.get_mut(vm))
        else {
            return;
        };
        endpoint.in_flight += 1;
        let candidate = &endpoint.candidate;
        pending.attempts.push(AttemptState {
            vm: vm.clone(),
            incarnation: candidate.incarnation,
            zone: candidate.zone.clone(),
            purpose,
            sent_at: now,
            is_open: true,
            may_have_run: false,
            is_fenced: false,
            is_declined: false,
        });
        actions.push(Action::Send {
            key,
            attempt: AttemptNumber(pending.attempts.len() as u32),
            vm: vm.clone(),
            incarnation: candidate.incarnation,
            address: candidate.address,
            record: pending.recording(purpose),
        });
    }

    /// Sends a request elsewhere after an agent that takes no new work declined it. This
    /// does not draw on the retry budget: that agent gets no more requests, so each such
    /// agent causes few extra attempts.
    pub(super) fn redirect(&mut self, now: Time, key: RequestKey, actions: &mut Vec<Action>) {
        let Some(pending) = self.pending.get(&key) else {
            return;
        };
        if pending.has_open_attempt() {
            return;
        }
        if pending.declined_count() > MAX_FREE_REDIRECTS {
            return self.retry(now, key, Cause::NoEndpoint, actions);
        }
        self.start_attempt(now, key, Purpose::Retry, Cause::NoEndpoint, actions);
    }

    /// Retries a request that did not run or may run twice, if the number of attempts, the
    /// remaining time and the retry budget allow it.
    pub(super) fn retry(
        &mut self,
        now: Time,
        key: RequestKey,
        cause: Cause,
        actions: &mut Vec<Action>,
    ) {
        let Some(pending) = self.pending.get(&key) else {
            return;
        };
        if pending.has_open_attempt() {
            return;
        }
        let may_move = !pending.is_at_most_once() || cause == Cause::NoEndpoint;
        let allowed = may_move
            && pending.run_attempts() < MAX_RUN_ATTEMPTS
            && self.has_time(now, pending.request.deadline)
            && self.retry_budget.try_spend();
        if !allowed {
            return self.fail(now, key, cause, actions);
        }
        let earlier_attempts = pending.attempts.len();
        self.start_attempt(now, key, Purpose::Retry, cause, actions);
        let Some(pending) = self.pending.get(&key) else {
            return;
        };
        if let Some(last) = pending.attempts[earlier_attempts..].last() {
            actions.push(Action::Tally(tally(
                TallyKind::Retried,
                cause,
                Some(last),
                0,
            )));
        }
    }

    pub(super) fn hedge(&mut self, now: Time, key: RequestKey, actions: &mut Vec<Action>) {
        let Some(pending) = self.pending.get(&key) else {
            return;
        };
        let open: Vec<AttemptState> = pending.open_attempts().cloned().collect();
        let [slow] = open.as_slice() else {
            return;
        };
        let tried_vms = pending.tried_vms();
        self.endpoints
            .on_slow(now, &slow.vm, now.since(slow.sent_at));
        if self.limit.is_nearly_reached() {
            return;
        }
        let Some(vm) = self.endpoints.choose(now, &tried_vms, &mut self.rng) else {
            return;
        };
        if !self.hedge_budget.try_spend() {
            return;
        }
        self.send(now, key, &vm, Purpose::Hedge, actions);
        let hedged = tally(TallyKind::Hedged, Cause::Ordinary, Some(slow), 0);
        actions.push(Action::Tally(hedged));
    }
}
