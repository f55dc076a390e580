//! Amounts of processor, memory and accelerators.

use std::fmt;

use serde::{Deserialize, Serialize};

/// What a VM holds or a task reserves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Resources {
    /// Processor time, in thousandths of a core.
    pub cpu_milli: u64,
    /// Memory, in MiB.
    pub memory_mib: u64,
    /// Whole accelerators.
    pub accelerators: u32,
}

impl Resources {
    /// Nothing at all.
    pub const NONE: Self = Self::new(0, 0, 0);

    /// An amount of each kind: thousandths of a core, MiB, accelerators.
    #[must_use]
    pub const fn new(cpu_milli: u64, memory_mib: u64, accelerators: u32) -> Self {
        Self {
            cpu_milli,
            memory_mib,
            accelerators,
        }
    }

    /// Whether `self` fits into `room` in every dimension.
    #[must_use]
    pub const fn fits(self, room: Self) -> bool {
        self.cpu_milli <= room.cpu_milli
            && self.memory_mib <= room.memory_mib
            && self.accelerators <= room.accelerators
    }

    /// The sum, saturating at the largest amount.
    #[must_use]
    pub const fn plus(self, other: Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli.saturating_add(other.cpu_milli),
            memory_mib: self.memory_mib.saturating_add(other.memory_mib),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    /// What is left of `self` without `other`, at least nothing.
    #[must_use]
    pub const fn minus(self, other: Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli.saturating_sub(other.cpu_milli),
            memory_mib: self.memory_mib.saturating_sub(other.memory_mib),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }

    /// The larger amount in each dimension.
    #[must_use]
    pub fn max(self, other: Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli.max(other.cpu_milli),
            memory_mib: self.memory_mib.max(other.memory_mib),
            accelerators: self.accelerators.max(other.accelerators),
        }
    }

    /// The largest share of `total` that `self` takes in any dimension.
    ///
    /// A dimension of which `total` holds nothing counts only if `self` needs it.
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
