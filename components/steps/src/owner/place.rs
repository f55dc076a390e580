//! Choice of a worker for a task.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use kernel::{Resources, ServiceName, Time, VmName};
use place::OrderedIndex;

use super::{
    Owner,
    entry::HeldBackBy,
    trials::TrialRoom,
    uneven::{COLD_SLOWDOWN, FLAPPING_COST},
    vm::{Vm, VmStatus},
};
use crate::{Step, interference::Weights, locality::Rack, message::RunKey};

/// Cost of running far from the data, relative to a full worker at 1.
const REMOTE_DATA_COST: f64 = 2.0;
/// Cost of a best-effort task where it would make no progress, relative to 1 where it
/// takes all of the scarcest resource.
const SLOWDOWN_COST: f64 = 4.0;
/// A best-effort task waits for a better worker below this fraction of full speed. Its
/// job is on time at twice its shortest duration, and part of that time is spent
/// waiting.
pub(super) const MIN_BEST_EFFORT_SPEED: f64 = 0.8;
/// Cost of a worker on which tasks take twice as long as elsewhere.
const SLOW_WORKER_COST: f64 = 1.5;

/// Cost of a serving task among serving tasks of other images only. Tasks of one image suffer
/// from the same best-effort images, so a worker with few images suits more best-effort tasks.
/// Less than what a cold worker costs, which runs everything slower.
const MIXED_IMAGES_COST: f64 = 1.4;

/// Time for which a worker is kept after the last pass in which the task did not fit.
const KEPT_FOR: Duration = Duration::from_secs(1);
/// The most workers that are scored for one task. The index names the most promising first;
/// `docs/PLACEMENT.md` weighs the number.
const MAX_SCORED_WORKERS: usize = 16;

/// Requirements of a task on its worker.
pub(super) struct PlacementRequest<'a> {
    pub(super) service: &'a ServiceName,
    pub(super) step: &'a Step,
    /// VMs to use only as a last resort, for example because the task failed there.
    pub(super) avoid: &'a BTreeSet<VmName>,
    /// Number of tasks of the step on each VM.
    pub(super) tasks_per_vm: &'a BTreeMap<VmName, u32>,
    /// Rack that all tasks of the step must share.
    pub(super) required_rack: Option<&'a str>,
    /// Whether a slow worker is better than none.
    pub(super) is_urgent: bool,
    /// Whether the task is long-running and has been down for too long.
    pub(super) is_overdue: bool,
    /// Whether a worker that tests other suspects, or is held for them, is better than none.
    pub(super) may_join_trials: bool,
    /// Whether and how the task starts on trial.
    pub(super) trial: Trial<'a>,
}

/// Whether a task may start only where its worker would crash for no other reason.
#[derive(Clone, Copy, Debug)]
pub(super) enum Trial<'a> {
    /// The task is not suspect.
    No,
    /// The task is suspect, and may be tested with others up to this number.
    Group(usize, &'a TrialRoom),
    /// The task is a member of a suspect gang, with this run.
    WithGang(&'a RunKey),
}

impl PlacementRequest<'_> {
    /// Whether the VM has as many tasks of the step as it may have.
    fn is_at_limit(&self, name: &VmName) -> bool {
        let count = self.tasks_per_vm.get(name).copied().unwrap_or_default();
        self.step.per_worker.is_some_and(|limit| count >= limit)
    }
}

/// Requests that no worker could take in this scheduling pass. Capacity only shrinks
/// during a pass, so the workers need not be examined again for a request that needs at
/// least as much.
#[derive(Debug, Default)]
pub(super) struct FailedPlacements(Vec<FailedPlacement>);

#[derive(Debug)]
struct FailedPlacement {
    service: ServiceName,
    label: Option<Arc<str>>,
    reserved: Resources,
    is_urgent: bool,
    is_overdue: bool,
    may_join_trials: bool,
    best_effort: Option<BestEffortNeed>,
    held_back_by: HeldBackBy,
}

/// The needs of a best-effort task, which may wait for a worker that is fast enough.
#[derive(Debug)]
struct BestEffortNeed {
    image: Option<Arc<str>>,
    cpu_milli: u64,
    estimate_millis: u64,
}

