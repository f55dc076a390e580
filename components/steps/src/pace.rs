//! How fast tasks that fill may work beside tasks that serve.
//!
//! The keeper sees the tail latency of serving tasks twice a second and without
//! cost, so it decides alone. What each serving task can still bear, as the
//! logarithm of a factor on its latency, is given out to the tasks that fill in
//! the order of their starts: the first work at full speed, so that their jobs
//! end in time, and the last wait. The owner, which sees all workers, tells how
//! much each pair of images disturbs.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use kernel::Time;

use crate::{
    interference::{Weights, cpu_share, image_name},
    message::{ActiveRun, Role, RunKey},
};

/// The pace beside serving tasks whose latency is not known yet, in percent.
const FIRST: u32 = 40;
/// The full pace, in percent.
const FULL: u32 = 100;
/// Below this pace, in percent, a task stands still: it would only keep its
/// memory for longer.
const LOWEST: u32 = 4;
/// Figures cover half a second and a pace is in force after 100 ms, so an
/// earlier figure would still show the pace before.
const INTERVAL: Duration = Duration::from_millis(600);
/// A change of a pace below this many percent is not worth a call.
const NOTICEABLE: u32 = 6;
/// After so many decisions in a row with a task over its target the weights are
/// wrong, and all that fills is slowed by half each time.
const OVER_TO_SLOW_ALL: u32 = 2;
/// After so many, 2.4 s, all that fills stands still; users bear 4 s.
const OVER_TO_STOP_ALL: u32 = 4;

/// What a serving task can bear.
#[derive(Clone, Debug)]
struct Bearer {
    image: Arc<str>,
    /// The logarithm of the factor on its latency that is not given out.
    left: f64,
}

/// The paces of the tasks that fill on one worker.
#[derive(Clone, Debug, Default)]
pub struct Pacer {
    next: Time,
    /// What serving tasks could bear at the last decision.
    bearers: Vec<Bearer>,
    /// How many decisions in a row each serving task was over its target.
    over: BTreeMap<RunKey, u32>,
    /// The paces in force; a run without one works at full speed.
    paces: BTreeMap<RunKey, u32>,
}

impl Pacer {
    /// Takes in new figures of a worker with so many thousandths of a core;
    /// gives the runs whose pace has to change.
    pub fn decide(
        &mut self,
        now: Time,
        capacity_milli: u64,
        running: &[ActiveRun],
        roles: &BTreeMap<RunKey, Role>,
        weights: &Weights,
    ) -> Vec<(RunKey, u32)> {
        let serves = |row: &&ActiveRun| matches!(roles.get(&row.key), Some(Role::Serving { .. }));
        if !running.iter().any(|row| serves(&row)) {
            self.bearers.clear();
            self.over.clear();
            self.next = Time::ZERO;
            return self.all_at(running, roles, FULL);
        }
        if !self.next.passed(now) {
            return Vec::new();
        }
        self.next = now + INTERVAL;
        self.bearers = bearers(capacity_milli, running, roles, weights);
        let slowed = self.count_over(running, roles);
        if slowed >= OVER_TO_STOP_ALL {
            return self.all_at(running, roles, 0);
        }
        let most = match slowed >= OVER_TO_SLOW_ALL {
            true => FULL >> (slowed - OVER_TO_SLOW_ALL + 1),
            false => FULL,
        };
        let mut rows: Vec<&ActiveRun> = running.iter().collect();
        rows.sort_unstable_by_key(|row| row.key.run);
        let mut changes = Vec::new();
        for row in rows {
            let Some(role @ Role::BestEffort { .. }) = roles.get(&row.key) else {
                continue;
            };
            let percent = self.give(role, capacity_milli, weights).min(most);
            let before = self.pace(&row.key);
            let is_end = percent == FULL || percent == 0;
            let is_worth_it = percent.abs_diff(before) >= NOTICEABLE || is_end;
            if percent != before && is_worth_it {
                changes.push((row.key.clone(), percent));
            }
        }
        if !changes.is_empty() {
            tracing::info!(
                paces = changes.len(),
                least_left = self.least_left(),
                over = slowed,
                "pace of tasks that fill"
            );
        }
        changes
    }

