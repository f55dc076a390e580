//! Cells of entries over a fake store.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use cell::Timing;
use entry::cells::{Cells, ConfigView, Setup};
use fakes::store::MemStore;
use kernel::{
    AvailabilityZoneName, CellName, Clock, EntryName, Epoch, Incarnation, JobName, JobSpec,
    ObjectSet, RackName, Resources, Revision, TaskClass, TaskRun, TaskState, TeamName, Urgency,
    Verdict, VmInfo, VmName, object::Team, secret::Secrets,
};
use proto::messages::{Heartbeat, JobQuery, Order, TaskPhase, TaskReport};
use smol::Task;

/// The timeout for a condition that a test waits for; far longer than it takes.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

type LiveEntries = Arc<Mutex<BTreeSet<EntryName>>>;

fn timing() -> Timing {
    Timing {
        lease: Duration::from_millis(1_000),
        drift_margin: Duration::from_millis(100),
        owner_grace: Duration::from_secs(5),
        group_interval: Duration::from_millis(10),
        ..Timing::default()
    }
}

fn objects() -> Arc<ObjectSet> {
    let team = Team {
        weight: 1,
        quota: Resources::new(u64::MAX, u64::MAX, u32::MAX),
        parent: None,
    };
    Arc::new(ObjectSet {
        teams: BTreeMap::from([(TeamName::new("royalties").unwrap(), team)]),
        ..ObjectSet::default()
    })
}

struct Entry {
    cells: Arc<Cells>,
    _run: Task<()>,
}

fn start_entry(store: &MemStore, name: &str, live: &LiveEntries, clock: Clock) -> Entry {
    let objects = objects();
    let name = EntryName::new(name).unwrap();
    live.lock().unwrap().insert(name.clone());
    let live = live.clone();
    let cells = Cells::new(Setup {
        store: Arc::new(store.clone()),
        entry: name,
        address: "127.0.0.1:1".parse().unwrap(),
        incarnation: Incarnation(1),
        clock,
        timing: timing(),
        ownership_lease: Duration::from_secs(2),
        config: Arc::new(move || ConfigView {
            objects: objects.clone(),
            revision: Revision(1),
            proved_at: Some(clock.now()),
        }),
        live_entries: Arc::new(move || live.lock().unwrap().iter().cloned().collect()),
        secrets: Secrets::parse("a secret of a test\n").unwrap(),
        seed: 7,
    });
    let run = smol::spawn(cells.clone().run());
    Entry { cells, _run: run }
}

/// An agent whose tasks have succeeded by the heartbeat after their start.
struct FakeAgent {
    info: VmInfo,
    sequence: u64,
    epoch: Epoch,
    tasks: BTreeMap<TaskRun, TaskPhase>,
    started: Vec<TaskRun>,
}

impl FakeAgent {
    fn new(vm: &str) -> Self {
        let info = VmInfo {
            vm: VmName::new(vm).unwrap(),
            incarnation: Incarnation(1),
            zone: AvailabilityZoneName::new("plateau").unwrap(),
            rack: RackName::new("rack-1").unwrap(),
            cell: CellName::new("plateau").unwrap(),
            address: "127.0.0.1:1".parse().unwrap(),
            capacity: Resources::new(4_000, 65_536, 0),
            endpoints: Vec::new(),
        };
        Self {
            info,
            sequence: 0,
            epoch: Epoch(0),
            tasks: BTreeMap::new(),
            started: Vec::new(),
        }
    }

    fn send_heartbeat(&mut self, clock: Clock, entries: &[&Entry]) {
        self.sequence += 1;
        let tasks = self
            .tasks
            .iter()
            .map(|(run, phase)| TaskReport {
                run: run.clone(),
                phase: *phase,
                checkpoint: None,
                usage: None,
            })
            .collect();
        let heartbeat = Heartbeat {
            vm: self.info.vm.clone(),
            incarnation: self.info.incarnation,
            sequence: self.sequence,
            info: Some(self.info.clone()),
            epoch: self.epoch,
            revision: Revision(1),
            leaving: false,
            load: Vec::new(),
            tasks_unknown: false,
            tasks,
        };
        for entry in entries {
            let reply = entry.cells.on_heartbeat(&heartbeat, clock.now());
            if reply.epoch < self.epoch {
                continue;
            }
            self.epoch = reply.epoch;
            for run in reply.recorded {
                self.tasks.remove(&run);
            }
            for order in reply.orders {
                if let Order::Start(start) = order {
                    self.started.push(start.run.clone());
                    self.tasks.insert(start.run, TaskPhase::Succeeded);
                }
            }
        }
    }
}