impl FailedPlacements {
    pub(super) fn record(&mut self, request: &PlacementRequest<'_>, held_back_by: HeldBackBy) {
        let step = request.step;
        // Another request may not have these restrictions.
        if step.per_worker.is_some() || request.required_rack.is_some() {
            return;
        }
        self.0.push(FailedPlacement {
            service: request.service.clone(),
            label: step.label.clone(),
            reserved: step.reserved(),
            is_urgent: request.is_urgent,
            is_overdue: request.is_overdue,
            may_join_trials: request.may_join_trials,
            best_effort: step.best_effort.then(|| BestEffortNeed {
                image: step.image.clone(),
                cpu_milli: step.need.cpu_milli,
                estimate_millis: step.estimate_millis,
            }),
            held_back_by,
        });
    }

    /// Why a request that needs at most as much as this one has failed; `None` if there was
    /// none.
    pub(super) fn cover(&self, request: &PlacementRequest<'_>) -> Option<HeldBackBy> {
        let covering = self.0.iter().find(|failed| failed.covers(request));
        covering.map(|failed| failed.held_back_by)
    }
}

impl FailedPlacement {
    fn covers(&self, request: &PlacementRequest<'_>) -> bool {
        let step = request.step;
        if self.service != *request.service || !self.reserved.fits(step.reserved()) {
            return false;
        }
        if self.label.is_some() && self.label != step.label {
            return false;
        }
        // An urgent task may use workers that are a last resort.
        if request.is_urgent && !self.is_urgent {
            return false;
        }
        // A worker may be kept for overdue tasks.
        if request.is_overdue && !self.is_overdue {
            return false;
        }
        if request.may_join_trials && !self.may_join_trials {
            return false;
        }
        let Some(failed) = &self.best_effort else {
            return true;
        };
        step.best_effort
            && failed.image == step.image
            && failed.cpu_milli <= step.need.cpu_milli
            && failed.estimate_millis <= step.estimate_millis
    }
}

/// Racks in which no worker could take a request in this scheduling pass.
#[derive(Debug, Default)]
pub(super) struct FullRacks(BTreeMap<Arc<str>, FailedPlacements>);

impl FullRacks {
    pub(super) fn record(&mut self, request: &PlacementRequest<'_>, rack: &Arc<str>) {
        // Another request may not have to avoid these workers.
        if request.avoid.is_empty() {
            let failed = self.0.entry(Arc::clone(rack)).or_default();
            failed.record(request, HeldBackBy::NearPlace);
        }
    }

    /// Whether no worker in the rack of the data has room for the request.
    pub(super) fn cover(&self, request: &PlacementRequest<'_>) -> bool {
        let rack = request.step.data_rack.as_ref();
        let failed = rack.and_then(|rack| self.0.get(rack));
        failed.is_some_and(|failed| failed.cover(request).is_some())
    }
}

/// Workers among which a task may have to choose: those of a service, in one rack if
/// one is named.
type Group = (ServiceName, Option<Arc<str>>);

/// Workers that take tasks, in the order of what is free on them. Entries are updated
/// when a VM changes, so that a choice examines a few workers, however many there are.
#[derive(Debug, Default)]
pub(super) struct WorkerIndex {
    /// By CPU capacity without a reservation, in thousandths of a core.
    by_free_cpu: OrderedIndex<Group, VmName>,
    /// By the largest best-effort task that would run fast enough, in thousandths of a
    /// core.
    by_headroom: OrderedIndex<Group, VmName>,
}

impl WorkerIndex {
    fn update(&mut self, name: &VmName, vm: Option<&Vm>) {
        let ready = vm.filter(|vm| vm.status() == VmStatus::Ready);
        let Some((vm, info)) = ready.and_then(|vm| Some((vm, vm.info.as_ref()?))) else {
            self.by_free_cpu.remove(name);
            self.by_headroom.remove(name);
            return;
        };
        let rack = info.labels.get(RACK_LABEL_INDEX).cloned();
        let groups = [
            Some((info.service.clone(), None)),
            rack.map(|rack| (info.service.clone(), Some(rack))),
        ];
        let groups: Vec<Group> = groups.into_iter().flatten().collect();
        let free = i64::try_from(vm.available().cpu_milli).unwrap_or(i64::MAX);
        self.by_free_cpu.set(name, &groups, free);
        let headroom = vm.best_effort_headroom_milli(MIN_BEST_EFFORT_SPEED);
        self.by_headroom.set(name, &groups, headroom);
    }

