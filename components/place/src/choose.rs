//! Choice of the worker for a task.

use kernel::{Resources, Time};
use rand::Rng;

use crate::{
    decision::{Decision, PlacementRequest, UnplacedReason},
    fleet::Fleet,
    interference_table::JobInterference,
    plugin::Candidate,
    worker::Worker,
};

/// The most workers scored for one task; if more can take it, only a sample of
/// them is scored.
pub const MAX_SCORED_WORKERS: usize = 48;

impl Fleet {
    /// Decides which worker an attempt is bound to.
    ///
    /// The call reserves nothing. If it returns an eviction, the freed capacity
    /// is kept for the task until the task is reserved or
    /// [`crate::claims::CLAIM_TIMEOUT`] has passed.
    pub fn place(&mut self, now: Time, request: &PlacementRequest, rng: &mut impl Rng) -> Decision {
        self.expire_claims(now);
        if let Some(decision) = self.place_claimed(request) {
            return decision;
        }
        let rejection = match self.choose(request, rng) {
            Ok(index) => return Decision::Bind(self.slots[index].worker.vm.clone()),
            Err(rejection) => rejection,
        };
        if self.is_too_large(now, request.need) {
            return Decision::Reject(UnplacedReason::TooLarge);
        }
        if let Some((vm, victims)) = self.start_eviction(now, request) {
            return Decision::Evict { vm, victims };
        }
        Decision::Wait(self.wait_reason(request, rejection))
    }

    /// Returns the slot index of the cheapest worker in a sample of those that
    /// can take the task. If there is none, returns the last rejection by a
    /// filter, or `None` if no worker has enough capacity.
    ///
    /// The sample is the first [`MAX_SCORED_WORKERS`] workers that can take the
    /// task, starting at a random slot, so a single suitable worker is always
    /// found.
    fn choose(
        &self,
        request: &PlacementRequest,
        rng: &mut impl Rng,
    ) -> Result<usize, Option<UnplacedReason>> {
        let count = self.available.len();
        if count == 0 {
            return Err(None);
        }
        let start = rng.random_range(0..count);
        let mut interference = self.interference.for_job(&request.run.task.job);
        let mut best: Option<(f64, usize)> = None;
        let mut rejection = None;
        let mut scored = 0;
        for index in (start..count).chain(0..start) {
            let Some(available) = self.available[index] else {
                continue;
            };
            if !request.need.fits(available) {
                continue;
            }
            let remaining = available.minus(request.need);
            if let Some(reason) = self.rejection(&self.slots[index].worker, remaining, request) {
                rejection = Some(reason);
                continue;
            }
            let candidate = self.candidate(index, request, remaining, &mut interference);
            let cost = self.cost(&candidate, request);
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, index));
            }
            scored += 1;
            if scored == MAX_SCORED_WORKERS {
                break;
            }
        }
        best.map(|(_, index)| index).ok_or(rejection)
    }

    fn candidate<'a>(
        &'a self,
        index: usize,
        request: &PlacementRequest,
        remaining: Resources,
        interference: &mut JobInterference<'a>,
    ) -> Candidate<'a> {
        let slot = &self.slots[index];
        let fractions = self.spread.fractions(&request.run.task.job, &slot.worker);
        Candidate {
            worker: &slot.worker,
            remaining,
            zone_fraction: fractions.zone_fraction,
            rack_fraction: fractions.rack_fraction,
            interference: interference.increase(&slot.worker, &slot.interference, request.need),
        }
    }

    pub(crate) fn rejection(
        &self,
        worker: &Worker,
        remaining: Resources,
        request: &PlacementRequest,
    ) -> Option<UnplacedReason> {
        self.filters
            .iter()
            .find_map(|filter| (filter.reject)(worker, remaining, request))
    }

    fn cost(&self, candidate: &Candidate<'_>, request: &PlacementRequest) -> f64 {
        let costs = self.scores.iter();
        costs
            .map(|score| score.weight * (score.cost)(candidate, request))
            .sum()
    }

    fn wait_reason(
        &self,
        request: &PlacementRequest,
        rejection: Option<UnplacedReason>,
    ) -> UnplacedReason {
        if !self.available.iter().any(Option::is_some) {
            return UnplacedReason::NoWorker;
        }
        if !self.can_ever_fit(request.need) {
            return UnplacedReason::TooLarge;
        }
        rejection.unwrap_or(UnplacedReason::NoCapacity)
    }
}
