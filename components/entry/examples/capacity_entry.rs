//! Measures an entry that owns one cell, by the number of VMs in the cell: the
//! cost of heartbeats, of running tasks and of task starts, and the calls to
//! the store.
//!
//! Without arguments the entry, an in-memory store and simulated VMs run in this
//! process, one size after the other. To measure the entry alone, run it with
//! `--serve SECONDS` in one terminal and the printed command, with `--vms N`, in
//! another.
//! Used by `docs/CAPACITY.md`:
//! `cargo run --release -p entry --example capacity_entry`

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use conf::{
    publish::{ApplyId, ApplyInfo, publish},
    settings::{EntryLimits, EntrySettings, EntryTimings},
};
use entry::daemon::{Entry, EntrySecrets, start};
use fakes::{
    history::History,
    store::{CallCounts, MemStore},
    worker::{FakeWorker, SharedWorker},
};
use kernel::{
    Clock, ObjectSet, Resources,
    object::{AvailabilityZone, Team, WorkerPool},
    secret::Secrets,
};

use store::{KeyRange, keys};

mod common;
#[path = "common/fleet.rs"]
mod fleet;
#[path = "common/job.rs"]
mod job;

use job::{LONG_RUN, OPERATORS_SECRET, SYSTEM_SECRET, submit};

type Failure = Box<dyn std::error::Error>;

const SIZES: [u32; 3] = [50, 200, 800];
/// Tasks on each VM; the target has 117,000 tasks on 4,900 workers.
const TASKS_PER_VM: u32 = 10;
const WARM_UP: Duration = Duration::from_secs(3);
const SPAN: Duration = Duration::from_secs(5);
const START_LIMIT: Duration = Duration::from_secs(30);

fn main() -> Result<(), Failure> {
    smol::block_on(async {
        let serve = common::argument("--serve", 0_u64);
        let unset = SocketAddr::from(([0, 0, 0, 0], 0));
        let other = common::argument("--entry", unset);
        if serve > 0 {
            return serve_alone(Duration::from_secs(serve)).await;
        }
        if other != unset {
            let vms = common::argument("--vms", 200);
            let operators = common::argument("--operators", unset);
            return simulate_vms(other, operators, vms).await;
        }
        measure_all_sizes().await
    })
}

/// Measures entry and VMs in one process, one size after the other.
async fn measure_all_sizes() -> Result<(), Failure> {
    println!("entry, store's stand-in and VMs in one process");
    header();
    let mut idle = Vec::new();
    let mut busy = Vec::new();
    for vms in SIZES {
        let store = MemStore::new();
        let entry = start_entry(&store).await?;
        let secrets = Secrets::parse(SYSTEM_SECRET)?;
        let (counters, running) = fleet::start(entry.system, &secrets, vms, LONG_RUN)?;
        smol::Timer::after(WARM_UP).await;
        idle.push((
            f64::from(vms),
            measure_row(vms, "idle", &counters, Some(&store)).await,
        ));
        measure_starts(entry.operators, vms, &counters, &store).await?;
        let cpu = measure_row(vms, "10 tasks each", &counters, Some(&store)).await;
        busy.push((f64::from(vms), cpu));
        measure_config_change(vms, &counters, &store).await?;
        for vm in running {
            vm.cancel().await;
        }
        entry.stop().await;
    }
    let (base, each) = common::fit_line(&idle);
    println!("idle: {base:.4} + {each:.6} cores for each VM, both ends");
    let (base, each) = common::fit_line(&busy);
    println!("10 tasks each: {base:.4} + {each:.6} cores for each VM, both ends");
    Ok(())
}

