//! Measures the throughput of one owner of a cell on one core, and the size of its
//! journal.
//!
//! Run it with `cargo run --release -p cell --example journal -- [WORKERS]`. Each
//! worker sends one heartbeat per second. With each heartbeat a number of its tasks
//! end and others start. Time is virtual; only processor time is measured. The
//! program ends after the last row.

use std::{
    collections::BTreeMap,
    error::Error,
    sync::Arc,
    time::{Duration, Instant},
};

use cell::{Action, Event, Group, InboxItem, Owner, Ownership, Recovered, TaskRange, Timing};
use kernel::{
    AvailabilityZoneName, CellName, Epoch, Incarnation, JobName, JobSpec, ObjectSet, RackName,
    Resources, Revision, TaskClass, TaskRun, TeamName, Time, Urgency, VmInfo, VmName, object::Team,
};
use proto::messages::{Heartbeat, Order, TaskPhase, TaskReport};

/// Duration of the measured session, in virtual time.
const SESSION: Duration = Duration::from_secs(60);
const STEP: Duration = Duration::from_millis(50);
/// Number of tasks that fit on a worker.
const TASKS_PER_WORKER: u64 = 24;
const TASKS_PER_JOB: u32 = 2_000;
const DEFAULT_WORKERS: u32 = 250;

type Failure = Box<dyn Error>;

#[derive(Default)]
struct Counts {
    heartbeats: u64,
    starts: u64,
    groups: u64,
    largest_group: usize,
    journal_bytes: u64,
    snapshots: u64,
    snapshot_bytes: u64,
    spent: Duration,
}

struct Worker {
    info: VmInfo,
    sequence: u64,
    running: Vec<TaskRun>,
    /// Ended attempts whose end the owner has not confirmed as recorded.
    ended: Vec<TaskRun>,
}

struct Session {
    now: Time,
    owner: Owner,
    objects: Arc<ObjectSet>,
    workers: Vec<Worker>,
    jobs: u32,
    counts: Counts,
}

fn main() -> Result<(), Failure> {
    let workers = match std::env::args().nth(1) {
        Some(text) => text.parse()?,
        None => DEFAULT_WORKERS,
    };
    println!(
        "throughput by the number of tasks that end with each heartbeat ({workers} workers, one core):"
    );
    println!(
        "| ended tasks per heartbeat | heartbeats/s | starts/s | µs per heartbeat | starts/s in virtual time \
         | journal bytes per start | groups/s | largest group, bytes | snapshots, bytes/s |"
    );
    println!("|---|---|---|---|---|---|---|---|---|");
    for ends in [0, 1, 4, TASKS_PER_WORKER as usize] {
        let counts = measure(workers, ends)?;
        print_row(ends, &counts);
    }
    Ok(())
}

fn print_row(ends: usize, counts: &Counts) {
    let spent = counts.spent.as_secs_f64();
    let session = SESSION.as_secs_f64();
    let starts = counts.starts.max(1) as f64;
    println!(
        "| {ends} | {:.0} | {:.0} | {:.1} | {:.0} | {:.0} | {:.1} | {} | {:.0} |",
        counts.heartbeats as f64 / spent,
        counts.starts as f64 / spent,
        spent * 1e6 / counts.heartbeats as f64,
        counts.starts as f64 / session,
        counts.journal_bytes as f64 / starts,
        counts.groups as f64 / session,
        counts.largest_group,
        counts.snapshot_bytes as f64 / session,
    );
}

fn measure(workers: u32, ends: usize) -> Result<Counts, Failure> {
    let mut session = Session::new(workers)?;
    session.warm_up()?;
    session.counts = Counts::default();
    let until = session.now + SESSION;
    while session.now < until {
        session.step(ends)?;
    }
    Ok(session.counts)
}

impl Session {
    fn new(workers: u32) -> Result<Self, Failure> {
        let now = Time::from_secs(1_000);
        let ownership = Ownership {
            cell: CellName::new("cell")?,
            epoch: Epoch(1),
            acquired_at: now,
            earlier_leases_end: now,
            recovered: Recovered::default(),
        };
        let mut all = Vec::new();
        for number in 0..workers {
            all.push(Worker {
                info: info(number)?,
                sequence: 0,
                running: Vec::new(),
                ended: Vec::new(),
            });
        }
        Ok(Self {
            now,
            owner: Owner::new(ownership, Timing::default(), 7),
            objects: Arc::new(objects()?),
            workers: all,
            jobs: 0,
            counts: Counts::default(),
        })
    }

    /// Registers all workers and fills them with tasks.
    fn warm_up(&mut self) -> Result<(), Failure> {
        for _ in 0..20 {
            self.submit_if_queue_short()?;
            for _ in 0..20 {
                self.step(0)?;
            }
        }
        Ok(())
    }

    /// Advances time by one step and sends that step's share of the heartbeats.
    fn step(&mut self, ends: usize) -> Result<(), Failure> {
        self.now = self.now + STEP;
        self.submit_if_queue_short()?;
        self.handle(Event::OwnershipProved(self.now));
        self.handle(Event::Config {
            objects: self.objects.clone(),
            revision: Revision(1),
            proved_at: Some(self.now),
        });
        self.handle(Event::Tick);
        let slots = Duration::from_secs(1).as_millis() / STEP.as_millis();
        let slot = u128::from(self.now.as_millis()) / STEP.as_millis() % slots;
        for index in 0..self.workers.len() {
            if index as u128 % slots == slot {
                self.heartbeat(index, ends);
            }
        }
        Ok(())
    }

