//! The tasks that wait for a worker, and whose turn it is.
//!
//! See "Whose turn it is" in `docs/PLACEMENT.md`.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use kernel::{ObjectSet, Resources, TaskClass, TaskId, TeamName, TeamSums, Time};

use crate::{
    decision::PlacementRequest,
    fleet::Fleet,
    lane::{Lane, Turn},
    share::Shares,
};

/// How long a task that could not be bound is held back if no room is gained.
pub const RETRY_AFTER: Duration = Duration::from_millis(250);

/// How old the shares of teams may be when the weights or the fleet change.
pub const SHARES_MAX_AGE: Duration = Duration::from_secs(1);

/// How long a task of a team below its share waits until others pay for it;
/// the rest of the promised minute is left for the eviction.
pub const STARVING_AFTER: Duration = Duration::from_secs(30);

#[derive(Clone, Debug)]
struct Entry {
    want: PlacementRequest,
    turn: Turn,
    /// When the task may be taken again after it could not be bound.
    parked_until: Option<Time>,
}

/// The tasks that wait for a worker.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    entries: BTreeMap<TaskId, Entry>,
    parked: BTreeSet<(Time, TaskId)>,
    /// Tasks that were taken out at the time of `clock`; if they come back,
    /// they could not be bound.
    taken: BTreeSet<TaskId>,
    pressing: Lane,
    normal: Lane,
    shares: Shares,
    /// Needs for which no worker had room at the change `blocked_at` of rooms.
    blocked: Vec<Resources>,
    blocked_at: u64,
    seen_change: u64,
    clock: Time,
}

impl Queue {
    /// An empty queue.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a task that waits since `since`; a task that is there is replaced.
    ///
    /// A task that [`Queue::next`] just gave and that could not be bound is
    /// pushed back by this as well; it is held back for [`RETRY_AFTER`], so
    /// that a loop over `next` ends.
    pub fn push(&mut self, mut want: PlacementRequest, since: Time) {
        let task = want.run.task.clone();
        self.remove(&task);
        want.payers.clear();
        let turn = Turn {
            finish_by: want.finish_by.unwrap_or(Time::MAX),
            since,
            task: task.clone(),
        };
        let mut entry = Entry {
            want,
            turn,
            parked_until: None,
        };
        if self.taken.remove(&task) {
            let until = self.clock + RETRY_AFTER;
            entry.parked_until = Some(until);
            self.parked.insert((until, task.clone()));
            self.note_blocked(&entry.want);
        } else {
            self.line_up(&entry);
        }
        self.entries.insert(task, entry);
    }

    /// Takes a task out, if it is there.
    pub fn remove(&mut self, task: &TaskId) -> Option<PlacementRequest> {
        let entry = self.entries.remove(task)?;
        if let Some(until) = entry.parked_until {
            self.parked.remove(&(until, task.clone()));
            return Some(entry.want);
        }
        let lane = self.lane_of(&entry.want);
        lane.remove(&entry.want.team, entry.want.need, &entry.turn);
        Some(entry.want)
    }

    /// The number of waiting tasks.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no task waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// What the waiting batch tasks of each team need; nothing is held by them.
    #[must_use]
    pub fn demand_by_team(&self) -> TeamSums {
        let mut wanted = TeamSums::new();
        for entry in self.entries.values() {
            if entry.want.class != TaskClass::Batch {
                continue;
            }
            let sum = wanted.entry(entry.want.team.clone()).or_default();
            sum.wanted = sum.wanted.plus(entry.want.need);
            sum.largest = sum.largest.max(entry.want.need);
        }
        wanted
    }

    /// Takes out the task whose turn it is; push it again if it can't be bound.
    ///
    /// Tasks for which room was made come first, then urgent and latency-critical
    /// ones, then those of the team that holds
    /// the smallest part of its share; within a team the earliest deadline, then
    /// the longest wait. A team at its quota is passed over, and so is normal
    /// work that no worker has room for, unless its team starves: then the task
    /// comes with the teams that may have to pay for it.
    pub fn next(
        &mut self,
        now: Time,
        objects: &ObjectSet,
        fleet: &Fleet,
    ) -> Option<PlacementRequest> {
        self.advance(now);
        self.refresh_shares(now, objects, fleet);
        if self.blocked_at != fleet.capacity_version() {
            self.blocked_at = fleet.capacity_version();
            self.blocked.clear();
        }
        let claimed = fleet
            .claims_due(now)
            .find(|task| self.entries.contains_key(task));
        let task = match claimed.cloned() {
            Some(task) => task,
            None => match self.next_pressing(objects, fleet) {
                Some(task) => task,
                None => self.next_normal(now, objects, fleet)?,
            },
        };
        let mut want = self.remove(&task)?;
        self.fill_payers(&mut want, fleet);
        self.served(&want.team, now);
        self.taken.insert(task);
        Some(want)
    }

