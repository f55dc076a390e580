//! The record of a run and the checker of what must always hold.
//!
//! Stand-ins and tests append what really happened, each with the time of one
//! common clock; [`check`] reads the whole and lists every broken invariant of
//! `docs/INVARIANTS.md`. It knows nothing of how the system works.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use kernel::{
    AvailabilityZoneName, RequestId, Resources, Revision, TaskId, TaskRun, Time, Verdict, VmName,
};
use serde::{Deserialize, Serialize};

/// How long after its acceptance a change may still be unknown somewhere.
pub const PROPAGATION_LIMIT: Duration = Duration::from_secs(3);

/// One thing that happened.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Record {
    /// A VM exists in an availability zone with a capacity.
    Vm {
        /// The VM.
        vm: VmName,
        /// Where it is.
        zone: AvailabilityZoneName,
        /// What it holds.
        capacity: Resources,
    },
    /// The system said that a task was accepted.
    Accepted {
        /// When.
        at: Time,
        /// The task.
        task: TaskId,
    },
    /// A worker started an attempt.
    Started {
        /// When.
        at: Time,
        /// The attempt.
        run: TaskRun,
        /// Where.
        vm: VmName,
        /// What it holds.
        reserved: Resources,
        /// The progress it resumed from, in milliseconds of work.
        resumed_millis: u64,
    },
    /// A worker ended an attempt.
    Stopped {
        /// When.
        at: Time,
        /// The attempt.
        run: TaskRun,
        /// Where.
        vm: VmName,
        /// Whether its program ended well.
        succeeded: bool,
    },
    /// The system recorded a task as finished.
    Finished {
        /// When.
        at: Time,
        /// The attempt that counts.
        run: TaskRun,
    },
    /// The system recorded a task as cancelled or failed for good.
    GivenUp {
        /// When.
        at: Time,
        /// The task.
        task: TaskId,
    },
    /// Operators took an availability zone out or brought it back.
    Zone {
        /// When the change was accepted.
        at: Time,
        /// The availability zone.
        zone: AvailabilityZoneName,
        /// Whether it takes work from now on.
        open: bool,
    },
    /// An agent announced that it leaves.
    Leaving {
        /// When.
        at: Time,
        /// Its VM.
        vm: VmName,
    },
    /// An endpoint began to work on a request.
    Executed {
        /// When.
        at: Time,
        /// The request.
        id: RequestId,
        /// Where.
        vm: VmName,
        /// Whether running it twice does no harm.
        idempotent: bool,
    },
    /// A caller got its answer.
    Answered {
        /// When.
        at: Time,
        /// The caller's request.
        id: RequestId,
        /// What the system said of it.
        verdict: Verdict,
        /// The request that the body names, and whether the body was whole.
        body: Option<(RequestId, bool)>,
    },
    /// A process was asked to stop gracefully while requests were in progress.
    CutOff {
        /// When.
        at: Time,
        /// A request that it cut off.
        id: RequestId,
    },
    /// A configuration was accepted.
    Published {
        /// When.
        at: Time,
        /// Its revision.
        revision: Revision,
    },
    /// A process put a configuration in force.
    InForce {
        /// When.
        at: Time,
        /// The process.
        process: String,
        /// The revision.
        revision: Revision,
    },
}

/// Records shared by everything that takes part in a run.
#[derive(Clone, Debug, Default)]
pub struct History(Arc<Mutex<Vec<Record>>>);

impl History {
    /// An empty history.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Appends a record.
    pub fn add(&self, record: Record) {
        let mut records = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        records.push(record);
    }

    /// All records so far.
    #[must_use]
    pub fn records(&self) -> Vec<Record> {
        let records = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        records.clone()
    }
}

/// How the run ended, which decides what must have happened by then.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HistoryEnd {
    /// The run was stopped somewhere in the middle.
    Interrupted,
    /// The run went on until all work was done.
    Quiescent,
}

/// Every broken invariant, in words; empty if all hold.
#[must_use]
pub fn check(records: &[Record], end: HistoryEnd) -> Vec<String> {
    let mut broken = Vec::new();
    check_capacity(records, &mut broken);
    check_one_place(records, &mut broken);
    check_resumes(records, &mut broken);
    check_finished_once(records, &mut broken);
    check_nothing_lost(records, end, &mut broken);
    check_zones(records, &mut broken);
    check_answers(records, &mut broken);
    check_not_run(records, &mut broken);
    check_at_most_once(records, &mut broken);
    check_leaving(records, &mut broken);
    check_cut_off(records, &mut broken);
    check_config(records, &mut broken);
    broken
}

/// The time-ordered starts and ends of attempts; ends come first at one time,
/// but for attempts that start and end in the same moment.
fn moves(records: &[Record]) -> Vec<(Time, &Record)> {
    let mut moves = Vec::new();
    let mut starts = BTreeSet::new();
    for record in records {
        match record {
            Record::Stopped { at, run, .. } => {
                let rank = if starts.contains(&(*at, run)) { 2 } else { 0 };
                moves.push((*at, rank, record));
            }
            Record::Started { at, run, .. } => {
                starts.insert((*at, run));
                moves.push((*at, 1, record));
            }
            _ => {}
        }
    }
    moves.sort_by_key(|(at, rank, _)| (*at, *rank));
    moves
        .into_iter()
        .map(|(at, _, record)| (at, record))
        .collect()
}

