//! What slows one service: a linear model of the logarithm of its tail latency.
//!
//! Each weight is a Gaussian belief that starts at its prior and is corrected by
//! each report as far as the report says something of it, as in a Kalman filter
//! without the correlations. So a family that was measured little stays near
//! its prior, and old beliefs give way when the load shifts.

use std::collections::BTreeMap;

use kernel::Time;

/// The variance of the logarithm of one latency report.
const REPORT_VARIANCE: f64 = 0.15 * 0.15;

/// The variance of a weight before anything was measured.
const WEIGHT_VARIANCE: f64 = 0.8 * 0.8;

/// The variance of the undisturbed latency after its first report.
const BASE_VARIANCE: f64 = 0.3 * 0.3;

/// By how much the variance of a belief grows each second.
const DRIFT_PER_SECOND: f64 = 1e-5;

/// Reports further off than this many standard deviations count as if they
/// were that far off, so that one absurd report can't spoil the estimates.
const OUTLIER_DEVIATIONS: f64 = 4.0;

/// The most families remembered for one service.
const MAX_FAMILIES: usize = 512;

#[derive(Clone, Copy, Debug)]
struct Belief {
    mean: f64,
    variance: f64,
    learnt_at: Time,
}

impl Belief {
    const fn new(mean: f64, variance: f64, learnt_at: Time) -> Self {
        Self {
            mean,
            variance,
            learnt_at,
        }
    }

    fn age(&mut self, at: Time, most: f64) {
        let span = at.since(self.learnt_at).as_secs_f64();
        self.variance = (self.variance + span * DRIFT_PER_SECOND).min(most);
        self.learnt_at = self.learnt_at.max(at);
    }

    /// Moves by its part of the error and becomes surer by as much.
    fn correct(&mut self, part: f64, error: f64, total_variance: f64) {
        let gain = self.variance * part / total_variance;
        self.mean += gain * error;
        self.variance *= 1.0 - gain * part;
    }
}

/// What slows one service, by families `K` of tasks.
#[derive(Clone, Debug)]
pub struct SlowdownModel<K> {
    /// The logarithm of the undisturbed tail latency in microseconds.
    base: Option<Belief>,
    weights: BTreeMap<K, Belief>,
}

impl<K> Default for SlowdownModel<K> {
    fn default() -> Self {
        Self {
            base: None,
            weights: BTreeMap::new(),
        }
    }
}

impl<K: Ord + Clone> SlowdownModel<K> {
    /// Learns from one report; `parts` are the parts of the VM's processors
    /// that each family used, with the prior of its weight. Gives the latency
    /// as a multiple of the undisturbed one.
    pub fn learn(&mut self, at: Time, p99_micros: u64, parts: &[(K, f64, f64)]) -> f64 {
        let seen = (p99_micros.max(1) as f64).ln();
        for (job, _, prior) in parts {
            let fresh = Belief::new(*prior, WEIGHT_VARIANCE, at);
            let weight = self.weights.entry(job.clone()).or_insert(fresh);
            weight.age(at, WEIGHT_VARIANCE);
        }
        let expected_slowdown = self.expected(parts);
        // The first report counts as undisturbed: a prior must not accuse tasks
        // beside an endpoint that was never seen without any.
        let first = Belief::new(seen, BASE_VARIANCE, at);
        let mut base = self.base.unwrap_or(first);
        base.age(at, BASE_VARIANCE);
        let total_variance = REPORT_VARIANCE + base.variance + self.variance(parts);
        let limit = OUTLIER_DEVIATIONS * total_variance.sqrt();
        let error = (seen - base.mean - expected_slowdown).clamp(-limit, limit);
        base.correct(1.0, error, total_variance);
        for (job, part, _) in parts {
            if let Some(weight) = self.weights.get_mut(job) {
                weight.correct(*part, error, total_variance);
                weight.mean = weight.mean.max(0.0);
            }
        }
        self.base = Some(base);
        self.forget_oldest();
        (seen - base.mean).exp()
    }

    /// The logarithm of the factor on the latency if a family used all cores of
    /// a VM, if it was ever seen.
    #[must_use]
    pub fn slowdown(&self, family: &K) -> Option<f64> {
        self.weights.get(family).map(|weight| weight.mean)
    }

    /// All families that were seen.
    pub fn slowdowns(&self) -> impl Iterator<Item = (&K, f64)> {
        let means = self.weights.iter();
        means.map(|(job, weight)| (job, weight.mean))
    }

    fn expected(&self, parts: &[(K, f64, f64)]) -> f64 {
        let expected =
            |(job, part, prior): &(K, f64, f64)| part * self.slowdown(job).unwrap_or(*prior);
        parts.iter().map(expected).sum()
    }

    fn variance(&self, parts: &[(K, f64, f64)]) -> f64 {
        let variance = |(job, part, _): &(K, f64, f64)| {
            let weight = self.weights.get(job);
            part * part * weight.map_or(WEIGHT_VARIANCE, |weight| weight.variance)
        };
        parts.iter().map(variance).sum()
    }

    fn forget_oldest(&mut self) {
        if self.weights.len() <= MAX_FAMILIES {
            return;
        }
        let oldest = self
            .weights
            .iter()
            .min_by_key(|(_, weight)| weight.learnt_at);
        if let Some(job) = oldest.map(|(job, _)| job.clone()) {
            self.weights.remove(&job);
        }
    }
}