    /// Workers that may take the task, the most promising first.
    fn candidates<'a>(
        &'a self,
        request: &PlacementRequest<'_>,
        group: &'a Group,
    ) -> Box<dyn Iterator<Item = &'a VmName> + 'a> {
        let step = request.step;
        let need = i64::try_from(step.need.cpu_milli).unwrap_or(i64::MAX);
        if step.best_effort {
            let least = if request.is_urgent { i64::MIN } else { need };
            return Box::new(self.by_headroom.most_first(group, least));
        }
        match step.target_millis {
            // Packs serving tasks together to leave other workers to best-effort tasks.
            Some(_) => Box::new(self.by_free_cpu.least_first(group, need)),
            None => Box::new(self.by_free_cpu.most_first(group, need)),
        }
    }
}

/// Why a worker that could take a task is chosen only if there is no other, best first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum LastResort {
    /// The worker is cold and has got as many tasks as it may at present.
    WarmingUp,
    /// The task is to avoid the worker.
    Avoided,
    /// The worker is kept for an overdue long-running task.
    Kept,
    /// The worker is held for a trial.
    Held,
    /// The worker tests suspects.
    OnTrial,
    /// The worker is quarantined.
    Quarantined,
}

impl LastResort {
    /// Whether the task may use the worker if there is no other.
    const fn allows(self, vm: &Vm, request: &PlacementRequest<'_>) -> bool {
        match self {
            Self::WarmingUp | Self::Avoided => true,
            Self::Kept => request.is_urgent,
            Self::Held | Self::OnTrial => request.may_join_trials,
            Self::Quarantined => request.is_urgent && vm.health.may_begin_trial(),
        }
    }
}

/// The workers that a search has found so far.
#[derive(Default)]
struct Found {
    /// Workers that can take the task and are not to be avoided, with their costs.
    scored: Vec<(f64, VmName)>,
    /// Best of the workers that are a last resort.
    fallback: Option<(LastResort, f64, VmName)>,
    /// Whether a worker was left out only because the task would be too slow there.
    is_too_slow: bool,
    /// Whether the search has stopped before the last worker.
    is_cut_off: bool,
}

impl Found {
    const fn held_back_by(&self) -> HeldBackBy {
        match self.is_too_slow {
            true => HeldBackBy::Speed,
            false => HeldBackBy::Capacity,
        }
    }
}

/// The workers found for one task of a step, from which the next ones choose as well. Only
/// the worker of the last start has changed since.
#[derive(Default)]
pub(super) struct Shortlist {
    found: Found,
    /// Whether the task was urgent and whether it was overdue, on which the costs depend.
    made_for: Option<(bool, bool)>,
    /// Place of the worker that was chosen last.
    last: Option<usize>,
}

impl Owner {
    /// Returns the cheapest VM with free capacity among the most promising ones, or why
    /// there is none. A VM to be avoided is chosen only if there is no other.
    pub(super) fn choose_vm(
        &mut self,
        now: Time,
        request: &PlacementRequest<'_>,
    ) -> Result<VmName, HeldBackBy> {
        let found = self.find_workers(now, request, 1);
        let is_trial = !matches!(request.trial, Trial::No);
        if found.scored.is_empty() && is_trial && self.has_other_worker(request) {
            return Err(HeldBackBy::Capacity);
        }
        let fallback = found.fallback.as_ref().map(|(reason, ..)| *reason);
        let is_other_left = match fallback.filter(|_| found.scored.is_empty()) {
            Some(LastResort::Quarantined) => self.has_sound_worker(request),
            Some(LastResort::WarmingUp) => !request.is_urgent && self.has_warm_worker(now, request),
            Some(LastResort::Kept) => self.has_unkept_worker(now, request),
            _ => false,
        };
        if is_other_left {
            return Err(HeldBackBy::Capacity);
        }
        let held_back_by = found.held_back_by();
        let best = cheapest(&found.scored).map(|index| found.scored[index].1.clone());
        best.or(found.fallback.map(|(_, _, name)| name))
            .ok_or(held_back_by)
    }

