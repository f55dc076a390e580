//! Measures the sizes of the system's messages and the cost of encoding and decoding
//! them.
//!
//! Used by `docs/CAPACITY.md`:
//! `cargo run --release -p entry --example capacity_messages`

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use kernel::{
    AccountPart, Amount, Attempt, Checkpoint, EndpointInfo, EndpointLoad, Epoch, EventKind,
    Incarnation, ObjectSet, Resources, Revision, Span, Sum, SumKey, TaskId, TaskRun, Time, VmInfo,
    object::{Objective, Service, Team},
};
use proto::messages::{
    ConfigUpdate, Exchange, Heartbeat, HeartbeatReply, Renewal, TaskPhase, TaskReport, Usage,
    VmSummary,
};
use serde::{Serialize, de::DeserializeOwned};

mod common;

const SPAN: Duration = Duration::from_millis(200);

fn main() {
    println!(
        "{:<42} {:>9} {:>11} {:>11}",
        "message", "bytes", "encode us", "decode us"
    );
    for tasks in [0, 1, 10, 25] {
        measure_row(&format!("heartbeat, {tasks} tasks"), &heartbeat(tasks));
    }
    for tasks in [0, 1, 10, 25] {
        measure_row(&format!("heartbeat reply, {tasks} renewals"), &reply(tasks));
    }
    for vms in [10, 100, 1000] {
        measure_row(&format!("exchange, {vms} VMs"), &exchange(vms));
    }
    for teams in [1, 10, 100, 780] {
        let update = ConfigUpdate {
            revision: Revision(1),
            objects: objects(teams),
        };
        measure_row(
            &format!("configuration, {teams} teams and services"),
            &update,
        );
    }
    for sums in [10, 100, 1000] {
        measure_row(&format!("part of accounts, {sums} sums"), &part(sums));
    }
}

fn measure_row<T: Serialize + DeserializeOwned>(name: &str, message: &T) {
    let Ok(bytes) = rmp_serde::to_vec_named(message) else {
        println!("{name:<42} can't be encoded");
        return;
    };
    let encode = common::micros_each(SPAN, || {
        std::hint::black_box(rmp_serde::to_vec_named(message).is_ok());
    });
    let decode = common::micros_each(SPAN, || {
        std::hint::black_box(rmp_serde::from_slice::<T>(&bytes).is_ok());
    });
    println!(
        "{name:<42} {:>9} {encode:>11.2} {decode:>11.2}",
        bytes.len()
    );
}

fn parse_name<T: std::str::FromStr>(text: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    text.parse()
        .unwrap_or_else(|error| panic!("{text}: {error:?}"))
}

fn run(index: u32) -> TaskRun {
    TaskRun {
        task: TaskId {
            job: parse_name("royalties-2026-w49"),
            index,
        },
        attempt: Attempt(1),
    }
}

fn load() -> Vec<EndpointLoad> {
    vec![EndpointLoad {
        service: parse_name("directory"),
        in_flight: 5,
        queued: 1,
        latency_micros: 4200,
    }]
}

fn heartbeat(tasks: u32) -> Heartbeat {
    let mut reports = Vec::new();
    for index in 0..tasks {
        reports.push(TaskReport {
            run: run(index),
            phase: TaskPhase::Running,
            checkpoint: Some(Checkpoint("step-000123".to_owned())),
            usage: Some(Usage {
                used: Resources::new(1900, 3800, 0),
                age_millis: 15_000,
            }),
        });
    }
    Heartbeat {
        vm: parse_name("medina-r12-vm07"),
        incarnation: Incarnation(1_772_402_400_000_000),
        sequence: 123_456,
        info: None,
        epoch: Epoch(7),
        revision: Revision(3100),
        leaving: false,
        load: load(),
        tasks_unknown: false,
        tasks: reports,
    }
}

fn reply(renewals: u32) -> HeartbeatReply {
    let entries: Vec<SocketAddr> = (1..=4)
        .map(|i| SocketAddr::from(([10, 0, 0, i], 7000)))
        .collect();
    let renewed = (0..renewals).map(|index| Renewal {
        run: run(index),
        lease_millis: 10_000,
    });
    HeartbeatReply {
        entries,
        renewed: renewed.collect(),
        epoch: Epoch(7),
        proof_age_millis: Some(400),
        ..HeartbeatReply::default()
    }
}

fn exchange(vms: u32) -> Exchange {
    let mut summaries = Vec::new();
    for i in 0..vms {
        let info = VmInfo {
            vm: parse_name(&format!("medina-r12-vm{i:04}")),
            incarnation: Incarnation(1_772_402_400_000_000),
            zone: parse_name("medina"),
            rack: parse_name("medina-r12"),
            cell: parse_name("medina-1"),
            address: SocketAddr::from(([10, 0, 1, 7], 7100)),
            capacity: Resources::new(16_000, 61_440, 1),
            endpoints: vec![EndpointInfo {
                service: parse_name("directory"),
                slots: 8,
                connections: 64,
            }],
        };
        summaries.push(VmSummary {
            info,
            sequence: 123_456,
            age_millis: 300,
            leaving: false,
            revision: Revision(3100),
            load: load(),
        });
    }
    Exchange {
        entry: parse_name("medina-entry-1"),
        incarnation: Incarnation(1_772_402_400_000_000),
        address: SocketAddr::from(([10, 0, 0, 1], 7000)),
        revision: Revision(3100),
        vms: summaries,
        cells: Vec::new(),
        teams: Default::default(),
        config: None,
        complete: false,
    }
}

fn objects(teams: u32) -> ObjectSet {
    let mut objects = ObjectSet::default();
    for i in 0..teams {
        let team = Team {
            weight: 10,
            quota: Resources::new(64_000, 262_144, 8),
            parent: None,
        };
        let service = Service {
            team: parse_name(&format!("team-{i:03}")),
            timeout_millis: 1000,
            objective: Objective {
                latency_millis: 100,
                good_per_million: 999_000,
            },
            idempotent_methods: vec!["GET".to_owned(), "HEAD".to_owned()],
            limit: None,
            replicas: None,
        };
        objects
            .teams
            .insert(parse_name(&format!("team-{i:03}")), team);
        objects
            .services
            .insert(parse_name(&format!("service-{i:03}")), service);
    }
    objects.zones = BTreeMap::new();
    objects
}

fn part(sums: u32) -> AccountPart {
    let mut all = Vec::new();
    for i in 0..sums {
        all.push(Sum {
            start: Time::from_secs(1_772_402_400),
            span: Span::Minute,
            key: SumKey {
                kind: EventKind::RequestsGood,
                cause: kernel::Cause::Ordinary,
                beneficiary: kernel::Account::default(),
                payer: kernel::Account {
                    team: Some(parse_name("bookings")),
                    service: Some(parse_name(&format!("service-{i:04}"))),
                },
                zone: Some(parse_name("medina")),
                duration: kernel::DurationClass(9),
            },
            amount: Amount {
                millis: 4000,
                ..Amount::count(1000)
            },
        });
    }
    AccountPart {
        entry: parse_name("medina-entry-1"),
        incarnation: Incarnation(1_772_402_400_000_000),
        number: 3,
        from: Time::from_secs(1_772_402_400),
        until: Time::from_secs(1_772_406_000),
        last: false,
        sums: all,
        events: Vec::new(),
    }
}
