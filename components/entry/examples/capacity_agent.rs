//! Measures an agent alone in its process, idle and with running tasks, against the
//! entry and worker of another process.
//!
//! Run `capacity_entry --serve SECONDS` in one terminal and the printed command in
//! another. Used by `docs/CAPACITY.md`:
//! `cargo run --release -p entry --example capacity_agent -- --entry A --operators B --worker C`

use std::{net::SocketAddr, time::Duration};

use conf::settings::AgentSettings;
use kernel::{Resources, secret::Secrets};

mod common;
#[path = "common/job.rs"]
mod job;

use job::{SYSTEM_SECRET, submit};

type Failure = Box<dyn std::error::Error>;

const WARM_UP: Duration = Duration::from_secs(4);
const SPAN: Duration = Duration::from_secs(10);
const TASKS: [u32; 3] = [1, 9, 15];
const CAPACITY: Resources = Resources::new(25_000, 64_000, 2);

fn main() -> Result<(), Failure> {
    smol::block_on(async {
        let unset = SocketAddr::from(([0, 0, 0, 0], 0));
        let entry = common::argument("--entry", unset);
        let operators = common::argument("--operators", unset);
        let worker = common::argument("--worker", unset);
        if [entry, operators, worker].contains(&unset) {
            return Err("--entry, --operators and --worker are needed".into());
        }
        let settings = settings(entry, worker)?;
        let agent = agent::daemon::start(settings, Secrets::parse(SYSTEM_SECRET)?).await?;
        println!("{:>6} {:>12} {:>8}", "tasks", "% of a core", "MiB");
        let mut running_tasks = 0;
        smol::Timer::after(WARM_UP).await;
        measure_row(running_tasks).await;
        for added_tasks in TASKS {
            submit(operators, &format!("statements-{added_tasks}"), added_tasks).await?;
            running_tasks += added_tasks;
            smol::Timer::after(WARM_UP).await;
            measure_row(running_tasks).await;
        }
        drop(agent);
        Ok(())
    })
}

async fn measure_row(tasks: u32) {
    let meter = common::Meter::start();
    smol::Timer::after(SPAN).await;
    let share = meter.cpu() / meter.wall() * 100.0;
    println!("{tasks:>6} {share:>12.2} {:>8.1}", common::resident_mib());
}

fn settings(entry: SocketAddr, worker: SocketAddr) -> Result<AgentSettings, Failure> {
    let free = SocketAddr::from(([127, 0, 0, 1], 0));
    Ok(AgentSettings {
        vm: "medina-vm-0000".parse()?,
        zone: "medina".parse()?,
        rack: "medina-rack-0".parse()?,
        cell: None,
        system: free,
        health: free,
        entries: vec![entry],
        secret_file: "unused".into(),
        worker: Some(worker),
        capacity: CAPACITY,
        heartbeat_millis: 1000,
        stop_millis: 1000,
        endpoints: Vec::new(),
    })
}
