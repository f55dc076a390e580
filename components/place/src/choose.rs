//! Where a task goes: the choice among the workers with room.

use kernel::{Resources, Time};
use rand::Rng;

use crate::{
    decision::{Decision, PlacementRequest, UnplacedReason},
    fleet::Fleet,
    interference_table::JobHarms,
    plugin::Candidate,
    worker::Worker,
};

/// How many workers with room are scored for one task; more are sampled.
pub const MAX_SCORED_WORKERS: usize = 48;

impl Fleet {
    /// Decides where an attempt goes.
    ///
    /// Nothing is reserved by it, but room made by eviction is kept for the
    /// task until it is reserved or [`crate::claims::CLAIM_TIMEOUT`] has passed.
    pub fn place(&mut self, now: Time, want: &PlacementRequest, rng: &mut impl Rng) -> Decision {
        self.expire_claims(now);
        if let Some(decision) = self.place_claimed(want) {
            return decision;
        }
        let refused = match self.choose(want, rng) {
            Ok(number) => return Decision::Bind(self.slots[number].worker.vm.clone()),
            Err(refused) => refused,
        };
        if self.is_too_large(now, want.need) {
            return Decision::Reject(UnplacedReason::TooLarge);
        }
        if let Some((vm, victims)) = self.make_room(now, want) {
            return Decision::Evict { vm, victims };
        }
        Decision::Wait(self.why_waiting(want, refused))
    }

    /// The cheapest worker with room among a sample, or why those were refused.
    ///
    /// The sample is of the first [`MAX_SCORED_WORKERS`] workers that admit the task,
    /// from a random one on, so that it never misses the last that does.
    fn choose(
        &self,
        want: &PlacementRequest,
        rng: &mut impl Rng,
    ) -> Result<usize, Option<UnplacedReason>> {
        let count = self.rooms.len();
        if count == 0 {
            return Err(None);
        }
        let start = rng.random_range(0..count);
        let mut harms = self.harms.for_job(&want.run.task.job);
        let mut best: Option<(f64, usize)> = None;
        let mut refused = None;
        let mut scored = 0;
        for number in (start..count).chain(0..start) {
            let Some(room) = self.rooms[number] else {
                continue;
            };
            if !want.need.fits(room) {
                continue;
            }
            let remaining = room.minus(want.need);
            if let Some(why) = self.refusal(&self.slots[number].worker, remaining, want) {
                refused = Some(why);
                continue;
            }
            let candidate = self.candidate(number, want, remaining, &mut harms);
            let cost = self.cost(&candidate, want);
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, number));
            }
            scored += 1;
            if scored == MAX_SCORED_WORKERS {
                break;
            }
        }
        best.map(|(_, number)| number).ok_or(refused)
    }

    fn candidate<'a>(
        &'a self,
        number: usize,
        want: &PlacementRequest,
        remaining: Resources,
        harms: &mut JobHarms<'a>,
    ) -> Candidate<'a> {
        let slot = &self.slots[number];
        let parts = self.spread.parts(&want.run.task.job, &slot.worker);
        Candidate {
            worker: &slot.worker,
            remaining,
            zone_fraction: parts.zone_fraction,
            rack_fraction: parts.rack_fraction,
            interference: harms.added(&slot.worker, &slot.pressure, want.need),
        }
    }

    pub(crate) fn refusal(
        &self,
        worker: &Worker,
        remaining: Resources,
        want: &PlacementRequest,
    ) -> Option<UnplacedReason> {
        self.filters
            .iter()
            .find_map(|filter| (filter.reject)(worker, remaining, want))
    }

    fn cost(&self, candidate: &Candidate<'_>, want: &PlacementRequest) -> f64 {
        let costs = self.scores.iter();
        costs
            .map(|score| score.weight * (score.cost)(candidate, want))
            .sum()
    }

    fn why_waiting(
        &self,
        want: &PlacementRequest,
        refused: Option<UnplacedReason>,
    ) -> UnplacedReason {
        if !self.rooms.iter().any(Option::is_some) {
            return UnplacedReason::NoWorker;
        }
        if !self.can_ever_fit(want.need) {
            return UnplacedReason::TooLarge;
        }
        refused.unwrap_or(UnplacedReason::NoCapacity)
    }
}
