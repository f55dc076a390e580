//! A linear model of the logarithm of a service's tail latency.
//!
//! Each weight is a Gaussian estimate that starts at its prior. A report
//! corrects it as far as the report gives information about it, as in a Kalman
//! filter without the correlations. A family with few measurements therefore
//! stays near its prior, and old estimates adapt when the load shifts.

use std::collections::BTreeMap;

use kernel::Time;

/// The variance of the logarithm of one latency report.
const REPORT_VARIANCE: f64 = 0.15 * 0.15;

/// The variance of a weight before any measurement.
const WEIGHT_VARIANCE: f64 = 0.8 * 0.8;

/// The variance of the undisturbed latency after its first report.
const BASE_VARIANCE: f64 = 0.3 * 0.3;

/// Growth of the variance of an estimate per second.
const DRIFT_PER_SECOND: f64 = 1e-5;

/// Reports further off than this many standard deviations count as if they were
/// that far off, so that a single extreme report can't spoil the estimates.
const OUTLIER_DEVIATIONS: f64 = 4.0;

/// The most families kept for one service.
const MAX_FAMILIES: usize = 512;

#[derive(Clone, Copy, Debug)]
struct Gaussian {
    mean: f64,
    variance: f64,
    updated_at: Time,
}

impl Gaussian {
    const fn new(mean: f64, variance: f64, updated_at: Time) -> Self {
        Self {
            mean,
            variance,
            updated_at,
        }
    }

    fn add_drift(&mut self, at: Time, max_variance: f64) {
        let span = at.since(self.updated_at).as_secs_f64();
        self.variance = (self.variance + span * DRIFT_PER_SECOND).min(max_variance);
        self.updated_at = self.updated_at.max(at);
    }

    /// Corrects the mean by the residual times the gain and reduces the
    /// variance accordingly.
    fn update(&mut self, share: f64, residual: f64, total_variance: f64) {
        let gain = self.variance * share / total_variance;
        self.mean += gain * residual;
        self.variance *= 1.0 - gain * share;
    }
}

/// The slowdown of one service by each family `K` of tasks.
#[derive(Clone, Debug)]
pub struct SlowdownModel<K> {
    /// The logarithm of the undisturbed tail latency in microseconds.
    baseline: Option<Gaussian>,
    weights: BTreeMap<K, Gaussian>,
}

impl<K> Default for SlowdownModel<K> {
    fn default() -> Self {
        Self {
            baseline: None,
            weights: BTreeMap::new(),
        }
    }
}

impl<K: Ord + Clone> SlowdownModel<K> {
    /// Updates the model with one report. `shares` holds, for each family, the
    /// fraction of the VM's CPU that it used and the prior of its weight.
    /// Returns the latency as a multiple of the undisturbed one.
    pub fn learn(&mut self, at: Time, p99_micros: u64, shares: &[(K, f64, f64)]) -> f64 {
        let observed = (p99_micros.max(1) as f64).ln();
        for (job, _, prior) in shares {
            let initial = Gaussian::new(*prior, WEIGHT_VARIANCE, at);
            let weight = self.weights.entry(job.clone()).or_insert(initial);
            weight.add_drift(at, WEIGHT_VARIANCE);
        }
        let expected_slowdown = self.expected(shares);
        // The first report counts as undisturbed: the prior must not attribute
        // latency to tasks on the VM of an endpoint that was never measured
        // without them.
        let first = Gaussian::new(observed, BASE_VARIANCE, at);
        let mut baseline = self.baseline.unwrap_or(first);
        baseline.add_drift(at, BASE_VARIANCE);
        let total_variance = REPORT_VARIANCE + baseline.variance + self.variance(shares);
        let limit = OUTLIER_DEVIATIONS * total_variance.sqrt();
        let residual = (observed - baseline.mean - expected_slowdown).clamp(-limit, limit);
        baseline.update(1.0, residual, total_variance);
        for (job, share, _) in shares {
            if let Some(weight) = self.weights.get_mut(job) {
                weight.update(*share, residual, total_variance);
                weight.mean = weight.mean.max(0.0);
            }
        }
        self.baseline = Some(baseline);
        self.drop_oldest();
        (observed - baseline.mean).exp()
    }

    /// Returns the logarithm of the factor on the latency if a family used all
    /// cores of a VM, or `None` if the family was never measured.
    #[must_use]
    pub fn slowdown(&self, family: &K) -> Option<f64> {
        self.weights.get(family).map(|weight| weight.mean)
    }

    /// Returns all measured families with their slowdowns.
    pub fn slowdowns(&self) -> impl Iterator<Item = (&K, f64)> {
        let means = self.weights.iter();
        means.map(|(job, weight)| (job, weight.mean))
    }

    fn expected(&self, shares: &[(K, f64, f64)]) -> f64 {
        let expected =
            |(job, share, prior): &(K, f64, f64)| share * self.slowdown(job).unwrap_or(*prior);
        shares.iter().map(expected).sum()
    }

    fn variance(&self, shares: &[(K, f64, f64)]) -> f64 {
        let variance = |(job, share, _): &(K, f64, f64)| {
            let weight = self.weights.get(job);
            share * share * weight.map_or(WEIGHT_VARIANCE, |weight| weight.variance)
        };
        shares.iter().map(variance).sum()
    }

    fn drop_oldest(&mut self) {
        if self.weights.len() <= MAX_FAMILIES {
            return;
        }
        let oldest = self
            .weights
            .iter()
            .min_by_key(|(_, weight)| weight.updated_at);
        if let Some(job) = oldest.map(|(job, _)| job.clone()) {
            self.weights.remove(&job);
        }
    }
}
