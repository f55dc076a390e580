//! How fast tasks that fill may work beside tasks that serve.
//!
//! The keeper sees the tail latency of serving tasks twice a second and without
//! cost, so it decides alone: one level for its worker, moved to where the worst
//! serving task is expected just below its target. The owner, which sees all
//! workers, tells it how much each image disturbs: harmless ones go on at full
//! speed while others are slowed down.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use kernel::Time;

use crate::message::{Role, RunKey, Running};

/// The part of its target at which the worst serving task is held.
const AIM: f64 = 0.85;
/// The part of its target that a serving task takes without any disturbance;
/// what is above it is taken to grow with the level.
const UNDISTURBED: f64 = 0.25;
/// Above this part of its target a serving task has missed it.
const MISSED: f64 = 1.0;
/// The largest steps of the level, down and up.
const STEPS: (f64, f64) = (0.25, 1.4);
/// Below this level, in percent, tasks that fill stand still.
const LOWEST: f64 = 5.0;
/// The full pace, in percent.
const FULL: f64 = 100.0;
/// The highest level, in percent, at which images of 2.5 times the weight at the
/// level work at full speed; few are heavier.
const HIGHEST: f64 = 250.0;
/// The level at which tasks that fill begin beside one that serves.
const FIRST: f64 = 40.0;
/// Figures cover half a second and a pace is in force after 100 ms, so an
/// earlier figure would still show the level before.
const INTERVAL: Duration = Duration::from_millis(600);
/// A change of the level below this part is not worth a call.
const NOTICEABLE: f64 = 0.08;
/// The weight of an image that works exactly at the level; one of a tenth of
/// this weight works ten times as fast.
const WEIGHT_AT_LEVEL: f64 = 1.2;
/// The least weight that is told apart from none.
const LEAST_WEIGHT: f64 = 0.05;

/// The level of the tasks that fill on one worker.
#[derive(Clone, Debug)]
pub struct Pacer {
    level: f64,
    next: Time,
    /// The paces in force; a run without one works at full speed.
    paces: BTreeMap<RunKey, u32>,
}

impl Default for Pacer {
    fn default() -> Self {
        Self {
            level: HIGHEST,
            next: Time::ZERO,
            paces: BTreeMap::new(),
        }
    }
}

impl Pacer {
    /// Takes in new figures; gives the runs whose pace has to change.
    pub fn decide(
        &mut self,
        now: Time,
        running: &[Running],
        roles: &BTreeMap<RunKey, Role>,
        weights: &BTreeMap<Arc<str>, f64>,
    ) -> Vec<(RunKey, u32)> {
        match worst_part(running, roles) {
            None => {
                self.level = HIGHEST;
                self.next = Time::ZERO;
            }
            Some(part) => self.follow(now, part),
        }
        let mut changes = Vec::new();
        for row in running {
            let Some(role @ Role::Fills { .. }) = roles.get(&row.key) else {
                continue;
            };
            let percent = self.percent(role, weights);
            if self.paces.get(&row.key).copied().unwrap_or(100) != percent {
                changes.push((row.key.clone(), percent));
            }
        }
        changes
    }

    fn follow(&mut self, now: Time, part: f64) {
        if self.next == Time::ZERO {
            self.level = FIRST;
            self.next = now + INTERVAL;
            return;
        }
        if !self.next.passed(now) {
            return;
        }
        self.next = now + INTERVAL;
        let (down, up) = STEPS;
        let disturbed = part - UNDISTURBED;
        let factor = match disturbed > 0.0 {
            true => ((AIM - UNDISTURBED) / disturbed).clamp(down, up),
            false => up,
        };
        let wanted = (self.level.max(LOWEST) * factor).min(HIGHEST);
        let level = match wanted < LOWEST {
            true if part >= MISSED => 0.0,
            true => LOWEST,
            false => wanted,
        };
        if (level - self.level).abs() < self.level * NOTICEABLE {
            return;
        }
        tracing::info!(
            worst_percent_of_target = (part * 100.0).round() as u64,
            from_percent = self.level.round() as u64,
            to_percent = level.round() as u64,
            "pace of tasks that fill"
        );
        self.level = level;
    }

    /// The pace of a task of that role, in whole percent.
    #[must_use]
    pub fn percent(&self, role: &Role, weights: &BTreeMap<Arc<str>, f64>) -> u32 {
        let Role::Fills { image } = role else {
            return 100;
        };
        let weight = image.as_ref().and_then(|image| weights.get(image));
        let weight = weight.copied().unwrap_or(WEIGHT_AT_LEVEL);
        let level = self.level * WEIGHT_AT_LEVEL / weight.max(LEAST_WEIGHT);
        level.min(FULL).round() as u32
    }

    /// Notes a pace that the worker has taken.
    pub fn set(&mut self, key: &RunKey, percent: u32) {
        self.paces.insert(key.clone(), percent);
    }

    /// Forgets a run that has ended.
    pub fn forget(&mut self, key: &RunKey) {
        self.paces.remove(key);
    }
}

/// The tail latency of the worst serving task, as a part of its target.
fn worst_part(running: &[Running], roles: &BTreeMap<RunKey, Role>) -> Option<f64> {
    let mut worst: Option<f64> = None;
    for row in running {
        if let Some(Role::Serves { target_millis, .. }) = roles.get(&row.key) {
            let part = row.figure as f64 / (*target_millis).max(1) as f64;
            worst = Some(worst.map_or(part, |other: f64| other.max(part)));
        }
    }
    worst
}