/// Serves and measures the entry alone; another process simulates the VMs.
async fn serve_alone(span: Duration) -> Result<(), Failure> {
    let store = MemStore::new();
    let entry = start_entry(&store).await?;
    println!(
        "run: capacity_entry --entry {} --operators {}",
        entry.system, entry.operators
    );
    println!(
        "{:>10} {:>10} {:>10} {:>10} {:>12}",
        "second", "cores", "MiB", "txn/s", "calls/s"
    );
    let worker = FakeWorker::new(
        "medina-vm-0000".parse()?,
        fleet::CAPACITY,
        History::default(),
    );
    let listener = smol::net::TcpListener::bind("127.0.0.1:0").await?;
    println!(
        "run: capacity_agent --entry {} --operators {} --worker {}",
        entry.system,
        entry.operators,
        listener.local_addr()?
    );
    let worker = SharedWorker::new(worker, Clock::start());
    smol::spawn(fakes::worker::serve(listener, worker)).detach();
    let begin = Instant::now();
    while begin.elapsed() < span {
        let meter = common::Meter::start();
        let before = store.counts();
        smol::Timer::after(SPAN).await;
        let counts = store.counts();
        let wall = meter.wall();
        println!(
            "{:>10} {:>10.4} {:>10.1} {:>10.2} {:>12.2}",
            begin.elapsed().as_secs(),
            meter.cpu() / wall,
            common::resident_mib(),
            (counts.txn - before.txn) as f64 / wall,
            (counts.total_calls() - before.total_calls()) as f64 / wall,
        );
    }
    entry.stop().await;
    Ok(())
}

/// Simulates the VMs alone, against an entry in another process.
async fn simulate_vms(entry: SocketAddr, operators: SocketAddr, vms: u32) -> Result<(), Failure> {
    let secrets = Secrets::parse(SYSTEM_SECRET)?;
    header();
    let (counters, running) = fleet::start(entry, &secrets, vms, LONG_RUN)?;
    smol::Timer::after(WARM_UP).await;
    measure_row(vms, "idle", &counters, None).await;
    submit(operators, "statements", vms * TASKS_PER_VM).await?;
    wait_for_starts(&counters, u64::from(vms * TASKS_PER_VM)).await;
    measure_row(vms, "10 tasks each", &counters, None).await;
    measure_row(vms, "10 tasks each", &counters, None).await;
    drop(running);
    Ok(())
}

async fn start_entry(store: &MemStore) -> Result<Entry, Failure> {
    let apply = ApplyInfo {
        id: ApplyId("measuring".to_owned()),
        who: "measuring".to_owned(),
        requested_at: Clock::start().now(),
    };
    publish(store, &objects()?, &apply, None).await?;
    let free = SocketAddr::from(([127, 0, 0, 1], 0));
    let settings = EntrySettings {
        name: "medina-entry".parse()?,
        zone: "medina".parse()?,
        system: free,
        callers: free,
        operators: free,
        store: vec![free],
        secret_file: "unused".into(),
        operator_secret_file: "unused".into(),
        timings: EntryTimings::default(),
        limits: EntryLimits::default(),
    };
    let secrets = EntrySecrets {
        system: Secrets::parse(SYSTEM_SECRET)?,
        operators: Secrets::parse(OPERATORS_SECRET)?,
    };
    Ok(start(settings, Arc::new(store.clone()), secrets).await?)
}

fn objects() -> Result<ObjectSet, Failure> {
    let mut objects = ObjectSet::default();
    let team = Team {
        weight: 10,
        parent: None,
        quota: Resources::new(1_000_000_000, 1_000_000_000, 10_000),
    };
    objects.teams.insert("royalties".parse()?, team);
    let zone = AvailabilityZone::default();
    objects.zones.insert("medina".parse()?, zone);
    let pool = WorkerPool {
        zones: vec!["medina".parse()?],
        capacity: fleet::CAPACITY,
        workers: 1000,
    };
    objects.pools.insert("workers".parse()?, pool);
    Ok(objects)
}

fn header() {
    println!(
        "{:>6} {:<15} {:>12} {:>10} {:>12} {:>8} {:>9} {:>10} {:>9}",
        "VMs",
        "state",
        "heartbeats/s",
        "cores",
        "us/heartbeat",
        "MiB",
        "txn/s",
        "range/s",
        "failed"
    );
}

