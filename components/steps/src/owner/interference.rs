//! Learns from reports how much best-effort tasks slow down serving tasks.
//!
//! The latency of a serving task depends on its load as well as on its neighbours.
//! Tasks of one job share their load, so the latency difference between two of them on
//! different VMs, or between two samples of one task shortly after each other, is
//! attributed to the neighbours. A non-negative regression on these differences gives
//! the weight of each pair of images.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use kernel::{JobName, Time, VmName};

use super::{Owner, vm::Vm};
use crate::{
    TaskKey,
    interference::{PRIOR_WEIGHT, Weight, Weights, cpu_share, image_name},
    message::{ActiveRun, Role, RunKey},
};

/// Measurements cover half a second; a report within that time would count the same
/// measurement twice.
const LEARN_INTERVAL: Duration = Duration::from_millis(450);
/// Samples further apart in time are not compared, since the load changes within
/// seconds.
const MAX_SAMPLE_DISTANCE: Duration = Duration::from_millis(1_300);
/// Weight of a difference between two samples of one task. A change within the half
/// second that a measurement covers shows only in part.
const SAME_TASK_FACTOR: f64 = 0.5;
/// Limit on the residual of a difference of log latencies, since single tasks at times
/// take several times as long.
const MAX_RESIDUAL: f64 = 1.0;
/// Weight of the prior in the regression, as the square of a share of a VM: equals one
/// sample of a serving task that shares its VM with a task that uses a tenth of it.
const PRIOR_STRENGTH: f64 = 0.01;
/// Time after which a sample counts half.
const HALF_LIFE: Duration = Duration::from_secs(90);
/// Solver rounds for each report; each call continues from the last result.
const SOLVER_ROUNDS: usize = 3;
/// Minimum change of a published weight that is sent to agents, as a fraction of the
/// weight.
const MIN_RELATIVE_CHANGE: f64 = 0.15;
/// Minimum absolute change of a published weight that is sent to agents.
const MIN_ABSOLUTE_CHANGE: f64 = 0.3;
/// Weight of the newest sample in the moving average of a task's baseline latency.
const NEWEST_FACTOR: f64 = 0.5;

/// Interference model of all pairs of images.
#[derive(Debug, Default)]
pub(super) struct InterferenceModel {
    /// One regression for each serving image.
    regressions: BTreeMap<Arc<str>, Regression>,
    /// Newest sample of each serving task.
    samples: BTreeMap<RunKey, LatencySample>,
    /// Time at which old samples were last dropped.
    forgotten_at: Time,
    /// Time of the last report of each VM from which the model has learnt.
    learnt_at: BTreeMap<VmName, Time>,
    weights: Weights,
    /// Weights for agents, with the version at which each was published.
    published: BTreeMap<ImagePair, (f64, u64)>,
    /// The pair whose weight was last published at each version.
    published_at: BTreeMap<u64, ImagePair>,
    /// Increases with each change of the published weights.
    published_version: u64,
}

/// A serving image and a best-effort image.
type ImagePair = (Arc<str>, Arc<str>);

/// Tail latency of a serving task with the usage of the best-effort tasks on
/// the same VM.
#[derive(Clone, Debug)]
struct LatencySample {
    at: Time,
    vm: VmName,
    log_latency: f64,
    usage: Vec<ImageUsage>,
}

/// Share of a VM that the best-effort tasks of one image use.
#[derive(Clone, Debug)]
struct ImageUsage {
    image: Arc<str>,
    share: f64,
}

/// Normal equations of a least-squares fit with one unknown for each best-effort
/// image.
#[derive(Debug, Default)]
struct Regression {
    images: Vec<Arc<str>>,
    normal_matrix: Vec<Vec<f64>>,
    normal_vector: Vec<f64>,
    weights: Vec<f64>,
    decayed_at: Time,
}

impl InterferenceModel {
    pub(super) const fn weights(&self) -> &Weights {
        &self.weights
    }

    pub(super) const fn version(&self) -> u64 {
        self.published_version
    }

    /// Weights that were published after this version.
    pub(super) fn published_since(&self, version: u64) -> Vec<Weight> {
        let mut weights = Vec::new();
        for pair in self.published_at.range(version + 1..).map(|(_, pair)| pair) {
            let (serving, best_effort) = pair;
            weights.push(Weight {
                serving_image: Arc::clone(serving),
                best_effort_image: Arc::clone(best_effort),
                weight: self
                    .published
                    .get(pair)
                    .map_or(PRIOR_WEIGHT, |(weight, _)| *weight),
            });
        }
        weights
    }