    /// Chooses a VM as [`Owner::choose_vm`] does for one of `wanted` tasks of a step, which
    /// start one after the other. Together they search the workers once.
    pub(super) fn choose_next_vm(
        &mut self,
        now: Time,
        request: &PlacementRequest<'_>,
        shortlist: &mut Shortlist,
        wanted: usize,
    ) -> Result<VmName, HeldBackBy> {
        if !request.avoid.is_empty() {
            *shortlist = Shortlist::default();
            return self.choose_vm(now, request);
        }
        let kind = Some((request.is_urgent, request.is_overdue));
        if shortlist.made_for == kind {
            self.score_again(now, request, shortlist);
        }
        let is_used_up = shortlist.found.scored.is_empty() && shortlist.found.is_cut_off;
        if shortlist.made_for != kind || is_used_up {
            *shortlist = Shortlist {
                found: self.find_workers(now, request, wanted),
                made_for: kind,
                last: None,
            };
        }
        let found = &shortlist.found;
        shortlist.last = cheapest(&found.scored);
        let name = shortlist.last.map(|index| found.scored[index].1.clone());
        if name.is_none() && found.fallback.is_some() {
            *shortlist = Shortlist::default();
            return self.choose_vm(now, request);
        }
        name.ok_or_else(|| found.held_back_by())
    }

    /// Scores the worker of the last start again.
    fn score_again(
        &mut self,
        now: Time,
        request: &PlacementRequest<'_>,
        shortlist: &mut Shortlist,
    ) {
        let Some(index) = shortlist.last.take() else {
            return;
        };
        let (_, name) = shortlist.found.scored.swap_remove(index);
        self.score(now, request, &name, &mut shortlist.found);
    }

    /// Returns the most promising workers that can take at least one of `wanted` tasks.
    fn find_workers(&mut self, now: Time, request: &PlacementRequest<'_>, wanted: usize) -> Found {
        self.refresh_index();
        let mut found = Found::default();
        let most = MAX_SCORED_WORKERS + wanted - 1;
        let required_rack = request.required_rack.map(Arc::from);
        if required_rack.is_none()
            && let Some(rack) = &request.step.data_rack
        {
            let group = (request.service.clone(), Some(Arc::clone(rack)));
            self.examine(now, request, &group, most, &mut found);
        }
        let group = (request.service.clone(), required_rack);
        let most = found.scored.len() + most;
        self.examine(now, request, &group, most, &mut found);
        found
    }

    fn refresh_index(&mut self) {
        for name in std::mem::take(&mut self.index_vms) {
            self.index.update(&name, self.vms.get(&name));
        }
    }

    /// Whether the VM is not in the rack of the step's data.
    pub(super) fn is_far(&self, name: &VmName, step: &Step) -> bool {
        let info = self.vms.get(name).and_then(|vm| vm.info.as_ref());
        info.is_some_and(|info| is_remote(&info.labels, step))
    }

    /// Whether a worker in the rack could take the task now.
    pub(super) fn has_room_in_rack(
        &mut self,
        now: Time,
        request: &PlacementRequest<'_>,
        rack: &Arc<str>,
    ) -> bool {
        self.refresh_index();
        let group = (request.service.clone(), Some(Arc::clone(rack)));
        let mut found = Found::default();
        self.examine(now, request, &group, 1, &mut found);
        !found.scored.is_empty()
    }

    /// Whether the rack has a worker that the task may use once there is room.
    pub(super) fn has_worker_in_rack(
        &mut self,
        (service, rack): &Rack,
        request: &PlacementRequest<'_>,
    ) -> bool {
        self.refresh_index();
        let group = (service.clone(), Some(Arc::clone(rack)));
        let names = self.index.by_free_cpu.most_first(&group, i64::MIN);
        let mut vms = names.filter_map(|name| self.vms.get(name));
        vms.any(|vm| {
            let capacity = vm.info.as_ref().map(|info| info.capacity);
            let may_fit = request.step.reserved().fits(capacity.unwrap_or_default());
            may_fit && suits(vm, request, &self.zones_out)
        })
    }

    /// Workers in the rack that the task may use once there is room.
    pub(super) fn workers_in_rack(
        &mut self,
        (service, rack): &Rack,
        request: &PlacementRequest<'_>,
    ) -> Vec<&Vm> {
        self.refresh_index();
        let group = (service.clone(), Some(Arc::clone(rack)));
        let names = self.index.by_free_cpu.most_first(&group, i64::MIN);
        let vms = names.filter_map(|name| self.vms.get(name));
        vms.filter(|vm| suits(vm, request, &self.zones_out))
            .collect()
    }

    /// Whether a worker that is not to be avoided could take the task later.
    fn has_other_worker(&self, request: &PlacementRequest<'_>) -> bool {
        let mut vms = self.vms.iter();
        vms.any(|(name, vm)| !request.avoid.contains(name) && suits(vm, request, &self.zones_out))
    }

