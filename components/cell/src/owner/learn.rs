//! Learning from what runs, and what is done with it for services.

use kernel::{Cause, ServiceName, TaskRun, TaskState, Time, VmName};
use place::{
    interference::ThrottleAction,
    learner::{LatencyReport, UsageReport},
};
use proto::messages::{Heartbeat, Order, TaskPhase, TaskReport};

use super::Owner;
use crate::{Record, RunEnd};

/// Since when an attempt gets less processor time, and for which service.
#[derive(Clone, Debug)]
pub(super) struct Throttled {
    service: ServiceName,
    since: Time,
}

impl Owner {
    /// Learns from the usage and latencies in a heartbeat, and acts for the
    /// services that suffer.
    pub(super) fn learn_from(&mut self, now: Time, beat: &Heartbeat) {
        let usage: Vec<UsageReport> = beat
            .tasks
            .iter()
            .filter(|report| self.bound_to(&report.run, &beat.vm).is_some())
            .filter_map(|report| usage_of(now, report))
            .collect();
        let latency = self.news_of_latency(now, beat);
        let learner = &mut self.learner;
        let throttles = learner.on_heartbeat(now, &mut self.fleet, &beat.vm, &usage, &latency);
        for throttle in throttles {
            self.take_throttle(now, throttle);
        }
    }

    /// The latencies that changed since the last heartbeat; an endpoint without
    /// requests goes on showing the last one, which is no new measurement.
    fn news_of_latency(&mut self, now: Time, beat: &Heartbeat) -> Vec<LatencyReport> {
        let Some(worker) = self.workers.get_mut(&beat.vm) else {
            return Vec::new();
        };
        let mut news = Vec::new();
        for load in &beat.load {
            let micros = load.latency_micros;
            let before = worker.latencies.insert(load.service.clone(), micros);
            if micros == 0 || before.is_none_or(|before| before == micros) {
                continue;
            }
            news.push(LatencyReport {
                service: load.service.clone(),
                at: now,
                micros,
            });
        }
        news
    }

    fn take_throttle(&mut self, now: Time, throttle: ThrottleAction) {
        match throttle {
            ThrottleAction::Start { service, run, .. } => {
                if self.state_of(&run) != Some(TaskState::Bound) {
                    return;
                }
                if let Some(live) = self.live.get_mut(&run) {
                    let since = now;
                    live.throttled = Some(Throttled { service, since });
                }
            }
            ThrottleAction::End { run, .. } => self.unthrottle(now, &run),
            ThrottleAction::Evict { service, run, .. } => {
                self.unthrottle(now, &run);
                self.evict(now, &run, Cause::Interference, Gains::Service(service));
            }
        }
    }

    /// Ends the throttling of an attempt and accounts for it.
    pub(super) fn unthrottle(&mut self, now: Time, run: &TaskRun) {
        let Some(live) = self.live.get_mut(run) else {
            return;
        };
        let Some(throttled) = live.throttled.take() else {
            return;
        };
        self.record(Record::Throttled {
            run: run.clone(),
            service: throttled.service,
            since: throttled.since,
            at: now,
        });
    }

    /// The order that brings the speed of a bound attempt to what it should be.
    pub(super) fn pace(&self, report: &TaskReport) -> Option<Order> {
        let live = self.live.get(&report.run)?;
        match (live.throttled.is_some(), report.phase) {
            (true, TaskPhase::Running) => Some(Order::Throttle(report.run.clone())),
            (false, TaskPhase::Throttled) => Some(Order::Unthrottle(report.run.clone())),
            _ => None,
        }
    }

    /// Learns from the end of an attempt that started at `started`.
    pub(super) fn learn_end(&mut self, now: Time, run: &TaskRun, end: RunEnd, started: Time) {
        match end {
            RunEnd::Finished => self.learner.on_finished(now, run, now.since(started)),
            RunEnd::Failed | RunEnd::Stopped | RunEnd::Lost => self.learner.on_stopped(run),
        }
    }

    /// Forgets what was learnt of a VM that is gone.
    pub(super) fn unlearn(&mut self, vm: &VmName) {
        self.learner.remove(vm);
    }
}

/// Who gains from an eviction.
#[derive(Clone, Debug)]
pub(super) enum Gains {
    /// Nobody in particular.
    Nobody,
    /// A task that waits.
    Task(TaskRun),
    /// A service whose callers wait.
    Service(ServiceName),
}

impl Gains {
    pub(super) fn into_parts(self) -> (Option<TaskRun>, Option<ServiceName>) {
        match self {
            Self::Nobody => (None, None),
            Self::Task(run) => (Some(run), None),
            Self::Service(service) => (None, Some(service)),
        }
    }
}

fn usage_of(now: Time, report: &TaskReport) -> Option<UsageReport> {
    let usage = report.usage?;
    let age = std::time::Duration::from_millis(usage.age_millis);
    Some(UsageReport {
        run: report.run.clone(),
        at: now - age,
        used: usage.used,
    })
}
