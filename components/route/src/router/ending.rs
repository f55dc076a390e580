//! Ends requests with an answer or a refusal, and counts them.

use std::time::Duration;

use kernel::{Cause, Time, Verdict};
use rand::Rng;

use super::Router;
use crate::{
    pending::{AttemptState, Pending},
    request::{Action, AttemptNumber, RequestKey, RequestOutcome, Tally, TallyKind},
};

/// Shortest delay after which a refused caller is asked to retry.
const MIN_RETRY_DELAY: Duration = Duration::from_secs(1);
/// A random delay of up to this is added, so that refused callers don't all retry at once.
const MAX_RETRY_JITTER: Duration = Duration::from_secs(2);

impl Router {
    pub(super) fn reject_arrival(
        &mut self,
        now: Time,
        key: RequestKey,
        cause: Cause,
        actions: &mut Vec<Action>,
    ) {
        let result = self.no_answer(now, Verdict::NotRun, cause);
        actions.push(Action::Finish { key, result });
        actions.push(Action::Tally(tally(TallyKind::Refused, cause, None, 0)));
    }

    pub(super) fn finish_answered(
        &mut self,
        now: Time,
        key: RequestKey,
        attempt: AttemptNumber,
        ended: &AttemptState,
        failed: bool,
        actions: &mut Vec<Action>,
    ) {
        let Some(pending) = self.remove_pending(key) else {
            return;
        };
        let took = now.since(pending.arrived_at);
        let is_late = took > self.policy.objective || pending.request.deadline.passed(now);
        let (kind, cause) = match (failed, is_late) {
            (true, _) => (TallyKind::Failed, Cause::EndpointFailed),
            (false, false) => (TallyKind::Good, Cause::Ordinary),
            (false, true) => (TallyKind::Late, Cause::Ordinary),
        };
        let result = RequestOutcome::Answer(attempt);
        actions.push(Action::Finish { key, result });
        let micros = micros_since(now, pending.arrived_at);
        actions.push(Action::Tally(tally(kind, cause, Some(ended), micros)));
    }

    /// Ends a request that got no answer; the verdict states whether it may have run.
    pub(super) fn fail(
        &mut self,
        now: Time,
        key: RequestKey,
        cause: Cause,
        actions: &mut Vec<Action>,
    ) {
        let may_have_run = self.pending.get(&key).is_some_and(Pending::may_have_run);
        let verdict = if may_have_run {
            Verdict::MayHaveRun
        } else {
            Verdict::NotRun
        };
        self.finish_without_answer(now, key, verdict, cause, actions);
    }

    /// Ends a request that may have run under an earlier submission with the same id.
    pub(super) fn finish_unknown(
        &mut self,
        now: Time,
        key: RequestKey,
        cause: Cause,
        actions: &mut Vec<Action>,
    ) {
        self.finish_without_answer(now, key, Verdict::MayHaveRun, cause, actions);
    }

    pub(super) fn finish_without_answer(
        &mut self,
        now: Time,
        key: RequestKey,
        verdict: Verdict,
        cause: Cause,
        actions: &mut Vec<Action>,
    ) {
        let Some(pending) = self.remove_pending(key) else {
            return;
        };
        let result = self.no_answer(now, verdict, cause);
        actions.push(Action::Finish { key, result });
        let kind = match verdict {
            Verdict::NotRun => TallyKind::Refused,
            Verdict::Done | Verdict::MayHaveRun => TallyKind::Failed,
        };
        let micros = micros_since(now, pending.arrived_at);
        let last = pending.attempts.last();
        actions.push(Action::Tally(tally(kind, cause, last, micros)));
    }

    pub(super) fn no_answer(
        &mut self,
        now: Time,
        verdict: Verdict,
        cause: Cause,
    ) -> RequestOutcome {
        let jitter = MAX_RETRY_JITTER.mul_f64(self.rng.random::<f64>());
        RequestOutcome::NoAnswer {
            verdict,
            cause,
            retry_at: now + MIN_RETRY_DELAY + jitter,
        }
    }

    pub(super) fn remove_pending(&mut self, key: RequestKey) -> Option<Pending> {
        let pending = self.pending.remove(&key)?;
        self.limit.release();
        for open in pending.open_attempts() {
            if let Some(endpoint) = self.endpoints.get_mut(&open.vm) {
                endpoint.in_flight = endpoint.in_flight.saturating_sub(1);
            }
        }
        Some(pending)
    }
}

pub(super) fn micros_since(now: Time, earlier: Time) -> u64 {
    u64::try_from(now.since(earlier).as_micros()).unwrap_or(u64::MAX)
}

pub(super) fn tally(
    kind: TallyKind,
    cause: Cause,
    attempt: Option<&AttemptState>,
    micros: u64,
) -> Tally {
    Tally {
        kind,
        cause,
        vm: attempt.map(|attempt| attempt.vm.clone()),
        zone: attempt.map(|attempt| attempt.zone.clone()),
        micros,
    }
}
