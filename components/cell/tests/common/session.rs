//! A session with one owner that logs every event and action.

use std::{fmt::Write, sync::Arc, time::Duration};

use cell::{
    Action, Answer, Event, Group, InboxItem, Owner, Ownership, Recovered, TaskRange, Timing,
};
use kernel::{
    EndpointLoad, Epoch, Incarnation, JobSpec, ObjectSet, Revision, TaskRun, Time, VmInfo,
};
use proto::messages::{Heartbeat, TaskPhase, TaskReport};

use super::cell_name;

/// One owner with its journal and a log.
pub(crate) struct Session {
    pub(crate) now: Time,
    pub(crate) owner: Owner,
    pub(crate) groups: Vec<Group>,
    pub(crate) log: String,
    /// Whether groups become durable immediately instead of by [`Session::commit`].
    pub(crate) commits_immediately: bool,
    pub(crate) in_flight: Option<Group>,
    /// The endpoint loads that every heartbeat reports.
    pub(crate) load: Vec<EndpointLoad>,
    /// Whether every heartbeat announces that its agent is leaving.
    pub(crate) leaving: bool,
    sequence: u64,
    revision: u64,
    objects: Arc<ObjectSet>,
}

impl Session {
    pub(crate) fn start(objects: Arc<ObjectSet>) -> Self {
        let now = Time::from_secs(1_000);
        let mut session = Self {
            now,
            owner: owner(now, 1, Recovered::default(), now),
            groups: Vec::new(),
            log: String::new(),
            commits_immediately: true,
            in_flight: None,
            load: Vec::new(),
            leaving: false,
            sequence: 0,
            revision: 0,
            objects: objects.clone(),
        };
        session.config(objects);
        session
    }

    /// Replaces the owner by one of a later term that recovers the durable groups.
    pub(crate) fn take_over(&mut self, epoch: u64, earlier_leases_end: Time) {
        let mut recovered = Recovered::default();
        for group in &self.groups {
            recovered.state.apply_group(group);
            recovered.next_seq = group.seq + 1;
        }
        let _ = writeln!(self.log, "{} owner of epoch {epoch}", self.now);
        self.in_flight = None;
        self.owner = owner(self.now, epoch, recovered, earlier_leases_end);
        self.prove();
    }

    pub(crate) fn config(&mut self, objects: Arc<ObjectSet>) {
        self.revision += 1;
        self.objects = objects;
        let _ = writeln!(self.log, "{} configuration {}", self.now, self.revision);
        self.prove();
    }

    /// Proves ownership and the configuration.
    pub(crate) fn prove(&mut self) {
        self.handle(Event::OwnershipProved(self.now));
        self.handle(Event::Config {
            objects: self.objects.clone(),
            revision: Revision(self.revision),
            proved_at: Some(self.now),
        });
    }

    pub(crate) fn submit(&mut self, spec: JobSpec) {
        let _ = writeln!(self.log, "{} submit {}", self.now, spec.name);
        let key = format!("inbox/job/{}", spec.name);
        let part = TaskRange::whole(&spec);
        let at = self.now;
        self.handle(Event::Inbox(vec![(key, InboxItem::Job { spec, part, at })]));
    }

    pub(crate) fn cancel(&mut self, job: &str) {
        let _ = writeln!(self.log, "{} cancel {job}", self.now);
        let item = InboxItem::Cancel {
            job: super::job_name(job),
            at: self.now,
        };
        self.handle(Event::Inbox(vec![(format!("inbox/cancel/{job}"), item)]));
    }

    /// Advances time in steps of 100 ms and proves ownership and configuration in
    /// each.
    pub(crate) fn advance(&mut self, span: Duration) {
        let until = self.now + span;
        while self.now < until {
            self.now = self.now + Duration::from_millis(100);
            self.prove();
            self.handle(Event::Tick);
        }
    }

    /// Advances time in steps of 100 ms without proofs.
    pub(crate) fn advance_unproved(&mut self, span: Duration) {
        let until = self.now + span;
        while self.now < until {
            self.now = self.now + Duration::from_millis(100);
            self.handle(Event::Tick);
        }
    }

    pub(crate) fn heartbeat(
        &mut self,
        info: &VmInfo,
        epoch: u64,
        tasks: &[(TaskRun, TaskPhase)],
    ) -> Answer {
        let reports = tasks
            .iter()
            .map(|(run, phase)| TaskReport {
                run: run.clone(),
                phase: *phase,
                checkpoint: None,
                usage: None,
            })
            .collect();
        self.heartbeat_with(info, epoch, reports)
    }

    pub(crate) fn heartbeat_with(
        &mut self,
        info: &VmInfo,
        epoch: u64,
        tasks: Vec<TaskReport>,
    ) -> Answer {
        self.sequence += 1;
        let mut line = format!("{} beat of {} at epoch {epoch}:", self.now, info.vm);
        for report in &tasks {
            let _ = write!(line, " {} {:?}", report.run, report.phase);
        }
        let _ = writeln!(self.log, "{line}");
        let beat = Heartbeat {
            vm: info.vm.clone(),
            incarnation: info.incarnation,
            sequence: self.sequence,
            info: Some(info.clone()),
            epoch: Epoch(epoch),
            revision: Revision::default(),
            leaving: self.leaving,
            load: self.load.clone(),
            tasks_unknown: false,
            tasks,
        };
        let answer = self.handle(Event::Heartbeat(Box::new(beat)));
        answer.unwrap_or_default()
    }

    /// Completes the pending write of a group of records, and tells the owner that the
    /// group is durable.
    pub(crate) fn commit(&mut self) {
        let Some(group) = self.in_flight.take() else {
            return;
        };
        let _ = writeln!(self.log, "{}   durable: group {}", self.now, group.seq);
        self.groups.push(group);
        self.handle(Event::Committed(self.now));
    }

    pub(crate) fn handle(&mut self, event: Event) -> Option<Answer> {
        let mut last_answer = None;
        for action in self.owner.handle(self.now, event) {
            match action {
                Action::Commit { group, .. } => {
                    self.log_group(&group);
                    self.in_flight = Some(group);
                }
                Action::Answer(answer) => {
                    let json = serde_json::to_string(&answer).unwrap();
                    let _ = writeln!(self.log, "{}   answer {json}", self.now);
                    last_answer = Some(answer);
                }
                Action::StepDown => {
                    let _ = writeln!(self.log, "{}   steps down", self.now);
                }
                Action::HandOver => {
                    let _ = writeln!(self.log, "{}   hands over", self.now);
                }
                Action::Release => {
                    let _ = writeln!(self.log, "{}   releases the cell", self.now);
                }
            }
        }
        if self.commits_immediately && self.in_flight.is_some() {
            self.commit();
        }
        last_answer
    }

    fn log_group(&mut self, group: &Group) {
        let _ = writeln!(self.log, "{}   group {}", self.now, group.seq);
        for record in &group.records {
            let json = serde_json::to_string(record).unwrap();
            let _ = writeln!(self.log, "{}     {json}", self.now);
        }
    }
}

fn owner(now: Time, epoch: u64, recovered: Recovered, earlier_leases_end: Time) -> Owner {
    let ownership = Ownership {
        cell: cell_name("plateau"),
        epoch: Epoch(epoch),
        acquired_at: now,
        earlier_leases_end,
        recovered,
    };
    Owner::new(ownership, Timing::default(), 7)
}

/// Returns the info of a VM after a restart of its agent.
pub(crate) fn restarted(info: &VmInfo) -> VmInfo {
    VmInfo {
        incarnation: Incarnation(info.incarnation.0 + 1),
        ..info.clone()
    }
}
