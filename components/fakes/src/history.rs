//! Records the events of a test run and checks them against the invariants.
//!
//! Stand-ins and tests append each event with the time of one common clock. [`check`]
//! reads all records and lists each violation of the invariants in
//! `docs/INVARIANTS.md`. It depends on the records only, not on the system's code.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use kernel::{
    AvailabilityZoneName, RequestId, Resources, Revision, TaskId, TaskRun, Time, Verdict, VmName,
};
use serde::{Deserialize, Serialize};

/// Limit of the time from the acceptance of a change until every process applies it.
pub const PROPAGATION_LIMIT: Duration = Duration::from_secs(3);

/// An event of a run, recorded by a stand-in or a test.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Record {
    /// A VM exists, or exists again after it was replaced.
    Vm {
        /// The VM.
        vm: VmName,
        /// Its availability zone.
        zone: AvailabilityZoneName,
        /// Capacity of its worker.
        capacity: Resources,
    },
    /// The system reported that a task was accepted.
    Accepted {
        /// Time of the acceptance.
        at: Time,
        /// The task.
        task: TaskId,
    },
    /// A worker started an attempt.
    Started {
        /// Time of the start.
        at: Time,
        /// The attempt.
        run: TaskRun,
        /// The worker's VM.
        vm: VmName,
        /// Resources reserved for the attempt.
        reserved: Resources,
        /// Progress in the checkpoint that it resumed from, in milliseconds of work.
        resumed_millis: u64,
    },
    /// An attempt ended at a worker.
    Stopped {
        /// Time of the end.
        at: Time,
        /// The attempt.
        run: TaskRun,
        /// The worker's VM.
        vm: VmName,
        /// Whether its program succeeded.
        succeeded: bool,
    },
    /// The system recorded a task as finished.
    Finished {
        /// Time of the recording.
        at: Time,
        /// The attempt that finished the task.
        run: TaskRun,
    },
    /// The system recorded a task as cancelled or permanently failed.
    GivenUp {
        /// Time of the recording.
        at: Time,
        /// The task.
        task: TaskId,
    },
    /// Operators took an availability zone out of service or brought it back.
    Zone {
        /// Time at which the change was accepted.
        at: Time,
        /// The availability zone.
        zone: AvailabilityZoneName,
        /// Whether the zone takes work from now on.
        open: bool,
    },
    /// An agent announced that it is leaving.
    Leaving {
        /// Time of the announcement.
        at: Time,
        /// The agent's VM.
        vm: VmName,
    },
    /// An endpoint started to execute a request.
    Executed {
        /// Time of the start.
        at: Time,
        /// The request.
        id: RequestId,
        /// The endpoint's VM.
        vm: VmName,
        /// Whether the request is safe to execute twice.
        idempotent: bool,
    },
    /// A caller got its answer.
    Answered {
        /// Time of the answer.
        at: Time,
        /// The caller's request.
        id: RequestId,
        /// Verdict that the entry returned.
        verdict: Verdict,
        /// Request id in the body, and whether the body was complete; `None` without a body.
        body: Option<(RequestId, bool)>,
    },
    /// A graceful stop of a process aborted a request in progress.
    CutOff {
        /// Time of the stop.
        at: Time,
        /// The aborted request.
        id: RequestId,
    },
    /// A configuration was accepted.
    Published {
        /// Time of the acceptance.
        at: Time,
        /// Its revision.
        revision: Revision,
    },
    /// A process put a configuration in force.
    InForce {
        /// Time from which it was in force.
        at: Time,
        /// Name of the process.
        process: String,
        /// Revision of the configuration.
        revision: Revision,
    },
}

/// The records of a run; clones share them.
#[derive(Clone, Debug, Default)]
pub struct History(Arc<Mutex<Vec<Record>>>);

impl History {
    /// Creates an empty history.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Appends a record.
    pub fn add(&self, record: Record) {
        let mut records = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        records.push(record);
    }

    /// Returns all records so far.
    #[must_use]
    pub fn records(&self) -> Vec<Record> {
        let records = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        records.clone()
    }
}

/// The state in which a run ended; decides whether all accepted tasks must have ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HistoryEnd {
    /// The run was stopped while work may have been open.
    Interrupted,
    /// The run ended after all work was done.
    Quiescent,
}

/// Returns a description of each violation; empty if all invariants hold.
#[must_use]
pub fn check(records: &[Record], end: HistoryEnd) -> Vec<String> {
    let mut violations = Vec::new();
    check_capacity(records, &mut violations);
    check_single_execution(records, &mut violations);
    check_attempt_order(records, &mut violations);
    check_finished_once(records, &mut violations);
    check_nothing_lost(records, end, &mut violations);
    check_zones(records, &mut violations);
    check_answers(records, &mut violations);
    check_not_run_verdicts(records, &mut violations);
    check_at_most_once(records, &mut violations);
    check_leaving_vms(records, &mut violations);
    check_cut_off(records, &mut violations);
    check_config_revisions(records, &mut violations);
    violations
}

