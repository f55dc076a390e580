//! Amounts of CPU, memory and accelerators.

use std::fmt;

use serde::{Deserialize, Serialize};

/// The resources that a worker offers or a task reserves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Resources {
    /// CPU, in thousandths of a core.
    pub cpu_milli: u64,
    /// Memory, in MiB.
    pub memory_mib: u64,
    /// Whole accelerators.
    pub accelerators: u32,
}

impl Resources {
    /// No resources.
    pub const NONE: Self = Self::new(0, 0, 0);

    /// Creates an amount from thousandths of a core, MiB and accelerators.
    #[must_use]
    pub const fn new(cpu_milli: u64, memory_mib: u64, accelerators: u32) -> Self {
        Self {
            cpu_milli,
            memory_mib,
            accelerators,
        }
    }

    /// Whether `self` fits into `available` in every dimension.
    #[must_use]
    pub const fn fits(self, available: Self) -> bool {
        self.cpu_milli <= available.cpu_milli
            && self.memory_mib <= available.memory_mib
            && self.accelerators <= available.accelerators
    }

    /// Returns the sum, saturating at the largest value.
    #[must_use]
    pub const fn plus(self, other: Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli.saturating_add(other.cpu_milli),
            memory_mib: self.memory_mib.saturating_add(other.memory_mib),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    /// Returns `self` less `other`, saturating at zero in each dimension.
    #[must_use]
    pub const fn minus(self, other: Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli.saturating_sub(other.cpu_milli),
            memory_mib: self.memory_mib.saturating_sub(other.memory_mib),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }

    /// Returns the larger amount in each dimension.
    #[must_use]
    pub fn max(self, other: Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli.max(other.cpu_milli),
            memory_mib: self.memory_mib.max(other.memory_mib),
            accelerators: self.accelerators.max(other.accelerators),
        }
    }

    /// Returns the largest share of `total` that `self` takes in any dimension.
    ///
    /// A dimension that is zero in `total` counts only if it is not zero in
    /// `self`; the share is then infinite.
    #[must_use]
    pub fn dominant_share(self, total: Self) -> f64 {
        let share = |part: u64, whole: u64| match (part, whole) {
            (0, _) => 0.0,
            (_, 0) => f64::INFINITY,
            (part, whole) => part as f64 / whole as f64,
        };
        share(self.cpu_milli, total.cpu_milli)
            .max(share(self.memory_mib, total.memory_mib))
            .max(share(
                u64::from(self.accelerators),
                u64::from(total.accelerators),
            ))
    }
}

impl fmt::Display for Resources {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}.{:03} cores, {} MiB, {} accelerators",
            self.cpu_milli / 1000,
            self.cpu_milli % 1000,
            self.memory_mib,
            self.accelerators
        )
    }
}
