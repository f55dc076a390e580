//! Helpers for tests of the owner of a cell.

#![allow(dead_code, reason = "each test file uses a part of it")]

pub(crate) mod machine;
pub(crate) mod process;
pub(crate) mod session;
pub(crate) mod world;

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use kernel::{
    AvailabilityZoneName, CellName, Incarnation, JobName, JobSpec, ObjectSet, RackName, Resources,
    TaskClass, TaskId, TaskRun, TeamName, Urgency, VmInfo, VmName,
    object::{AvailabilityZone, Team, ZoneState},
};

pub(crate) fn vm_name(name: &str) -> VmName {
    VmName::new(name).unwrap()
}

pub(crate) fn zone_name(name: &str) -> AvailabilityZoneName {
    AvailabilityZoneName::new(name).unwrap()
}

pub(crate) fn cell_name(name: &str) -> CellName {
    CellName::new(name).unwrap()
}

pub(crate) fn job_name(name: &str) -> JobName {
    JobName::new(name).unwrap()
}

pub(crate) fn run(job: &str, index: u32, attempt: u32) -> TaskRun {
    TaskRun {
        task: TaskId {
            job: job_name(job),
            index,
        },
        attempt: kernel::Attempt(attempt),
    }
}

pub(crate) fn job(name: &str, tasks: u32, cores: u64) -> JobSpec {
    JobSpec {
        name: job_name(name),
        team: TeamName::new("royalties").unwrap(),
        class: TaskClass::Batch,
        urgency: Urgency::Normal,
        tasks,
        need: Resources::new(cores * 1000, 1024, 0),
        expected_run: Duration::from_secs(60),
        finish_by: None,
        service: None,
        program: "statement".to_owned(),
    }
}

pub(crate) fn urgent(spec: JobSpec) -> JobSpec {
    JobSpec {
        urgency: Urgency::Urgent,
        ..spec
    }
}

pub(crate) fn vm_info(vm: &str, zone: &str, cell: &str, cores: u64) -> VmInfo {
    VmInfo {
        vm: vm_name(vm),
        incarnation: Incarnation(1),
        zone: zone_name(zone),
        rack: RackName::new(format!("rack-{vm}")).unwrap(),
        cell: cell_name(cell),
        address: "127.0.0.1:1".parse().unwrap(),
        capacity: Resources::new(cores * 1000, 65_536, 0),
        endpoints: Vec::new(),
    }
}

/// Returns objects with the given zones and one team with an unlimited quota.
pub(crate) fn objects(zones: &[(&str, ZoneState)]) -> Arc<ObjectSet> {
    let team = Team {
        weight: 1,
        quota: Resources::new(u64::MAX, u64::MAX, u32::MAX),
        parent: None,
    };
    let mut set = ObjectSet {
        teams: BTreeMap::from([(TeamName::new("royalties").unwrap(), team)]),
        ..ObjectSet::default()
    };
    for (zone, state) in zones {
        let zone_object = AvailabilityZone {
            state: *state,
            ..AvailabilityZone::default()
        };
        set.zones.insert(zone_name(zone), zone_object);
    }
    Arc::new(set)
}
