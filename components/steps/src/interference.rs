//! Interference of best-effort tasks with serving tasks.
//!
//! The logarithm of a serving task's tail latency grows in proportion to the share of
//! its VM that best-effort tasks use. The factor, the weight, depends on the pair of
//! images: most pairs share no scarce resource and do not interfere at all.

use std::{collections::BTreeMap, sync::Arc};

use serde::{Deserialize, Serialize};

/// Weight of an unknown pair: tasks that use a quarter of a VM raise the tail latency
/// by two thirds.
pub const PRIOR_WEIGHT: f64 = 2.0;
/// Standard error of [`PRIOR_WEIGHT`]. Weights lie between 0 and about 4.
pub const PRIOR_ERROR: f64 = 1.0;
/// Number of known pairs as which the prior counts. One known pair says little, since most
/// pairs do not interfere and some do strongly.
const PRIOR_PAIRS: f64 = 2.0;
/// Name for tasks without an image.
const NO_IMAGE: &str = "";

/// Interference of one best-effort image with one serving image.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Weight {
    /// Image of the serving task.
    #[serde(rename = "serves")]
    pub serving_image: Arc<str>,
    /// Image of the best-effort task.
    #[serde(rename = "fills")]
    pub best_effort_image: Arc<str>,
    /// Logarithm of the factor on the serving task's tail latency if best-effort tasks
    /// used a whole VM.
    pub weight: f64,
}

/// A weight with its standard error.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WeightEstimate {
    /// Logarithm of the factor on the serving task's tail latency if best-effort tasks
    /// used a whole VM.
    pub weight: f64,
    /// Standard error of the weight.
    pub error: f64,
}

impl WeightEstimate {
    /// Estimate of a pair while nothing is known of either image.
    pub const PRIOR: Self = Self {
        weight: PRIOR_WEIGHT,
        error: PRIOR_ERROR,
    };
}

/// Weights of the known pairs of an image, from which its unknown pairs start.
#[derive(Clone, Copy, Debug, Default)]
pub struct KnownPairs {
    /// Number of pairs, each counted as far as it is known.
    count: f64,
    sum: f64,
    sum_of_squares: f64,
}

impl KnownPairs {
    /// Adds a pair that is known to this degree, between 0 and 1.
    pub fn add(&mut self, degree: f64, weight: f64) {
        self.count += degree;
        self.sum += degree * weight;
        self.sum_of_squares += degree * weight * weight;
    }

    /// Removes a pair that was added with these values.
    pub fn remove(&mut self, degree: f64, weight: f64) {
        self.add(-degree, weight);
    }

    /// The pairs of both images of an unknown pair.
    #[must_use]
    pub fn with(self, other: Self) -> Self {
        Self {
            count: self.count + other.count,
            sum: self.sum + other.sum,
            sum_of_squares: self.sum_of_squares + other.sum_of_squares,
        }
    }

    /// Estimate for an unknown pair: the mean of the known ones, shrunk towards
    /// [`PRIOR_WEIGHT`], and their spread.
    #[must_use]
    pub fn estimate(self) -> WeightEstimate {
        let count = self.count.max(0.0) + PRIOR_PAIRS;
        let weight = (self.sum + PRIOR_PAIRS * PRIOR_WEIGHT) / count;
        let prior_square = PRIOR_WEIGHT.powi(2) + PRIOR_ERROR.powi(2);
        let mean_square = (self.sum_of_squares + PRIOR_PAIRS * prior_square) / count;
        let variance = (mean_square - weight.powi(2)).max(0.0);
        WeightEstimate {
            weight: weight.max(0.0),
            error: variance.sqrt(),
        }
    }
}

/// Known weights of pairs of images.
#[derive(Clone, Debug, Default)]
pub struct Weights {
    by_serving_image: BTreeMap<Arc<str>, WeightsOfImage>,
}

/// Weights of the pairs of one serving image.
#[derive(Clone, Debug)]
struct WeightsOfImage {
    /// Estimate for best-effort images of which nothing is known.
    of_others: WeightEstimate,
    by_best_effort_image: BTreeMap<Arc<str>, WeightEstimate>,
}

impl Default for WeightsOfImage {
    fn default() -> Self {
        Self {
            of_others: WeightEstimate::PRIOR,
            by_best_effort_image: BTreeMap::new(),
        }
    }
}

impl Weights {
    /// Weight of a pair; for an unknown pair that of unknown pairs of the serving image.
    #[must_use]
    pub fn get(&self, serving: &Arc<str>, best_effort: &Arc<str>) -> f64 {
        self.estimate(serving, best_effort).weight
    }

    /// Weight of a pair with its error; for an unknown pair that of unknown pairs of the
    /// serving image.
    #[must_use]
    pub fn estimate(&self, serving: &Arc<str>, best_effort: &Arc<str>) -> WeightEstimate {
        let Some(weights) = self.by_serving_image.get(serving) else {
            return WeightEstimate::PRIOR;
        };
        let known = weights.by_best_effort_image.get(best_effort);
        known.copied().unwrap_or(weights.of_others)
    }

    /// Sets the weight of a pair, without an error.
    pub fn set(&mut self, weight: &Weight) {
        let estimate = WeightEstimate {
            weight: weight.weight,
            error: 0.0,
        };
        self.set_estimate(&weight.serving_image, &weight.best_effort_image, estimate);
    }

    /// Sets the estimate of a pair.
    pub fn set_estimate(
        &mut self,
        serving: &Arc<str>,
        best_effort: &Arc<str>,
        estimate: WeightEstimate,
    ) {
        let weights = self
            .by_serving_image
            .entry(Arc::clone(serving))
            .or_default();
        let known = &mut weights.by_best_effort_image;
        known.insert(Arc::clone(best_effort), estimate);
    }

    /// Sets the estimate for the pairs of a serving image that have none of their own.
    pub fn set_others(&mut self, serving: &Arc<str>, estimate: WeightEstimate) {
        let weights = self
            .by_serving_image
            .entry(Arc::clone(serving))
            .or_default();
        weights.of_others = estimate;
    }
}

/// Name of an image; an empty name for a task without an image.
#[must_use]
pub fn image_name(image: Option<&Arc<str>>) -> Arc<str> {
    image.map_or_else(|| NO_IMAGE.into(), Arc::clone)
}

/// Share of a VM's capacity that an amount of CPU time makes up. Both arguments are in
/// thousandths of a core.
#[must_use]
pub fn cpu_share(cpu_milli: u64, capacity_milli: u64) -> f64 {
    cpu_milli as f64 / capacity_milli.max(1) as f64
}
