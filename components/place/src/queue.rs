//! Queue of the tasks that wait for a worker.
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
    share::Shares,
    team_queue::{QueueKey, TeamQueue},
};

/// How long a task that could not be bound is held back.
pub const RETRY_AFTER: Duration = Duration::from_millis(250);

/// The longest time until the shares of teams follow a change of the weights or
/// of the fleet.
pub const SHARES_MAX_AGE: Duration = Duration::from_secs(1);

/// How long a task of a team below its share waits before tasks of other teams
/// may be evicted for it. The rest of the promised minute is left for the
/// eviction.
pub const STARVING_AFTER: Duration = Duration::from_secs(30);

#[derive(Clone, Debug)]
struct QueuedTask {
    request: PlacementRequest,
    key: QueueKey,
    /// When a task that could not be bound is tried again; `None` if it is not
    /// held back.
    retry_at: Option<Time>,
}

/// Tasks that wait for a worker.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    tasks: BTreeMap<TaskId, QueuedTask>,
    /// Tasks that are held back, with their `retry_at`.
    deferred: BTreeSet<(Time, TaskId)>,
    /// Tasks taken out at the time `last_advanced`. A task that is pushed again
    /// at that time could not be bound.
    dequeued: BTreeSet<TaskId>,
    high_priority: TeamQueue,
    normal: TeamQueue,
    shares: Shares,
    /// Needs for which no worker had enough capacity at `blocked_at_version`.
    blocked_needs: Vec<Resources>,
    /// [`Fleet::capacity_version`] when `blocked_needs` was last cleared.
    blocked_at_version: u64,
    /// [`Fleet::team_changes`] when the ranks in `shares` were last updated.
    seen_team_change: u64,
    /// The latest time passed to [`Queue::next`].
    last_advanced: Time,
}

impl Queue {
    /// Creates an empty queue.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a task that has waited since `waiting_since`; replaces the task if
    /// the queue holds it already.
    ///
    /// A task that [`Queue::next`] returned and that could not be bound is
    /// pushed again with this call. It is held back for [`RETRY_AFTER`], so a
    /// loop over `next` ends.
    pub fn push(&mut self, mut request: PlacementRequest, waiting_since: Time) {
        let task = request.run.task.clone();
        self.remove(&task);
        request.payers.clear();
        let key = QueueKey {
            finish_by: request.finish_by.unwrap_or(Time::MAX),
            waiting_since,
            task: task.clone(),
        };
        let mut queued = QueuedTask {
            request,
            key,
            retry_at: None,
        };
        if self.dequeued.remove(&task) {
            let retry_at = self.last_advanced + RETRY_AFTER;
            queued.retry_at = Some(retry_at);
            self.deferred.insert((retry_at, task.clone()));
            self.mark_blocked(&queued.request);
        } else {
            self.insert_in_team_queue(&queued);
        }
        self.tasks.insert(task, queued);
    }

    /// Removes a task and returns its request, if the queue holds it.
    pub fn remove(&mut self, task: &TaskId) -> Option<PlacementRequest> {
        let queued = self.tasks.remove(task)?;
        if let Some(retry_at) = queued.retry_at {
            self.deferred.remove(&(retry_at, task.clone()));
            return Some(queued.request);
        }
        let queue = self.queue_mut(&queued.request);
        queue.remove(&queued.request.team, queued.request.need, &queued.key);
        Some(queued.request)
    }

    /// The number of waiting tasks.
    #[must_use]
    pub fn len(&self) -> usize {
        self.tasks.len()
    }

