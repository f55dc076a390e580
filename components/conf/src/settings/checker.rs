//! Checks shared by the settings of all daemons.

use std::{net::SocketAddr, ops::RangeInclusive, path::Path};

use crate::problem::{Problem, Problems};

/// Checks values and collects the problems of one settings file.
#[derive(Default)]
pub(super) struct SettingsChecker {
    problems: Vec<Problem>,
}

impl SettingsChecker {
    pub(super) fn add_problem(
        &mut self,
        field: impl Into<String>,
        message: impl Into<String>,
        remedy: impl Into<String>,
    ) {
        self.problems.push(Problem {
            field: field.into(),
            message: message.into(),
            remedy: remedy.into(),
            ..Problem::default()
        });
    }

    pub(super) fn check_range(
        &mut self,
        field: impl Into<String>,
        value: u64,
        range: RangeInclusive<u64>,
    ) {
        if range.contains(&value) {
            return;
        }
        let (min, max) = range.into_inner();
        self.add_problem(
            field,
            format!("{value} is out of bounds"),
            format!("choose a value from {min} to {max}"),
        );
    }

    /// Checks that an address announced to other processes has a specific IP number.
    pub(super) fn check_announced(&mut self, field: impl Into<String>, address: SocketAddr) {
        if !address.ip().is_unspecified() {
            return;
        }
        self.add_problem(
            field,
            format!("{address} does not say which machine"),
            "write the IP number under which other processes reach this one",
        );
    }

    pub(super) fn check_reachable(&mut self, field: impl Into<String>, address: SocketAddr) {
        if !address.ip().is_unspecified() && address.port() != 0 {
            return;
        }
        self.add_problem(
            field,
            format!("{address} can't be connected to"),
            "write the IP number and port of the other process",
        );
    }

    pub(super) fn check_addresses(&mut self, field: &str, addresses: &[SocketAddr]) {
        if addresses.is_empty() {
            self.add_problem(field, "the list is empty", "name at least one address");
        }
        for (index, address) in addresses.iter().enumerate() {
            self.check_reachable(format!("{field}.{index}"), *address);
            if addresses[..index].contains(address) {
                self.add_problem(
                    format!("{field}.{index}"),
                    format!("{address} is listed twice"),
                    "keep only one of them",
                );
            }
        }
    }

    /// Checks that the addresses differ. Port 0 is skipped: the operating system then
    /// assigns a free port.
    pub(super) fn check_distinct(&mut self, addresses: &[(&str, SocketAddr)]) {
        for (index, (field, address)) in addresses.iter().enumerate() {
            if address.port() == 0 {
                continue;
            }
            let earlier = addresses[..index].iter().find(|(_, a)| a == address);
            let Some((other, _)) = earlier else {
                continue;
            };
            self.add_problem(
                *field,
                format!("{address} is also the address of `{other}`"),
                "give each its own port",
            );
        }
    }

    pub(super) fn check_path(&mut self, field: &str, path: &Path) {
        if path.as_os_str().is_empty() {
            self.add_problem(field, "the path is empty", "name a file that can be read");
        }
    }

    pub(super) fn into_result(self) -> Result<(), Problems> {
        Problems(self.problems).into_result()
    }
}
