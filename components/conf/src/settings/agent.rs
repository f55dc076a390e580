//! Settings of an agent.

use std::{net::SocketAddr, path::PathBuf};

use kernel::{AvailabilityZoneName, CellName, RackName, Resources, ServiceName, VmName};
use serde::{Deserialize, Serialize};

use super::{CheckSettings, SettingsError, bounds::Bounds};

const DEFAULT_HEARTBEAT_MILLIS: u64 = 1_000;
const DEFAULT_STOP_MILLIS: u64 = 30_000;

/// The settings of one agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AgentSettings {
    /// The unique name of its VM.
    pub vm: VmName,
    /// The availability zone it lies in.
    pub zone: AvailabilityZoneName,
    /// The rack it stands in.
    pub rack: RackName,
    /// The cell its worker belongs to; one named like the zone if left out.
    #[serde(default)]
    pub cell: Option<CellName>,
    /// Where it takes calls of entries; told to them.
    pub system: SocketAddr,
    /// Where it answers `/metrics`, `/healthz` and `/readyz`.
    pub health: SocketAddr,
    /// Entries to announce to first; the others are learnt from them.
    pub entries: Vec<SocketAddr>,
    /// The file with the secrets of the system's own processes.
    pub secret_file: PathBuf,
    /// The platform's worker on this VM; without one it runs no tasks.
    #[serde(default)]
    pub worker: Option<SocketAddr>,
    /// What the worker holds for tasks.
    #[serde(default)]
    pub capacity: Resources,
    /// How often a heartbeat is sent, in milliseconds.
    #[serde(default = "default_heartbeat")]
    pub heartbeat_millis: u64,
    /// How long a graceful stop may take, in milliseconds.
    #[serde(default = "default_stop")]
    pub stop_millis: u64,
    /// The endpoints beside it.
    #[serde(default)]
    pub endpoints: Vec<EndpointSettings>,
}

const fn default_heartbeat() -> u64 {
    DEFAULT_HEARTBEAT_MILLIS
}

const fn default_stop() -> u64 {
    DEFAULT_STOP_MILLIS
}

/// One endpoint beside an agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EndpointSettings {
    /// The service it answers for.
    pub service: ServiceName,
    /// Where it takes HTTP requests.
    pub address: SocketAddr,
    /// How many requests it works on at a time.
    pub slots: u32,
    /// How many connections it accepts.
    pub connections: u32,
}

impl AgentSettings {
    /// The cell of its worker: the one set, or one named like the zone.
    #[must_use]
    pub fn cell_name(&self) -> CellName {
        let of_zone = || CellName::new(&self.zone).ok();
        self.cell
            .clone()
            .or_else(of_zone)
            .unwrap_or_else(|| unreachable!("every name of a zone is a name"))
    }

    /// Checks every bound.
    ///
    /// # Errors
    ///
    /// Returns all problems found, without file and line.
    pub fn check(&self) -> Result<(), SettingsError> {
        let mut bounds = Bounds::default();
        bounds.announced("system", self.system);
        bounds.apart(&[("system", self.system), ("health", self.health)]);
        bounds.list("entries", &self.entries);
        bounds.path("secret_file", &self.secret_file);
        bounds.within("heartbeat_millis", self.heartbeat_millis, 10..=60_000);
        bounds.within("stop_millis", self.stop_millis, 100..=600_000);
        self.check_worker(&mut bounds);
        self.check_endpoints(&mut bounds);
        bounds.into_result()
    }

    fn check_worker(&self, bounds: &mut Bounds) {
        if let Some(worker) = self.worker {
            bounds.reachable("worker", worker);
        }
        if self.worker.is_some() && self.capacity == Resources::NONE {
            bounds.problem(
                "capacity",
                "the worker holds nothing for tasks",
                "state its processors and memory, or leave `worker` out",
            );
        }
        if self.worker.is_none() && self.capacity != Resources::NONE {
            bounds.problem(
                "capacity",
                "there is no worker to hold it",
                "state the address of `worker`, or leave `capacity` out",
            );
        }
    }

    fn check_endpoints(&self, bounds: &mut Bounds) {
        if self.endpoints.is_empty() && self.worker.is_none() {
            bounds.problem(
                "endpoints",
                "there is neither an endpoint nor a worker",
                "name at least one of them",
            );
        }
        for (number, endpoint) in self.endpoints.iter().enumerate() {
            let field = |name: &str| format!("endpoints.{number}.{name}");
            bounds.reachable(field("address"), endpoint.address);
            bounds.within(field("slots"), u64::from(endpoint.slots), 1..=65_536);
            let connections = u64::from(endpoint.connections);
            bounds.within(field("connections"), connections, 1..=65_536);
            let earlier = &self.endpoints[..number];
            if earlier.iter().any(|e| e.service == endpoint.service) {
                bounds.problem(
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