    /// Examines the workers of a group until `most` have been found.
    fn examine(
        &mut self,
        now: Time,
        request: &PlacementRequest<'_>,
        group: &Group,
        most: usize,
        found: &mut Found,
    ) {
        let index = std::mem::take(&mut self.index);
        // Those in the rack of the data have been examined first.
        let first = found.scored.len();
        for name in index.candidates(request, group) {
            if found.scored.len() >= most {
                found.is_cut_off = true;
                break;
            }
            if found.scored[..first].iter().any(|(_, known)| known == name) {
                continue;
            }
            self.score(now, request, name, found);
        }
        self.index = index;
    }

    /// Examines a worker, and adds it to those found if it can take the task.
    fn score(
        &mut self,
        now: Time,
        request: &PlacementRequest<'_>,
        name: &VmName,
        found: &mut Found,
    ) {
        self.work.workers_examined += 1;
        let Some(vm) = self.vms.get_mut(name) else {
            return;
        };
        let reasons = last_resort_reasons(name, vm, now, request);
        let is_withheld = reasons.iter().any(|reason| !reason.allows(vm, request));
        let is_eligible = is_eligible(name, vm, now, request, &self.zones_out);
        if is_withheld || !is_eligible || request.is_at_limit(name) {
            self.work.workers_without_room += 1;
            return;
        }
        let Some(cost) = cost(vm, now, request, self.interference.weights()) else {
            self.work.workers_too_slow += 1;
            found.is_too_slow = true;
            return;
        };
        let Some(reason) = reasons.into_iter().max() else {
            found.scored.push((cost, name.clone()));
            return;
        };
        let is_better = |(known, least, _): &(LastResort, f64, VmName)| {
            reason < *known || (reason == *known && cost < *least)
        };
        if found.fallback.as_ref().is_none_or(is_better) {
            found.fallback = Some((reason, cost, name.clone()));
        }
    }

    /// Keeps one worker for the overdue long-running task, for which no worker has room, so that
    /// smaller tasks do not take what becomes free there.
    pub(super) fn keep_for_overdue(&mut self, now: Time, request: &PlacementRequest<'_>) {
        let mut best = None;
        for (name, vm) in &self.vms {
            let is_avoided = request.avoid.contains(name) || request.is_at_limit(name);
            if is_avoided || !suits(vm, request, &self.zones_out) {
                continue;
            }
            if vm.is_held(now) || vm.has_open_trial() || vm.health.is_suspect() {
                continue;
            }
            let room = vm.available().plus(self.passing_reservations(vm));
            if !request.step.reserved().fits(room) {
                continue;
            }
            let is_kept = !vm.kept_until.passed(now);
            let rank = (is_kept, vm.available().cpu_milli);
            if best.as_ref().is_none_or(|(most, _)| rank > *most) {
                best = Some((rank, name.clone()));
            }
        }
        let Some(((was_kept, _), name)) = best else {
            return;
        };
        if let Some(vm) = self.vms.get_mut(&name) {
            vm.kept_until = now + KEPT_FOR;
        }
        if !was_kept {
            tracing::info!(vm = %name, "worker gets no smaller tasks until a long-running one that is down fits");
        }
    }

    /// Whether a worker that is not kept could take the task now or later.
    fn has_unkept_worker(&self, now: Time, request: &PlacementRequest<'_>) -> bool {
        let mut vms = self.vms.values();
        vms.any(|vm| vm.kept_until.passed(now) && suits(vm, request, &self.zones_out))
    }

    /// What the runs on a VM reserve that end by themselves.
    fn passing_reservations(&self, vm: &Vm) -> Resources {
        let mut reserved = Resources::NONE;
        for (key, run) in &vm.runs {
            if !self.is_long_running(key) {
                reserved = reserved.plus(run.reserved);
            }
        }
        reserved
    }

    /// Racks of all known workers of a service.
    pub(super) fn racks(&self, service: &ServiceName) -> BTreeSet<String> {
        let mut racks = BTreeSet::new();
        for vm in self.vms.values() {
            let Some(info) = &vm.info else {
                continue;
            };
            if info.service == *service
                && let Some(rack) = info.labels.get(RACK_LABEL_INDEX)
            {
                racks.insert(rack.to_string());
            }
        }
        racks
    }
}

/// Index of the rack in a worker's labels; its kind comes first.
pub(super) const RACK_LABEL_INDEX: usize = 1;

