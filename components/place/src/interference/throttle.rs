//! What is done when a service suffers on a VM: throttle, then evict, and
//! release when it is calm again.

use std::{collections::BTreeMap, time::Duration};

use kernel::{ServiceName, TaskRun, Time, VmName};
use serde::{Deserialize, Serialize};

use super::MatchedReport;

/// When to act and when to let go. Acting and letting go lie apart, so that a
/// latency near one bound does not switch a task on and off.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ThrottleSettings {
    /// Act when the tail latency is above this multiple of the undisturbed one.
    pub act_above: f64,
    /// Let go once it is below this multiple.
    pub release_below: f64,
    /// How long it must have been below before one task is let go.
    pub release_after: Duration,
    /// How long after an action its effect is waited for, by the time of the
    /// measurement.
    #[serde(rename = "settle")]
    pub effect_delay: Duration,
    /// How long a throttled task may go on disturbing before it is evicted.
    pub evict_after: Duration,
    /// The least part in the logarithm of the slowdown for which a task is
    /// touched.
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

/// An action for a service, with its beneficiary and who pays for it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ThrottleAction {
    /// Give the task less processor time.
    Start {
        /// Where.
        vm: VmName,
        /// The beneficiary.
        service: ServiceName,
        /// Who pays.
        run: TaskRun,
    },
    /// Give the task its processor time again.
    End {
        /// Where.
        vm: VmName,
        /// Whom it had served.
        service: ServiceName,
        /// Whose processor time it is.
        run: TaskRun,
    },
    /// Checkpoint the task and stop it, since throttling did not help.
    Evict {
        /// Where.
        vm: VmName,
        /// The beneficiary.
        service: ServiceName,
        /// Who pays.
        run: TaskRun,
    },
}

#[derive(Clone, Debug)]
struct Held {
    run: TaskRun,
    service: ServiceName,
    since: Time,
    /// It was told to leave and has not stopped yet.
    leaving: bool,
}

#[derive(Clone, Debug, Default)]
struct Guard {
    /// Throttled tasks, the latest last.
    throttled: Vec<Held>,
    acted_at: Time,
    /// Of each service, since when it has been calm.
    calm_since: BTreeMap<ServiceName, Option<Time>>,
}

/// Decides by matched latency reports which batch tasks to throttle or evict.
#[derive(Clone, Debug, Default)]
pub struct Throttler {
    settings: ThrottleSettings,
    guards: BTreeMap<VmName, Guard>,
}

impl Throttler {
    /// A throttler with the given bounds.
    #[must_use]
    pub fn new(settings: ThrottleSettings) -> Self {
        Self {
            settings,
            guards: BTreeMap::new(),
        }
    }

    /// Takes in a matched report. `evictable` says whether an attempt is a
    /// normal batch task that still runs there; no other is ever touched.
    pub fn on_report(
        &mut self,
        now: Time,
        report: &MatchedReport,
        evictable: impl Fn(&TaskRun) -> bool,
    ) -> Option<ThrottleAction> {
        let settings = self.settings;
        let guard = self.guards.entry(report.vm.clone()).or_default();
        guard.throttled.retain(|held| evictable(&held.run));
        guard.note(report, &settings);
        if report.inflation > settings.act_above {
            return guard.act(now, report, &settings, evictable);
        }
        guard.release(now, report, &settings)
    }

    /// Forgets a VM.
    pub fn remove(&mut self, vm: &VmName) {
        self.guards.remove(vm);
    }
}

impl Guard {
    fn holds(&self, run: &TaskRun) -> bool {
        self.throttled.iter().any(|held| held.run == *run)
    }

    fn note(&mut self, report: &MatchedReport, settings: &ThrottleSettings) {
        let since = self.calm_since.entry(report.service.clone()).or_default();
        if report.inflation > settings.release_below {
            *since = None;
        } else if since.is_none() {
            *since = Some(report.at);
        }
    }

    fn act(
        &mut self,
        now: Time,
        report: &MatchedReport,
        settings: &ThrottleSettings,
        evictable: impl Fn(&TaskRun) -> bool,
    ) -> Option<ThrottleAction> {
        if report.at < self.acted_at + settings.effect_delay {
            return None;
        }
        let culprit = report.contributors.iter().find(|contributor| {
            contributor.contribution >= settings.min_contribution
                && evictable(&contributor.run)
                && !self.holds(&contributor.run)
        });
        if let Some(culprit) = culprit {
            self.acted_at = now;
            self.throttled.push(Held {
                run: culprit.run.clone(),
                service: report.service.clone(),
                since: now,
                leaving: false,
            });
            return Some(ThrottleAction::Start {
                vm: report.vm.clone(),
                service: report.service.clone(),
                run: culprit.run.clone(),
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
        let long =
            |held: &&mut Held| !held.leaving && report.at >= held.since + settings.evict_after;
        let mut longest: Vec<&mut Held> = self.throttled.iter_mut().filter(long).collect();
        let worst = report.contributors.iter().find(|contributor| {
            contributor.contribution >= settings.min_contribution
                && longest.iter().any(|held| held.run == contributor.run)
        })?;
        for held in &mut longest {
            held.leaving |= held.run == worst.run;
        }
        self.acted_at = now;
        Some(ThrottleAction::Evict {
            vm: report.vm.clone(),
            service: report.service.clone(),
            run: worst.run.clone(),
        })
    }

    /// Lets the task go that was throttled last, once all services on the VM
    /// have been calm for long enough.
    fn release(
        &mut self,
        now: Time,
        report: &MatchedReport,
        settings: &ThrottleSettings,
    ) -> Option<ThrottleAction> {
        let long_calm = |since: &Option<Time>| {
            since.is_some_and(|since| report.at >= since + settings.release_after)
        };
        if !self.calm_since.values().all(long_calm) {
            return None;
        }
        if report.at < self.acted_at + settings.release_after {
            return None;
        }
        let latest = self.throttled.iter().rposition(|held| !held.leaving)?;
        let held = self.throttled.remove(latest);
        self.acted_at = now;
        Some(ThrottleAction::End {
            vm: report.vm.clone(),
            service: held.service,
            run: held.run,
        })
    }
}
