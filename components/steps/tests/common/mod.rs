//! Shared jobs, configurations and simulations for tests.
#![allow(dead_code, reason = "each test file uses a part of it")]

pub(crate) mod fleet;
pub(crate) mod processor;
pub(crate) mod session;
pub(crate) mod simulation;
pub(crate) mod worker;

use std::{sync::Arc, time::Duration};

use kernel::{AvailabilityZoneName, EntryName, JobName, Resources, ServiceName, Time, VmName};
use steps::{
    Config, Job, Queue, Step, TaskKey,
    config::{ConnectionLimits, Service},
    message::{RunKey, WorkerIncarnation, WorkerInfo},
};

pub(crate) fn job_name(text: &str) -> JobName {
    JobName::new(text).unwrap()
}

pub(crate) fn vm(number: usize) -> VmName {
    VmName::new(format!("vm-{number}")).unwrap()
}

pub(crate) fn entry(number: u64) -> EntryName {
    EntryName::new(format!("entry-{number}")).unwrap()
}

pub(crate) fn config() -> Arc<Config> {
    let queue = |name: &str, priority: u32, max_attempts: u32| Queue {
        name: name.into(),
        host: "queues.example".into(),
        path_prefix: format!("/{name}/").into(),
        service: ServiceName::new("pool").unwrap(),
        priority,
        max_attempts,
        slack_factor: 1.5,
        target_latency: Duration::from_millis(250),
        approval: None,
    };
    Arc::new(Config {
        version: 1,
        queues: vec![
            queue("quick", 0, 3),
            queue("bulk", 2, 4),
            queue("rival", 0, 3),
        ],
        services: vec![Service {
            name: ServiceName::new("pool").unwrap(),
            standby: false,
        }],
        limits: ConnectionLimits {
            max_head_bytes: 16_384,
            max_body_bytes: 262_144,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        },
    })
}

/// A step whose tasks each need one core.
pub(crate) fn step(count: u32, after: &[u16]) -> Step {
    Step {
        count,
        need: Resources::new(1_000, 1_000, 0),
        estimate_millis: 300,
        after: after.to_vec(),
        ..Step::default()
    }
}

pub(crate) fn job(id: &str, queue: &str, steps: Vec<Step>) -> Arc<Job> {
    Arc::new(Job {
        name: job_name(id),
        queue: queue.into(),
        accepted_by: None,
        spec: "spec".into(),
        steps,
        schedule: None,
        accepted: Time::ZERO,
    })
}

pub(crate) fn run(id: &str, step: u16, index: u32, run: u64) -> RunKey {
    let task = TaskKey {
        job: job_name(id),
        occurrence: 0,
        step,
        index,
    };
    RunKey { task, run }
}

pub(crate) fn worker_info(worker: &str, started_at: u64) -> WorkerInfo {
    WorkerInfo {
        incarnation: WorkerIncarnation {
            worker: worker.into(),
            started_at,
        },
        service: ServiceName::new("pool").unwrap(),
        zone: AvailabilityZoneName::new("north").unwrap(),
        labels: vec!["a".into(), "rack-1".into()],
        capacity: Resources::new(4_000, 16_000, 0),
        draining: false,
        cold_until_millis: None,
        drains_until_millis: None,
    }
}
