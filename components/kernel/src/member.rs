//! What a VM tells of itself and of the endpoints on it.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{AvailabilityZoneName, CellName, RackName, Resources, ServiceName, VmName};

/// The number of one life of a process under the same name; a restart takes a
/// higher one, so that news of an earlier life is recognised as old.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

/// An endpoint of a service, served by the agent on its VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointInfo {
    /// The service it answers for.
    pub service: ServiceName,
    /// How many requests it works on at a time.
    pub slots: u32,
    /// How many connections it accepts.
    pub connections: u32,
}

/// The fixed facts of a VM, sent when an entry does not know it yet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmInfo {
    /// Its name.
    pub vm: VmName,
    /// The life of its agent.
    pub incarnation: Incarnation,
    /// Where it is.
    pub zone: AvailabilityZoneName,
    /// Its rack.
    pub rack: RackName,
    /// The cell that its worker belongs to.
    pub cell: CellName,
    /// Where its agent takes forwarded requests.
    pub address: SocketAddr,
    /// What its worker holds for tasks; nothing if it runs none.
    pub capacity: Resources,
    /// The endpoints beside it.
    pub endpoints: Vec<EndpointInfo>,
}

/// The changing load of one endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointLoad {
    /// The service.
    pub service: ServiceName,
    /// Requests at the endpoint.
    pub in_flight: u32,
    /// Requests waiting in the agent's queue.
    pub queued: u32,
    /// Smoothed time of the endpoint's answers, in microseconds.
    pub latency_micros: u64,
}
