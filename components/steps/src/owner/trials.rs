//! Trials of tasks that may crash each worker that starts them: where they start, and which
//! workers are withheld from other tasks meanwhile. See `docs/STEPS.md`.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use kernel::{JobName, ServiceName, Time, VmName};

use super::{
    Owner,
    entry::Task,
    place::{PlacementRequest, Trial, suits},
    vm::{AssignedRun, Vm},
};
use crate::{TaskKey, message::RunKey};

/// Time for which a worker gets no other task, so that one can start there on trial.
const HOLD: Duration = Duration::from_millis(500);
/// Number of suspects that go on waiting after which a pass examines no further ones.
const MAX_WAITING_EXAMINED: usize = 16;
/// Share of the workers that may be withheld from other tasks by trials, as a divisor.
const WITHHELD_DIVISOR: usize = 2;

/// Workers that one kind of suspects may use, and those that trials withhold from other tasks.
#[derive(Clone, Debug, Default)]
pub(super) struct TrialRoom {
    suitable: usize,
    withheld: BTreeSet<VmName>,
}

impl TrialRoom {
    fn has_room(&self) -> bool {
        self.withheld.len() < (self.suitable / WITHHELD_DIVISOR).max(1)
    }

    /// Notes that a trial starts on the worker.
    fn withhold(&mut self, vm: &VmName) {
        self.withheld.insert(vm.clone());
    }

    /// Whether a trial on the worker withholds no more workers than it may.
    pub(super) fn may_use(&self, vm: &VmName) -> bool {
        self.withheld.contains(vm) || self.has_room()
    }
}

/// Suspects in a scheduling pass.
#[derive(Debug, Default)]
pub(super) struct Trials {
    /// Workers by service and required label.
    rooms: BTreeMap<(ServiceName, Option<Arc<str>>), TrialRoom>,
    /// Whether a worker has been held for them.
    has_held: bool,
    /// Number of suspects that go on waiting.
    waiting: usize,
    /// Whether the last one that was examined could have started without a trial.
    could_start: bool,
}

impl Trials {
    /// Whether the pass has examined enough suspects that go on waiting.
    const fn are_exhausted(&self) -> bool {
        self.waiting >= MAX_WAITING_EXAMINED
    }

    /// Lets the pass examine as many suspects again.
    pub(super) const fn reset_limit(&mut self) {
        self.waiting = 0;
    }

    /// Gives back the room that [`Owner::take_trial_room`] took out.
    fn put_back(&mut self, request: &PlacementRequest<'_>, room: TrialRoom) {
        self.rooms.insert(room_key(request), room);
    }
}

fn room_key(request: &PlacementRequest<'_>) -> (ServiceName, Option<Arc<str>>) {
    (request.service.clone(), request.step.label.clone())
}

impl Owner {
    /// Returns a worker on which a suspect can start on trial with up to `size` others. If there
    /// is none, one is held, and the suspect waits.
    pub(super) fn choose_vm_on_trial(
        &mut self,
        now: Time,
        task: &TaskKey,
        size: usize,
        request: &PlacementRequest<'_>,
        trials: &mut Trials,
    ) -> Option<VmName> {
        if !self.awaits_crash_record(now, task) && !trials.are_exhausted() {
            let mut room = self.take_trial_room(now, request, trials);
            let trial = Trial::Group(size, &room);
            let on_trial = PlacementRequest { trial, ..*request };
            let vm = self.choose_vm(now, &on_trial).ok();
            if let Some(vm) = &vm {
                room.withhold(vm);
            }
            trials.put_back(request, room);
            if vm.is_some() {
                return vm;
            }
            self.hold_for_trial(now, request, trials);
        }
        self.await_trial(now, task, request, trials);
        None
    }

    /// Notes whether a suspect could start now if it did not have to wait for its trial.
    pub(super) fn await_trial(
        &mut self,
        now: Time,
        task: &TaskKey,
        request: &PlacementRequest<'_>,
        trials: &mut Trials,
    ) {
        if !trials.are_exhausted() {
            trials.waiting += 1;
            let without_trial = PlacementRequest {
                may_join_trials: true,
                trial: Trial::No,
                ..*request
            };
            trials.could_start = self.choose_vm(now, &without_trial).is_ok();
        }
        let key = self.shared_key(task);
        let entry = self.jobs.get_mut(&key.job);
        let Some(task) = entry.and_then(|entry| entry.task_mut(&key)) else {
            return;
        };
        task.trial_awaited_since = match trials.could_start {
            true => task.trial_awaited_since.or(Some(now)),
            false => None,
        };
    }

