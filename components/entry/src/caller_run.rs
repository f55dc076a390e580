//! Runs one request: carries out the router's actions, with attempts at agents.

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
    caller_http::{self, CallerRequest, ErrorResponse},
    caller_service::ServiceState,
};

/// The end of one attempt at an agent.
struct AttemptEnd {
    attempt: AttemptNumber,
    vm: VmName,
    incarnation: Incarnation,
    result: Result<ForwardReply, RpcError>,
}

type Attempts<'a> = FuturesUnordered<Pin<Box<dyn Future<Output = AttemptEnd> + Send + 'a>>>;

/// A request that the router tracks. Dropping it before its result means that the
/// caller has disconnected.
struct ActiveRequest<'a> {
    callers: &'a CallerFrontend,
    state: &'a ServiceState,
    request: &'a CallerRequest,
    key: RequestKey,
    deadline: Time,
    attempts: Attempts<'a>,
    responses: BTreeMap<AttemptNumber, EndpointResponse>,
    /// The last reason for which an agent refused an attempt; `None` if none did.
    last_refusal: Option<Refusal>,
    /// When the router must handle the request again.
    wake_at: Time,
    result: Option<RequestOutcome>,
}

impl Drop for ActiveRequest<'_> {
    fn drop(&mut self) {
        if self.result.is_none() {
            self.handle(Event::CallerGone(self.key));
        }
    }
}

/// Runs `request` and returns the endpoint's complete response, or an error response.
pub(crate) async fn run(
    callers: &CallerFrontend,
    state: &ServiceState,
    request: CallerRequest,
) -> Result<EndpointResponse, ErrorResponse> {
    let now = callers.setup.clock.now();
    let deadline = now + request.timeout;
    let mut active = ActiveRequest {
        callers,
        state,
        request: &request,
        key: callers.next_key(),
        deadline,
        attempts: FuturesUnordered::new(),
        responses: BTreeMap::new(),
        last_refusal: None,
        wake_at: deadline,
        result: None,
    };
    active.handle(Event::Arrived(Request {
        key: active.key,
        id: request.has_caller_id.then(|| request.id.clone()),
        idempotent: request.idempotent,
        deadline,
    }));
    loop {
        if let Some(result) = active.result {
            return active.result_for(result);
        }
        active.step().await;
    }
}

impl<'a> ActiveRequest<'a> {
    /// Waits for the next event and carries out the router's actions for it.
    async fn step(&mut self) {
        let wake_at = self.callers.setup.clock.instant(self.wake_at);
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
            Some(end) => self.event_for(end),
            None => Event::Due(self.key),
        };
        self.handle(event);
    }

    fn handle(&mut self, event: Event) {
        let now = self.callers.setup.clock.now();
        let members = &self.callers.setup.members;
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
            id: self.request.id.clone(),
            attempt: attempt.0,
            service: self.state.name().clone(),
            idempotent: self.request.idempotent,
            remaining_micros: u64::try_from(remaining).unwrap_or(u64::MAX),
            record: match record {
                Recording::Off => RecordMode::Off,
                Recording::Run => RecordMode::Run,
                Recording::Probe => RecordMode::Probe,
            },
            incarnation,
            method: self.request.method.clone(),
            path: self.request.path.clone(),
            headers: self.request.headers.clone(),
            body: self.request.body.clone(),
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

    fn event_for(&mut self, end: AttemptEnd) -> Event {
        let attempt = end.attempt;
        let outcome = match end.result {
            Ok(reply) if reply.id != self.request.id || reply.attempt != attempt.0 => {
                tracing::warn!(
                    vm = %end.vm, request = %self.request.id,
                    "the agent replied to another request or attempt; the request may have run"
                );
                AttemptOutcome::Unknown
            }
            Ok(reply) => self.outcome_for(attempt, &end.vm, end.incarnation, reply),
            Err(error) => {
                tracing::debug!(vm = %end.vm, request = %self.request.id, %error, "attempt failed");
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

    fn outcome_for(
        &mut self,
        attempt: AttemptNumber,
        vm: &VmName,
        incarnation: Incarnation,
        reply: ForwardReply,
    ) -> AttemptOutcome {
        let load = reply.in_flight + reply.queued;
        let refusal = match reply.outcome {
            ForwardOutcome::Answered(response) => {
                let failed = response.status >= 500;
                self.responses.insert(attempt, response);
                return AttemptOutcome::Answered { failed, load };
            }
            ForwardOutcome::MayHaveRun(reason) => {
                tracing::debug!(%vm, request = %self.request.id, reason, "attempt may have run");
                return AttemptOutcome::Unknown;
            }
            ForwardOutcome::NotRun(refusal) => refusal,
        };
        self.last_refusal = Some(refusal);
        match refusal {
            Refusal::QueueFull | Refusal::Deadline => AttemptOutcome::Overloaded { load },
            Refusal::Leaving => {
                self.callers.setup.members.on_leaving(vm, incarnation);
                AttemptOutcome::Leaving
            }
            Refusal::ZoneOut => AttemptOutcome::Leaving,
            Refusal::NoEndpoint => AttemptOutcome::Unreachable,
            Refusal::NotHere => AttemptOutcome::NotHere,
            Refusal::Restarted => AttemptOutcome::Restarted,
            Refusal::IdReused | Refusal::Invalid => AttemptOutcome::Invalid,
        }
    }

    fn result_for(&mut self, result: RequestOutcome) -> Result<EndpointResponse, ErrorResponse> {
        let (verdict, cause, retry_at) = match result {
            RequestOutcome::Answer(attempt) => {
                let no_response = ErrorResponse::refused(
                    Verdict::MayHaveRun,
                    kernel::Cause::EndpointFailed,
                    Duration::ZERO,
                );
                return self.responses.remove(&attempt).ok_or(no_response);
            }
            RequestOutcome::NoAnswer {
                verdict,
                cause,
                retry_at,
            } => (verdict, cause, retry_at),
        };
        match self.last_refusal {
            Some(Refusal::IdReused) if verdict == Verdict::NotRun => {
                Err(ErrorResponse::id_reused())
            }
            Some(Refusal::Invalid) if verdict == Verdict::NotRun => {
                Err(ErrorResponse::not_forwardable())
            }
            _ => {
                let now = self.callers.setup.clock.now();
                let after = caller_http::retry_after(now, retry_at);
                Err(ErrorResponse::refused(verdict, cause, after))
            }
        }
    }
}
