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

mod record;

pub use record::{InterferenceRecord, PairRecord};

use super::{Owner, vm::Vm};
use crate::{
    interference::{
        KnownPairs, PRIOR_ERROR, PRIOR_WEIGHT, Weight, WeightEstimate, Weights, cpu_share,
        image_name,
    },
    lending::Baseline,
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
/// Standard deviation of a difference of log latencies that the weights do not explain, until
/// it is learnt.
const ASSUMED_NOISE: f64 = 0.2;
/// Number of differences as which the assumed deviation counts.
const ASSUMED_NOISE_COUNT: f64 = 20.0;
/// Degree to which a pair must be known for a log line of its own.
const MIN_LOGGED_DEGREE: f64 = 0.1;
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
    /// Known pairs of each best-effort image.
    known_pairs: Vec<KnownPairs>,
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
    written: record::WrittenRecord,
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
    /// Estimate of each weight from other pairs.
    priors: Vec<WeightEstimate>,
    /// Degree to which each weight was known after the last update, and the weight.
    known: Vec<(f64, f64)>,
    /// Sum of the squared residuals, and the sum of their factors.
    squared_residuals: f64,
    residual_count: f64,
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
        self.known_pairs.push(KnownPairs::default());
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
        let regression = self.regressions.entry(Arc::clone(serves));
        let regression = regression.or_insert_with(|| Regression::new(sample.at));
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
        regression.resize(self.images.len());
        let of_others = regression.set_priors(&self.known_pairs);
        regression.solve();
        regression.update_known(&mut self.known_pairs);
        self.weights.set_others(serves, of_others);
        let mut notable = Vec::new();
        for (number, image) in self.images.iter().enumerate() {
            let estimate = regression.estimate(number);
            self.weights.set_estimate(serves, image, estimate);
            let pair = (Arc::clone(serves), Arc::clone(image));
            let published = self.published.get(&pair).map(|(weight, _)| *weight);
            if is_notable(published, estimate.weight) {
                notable.push((pair, estimate, regression.degree(number)));
            }
        }
        let mut unknown_pairs = 0;
        for (pair, estimate, degree) in notable {
            if degree >= MIN_LOGGED_DEGREE {
                tracing::info!(serves = %pair.0, fills = %pair.1, weight = estimate.weight, error = estimate.error, "interference weight of an image pair changed");
            } else {
                unknown_pairs += 1;
            }
            self.publish(pair, estimate.weight);
        }
        if unknown_pairs > 0 {
            tracing::debug!(serves = %serves, unknown_pairs, "interference weights of unknown image pairs changed");
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
    fn new(now: Time) -> Self {
        Self {
            decayed_at: now,
            ..Self::default()
        }
    }

    fn decay(&mut self, now: Time) {
        let span = now.since(self.decayed_at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        self.decayed_at = now;
        let kept = (-span).exp2();
        let residuals = [&mut self.squared_residuals, &mut self.residual_count];
        for sum in self
            .normal_matrix
            .iter_mut()
            .flatten()
            .chain(&mut self.normal_vector)
            .chain(residuals)
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
        self.priors.resize(images, WeightEstimate::PRIOR);
        self.known.resize(images, (0.0, 0.0));
    }

    /// Sets the prior of each weight from the other pairs of both images. Returns the estimate
    /// for best-effort images of which nothing is known.
    fn set_priors(&mut self, pairs_of_images: &[KnownPairs]) -> WeightEstimate {
        let mut own_pairs = KnownPairs::default();
        for &(degree, weight) in &self.known {
            own_pairs.add(degree, weight);
        }
        let pairs_of_images = pairs_of_images.iter().copied();
        for ((prior, pairs), &(degree, weight)) in
            self.priors.iter_mut().zip(pairs_of_images).zip(&self.known)
        {
            // Both sums contain the pair itself.
            let mut others = own_pairs.with(pairs);
            others.remove(2.0 * degree, weight);
            *prior = others.estimate();
        }
        own_pairs.estimate()
    }

    /// Updates how well each weight is known, here and among the pairs of its image.
    fn update_known(&mut self, pairs_of_images: &mut [KnownPairs]) {
        for (number, pairs) in pairs_of_images.iter_mut().enumerate() {
            let (degree, weight) = self.known[number];
            pairs.remove(degree, weight);
            self.known[number] = (self.degree(number), self.weights[number]);
            let (degree, weight) = self.known[number];
            pairs.add(degree, weight);
        }
    }

    /// Variance of a difference of log latencies that the weights do not explain.
    fn noise_variance(&self) -> f64 {
        let assumed = ASSUMED_NOISE_COUNT * ASSUMED_NOISE.powi(2);
        (assumed + self.squared_residuals) / (ASSUMED_NOISE_COUNT + self.residual_count)
    }

    /// Precision of a weight from its own samples: the diagonal of the normal matrix over the
    /// noise. It leaves out the correlations between images, which would take the inverse of
    /// the matrix, so it is too high for images that always run together.
    fn precision(&self, number: usize) -> f64 {
        self.normal_matrix[number][number] / self.noise_variance()
    }

    /// Degree to which a weight is known from its own samples, between 0 and 1.
    fn degree(&self, number: usize) -> f64 {
        let precision = self.precision(number);
        precision / (precision + PRIOR_ERROR.powi(-2))
    }

    /// A weight with its error, to which both its prior and its samples contribute.
    fn estimate(&self, number: usize) -> WeightEstimate {
        let prior_variance = self.priors[number].error.powi(2).max(f64::MIN_POSITIVE);
        let precision = self.precision(number) + prior_variance.recip();
        WeightEstimate {
            weight: self.weights[number],
            error: precision.recip().sqrt(),
        }
    }

    /// Adds the difference between two samples to the fit: that of the shares of the images
    /// and that of the logarithms of the latencies.
    fn add_difference(&mut self, shares: &[f64], difference: f64, factor: f64) {
        self.resize(shares.len());
        let expected: f64 = shares.iter().zip(&self.weights).map(|(p, w)| p * w).sum();
        let residual = difference - expected;
        let residual = residual.clamp(-MAX_RESIDUAL, MAX_RESIDUAL);
        let bounded_difference = expected + residual;
        self.squared_residuals += factor * residual.powi(2);
        self.residual_count += factor;
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
    /// zero as the minimum, since no task makes another one faster. A weight without samples
    /// keeps its prior.
    fn solve(&mut self) {
        for _ in 0..SOLVER_ROUNDS {
            for row in 0..self.weights.len() {
                let prior = self.priors[row].weight;
                if self.normal_matrix[row][row] <= 0.0 {
                    self.weights[row] = prior;
                    continue;
                }
                let mut explained = 0.0;
                for (column, weight) in self.weights.iter().enumerate() {
                    if column != row {
                        explained += self.normal_matrix[row][column] * weight;
                    }
                }
                let unexplained = self.normal_vector[row] - explained + PRIOR_STRENGTH * prior;
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
                    let known = assigned.baseline;
                    let mut known = known.unwrap_or_else(|| Baseline::new(now, baseline));
                    let before = known.present();
                    known.update(now, before + (baseline - before) * NEWEST_FACTOR);
                    assigned.baseline = Some(known);
                }
            }
        }
    }
}