    /// The pace at which a task of that role has to start, in percent.
    pub fn first(&mut self, role: &Role, capacity_milli: u64, weights: &Weights) -> u32 {
        match self.bearers.is_empty() && self.next != Time::ZERO {
            true => FIRST,
            false => self.give(role, capacity_milli, weights),
        }
    }

    /// Notes a pace that the worker has taken.
    pub fn set(&mut self, key: &RunKey, percent: u32) {
        self.paces.insert(key.clone(), percent);
    }

    /// Forgets a run that has ended.
    pub fn forget(&mut self, key: &RunKey) {
        self.paces.remove(key);
        self.over.remove(key);
    }

    /// The pace in force, in percent.
    #[must_use]
    pub fn pace(&self, key: &RunKey) -> u32 {
        self.paces.get(key).copied().unwrap_or(FULL)
    }

    fn all_at(
        &self,
        running: &[ActiveRun],
        roles: &BTreeMap<RunKey, Role>,
        percent: u32,
    ) -> Vec<(RunKey, u32)> {
        let mut changes = Vec::new();
        for row in running {
            let fills = matches!(roles.get(&row.key), Some(Role::BestEffort { .. }));
            if fills && self.pace(&row.key) != percent {
                changes.push((row.key.clone(), percent));
            }
        }
        changes
    }

    /// Gives a task what serving tasks can still bear of it.
    fn give(&mut self, role: &Role, capacity_milli: u64, weights: &Weights) -> u32 {
        let Role::BestEffort { image, cpu_milli } = role else {
            return FULL;
        };
        let image = image_name(image.as_ref());
        let part = cpu_share(*cpu_milli, capacity_milli);
        let mut pace: f64 = 1.0;
        for bearer in &self.bearers {
            let whole = weights.get(&bearer.image, &image) * part;
            if whole > 0.0 {
                pace = pace.min((bearer.left / whole).max(0.0));
            }
        }
        let percent = (pace * f64::from(FULL)).round() as u32;
        if percent < LOWEST {
            return 0;
        }
        for bearer in &mut self.bearers {
            bearer.left -= weights.get(&bearer.image, &image) * part * pace;
        }
        percent
    }

    /// Counts how long serving tasks are over their targets; gives the longest.
    fn count_over(&mut self, running: &[ActiveRun], roles: &BTreeMap<RunKey, Role>) -> u32 {
        let mut longest = 0;
        for row in running {
            let Some(Role::Serving { target_millis, .. }) = roles.get(&row.key) else {
                continue;
            };
            if row.measurement < *target_millis {
                self.over.remove(&row.key);
                continue;
            }
            let count = self.over.entry(row.key.clone()).or_default();
            *count += 1;
            longest = longest.max(*count);
        }
        longest
    }

    fn least_left(&self) -> f64 {
        let left = self.bearers.iter().map(|bearer| bearer.left);
        left.fold(f64::INFINITY, f64::min)
    }
}

/// What each serving task can bear: what it bears now and what is left up to its
/// target. Placement keeps a distance from the target; the paces need none.
fn bearers(
    capacity_milli: u64,
    running: &[ActiveRun],
    roles: &BTreeMap<RunKey, Role>,
    weights: &Weights,
) -> Vec<Bearer> {
    let mut bearers = Vec::new();
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
        let borne = borne(&image, capacity_milli, running, roles, weights);
        let rest = ((*target_millis).max(1) as f64 / row.measurement as f64).ln();
        bearers.push(Bearer {
            image,
            left: borne + rest,
        });
    }
    bearers
}

/// What a serving image bears from the processor time in use by those that fill.
fn borne(
    serves: &Arc<str>,
    capacity_milli: u64,
    running: &[ActiveRun],
    roles: &BTreeMap<RunKey, Role>,
    weights: &Weights,
) -> f64 {
    let mut sum = 0.0;
    for row in running {
        if let Some(Role::BestEffort { image, .. }) = roles.get(&row.key) {
            let image = image_name(image.as_ref());
            sum += weights.get(serves, &image) * cpu_share(row.measurement, capacity_milli);
        }
    }
    sum
}
