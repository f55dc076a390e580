//! One request's way through the router, with its attempts at the agents.

use std::{collections::BTreeMap, net::SocketAddr, pin::Pin, time::Duration};

use futures_lite::FutureExt;
use futures_util::{StreamExt, stream::FuturesUnordered};
use kernel::{Incarnation, Time, Verdict, VmName};
use proto::{
    RpcError,
    messages::{EndpointResponse, Forward, ForwardOutcome, ForwardReply, RecordMode, Refusal},
    methods::ForwardCall,
};
use route::{
    Action, AttemptNumber, AttemptOutcome, Event, Request, RequestKey, RequestOutcome,
    request::Recording,
};

use crate::{
    caller::CallerFrontend,
    caller_http::{self, Call, Problem},
    caller_service::ServiceState,
};

/// What came of one attempt.
struct AttemptEnd {
    attempt: AttemptNumber,
    vm: VmName,
    incarnation: Incarnation,
    result: Result<ForwardReply, RpcError>,
}

type Attempts<'a> = FuturesUnordered<Pin<Box<dyn Future<Output = AttemptEnd> + Send + 'a>>>;

/// A request that the router holds; dropped before its end, the caller is gone.
struct Active<'a> {
    callers: &'a CallerFrontend,
    state: &'a ServiceState,
    call: &'a Call,
    key: RequestKey,
    deadline: Time,
    attempts: Attempts<'a>,
    answers: BTreeMap<AttemptNumber, EndpointResponse>,
    refusal: Option<Refusal>,
    wake_at: Time,
    result: Option<RequestOutcome>,
}

impl Drop for Active<'_> {
    fn drop(&mut self) {
        if self.result.is_none() {
            self.handle(Event::CallerGone(self.key));
        }
    }
}

/// Runs `call` and returns the endpoint's whole answer, or why there is none.
pub(crate) async fn run(
    callers: &CallerFrontend,
    state: &ServiceState,
    call: Call,
) -> Result<EndpointResponse, Problem> {
    let now = callers.parts.clock.now();
    let deadline = now + call.timeout;
    let mut active = Active {
        callers,
        state,
        call: &call,
        key: callers.next_key(),
        deadline,
        attempts: FuturesUnordered::new(),
        answers: BTreeMap::new(),
        refusal: None,
        wake_at: deadline,
        result: None,
    };
    active.handle(Event::Arrived(Request {
        key: active.key,
        id: call.has_own_id.then(|| call.id.clone()),
        idempotent: call.idempotent,
        deadline,
    }));
    loop {
        if let Some(result) = active.result {
            return active.conclude(result);
        }
        active.step().await;
    }
}

impl<'a> Active<'a> {
    /// Waits for the next event and carries out what the router says to it.
    async fn step(&mut self) {
        let wake_at = self.callers.parts.clock.instant(self.wake_at);
        let attempts = &mut self.attempts;
        let ended = async {
            match attempts.next().await {
                Some(end) => Some(end),
                None => std::future::pending().await,
            }
        };
        let due = async {
            smol::Timer::at(wake_at).await;
            None
        };
        let event = match ended.or(due).await {
            Some(end) => self.event_of(end),
            None => Event::Due(self.key),
        };
        self.handle(event);
    }

    fn handle(&mut self, event: Event) {
        let now = self.callers.parts.clock.now();
        let members = &self.callers.parts.members;
        let actions = self
            .state
            .handle(now, event, members, &self.callers.config());
        for action in actions {
            match action {
                Action::Send {
                    attempt,
                    vm,
                    incarnation,
                    address,
                    record,
                    ..
                } => {
                    let forward = self.forward(now, attempt, incarnation, record);
                    self.send(now, forward, attempt, vm, incarnation, address);
                }
                Action::Wake { at, .. } => self.wake_at = at,
                Action::Finish { result, .. } => self.result = Some(result),
                Action::Tally(tally) => {
                    let name = self.state.name();
                    self.callers.accounts.add(now, name, tally);
                }
            }
        }
    }