fn job_spec(name: &str, tasks: u32) -> JobSpec {
    JobSpec {
        name: JobName::new(name).unwrap(),
        team: TeamName::new("royalties").unwrap(),
        class: TaskClass::Batch,
        urgency: Urgency::Normal,
        tasks,
        need: Resources::new(1_000, 512, 0),
        expected_run: Duration::from_secs(1),
        finish_by: None,
        service: None,
        program: String::new(),
    }
}

fn finished_tasks(entries: &[&Entry], name: &str) -> u32 {
    let query = JobQuery {
        job: Some(JobName::new(name).unwrap()),
        tasks: false,
    };
    let mut sum = 0;
    for entry in entries {
        for part in smol::block_on(entry.cells.jobs(&query)).jobs {
            for count in part.counts {
                if count.state == TaskState::Finished {
                    sum += count.count;
                }
            }
        }
    }
    sum
}

async fn until(condition: &str, mut is_met: impl FnMut() -> bool) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !is_met() {
        assert!(
            Instant::now() < deadline,
            "timed out waiting for {condition}"
        );
        smol::Timer::after(Duration::from_millis(20)).await;
    }
}

async fn until_owned(entries: &[&Entry]) {
    until("an owner of the cell", || {
        entries
            .iter()
            .any(|entry| !entry.cells.owned_cells().is_empty())
    })
    .await;
}

#[test]
fn a_job_runs_once_despite_lost_replies_and_a_change_of_owner() {
    smol::block_on(async {
        let store = MemStore::new();
        let clock = Clock::start();
        let live = LiveEntries::default();
        let first = start_entry(&store, "entry-1", &live, clock);
        let mut agent = FakeAgent::new("vm-1");
        agent.send_heartbeat(clock, &[&first]);
        until_owned(&[&first]).await;
        store.faults().lose_answers(1);
        let submitted = first.cells.submit_to(submit("night", 20)).await;
        assert_eq!(submitted.verdict, Verdict::Done, "{}", submitted.reason);
        let again = first.cells.submit_to(submit("night", 20)).await;
        assert_eq!(again.verdict, Verdict::Done);
        let other = first.cells.submit_to(submit("night", 21)).await;
        assert_eq!(other.verdict, Verdict::NotRun);

        store.faults().lose_answers_under("hemlockmoor/cell/", 3);
        until("half of the tasks to finish", || {
            agent.send_heartbeat(clock, &[&first]);
            finished_tasks(&[&first], "night") >= 10
        })
        .await;
        let second = start_entry(&store, "entry-2", &live, clock);
        first.cells.stop().await;
        live.lock()
            .unwrap()
            .remove(&EntryName::new("entry-1").unwrap());
        until("all tasks to finish", || {
            agent.send_heartbeat(clock, &[&second]);
            finished_tasks(&[&second], "night") == 20
        })
        .await;
        let unique: BTreeSet<_> = agent.started.iter().collect();
        assert_eq!(unique.len(), agent.started.len(), "no run started twice");
        let tasks: BTreeSet<_> = agent.started.iter().map(|run| &run.task).collect();
        assert_eq!(tasks.len(), 20);
    });
}

#[test]
fn another_entry_acquires_the_cell_of_a_dead_entry() {
    smol::block_on(async {
        let store = MemStore::new();
        let clock = Clock::start();
        let live = LiveEntries::default();
        let first = start_entry(&store, "entry-1", &live, clock);
        let mut agent = FakeAgent::new("vm-1");
        agent.send_heartbeat(clock, &[&first]);
        until_owned(&[&first]).await;
        let second = start_entry(&store, "entry-2", &live, clock);
        let epoch = first.cells.owned_cells()[0].epoch;
        drop(first);
        live.lock()
            .unwrap()
            .remove(&EntryName::new("entry-1").unwrap());
        until("the other entry to own the cell", || {
            !second.cells.owned_cells().is_empty()
        })
        .await;
        assert!(second.cells.owned_cells()[0].epoch > epoch);
    });
}

