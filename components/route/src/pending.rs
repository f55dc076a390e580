//! A request under way.

use kernel::{AvailabilityZoneName, Incarnation, Time, VmName};

use crate::request::{AttemptNumber, Recording, Request};

/// Why an attempt is made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Purpose {
    /// It is the first one.
    First,
    /// An earlier one failed.
    Retry,
    /// An earlier one is slow.
    Hedge,
    /// The endpoint may hold the request's record.
    Probe,
}

/// One attempt.
#[derive(Clone, Debug)]
pub(crate) struct Try {
    pub(crate) vm: VmName,
    pub(crate) incarnation: Incarnation,
    pub(crate) zone: AvailabilityZoneName,
    pub(crate) purpose: Purpose,
    pub(crate) sent_at: Time,
    pub(crate) is_open: bool,
    pub(crate) may_have_run: bool,
    /// The agent will not run it any more.
    pub(crate) is_fenced: bool,
    /// The agent turned it away because it is leaving or out.
    pub(crate) is_turned_away: bool,
}

/// A request under way with its attempts.
#[derive(Clone, Debug)]
pub(crate) struct Pending {
    pub(crate) request: Request,
    pub(crate) arrived: Time,
    pub(crate) tries: Vec<Try>,
    pub(crate) hedge_at: Option<Time>,
}

impl Pending {
    pub(crate) const fn new(request: Request, arrived: Time) -> Self {
        Self {
            request,
            arrived,
            tries: Vec::new(),
            hedge_at: None,
        }
    }

    /// Whether a repeat of it must be recognised.
    pub(crate) const fn is_recorded(&self) -> bool {
        !self.request.idempotent && self.request.id.is_some()
    }

    pub(crate) const fn recording(&self, purpose: Purpose) -> Recording {
        match purpose {
            Purpose::Probe => Recording::Probe,
            _ if self.is_recorded() => Recording::Run,
            _ => Recording::Off,
        }
    }

    /// Ends the attempt and returns it, unless it had ended before.
    pub(crate) fn close(&mut self, attempt: AttemptNumber) -> Option<&mut Try> {
        let index = usize::try_from(attempt.0).ok()?.checked_sub(1)?;
        let ended = self.tries.get_mut(index)?;
        if !ended.is_open {
            return None;
        }
        ended.is_open = false;
        Some(ended)
    }

    pub(crate) fn has_open(&self) -> bool {
        self.tries.iter().any(|attempt| attempt.is_open)
    }

    pub(crate) fn open_tries(&self) -> impl Iterator<Item = &Try> {
        self.tries.iter().filter(|attempt| attempt.is_open)
    }

    /// Whether an endpoint may have run it, as far as is known now.
    pub(crate) fn may_have_run(&self) -> bool {
        self.tries
            .iter()
            .any(|attempt| attempt.is_open || attempt.may_have_run)
    }

    /// Whether this life of the agent on `vm` was probed and found nothing.
    pub(crate) fn is_fenced_at(&self, vm: &VmName, incarnation: Incarnation) -> bool {
        self.tries
            .iter()
            .any(|probe| probe.is_fenced && probe.vm == *vm && probe.incarnation == incarnation)
    }

    /// Attempts that count against the most for one request, which leaves out
    /// probes and those that were turned away.
    pub(crate) fn runs(&self) -> usize {
        let runs = self
            .tries
            .iter()
            .filter(|attempt| attempt.purpose != Purpose::Probe && !attempt.is_turned_away);
        runs.count()
    }

    /// How often agents that are leaving or out turned it away.
    pub(crate) fn times_turned_away(&self) -> usize {
        self.tries
            .iter()
            .filter(|attempt| attempt.is_turned_away)
            .count()
    }

    pub(crate) fn tried(&self) -> Vec<VmName> {
        self.tries
            .iter()
            .map(|attempt| attempt.vm.clone())
            .collect()
    }

    /// When the router has to look at it again.
    pub(crate) fn wake_at(&self) -> Time {
        match self.hedge_at {
            Some(hedge_at) => hedge_at.min(self.request.deadline),
            None => self.request.deadline,
        }
    }
}
