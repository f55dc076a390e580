//! Paces of best-effort tasks that run on the same worker as serving tasks.
//!
//! The agent gets the tail latency of serving tasks twice a second with its polls, so
//! it decides without the owner. Each serving task has a headroom: the logarithm of
//! the factor by which its latency may still rise. The headroom is allocated to
//! best-effort tasks: first to those that hardly interfere, then to the others in the
//! order of their starts: the earliest run at full speed, so that their jobs end in time,
//! and the latest wait. The owner, which has the reports of all workers, provides the
//! interference weight of each pair of images.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use kernel::Time;

use crate::{
    interference::{Weights, cpu_share, image_name},
    message::{ActiveRun, Role, RunKey},
};

/// Initial pace in percent on a worker with serving tasks whose latency is not known
/// yet.
const INITIAL_PACE: u32 = 40;
/// Full speed in percent.
const FULL_PACE: u32 = 100;
/// Lowest pace in percent; a task below it is paused, since slower progress would only
/// occupy memory for longer.
const MIN_PACE: u32 = 4;
/// Measurements cover half a second and a pace takes effect after 100 ms, so an
/// earlier measurement would still reflect the previous pace.
const DECISION_INTERVAL: Duration = Duration::from_millis(600);
/// Smallest change of a pace, in percentage points, that justifies a call to the
/// worker.
const MIN_CHANGE: u32 = 6;
/// From this many decision intervals with a serving task over its target on, the weights are
/// considered too low and the limit on the paces of interfering tasks is halved with each
/// interval.
const LIMIT_AFTER: u32 = 2;
/// Highest logarithm of the factor on a serving task's latency up to which a best-effort task
/// hardly interferes. Agents know weights with an error of about this effect.
const MINOR_EFFECT: f64 = 0.05;
/// Number of decision intervals with a serving task over its target after which all best-effort
/// tasks are paused: 2.4 s, while users tolerate 4 s. The first measurement may come a second after
/// the start of a task, since a poll may be waiting then.
const STOP_ALL_AFTER: u32 = 4;

/// Latency headroom of a serving task.
#[derive(Clone, Debug)]
struct ServingHeadroom {
    image: Arc<str>,
    /// Logarithm of the factor by which the latency may still rise, less what has been
    /// allocated.
    headroom: f64,
}

/// Paces of the best-effort tasks on one worker.
#[derive(Clone, Debug, Default)]
pub struct Pacer {
    next_decision: Time,
    /// Headrooms that remain after the last decision and the starts since then.
    headrooms: Vec<ServingHeadroom>,
    /// When each serving task that is over its target was first found to be.
    over_target: BTreeMap<RunKey, Time>,
    /// Paces in force in percent; a run that is not listed works at full speed.
    paces: BTreeMap<RunKey, u32>,
    /// Progress of the best-effort tasks against full speed.
    speeds: BTreeMap<RunKey, SpeedRecord>,
}

/// How much of its time a best-effort task has lost.
#[derive(Clone, Copy, Debug)]
struct SpeedRecord {
    first_seen: Time,
    last_seen: Time,
    /// Time lost to paces below full speed.
    paced: Duration,
    /// Time lost in all, by the CPU time that the task got.
    lost: Duration,
}

