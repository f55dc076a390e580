//! Throttles, then evicts, batch tasks that slow down a service, and ends
//! throttling once the latency has recovered.

use std::{collections::BTreeMap, time::Duration};

use kernel::{ServiceName, TaskRun, Time, VmName};
use serde::{Deserialize, Serialize};

use super::MatchedReport;

/// When to throttle or evict tasks and when to end throttling. The two latency
/// thresholds differ, so that a latency near one of them does not switch a task
/// on and off.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ThrottleSettings {
    /// Throttle or evict a task when the tail latency is above this multiple of
    /// the undisturbed one.
    pub act_above: f64,
    /// End throttling once the tail latency is below this multiple.
    pub release_below: f64,
    /// How long the tail latency must have been below `release_below` before
    /// the throttling of one task ends.
    pub release_after: Duration,
    /// Reports measured within this time after an action cause no further
    /// throttling or eviction, so that the action can take effect.
    #[serde(rename = "settle")]
    pub effect_delay: Duration,
    /// How long a task is throttled without enough effect before it is evicted.
    pub evict_after: Duration,
    /// The least contribution to the logarithm of the slowdown for which a task
    /// is throttled or evicted.
    #[serde(rename = "least_blame")]
    pub min_contribution: f64,
}

impl Default for ThrottleSettings {
    fn default() -> Self {
        Self {
            act_above: 1.35,
            release_below: 1.15,
            release_after: Duration::from_secs(60),
            effect_delay: Duration::from_secs(3),
            evict_after: Duration::from_secs(15),
            min_contribution: 0.03,
        }
    }
}

/// An action on a batch task to protect a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ThrottleAction {
    /// Give the task less CPU time.
    Start {
        /// The VM of the task.
        vm: VmName,
        /// The service to protect.
        service: ServiceName,
        /// The attempt to throttle.
        run: TaskRun,
    },
    /// Give the task its full CPU time again.
    End {
        /// The VM of the task.
        vm: VmName,
        /// The service that the throttling protected.
        service: ServiceName,
        /// The throttled attempt.
        run: TaskRun,
    },
    /// Checkpoint the task and stop it, since throttling did not help.
    Evict {
        /// The VM of the task.
        vm: VmName,
        /// The service to protect.
        service: ServiceName,
        /// The attempt to evict.
        run: TaskRun,
    },
}

#[derive(Clone, Debug)]
struct ThrottledTask {
    run: TaskRun,
    /// The service that the throttling protects.
    service: ServiceName,
    /// When the throttling started.
    since: Time,
    /// Whether the task is being evicted and has not stopped yet.
    is_evicting: bool,
}

#[derive(Clone, Debug, Default)]
struct VmState {
    /// Throttled tasks, the latest last.
    throttled: Vec<ThrottledTask>,
    /// When a task on the VM was last throttled, evicted or given its full CPU
    /// time again.
    last_action_at: Time,
    /// For each service, since when its tail latency has been below
    /// `release_below`; `None` while it is above.
    below_release_since: BTreeMap<ServiceName, Option<Time>>,
}

/// Decides from matched latency reports which batch tasks to throttle or evict.
#[derive(Clone, Debug, Default)]
pub struct Throttler {
    settings: ThrottleSettings,
    vms: BTreeMap<VmName, VmState>,
}

impl Throttler {
    /// Creates a throttler with the given settings.
    #[must_use]
    pub fn new(settings: ThrottleSettings) -> Self {
        Self {
            settings,
            vms: BTreeMap::new(),
        }
    }

    /// Processes a matched report. `is_evictable` returns whether an attempt is
    /// a normal batch task that still runs on the VM; other attempts are never
    /// throttled or evicted.
    pub fn on_report(
        &mut self,
        now: Time,
        report: &MatchedReport,
        is_evictable: impl Fn(&TaskRun) -> bool,
    ) -> Option<ThrottleAction> {
        let settings = self.settings;
        let vm_state = self.vms.entry(report.vm.clone()).or_default();
        vm_state.throttled.retain(|task| is_evictable(&task.run));
        vm_state.track_latency(report, &settings);
        if report.inflation > settings.act_above {
            return vm_state.throttle_or_evict(now, report, &settings, is_evictable);
        }
        vm_state.release(now, report, &settings)
    }

    /// Removes a VM.
    pub fn remove(&mut self, vm: &VmName) {
        self.vms.remove(vm);
    }
}

impl VmState {
    fn is_throttled(&self, run: &TaskRun) -> bool {
        self.throttled.iter().any(|task| task.run == *run)
    }

    fn track_latency(&mut self, report: &MatchedReport, settings: &ThrottleSettings) {
        let since = self
            .below_release_since
            .entry(report.service.clone())
            .or_default();
        if report.inflation > settings.release_below {
            *since = None;
        } else if since.is_none() {
            *since = Some(report.at);
        }
    }

    fn throttle_or_evict(
        &mut self,
        now: Time,
        report: &MatchedReport,
        settings: &ThrottleSettings,
        is_evictable: impl Fn(&TaskRun) -> bool,
    ) -> Option<ThrottleAction> {
        if report.at < self.last_action_at + settings.effect_delay {
            return None;
        }
        let contributor = report.contributors.iter().find(|contributor| {
            contributor.contribution >= settings.min_contribution
                && is_evictable(&contributor.run)
                && !self.is_throttled(&contributor.run)
        });
        if let Some(contributor) = contributor {
            self.last_action_at = now;
            self.throttled.push(ThrottledTask {
                run: contributor.run.clone(),
                service: report.service.clone(),
                since: now,
                is_evicting: false,
            });
            return Some(ThrottleAction::Start {
                vm: report.vm.clone(),
                service: report.service.clone(),
                run: contributor.run.clone(),
            });
        }
        self.evict(now, report, settings)
    }

    fn evict(
        &mut self,
        now: Time,
        report: &MatchedReport,
        settings: &ThrottleSettings,
    ) -> Option<ThrottleAction> {
        let is_due = |task: &&mut ThrottledTask| {
            !task.is_evicting && report.at >= task.since + settings.evict_after
        };
        let mut due: Vec<&mut ThrottledTask> = self.throttled.iter_mut().filter(is_due).collect();
        let worst = report.contributors.iter().find(|contributor| {
            contributor.contribution >= settings.min_contribution
                && due.iter().any(|task| task.run == contributor.run)
        })?;
        for task in &mut due {
            task.is_evicting |= task.run == worst.run;
        }
        self.last_action_at = now;
        Some(ThrottleAction::Evict {
            vm: report.vm.clone(),
            service: report.service.clone(),
            run: worst.run.clone(),
        })
    }

    /// Ends the throttling of the task that was throttled last, once the tail
    /// latencies of all services on the VM have been low for long enough.
    fn release(
        &mut self,
        now: Time,
        report: &MatchedReport,
        settings: &ThrottleSettings,
    ) -> Option<ThrottleAction> {
        let is_below_long_enough = |since: &Option<Time>| {
            since.is_some_and(|since| report.at >= since + settings.release_after)
        };
        if !self.below_release_since.values().all(is_below_long_enough) {
            return None;
        }
        if report.at < self.last_action_at + settings.release_after {
            return None;
        }
        let last_index = self.throttled.iter().rposition(|task| !task.is_evicting)?;
        let task = self.throttled.remove(last_index);
        self.last_action_at = now;
        Some(ThrottleAction::End {
            vm: report.vm.clone(),
            service: task.service,
            run: task.run,
        })
    }
}
