//! Orders to workers and what became of them.

use kernel::{JobName, Time, VmName};

use super::{Owner, vm::Phase};
use crate::message::{
    ClockReading, OrderResult, Orders, OrdersReply, OwnerHeader, Refusal, ReportPoll, RunKey,
};

/// How long a report may be waited for, in milliseconds; also the longest time
/// between two contacts of an owner and a keeper that have nothing to say.
const ATTEND_WAIT_MILLIS: u64 = 1_000;
/// How long an order to stop may go unconfirmed before it is sent again.
const STOP_AGAIN: std::time::Duration = std::time::Duration::from_millis(400);
/// How long a worker that refused a task gets none: until its next report.
const REFUSED_PAUSE: std::time::Duration = std::time::Duration::from_millis(150);

impl Owner {
    fn header(&self, now: Time, vm: &VmName) -> OwnerHeader {
        let vm = self.vms.get(vm);
        // Without a proof that there is no other owner leases are left to end, so
        // that the next owner knows when they have.
        let may_renew = !(self.proved + self.timing.renewal).passed(now);
        let clock_reading = vm
            .and_then(|vm| vm.clock_reading.as_ref())
            .filter(|_| may_renew);
        let incarnation = vm.and_then(|vm| vm.incarnation().cloned());
        OwnerHeader {
            epoch: self.epoch,
            owner: self.name.clone(),
            echo: clock_reading.map(|(clock_reading, _)| clock_reading.clone()),
            recorded: vm.and_then(|vm| Some((incarnation?, vm.recorded))),
        }
    }

    /// The next call that waits for news of a VM.
    pub fn next_report_poll(&mut self, now: Time, vm: &VmName) -> Option<ReportPoll> {
        let header = self.header(now, vm);
        let entry = self.vms.get_mut(vm)?;
        entry.told = entry.recorded;
        let version = self.harm.version();
        let is_told = std::mem::replace(&mut entry.weights_told, version) == version;
        Some(ReportPoll {
            weights: if is_told {
                Vec::new()
            } else {
                self.harm.told()
            },
            header,
            known_version: entry.seen,
            wait_millis: ATTEND_WAIT_MILLIS,
            roles: std::mem::take(&mut entry.roles),
        })
    }

    /// VMs with orders that wait, or with ends that their keeper does not know
    /// to be durable.
    #[must_use]
    pub fn vms_with_orders(&self) -> Vec<VmName> {
        let waiting = self.vms.iter().filter(|(_, vm)| vm.has_orders());
        waiting.map(|(name, _)| name.clone()).collect()
    }

    /// Takes out the orders for a VM.
    pub fn take_orders(&mut self, now: Time, name: &VmName) -> Option<Orders> {
        let header = self.header(now, name);
        let start_within = self.timing.start_within;
        let vm = self.vms.get_mut(name).filter(|vm| vm.has_orders())?;
        let incarnation = vm.incarnation()?.clone();
        vm.told = vm.recorded;
        let start_by_millis = start_by(&vm.clock_reading, now, start_within);
        let starts = std::mem::take(&mut vm.starts);
        let stops: Vec<RunKey> = std::mem::take(&mut vm.stops).into_iter().collect();
        for key in &stops {
            if let Some(held) = vm.held.get_mut(key) {
                held.stop_sent = Some(now);
            }
        }
        Some(Orders {
            header,
            incarnation,
            start_by_millis,
            starts,
            stops,
        })
    }

    pub(super) fn stop_run(&mut self, now: Time, vm: &VmName, key: &RunKey, why: &'static str) {
        let Some(entry) = self.vms.get_mut(vm) else {
            return;
        };
        let Some(held) = entry.held.get_mut(key) else {
            return;
        };
        if matches!(held.phase, Phase::Stopping { .. }) {
            return;
        }
        let age_ms = now.since(held.since).as_millis() as u64;
        tracing::info!(task = %key.task, run = key.run, %vm, why, age_ms, "stop");
        let is_unsent = entry.starts.iter().any(|start| start.key == *key);
        if is_unsent {
            self.drop_run(vm, key);
            return;
        }
        held.phase = Phase::Stopping { after: None };
        entry.stops.insert(key.clone());
    }

    /// Forgets a run that certainly is not there.
    pub(super) fn drop_run(&mut self, vm: &VmName, key: &RunKey) {
        if let Some(entry) = self.vms.get_mut(vm) {
            entry.release(key);
        }
        if let Some(task) = self
            .jobs
            .get_mut(&key.task.job)
            .and_then(|entry| entry.task_mut(&key.task))
        {
            task.runs.retain(|(_, run)| *run != key.run);
        }
        self.schedule_due = true;
    }

    pub(super) fn on_reply(
        &mut self,
        now: Time,
        vm: &VmName,
        orders: &Orders,
        reply: Option<OrdersReply>,
    ) {
        let is_same_life =
            self.vms.get(vm).and_then(|vm| vm.incarnation()) == Some(&orders.incarnation);
        if !is_same_life {
            return;
        }
        let Some(reply) = reply else {
            self.take_unanswered(now, vm, orders);
            return;
        };
        if reply.epoch > self.epoch {
            self.deposed = Some(reply.epoch);
        }
        for (start, result) in orders.starts.iter().zip(&reply.starts) {
            self.take_start_result(now, vm, &start.key, *result, reply.poll);
        }
        for (key, result) in orders.stops.iter().zip(&reply.stops) {
            self.take_stop_result(vm, key, *result, reply.poll);
        }
    }

