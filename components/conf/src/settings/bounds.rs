//! Checks shared by the settings of all daemons.

use std::{net::SocketAddr, ops::RangeInclusive, path::Path};

use crate::problem::{Problem, Problems};

/// Gathers the problems of one settings file.
#[derive(Default)]
pub(super) struct Bounds {
    problems: Vec<Problem>,
}

impl Bounds {
    pub(super) fn problem(
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

    pub(super) fn within(
        &mut self,
        field: impl Into<String>,
        value: u64,
        range: RangeInclusive<u64>,
    ) {
        if range.contains(&value) {
            return;
        }
        let (least, most) = range.into_inner();
        self.problem(
            field,
            format!("{value} is out of bounds"),
            format!("choose a value from {least} to {most}"),
        );
    }

    /// An address that other processes are told must say which machine.
    pub(super) fn announced(&mut self, field: impl Into<String>, address: SocketAddr) {
        if !address.ip().is_unspecified() {
            return;
        }
        self.problem(
            field,
            format!("{address} does not say which machine"),
            "write the IP number under which other processes reach this one",
        );
    }

    pub(super) fn reachable(&mut self, field: impl Into<String>, address: SocketAddr) {
        if !address.ip().is_unspecified() && address.port() != 0 {
            return;
        }
        self.problem(
            field,
            format!("{address} can't be connected to"),
            "write the IP number and port of the other process",
        );
    }

    pub(super) fn list(&mut self, field: &str, addresses: &[SocketAddr]) {
        if addresses.is_empty() {
            self.problem(field, "the list is empty", "name at least one address");
        }
        for (number, address) in addresses.iter().enumerate() {
            self.reachable(format!("{field}.{number}"), *address);
            if addresses[..number].contains(address) {
                self.problem(
                    format!("{field}.{number}"),
                    format!("{address} is listed twice"),
                    "keep only one of them",
                );
            }
        }
    }

    /// Port 0 is chosen by the system, so two of them never clash.
    pub(super) fn apart(&mut self, addresses: &[(&str, SocketAddr)]) {
        for (number, (field, address)) in addresses.iter().enumerate() {
            if address.port() == 0 {
                continue;
            }
            let earlier = addresses[..number].iter().find(|(_, a)| a == address);
            let Some((other, _)) = earlier else {
                continue;
            };
            self.problem(
                *field,
                format!("{address} is also the address of `{other}`"),
                "give each its own port",
            );
        }
    }

    pub(super) fn path(&mut self, field: &str, path: &Path) {
        if path.as_os_str().is_empty() {
            self.problem(field, "the path is empty", "name a file that can be read");
        }
    }

    pub(super) fn into_result(self) -> Result<(), Problems> {
        Problems(self.problems).into_result()
    }
}
