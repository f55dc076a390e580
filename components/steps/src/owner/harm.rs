//! How much tasks that fill disturb those that serve, learnt from reports.
//!
//! The load of a serving task moves its latency as much as its neighbours do.
//! Tasks of one job share their load, so the difference between two of them on
//! different VMs, and between two readings of one of them a moment apart, is
//! left to the neighbours. A non-negative regression on such differences gives
//! the weight of each pair of images.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use kernel::{JobName, Time, VmName};

use super::{Owner, vm::Vm};
use crate::{
    interference::{PRIOR_WEIGHT, Weight, Weights, cpu_share, image_name},
    message::{ActiveRun, Role, RunKey},
};

/// Figures cover half a second; an earlier report would count the same twice.
const LEARN_INTERVAL: Duration = Duration::from_millis(450);
/// Readings further apart are not compared: loads change within seconds.
const COMPARABLE: Duration = Duration::from_millis(1_300);
/// How much a difference between two readings of one task counts; what changes
/// within half a second shows only in part by then.
const LATER_COUNTS: f64 = 0.5;
/// Differences of the logarithm of latencies that the weights explain worse than
/// this count as this far off: single tasks take several times as long at times.
const OUTLIER: f64 = 1.0;
/// How much the assumed weight counts, as the square of a part of a VM: as much
/// as one reading beside a task that uses a tenth.
const PRIOR_COUNTS: f64 = 0.01;
/// In this time old readings lose half of their weight.
const HALF_LIFE: Duration = Duration::from_secs(90);
/// Rounds of the regression for each report; it goes on from the last result.
const ROUNDS: usize = 3;
/// Changed weights are told to keepers from this part of the weight on,
const NOTICEABLE: f64 = 0.15;
/// or from this difference on, if that is more.
const NOTICEABLE_AT_LEAST: f64 = 0.3;
/// How much the newest reading counts in a task's undisturbed latency.
const NEWEST: f64 = 0.5;

/// What is known of images.
#[derive(Debug, Default)]
pub(super) struct Harm {
    /// By serving image.
    regressions: BTreeMap<Arc<str>, Regression>,
    /// The newest readings of serving tasks.
    readings: BTreeMap<RunKey, Reading>,
    learnt: BTreeMap<VmName, Time>,
    weights: Weights,
    /// The weights that keepers are told.
    told: Weights,
    /// Rises when what keepers are told changes.
    version: u64,
}

/// The tail latency of a serving task beside what was used around it.
#[derive(Clone, Debug)]
struct Reading {
    at: Time,
    vm: VmName,
    log_latency: f64,
    uses: Vec<Use>,
}

/// The part of a VM that tasks of an image use.
#[derive(Clone, Debug)]
struct Use {
    image: Arc<str>,
    part: f64,
}

/// The sums of a least-squares fit with as many unknowns as images fill.
#[derive(Debug, Default)]
struct Regression {
    images: Vec<Arc<str>>,
    squares: Vec<Vec<f64>>,
    products: Vec<f64>,
    weights: Vec<f64>,
    faded: Time,
}

impl Harm {
    pub(super) const fn weights(&self) -> &Weights {
        &self.weights
    }

    pub(super) const fn version(&self) -> u64 {
        self.version
    }

    /// The weights that keepers need.
    pub(super) fn told(&self) -> Vec<Weight> {
        self.told.all()
    }

    fn take(&mut self, now: Time, key: &RunKey, serves: &Arc<str>, reading: Reading) {
        let siblings: Vec<Reading> = self.siblings(&key.task.job, &reading).cloned().collect();
        let before = self.readings.insert(key.clone(), reading.clone());
        let regression = self.regressions.entry(Arc::clone(serves)).or_default();
        regression.fade(now);
        for sibling in &siblings {
            regression.add(&reading, sibling, 1.0 / siblings.len() as f64);
        }
        if let Some(before) = before.filter(|before| before.is_comparable(&reading)) {
            regression.add(&reading, &before, LATER_COUNTS);
        }
        regression.solve();
        for (image, weight) in regression.images.iter().zip(&regression.weights) {
            let weight = Weight {
                serving_image: Arc::clone(serves),
                best_effort_image: Arc::clone(image),
                weight: *weight,
            };
            self.weights.set(&weight);
            if is_news(self.told.known(serves, image), weight.weight) {
                tracing::info!(%serves, fills = %image, weight = weight.weight, "weight of a pair of images");
                self.told.set(&weight);
                self.version += 1;
            }
        }
    }

    /// Readings of other tasks of the job on other VMs at about the same time.
    fn siblings<'a>(
        &'a self,
        job: &'a JobName,
        reading: &'a Reading,
    ) -> impl Iterator<Item = &'a Reading> {
        let of_job = self
            .readings
            .iter()
            .filter(move |(key, _)| key.task.job == *job);
        of_job
            .map(|(_, other)| other)
            .filter(|other| other.vm != reading.vm && other.is_comparable(reading))
    }

    /// Forgets readings that nothing is compared with any more.
    fn forget(&mut self, now: Time) {
        self.readings
            .retain(|_, reading| !(reading.at + COMPARABLE).passed(now));
    }
}