impl Pacer {
    /// Computes paces from new measurements of a worker with `capacity_milli`
    /// thousandths of a core. Returns the runs whose pace must change.
    pub fn decide(
        &mut self,
        now: Time,
        capacity_milli: u64,
        running: &[ActiveRun],
        roles: &BTreeMap<RunKey, Role>,
        weights: &Weights,
    ) -> Vec<(RunKey, u32)> {
        self.record_speeds(now, running, roles);
        let is_serving =
            |row: &&ActiveRun| matches!(roles.get(&row.key), Some(Role::Serving { .. }));
        if !running.iter().any(|row| is_serving(&row)) {
            self.headrooms.clear();
            self.over_target.clear();
            self.next_decision = Time::ZERO;
            return self.all_at(running, roles, FULL_PACE);
        }
        if !self.next_decision.passed(now) {
            return Vec::new();
        }
        self.next_decision = now + DECISION_INTERVAL;
        self.headrooms = headrooms(capacity_milli, running, roles, weights);
        let longest_over = self.intervals_over(now, running, roles);
        if longest_over >= STOP_ALL_AFTER {
            return self.all_at(running, roles, 0);
        }
        let max_pace = match longest_over >= LIMIT_AFTER {
            true => FULL_PACE >> (longest_over - LIMIT_AFTER + 1),
            false => FULL_PACE,
        };
        let mut rows = Vec::new();
        for row in running {
            if let Some(role @ Role::BestEffort { .. }) = roles.get(&row.key) {
                let is_minor = self.has_minor_effect(role, capacity_milli, weights);
                rows.push((!is_minor, row.key.run, row, role));
            }
        }
        rows.sort_unstable_by_key(|(interferes, run, ..)| (*interferes, *run));
        let mut changes = Vec::new();
        for (interferes, _, row, role) in rows {
            let limit = if interferes { max_pace } else { FULL_PACE };
            let percent = self.allocate(role, capacity_milli, weights).min(limit);
            let before = self.pace(&row.key);
            let is_limit = percent == FULL_PACE || percent == 0;
            let is_noticeable = percent.abs_diff(before) >= MIN_CHANGE || is_limit;
            if percent != before && is_noticeable {
                changes.push((row.key.clone(), percent));
            }
        }
        if !changes.is_empty() {
            tracing::info!(
                paces = changes.len(),
                least_left = self.least_headroom(),
                over = longest_over,
                "paces of best-effort tasks changed"
            );
        }
        changes
    }

    /// Pace in percent at which a task of this role must start.
    pub fn initial_pace(&mut self, role: &Role, capacity_milli: u64, weights: &Weights) -> u32 {
        match self.headrooms.is_empty() && self.next_decision != Time::ZERO {
            true => INITIAL_PACE,
            false => self.allocate(role, capacity_milli, weights),
        }
    }

    /// Records a pace that the worker has set.
    pub fn record_pace(&mut self, key: &RunKey, percent: u32) {
        self.paces.insert(key.clone(), percent);
    }

    /// Removes a run that has ended.
    pub fn remove(&mut self, key: &RunKey) {
        let pace = self.paces.remove(key);
        self.over_target.remove(key);
        if let Some(speed) = self.speeds.remove(key) {
            tracing::info!(
                task = %key.task,
                run = key.run,
                seen_ms = speed.last_seen.since(speed.first_seen).as_millis() as u64,
                paced_ms = speed.paced.as_millis() as u64,
                lost_ms = speed.lost.as_millis() as u64,
                last_pace = pace.unwrap_or(FULL_PACE),
                "best-effort run ended"
            );
        }
    }

    /// Adds the time since the last measurements to the records of the best-effort tasks.
    fn record_speeds(&mut self, now: Time, running: &[ActiveRun], roles: &BTreeMap<RunKey, Role>) {
        for row in running {
            let Some(Role::BestEffort { cpu_milli, .. }) = roles.get(&row.key) else {
                continue;
            };
            let pace = self.pace(&row.key);
            let speed = self.speeds.entry(row.key.clone()).or_insert(SpeedRecord {
                first_seen: now,
                last_seen: now,
                paced: Duration::ZERO,
                lost: Duration::ZERO,
            });
            let elapsed = now.since(speed.last_seen);
            speed.last_seen = now;
            speed.paced += elapsed * FULL_PACE.saturating_sub(pace) / FULL_PACE;
            let used = cpu_share(row.measurement, *cpu_milli).min(1.0);
            speed.lost += elapsed.mul_f64(1.0 - used);
        }
    }

    /// Pace in force in percent.
    #[must_use]
    pub fn pace(&self, key: &RunKey) -> u32 {
        self.paces.get(key).copied().unwrap_or(FULL_PACE)
    }

    fn all_at(
        &self,
        running: &[ActiveRun],
        roles: &BTreeMap<RunKey, Role>,
        percent: u32,
    ) -> Vec<(RunKey, u32)> {
        let mut changes = Vec::new();
        for row in running {
            let is_best_effort = matches!(roles.get(&row.key), Some(Role::BestEffort { .. }));
            if is_best_effort && self.pace(&row.key) != percent {
                changes.push((row.key.clone(), percent));
            }
        }
        changes
    }

