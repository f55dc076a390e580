//! The objects that operators publish.
//!
//! Objects refer to one another by name. The `conf` crate validates all of them
//! together before it publishes any. See `docs/CONFIGURATION.md`.

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
    /// The team's weight in the division of contended capacity among teams.
    pub weight: u32,
    /// The most that the team's batch tasks may hold at a time, over all cells.
    pub quota: Resources,
    /// The parent team. The quotas of all its parts must fit into its own, and
    /// a team that has parts owns no services or jobs itself. Both rules are
    /// checked when a configuration is published, so no other code checks them.
    #[serde(default)]
    pub parent: Option<TeamName>,
}

/// The service level objective of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Objective {
    /// The latency up to which a request counts as in time, in milliseconds.
    pub latency_millis: u64,
    /// The share of requests to answer completely and in time, in parts per
    /// million.
    pub good_per_million: u32,
}

/// Replicas of a service that the system places.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Replicas {
    /// The number of replicas to keep running.
    pub count: u32,
    /// The resources that each replica needs.
    pub need: Resources,
    /// The program, passed on to the platform's worker without interpretation.
    pub program: String,
}

/// A service that callers send requests to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// The team that owns the service.
    pub team: TeamName,
    /// The timeout of a request whose caller sets none, in milliseconds.
    pub timeout_millis: u64,
    /// The service level objective.
    pub objective: Objective,
    /// HTTP methods whose requests may safely be repeated.
    pub idempotent_methods: Vec<String>,
    /// The limit that applies to the service; `None` for the default limit.
    #[serde(default)]
    pub limit: Option<LimitName>,
    /// The replicas to place. With `None`, the endpoints of the service
    /// register themselves.
    #[serde(default)]
    pub replicas: Option<Replicas>,
}

/// A template from which jobs are submitted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobTemplate {
    /// The team whose quota and share are charged.
    pub team: TeamName,
    /// How soon the tasks must start.
    #[serde(default)]
    pub urgency: Urgency,
    /// The number of tasks.
    pub tasks: u32,
    /// The resources that each task needs.
    pub need: Resources,
    /// The declared run time of a task, in milliseconds.
    pub expected_run_millis: u64,
    /// The program, passed on to the platform's worker without interpretation.
    #[serde(default)]
    pub program: String,
}

/// Whether an availability zone accepts work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ZoneState {
    /// The zone accepts work.
    #[default]
    In,
    /// Operators took the zone out of service: nothing starts there.
    Out,
}

/// An availability zone.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct AvailabilityZone {
    /// Whether the zone accepts work.
    pub state: ZoneState,
    /// The region of the zone.
    pub region: String,
    /// VMs of the zone that operators drain.
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
    /// The largest body of a request or response, in bytes.
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

/// A pool of workers of the same size.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkerPool {
    /// The availability zones of the workers.
    pub zones: Vec<AvailabilityZoneName>,
    /// The resources that each worker offers to tasks.
    pub capacity: Resources,
    /// The expected number of workers, used to check whether a task can ever
    /// fit.
    pub workers: u32,
}

/// All objects of one revision.
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
    /// An availability zone without an object accepts work, so that a typing
    /// error in the settings of one VM does not silently stop that VM. The
    /// report of zones lists such a zone as unnamed.
    #[must_use]
    pub fn takes_work(&self, zone: &AvailabilityZoneName, vm: &VmName) -> bool {
        let is_drained = |zone: &AvailabilityZone| zone.drained.contains(vm);
        self.zone_takes_work(zone) && !self.zones.get(zone).is_some_and(is_drained)
    }

    /// Whether an availability zone as a whole accepts work.
    #[must_use]
    pub fn zone_takes_work(&self, zone: &AvailabilityZoneName) -> bool {
        let state = self.zones.get(zone).map(|zone| zone.state);
        state.unwrap_or_default() == ZoneState::In
    }

    /// Returns the limit of `service`, or the default limit if it has none.
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