fn check_capacity(records: &[Record], broken: &mut Vec<String>) {
    let mut capacity = BTreeMap::new();
    for record in records {
        if let Record::Vm {
            vm, capacity: held, ..
        } = record
        {
            capacity.insert(vm.clone(), *held);
        }
    }
    let mut held: BTreeMap<&VmName, BTreeMap<&TaskRun, Resources>> = BTreeMap::new();
    for (at, record) in moves(records) {
        match record {
            Record::Started {
                run, vm, reserved, ..
            } => {
                let on_vm = held.entry(vm).or_default();
                on_vm.insert(run, *reserved);
                let sum = on_vm
                    .values()
                    .fold(Resources::NONE, |sum, one| sum.plus(*one));
                let Some(room) = capacity.get(vm) else {
                    continue;
                };
                if !sum.fits(*room) {
                    broken.push(format!("at {at}, {vm} holds {sum}, more than {room}"));
                }
            }
            Record::Stopped { run, vm, .. } => {
                held.entry(vm).or_default().remove(run);
            }
            _ => {}
        }
    }
}

fn check_one_place(records: &[Record], broken: &mut Vec<String>) {
    let mut running: BTreeMap<&TaskId, &TaskRun> = BTreeMap::new();
    let mut started: BTreeSet<&TaskRun> = BTreeSet::new();
    for (at, record) in moves(records) {
        match record {
            Record::Started { run, vm, .. } => {
                if let Some(other) = running.get(&run.task) {
                    broken.push(format!("at {at}, {run} starts on {vm} while {other} runs"));
                }
                if !started.insert(run) {
                    broken.push(format!("at {at}, {run} starts a second time, on {vm}"));
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

/// Attempts of a task start in their order, none after its end was recorded,
/// and no end counts of an attempt that a later one has replaced.
///
/// An attempt that ended well without anybody hearing of it, since its VM was
/// lost or its agent paused past the lease, is rightly followed by another.
fn check_resumes(records: &[Record], broken: &mut Vec<String>) {
    let mut finished: BTreeMap<&TaskId, (Time, &TaskRun)> = BTreeMap::new();
    for record in records {
        if let Record::Finished { at, run } = record {
            finished.entry(&run.task).or_insert((*at, run));
        }
    }
    let mut last: BTreeMap<&TaskId, &TaskRun> = BTreeMap::new();
    for (at, record) in moves(records) {
        let Record::Started { run, .. } = record else {
            continue;
        };
        if let Some(earlier) = last.insert(&run.task, run)
            && earlier.attempt >= run.attempt
        {
            broken.push(format!("at {at}, {run} starts after {earlier}"));
        }
        let Some((recorded, counted)) = finished.get(&run.task) else {
            continue;
        };
        if at >= *recorded {
            broken.push(format!("at {at}, {run} starts after its end was recorded"));
        } else if counted.attempt < run.attempt {
            broken.push(format!("{counted} is recorded after {run} started"));
        }
    }
}

fn check_finished_once(records: &[Record], broken: &mut Vec<String>) {
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
                    broken.push(format!("at {at}, {run} is recorded after {other}"));
                }
                if !ended_well.contains(run) {
                    broken.push(format!("at {at}, {run} is recorded but did not end well"));
                }
            }
            _ => {}
        }
    }
}

fn check_nothing_lost(records: &[Record], end: HistoryEnd, broken: &mut Vec<String>) {
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
        broken.push(format!("{task} was accepted and never ended"));
    }
}

/// Whether `zone` was out at `at` for at least [`PROPAGATION_LIMIT`].
fn out_for_long(records: &[Record], zone: &AvailabilityZoneName, at: Time) -> bool {
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

fn check_zones(records: &[Record], broken: &mut Vec<String>) {
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
                if out_for_long(records, zone, *at) {
                    broken.push(format!("at {at}, {run} starts in {zone}, which is out"));
                }
            }
            _ => {}
        }
    }
}

fn check_answers(records: &[Record], broken: &mut Vec<String>) {
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
                broken.push(format!(
                    "at {at}, {id} got the answer of {named}, whole: {whole}"
                ));
            }
            (Verdict::Done, None) => broken.push(format!("at {at}, {id} got an empty answer")),
            _ => {}
        }
    }
}

fn check_not_run(records: &[Record], broken: &mut Vec<String>) {
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
            broken.push(format!("at {at}, {id} is called not run, but it ran"));
        }
    }
}

fn check_at_most_once(records: &[Record], broken: &mut Vec<String>) {
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
            broken.push(format!("at {at}, {id} runs again, on {vm}"));
        }
    }
}

fn check_leaving(records: &[Record], broken: &mut Vec<String>) {
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
            broken.push(format!("at {at}, {what} starts on {vm}, which is leaving"));
        }
    }
}

fn check_cut_off(records: &[Record], broken: &mut Vec<String>) {
    for record in records {
        if let Record::CutOff { at, id } = record {
            broken.push(format!("at {at}, a planned stop cut {id} off"));
        }
    }
}

fn check_config(records: &[Record], broken: &mut Vec<String>) {
    let mut highest: BTreeMap<&str, Revision> = BTreeMap::new();
    let mut published: BTreeMap<Revision, Time> = BTreeMap::new();
    for record in records {
        match record {
            Record::Published { at, revision } if published.insert(*revision, *at).is_some() => {
                broken.push(format!("at {at}, revision {revision} is accepted twice"));
            }
            Record::InForce {
                at,
                process,
                revision,
            } => {
                if let Some(before) = highest.insert(process, *revision)
                    && before > *revision
                {
                    broken.push(format!(
                        "at {at}, {process} goes back from revision {before} to {revision}"
                    ));
                }
            }
            _ => {}
        }
    }
}
