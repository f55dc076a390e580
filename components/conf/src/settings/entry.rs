//! Settings of the entry daemon.

use std::{net::SocketAddr, path::PathBuf};

use kernel::{AvailabilityZoneName, EntryName};
use serde::{Deserialize, Serialize};

use super::{CheckSettings, SettingsError, checker::SettingsChecker};

/// The settings of one entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// Name of the entry, unique in the installation.
    pub name: EntryName,
    /// Availability zone of the entry.
    pub zone: AvailabilityZoneName,
    /// Address for calls from entries and agents, announced to them.
    pub system: SocketAddr,
    /// Address for callers' requests.
    pub callers: SocketAddr,
    /// Address that serves operators' requests, `/metrics`, `/healthz` and `/readyz`.
    pub operators: SocketAddr,
    /// Addresses of the platform's key-value service.
    pub store: Vec<SocketAddr>,
    /// File with the secrets shared by entries and agents.
    pub secret_file: PathBuf,
    /// File with the secrets of operators.
    pub operator_secret_file: PathBuf,
    /// Intervals and time limits.
    #[serde(default)]
    pub timings: EntryTimings,
    /// Limits of sizes, counts and rates.
    #[serde(default)]
    pub limits: EntryLimits,
}

/// Intervals and time limits of an entry, in milliseconds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EntryTimings {
    /// Time without a heartbeat after which an agent gets no new tasks.
    pub suspect_millis: u64,
    /// Time without a heartbeat after which an agent is removed from the members.
    pub forget_millis: u64,
    /// Duration of a task's lease after the heartbeat that renewed it.
    pub task_lease_millis: u64,
    /// Margin for clock drift that the owner of a cell adds to a task's lease.
    pub drift_margin_millis: u64,
    /// Duration of the store lease on the entry's own key.
    pub entry_lease_millis: u64,
    /// Duration of the store lease on the ownership of a cell.
    pub cell_lease_millis: u64,
    /// Time for which an owner that can't reach the store still renews task leases.
    pub owner_grace_millis: u64,
    /// Time for which changes of a cell are grouped into one write of its journal.
    pub journal_group_millis: u64,
    /// Interval between reads that prove which revision of the configuration is
    /// newest.
    pub proof_millis: u64,
    /// Maximum age of that proof when a task starts.
    pub proof_max_age_millis: u64,
    /// Interval between exchanges of state among entries.
    pub exchange_millis: u64,
    /// Maximum duration of a graceful stop.
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

/// Limits of sizes, counts and rates of an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EntryLimits {
    /// Maximum size of the body of an operator's request, in bytes.
    pub operator_body_bytes: u64,
    /// Maximum number of concurrent connections of callers.
    pub connections: u32,
    /// Maximum rate of calls to the store, per second.
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
    /// Checks all values.
    ///
    /// # Errors
    ///
    /// Returns all problems found, without file and line.
    pub fn check(&self) -> Result<(), SettingsError> {
        let mut checker = SettingsChecker::default();
        checker.check_announced("system", self.system);
        checker.check_distinct(&[
            ("system", self.system),
            ("callers", self.callers),
            ("operators", self.operators),
        ]);
        checker.check_addresses("store", &self.store);
        checker.check_path("secret_file", &self.secret_file);
        checker.check_path("operator_secret_file", &self.operator_secret_file);
        if self.secret_file == self.operator_secret_file {
            checker.add_problem(
                "operator_secret_file",
                "operators and processes share one secret",
                "give operators a secret of their own",
            );
        }
        self.timings.check(&mut checker);
        self.limits.check(&mut checker);
        checker.into_result()
    }
}

impl CheckSettings for EntrySettings {
    fn check(&self) -> Result<(), SettingsError> {
        Self::check(self)
    }
}

impl EntryTimings {
    fn check(&self, checker: &mut SettingsChecker) {
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
            checker.check_range(format!("timings.{field}"), value, range);
        }
        self.check_order(checker);
    }

    fn check_order(&self, checker: &mut SettingsChecker) {
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
            checker.add_problem(
                format!("timings.{longer}"),
                format!("{high} is not longer than `{shorter}`, {low}"),
                format!("choose a value above {low}"),
            );
        }
    }
}

impl EntryLimits {
    fn check(&self, checker: &mut SettingsChecker) {
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
            checker.check_range(format!("limits.{field}"), value, range);
        }
    }
}
