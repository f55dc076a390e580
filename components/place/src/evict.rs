//! Choice of the batch tasks to evict for another task.

use kernel::{Resources, TaskRun, Time, VmName};

use crate::{
    claims::{CLAIM_TIMEOUT, Claim},
    decision::{Decision, PlacementRequest, UnplacedReason},
    fleet::Fleet,
    worker::{Reservation, Slot},
};

/// Victims on one worker. Plans with fewer victims and then with less lost work
/// are better.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct EvictionPlan {
    count: usize,
    lost_work: u64,
    index: usize,
    victims: Vec<TaskRun>,
}

impl Fleet {
    /// Selects victims for a task that may evict others, and claims the
    /// capacity that they free.
    pub(crate) fn start_eviction(
        &mut self,
        now: Time,
        request: &PlacementRequest,
    ) -> Option<(VmName, Vec<TaskRun>)> {
        if !request.is_high_priority() && request.payers.is_empty() {
            return None;
        }
        let plan = self.cheapest_plan(now, request)?;
        let vm = self.slots[plan.index].worker.vm.clone();
        let claim = Claim {
            vm: vm.clone(),
            team: request.team.clone(),
            need: request.need,
            victims: plan.victims.clone(),
            until: now + CLAIM_TIMEOUT,
        };
        self.add_claim(request.run.task.clone(), claim);
        Some((vm, plan.victims))
    }

    /// Decides on a task that has a claim. Returns `None` if the task has none
    /// or the filters now reject its worker.
    pub(crate) fn place_claimed(&mut self, request: &PlacementRequest) -> Option<Decision> {
        let claim = self.claims.get(&request.run.task)?;
        let slot = self.slot(&claim.vm)?;
        if self.is_rejected_if_emptied(slot, request) {
            self.drop_claim(&request.run.task);
            return None;
        }
        if slot.can_fulfil_claim(request.need) {
            return Some(Decision::Bind(claim.vm.clone()));
        }
        Some(Decision::Wait(UnplacedReason::Evicting))
    }

    pub(crate) fn expire_claims(&mut self, now: Time) {
        for task in self.claims.expired(now) {
            self.drop_claim(&task);
        }
    }

    fn cheapest_plan(&self, now: Time, request: &PlacementRequest) -> Option<EvictionPlan> {
        self.cheapest_single(now, request)
            .or_else(|| self.cheapest_several(now, request))
    }

    /// Returns the attempt with the least lost work that frees enough capacity
    /// by itself.
    fn cheapest_single(&self, now: Time, request: &PlacementRequest) -> Option<EvictionPlan> {
        let mut best: Option<(u64, &TaskRun, usize)> = None;
        for (index, slot) in self.slots.iter().enumerate() {
            let available = slot.available();
            if !request.need.fits(slot.worker.capacity)
                || self.is_rejected_if_emptied(slot, request)
            {
                continue;
            }
            for (run, reservation) in &slot.reservations {
                if !request.need.fits(available.plus(reservation.reserved))
                    || !self.may_evict(run, reservation, request)
                {
                    continue;
                }
                let lost_work = reservation.lost_work_at(now);
                if best.is_none_or(|(least, least_run, _)| (lost_work, run) < (least, least_run)) {
                    best = Some((lost_work, run, index));
                }
            }
        }
        best.map(|(lost_work, run, index)| EvictionPlan {
            count: 1,
            lost_work,
            index,
            victims: vec![run.clone()],
        })
    }

    fn cheapest_several(&self, now: Time, request: &PlacementRequest) -> Option<EvictionPlan> {
        let mut best: Option<EvictionPlan> = None;
        for (index, slot) in self.slots.iter().enumerate() {
            if !request.need.fits(slot.worker.capacity)
                || self.is_rejected_if_emptied(slot, request)
            {
                continue;
            }
            let Some(plan) = self.plan_on(now, index, slot, request) else {
                continue;
            };
            if best.as_ref().is_none_or(|least| plan < *least) {
                best = Some(plan);
            }
        }
        best
    }

    fn plan_on(
        &self,
        now: Time,
        index: usize,
        slot: &Slot,
        request: &PlacementRequest,
    ) -> Option<EvictionPlan> {
        let mut candidates: Victims<'_> = slot
            .reservations
            .iter()
            .filter(|(run, reservation)| self.may_evict(run, reservation, request))
            .collect();
        candidates.sort_by_key(|(run, reservation)| (reservation.lost_work_at(now), *run));
        let victims = select_victims(candidates, slot.available(), request.need)?;
        Some(EvictionPlan {
            count: victims.len(),
            lost_work: victims
                .iter()
                .map(|(_, reservation)| reservation.lost_work_at(now))
                .sum(),
            index,
            victims: victims.iter().map(|(run, _)| (*run).clone()).collect(),
        })
    }

    /// Whether the filters reject the worker for the task even if all tasks on
    /// the worker had stopped.
    fn is_rejected_if_emptied(&self, slot: &Slot, request: &PlacementRequest) -> bool {
        let remaining = slot.worker.capacity.minus(request.need);
        self.rejection(&slot.worker, remaining, request).is_some()
    }

    fn may_evict(
        &self,
        run: &TaskRun,
        reservation: &Reservation,
        request: &PlacementRequest,
    ) -> bool {
        reservation.is_evictable()
            && (request.is_high_priority() || request.payers.contains(&reservation.team))
            && !self.claims.is_victim(run)
    }
}

type Victims<'a> = Vec<(&'a TaskRun, &'a Reservation)>;

/// Selects victims that together free enough capacity, none of them needlessly:
/// first those that cover most of the missing capacity, of equal ones the
/// cheaper. Then it drops victims that are not needed after all.
fn select_victims(
    mut by_size: Victims<'_>,
    available: Resources,
    need: Resources,
) -> Option<Victims<'_>> {
    let missing = need.minus(available);
    by_size.sort_by(|(_, left), (_, right)| {
        let size = |reservation: &Reservation| coverage(reservation.reserved, missing);
        size(right).total_cmp(&size(left))
    });
    let mut sum = available;
    let mut victims = Vec::new();
    for victim in by_size {
        if need.fits(sum) {
            break;
        }
        sum = sum.plus(victim.1.reserved);
        victims.push(victim);
    }
    if !need.fits(sum) {
        return None;
    }
    remove_unneeded(&mut victims, sum, need);
    Some(victims)
}

fn remove_unneeded(victims: &mut Victims<'_>, mut sum: Resources, need: Resources) {
    for index in (0..victims.len()).rev() {
        let remaining_sum = sum.minus(victims[index].1.reserved);
        if need.fits(remaining_sum) {
            sum = remaining_sum;
            victims.remove(index);
        }
    }
}

/// Returns how much of the missing capacity a victim covers, at most 1 in each
/// dimension.
fn coverage(reserved: Resources, missing: Resources) -> f64 {
    let part = |given: u64, missing: u64| match missing {
        0 => 0.0,
        missing => given.min(missing) as f64 / missing as f64,
    };
    part(reserved.cpu_milli, missing.cpu_milli)
        + part(reserved.memory_mib, missing.memory_mib)
        + part(
            u64::from(reserved.accelerators),
            u64::from(missing.accelerators),
        )
}
