//! A request in flight with its attempts.

use kernel::{AvailabilityZoneName, Incarnation, Time, VmName};

use crate::request::{AttemptNumber, Recording, Request};

/// The reason for an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Purpose {
    /// It is the first attempt.
    First,
    /// An earlier attempt failed or was declined.
    Retry,
    /// An earlier attempt is slow.
    Hedge,
    /// The endpoint's agent may hold the request's record.
    Probe,
}

/// One attempt of a request.
#[derive(Clone, Debug)]
pub(crate) struct AttemptState {
    pub(crate) vm: VmName,
    pub(crate) incarnation: Incarnation,
    pub(crate) zone: AvailabilityZoneName,
    pub(crate) purpose: Purpose,
    pub(crate) sent_at: Time,
    pub(crate) is_open: bool,
    pub(crate) may_have_run: bool,
    /// The agent holds no record of the request and will not run it from now on.
    pub(crate) is_fenced: bool,
    /// The agent declined the attempt because it is leaving or its zone is out.
    pub(crate) is_declined: bool,
}

/// A request in flight with its attempts.
#[derive(Clone, Debug)]
pub(crate) struct Pending {
    pub(crate) request: Request,
    pub(crate) arrived_at: Time,
    pub(crate) attempts: Vec<AttemptState>,
    /// When to send a hedge; `None` if none is planned.
    pub(crate) hedge_at: Option<Time>,
}

impl Pending {
    pub(crate) const fn new(request: Request, arrived_at: Time) -> Self {
        Self {
            request,
            arrived_at,
            attempts: Vec::new(),
            hedge_at: None,
        }
    }

    /// Whether the request must run at most once, so that agents have to recognise repeats.
    pub(crate) const fn is_at_most_once(&self) -> bool {
        !self.request.idempotent && self.request.id.is_some()
    }

    pub(crate) const fn recording(&self, purpose: Purpose) -> Recording {
        match purpose {
            Purpose::Probe => Recording::Probe,
            _ if self.is_at_most_once() => Recording::Run,
            _ => Recording::Off,
        }
    }

    /// Marks the attempt as ended and returns it, or `None` if it had ended before.
    pub(crate) fn end_attempt(&mut self, attempt: AttemptNumber) -> Option<&mut AttemptState> {
        let index = usize::try_from(attempt.0).ok()?.checked_sub(1)?;
        let ended = self.attempts.get_mut(index)?;
        if !ended.is_open {
            return None;
        }
        ended.is_open = false;
        Some(ended)
    }

    pub(crate) fn has_open_attempt(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.is_open)
    }

    pub(crate) fn open_attempts(&self) -> impl Iterator<Item = &AttemptState> {
        self.attempts.iter().filter(|attempt| attempt.is_open)
    }

    /// Whether an endpoint may have run the request, an open attempt included.
    pub(crate) fn may_have_run(&self) -> bool {
        self.attempts
            .iter()
            .any(|attempt| attempt.is_open || attempt.may_have_run)
    }

    /// Whether this incarnation of the agent on `vm` has reported that it will not run the request.
    pub(crate) fn is_fenced_at(&self, vm: &VmName, incarnation: Incarnation) -> bool {
        self.attempts
            .iter()
            .any(|probe| probe.is_fenced && probe.vm == *vm && probe.incarnation == incarnation)
    }

    /// Returns the number of attempts that count against the limit per request: all but
    /// probes and declined attempts.
    pub(crate) fn run_attempts(&self) -> usize {
        let counted = self
            .attempts
            .iter()
            .filter(|attempt| attempt.purpose != Purpose::Probe && !attempt.is_declined);
        counted.count()
    }

    /// Returns how many attempts were declined by agents that take no new work.
    pub(crate) fn declined_count(&self) -> usize {
        self.attempts
            .iter()
            .filter(|attempt| attempt.is_declined)
            .count()
    }

    pub(crate) fn tried_vms(&self) -> Vec<VmName> {
        self.attempts
            .iter()
            .map(|attempt| attempt.vm.clone())
            .collect()
    }

    /// Returns when the router must handle the request again: to hedge or to end it.
    pub(crate) fn wake_at(&self) -> Time {
        match self.hedge_at {
            Some(hedge_at) => hedge_at.min(self.request.deadline),
            None => self.request.deadline,
        }
    }
}
