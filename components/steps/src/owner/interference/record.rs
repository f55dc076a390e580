//! Record of the learnt weights in the store, from which the next owner starts.
//!
//! The record holds each known pair with its weight and how well it is known, so that a new
//! owner need not learn them again. Correlations between pairs are left out. The next owner
//! counts each pair less by the age of the record, as it would count its own old samples.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use kernel::Time;
use serde::{Deserialize, Serialize};

use super::{HALF_LIFE, ImagePair, InterferenceModel, Regression, is_notable};
use crate::Owner;

/// Shortest time between two writes of the record, and before the first one of an owner.
const WRITE_INTERVAL: Duration = Duration::from_secs(5);
/// The most pairs in a record.
const MAX_PAIRS: usize = 1_000;
/// Degree to which a pair must be known to be part of the record.
const MIN_DEGREE: f64 = 0.1;
/// A pair has changed notably if it is known this many times as well as the record says.
const NOTABLE_GAIN: f64 = 1.5;
/// Highest weight that is taken from a record.
const MAX_WEIGHT: f64 = 50.0;
/// Highest information on a pair that is taken from a record: at two comparisons of a whole VM
/// in half a second, samples that count half after [`HALF_LIFE`] add up to 520.
const MAX_INFORMATION: f64 = 1_000.0;

/// Learnt weights of pairs of images.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct InterferenceRecord {
    /// Time of day at which the record was taken, in milliseconds.
    pub taken_at_millis: u64,
    /// Pairs, the best known first.
    pub pairs: Vec<PairRecord>,
}

/// Learnt weight of a pair of images.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PairRecord {
    /// Image of the serving task.
    #[serde(rename = "serves")]
    pub serving_image: Arc<str>,
    /// Image of the best-effort task.
    #[serde(rename = "fills")]
    pub best_effort_image: Arc<str>,
    /// Weight of the pair.
    pub weight: f64,
    /// Sum of the squared shares of a VM by which samples differed, each counted by its age.
    pub information: f64,
}

/// What the store holds of the model.
#[derive(Debug, Default)]
pub(super) struct WrittenRecord {
    /// Time of the last attempt to write; `None` before the first call for a record.
    attempted_at: Option<Time>,
    taken_at: Time,
    pairs: BTreeMap<ImagePair, (f64, f64)>,
}

/// Part of the information on a pair that is left at this age.
fn remaining_part(age: Duration) -> f64 {
    (-age.as_secs_f64() / HALF_LIFE.as_secs_f64()).exp2()
}

impl InterferenceModel {
    /// Known pairs, the best known first.
    fn known_pair_records(&self, now: Time) -> Vec<PairRecord> {
        let mut pairs = Vec::new();
        for (serves, regression) in &self.regressions {
            let part = remaining_part(now.since(regression.decayed_at));
            for (number, image) in self.images.iter().enumerate().take(regression.known.len()) {
                if regression.degree(number) < MIN_DEGREE {
                    continue;
                }
                pairs.push(PairRecord {
                    serving_image: Arc::clone(serves),
                    best_effort_image: Arc::clone(image),
                    weight: regression.weights[number],
                    information: regression.normal_matrix[number][number] * part,
                });
            }
        }
        pairs.sort_by(|one, other| other.information.total_cmp(&one.information));
        pairs.truncate(MAX_PAIRS);
        pairs
    }

    /// Whether the store lacks something notable on a pair.
    fn is_unwritten(&self, now: Time, pair: &PairRecord) -> bool {
        let written = &self.written;
        let images = (
            Arc::clone(&pair.serving_image),
            Arc::clone(&pair.best_effort_image),
        );
        let Some(&(weight, information)) = written.pairs.get(&images) else {
            return true;
        };
        let part = remaining_part(now.since(written.taken_at));
        is_notable(Some(weight), pair.weight)
            || pair.information > NOTABLE_GAIN * information * part
    }

    /// Adds the pairs of a record that was taken `age` ago. Returns how many were usable.
    fn restore(&mut self, now: Time, age: Duration, record: &InterferenceRecord) -> usize {
        let part = remaining_part(age);
        let mut usable = 0;
        for pair in record.pairs.iter().take(MAX_PAIRS) {
            let is_usable = (0.0..=MAX_WEIGHT).contains(&pair.weight)
                && (0.0..=MAX_INFORMATION).contains(&pair.information);
            if !is_usable {
                continue;
            }
            usable += 1;
            let information = pair.information * part;
            let number = self.image_number(&pair.best_effort_image);
            let regression = self.regressions.entry(Arc::clone(&pair.serving_image));
            let regression = regression.or_insert_with(|| Regression::new(now));
            regression.resize(number + 1);
            regression.normal_matrix[number][number] += information;
            regression.normal_vector[number] += information * pair.weight;
            let images = (
                Arc::clone(&pair.serving_image),
                Arc::clone(&pair.best_effort_image),
            );
            let known = (pair.weight, information);
            self.written.pairs.insert(images, known);
        }
        self.written.taken_at = now;
        let serving_images: Vec<Arc<str>> = self.regressions.keys().cloned().collect();
        // The priors of the first ones follow from the pairs of the later ones.
        for serves in serving_images.iter().chain(&serving_images) {
            if let Some(regression) = self.regressions.get_mut(serves) {
                regression.solved_at = Time::ZERO;
            }
            self.update_weights(now, serves);
        }
        usable
    }
}

impl Owner {
    /// Starts from the weights that an earlier owner has learnt. `wall` is the time of day.
    pub(in crate::owner) fn on_interference_record(
        &mut self,
        now: Time,
        wall: Time,
        record: &InterferenceRecord,
    ) {
        let taken_at = Time(record.taken_at_millis.saturating_mul(1_000));
        let age = wall.since(taken_at);
        let usable = self.interference.restore(now, age, record);
        tracing::info!(
            epoch = self.epoch,
            pairs = usable,
            unusable = record.pairs.len() - usable,
            age_ms = age.as_millis() as u64,
            "interference weights of the previous owner taken over"
        );
        self.schedule_due = true;
    }

    /// Returns the learnt weights if they must be written to the store: at most once in 5 s,
    /// and only if they have changed notably. `wall` is the time of day.
    pub fn take_interference_record(
        &mut self,
        now: Time,
        wall: Time,
    ) -> Option<InterferenceRecord> {
        let model = &mut self.interference;
        let attempted_at = *model.written.attempted_at.get_or_insert(now);
        if !(attempted_at + WRITE_INTERVAL).passed(now) {
            return None;
        }
        let pairs = model.known_pair_records(now);
        if !pairs.iter().any(|pair| model.is_unwritten(now, pair)) {
            return None;
        }
        model.written.attempted_at = Some(now);
        Some(InterferenceRecord {
            taken_at_millis: wall.as_millis(),
            pairs,
        })
    }

    /// Notes that a record taken at this time is in the store.
    pub fn interference_record_written(&mut self, taken_at: Time, record: &InterferenceRecord) {
        let mut pairs = BTreeMap::new();
        for pair in &record.pairs {
            let images = (
                Arc::clone(&pair.serving_image),
                Arc::clone(&pair.best_effort_image),
            );
            pairs.insert(images, (pair.weight, pair.information));
        }
        let written = &mut self.interference.written;
        written.pairs = pairs;
        written.taken_at = taken_at;
    }
}