    fn publish(&mut self, pair: ImagePair, weight: f64) {
        self.published_version += 1;
        let version = self.published_version;
        if let Some((_, before)) = self.published.insert(pair.clone(), (weight, version)) {
            self.published_at.remove(&before);
        }
        self.published_at.insert(version, pair);
    }

    /// Adds a sample to the fit; returns the number of comparisons with other samples.
    fn add_sample(
        &mut self,
        now: Time,
        key: &RunKey,
        serves: &Arc<str>,
        sample: LatencySample,
    ) -> usize {
        let mut compared = 0;
        let siblings: Vec<LatencySample> = self.siblings(&key.task.job, &sample).cloned().collect();
        let before = self.samples.insert(key.clone(), sample.clone());
        let regression = self.regressions.entry(Arc::clone(serves)).or_default();
        regression.decay(now);
        for sibling in &siblings {
            regression.add_difference(&sample, sibling, 1.0 / siblings.len() as f64);
            compared += 1;
        }
        if let Some(before) = before.filter(|before| before.is_comparable(&sample)) {
            regression.add_difference(&sample, &before, SAME_TASK_FACTOR);
            compared += 1;
        }
        regression.solve();
        let mut notable = Vec::new();
        for (image, &weight) in regression.images.iter().zip(&regression.weights) {
            self.weights.set(&Weight {
                serving_image: Arc::clone(serves),
                best_effort_image: Arc::clone(image),
                weight,
            });
            let pair = (Arc::clone(serves), Arc::clone(image));
            let known = self.published.get(&pair).map(|(weight, _)| *weight);
            if is_notable(known, weight) {
                notable.push((pair, weight));
            }
        }
        for (pair, weight) in notable {
            tracing::info!(serves = %pair.0, fills = %pair.1, weight, "interference weight of an image pair changed");
            self.publish(pair, weight);
        }
        compared
    }

    /// Samples of other tasks of the job on other VMs at about the same time.
    fn siblings<'a>(
        &'a self,
        job: &'a JobName,
        sample: &'a LatencySample,
    ) -> impl Iterator<Item = &'a LatencySample> {
        let first = RunKey {
            task: TaskKey {
                job: job.clone(),
                occurrence: 0,
                step: 0,
                index: 0,
            },
            run: 0,
        };
        let of_job = self
            .samples
            .range(first..)
            .take_while(move |(key, _)| key.task.job == *job);
        of_job
            .map(|(_, other)| other)
            .filter(|other| other.vm != sample.vm && other.is_comparable(sample))
    }

    /// Drops samples that are too old to compare.
    fn forget(&mut self, now: Time) {
        if !(self.forgotten_at + MAX_SAMPLE_DISTANCE).passed(now) {
            return;
        }
        self.forgotten_at = now;
        self.samples
            .retain(|_, sample| !(sample.at + MAX_SAMPLE_DISTANCE).passed(now));
    }
}

fn is_notable(published: Option<f64>, weight: f64) -> bool {
    let published = published.unwrap_or(PRIOR_WEIGHT);
    (published - weight).abs() > (published * MIN_RELATIVE_CHANGE).max(MIN_ABSOLUTE_CHANGE)
}

impl LatencySample {
    fn is_comparable(&self, later: &Self) -> bool {
        !(self.at + MAX_SAMPLE_DISTANCE).passed(later.at)
    }
}