    /// Whether a task hardly interferes with any serving task, even at full speed.
    fn has_minor_effect(&self, role: &Role, capacity_milli: u64, weights: &Weights) -> bool {
        let Role::BestEffort { image, cpu_milli } = role else {
            return true;
        };
        let image = image_name(image.as_ref());
        let share = cpu_share(*cpu_milli, capacity_milli);
        let mut serving = self.headrooms.iter();
        serving.all(|serving| weights.get(&serving.image, &image) * share <= MINOR_EFFECT)
    }

    /// Allocates headroom to a task. Returns its pace in percent.
    fn allocate(&mut self, role: &Role, capacity_milli: u64, weights: &Weights) -> u32 {
        let Role::BestEffort { image, cpu_milli } = role else {
            return FULL_PACE;
        };
        let image = image_name(image.as_ref());
        let share = cpu_share(*cpu_milli, capacity_milli);
        let mut pace: f64 = 1.0;
        for serving in &self.headrooms {
            let full_effect = weights.get(&serving.image, &image) * share;
            if full_effect > MINOR_EFFECT {
                pace = pace.min((serving.headroom / full_effect).max(0.0));
            }
        }
        let percent = (pace * f64::from(FULL_PACE)).round() as u32;
        if percent < MIN_PACE {
            return 0;
        }
        for serving in &mut self.headrooms {
            serving.headroom -= weights.get(&serving.image, &image) * share * pace;
        }
        percent
    }

    /// Returns for how many decision intervals, begun ones included, a serving task has been over
    /// its target. Measurements may come less often than decisions may be made.
    fn intervals_over(
        &mut self,
        now: Time,
        running: &[ActiveRun],
        roles: &BTreeMap<RunKey, Role>,
    ) -> u32 {
        let mut longest = 0;
        for row in running {
            let Some(Role::Serving { target_millis, .. }) = roles.get(&row.key) else {
                continue;
            };
            if row.measurement < *target_millis {
                self.over_target.remove(&row.key);
                continue;
            }
            let since = *self.over_target.entry(row.key.clone()).or_insert(now);
            let intervals = now.since(since).as_millis() / DECISION_INTERVAL.as_millis() + 1;
            longest = longest.max(u32::try_from(intervals).unwrap_or(u32::MAX));
        }
        longest
    }

    fn least_headroom(&self) -> f64 {
        let values = self.headrooms.iter().map(|serving| serving.headroom);
        values.fold(f64::INFINITY, f64::min)
    }
}

/// Headroom of each serving task: the present interference plus the distance to the
/// target. Placement keeps a margin below the target; paces need none.
fn headrooms(
    capacity_milli: u64,
    running: &[ActiveRun],
    roles: &BTreeMap<RunKey, Role>,
    weights: &Weights,
) -> Vec<ServingHeadroom> {
    let mut headrooms = Vec::new();
    for row in running {
        let Some(Role::Serving {
            target_millis,
            image,
        }) = roles.get(&row.key)
        else {
            continue;
        };
        if row.measurement == 0 {
            continue;
        }
        let image = image_name(image.as_ref());
        let present = current_interference(&image, capacity_milli, running, roles, weights);
        let remaining = ((*target_millis).max(1) as f64 / row.measurement as f64).ln();
        headrooms.push(ServingHeadroom {
            image,
            headroom: present + remaining,
        });
    }
    headrooms
}

/// Interference on a serving image from the CPU time that best-effort tasks use at
/// present.
fn current_interference(
    serving_image: &Arc<str>,
    capacity_milli: u64,
    running: &[ActiveRun],
    roles: &BTreeMap<RunKey, Role>,
    weights: &Weights,
) -> f64 {
    let mut sum = 0.0;
    for row in running {
        if let Some(Role::BestEffort { image, .. }) = roles.get(&row.key) {
            let image = image_name(image.as_ref());
            sum += weights.get(serving_image, &image) * cpu_share(row.measurement, capacity_milli);
        }
    }
    sum
}
