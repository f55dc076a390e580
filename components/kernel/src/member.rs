//! Membership data that the agent on a VM reports about the VM and its
//! endpoints.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{AvailabilityZoneName, CellName, RackName, Resources, ServiceName, VmName};

/// The number of one run of a process under the same name. A restarted process
/// takes a higher number, so that late messages of the earlier run are
/// recognised.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

/// An endpoint of a service, served by the agent on its VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointInfo {
    /// The service of the endpoint.
    pub service: ServiceName,
    /// The most requests that the endpoint processes at a time.
    pub slots: u32,
    /// The most connections that the endpoint accepts.
    pub connections: u32,
}

/// The static attributes of a VM, sent when an entry does not have them yet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmInfo {
    /// The name of the VM.
    pub vm: VmName,
    /// The incarnation of its agent.
    pub incarnation: Incarnation,
    /// The availability zone of the VM.
    pub zone: AvailabilityZoneName,
    /// The rack of the VM.
    pub rack: RackName,
    /// The cell of the VM's worker.
    pub cell: CellName,
    /// The address at which its agent accepts forwarded requests.
    pub address: SocketAddr,
    /// The resources that its worker offers to tasks; [`Resources::NONE`] if it
    /// runs none.
    pub capacity: Resources,
    /// The endpoints on the VM.
    pub endpoints: Vec<EndpointInfo>,
}

/// The current load of one endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointLoad {
    /// The service of the endpoint.
    pub service: ServiceName,
    /// Requests in progress at the endpoint.
    pub in_flight: u32,
    /// Requests waiting in the agent's queue.
    pub queued: u32,
    /// Smoothed response time of the endpoint, in microseconds.
    pub latency_micros: u64,
}
