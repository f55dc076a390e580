//! How tasks that fill disturb tasks that serve.
//!
//! The logarithm of a serving task's tail latency grows by a weight for each
//! part of its VM that tasks which fill use. The weight belongs to the pair of
//! images: most pairs share nothing that is scarce and do not disturb at all.

use std::{collections::BTreeMap, sync::Arc};

use serde::{Deserialize, Serialize};

/// What an unknown pair is taken to do: tasks that use a quarter of a VM raise
/// the tail latency by two thirds.
pub const PRIOR_WEIGHT: f64 = 2.0;
/// The name under which tasks without an image are kept.
const NO_IMAGE: &str = "";

/// How much tasks of one image disturb those of another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Weight {
    /// The image that serves.
    #[serde(rename = "serves")]
    pub serving_image: Arc<str>,
    /// The image that fills.
    #[serde(rename = "fills")]
    pub best_effort_image: Arc<str>,
    /// The logarithm of the factor on the tail latency of the one if the other
    /// used a whole VM.
    pub weight: f64,
}

/// The known weights.
#[derive(Clone, Debug, Default)]
pub struct Weights {
    of: BTreeMap<Arc<str>, BTreeMap<Arc<str>, f64>>,
}

impl Weights {
    /// The weight of a pair, or what is assumed of an unknown one.
    #[must_use]
    pub fn get(&self, serves: &Arc<str>, fills: &Arc<str>) -> f64 {
        self.known(serves, fills).unwrap_or(PRIOR_WEIGHT)
    }

    /// The weight of a pair, if it is known.
    #[must_use]
    pub fn known(&self, serves: &Arc<str>, fills: &Arc<str>) -> Option<f64> {
        self.of.get(serves)?.get(fills).copied()
    }

    /// Notes the weight of a pair.
    pub fn set(&mut self, weight: &Weight) {
        let of = self
            .of
            .entry(Arc::clone(&weight.serving_image))
            .or_default();
        of.insert(Arc::clone(&weight.best_effort_image), weight.weight);
    }

    /// All of them.
    #[must_use]
    pub fn all(&self) -> Vec<Weight> {
        let mut all = Vec::new();
        for (serves, of) in &self.of {
            for (fills, weight) in of {
                all.push(Weight {
                    serving_image: Arc::clone(serves),
                    best_effort_image: Arc::clone(fills),
                    weight: *weight,
                });
            }
        }
        all
    }
}

/// The name of an image, also of none.
#[must_use]
pub fn image_name(image: Option<&Arc<str>>) -> Arc<str> {
    image.map_or_else(|| NO_IMAGE.into(), Arc::clone)
}

/// The part of a VM that so much processor time is.
#[must_use]
pub fn cpu_share(cpu_milli: u64, capacity_milli: u64) -> f64 {
    cpu_milli as f64 / capacity_milli.max(1) as f64
}
