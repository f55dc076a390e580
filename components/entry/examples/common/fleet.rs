//! Agents without a worker: real heartbeats, pretended tasks.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use kernel::{
    Clock, Epoch, Incarnation, Resources, Revision, TaskRun, Time, VmInfo, secret::Secrets,
};
use proto::{
    Peer,
    messages::{Heartbeat, HeartbeatReply, Order, TaskPhase, TaskReport, Usage},
    methods::HeartbeatCall,
};

const INTERVAL: Duration = Duration::from_secs(1);
const TIMEOUT: Duration = Duration::from_secs(5);
const VMS_PER_RACK: u32 = 3;

/// What each pretended VM holds.
pub(crate) const CAPACITY: Resources = Resources::new(25_000, 64_000, 2);

/// What a fleet has counted.
#[derive(Clone, Default)]
pub(crate) struct Tally {
    pub(crate) heartbeats: Arc<AtomicU64>,
    pub(crate) failures: Arc<AtomicU64>,
    pub(crate) starts: Arc<AtomicU64>,
    pub(crate) ended: Arc<AtomicU64>,
    pub(crate) configs: Arc<AtomicU64>,
}

impl Tally {
    pub(crate) fn beats(&self) -> u64 {
        self.heartbeats.load(Ordering::Relaxed)
    }

    pub(crate) fn started(&self) -> u64 {
        self.starts.load(Ordering::Relaxed)
    }
}

struct Vm {
    info: VmInfo,
    clock: Clock,
    run_for: Duration,
    held: BTreeMap<TaskRun, Held>,
    epoch: Epoch,
    revision: Revision,
    tally: Tally,
}

struct Held {
    ends: Time,
    phase: TaskPhase,
}

/// Starts `count` VMs of one cell, their heartbeats spread over the second.
///
/// The tasks that they are told to run end well after `run_for`.
pub(crate) fn start(
    entry: SocketAddr,
    secrets: &Secrets,
    count: u32,
    run_for: Duration,
) -> Result<(Tally, Vec<smol::Task<()>>), kernel::NameError> {
    let tally = Tally::default();
    let clock = Clock::start();
    let mut running = Vec::new();
    for i in 0..count {
        let vm = Vm {
            info: describe(i, clock)?,
            clock,
            run_for,
            held: BTreeMap::new(),
            epoch: Epoch(0),
            revision: Revision(0),
            tally: tally.clone(),
        };
        let peer = Peer::new(entry, secrets.clone());
        running.push(smol::spawn(async move {
            smol::Timer::after(INTERVAL * i / count.max(1)).await;
            vm.run(peer).await;
        }));
    }
    Ok((tally, running))
}

fn describe(i: u32, clock: Clock) -> Result<VmInfo, kernel::NameError> {
    Ok(VmInfo {
        vm: format!("medina-vm-{i:04}").parse()?,
        incarnation: Incarnation(clock.now().0),
        zone: "medina".parse()?,
        rack: format!("medina-rack-{:03}", i / VMS_PER_RACK).parse()?,
        cell: "medina".parse()?,
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        capacity: CAPACITY,
        endpoints: Vec::new(),
    })
}

impl Vm {
    async fn run(mut self, peer: Peer) {
        let mut need_info = true;
        let mut sequence = 0;
        let mut ticks = smol::Timer::interval(INTERVAL);
        loop {
            sequence += 1;
            let beat = self.compose(sequence, need_info);
            match peer.call::<HeartbeatCall>(beat, TIMEOUT).await {
                Ok(reply) => {
                    self.tally.heartbeats.fetch_add(1, Ordering::Relaxed);
                    need_info = reply.need_info;
                    self.obey(reply);
                }
                Err(_) => {
                    self.tally.failures.fetch_add(1, Ordering::Relaxed);
                    need_info = true;
                }
            }
            futures_lite::StreamExt::next(&mut ticks).await;
        }
    }

    fn compose(&mut self, sequence: u64, need_info: bool) -> Heartbeat {
        let now = self.clock.now();
        let mut tasks = Vec::new();
        for (run, held) in &mut self.held {
            if held.phase == TaskPhase::Running && held.ends.passed(now) {
                held.phase = TaskPhase::Succeeded;
                self.tally.ended.fetch_add(1, Ordering::Relaxed);
            }
            tasks.push(TaskReport {
                run: run.clone(),
                phase: held.phase,
                checkpoint: None,
                usage: Some(Usage {
                    used: Resources::new(900, 2000, 0),
                    age_millis: 15_000,
                }),
            });
        }
        Heartbeat {
            vm: self.info.vm.clone(),
            incarnation: self.info.incarnation,
            sequence,
            info: need_info.then(|| self.info.clone()),
            epoch: self.epoch,
            revision: self.revision,
            leaving: false,
            load: Vec::new(),
            tasks_unknown: false,
            tasks,
        }
    }

    fn obey(&mut self, reply: HeartbeatReply) {
        let now = self.clock.now();
        self.epoch = self.epoch.max(reply.epoch);
        if let Some(update) = reply.config {
            self.revision = update.revision;
            self.tally.configs.fetch_add(1, Ordering::Relaxed);
        }
        for run in reply.recorded {
            self.held.remove(&run);
        }
        for order in reply.orders {
            match order {
                Order::Start(start) if !self.held.contains_key(&start.run) => {
                    self.tally.starts.fetch_add(1, Ordering::Relaxed);
                    let ends = now + self.run_for;
                    let phase = TaskPhase::Running;
                    self.held.insert(start.run, Held { ends, phase });
                }
                Order::Evict(run) | Order::Stop(run) => {
                    if let Some(held) = self.held.get_mut(&run) {
                        held.phase = TaskPhase::Stopped;
                    }
                }
                _ => {}
            }
        }
    }
}