fn is_news(told: Option<f64>, weight: f64) -> bool {
    let told = told.unwrap_or(PRIOR_WEIGHT);
    (told - weight).abs() > (told * NOTICEABLE).max(NOTICEABLE_AT_LEAST)
}

impl Reading {
    fn is_comparable(&self, later: &Self) -> bool {
        !(self.at + COMPARABLE).passed(later.at)
    }
}

impl Regression {
    fn fade(&mut self, now: Time) {
        let span = now.since(self.faded).as_secs_f64() / HALF_LIFE.as_secs_f64();
        self.faded = now;
        let kept = (-span).exp2();
        for sum in self.squares.iter_mut().flatten().chain(&mut self.products) {
            *sum *= kept;
        }
    }

    fn index(&mut self, image: &Arc<str>) -> usize {
        if let Some(index) = self.images.iter().position(|known| known == image) {
            return index;
        }
        self.images.push(Arc::clone(image));
        for row in &mut self.squares {
            row.push(0.0);
        }
        self.squares.push(vec![0.0; self.images.len()]);
        self.products.push(0.0);
        self.weights.push(PRIOR_WEIGHT);
        self.images.len() - 1
    }

    /// Takes in the difference between two readings.
    fn add(&mut self, one: &Reading, other: &Reading, counts: f64) {
        let used = one.uses.iter().chain(&other.uses);
        for entry in used {
            self.index(&entry.image);
        }
        let mut parts = vec![0.0; self.images.len()];
        for entry in &one.uses {
            parts[self.index(&entry.image)] += entry.part;
        }
        for entry in &other.uses {
            parts[self.index(&entry.image)] -= entry.part;
        }
        let expected: f64 = parts.iter().zip(&self.weights).map(|(p, w)| p * w).sum();
        let error = one.log_latency - other.log_latency - expected;
        let seen = expected + error.clamp(-OUTLIER, OUTLIER);
        for (row, &part) in parts.iter().enumerate() {
            if part == 0.0 {
                continue;
            }
            self.products[row] += counts * part * seen;
            for (column, &other) in parts.iter().enumerate() {
                self.squares[row][column] += counts * part * other;
            }
        }
    }

    /// Goes through the weights one by one: the best value of each beside the
    /// others, and never below zero, since no task makes another one faster.
    fn solve(&mut self) {
        for _ in 0..ROUNDS {
            for row in 0..self.weights.len() {
                let mut explained = 0.0;
                for (column, weight) in self.weights.iter().enumerate() {
                    if column != row {
                        explained += self.squares[row][column] * weight;
                    }
                }
                let left = self.products[row] - explained + PRIOR_COUNTS * PRIOR_WEIGHT;
                let weight = left / (self.squares[row][row] + PRIOR_COUNTS);
                self.weights[row] = weight.max(0.0);
            }
        }
    }
}

/// What tasks that fill use on a VM, by image.
fn uses(vm: &Vm, running: &[ActiveRun]) -> Vec<Use> {
    let mut sums: BTreeMap<Arc<str>, f64> = BTreeMap::new();
    for row in running {
        let Some(held) = vm.held.get(&row.key) else {
            continue;
        };
        if let Role::BestEffort { image, .. } = &held.role {
            let image = image_name(image.as_ref());
            *sums.entry(image).or_default() += cpu_share(row.measurement, vm.capacity_milli());
        }
    }
    let uses = sums.into_iter();
    uses.map(|(image, part)| Use { image, part }).collect()
}

impl Owner {
    /// Learns from what a worker lists.
    pub(super) fn learn(&mut self, now: Time, name: &VmName, running: &[ActiveRun]) {
        let learnt = self.harm.learnt.get(name).copied().unwrap_or(Time::ZERO);
        if !(learnt + LEARN_INTERVAL).passed(now) {
            return;
        }
        let Some(vm) = self.vms.get_mut(name) else {
            return;
        };
        self.harm.learnt.insert(name.clone(), now);
        self.harm.forget(now);
        let uses = uses(vm, running);
        for row in running {
            let Some(held) = vm.held.get_mut(&row.key) else {
                continue;
            };
            let Role::Serving {
                image,
                target_millis,
            } = &held.role
            else {
                continue;
            };
            if row.measurement == 0 {
                continue;
            }
            let serves = image_name(image.as_ref());
            let log_latency = (row.measurement as f64).ln();
            let reading = Reading {
                at: now,
                vm: name.clone(),
                log_latency,
                uses: uses.clone(),
            };
            self.harm.take(now, &row.key, &serves, reading);
            let mut undisturbed = log_latency - ((*target_millis).max(1) as f64).ln();
            for entry in &uses {
                undisturbed -= self.harm.weights.get(&serves, &entry.image) * entry.part;
            }
            let before = held.undisturbed.unwrap_or(undisturbed);
            held.undisturbed = Some(before + (undisturbed - before) * NEWEST);
        }
    }
}
