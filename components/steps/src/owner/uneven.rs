//! Workers that are worse than others for a while: cold ones, and those that are lost again and
//! again.
//!
//! Both cost more in placement. A cold worker also gets its tasks gradually, while another worker
//! suits them. Nothing applies while over half of the workers of a service are uneven, since the
//! others could not take their work. See `docs/design/uneven-servers.md`.

use std::{collections::BTreeMap, time::Duration};

use kernel::{ServiceName, Time, VmName};

use super::{
    Owner,
    place::{PlacementRequest, suits},
    vm::{Vm, VmStatus},
};

/// Time without another loss after which earlier ones do not count.
const LOSS_WINDOW: Duration = Duration::from_secs(30);
/// Number of losses in a row from which on a worker costs more.
const LOSSES_TO_FLAP: u32 = 2;
/// Time for which a worker costs more once it is back after that many losses. It doubles with
/// each further loss.
const FIRST_COSTLY_SPAN: Duration = Duration::from_secs(4);
/// The longest such time.
const MAX_COSTLY_SPAN: Duration = Duration::from_secs(32);
/// Time without an answer after which a worker counts as lost. One missed poll is no loss.
const SILENT_AFTER: Duration = Duration::from_secs(1);
/// Number of tasks that a cold worker gets in each interval.
const COLD_STARTS: u32 = 4;
/// Length of these intervals. Quick tasks take 0.7 s to 1 s, so a cold worker gets about eight
/// of them at a time.
const COLD_INTERVAL: Duration = Duration::from_millis(500);
/// The longest time for which an incarnation of a worker counts as cold, whatever it reports.
const MAX_COLD: Duration = Duration::from_secs(30);
/// Share of the workers of a service that may be treated as uneven, as a divisor.
const UNEVEN_DIVISOR: usize = 2;

/// Factor by which tasks are expected to run longer on a cold worker until the owner has learnt
/// its slowdown.
pub(super) const COLD_SLOWDOWN: f64 = 2.0;
/// Cost of a flapping worker. A task that is lost with it loses its work, as if it took twice as
/// long, and its job waits until the loss is certain.
pub(super) const FLAPPING_COST: f64 = 2.0;

/// Losses of the worker of a VM. They outlive the worker, and the VM's entry at the owner.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LossHistory {
    /// Number of losses, each within [`LOSS_WINDOW`] of the one before.
    losses: u32,
    last_loss: Time,
    /// Whether the worker has not been back since the last loss.
    is_lost: bool,
    /// Since when the worker does not answer; `None` while it does.
    silent_since: Option<Time>,
    /// Until when the worker costs more.
    costly_until: Time,
}

impl LossHistory {
    /// Records a loss. What an outage shows at several times counts once.
    fn record_loss(&mut self, now: Time) {
        if self.is_lost {
            return;
        }
        if self.is_over(now) {
            self.losses = 0;
        }
        self.losses += 1;
        self.last_loss = now;
        self.is_lost = true;
    }

    /// Records that the worker takes tasks; returns for how long it costs more if it has just
    /// come back.
    fn record_return(&mut self, now: Time) -> Option<Duration> {
        self.silent_since = None;
        if !std::mem::take(&mut self.is_lost) || self.losses < LOSSES_TO_FLAP {
            return None;
        }
        let doublings = (self.losses - LOSSES_TO_FLAP).min(u32::BITS - 1);
        let span = FIRST_COSTLY_SPAN.saturating_mul(1 << doublings.min(8));
        self.costly_until = (now + span.min(MAX_COSTLY_SPAN)).min(self.last_loss + LOSS_WINDOW);
        Some(self.costly_until.remaining(now))
    }

    fn record_silence(&mut self, now: Time) {
        let since = *self.silent_since.get_or_insert(now);
        if (since + SILENT_AFTER).passed(now) {
            self.record_loss(now);
        }
    }

    fn is_costly(&self, now: Time) -> bool {
        !self.costly_until.passed(now)
    }

    fn is_over(&self, now: Time) -> bool {
        (self.last_loss + LOSS_WINDOW).passed(now)
    }
}

/// What makes a worker worse than others at present.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Unevenness {
    pub(super) is_cold: bool,
    pub(super) is_flapping: bool,
}

impl Unevenness {
    const fn is_any(self) -> bool {
        self.is_cold || self.is_flapping
    }
}

/// How long a worker is cold, and what it got in the present interval.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ColdStart {
    /// When the incarnation was first reported as cold.
    since: Option<Time>,
    until: Time,
    interval_start: Time,
    starts: u32,
}

impl ColdStart {
    /// Takes back a start that was not carried out.
    pub(super) const fn undo_start(&mut self) {
        self.starts = self.starts.saturating_sub(1);
    }

    /// Records for how long a worker says that it will be cold; returns whether it was not cold
    /// before.
    fn record_report(&mut self, now: Time, remaining: Duration) -> bool {
        if remaining.is_zero() {
            self.until = Time::ZERO;
            return false;
        }
        let is_first = self.since.is_none();
        let since = *self.since.get_or_insert(now);
        self.until = (now + remaining).min(since + MAX_COLD);
        is_first
    }

