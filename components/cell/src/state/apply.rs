//! Application of journal records to the state.

use std::sync::Arc;

use kernel::{
    Amount, Cause, CellName, Checkpoint, Event, EventKind, JobName, JobSpec, Party, Revision,
    ServiceName, TaskRun, TaskState, Time, Urgency, VmName,
};

use super::{Binding, Job, State, Task};
use crate::{BoundRecord, Group, MovedTask, Record, RunEnd, TaskRange};

impl State {
    /// Applies all records of a group.
    pub fn apply_group(&mut self, group: &Group) {
        for record in &group.records {
            self.apply(group.revision, record);
        }
    }

    /// Applies one record. Returns whether the record applies to the state.
    ///
    /// A record that does not apply changes nothing. The owner never writes such a
    /// record, but a later version may read records of an earlier one.
    pub fn apply(&mut self, revision: Revision, record: &Record) -> bool {
        match record {
            Record::Accepted { spec, part, at } => self.accept(revision, spec, *part, *at),
            Record::Received {
                spec,
                accepted,
                tasks,
                at,
            } => self.receive(spec, *accepted, tasks, *at),
            Record::Bound(bound) => self.bind(revision, bound),
            Record::Evicting {
                run,
                cause,
                beneficiary_run,
                service,
                at,
            } => {
                let beneficiary = Party {
                    service: service.clone(),
                    ..beneficiary_run
                        .as_ref()
                        .map(|run| self.party_of(run))
                        .unwrap_or_default()
                };
                self.evict(revision, run, *cause, beneficiary, *at)
            }
            Record::Throttled {
                run,
                service,
                since,
                at,
            } => self.record_throttling(revision, run, service, *since, *at),
            Record::Ended {
                run,
                end,
                checkpoint,
                at,
            } => self.end(revision, run, *end, checkpoint.as_ref(), *at),
            Record::Unplaceable { job, reason, at } => {
                self.fail_unplaceable(revision, job, reason, *at)
            }
            Record::Cancelled { job, at } => self.cancel(revision, job, *at),
            Record::Moved { job, tasks, to, at } => self.move_away(revision, job, tasks, to, *at),
            Record::Quarantined { vm, until } => self.quarantine(vm, *until),
            Record::Forgotten { job } => self.jobs.remove(job).is_some(),
        }
    }

    fn accept(&mut self, revision: Revision, spec: &JobSpec, part: TaskRange, at: Time) -> bool {
        // The job may exist: tasks moved from another cell can arrive first.
        let job = self
            .jobs
            .entry(spec.name.clone())
            .or_insert_with(|| Job::empty(spec, at));
        if !job.assigned.is_empty() {
            return false;
        }
        job.assigned = part;
        if job.may_bind_tasks() {
            job.open_tasks += job.implicit_count();
            job.ended_at = None;
        }
        let amount = Amount::count(u64::from(part.len()));
        self.push_job_event(revision, at, EventKind::Accepted, spec, amount);
        true
    }

    fn receive(&mut self, spec: &JobSpec, accepted: Time, tasks: &[MovedTask], at: Time) -> bool {
        let job = self
            .jobs
            .entry(spec.name.clone())
            .or_insert_with(|| Job::empty(spec, accepted));
        for moved in tasks {
            if job.task(moved.index).is_some() {
                continue;
            }
            job.moved.remove(&moved.index);
            let mut task = Task::waiting(at);
            task.attempt = moved.attempt;
            task.checkpoint = moved.checkpoint.clone();
            task.failed_on = moved.failed_on.clone();
            if job.cancelled_at.is_some() {
                task.state = TaskState::Cancelled;
            } else {
                job.open_tasks += 1;
                job.ended_at = None;
            }
            job.tasks.insert(moved.index, task);
        }
        true
    }

    fn bind(&mut self, revision: Revision, bound: &BoundRecord) -> bool {
        let id = &bound.run.task;
        let Some(job) = self.jobs.get_mut(&id.job) else {
            return false;
        };
        let spec = job.spec.clone();
        let Some(task) = job.materialize(id.index) else {
            return false;
        };
        if task.state != TaskState::Waiting || bound.run.attempt != task.attempt.next() {
            return false;
        }
        let waited = millis(bound.at, task.since);
        task.state = TaskState::Bound;
        task.attempt = bound.run.attempt;
        task.since = bound.at;
        task.bound = Some(Binding {
            vm: bound.vm.clone(),
            incarnation: bound.incarnation,
            zone: bound.zone.clone(),
            reserved: bound.reserved,
            at: bound.at,
        });
        let mut event = attempt_event(&spec, &bound.run, revision, bound.at, EventKind::Waited);
        event.vm = Some(bound.vm.clone());
        event.zone = Some(bound.zone.clone());
        if spec.urgency == Urgency::Urgent {
            event.cause = Cause::Urgent;
        }
        event.amount = Amount {
            count: 1,
            millis: waited,
            ..Amount::default()
        };
        self.ledger.push(event.clone());
        event.kind = EventKind::Bound;
        event.cause = Cause::Ordinary;
        event.amount = Amount::count(1);
        self.ledger.push(event);
        true
    }