    /// Jobs with suspects that are tested alone.
    pub(super) fn jobs_with_lone_suspects(&self) -> BTreeSet<JobName> {
        let mut jobs = BTreeSet::new();
        for key in &self.suspects {
            let entry = self.jobs.get(&key.job);
            let task = entry.and_then(|entry| entry.task(key));
            if task.and_then(Task::trial_size) == Some(1) {
                jobs.insert(key.job.clone());
            }
        }
        jobs
    }

    /// Takes out the workers that suspects with the same needs may use.
    fn take_trial_room(
        &self,
        now: Time,
        request: &PlacementRequest<'_>,
        trials: &mut Trials,
    ) -> TrialRoom {
        if let Some(room) = trials.rooms.remove(&room_key(request)) {
            return room;
        }
        let mut room = TrialRoom::default();
        for (name, vm) in &self.vms {
            if !suits(vm, request, &self.zones_out) {
                continue;
            }
            room.suitable += 1;
            if vm.has_open_trial() || vm.is_held(now) {
                room.withheld.insert(name.clone());
            }
        }
        room
    }

    /// Keeps workers free of new tasks so that a suspect for which there is none can start on
    /// trial. The first one of a pass suffices, since a pass follows soon.
    pub(super) fn hold_for_trial(
        &mut self,
        now: Time,
        request: &PlacementRequest<'_>,
        trials: &mut Trials,
    ) {
        if std::mem::replace(&mut trials.has_held, true) {
            return;
        }
        let mut room = self.take_trial_room(now, request, trials);
        let further = match room.has_room() {
            true => self.next_to_hold(request, &room),
            false => None,
        };
        if let Some(name) = further {
            tracing::info!(
                vm = %name,
                withheld = room.withheld.len() + 1,
                suitable = room.suitable,
                "worker gets no new tasks until suspect ones have run on trial"
            );
            room.withhold(&name);
        }
        for name in &room.withheld {
            if let Some(vm) = self.vms.get_mut(name) {
                vm.held_until = now + HOLD;
            }
        }
        trials.put_back(request, room);
    }

    /// The worker that can be free for a trial soonest, of those that are not withheld.
    fn next_to_hold(&self, request: &PlacementRequest<'_>, room: &TrialRoom) -> Option<VmName> {
        let mut best = None;
        for (name, vm) in &self.vms {
            if room.withheld.contains(name) || !suits(vm, request, &self.zones_out) {
                continue;
            }
            let is_avoided = request.avoid.contains(name);
            let free = Reverse(vm.available().cpu_milli);
            let rank = (is_avoided, vm.runs_in_doubt(), free);
            best = best.max(Some(Reverse((rank, name))));
        }
        best.map(|Reverse((_, name))| name.clone())
    }
}

impl Vm {
    /// Whether a task on trial runs here that the worker has not survived for long enough.
    pub(super) fn has_open_trial(&self) -> bool {
        self.runs.values().any(AssignedRun::is_open_trial)
    }

    /// Whether the worker gets no new tasks but those on trial.
    pub(super) fn is_held(&self, now: Time) -> bool {
        !self.held_until.passed(now)
    }

    /// Number of runs that the worker has not survived for long enough.
    fn runs_in_doubt(&self) -> usize {
        let in_doubt = self.runs.values().filter(|run| !run.has_survived);
        in_doubt.count()
    }

    /// Whether a task may start here on trial with up to `size` suspects: all other runs are
    /// known to be harmless, but those that start with it as members of its gang.
    pub(super) fn may_take_trial(&self, size: usize, gang: Option<&RunKey>) -> bool {
        let mut suspects = 0;
        let mut most = size;
        for (key, run) in &self.runs {
            let is_same_gang = gang.is_some_and(|gang| {
                key.run == gang.run
                    && key.task.job == gang.task.job
                    && key.task.step == gang.task.step
            });
            if run.has_survived || is_same_gang {
                continue;
            }
            let Some(size) = run.trial_size else {
                return false;
            };
            suspects += 1;
            most = most.min(size);
        }
        suspects < most
    }
}