    /// Orders without an answer may have been carried out: starts are repeated
    /// while they are fresh, since a worker takes each run once.
    fn take_unanswered(&mut self, now: Time, name: &VmName, orders: &Orders) {
        let fresh = self.timing.start_within;
        let mut stale = Vec::new();
        if let Some(vm) = self.vms.get_mut(name) {
            for start in &orders.starts {
                let Some(held) = vm.held.get_mut(&start.key) else {
                    continue;
                };
                held.is_doubtful = true;
                if held.phase == Phase::Ordered && !(held.since + fresh).passed(now) {
                    vm.starts.push(start.clone());
                } else if held.phase == Phase::Ordered {
                    stale.push(start.key.clone());
                }
            }
        }
        for key in stale {
            self.stop_run(now, name, &key, "start unanswered");
        }
    }

    fn take_start_result(
        &mut self,
        now: Time,
        name: &VmName,
        key: &RunKey,
        result: OrderResult,
        look: u64,
    ) {
        let Some(vm) = self.vms.get_mut(name) else {
            return;
        };
        let Some(held) = vm.held.get_mut(key) else {
            return;
        };
        let age_ms = now.since(held.since).as_millis() as u64;
        tracing::info!(task = %key.task, run = key.run, vm = %name, ?result, age_ms, "start answered");
        if held.phase != Phase::Ordered {
            return;
        }
        match result {
            OrderResult::Done | OrderResult::Refused(Refusal::Old) => {
                held.phase = Phase::Present { after: look };
                self.note_begun(&key.task.job);
            }
            OrderResult::Unsettled => self.stop_run(now, name, key, "start unsettled"),
            OrderResult::Refused(_) if held.is_doubtful => {
                self.stop_run(now, name, key, "an earlier order may have started it");
                self.break_gang(now, key);
            }
            OrderResult::Refused(_) => {
                vm.full_until = now + REFUSED_PAUSE;
                self.drop_run(name, key);
                self.break_gang(now, key);
            }
        }
    }

    /// Notes that a worker has begun a task of the job.
    pub(super) fn note_begun(&mut self, job: &JobName) {
        if let Some(entry) = self.jobs.get_mut(job) {
            entry.started = true;
        }
    }

    fn take_stop_result(&mut self, name: &VmName, key: &RunKey, result: OrderResult, look: u64) {
        let Some(held) = self.vms.get_mut(name).and_then(|vm| vm.held.get_mut(key)) else {
            return;
        };
        if result == OrderResult::Done
            && let Phase::Stopping { after } = &mut held.phase
        {
            *after = Some(look);
        }
    }

    /// Sends orders to stop again that were not confirmed in time.
    pub(super) fn stop_again(&mut self, now: Time) {
        for vm in self.vms.values_mut() {
            for (key, held) in &vm.held {
                let is_due = held
                    .stop_sent
                    .is_none_or(|at| (at + STOP_AGAIN).passed(now));
                if held.phase == (Phase::Stopping { after: None }) && is_due {
                    vm.stops.insert(key.clone());
                }
            }
        }
    }

    /// Stops the other members of a gang one of which could not start.
    fn break_gang(&mut self, now: Time, key: &RunKey) {
        let Some(entry) = self.jobs.get(&key.task.job) else {
            return;
        };
        let is_gang = entry
            .job
            .steps
            .get(usize::from(key.task.step))
            .is_some_and(|step| step.gang);
        if !is_gang {
            return;
        }
        let members = members_of(entry.runs(), key);
        for (vm, member) in members {
            self.stop_run(now, &vm, &member, "gang incomplete");
        }
    }

    /// The tasks of a job that may exist on a worker, for tests and reports.
    #[must_use]
    pub fn runs_of(&self, job: &JobName) -> Vec<(VmName, RunKey)> {
        self.jobs
            .get(job)
            .map(super::JobEntry::runs)
            .unwrap_or_default()
    }
}

fn members_of(runs: Vec<(VmName, RunKey)>, key: &RunKey) -> Vec<(VmName, RunKey)> {
    let mut members = runs;
    members.retain(|(_, other)| {
        other.run == key.run
            && other.task.step == key.task.step
            && other.task.occurrence == key.task.occurrence
    });
    members
}

/// The last reading of the worker's clock at which a start given now is valid.
fn start_by(
    clock_reading: &Option<(ClockReading, Time)>,
    now: Time,
    within: std::time::Duration,
) -> u64 {
    let Some((clock_reading, at)) = clock_reading else {
        return 0;
    };
    let valid = now.since(*at) + within;
    clock_reading
        .millis
        .saturating_add(u64::try_from(valid.as_millis()).unwrap_or(u64::MAX))
}