    fn forward(
        &self,
        now: Time,
        attempt: AttemptNumber,
        incarnation: Incarnation,
        record: Recording,
    ) -> Forward {
        let remaining = self.deadline.remaining(now).as_micros();
        Forward {
            id: self.call.id.clone(),
            attempt: attempt.0,
            service: self.state.name().clone(),
            idempotent: self.call.idempotent,
            remaining_micros: u64::try_from(remaining).unwrap_or(u64::MAX),
            record: match record {
                Recording::Off => RecordMode::Off,
                Recording::Run => RecordMode::Run,
                Recording::Probe => RecordMode::Probe,
            },
            incarnation,
            method: self.call.method.clone(),
            path: self.call.path.clone(),
            headers: self.call.headers.clone(),
            body: self.call.body.clone(),
        }
    }

    fn send(
        &self,
        now: Time,
        forward: Forward,
        attempt: AttemptNumber,
        vm: VmName,
        incarnation: Incarnation,
        address: SocketAddr,
    ) {
        let peer = self.callers.peer(&vm, address);
        let timeout = self.deadline.remaining(now);
        self.attempts.push(Box::pin(async move {
            let result = peer.call::<ForwardCall>(forward, timeout).await;
            AttemptEnd {
                attempt,
                vm,
                incarnation,
                result,
            }
        }));
    }

    fn event_of(&mut self, end: AttemptEnd) -> Event {
        let attempt = end.attempt;
        let outcome = match end.result {
            Ok(reply) if reply.id != self.call.id || reply.attempt != attempt.0 => {
                tracing::warn!(vm = %end.vm, request = %self.call.id, "answer to another request");
                AttemptOutcome::Unknown
            }
            Ok(reply) => self.outcome_of(attempt, &end.vm, end.incarnation, reply),
            Err(error) => {
                tracing::debug!(vm = %end.vm, request = %self.call.id, %error, "attempt failed");
                match error.verdict {
                    Verdict::NotRun => AttemptOutcome::Unreachable,
                    Verdict::Done | Verdict::MayHaveRun => AttemptOutcome::Unknown,
                }
            }
        };
        Event::AttemptEnded {
            key: self.key,
            attempt,
            outcome,
        }
    }

    fn outcome_of(
        &mut self,
        attempt: AttemptNumber,
        vm: &VmName,
        incarnation: Incarnation,
        reply: ForwardReply,
    ) -> AttemptOutcome {
        let load = reply.in_flight + reply.queued;
        let refusal = match reply.outcome {
            ForwardOutcome::Answered(answer) => {
                let failed = answer.status >= 500;
                self.answers.insert(attempt, answer);
                return AttemptOutcome::Answered { failed, load };
            }
            ForwardOutcome::MayHaveRun(reason) => {
                tracing::debug!(%vm, request = %self.call.id, reason, "attempt may have run");
                return AttemptOutcome::Unknown;
            }
            ForwardOutcome::NotRun(refusal) => refusal,
        };
        self.refusal = Some(refusal);
        match refusal {
            Refusal::QueueFull | Refusal::Deadline => AttemptOutcome::Overloaded { load },
            Refusal::Leaving => {
                self.callers.parts.members.on_leaving(vm, incarnation);
                AttemptOutcome::Leaving
            }
            Refusal::ZoneOut => AttemptOutcome::Leaving,
            Refusal::NoEndpoint => AttemptOutcome::Unreachable,
            Refusal::NotHere => AttemptOutcome::NotHere,
            Refusal::Restarted => AttemptOutcome::Restarted,
            Refusal::IdReused | Refusal::Invalid => AttemptOutcome::Invalid,
        }
    }

    fn conclude(&mut self, result: RequestOutcome) -> Result<EndpointResponse, Problem> {
        let (verdict, cause, retry_at) = match result {
            RequestOutcome::Answer(attempt) => {
                let lost = Problem::refused(
                    Verdict::MayHaveRun,
                    kernel::Cause::EndpointFailed,
                    Duration::ZERO,
                );
                return self.answers.remove(&attempt).ok_or(lost);
            }
            RequestOutcome::NoAnswer {
                verdict,
                cause,
                retry_at,
            } => (verdict, cause, retry_at),
        };
        match self.refusal {
            Some(Refusal::IdReused) if verdict == Verdict::NotRun => Err(Problem::id_reused()),
            Some(Refusal::Invalid) if verdict == Verdict::NotRun => Err(Problem::invalid()),
            _ => {
                let now = self.callers.parts.clock.now();
                let after = caller_http::come_back_after(now, retry_at);
                Err(Problem::refused(verdict, cause, after))
            }
        }
    }
}
