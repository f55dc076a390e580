//! Size and objects of the system in one process.

use kernel::Resources;

/// The secret that entries and agents share.
pub const SYSTEM_SECRET: &str = "dev-system-secret-0001";
/// The operators' secret.
pub const OPERATOR_SECRET: &str = "dev-operator-secret-01";
/// The service that the stand-in endpoints serve.
pub const SERVICE: &str = "directory";

/// The size of the system.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Plan {
    /// The availability zones.
    pub zones: Vec<String>,
    /// Number of VMs in each availability zone.
    pub vms_per_zone: usize,
    /// Number of entries.
    pub entries: usize,
    /// Capacity of each worker.
    pub capacity: Resources,
    /// Limit of the requests in progress at one endpoint.
    pub slots: u32,
    /// Interval of the agents' heartbeats, in milliseconds.
    pub heartbeat_millis: u64,
    /// Lease of a running task, in milliseconds; a heartbeat renews it.
    pub task_lease_millis: u64,
}

impl Default for Plan {
    fn default() -> Self {
        let zones = ["alajuela", "heredia", "cartago"];
        Self {
            zones: zones.map(str::to_owned).to_vec(),
            vms_per_zone: 2,
            entries: 2,
            capacity: Resources::new(4000, 8192, 0),
            slots: 8,
            heartbeat_millis: 250,
            task_lease_millis: 3000,
        }
    }
}

impl Plan {
    /// Returns the names of the VMs with their availability zones.
    #[must_use]
    pub fn vms(&self) -> Vec<(String, String)> {
        let mut vms = Vec::new();
        for zone in &self.zones {
            for number in 1..=self.vms_per_zone {
                vms.push((format!("{zone}-{number}"), zone.clone()));
            }
        }
        vms
    }

    /// Returns the objects that the demo publishes, as a TOML file of an object set.
    #[must_use]
    pub fn objects(&self) -> String {
        let zones = format!("{:?}", self.zones);
        let workers = self.zones.len() * self.vms_per_zone;
        let Resources {
            cpu_milli,
            memory_mib,
            accelerators,
        } = self.capacity;
        let mut text = format!(
            r#"
[team.bookings]
weight = 2
quota = {{ cpu_milli = 20000, memory_mib = 40000 }}

[team.accounting]
weight = 1
quota = {{ cpu_milli = 16000, memory_mib = 32768 }}

[service.{SERVICE}]
team = "bookings"
timeout_millis = 1000
objective = {{ latency_millis = 100, good_per_million = 999000 }}
idempotent_methods = ["GET", "HEAD"]
limit = "lookups"

[limit.lookups]
in_flight = 256

[pool.depot]
zones = {zones}
workers = {workers}
capacity = {{ cpu_milli = {cpu_milli}, memory_mib = {memory_mib}, accelerators = {accelerators} }}
"#
        );
        for zone in &self.zones {
            text.push_str(&format!(
                "\n[zone.{zone}]\nregion = \"central\"\nstate = \"in\"\n"
            ));
        }
        text
    }
}
