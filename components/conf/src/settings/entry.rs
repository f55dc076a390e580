//! Settings of an entry.

use std::{net::SocketAddr, path::PathBuf};

use kernel::{AvailabilityZoneName, EntryName};
use serde::{Deserialize, Serialize};

use super::{CheckSettings, SettingsError, bounds::Bounds};

/// The settings of one entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// Its unique name.
    pub name: EntryName,
    /// The availability zone it lies in.
    pub zone: AvailabilityZoneName,
    /// Where it takes calls of the system's own processes; told to them.
    pub system: SocketAddr,
    /// Where it takes callers' requests.
    pub callers: SocketAddr,
    /// Where it takes operators' requests, `/metrics`, `/healthz` and `/readyz`.
    pub operators: SocketAddr,
    /// The addresses of the platform's key-value service.
    pub store: Vec<SocketAddr>,
    /// The file with the secrets of the system's own processes.
    pub secret_file: PathBuf,
    /// The file with the secrets of operators.
    pub operator_secret_file: PathBuf,
    /// Intervals and bounds in time.
    #[serde(default)]
    pub timings: EntryTimings,
    /// Bounds in size and rate.
    #[serde(default)]
    pub limits: EntryLimits,
}

/// Intervals and bounds in time of an entry, in milliseconds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EntryTimings {
    /// How long an agent may be silent before it gets no new tasks.
    pub suspect_millis: u64,
    /// How long an agent may be silent before it is forgotten.
    pub forget_millis: u64,
    /// How long a task may run after the heartbeat that renewed its lease.
    pub task_lease_millis: u64,
    /// What the owner of a cell adds to a task's lease for drifting clocks.
    pub drift_margin_millis: u64,
    /// How long the entry's own key in the store lasts without renewal.
    pub entry_lease_millis: u64,
    /// How long the ownership of a cell lasts in the store without renewal.
    pub cell_lease_millis: u64,
    /// How long an owner that can't reach the store goes on renewing tasks.
    pub owner_grace_millis: u64,
    /// How long changes of a cell are gathered into one write of its journal.
    pub journal_group_millis: u64,
    /// How often the newest revision of the configuration is proved by a read.
    pub proof_millis: u64,
    /// How old that proof may be when a task starts.
    pub proof_max_age_millis: u64,
    /// How often entries exchange what they know.
    pub exchange_millis: u64,
    /// How long a graceful stop may take.
    pub stop_millis: u64,
}

impl Default for EntryTimings {
    fn default() -> Self {
        Self {
            suspect_millis: 3_000,
            forget_millis: 60_000,
            task_lease_millis: 10_000,
            drift_margin_millis: 500,
            entry_lease_millis: 6_000,
            cell_lease_millis: 3_000,
            owner_grace_millis: 900_000,
            journal_group_millis: 200,
            proof_millis: 1_000,
            proof_max_age_millis: 2_500,
            exchange_millis: 500,
            stop_millis: 30_000,
        }
    }
}

/// Bounds in size and rate of an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EntryLimits {
    /// The largest body of an operator's request, in bytes.
    pub operator_body_bytes: u64,
    /// The most connections of callers at a time.
    pub connections: u32,
    /// The most calls a second to the store.
    pub store_calls_per_second: u32,
}

impl Default for EntryLimits {
    fn default() -> Self {
        Self {
            operator_body_bytes: 8 << 20,
            connections: 4_096,
            store_calls_per_second: 100,
        }
    }
}

impl EntrySettings {
    /// Checks every bound.
    ///
    /// # Errors
    ///
    /// Returns all problems found, without file and line.
    pub fn check(&self) -> Result<(), SettingsError> {
        let mut bounds = Bounds::default();
        bounds.announced("system", self.system);
        bounds.apart(&[
            ("system", self.system),
            ("callers", self.callers),
            ("operators", self.operators),
        ]);
        bounds.list("store", &self.store);
        bounds.path("secret_file", &self.secret_file);
        bounds.path("operator_secret_file", &self.operator_secret_file);
        if self.secret_file == self.operator_secret_file {
            bounds.problem(
                "operator_secret_file",
                "operators and processes share one secret",
                "give operators a secret of their own",
            );
        }
        self.timings.check(&mut bounds);
        self.limits.check(&mut bounds);
        bounds.into_result()
    }
}

impl CheckSettings for EntrySettings {
    fn check(&self) -> Result<(), SettingsError> {
        Self::check(self)
    }
}

impl EntryTimings {
    fn check(&self, bounds: &mut Bounds) {
        let ranges = [
            ("suspect_millis", self.suspect_millis, 20..=600_000),
            ("forget_millis", self.forget_millis, 100..=86_400_000),
            ("task_lease_millis", self.task_lease_millis, 100..=3_600_000),
            ("drift_margin_millis", self.drift_margin_millis, 1..=60_000),
            (
                "entry_lease_millis",
                self.entry_lease_millis,
                1_000..=600_000,
            ),
            ("cell_lease_millis", self.cell_lease_millis, 1_000..=600_000),
            (
                "owner_grace_millis",
                self.owner_grace_millis,
                1_000..=86_400_000,
            ),
            (
                "journal_group_millis",
                self.journal_group_millis,
                1..=10_000,
            ),
            ("proof_millis", self.proof_millis, 10..=60_000),
            (
                "proof_max_age_millis",
                self.proof_max_age_millis,
                20..=60_000,
            ),
            ("exchange_millis", self.exchange_millis, 10..=60_000),
            ("stop_millis", self.stop_millis, 100..=600_000),
        ];
        for (field, value, range) in ranges {
            bounds.within(format!("timings.{field}"), value, range);
        }
        self.check_order(bounds);
    }

    fn check_order(&self, bounds: &mut Bounds) {
        let pairs = [
            (
                "suspect_millis",
                self.suspect_millis,
                "forget_millis",
                self.forget_millis,
            ),
            (
                "drift_margin_millis",
                self.drift_margin_millis,
                "task_lease_millis",
                self.task_lease_millis,
            ),
            (
                "proof_millis",
                self.proof_millis,
                "proof_max_age_millis",
                self.proof_max_age_millis,
            ),
            (
                "cell_lease_millis",
                self.cell_lease_millis,
                "owner_grace_millis",
                self.owner_grace_millis,
            ),
        ];
        for (shorter, low, longer, high) in pairs {
            if low < high {
                continue;
            }
            bounds.problem(
                format!("timings.{longer}"),
                format!("{high} is not longer than `{shorter}`, {low}"),
                format!("choose a value above {low}"),
            );
        }
    }
}

impl EntryLimits {
    fn check(&self, bounds: &mut Bounds) {
        let ranges = [
            (
                "operator_body_bytes",
                self.operator_body_bytes,
                1_024..=1 << 30,
            ),
            ("connections", u64::from(self.connections), 1..=1_000_000),
            (
                "store_calls_per_second",
                u64::from(self.store_calls_per_second),
                1..=100_000,
            ),
        ];
        for (field, value, range) in ranges {
            bounds.within(format!("limits.{field}"), value, range);
        }
    }
}