    fn submit_if_queue_short(&mut self) -> Result<(), Failure> {
        if self.owner.cell_capacity().waiting >= 64 {
            return Ok(());
        }
        self.jobs += 1;
        let spec = job(self.jobs)?;
        let item = InboxItem::Job {
            part: TaskRange::whole(&spec),
            spec,
            at: self.now,
        };
        self.handle(Event::Inbox(vec![(format!("inbox/{}", self.jobs), item)]));
        Ok(())
    }

    fn heartbeat(&mut self, index: usize, ends: usize) {
        let worker = &mut self.workers[index];
        worker.sequence += 1;
        let ends = ends.min(worker.running.len());
        worker.ended.extend(worker.running.drain(..ends));
        let mut reports = Vec::new();
        for run in &worker.running {
            reports.push(report(run.clone(), TaskPhase::Running));
        }
        for run in &worker.ended {
            reports.push(report(run.clone(), TaskPhase::Succeeded));
        }
        let beat = Heartbeat {
            vm: worker.info.vm.clone(),
            incarnation: worker.info.incarnation,
            sequence: worker.sequence,
            info: (worker.sequence == 1).then(|| worker.info.clone()),
            epoch: Epoch(1),
            revision: Revision(1),
            leaving: false,
            load: Vec::new(),
            tasks_unknown: false,
            tasks: reports,
        };
        self.counts.heartbeats += 1;
        self.handle_heartbeat(index, beat);
    }

    fn handle_heartbeat(&mut self, index: usize, beat: Heartbeat) {
        for action in self.handle_timed(Event::Heartbeat(Box::new(beat))) {
            let Action::Answer(answer) = action else {
                self.count_group(action);
                continue;
            };
            let worker = &mut self.workers[index];
            worker.ended.retain(|run| !answer.recorded.contains(run));
            for order in answer.orders {
                let Order::Start(start) = order else {
                    continue;
                };
                worker.running.push(start.run);
                self.counts.starts += 1;
            }
        }
    }

    fn handle(&mut self, event: Event) {
        for action in self.handle_timed(event) {
            self.count_group(action);
        }
    }

    fn handle_timed(&mut self, event: Event) -> Vec<Action> {
        let started = Instant::now();
        let actions = self.owner.handle(self.now, event);
        self.counts.spent += started.elapsed();
        actions
    }

    /// Counts a group and makes it durable immediately; its serialization is part of
    /// the measured time.
    fn count_group(&mut self, action: Action) {
        let Action::Commit { group, snapshot } = action else {
            return;
        };
        let started = Instant::now();
        let bytes = bytes_of(&group);
        self.counts.spent += started.elapsed();
        self.counts.groups += 1;
        self.counts.journal_bytes += bytes as u64;
        self.counts.largest_group = self.counts.largest_group.max(bytes);
        for chunk in snapshot.iter().flatten() {
            self.counts.snapshot_bytes += chunk.len() as u64;
        }
        self.counts.snapshots += u64::from(snapshot.is_some());
        self.handle(Event::Committed(self.now));
    }
}

fn bytes_of(group: &Group) -> usize {
    serde_json::to_vec(group).map_or(0, |value| value.len())
}

fn report(run: TaskRun, phase: TaskPhase) -> TaskReport {
    TaskReport {
        run,
        phase,
        checkpoint: None,
        usage: None,
    }
}

fn info(number: u32) -> Result<VmInfo, Failure> {
    Ok(VmInfo {
        vm: VmName::new(format!("vm-{number}"))?,
        incarnation: Incarnation(1),
        zone: AvailabilityZoneName::new("plateau")?,
        rack: RackName::new(format!("rack-{}", number / 20))?,
        cell: CellName::new("cell")?,
        address: "127.0.0.1:1".parse()?,
        capacity: Resources::new(TASKS_PER_WORKER * 1_000, TASKS_PER_WORKER * 2_048, 0),
        endpoints: Vec::new(),
    })
}

fn job(number: u32) -> Result<JobSpec, Failure> {
    Ok(JobSpec {
        name: JobName::new(format!("job-{number}"))?,
        team: TeamName::new(format!("team-{}", number % 20))?,
        class: TaskClass::Batch,
        urgency: Urgency::Normal,
        tasks: TASKS_PER_JOB,
        need: Resources::new(1_000, 2_048, 0),
        expected_run: Duration::from_secs(60),
        finish_by: None,
        service: None,
        program: "statement".to_owned(),
    })
}

fn objects() -> Result<ObjectSet, Failure> {
    let mut teams = BTreeMap::new();
    for number in 0..20 {
        let team = Team {
            parent: None,
            weight: 1,
            quota: Resources::new(u64::MAX, u64::MAX, u32::MAX),
        };
        teams.insert(TeamName::new(format!("team-{number}"))?, team);
    }
    Ok(ObjectSet {
        teams,
        ..ObjectSet::default()
    })
}