impl Regression {
    fn decay(&mut self, now: Time) {
        let span = now.since(self.decayed_at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        self.decayed_at = now;
        let kept = (-span).exp2();
        for sum in self
            .normal_matrix
            .iter_mut()
            .flatten()
            .chain(&mut self.normal_vector)
        {
            *sum *= kept;
        }
    }

    fn index(&mut self, image: &Arc<str>) -> usize {
        if let Some(index) = self.images.iter().position(|known| known == image) {
            return index;
        }
        self.images.push(Arc::clone(image));
        for row in &mut self.normal_matrix {
            row.push(0.0);
        }
        self.normal_matrix.push(vec![0.0; self.images.len()]);
        self.normal_vector.push(0.0);
        self.weights.push(PRIOR_WEIGHT);
        self.images.len() - 1
    }

    /// Adds the difference between two samples to the fit.
    fn add_difference(&mut self, one: &LatencySample, other: &LatencySample, factor: f64) {
        let used = one.usage.iter().chain(&other.usage);
        for entry in used {
            self.index(&entry.image);
        }
        let mut shares = vec![0.0; self.images.len()];
        for entry in &one.usage {
            shares[self.index(&entry.image)] += entry.share;
        }
        for entry in &other.usage {
            shares[self.index(&entry.image)] -= entry.share;
        }
        let expected: f64 = shares.iter().zip(&self.weights).map(|(p, w)| p * w).sum();
        let residual = one.log_latency - other.log_latency - expected;
        let bounded_difference = expected + residual.clamp(-MAX_RESIDUAL, MAX_RESIDUAL);
        for (row, &share) in shares.iter().enumerate() {
            if share == 0.0 {
                continue;
            }
            self.normal_vector[row] += factor * share * bounded_difference;
            for (column, &other) in shares.iter().enumerate() {
                self.normal_matrix[row][column] += factor * share * other;
            }
        }
    }

    /// Coordinate descent: sets each weight to its best value given the others, with
    /// zero as the minimum, since no task makes another one faster.
    fn solve(&mut self) {
        for _ in 0..SOLVER_ROUNDS {
            for row in 0..self.weights.len() {
                let mut explained = 0.0;
                for (column, weight) in self.weights.iter().enumerate() {
                    if column != row {
                        explained += self.normal_matrix[row][column] * weight;
                    }
                }
                let unexplained =
                    self.normal_vector[row] - explained + PRIOR_STRENGTH * PRIOR_WEIGHT;
                let weight = unexplained / (self.normal_matrix[row][row] + PRIOR_STRENGTH);
                self.weights[row] = weight.max(0.0);
            }
        }
    }
}

/// Share of the VM that best-effort tasks use, by image.
fn usage(vm: &Vm, running: &BTreeMap<RunKey, ActiveRun>) -> Vec<ImageUsage> {
    let mut sums: BTreeMap<Arc<str>, f64> = BTreeMap::new();
    for row in running.values() {
        let Some(assigned) = vm.runs.get(&row.key) else {
            continue;
        };
        if let Role::BestEffort { image, .. } = &assigned.role {
            let image = image_name(image.as_ref());
            *sums.entry(image).or_default() += cpu_share(row.measurement, vm.capacity_milli());
        }
    }
    let usage = sums.into_iter();
    usage
        .map(|(image, share)| ImageUsage { image, share })
        .collect()
}

impl Owner {
    /// Updates the model and the baselines of serving tasks from a worker's list of
    /// active runs.
    pub(super) fn learn_interference(&mut self, now: Time, name: &VmName) {
        let learnt_at = self
            .interference
            .learnt_at
            .get(name)
            .copied()
            .unwrap_or(Time::ZERO);
        if !(learnt_at + LEARN_INTERVAL).passed(now) {
            return;
        }
        let Some(vm) = self.vms.get_mut(name) else {
            return;
        };
        if !vm.has_serving_runs() {
            return;
        }
        self.interference.learnt_at.insert(name.clone(), now);
        self.interference.forget(now);
        let listing = std::mem::take(&mut vm.listing);
        let usage = usage(vm, listing.running());
        for row in listing.running().values() {
            let Some(assigned) = vm.runs.get_mut(&row.key) else {
                continue;
            };
            let Role::Serving {
                image,
                target_millis,
            } = &assigned.role
            else {
                continue;
            };
            if row.measurement == 0 {
                continue;
            }
            let serves = image_name(image.as_ref());
            let log_latency = (row.measurement as f64).ln();
            let sample = LatencySample {
                at: now,
                vm: name.clone(),
                log_latency,
                usage: usage.clone(),
            };
            let compared = self.interference.add_sample(now, &row.key, &serves, sample);
            self.work.samples_compared += compared as u64;
            self.work.weights_solved += 1;
            let mut baseline = log_latency - ((*target_millis).max(1) as f64).ln();
            for entry in &usage {
                baseline -= self.interference.weights.get(&serves, &entry.image) * entry.share;
            }
            let before = assigned.baseline.unwrap_or(baseline);
            assigned.baseline = Some(before + (baseline - before) * NEWEST_FACTOR);
        }
        vm.listing = listing;
    }
}