/// Returns the starts and ends of attempts ordered by time. At equal times ends come
/// first, except the end of an attempt that started at the same time.
fn starts_and_stops(records: &[Record]) -> Vec<(Time, &Record)> {
    let mut starts_and_stops = Vec::new();
    let mut starts = BTreeSet::new();
    for record in records {
        match record {
            Record::Stopped { at, run, .. } => {
                let rank = if starts.contains(&(*at, run)) { 2 } else { 0 };
                starts_and_stops.push((*at, rank, record));
            }
            Record::Started { at, run, .. } => {
                starts.insert((*at, run));
                starts_and_stops.push((*at, 1, record));
            }
            _ => {}
        }
    }
    starts_and_stops.sort_by_key(|(at, rank, _)| (*at, *rank));
    starts_and_stops
        .into_iter()
        .map(|(at, _, record)| (at, record))
        .collect()
}

fn check_capacity(records: &[Record], violations: &mut Vec<String>) {
    let mut capacities = BTreeMap::new();
    for record in records {
        if let Record::Vm {
            vm,
            capacity: vm_capacity,
            ..
        } = record
        {
            capacities.insert(vm.clone(), *vm_capacity);
        }
    }
    let mut held: BTreeMap<&VmName, BTreeMap<&TaskRun, Resources>> = BTreeMap::new();
    for (at, record) in starts_and_stops(records) {
        match record {
            Record::Started {
                run, vm, reserved, ..
            } => {
                let on_vm = held.entry(vm).or_default();
                on_vm.insert(run, *reserved);
                let sum = on_vm
                    .values()
                    .fold(Resources::NONE, |sum, one| sum.plus(*one));
                let Some(limit) = capacities.get(vm) else {
                    continue;
                };
                if !sum.fits(*limit) {
                    violations.push(format!(
                        "at {at}, {vm} holds {sum}, more than its capacity {limit}"
                    ));
                }
            }
            Record::Stopped { run, vm, .. } => {
                held.entry(vm).or_default().remove(run);
            }
            _ => {}
        }
    }
}

fn check_single_execution(records: &[Record], violations: &mut Vec<String>) {
    let mut running: BTreeMap<&TaskId, &TaskRun> = BTreeMap::new();
    let mut started: BTreeSet<&TaskRun> = BTreeSet::new();
    for (at, record) in starts_and_stops(records) {
        match record {
            Record::Started { run, vm, .. } => {
                if let Some(other) = running.get(&run.task) {
                    violations.push(format!("at {at}, {run} starts on {vm} while {other} runs"));
                }
                if !started.insert(run) {
                    violations.push(format!("at {at}, {run} starts a second time, on {vm}"));
                }
                running.insert(&run.task, run);
            }
            Record::Stopped { run, .. } if running.get(&run.task) == Some(&run) => {
                running.remove(&run.task);
            }
            _ => {}
        }
    }
}

/// Checks that the attempts of a task start in order, that none starts after the task
/// was recorded as finished, and that the system records no attempt as finished after
/// a later one has started.
///
/// A later attempt is correct after one that succeeded unnoticed, because its VM was
/// lost or its agent was paused for longer than the lease.
fn check_attempt_order(records: &[Record], violations: &mut Vec<String>) {
    let mut finished: BTreeMap<&TaskId, (Time, &TaskRun)> = BTreeMap::new();
    for record in records {
        if let Record::Finished { at, run } = record {
            finished.entry(&run.task).or_insert((*at, run));
        }
    }
    let mut last: BTreeMap<&TaskId, &TaskRun> = BTreeMap::new();
    for (at, record) in starts_and_stops(records) {
        let Record::Started { run, .. } = record else {
            continue;
        };
        if let Some(earlier) = last.insert(&run.task, run)
            && earlier.attempt >= run.attempt
        {
            violations.push(format!(
                "at {at}, {run} starts after {earlier}, whose attempt number is not lower"
            ));
        }
        let Some((recorded, counted)) = finished.get(&run.task) else {
            continue;
        };
        if at >= *recorded {
            violations.push(format!("at {at}, {run} starts after its end was recorded"));
        } else if counted.attempt < run.attempt {
            violations.push(format!(
                "{counted} is recorded after {run}, a later attempt, has started"
            ));
        }
    }
}

fn check_finished_once(records: &[Record], violations: &mut Vec<String>) {
    let mut finished: BTreeMap<&TaskId, &TaskRun> = BTreeMap::new();
    let mut ended_well: BTreeSet<&TaskRun> = BTreeSet::new();
    for record in records {
        match record {
            Record::Stopped {
                run,
                succeeded: true,
                ..
            } => {
                ended_well.insert(run);
            }
            Record::Finished { at, run } => {
                if let Some(other) = finished.insert(&run.task, run) {
                    violations.push(format!(
                        "at {at}, {run} is recorded after {other}, so its task finished twice"
                    ));
                }
                if !ended_well.contains(run) {
                    violations.push(format!("at {at}, {run} is recorded but did not end well"));
                }
            }
            _ => {}
        }
    }
}

