//! The end of a request: its answer or its refusal, and what is counted.

use std::time::Duration;

use kernel::{Cause, Time, Verdict};
use rand::Rng;

use super::Router;
use crate::{
    pending::{Pending, Try},
    request::{Action, AttemptNumber, RequestKey, RequestOutcome, Tally, TallyKind},
};

/// The shortest time after which a refused caller is asked to come back.
const COME_BACK_AFTER: Duration = Duration::from_secs(1);
/// Callers are spread over this much more time, so that they don't come back
/// all at once.
const COME_BACK_SPREAD: Duration = Duration::from_secs(2);

impl Router {
    pub(super) fn refuse_arrived(
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

    pub(super) fn answer(
        &mut self,
        now: Time,
        key: RequestKey,
        attempt: AttemptNumber,
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
        let result = RequestOutcome::Answer(attempt);
        actions.push(Action::Finish { key, result });
        let micros = micros_since(now, pending.arrived);
        actions.push(Action::Tally(tally(kind, cause, Some(ended), micros)));
    }

    /// Ends a request that got no answer, with what is known of its execution.
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
        self.finish_refused(now, key, verdict, cause, actions);
    }

    /// Ends a request that an earlier repeat may have run.
    pub(super) fn finish_unknown(
        &mut self,
        now: Time,
        key: RequestKey,
        cause: Cause,
        actions: &mut Vec<Action>,
    ) {
        self.finish_refused(now, key, Verdict::MayHaveRun, cause, actions);
    }

    pub(super) fn finish_refused(
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

    pub(super) fn refusal(&mut self, now: Time, verdict: Verdict, cause: Cause) -> RequestOutcome {
        let spread = COME_BACK_SPREAD.mul_f64(self.rng.random::<f64>());
        RequestOutcome::NoAnswer {
            verdict,
            cause,
            retry_at: now + COME_BACK_AFTER + spread,
        }
    }

    pub(super) fn end(&mut self, key: RequestKey) -> Option<Pending> {
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

pub(super) fn micros_since(now: Time, earlier: Time) -> u64 {
    u64::try_from(now.since(earlier).as_micros()).unwrap_or(u64::MAX)
}

pub(super) fn tally(kind: TallyKind, cause: Cause, attempt: Option<&Try>, micros: u64) -> Tally {
    Tally {
        kind,
        cause,
        vm: attempt.map(|attempt| attempt.vm.clone()),
        zone: attempt.map(|attempt| attempt.zone.clone()),
        micros,
    }
}
