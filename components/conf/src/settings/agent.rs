//! Settings of the agent daemon.

use std::{net::SocketAddr, path::PathBuf};

use kernel::{AvailabilityZoneName, CellName, RackName, Resources, ServiceName, VmName};
use serde::{Deserialize, Serialize};

use super::{CheckSettings, SettingsError, checker::SettingsChecker};

const DEFAULT_HEARTBEAT_MILLIS: u64 = 1_000;
const DEFAULT_STOP_MILLIS: u64 = 30_000;

/// The settings of one agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AgentSettings {
    /// Name of the agent's VM, unique in the installation.
    pub vm: VmName,
    /// Availability zone of the VM.
    pub zone: AvailabilityZoneName,
    /// Rack of the VM.
    pub rack: RackName,
    /// Cell of the worker. `None` means the cell with the name of the zone.
    #[serde(default)]
    pub cell: Option<CellName>,
    /// Address for calls from entries, announced to them.
    pub system: SocketAddr,
    /// Address that serves `/metrics`, `/healthz` and `/readyz`.
    pub health: SocketAddr,
    /// Entries that the agent contacts first. It gets the others from their replies.
    pub entries: Vec<SocketAddr>,
    /// File with the secrets shared by entries and agents.
    pub secret_file: PathBuf,
    /// Address of the platform's worker on this VM. `None` means that the VM runs no
    /// tasks.
    #[serde(default)]
    pub worker: Option<SocketAddr>,
    /// Resources of the worker that tasks may use.
    #[serde(default)]
    pub capacity: Resources,
    /// Interval between heartbeats, in milliseconds.
    #[serde(default = "default_heartbeat")]
    pub heartbeat_millis: u64,
    /// Maximum duration of a graceful stop, in milliseconds.
    #[serde(default = "default_stop")]
    pub stop_millis: u64,
    /// Endpoints on this VM.
    #[serde(default)]
    pub endpoints: Vec<EndpointSettings>,
}

const fn default_heartbeat() -> u64 {
    DEFAULT_HEARTBEAT_MILLIS
}

const fn default_stop() -> u64 {
    DEFAULT_STOP_MILLIS
}

/// One endpoint on the agent's VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EndpointSettings {
    /// Service that the endpoint serves.
    pub service: ServiceName,
    /// Address for HTTP requests.
    pub address: SocketAddr,
    /// Maximum number of requests that the endpoint handles concurrently.
    pub slots: u32,
    /// Maximum number of connections that the endpoint accepts.
    pub connections: u32,
}

impl AgentSettings {
    /// Returns the cell of the worker: `cell`, or the cell with the name of the zone.
    #[must_use]
    pub fn cell_name(&self) -> CellName {
        let zone_cell = || CellName::new(&self.zone).ok();
        self.cell
            .clone()
            .or_else(zone_cell)
            .unwrap_or_else(|| unreachable!("every zone name is a valid cell name"))
    }

    /// Checks all values.
    ///
    /// # Errors
    ///
    /// Returns all problems found, without file and line.
    pub fn check(&self) -> Result<(), SettingsError> {
        let mut checker = SettingsChecker::default();
        checker.check_announced("system", self.system);
        checker.check_distinct(&[("system", self.system), ("health", self.health)]);
        checker.check_addresses("entries", &self.entries);
        checker.check_path("secret_file", &self.secret_file);
        checker.check_range("heartbeat_millis", self.heartbeat_millis, 10..=60_000);
        checker.check_range("stop_millis", self.stop_millis, 100..=600_000);
        self.check_worker(&mut checker);
        self.check_endpoints(&mut checker);
        checker.into_result()
    }

    fn check_worker(&self, checker: &mut SettingsChecker) {
        if let Some(worker) = self.worker {
            checker.check_reachable("worker", worker);
        }
        if self.worker.is_some() && self.capacity == Resources::NONE {
            checker.add_problem(
                "capacity",
                "the worker holds nothing for tasks",
                "state its processors and memory, or leave `worker` out",
            );
        }
        if self.worker.is_none() && self.capacity != Resources::NONE {
            checker.add_problem(
                "capacity",
                "there is no worker to hold it",
                "state the address of `worker`, or leave `capacity` out",
            );
        }
    }

    fn check_endpoints(&self, checker: &mut SettingsChecker) {
        if self.endpoints.is_empty() && self.worker.is_none() {
            checker.add_problem(
                "endpoints",
                "there is neither an endpoint nor a worker",
                "name at least one of them",
            );
        }
        for (index, endpoint) in self.endpoints.iter().enumerate() {
            let field = |name: &str| format!("endpoints.{index}.{name}");
            checker.check_reachable(field("address"), endpoint.address);
            checker.check_range(field("slots"), u64::from(endpoint.slots), 1..=65_536);
            let connections = u64::from(endpoint.connections);
            checker.check_range(field("connections"), connections, 1..=65_536);
            let earlier = &self.endpoints[..index];
            if earlier.iter().any(|e| e.service == endpoint.service) {
                checker.add_problem(
                    field("service"),
                    format!("{} has two endpoints on this VM", endpoint.service),
                    "keep one endpoint for each service",
                );
            }
        }
    }
}

impl CheckSettings for AgentSettings {
    fn check(&self) -> Result<(), SettingsError> {
        Self::check(self)
    }
}
