//! The attempts of a request: the first, retries, hedges and probes.

use std::time::Duration;

use kernel::{Cause, Time, VmName};

use super::{Router, ending::tally};
use crate::{
    home,
    pending::{Purpose, Try},
    request::{Action, AttemptNumber, RequestKey, TallyKind},
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

impl Router {
    pub(super) fn hedge_delay(&self) -> Option<Duration> {
        let high = self.tail.quantile(HEDGE_QUANTILE)?;
        let middle = self.tail.quantile(0.5)?;
        Some(high.min(middle * HEDGE_MIDDLE_FACTOR).max(MIN_HEDGE_DELAY))
    }

    /// Makes the next attempt, or ends the request if there is none to make.
    pub(super) fn start(
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
    pub(super) fn start_recorded(
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

    pub(super) fn send(
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
            attempt: AttemptNumber(pending.tries.len() as u32),
            vm: vm.clone(),
            incarnation: candidate.incarnation,
            address: candidate.address,
            record: pending.recording(purpose),
        });
    }

    /// Sends what a leaving agent turned away elsewhere. This costs no budget: the
    /// agent gets no more requests, so each one that leaves costs few attempts.
    pub(super) fn move_on(&mut self, now: Time, key: RequestKey, actions: &mut Vec<Action>) {
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
    pub(super) fn again(
        &mut self,
        now: Time,
        key: RequestKey,
        cause: Cause,
        actions: &mut Vec<Action>,
    ) {
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

    pub(super) fn hedge(&mut self, now: Time, key: RequestKey, actions: &mut Vec<Action>) {
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
}