/// Measures one span, prints a row and returns the number of cores used.
async fn measure_row(
    vms: u32,
    state: &str,
    counters: &fleet::FleetCounters,
    store: Option<&MemStore>,
) -> f64 {
    let counts = || store.map(MemStore::counts).unwrap_or_default();
    let (heartbeats, before) = (counters.heartbeat_count(), counts());
    let meter = common::Meter::start();
    smol::Timer::after(SPAN).await;
    let (cpu, wall) = (meter.cpu(), meter.wall());
    let after = counts();
    let heartbeats = (counters.heartbeat_count() - heartbeats) as f64;
    let failed = counters.failures.load(std::sync::atomic::Ordering::Relaxed);
    let rate = |of: fn(&CallCounts) -> u64| (of(&after) - of(&before)) as f64 / wall;
    println!(
        "{vms:>6} {state:<15} {:>12.1} {:>10.4} {:>12.1} {:>8.1} {:>9.2} {:>10.2} {failed:>9}",
        heartbeats / wall,
        cpu / wall,
        cpu * 1e6 / heartbeats.max(1.0),
        common::resident_mib(),
        rate(|counts| counts.txn),
        rate(|counts| counts.range),
    );
    cpu / wall
}

/// Submits a job with ten tasks for each VM and prints how fast they start.
async fn measure_starts(
    operators: SocketAddr,
    vms: u32,
    counters: &fleet::FleetCounters,
    store: &MemStore,
) -> Result<(), Failure> {
    let tasks = vms * TASKS_PER_VM;
    let before = store.counts();
    let meter = common::Meter::start();
    submit(operators, "statements", tasks).await?;
    wait_for_starts(counters, u64::from(tasks)).await;
    let wall = meter.wall();
    let txns = store.counts().txn - before.txn;
    let kept = store.peek(&KeyRange::prefix(keys::CELLS));
    let bytes: usize = kept.iter().map(|kv| kv.value.len()).sum();
    let largest = kept.iter().map(|kv| kv.value.len()).max().unwrap_or(0);
    println!(
        "{vms:>6} starts: {} of {tasks} in {wall:.1} s, {:.0}/s, {:.0} us cpu each, {txns} transactions, {bytes} bytes kept, largest value {largest}",
        counters.started(),
        counters.started() as f64 / wall,
        meter.cpu() * 1e6 / counters.started().max(1) as f64,
    );
    Ok(())
}

/// Publishes a change and prints how long it takes to reach every VM.
async fn measure_config_change(
    vms: u32,
    counters: &fleet::FleetCounters,
    store: &MemStore,
) -> Result<(), Failure> {
    let applied = || counters.configs.load(std::sync::atomic::Ordering::Relaxed);
    let target = applied() + u64::from(vms);
    let mut objects = objects()?;
    objects
        .zones
        .insert("yoff".parse()?, AvailabilityZone::default());
    let apply = ApplyInfo {
        id: ApplyId("a-change".to_owned()),
        who: "measuring".to_owned(),
        requested_at: Clock::start().now(),
    };
    let begin = Instant::now();
    publish(store, &objects, &apply, None).await?;
    while applied() < target && begin.elapsed() < START_LIMIT {
        smol::Timer::after(Duration::from_millis(10)).await;
    }
    println!(
        "{vms:>6} change of configuration: in force at every VM after {:.2} s; {} waiting watches",
        begin.elapsed().as_secs_f64(),
        store.counts().open_watches,
    );
    Ok(())
}

async fn wait_for_starts(counters: &fleet::FleetCounters, tasks: u64) {
    let begin = Instant::now();
    while counters.started() < tasks && begin.elapsed() < START_LIMIT {
        smol::Timer::after(Duration::from_millis(20)).await;
    }
}