    pub(super) fn record_start(&mut self, now: Time) {
        if (self.interval_start + COLD_INTERVAL).passed(now) {
            self.interval_start = now;
            self.starts = 0;
        }
        self.starts += 1;
    }

    fn is_used_up(&self, now: Time) -> bool {
        self.starts >= COLD_STARTS && !(self.interval_start + COLD_INTERVAL).passed(now)
    }
}

impl Vm {
    /// Whether the worker is cold and has got as many tasks as it may at present.
    pub(super) fn is_warming_up(&self, now: Time) -> bool {
        self.unevenness.is_cold && self.cold_start.is_used_up(now)
    }

    /// Time until a reading of the worker's clock; zero without one that is known to lie ahead.
    pub(super) fn time_until(&self, now: Time, millis: Option<u64>) -> Duration {
        let (Some(millis), Some((clock, at))) = (millis, &self.clock_reading) else {
            return Duration::ZERO;
        };
        let left = Duration::from_millis(millis.saturating_sub(clock.millis));
        left.saturating_sub(now.since(*at))
    }
}

impl Owner {
    /// Notes what a report tells about losses and the cold start of a worker.
    pub(super) fn note_unevenness(&mut self, now: Time, name: &VmName) {
        let Some(vm) = self.vms.get_mut(name) else {
            return;
        };
        if let Some(info) = &vm.info {
            let remaining = vm.time_until(now, info.cold_until_millis);
            if vm.cold_start.record_report(now, remaining) {
                tracing::info!(vm = %name, remaining_ms = remaining.as_millis() as u64, "worker is cold; it gets its tasks gradually");
            }
        }
        if vm.status() != VmStatus::Ready {
            return;
        }
        let Some(history) = self.loss_histories.get_mut(name) else {
            return;
        };
        if let Some(span) = history.record_return(now) {
            tracing::info!(vm = %name, losses = history.losses, span_ms = span.as_millis() as u64, "worker was lost again and costs more for a while");
        }
    }

    /// Records that the worker of a VM was lost without notice.
    pub(super) fn record_worker_loss(&mut self, now: Time, name: &VmName) {
        let history = self.loss_histories.entry(name.clone()).or_default();
        history.record_loss(now);
    }

    /// Notices workers that do not answer, and forgets losses that do not count any more.
    pub(super) fn track_losses(&mut self, now: Time) {
        for (name, vm) in &self.vms {
            let is_silent = matches!(vm.status(), VmStatus::Unresponsive | VmStatus::Unreachable);
            if is_silent && !vm.info.as_ref().is_some_and(|info| info.draining) {
                let history = self.loss_histories.entry(name.clone()).or_default();
                history.record_silence(now);
            }
        }
        self.loss_histories
            .retain(|_, history| history.silent_since.is_some() || !history.is_over(now));
    }

    /// Decides which workers are treated as uneven: none while those are over half of the workers
    /// of their service.
    pub(super) fn review_unevenness(&mut self, now: Time) {
        let mut is_any = false;
        for (name, vm) in &mut self.vms {
            let history = self.loss_histories.get(name);
            vm.unevenness = Unevenness {
                is_cold: !vm.cold_start.until.passed(now),
                is_flapping: history.is_some_and(|history| history.is_costly(now)),
            };
            is_any |= vm.unevenness.is_any();
        }
        if !is_any {
            return;
        }
        let mut counts: BTreeMap<ServiceName, (usize, usize)> = BTreeMap::new();
        for vm in self.vms.values() {
            let ready = vm.info.as_ref().filter(|_| vm.status() == VmStatus::Ready);
            if let Some(info) = ready {
                let (uneven, all) = counts.entry(info.service.clone()).or_default();
                *uneven += usize::from(vm.unevenness.is_any());
                *all += 1;
            }
        }
        for vm in self.vms.values_mut() {
            let count = vm.info.as_ref().and_then(|info| counts.get(&info.service));
            if count.is_some_and(|(uneven, all)| uneven * UNEVEN_DIVISOR > *all) {
                vm.unevenness = Unevenness::default();
            }
        }
    }

    pub(super) fn count_uneven(&self, is_counted: impl Fn(Unevenness) -> bool) -> usize {
        let vms = self.vms.values();
        vms.filter(|vm| is_counted(vm.unevenness)).count()
    }

    /// Whether a worker that need not be avoided and is not warming up could take the task now or
    /// later.
    pub(super) fn has_warm_worker(&self, now: Time, request: &PlacementRequest<'_>) -> bool {
        let mut vms = self.vms.iter();
        vms.any(|(name, vm)| {
            !request.avoid.contains(name)
                && !vm.is_warming_up(now)
                && !vm.health.is_suspect()
                && vm
                    .info
                    .as_ref()
                    .is_some_and(|info| request.step.reserved().fits(info.capacity))
                && suits(vm, request, &self.zones_out)
        })
    }
}