    fn evict(
        &mut self,
        revision: Revision,
        run: &TaskRun,
        cause: Cause,
        beneficiary: Party,
        at: Time,
    ) -> bool {
        let Some((spec, task)) = self.current_attempt(run) else {
            return false;
        };
        if task.state != TaskState::Bound {
            return false;
        }
        task.state = TaskState::Evicting;
        task.since = at;
        let mut event = attempt_event(&spec, run, revision, at, EventKind::Evicted);
        set_location(&mut event, task.bound.as_ref());
        event.cause = cause;
        event.payer = std::mem::replace(&mut event.beneficiary, beneficiary);
        self.ledger.push(event);
        true
    }

    fn record_throttling(
        &mut self,
        revision: Revision,
        run: &TaskRun,
        service: &ServiceName,
        since: Time,
        at: Time,
    ) -> bool {
        let Some((spec, task)) = self.current_attempt(run) else {
            return false;
        };
        let mut event = attempt_event(&spec, run, revision, at, EventKind::Throttled);
        set_location(&mut event, task.bound.as_ref());
        let reserved = task.bound.as_ref().map(|binding| binding.reserved);
        event.amount = Amount::of(reserved.unwrap_or_default(), millis(at, since));
        event.cause = Cause::Interference;
        event.payer = std::mem::take(&mut event.beneficiary);
        event.beneficiary.service = Some(service.clone());
        self.ledger.push(event);
        true
    }

    fn end(
        &mut self,
        revision: Revision,
        run: &TaskRun,
        end: RunEnd,
        checkpoint: Option<&Checkpoint>,
        at: Time,
    ) -> bool {
        let unplaceable_reason = self.unplaceable_reason(&run.task.job);
        let Some((spec, task)) = self.current_attempt(run) else {
            return false;
        };
        let Some(binding) = task.bound.take() else {
            return false;
        };
        let cancelling = task.state == TaskState::Cancelling;
        if checkpoint.is_some() {
            task.checkpoint = checkpoint.cloned();
        }
        if end == RunEnd::Failed {
            task.failed_on.push(binding.vm.clone());
        }
        task.state = match end {
            RunEnd::Finished => TaskState::Finished,
            _ if cancelling => TaskState::Cancelled,
            RunEnd::Failed if task.has_exhausted_retries() => TaskState::Failed,
            _ if unplaceable_reason.is_some() => TaskState::Failed,
            RunEnd::Failed | RunEnd::Stopped | RunEnd::Lost => TaskState::Waiting,
        };
        task.since = at;
        if task.state == TaskState::Failed {
            task.failure_reason = unplaceable_reason.unwrap_or_else(|| task.failures());
        }
        let (kind, cause) = end_event(task.state, end, checkpoint.is_some());
        let state = task.state;
        let mut event = attempt_event(&spec, run, revision, at, EventKind::Ran);
        set_location(&mut event, Some(&binding));
        event.amount = Amount::of(binding.reserved, millis(at, binding.at));
        self.ledger.push(event.clone());
        if let Some(kind) = kind {
            event.kind = kind;
            event.cause = cause;
            event.amount = match kind {
                EventKind::Lost => event.amount,
                _ => Amount::count(1),
            };
            self.ledger.push(event);
        }
        if state.is_final() {
            self.close_tasks(&run.task.job, 1, at);
        }
        true
    }

    fn fail_unplaceable(
        &mut self,
        revision: Revision,
        name: &JobName,
        reason: &str,
        at: Time,
    ) -> bool {
        let Some(job) = self.jobs.get_mut(name) else {
            return false;
        };
        if !job.may_bind_tasks() {
            return false;
        }
        let mut stopped = job.implicit_count();
        for task in job.tasks.values_mut() {
            if task.state != TaskState::Waiting {
                continue;
            }
            task.state = TaskState::Failed;
            task.since = at;
            reason.clone_into(&mut task.failure_reason);
            stopped += 1;
        }
        job.unplaceable_reason = Some(reason.to_owned());
        let spec = job.spec.clone();
        let amount = Amount::count(u64::from(stopped));
        self.push_job_event(revision, at, EventKind::Refused, &spec, amount);
        self.close_tasks(name, stopped, at);
        true
    }

    /// Cancels a job, in time independent of the number of its implicit tasks.
    fn cancel(&mut self, revision: Revision, name: &JobName, at: Time) -> bool {
        let Some(job) = self.jobs.get_mut(name) else {
            return false;
        };
        if job.cancelled_at.is_some() {
            return false;
        }
        let mut stopped = match job.unplaceable_reason {
            None => job.implicit_count(),
            Some(_) => 0,
        };
        for task in job.tasks.values_mut() {
            match task.state {
                TaskState::Waiting => {
                    task.state = TaskState::Cancelled;
                    stopped += 1;
                }
                TaskState::Bound | TaskState::Evicting => task.state = TaskState::Cancelling,
                _ => continue,
            }
            task.since = at;
        }
        job.cancelled_at = Some(at);
        let spec = job.spec.clone();
        let amount = Amount::count(u64::from(stopped));
        self.push_job_event(revision, at, EventKind::Cancelled, &spec, amount);
        self.close_tasks(name, stopped, at);
        true
    }

