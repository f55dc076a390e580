//! Percentiles from sums whose key keeps the class of their durations.

use std::collections::BTreeMap;

use kernel::DurationClass;

/// Counts by class of duration.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DurationHistogram {
    counts: BTreeMap<DurationClass, u64>,
    total: u64,
}

impl DurationHistogram {
    /// Adds `count` durations of one class.
    pub fn add(&mut self, class: DurationClass, count: u64) {
        *self.counts.entry(class).or_default() += count;
        self.total += count;
    }

    /// How many durations there are.
    #[must_use]
    pub const fn count(&self) -> u64 {
        self.total
    }

    /// The duration in milliseconds that `share` of all do not exceed, rounded
    /// up to the end of its class; nothing without durations.
    #[must_use]
    pub fn quantile_millis(&self, share: f64) -> Option<f64> {
        if self.total == 0 {
            return None;
        }
        let rank = (self.total as f64 * share).ceil().max(1.0) as u64;
        let mut seen = 0;
        for (class, count) in &self.counts {
            seen += count;
            if seen >= rank {
                return Some(class.upper_millis());
            }
        }
        None
    }
}
