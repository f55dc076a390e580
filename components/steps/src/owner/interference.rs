//! Learns from reports how much best-effort tasks slow down serving tasks.
//!
//! The latency of a serving task depends on its load as well as on its neighbours.
//! Tasks of one job share their load, so the latency difference between two of them on
//! different VMs, or between two samples of one task shortly after each other, is
//! attributed to the neighbours. A non-negative regression on these differences gives
//! the weight of each pair of images.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
    time::Duration,
};

use kernel::{JobName, Time, VmName};

use super::{Owner, vm::Vm};
use crate::{
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
/// Interval between two updates of the weights of a serving image.
const SOLVE_INTERVAL: Duration = Duration::from_millis(450);
/// Solver rounds for each update; each update continues from the last result.
const SOLVER_ROUNDS: usize = 8;
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
    /// Best-effort images, by their number in [`Usage`] and in the regressions.
    images: Vec<Arc<str>>,
    image_numbers: BTreeMap<Arc<str>, usize>,
    /// Newest samples of the tasks of each serving job.
    groups: BTreeMap<JobName, Group>,
    /// Samples in the order in which they grow too old to compare.
    ages: VecDeque<(Time, RunKey)>,
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

/// Share of a VM that the best-effort tasks of each image use, by the number of the image.
type Usage = Arc<[(usize, f64)]>;

/// Tail latency of a serving task with the usage of the best-effort tasks on
/// the same VM.
#[derive(Clone, Debug)]
struct LatencySample {
    at: Time,
    log_latency: f64,
    usage: Usage,
}

/// Newest samples of the tasks of a job, with their sums, so that the cost of a comparison
/// with all of them does not depend on their number.
#[derive(Debug, Default)]
struct Group {
    samples: BTreeMap<RunKey, LatencySample>,
    sums: Sums,
}

/// Sums over samples.
#[derive(Clone, Debug, Default)]
struct Sums {
    count: usize,
    log_latency: f64,
    /// Sum of the shares of each image.
    shares: Vec<f64>,
}

/// Normal equations of a least-squares fit with one unknown for each best-effort
/// image.
#[derive(Debug, Default)]
struct Regression {
    normal_matrix: Vec<Vec<f64>>,
    normal_vector: Vec<f64>,
    weights: Vec<f64>,
    decayed_at: Time,
    solved_at: Time,
}

impl Sums {
    fn add(&mut self, sample: &LatencySample) {
        self.count += 1;
        self.log_latency += sample.log_latency;
        add_usage(&mut self.shares, &sample.usage, 1.0);
    }

    fn remove(&mut self, sample: &LatencySample) {
        self.count -= 1;
        self.log_latency -= sample.log_latency;
        add_usage(&mut self.shares, &sample.usage, -1.0);
    }
}

impl Group {
    fn insert(&mut self, key: RunKey, sample: LatencySample) {
        self.remove(&key);
        self.sums.add(&sample);
        self.samples.insert(key, sample);
    }

    fn remove(&mut self, key: &RunKey) {
        if let Some(sample) = self.samples.remove(key) {
            self.sums.remove(&sample);
        }
    }

    /// Sums over the samples of all tasks but these.
    fn sums_without(&self, keys: &[RunKey]) -> Sums {
        let mut sums = self.sums.clone();
        for sample in keys.iter().filter_map(|key| self.samples.get(key)) {
            sums.remove(sample);
        }
        sums
    }
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

    /// Number of a best-effort image.
    fn image_number(&mut self, image: &Arc<str>) -> usize {
        if let Some(&number) = self.image_numbers.get(image) {
            return number;
        }
        let number = self.images.len();
        self.images.push(Arc::clone(image));
        self.image_numbers.insert(Arc::clone(image), number);
        number
    }

    /// Compares a sample with the mean of its job's samples on other VMs and with the last
    /// sample of its task. Returns the number of comparisons.
    fn add_sample(
        &mut self,
        key: &RunKey,
        serves: &Arc<str>,
        sample: LatencySample,
        others: &Sums,
    ) -> usize {
        let group = self.groups.entry(key.task.job.clone()).or_default();
        let before = group.samples.get(key).cloned();
        let regression = self.regressions.entry(Arc::clone(serves)).or_default();
        let mut compared = 0;
        if others.count > 0 {
            let count = others.count as f64;
            let mut shares: Vec<f64> = others.shares.iter().map(|sum| -sum / count).collect();
            add_usage(&mut shares, &sample.usage, 1.0);
            let difference = sample.log_latency - others.log_latency / count;
            // The weight that the differences from each of them would have together.
            regression.add_difference(&shares, difference, 2.0 * count / (count + 1.0));
            compared += 1;
        }
        if let Some(before) = before.filter(|before| before.is_comparable(&sample)) {
            let mut shares = Vec::new();
            add_usage(&mut shares, &sample.usage, 1.0);
            add_usage(&mut shares, &before.usage, -1.0);
            let difference = sample.log_latency - before.log_latency;
            regression.add_difference(&shares, difference, SAME_TASK_FACTOR);
            compared += 1;
        }
        self.ages.push_back((sample.at, key.clone()));
        group.insert(key.clone(), sample);
        compared
    }

    /// Updates the weights of a serving image, if an update is due. Returns whether it was.
    fn update_weights(&mut self, now: Time, serves: &Arc<str>) -> bool {
        let Some(regression) = self.regressions.get_mut(serves) else {
            return false;
        };
        if !(regression.solved_at + SOLVE_INTERVAL).passed(now) {
            return false;
        }
        regression.solved_at = now;
        regression.decay(now);
        regression.solve();
        let mut notable = Vec::new();
        for (image, &weight) in self.images.iter().zip(&regression.weights) {
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
        true
    }

    /// Weight of a pair of images.
    fn weight(&self, serves: &Arc<str>, image: usize) -> f64 {
        let regression = self.regressions.get(serves);
        let weight = regression.and_then(|regression| regression.weights.get(image));
        weight.copied().unwrap_or(PRIOR_WEIGHT)
    }

    /// Drops samples that are too old to compare.
    fn forget(&mut self, now: Time) {
        while let Some((at, key)) = self.ages.pop_front_if(|(at, _)| is_old(*at, now)) {
            let Some(group) = self.groups.get_mut(&key.task.job) else {
                continue;
            };
            if group
                .samples
                .get(&key)
                .is_some_and(|sample| sample.at == at)
            {
                group.remove(&key);
            }
            if group.samples.is_empty() {
                self.groups.remove(&key.task.job);
            }
        }
    }
}

/// Whether a sample is too old to be compared with one of `now`.
fn is_old(at: Time, now: Time) -> bool {
    (at + MAX_SAMPLE_DISTANCE).passed(now)
}

fn add_usage(shares: &mut Vec<f64>, usage: &Usage, factor: f64) {
    for &(image, share) in usage.iter() {
        if shares.len() <= image {
            shares.resize(image + 1, 0.0);
        }
        shares[image] += factor * share;
    }
}

fn is_notable(published: Option<f64>, weight: f64) -> bool {
    let published = published.unwrap_or(PRIOR_WEIGHT);
    (published - weight).abs() > (published * MIN_RELATIVE_CHANGE).max(MIN_ABSOLUTE_CHANGE)
}

impl LatencySample {
    fn is_comparable(&self, later: &Self) -> bool {
        !is_old(self.at, later.at)
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

    fn resize(&mut self, images: usize) {
        if images <= self.weights.len() {
            return;
        }
        for row in &mut self.normal_matrix {
            row.resize(images, 0.0);
        }
        self.normal_matrix.resize(images, vec![0.0; images]);
        self.normal_vector.resize(images, 0.0);
        self.weights.resize(images, PRIOR_WEIGHT);
    }

    /// Adds the difference between two samples to the fit: that of the shares of the images
    /// and that of the logarithms of the latencies.
    fn add_difference(&mut self, shares: &[f64], difference: f64, factor: f64) {
        self.resize(shares.len());
        let expected: f64 = shares.iter().zip(&self.weights).map(|(p, w)| p * w).sum();
        let residual = difference - expected;
        let bounded_difference = expected + residual.clamp(-MAX_RESIDUAL, MAX_RESIDUAL);
        for (row, &share) in shares.iter().enumerate() {
            if share == 0.0 {
                continue;
            }
            self.normal_vector[row] += factor * share * bounded_difference;
            for (sum, &other) in self.normal_matrix[row].iter_mut().zip(shares) {
                *sum += factor * share * other;
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
fn usage(vm: &Vm, running: &BTreeMap<RunKey, ActiveRun>) -> BTreeMap<Arc<str>, f64> {
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
    sums
}

/// Latency of a serving task as a VM reports it.
struct ServingRow {
    key: RunKey,
    serves: Arc<str>,
    target_millis: u64,
    log_latency: f64,
}

/// Latencies of the serving tasks on a VM, by job.
fn serving_rows(vm: &Vm) -> BTreeMap<JobName, Vec<ServingRow>> {
    let mut rows: BTreeMap<JobName, Vec<ServingRow>> = BTreeMap::new();
    for row in vm.listing.running().values() {
        let Some(assigned) = vm.runs.get(&row.key) else {
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
        let of_job = rows.entry(row.key.task.job.clone()).or_default();
        of_job.push(ServingRow {
            key: row.key.clone(),
            serves: image_name(image.as_ref()),
            target_millis: *target_millis,
            log_latency: (row.measurement as f64).ln(),
        });
    }
    rows
}

impl Owner {
    /// Updates the model and the baselines of serving tasks from a worker's list of
    /// active runs.
    pub(super) fn learn_interference(&mut self, now: Time, name: &VmName) {
        let model = &mut self.interference;
        let learnt_at = model.learnt_at.get(name).copied().unwrap_or(Time::ZERO);
        if !(learnt_at + LEARN_INTERVAL).passed(now) {
            return;
        }
        let Some(vm) = self.vms.get_mut(name) else {
            return;
        };
        if !vm.has_serving_runs() {
            return;
        }
        model.learnt_at.insert(name.clone(), now);
        model.forget(now);
        let usage = usage(vm, vm.listing.running());
        let usage: Usage = usage
            .into_iter()
            .map(|(image, share)| (model.image_number(&image), share))
            .collect();
        for (job, rows) in serving_rows(vm) {
            let keys: Vec<RunKey> = rows.iter().map(|row| row.key.clone()).collect();
            let group = model.groups.get(&job);
            let others = group.map(|group| group.sums_without(&keys));
            let others = others.unwrap_or_default();
            for row in rows {
                let sample = LatencySample {
                    at: now,
                    log_latency: row.log_latency,
                    usage: Arc::clone(&usage),
                };
                let compared = model.add_sample(&row.key, &row.serves, sample, &others);
                self.work.samples_compared += compared as u64;
                self.work.weights_solved += u64::from(model.update_weights(now, &row.serves));
                let mut baseline = row.log_latency - (row.target_millis.max(1) as f64).ln();
                for &(image, share) in usage.iter() {
                    baseline -= model.weight(&row.serves, image) * share;
                }
                if let Some(assigned) = vm.runs.get_mut(&row.key) {
                    let before = assigned.baseline.unwrap_or(baseline);
                    assigned.baseline = Some(before + (baseline - before) * NEWEST_FACTOR);
                }
            }
        }
    }
}
