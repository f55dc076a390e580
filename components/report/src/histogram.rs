//! Percentiles of durations that are counted by class.

use std::collections::BTreeMap;

use kernel::DurationClass;

/// Histogram of durations, with one bucket for each duration class.
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

    /// Returns the number of durations.
    #[must_use]
    pub const fn count(&self) -> u64 {
        self.total
    }

    /// Returns the duration in milliseconds that the fraction `quantile` of all
    /// durations does not exceed, rounded up to the upper bound of its class.
    /// Returns `None` for an empty histogram.
    #[must_use]
    pub fn quantile_millis(&self, quantile: f64) -> Option<f64> {
        if self.total == 0 {
            return None;
        }
        let rank = (self.total as f64 * quantile).ceil().max(1.0) as u64;
        let mut cumulative = 0;
        for (class, count) in &self.counts {
            cumulative += count;
            if cumulative >= rank {
                return Some(class.upper_millis());
            }
        }
        None
    }
}
