//! The objects that operators publish.
//!
//! They refer to one another by name and are checked together by the `conf`
//! crate before any of them is published; see `docs/CONFIGURATION.md`.

use std::{collections::BTreeMap, fmt};

use serde::{Deserialize, Serialize};

use crate::{
    AvailabilityZoneName, LimitName, PoolName, Resources, ServiceName, TeamName, Urgency, VmName,
};

/// The number of a published configuration; a higher one replaces all lower ones.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Revision(pub u64);

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// A team that owns services and jobs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// Its share of contended room against other teams' weights.
    pub weight: u32,
    /// The most that its batch tasks may hold at a time, over all cells.
    pub quota: Resources,
    /// The team it is part of: the quotas of all parts fit into the parent's,
    /// and a team that has parts owns no services or jobs itself. Checked when
    /// a configuration is published, so nothing else has to look at it.
    #[serde(default)]
    pub parent: Option<TeamName>,
}

/// What a service promises its callers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Objective {
    /// A request counts as in time up to this, in milliseconds.
    pub latency_millis: u64,
    /// The share of requests to answer whole and in time, in parts per million.
    pub good_per_million: u32,
}

/// Replicas of a service that the system places itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Replicas {
    /// How many to keep running.
    pub count: u32,
    /// What each needs.
    pub need: Resources,
    /// What the platform's worker runs.
    pub program: String,
}

/// A service that callers wait on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// The team that owns it.
    pub team: TeamName,
    /// How long a request may take if its caller does not say, in milliseconds.
    pub timeout_millis: u64,
    /// What it promises.
    pub objective: Objective,
    /// HTTP methods that may be repeated without harm.
    pub idempotent_methods: Vec<String>,
    /// The limit that holds for it.
    #[serde(default)]
    pub limit: Option<LimitName>,
    /// Replicas to place; without them its endpoints announce themselves.
    #[serde(default)]
    pub replicas: Option<Replicas>,
}

/// A template from which jobs are submitted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobTemplate {
    /// The team that pays.
    pub team: TeamName,
    /// How soon its tasks must start.
    #[serde(default)]
    pub urgency: Urgency,
    /// The number of tasks.
    pub tasks: u32,
    /// What each task needs.
    pub need: Resources,
    /// The declared run time of a task, in milliseconds.
    pub expected_run_millis: u64,
    /// What the platform's worker runs.
    #[serde(default)]
    pub program: String,
}

/// Whether an availability zone takes work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ZoneState {
    /// Takes work.
    #[default]
    In,
    /// Taken out by operators: nothing starts there.
    Out,
}

/// An availability zone.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct AvailabilityZone {
    /// Whether it takes work.
    pub state: ZoneState,
    /// The region it lies in.
    pub region: String,
    /// VMs of it that operators drain.
    pub drained: Vec<VmName>,
}

/// Limits for the requests of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limit {
    /// The most requests in flight at one entry.
    pub in_flight: u32,
    /// The most requests waiting in an agent's queue for one endpoint.
    pub queue: u32,
    /// The largest body of a request or answer, in bytes.
    pub body_bytes: u64,
    /// Retries allowed, in percent of requests.
    pub retry_percent: u32,
    /// Hedges allowed, in percent of requests.
    pub hedge_percent: u32,
}

impl Default for Limit {
    fn default() -> Self {
        Self {
            in_flight: 1024,
            queue: 64,
            body_bytes: 8 * 1024 * 1024,
            retry_percent: 10,
            hedge_percent: 5,
        }
    }
}

/// Workers of one shape.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkerPool {
    /// The availability zones it lies in.
    pub zones: Vec<AvailabilityZoneName>,
    /// What each worker holds for tasks.
    pub capacity: Resources,
    /// How many workers are expected, for checks of what can ever fit.
    pub workers: u32,
}

/// The whole set of objects at one revision.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct ObjectSet {
    /// Teams by name.
    pub teams: BTreeMap<TeamName, Team>,
    /// Services by name.
    pub services: BTreeMap<ServiceName, Service>,
    /// Job templates by name.
    pub templates: BTreeMap<crate::JobName, JobTemplate>,
    /// Availability zones by name.
    pub zones: BTreeMap<AvailabilityZoneName, AvailabilityZone>,
    /// Limits by name.
    pub limits: BTreeMap<LimitName, Limit>,
    /// Worker pools by name.
    pub pools: BTreeMap<PoolName, WorkerPool>,
}

impl ObjectSet {
    /// Whether tasks and requests may go to `vm` in `zone`.
    ///
    /// An availability zone that no object names takes work, so that a typing
    /// error in one VM's settings does not stop the VM silently; the report of
    /// zones shows it as unnamed.
    #[must_use]
    pub fn takes_work(&self, zone: &AvailabilityZoneName, vm: &VmName) -> bool {
        let drained = |zone: &AvailabilityZone| zone.drained.contains(vm);
        self.zone_takes_work(zone) && !self.zones.get(zone).is_some_and(drained)
    }

    /// Whether an availability zone as a whole takes work.
    #[must_use]
    pub fn zone_takes_work(&self, zone: &AvailabilityZoneName) -> bool {
        let state = self.zones.get(zone).map(|zone| zone.state);
        state.unwrap_or_default() == ZoneState::In
    }

    /// The limit in force for `service`.
    #[must_use]
    pub fn limit_of(&self, service: &Service) -> Limit {
        service
            .limit
            .as_ref()
            .and_then(|name| self.limits.get(name))
            .cloned()
            .unwrap_or_default()
    }
}
