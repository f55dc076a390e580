//! Learning from usage and latency reports, and throttling on behalf of services.

use kernel::{Cause, ServiceName, TaskRun, TaskState, Time, VmName};
use place::{
    interference::ThrottleAction,
    learner::{LatencyReport, UsageReport},
};
use proto::messages::{Heartbeat, Order, TaskPhase, TaskReport};

use super::Owner;
use crate::{Record, RunEnd};

/// The running throttling of an attempt, and the service that it protects.
#[derive(Clone, Debug)]
pub(super) struct ActiveThrottle {
    service: ServiceName,
    since: Time,
}

impl Owner {
    /// Learns from the usage and latencies in a heartbeat, and applies the
    /// throttling decisions that result.
    pub(super) fn learn_from_heartbeat(&mut self, now: Time, beat: &Heartbeat) {
        let usage: Vec<UsageReport> = beat
            .tasks
            .iter()
            .filter(|report| self.bound_task(&report.run, &beat.vm).is_some())
            .filter_map(|report| usage_of(now, report))
            .collect();
        let latency = self.changed_latencies(now, beat);
        let learner = &mut self.learner;
        let throttles = learner.on_heartbeat(now, &mut self.fleet, &beat.vm, &usage, &latency);
        for throttle in throttles {
            self.handle_throttle(now, throttle);
        }
    }

    /// Returns the latencies that changed since the last heartbeat. An endpoint
    /// without requests repeats its last value, which is not a new measurement.
    fn changed_latencies(&mut self, now: Time, beat: &Heartbeat) -> Vec<LatencyReport> {
        let Some(worker) = self.workers.get_mut(&beat.vm) else {
            return Vec::new();
        };
        let mut changed = Vec::new();
        for load in &beat.load {
            let micros = load.latency_micros;
            let previous = worker.latencies.insert(load.service.clone(), micros);
            if micros == 0 || previous.is_none_or(|previous| previous == micros) {
                continue;
            }
            changed.push(LatencyReport {
                service: load.service.clone(),
                at: now,
                micros,
            });
        }
        changed
    }

    fn handle_throttle(&mut self, now: Time, throttle: ThrottleAction) {
        match throttle {
            ThrottleAction::Start { service, run, .. } => {
                if self.run_state(&run) != Some(TaskState::Bound) {
                    return;
                }
                if let Some(bound_run) = self.bound_runs.get_mut(&run) {
                    let since = now;
                    bound_run.throttled = Some(ActiveThrottle { service, since });
                }
            }
            ThrottleAction::End { run, .. } => self.unthrottle(now, &run),
            ThrottleAction::Evict { service, run, .. } => {
                self.unthrottle(now, &run);
                self.evict(
                    now,
                    &run,
                    Cause::Interference,
                    Beneficiary::Service(service),
                );
            }
        }
    }

    /// Ends the throttling of an attempt, if any, and records it for accounting.
    pub(super) fn unthrottle(&mut self, now: Time, run: &TaskRun) {
        let Some(bound_run) = self.bound_runs.get_mut(run) else {
            return;
        };
        let Some(throttled) = bound_run.throttled.take() else {
            return;
        };
        self.record(Record::Throttled {
            run: run.clone(),
            service: throttled.service,
            since: throttled.since,
            at: now,
        });
    }

    /// Returns the order that throttles or unthrottles an attempt, or `None` if its
    /// reported phase is already right.
    pub(super) fn pace_order(&self, report: &TaskReport) -> Option<Order> {
        let bound_run = self.bound_runs.get(&report.run)?;
        match (bound_run.throttled.is_some(), report.phase) {
            (true, TaskPhase::Running) => Some(Order::Throttle(report.run.clone())),
            (false, TaskPhase::Throttled) => Some(Order::Unthrottle(report.run.clone())),
            _ => None,
        }
    }

    /// Learns from the end of an attempt that was bound at `started`.
    pub(super) fn learn_from_end(&mut self, now: Time, run: &TaskRun, end: RunEnd, started: Time) {
        match end {
            RunEnd::Finished => self.learner.on_finished(now, run, now.since(started)),
            RunEnd::Failed | RunEnd::Stopped | RunEnd::Lost => self.learner.on_stopped(run),
        }
    }

    /// Removes learned data of a VM that is gone.
    pub(super) fn forget_usage(&mut self, vm: &VmName) {
        self.learner.remove(vm);
    }
}

/// The task or service that benefits from an eviction.
#[derive(Clone, Debug)]
pub(super) enum Beneficiary {
    /// No specific task or service.
    Unspecified,
    /// A waiting task that needs the capacity.
    Task(TaskRun),
    /// A service that the evicted attempt slowed down.
    Service(ServiceName),
}

impl Beneficiary {
    pub(super) fn into_parts(self) -> (Option<TaskRun>, Option<ServiceName>) {
        match self {
            Self::Unspecified => (None, None),
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
