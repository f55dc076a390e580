//! Measures calls between processes of the system over loopback: calls a second,
//! processor time and bytes on the wire, by the size of a heartbeat.
//!
//! Caller and server run in this process, so the processor time covers both.
//! Used by `docs/CAPACITY.md`:
//! `cargo run --release -p entry --example capacity_calls`

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use kernel::{Attempt, Epoch, Incarnation, Resources, Revision, TaskId, TaskRun, secret::Secrets};
use proto::{
    Peer, Router, RpcError,
    messages::{Heartbeat, HeartbeatReply, Renewal, TaskPhase, TaskReport, Usage},
    methods::HeartbeatCall,
    serve,
};
use smol::net::TcpListener;

mod common;

type Failure = Box<dyn std::error::Error>;

const SPAN: Duration = Duration::from_secs(2);
const TIMEOUT: Duration = Duration::from_secs(5);
const COUNTED_CALLS: u32 = 200;
const CALLERS: u32 = 64;

fn main() -> Result<(), Failure> {
    smol::block_on(async {
        let secrets = Secrets::parse("the-secret-for-measuring")?;
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let router = Router::new().on::<HeartbeatCall, _, _>(reply);
        let serving = serve(listener, router, secrets.clone(), std::future::pending());
        smol::spawn(serving).detach();
        println!(
            "{:<22} {:>12} {:>16} {:>14} {:>14}",
            "heartbeat", "calls/s", "us cpu/call", "bytes up", "bytes down"
        );
        let mut cpu_points = Vec::new();
        for tasks in [0, 1, 10, 25] {
            let (rate, cpu) = measure_calls(address, &secrets, tasks).await?;
            let (up, down) = bytes_per_call(address, &secrets, tasks).await?;
            println!(
                "{:<22} {rate:>12.0} {cpu:>16.1} {up:>14.0} {down:>14.0}",
                format!("{tasks} tasks")
            );
            cpu_points.push((f64::from(tasks), cpu));
        }
        let (base, each) = common::fit_line(&cpu_points);
        println!("processor time of a call: {base:.1} us and {each:.2} us for each task");
        Ok(())
    })
}

async fn reply(req: Heartbeat) -> Result<HeartbeatReply, RpcError> {
    let renewed = req.tasks.iter().map(|task| Renewal {
        run: task.run.clone(),
        lease_millis: 10_000,
    });
    Ok(HeartbeatReply {
        entries: vec![SocketAddr::from(([10, 0, 0, 1], 7000)); 4],
        renewed: renewed.collect(),
        epoch: req.epoch,
        proof_age_millis: Some(400),
        ..HeartbeatReply::default()
    })
}

/// Returns the calls a second and the processor time of one call, in microseconds.
async fn measure_calls(
    address: SocketAddr,
    secrets: &Secrets,
    tasks: u32,
) -> Result<(f64, f64), Failure> {
    let request = heartbeat(tasks)?;
    let meter = common::Meter::start();
    let end = Instant::now() + SPAN;
    let mut callers = Vec::new();
    for _ in 0..CALLERS {
        let peer = Peer::new(address, secrets.clone());
        let request = request.clone();
        callers.push(smol::spawn(async move {
            let mut calls = 0_u64;
            while Instant::now() < end {
                peer.call::<HeartbeatCall>(request.clone(), TIMEOUT).await?;
                calls += 1;
            }
            Ok::<u64, RpcError>(calls)
        }));
    }
    let mut calls = 0;
    for caller in callers {
        calls += caller.await?;
    }
    Ok((
        calls as f64 / meter.wall(),
        meter.cpu() * 1e6 / calls as f64,
    ))
}

/// Returns the bytes of one call on an open connection, up and down, without TCP
/// headers.
async fn bytes_per_call(
    address: SocketAddr,
    secrets: &Secrets,
    tasks: u32,
) -> Result<(f64, f64), Failure> {
    let (through, bytes) = common::relay(address).await?;
    let peer = Peer::new(through, secrets.clone());
    let request = heartbeat(tasks)?;
    peer.call::<HeartbeatCall>(request.clone(), TIMEOUT).await?;
    let up = bytes.up.load(std::sync::atomic::Ordering::Relaxed);
    let down = bytes.down.load(std::sync::atomic::Ordering::Relaxed);
    for _ in 0..COUNTED_CALLS {
        peer.call::<HeartbeatCall>(request.clone(), TIMEOUT).await?;
    }
    let up = bytes.up.load(std::sync::atomic::Ordering::Relaxed) - up;
    let down = bytes.down.load(std::sync::atomic::Ordering::Relaxed) - down;
    let calls = f64::from(COUNTED_CALLS);
    Ok((up as f64 / calls, down as f64 / calls))
}

fn heartbeat(tasks: u32) -> Result<Heartbeat, Failure> {
    let mut reports = Vec::new();
    for index in 0..tasks {
        reports.push(TaskReport {
            run: TaskRun {
                task: TaskId {
                    job: "royalties-2026-w49".parse()?,
                    index,
                },
                attempt: Attempt(1),
            },
            phase: TaskPhase::Running,
            checkpoint: None,
            usage: Some(Usage {
                used: Resources::new(1900, 3800, 0),
                age_millis: 15_000,
            }),
        });
    }
    Ok(Heartbeat {
        vm: "medina-r12-vm07".parse()?,
        incarnation: Incarnation(1_772_402_400_000_000),
        sequence: 123_456,
        info: None,
        epoch: Epoch(7),
        revision: Revision(3100),
        leaving: false,
        load: Vec::new(),
        tasks_unknown: false,
        tasks: reports,
    })
}