    /// Whether the queue is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.tasks.is_empty()
    }

    /// Returns the demand of the waiting batch tasks by team. `held` is zero in
    /// these sums.
    #[must_use]
    pub fn demand_by_team(&self) -> TeamSums {
        let mut demand = TeamSums::new();
        for queued in self.tasks.values() {
            if queued.request.class != TaskClass::Batch {
                continue;
            }
            let sum = demand.entry(queued.request.team.clone()).or_default();
            sum.wanted = sum.wanted.plus(queued.request.need);
            sum.largest = sum.largest.max(queued.request.need);
        }
        demand
    }

    /// Removes and returns the task to place next; the caller pushes it again
    /// if it can't be bound.
    ///
    /// Tasks whose claims are due come first, then urgent and latency-critical
    /// tasks, then tasks of the team that holds the smallest part of its share.
    /// Within a team the earliest deadline comes first, then the longest wait.
    /// Teams at their quota are skipped. Normal tasks that no worker has
    /// capacity for are skipped as well, unless their team is starved: then the
    /// request lists the teams whose tasks may be evicted for it.
    pub fn next(
        &mut self,
        now: Time,
        objects: &ObjectSet,
        fleet: &Fleet,
    ) -> Option<PlacementRequest> {
        self.advance(now);
        self.refresh_shares(now, objects, fleet);
        if self.blocked_at_version != fleet.capacity_version() {
            self.blocked_at_version = fleet.capacity_version();
            self.blocked_needs.clear();
        }
        let claimed = fleet
            .claims_due(now)
            .find(|task| self.tasks.contains_key(task));
        let task = match claimed.cloned() {
            Some(task) => task,
            None => match self.next_high_priority(objects, fleet) {
                Some(task) => task,
                None => self.next_normal(now, objects, fleet)?,
            },
        };
        let mut request = self.remove(&task)?;
        self.set_payers(&mut request, fleet);
        self.record_dequeue(&request.team, now);
        self.dequeued.insert(task);
        Some(request)
    }

    fn advance(&mut self, now: Time) {
        if now > self.last_advanced {
            self.last_advanced = now;
            self.dequeued.clear();
        }
        while let Some((retry_at, task)) = self.deferred.first().cloned() {
            if !retry_at.passed(now) {
                return;
            }
            self.deferred.pop_first();
            let Some(queued) = self.tasks.get_mut(&task) else {
                continue;
            };
            queued.retry_at = None;
            let queued = queued.clone();
            self.insert_in_team_queue(&queued);
        }
    }

    /// Holds back all tasks with the same need, unless the cause is specific to
    /// this task.
    fn mark_blocked(&mut self, request: &PlacementRequest) {
        let is_general = !request.is_high_priority() && request.avoid.is_empty();
        if is_general && !self.blocked_needs.contains(&request.need) {
            self.blocked_needs.push(request.need);
        }
    }

    fn insert_in_team_queue(&mut self, queued: &QueuedTask) {
        let rank = self.shares.of(&queued.request.team);
        let queue = self.queue_mut(&queued.request);
        queue.insert(
            &queued.request.team,
            queued.request.need,
            queued.key.clone(),
            rank,
        );
    }

    fn queue_mut(&mut self, request: &PlacementRequest) -> &mut TeamQueue {
        if request.is_high_priority() {
            &mut self.high_priority
        } else {
            &mut self.normal
        }
    }

    fn refresh_shares(&mut self, now: Time, objects: &ObjectSet, fleet: &Fleet) {
        let changed = fleet.changed_since(self.seen_team_change);
        self.seen_team_change = fleet.team_changes();
        let is_stale = now.since(self.shares.computed_at()) >= SHARES_MAX_AGE;
        match changed {
            Some(changed) if !is_stale => {
                for team in changed {
                    let rank = self.shares.update(team, fleet);
                    self.high_priority.reorder(team, rank);
                    self.normal.reorder(team, rank);
                }
            }
            _ => {
                let waiting = self.high_priority.teams().chain(self.normal.teams());
                self.shares.recompute(now, objects, fleet, waiting);
                self.high_priority.reorder_all(&self.shares);
                self.normal.reorder_all(&self.shares);
            }
        }
    }

    fn record_dequeue(&mut self, team: &TeamName, now: Time) {
        let rank = self.shares.record_dequeue(team, now);
        self.high_priority.reorder(team, rank);
        self.normal.reorder(team, rank);
    }

    fn next_high_priority(&self, objects: &ObjectSet, fleet: &Fleet) -> Option<TaskId> {
        for team in self.high_priority.in_order() {
            for (need, key) in self.high_priority.heads(team) {
                if self.within_quota(team, need, &key.task, objects, fleet) {
                    return Some(key.task.clone());
                }
            }
        }
        None
    }

    fn next_normal(&mut self, now: Time, objects: &ObjectSet, fleet: &Fleet) -> Option<TaskId> {
        for team in self.normal.in_order() {
            for (need, key) in self.normal.heads(team) {
                if !self.within_quota(team, need, &key.task, objects, fleet) {
                    continue;
                }
                // Returned on every pass until the fleet rejects it as too
                // large.
                if !fleet.can_ever_fit(need) {
                    return Some(key.task.clone());
                }
                if !self.blocked_needs.contains(&need) {
                    if fleet.has_capacity_for(need) {
                        return Some(key.task.clone());
                    }
                    self.blocked_needs.push(need);
                }
                let waited = now.since(key.waiting_since);
                if waited >= STARVING_AFTER && self.shares.is_within_share(team, need, fleet) {
                    return Some(key.task.clone());
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
        let is_batch = |queued: &QueuedTask| queued.request.class == TaskClass::Batch;
        if !self.tasks.get(task).is_some_and(is_batch) {
            return true;
        }
        fleet.held_by(team).plus(need).fits(object.quota)
    }

    fn set_payers(&self, request: &mut PlacementRequest, fleet: &Fleet) {
        let is_starving = !request.is_high_priority() && self.blocked_needs.contains(&request.need);
        if is_starving {
            request.payers = self.shares.teams_above_share(fleet);
        }
    }
}
