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

/// Known weights of pairs of images.
#[derive(Clone, Debug, Default)]
pub struct Weights {
    by_serving_image: BTreeMap<Arc<str>, BTreeMap<Arc<str>, f64>>,
}

impl Weights {
    /// Weight of a pair; [`PRIOR_WEIGHT`] for an unknown pair.
    #[must_use]
    pub fn get(&self, serving: &Arc<str>, best_effort: &Arc<str>) -> f64 {
        self.known(serving, best_effort).unwrap_or(PRIOR_WEIGHT)
    }

    /// Weight of a pair; `None` for an unknown pair.
    #[must_use]
    pub fn known(&self, serving: &Arc<str>, best_effort: &Arc<str>) -> Option<f64> {
        self.by_serving_image
            .get(serving)?
            .get(best_effort)
            .copied()
    }

    /// Sets the weight of a pair.
    pub fn set(&mut self, weight: &Weight) {
        let weights = self
            .by_serving_image
            .entry(Arc::clone(&weight.serving_image))
            .or_default();
        weights.insert(Arc::clone(&weight.best_effort_image), weight.weight);
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