    fn advance(&mut self, now: Time) {
        if now > self.clock {
            self.clock = now;
            self.taken.clear();
        }
        while let Some((until, task)) = self.parked.first().cloned() {
            if !until.passed(now) {
                return;
            }
            self.parked.pop_first();
            let Some(entry) = self.entries.get_mut(&task) else {
                continue;
            };
            entry.parked_until = None;
            let entry = entry.clone();
            self.line_up(&entry);
        }
    }

    /// Holds back equal tasks too, unless this one failed for its own reasons.
    fn note_blocked(&mut self, want: &PlacementRequest) {
        let general = !want.is_high_priority() && want.avoid.is_empty();
        if general && !self.blocked.contains(&want.need) {
            self.blocked.push(want.need);
        }
    }

    fn line_up(&mut self, entry: &Entry) {
        let share = self.shares.of(&entry.want.team);
        let lane = self.lane_of(&entry.want);
        lane.insert(&entry.want.team, entry.want.need, entry.turn.clone(), share);
    }

    fn lane_of(&mut self, want: &PlacementRequest) -> &mut Lane {
        if want.is_high_priority() {
            &mut self.pressing
        } else {
            &mut self.normal
        }
    }

    fn refresh_shares(&mut self, now: Time, objects: &ObjectSet, fleet: &Fleet) {
        let changed = fleet.changed_since(self.seen_change);
        self.seen_change = fleet.changes();
        let stale = now.since(self.shares.computed_at()) >= SHARES_MAX_AGE;
        match changed {
            Some(changed) if !stale => {
                for team in changed {
                    let share = self.shares.update(team, fleet);
                    self.pressing.reorder(team, share);
                    self.normal.reorder(team, share);
                }
            }
            _ => {
                let waiting = self.pressing.teams().chain(self.normal.teams());
                self.shares.recompute(now, objects, fleet, waiting);
                self.pressing.reorder_all(&self.shares);
                self.normal.reorder_all(&self.shares);
            }
        }
    }

    fn served(&mut self, team: &TeamName, now: Time) {
        let share = self.shares.served(team, now);
        self.pressing.reorder(team, share);
        self.normal.reorder(team, share);
    }

    fn next_pressing(&self, objects: &ObjectSet, fleet: &Fleet) -> Option<TaskId> {
        for team in self.pressing.in_order() {
            for (need, turn) in self.pressing.heads(team) {
                if self.within_quota(team, need, &turn.task, objects, fleet) {
                    return Some(turn.task.clone());
                }
            }
        }
        None
    }

    fn next_normal(&mut self, now: Time, objects: &ObjectSet, fleet: &Fleet) -> Option<TaskId> {
        for team in self.normal.in_order() {
            for (need, turn) in self.normal.heads(team) {
                if !self.within_quota(team, need, &turn.task, objects, fleet) {
                    continue;
                }
                // Asked for again and again until it is refused for good.
                if !fleet.can_ever_fit(need) {
                    return Some(turn.task.clone());
                }
                if !self.blocked.contains(&need) {
                    if fleet.has_capacity_for(need) {
                        return Some(turn.task.clone());
                    }
                    self.blocked.push(need);
                }
                let waited = now.since(turn.since);
                if waited >= STARVING_AFTER && self.shares.is_below(team, need, fleet) {
                    return Some(turn.task.clone());
                }
            }
        }
        None
    }

    fn within_quota(
        &self,
        team: &TeamName,
        need: Resources,
        task: &TaskId,
        objects: &ObjectSet,
        fleet: &Fleet,
    ) -> bool {
        let Some(object) = objects.teams.get(team) else {
            return true;
        };
        let batch = |entry: &Entry| entry.want.class == TaskClass::Batch;
        if !self.entries.get(task).is_some_and(batch) {
            return true;
        }
        fleet.held_by(team).plus(need).fits(object.quota)
    }

    fn fill_payers(&self, want: &mut PlacementRequest, fleet: &Fleet) {
        let starving = !want.is_high_priority() && self.blocked.contains(&want.need);
        if starving {
            want.payers = self.shares.above(fleet);
        }
    }
}
