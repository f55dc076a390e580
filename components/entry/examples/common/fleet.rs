//! Simulated agents that send real heartbeats and have no worker for their tasks.

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

/// Capacity of each simulated VM.
pub(crate) const CAPACITY: Resources = Resources::new(25_000, 64_000, 2);

/// Counters of all simulated VMs.
#[derive(Clone, Default)]
pub(crate) struct FleetCounters {
    pub(crate) heartbeats: Arc<AtomicU64>,
    pub(crate) failures: Arc<AtomicU64>,
    pub(crate) starts: Arc<AtomicU64>,
    pub(crate) ended: Arc<AtomicU64>,
    pub(crate) configs: Arc<AtomicU64>,
}

impl FleetCounters {
    pub(crate) fn heartbeat_count(&self) -> u64 {
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
    active_tasks: BTreeMap<TaskRun, SimulatedTask>,
    epoch: Epoch,
    revision: Revision,
    counters: FleetCounters,
}

struct SimulatedTask {
    ends: Time,
    phase: TaskPhase,
}

/// Starts `count` VMs of one cell, with their heartbeats spread over the second.
///
/// Their tasks succeed after `run_for`.
pub(crate) fn start(
    entry: SocketAddr,
    secrets: &Secrets,
    count: u32,
    run_for: Duration,
) -> Result<(FleetCounters, Vec<smol::Task<()>>), kernel::NameError> {
    let counters = FleetCounters::default();
    let clock = Clock::start();
    let mut running = Vec::new();
    for i in 0..count {
        let vm = Vm {
            info: vm_info(i, clock)?,
            clock,
            run_for,
            active_tasks: BTreeMap::new(),
            epoch: Epoch(0),
            revision: Revision(0),
            counters: counters.clone(),
        };
        let peer = Peer::new(entry, secrets.clone());
        running.push(smol::spawn(async move {
            smol::Timer::after(INTERVAL * i / count.max(1)).await;
            vm.run(peer).await;
        }));
    }
    Ok((counters, running))
}

fn vm_info(i: u32, clock: Clock) -> Result<VmInfo, kernel::NameError> {
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
            let heartbeat = self.compose(sequence, need_info);
            match peer.call::<HeartbeatCall>(heartbeat, TIMEOUT).await {
                Ok(reply) => {
                    self.counters.heartbeats.fetch_add(1, Ordering::Relaxed);
                    need_info = reply.need_info;
                    self.apply_reply(reply);
                }
                Err(_) => {
                    self.counters.failures.fetch_add(1, Ordering::Relaxed);
                    need_info = true;
                }
            }
            futures_lite::StreamExt::next(&mut ticks).await;
        }
    }

    fn compose(&mut self, sequence: u64, need_info: bool) -> Heartbeat {
        let now = self.clock.now();
        let mut tasks = Vec::new();
        for (run, task) in &mut self.active_tasks {
            if task.phase == TaskPhase::Running && task.ends.passed(now) {
                task.phase = TaskPhase::Succeeded;
                self.counters.ended.fetch_add(1, Ordering::Relaxed);
            }
            tasks.push(TaskReport {
                run: run.clone(),
                phase: task.phase,
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

    fn apply_reply(&mut self, reply: HeartbeatReply) {
        let now = self.clock.now();
        self.epoch = self.epoch.max(reply.epoch);
        if let Some(update) = reply.config {
            self.revision = update.revision;
            self.counters.configs.fetch_add(1, Ordering::Relaxed);
        }
        for run in reply.recorded {
            self.active_tasks.remove(&run);
        }
        for order in reply.orders {
            match order {
                Order::Start(start) if !self.active_tasks.contains_key(&start.run) => {
                    self.counters.starts.fetch_add(1, Ordering::Relaxed);
                    let ends = now + self.run_for;
                    let phase = TaskPhase::Running;
                    self.active_tasks
                        .insert(start.run, SimulatedTask { ends, phase });
                }
                Order::Evict(run) | Order::Stop(run) => {
                    if let Some(task) = self.active_tasks.get_mut(&run) {
                        task.phase = TaskPhase::Stopped;
                    }
                }
                _ => {}
            }
        }
    }
}