fn check_nothing_lost(records: &[Record], end: HistoryEnd, violations: &mut Vec<String>) {
    if end == HistoryEnd::Interrupted {
        return;
    }
    let mut open: BTreeSet<&TaskId> = BTreeSet::new();
    for record in records {
        if let Record::Accepted { task, .. } = record {
            open.insert(task);
        }
    }
    for record in records {
        match record {
            Record::Finished { run, .. } => open.remove(&run.task),
            Record::GivenUp { task, .. } => open.remove(task),
            _ => continue,
        };
    }
    for task in open {
        violations.push(format!("{task} was accepted and never ended"));
    }
}

/// Whether `zone` had been out of service for more than [`PROPAGATION_LIMIT`] at `at`.
fn is_out_past_limit(records: &[Record], zone: &AvailabilityZoneName, at: Time) -> bool {
    let mut out_since = None;
    for record in records {
        let Record::Zone {
            at: changed,
            zone: named,
            open,
        } = record
        else {
            continue;
        };
        if named != zone || *changed > at {
            continue;
        }
        out_since = match (open, out_since) {
            (true, _) => None,
            (false, Some(since)) => Some(since),
            (false, None) => Some(*changed),
        };
    }
    out_since.is_some_and(|since| at > since + PROPAGATION_LIMIT)
}

fn check_zones(records: &[Record], violations: &mut Vec<String>) {
    let mut zone_of = BTreeMap::new();
    for record in records {
        match record {
            Record::Vm { vm, zone, .. } => {
                zone_of.insert(vm, zone);
            }
            Record::Started { at, run, vm, .. } => {
                let Some(zone) = zone_of.get(vm) else {
                    continue;
                };
                if is_out_past_limit(records, zone, *at) {
                    violations.push(format!(
                        "at {at}, {run} starts in {zone}, which is out of service"
                    ));
                }
            }
            _ => {}
        }
    }
}

fn check_answers(records: &[Record], violations: &mut Vec<String>) {
    for record in records {
        let Record::Answered {
            at,
            id,
            verdict,
            body,
        } = record
        else {
            continue;
        };
        match (verdict, body) {
            (Verdict::Done, Some((named, whole))) if named != id || !whole => {
                violations.push(format!(
                    "at {at}, {id} got the answer of {named}, whole: {whole}"
                ));
            }
            (Verdict::Done, None) => violations.push(format!("at {at}, {id} got an empty answer")),
            _ => {}
        }
    }
}

fn check_not_run_verdicts(records: &[Record], violations: &mut Vec<String>) {
    let mut executed = BTreeSet::new();
    for record in records {
        if let Record::Executed { id, .. } = record {
            executed.insert(id);
        }
    }
    for record in records {
        if let Record::Answered {
            at,
            id,
            verdict: Verdict::NotRun,
            ..
        } = record
            && executed.contains(id)
        {
            violations.push(format!(
                "at {at}, {id} got the verdict that it did not run, but it ran"
            ));
        }
    }
}

fn check_at_most_once(records: &[Record], violations: &mut Vec<String>) {
    let mut executed = BTreeSet::new();
    for record in records {
        if let Record::Executed {
            at,
            id,
            vm,
            idempotent: false,
        } = record
            && !executed.insert(id)
        {
            violations.push(format!(
                "at {at}, {id} runs again, on {vm}, but is not idempotent"
            ));
        }
    }
}

fn check_leaving_vms(records: &[Record], violations: &mut Vec<String>) {
    let mut leaving: BTreeMap<&VmName, Time> = BTreeMap::new();
    for record in records {
        let (at, vm, what) = match record {
            Record::Vm { vm, .. } => {
                leaving.remove(vm);
                continue;
            }
            Record::Leaving { at, vm } => {
                leaving.entry(vm).or_insert(*at);
                continue;
            }
            Record::Executed { at, vm, id, .. } => (at, vm, id.to_string()),
            Record::Started { at, vm, run, .. } => (at, vm, run.to_string()),
            _ => continue,
        };
        if leaving
            .get(vm)
            .is_some_and(|since| *at > *since + PROPAGATION_LIMIT)
        {
            violations.push(format!("at {at}, {what} starts on {vm}, which is leaving"));
        }
    }
}

fn check_cut_off(records: &[Record], violations: &mut Vec<String>) {
    for record in records {
        if let Record::CutOff { at, id } = record {
            violations.push(format!("at {at}, a planned stop cut {id} off"));
        }
    }
}

fn check_config_revisions(records: &[Record], violations: &mut Vec<String>) {
    let mut highest: BTreeMap<&str, Revision> = BTreeMap::new();
    let mut published: BTreeMap<Revision, Time> = BTreeMap::new();
    for record in records {
        match record {
            Record::Published { at, revision } if published.insert(*revision, *at).is_some() => {
                violations.push(format!("at {at}, revision {revision} is accepted twice"));
            }
            Record::InForce {
                at,
                process,
                revision,
            } => {
                if let Some(before) = highest.insert(process, *revision)
                    && before > *revision
                {
                    violations.push(format!(
                        "at {at}, {process} goes back from revision {before} to {revision}"
                    ));
                }
            }
            _ => {}
        }
    }
}