/// Place of the cheapest of the scored workers, the first of equal ones.
fn cheapest(scored: &[(f64, VmName)]) -> Option<usize> {
    let scored = scored.iter().enumerate();
    let least = scored.min_by(|(_, (one, _)), (_, (other, _))| one.total_cmp(other));
    least.map(|(index, _)| index)
}

/// Whether a worker with these labels is away from the step's data.
fn is_remote(labels: &[Arc<str>], step: &Step) -> bool {
    let rack = step.data_rack.as_ref();
    rack.is_some_and(|rack| !labels.contains(rack))
}

/// Whether the worker is one that the task may use once there is room.
pub(super) fn suits(
    vm: &Vm,
    request: &PlacementRequest<'_>,
    zones_out: &BTreeSet<kernel::AvailabilityZoneName>,
) -> bool {
    if vm.status() != VmStatus::Ready {
        return false;
    }
    let Some(info) = &vm.info else {
        return false;
    };
    if info.service != *request.service || zones_out.contains(&info.zone) {
        return false;
    }
    let has = |label: &str| {
        info.labels
            .iter()
            .any(|label_of_worker| label_of_worker.as_ref() == label)
    };
    if request.step.label.as_ref().is_some_and(|label| !has(label)) {
        return false;
    }
    request.required_rack.is_none_or(has)
}

/// Why the worker is a last resort for the task.
fn last_resort_reasons(
    name: &VmName,
    vm: &mut Vm,
    now: Time,
    request: &PlacementRequest<'_>,
) -> Vec<LastResort> {
    let mut reasons = Vec::new();
    if request.avoid.contains(name) {
        reasons.push(LastResort::Avoided);
    }
    if !vm.health.may_take_task(now) {
        reasons.push(LastResort::Quarantined);
    }
    if !matches!(request.trial, Trial::No) {
        return reasons;
    }
    if vm.is_warming_up(now) {
        reasons.push(LastResort::WarmingUp);
    }
    if !request.is_overdue && !vm.kept_until.passed(now) {
        reasons.push(LastResort::Kept);
    }
    if vm.is_held(now) {
        reasons.push(LastResort::Held);
    }
    if vm.has_open_trial() {
        reasons.push(LastResort::OnTrial);
    }
    reasons
}

fn is_eligible(
    name: &VmName,
    vm: &Vm,
    now: Time,
    request: &PlacementRequest<'_>,
    zones_out: &BTreeSet<kernel::AvailabilityZoneName>,
) -> bool {
    let is_full = vm.has_unaccounted_runs || !vm.full_until.passed(now);
    if is_full || !suits(vm, request, zones_out) {
        return false;
    }
    if !request.step.reserved().fits(vm.available()) {
        return false;
    }
    match request.trial {
        Trial::No => true,
        Trial::Group(size, room) => room.may_use(name) && vm.may_take_trial(size, None),
        Trial::WithGang(run) => vm.may_take_trial(1, Some(run)),
    }
}

/// Cost of running the task on the VM; `None` if a best-effort task should wait
/// instead.
fn cost(vm: &Vm, now: Time, request: &PlacementRequest<'_>, weights: &Weights) -> Option<f64> {
    let info = vm.info.as_ref()?;
    let step = request.step;
    let after = vm.reserved.plus(step.reserved());
    let mut cost = after.dominant_share(info.capacity);
    if step.best_effort {
        let stay = Duration::from_millis(step.estimate_millis);
        let forecast = vm.forecast(step.image.as_ref(), step.need.cpu_milli, stay, weights);
        if forecast.speed < MIN_BEST_EFFORT_SPEED && !request.is_urgent {
            return None;
        }
        cost = (1.0 - forecast.speed) * SLOWDOWN_COST + forecast.bottleneck_share;
    } else if step.target_millis.is_some() {
        // Packs serving tasks together to leave other workers to best-effort tasks.
        cost = 1.0 - cost;
        cost += vm.other_serving_share(step.image.as_ref()) * MIXED_IMAGES_COST;
    }
    let mut slowdown = vm.health.slowdown(now);
    if vm.unevenness.is_cold {
        slowdown = slowdown.max(COLD_SLOWDOWN);
    }
    cost += (slowdown - 1.0) * SLOW_WORKER_COST;
    if vm.unevenness.is_flapping {
        cost += FLAPPING_COST;
    }
    if is_remote(&info.labels, step) {
        cost += REMOTE_DATA_COST;
    }
    Some(cost)
}