#[test]
fn an_owner_that_finds_a_later_epoch_steps_down() {
    smol::block_on(async {
        let store = MemStore::new();
        let clock = Clock::start();
        let live = LiveEntries::default();
        let first = start_entry(&store, "entry-1", &live, clock);
        let mut agent = FakeAgent::new("vm-1");
        agent.send_heartbeat(clock, &[&first]);
        until_owned(&[&first]).await;
        // Another process writes a later epoch, as after the lease expired.
        let epoch = first.cells.owned_cells()[0].epoch.0 + 1;
        let cell = CellName::new("plateau").unwrap();
        let key = cell::keys::epoch(&cell);
        let txn = store::Txn {
            ops: vec![store::Op::put(key, epoch.to_string())],
            ..store::Txn::default()
        };
        store::Store::txn(&store, txn).await.unwrap();
        let submitted = first.cells.submit_to(submit("night", 1)).await;
        assert_eq!(submitted.verdict, Verdict::Done);
        until("a later term or no owner", || {
            agent.send_heartbeat(clock, &[&first]);
            first
                .cells
                .owned_cells()
                .first()
                .is_some_and(|owner| owner.epoch.0 > epoch)
                || first.cells.owned_cells().is_empty()
        })
        .await;
        assert!(agent.started.is_empty(), "a task started in the lost term");
    });
}

fn submit(name: &str, tasks: u32) -> proto::messages::Submit {
    proto::messages::Submit {
        cell: CellName::new("plateau").unwrap(),
        spec: job_spec(name, tasks),
    }
}

/// Guards against a cell that nobody can acquire since its owner renews the key.
#[test]
fn a_cell_is_owned_after_the_call_that_hands_it_over_was_lost() {
    smol::block_on(async {
        let store = MemStore::new();
        let clock = Clock::start();
        let live = LiveEntries::default();
        let cell = CellName::new("plateau").unwrap();
        let names = ["entry-1", "entry-2"].map(|name| EntryName::new(name).unwrap());
        let preferred = cell::preferred_owner(&cell, &names).unwrap().as_str();
        let other = if preferred == "entry-1" {
            "entry-2"
        } else {
            "entry-1"
        };
        let first = start_entry(&store, other, &live, clock);
        let mut agent = FakeAgent::new("vm-1");
        agent.send_heartbeat(clock, &[&first]);
        until_owned(&[&first]).await;
        store
            .faults()
            .lose_requests_under(cell::keys::handover(&cell), 1);
        let second = start_entry(&store, preferred, &live, clock);
        until("the first owner to end its term", || {
            agent.send_heartbeat(clock, &[&first, &second]);
            first.cells.owned_cells().is_empty()
        })
        .await;
        until("an owner of the cell", || {
            agent.send_heartbeat(clock, &[&first, &second]);
            !first.cells.owned_cells().is_empty() || !second.cells.owned_cells().is_empty()
        })
        .await;
    });
}

/// Guards against a wait for leases that a handover has shown to be over.
#[test]
fn a_read_that_fails_once_does_not_drop_the_handover() {
    smol::block_on(async {
        let store = MemStore::new();
        let clock = Clock::start();
        let live = LiveEntries::default();
        let first = start_entry(&store, "entry-1", &live, clock);
        let mut agent = FakeAgent::new("vm-1");
        agent.send_heartbeat(clock, &[&first]);
        until_owned(&[&first]).await;
        let epoch = first.cells.owned_cells()[0].epoch;
        first.cells.stop().await;
        live.lock()
            .unwrap()
            .remove(&EntryName::new("entry-1").unwrap());
        let cell = CellName::new("plateau").unwrap();
        store
            .faults()
            .fail_reads_under(format!("hemlockmoor/cell/{cell}"));
        let second = start_entry(&store, "entry-2", &live, clock);
        let acquired = || {
            store.peek(&store::KeyRange::one(cell::keys::epoch(&cell)))[0].value
                != epoch.0.to_string().into_bytes()
        };
        until("a later term", acquired).await;
        store.faults().clear();
        until_owned(&[&second]).await;
        let epoch_now = second.cells.owned_cells()[0].epoch;
        assert_eq!(epoch_now.0, epoch.0 + 1, "an epoch between has no handover");
    });
}
