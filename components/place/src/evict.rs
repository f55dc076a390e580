//! Whose work is stopped to make room.

use kernel::{Resources, TaskRun, Time, VmName};

use crate::{
    claims::{CLAIM_TIMEOUT, Claim},
    decision::{Decision, PlacementRequest, UnplacedReason},
    fleet::Fleet,
    worker::{Reservation, Slot},
};

/// Victims on one worker; fewer and then cheaper ones are better.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Plan {
    count: usize,
    lost_work: u64,
    number: usize,
    victims: Vec<TaskRun>,
}

impl Fleet {
    /// Finds victims for a task that may have some, and keeps their room for it.
    pub(crate) fn make_room(
        &mut self,
        now: Time,
        want: &PlacementRequest,
    ) -> Option<(VmName, Vec<TaskRun>)> {
        if !want.is_high_priority() && want.payers.is_empty() {
            return None;
        }
        let plan = self.cheapest_plan(now, want)?;
        let vm = self.slots[plan.number].worker.vm.clone();
        let claim = Claim {
            vm: vm.clone(),
            team: want.team.clone(),
            need: want.need,
            victims: plan.victims.clone(),
            until: now + CLAIM_TIMEOUT,
        };
        self.add_claim(want.run.task.clone(), claim);
        Some((vm, plan.victims))
    }

    /// What to do with a task for which room is being made.
    pub(crate) fn place_claimed(&mut self, want: &PlacementRequest) -> Option<Decision> {
        let claim = self.claims.get(&want.run.task)?;
        let slot = self.slot(&claim.vm)?;
        if self.refuses_emptied(slot, want) {
            self.drop_claim(&want.run.task);
            return None;
        }
        if slot.has_claimed_room(want.need) {
            return Some(Decision::Bind(claim.vm.clone()));
        }
        Some(Decision::Wait(UnplacedReason::Evicting))
    }

    pub(crate) fn expire_claims(&mut self, now: Time) {
        for task in self.claims.expired(now) {
            self.drop_claim(&task);
        }
    }

    fn cheapest_plan(&self, now: Time, want: &PlacementRequest) -> Option<Plan> {
        self.cheapest_single(now, want)
            .or_else(|| self.cheapest_several(now, want))
    }

    /// The cheapest attempt that makes enough room by itself.
    fn cheapest_single(&self, now: Time, want: &PlacementRequest) -> Option<Plan> {
        let mut best: Option<(u64, &TaskRun, usize)> = None;
        for (number, slot) in self.slots.iter().enumerate() {
            let room = slot.room();
            if !want.need.fits(slot.worker.capacity) || self.refuses_emptied(slot, want) {
                continue;
            }
            for (run, holding) in &slot.held {
                if !want.need.fits(room.plus(holding.reserved)) || !self.may_pay(run, holding, want)
                {
                    continue;
                }
                let lost_work = holding.work_at(now);
                if best.is_none_or(|(least, other, _)| (lost_work, run) < (least, other)) {
                    best = Some((lost_work, run, number));
                }
            }
        }
        best.map(|(lost_work, run, number)| Plan {
            count: 1,
            lost_work,
            number,
            victims: vec![run.clone()],
        })
    }

    fn cheapest_several(&self, now: Time, want: &PlacementRequest) -> Option<Plan> {
        let mut best: Option<Plan> = None;
        for (number, slot) in self.slots.iter().enumerate() {
            if !want.need.fits(slot.worker.capacity) || self.refuses_emptied(slot, want) {
                continue;
            }
            let Some(plan) = self.several_on(now, number, slot, want) else {
                continue;
            };
            if best.as_ref().is_none_or(|least| plan < *least) {
                best = Some(plan);
            }
        }
        best
    }

    fn several_on(
        &self,
        now: Time,
        number: usize,
        slot: &Slot,
        want: &PlacementRequest,
    ) -> Option<Plan> {
        let mut candidates: Victims<'_> = slot
            .held
            .iter()
            .filter(|(run, holding)| self.may_pay(run, holding, want))
            .collect();
        candidates.sort_by_key(|(run, holding)| (holding.work_at(now), *run));
        let victims = several_victims(candidates, slot.room(), want.need)?;
        Some(Plan {
            count: victims.len(),
            lost_work: victims.iter().map(|(_, held)| held.work_at(now)).sum(),
            number,
            victims: victims.iter().map(|(run, _)| (*run).clone()).collect(),
        })
    }

    /// Whether the filters keep the task away from a worker even if all that may
    /// leave had left.
    fn refuses_emptied(&self, slot: &Slot, want: &PlacementRequest) -> bool {
        let left = slot.worker.capacity.minus(want.need);
        self.refusal(&slot.worker, left, want).is_some()
    }

    fn may_pay(&self, run: &TaskRun, holding: &Reservation, want: &PlacementRequest) -> bool {
        holding.is_evictable()
            && (want.is_high_priority() || want.payers.contains(&holding.team))
            && !self.claims.is_victim(run)
    }
}

type Victims<'a> = Vec<(&'a TaskRun, &'a Reservation)>;

/// Victims that make enough room together, none of them for nothing: the
/// largest contributions to what is missing first, of equal ones the cheaper,
/// then those that turn out not to be needed are let off.
fn several_victims(
    mut by_size: Victims<'_>,
    room: Resources,
    need: Resources,
) -> Option<Victims<'_>> {
    let missing = need.minus(room);
    by_size.sort_by(|(_, one), (_, other)| {
        let size = |holding: &Reservation| relief(holding.reserved, missing);
        size(other).total_cmp(&size(one))
    });
    let mut sum = room;
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
    spare_unneeded(&mut victims, sum, need);
    Some(victims)
}

fn spare_unneeded(victims: &mut Victims<'_>, mut sum: Resources, need: Resources) {
    for number in (0..victims.len()).rev() {
        let without = sum.minus(victims[number].1.reserved);
        if need.fits(without) {
            sum = without;
            victims.remove(number);
        }
    }
}

/// How much of what is missing a victim gives, at most 1 in each dimension.
fn relief(reserved: Resources, missing: Resources) -> f64 {
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