    fn move_away(
        &mut self,
        revision: Revision,
        name: &JobName,
        tasks: &[u32],
        to: &CellName,
        at: Time,
    ) -> bool {
        let Some(job) = self.jobs.get_mut(name) else {
            return false;
        };
        let spec = job.spec.clone();
        let mut count = 0;
        for index in tasks {
            let Some(task) = job.task(*index) else {
                continue;
            };
            if task.state != TaskState::Waiting {
                continue;
            }
            job.tasks.remove(index);
            job.moved.insert(*index, to.clone());
            count += 1;
        }
        let amount = Amount::count(u64::from(count));
        self.push_job_event(revision, at, EventKind::Transferred, &spec, amount);
        self.close_tasks(name, count, at);
        true
    }

    fn quarantine(&mut self, vm: &VmName, until: Time) -> bool {
        self.quarantined_until.insert(vm.clone(), until);
        for job in self.jobs.values_mut() {
            for task in job.tasks.values_mut() {
                task.failed_on.retain(|other| other != vm);
            }
        }
        true
    }

    fn close_tasks(&mut self, name: &JobName, tasks: u32, at: Time) {
        let Some(job) = self.jobs.get_mut(name) else {
            return;
        };
        job.open_tasks = job.open_tasks.saturating_sub(tasks);
        if job.open_tasks == 0 && job.ended_at.is_none() {
            job.ended_at = Some(at);
        }
    }

    fn current_attempt(&mut self, run: &TaskRun) -> Option<(Arc<JobSpec>, &mut Task)> {
        let job = self.jobs.get_mut(&run.task.job)?;
        let task = job.tasks.get_mut(&run.task.index)?;
        let is_current = task.attempt == run.attempt && task.bound.is_some();
        is_current.then(|| (job.spec.clone(), task))
    }

    fn unplaceable_reason(&self, job: &JobName) -> Option<String> {
        self.jobs.get(job)?.unplaceable_reason.clone()
    }

    fn party_of(&self, run: &TaskRun) -> Party {
        Party {
            team: self
                .jobs
                .get(&run.task.job)
                .map(|job| job.spec.team.clone()),
            service: None,
            run: Some(run.clone()),
        }
    }

    fn push_job_event(
        &mut self,
        revision: Revision,
        at: Time,
        kind: EventKind,
        spec: &JobSpec,
        amount: Amount,
    ) {
        if amount.count == 0 {
            return;
        }
        let cause = match kind {
            EventKind::Cancelled => Cause::Cancelled,
            _ => Cause::Ordinary,
        };
        self.ledger.push(Event {
            at,
            kind,
            cause,
            beneficiary: Party {
                team: Some(spec.team.clone()),
                service: spec.service.clone(),
                run: None,
            },
            payer: Party::default(),
            vm: None,
            zone: None,
            revision,
            amount,
        });
    }
}

fn end_event(state: TaskState, end: RunEnd, has_checkpoint: bool) -> (Option<EventKind>, Cause) {
    match (state, end) {
        (TaskState::Finished, _) => (Some(EventKind::Finished), Cause::Ordinary),
        (TaskState::Cancelled, _) => (Some(EventKind::Cancelled), Cause::Cancelled),
        (TaskState::Failed, _) => (Some(EventKind::Failed), Cause::TaskFailed),
        (_, RunEnd::Failed) => (Some(EventKind::Lost), Cause::TaskFailed),
        (_, RunEnd::Lost) => (Some(EventKind::Lost), Cause::WorkerLost),
        (_, RunEnd::Stopped) if !has_checkpoint => (Some(EventKind::Lost), Cause::Ordinary),
        _ => (None, Cause::Ordinary),
    }
}

fn attempt_event(
    spec: &JobSpec,
    run: &TaskRun,
    revision: Revision,
    at: Time,
    kind: EventKind,
) -> Event {
    Event {
        at,
        kind,
        cause: Cause::Ordinary,
        beneficiary: Party {
            team: Some(spec.team.clone()),
            service: spec.service.clone(),
            run: Some(run.clone()),
        },
        payer: Party::default(),
        vm: None,
        zone: None,
        revision,
        amount: Amount::count(1),
    }
}

fn set_location(event: &mut Event, binding: Option<&Binding>) {
    event.vm = binding.map(|binding| binding.vm.clone());
    event.zone = binding.map(|binding| binding.zone.clone());
}

fn millis(later: Time, earlier: Time) -> u64 {
    u64::try_from(later.since(earlier).as_millis()).unwrap_or(u64::MAX)
}
