//! Reports that hold only what has changed since the last one.
//!
//! A report of all runs of a worker costs the owner bytes and processor time in
//! proportion to the number of runs, for each run that starts or ends. An agent
//! therefore leaves out what the owner has already applied. An owner states which report
//! that is; an agent that did not send that report last sends the whole state.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::message::{ActiveRun, AgentReport, RunKey};

/// Identifies a report that an agent has sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportId {
    /// Start of the agent process.
    pub agent_incarnation: u64,
    /// Number of the report, from 1 in each agent process.
    pub number: u64,
}

/// The lists that an agent has reported last.
#[derive(Clone, Debug)]
pub(crate) struct SentLists {
    number: u64,
    running: BTreeMap<RunKey, ActiveRun>,
    ended: BTreeSet<u64>,
}

impl SentLists {
    pub(crate) fn new(number: u64, report: &AgentReport) -> Self {
        let running = report.running.iter();
        Self {
            number,
            running: running.map(|row| (row.key.clone(), row.clone())).collect(),
            ended: report.ended.iter().map(|end| end.number).collect(),
        }
    }

    pub(crate) const fn number(&self) -> u64 {
        self.number
    }

    /// Removes from a report what these lists already hold, and adds which runs are
    /// gone.
    pub(crate) fn reduce(&self, report: &mut AgentReport) {
        let listed: BTreeSet<&RunKey> = report.running.iter().map(|row| &row.key).collect();
        let gone = self.running.keys().filter(|key| !listed.contains(key));
        report.gone = gone.cloned().collect();
        report.running.retain(|row| {
            let sent = self.running.get(&row.key);
            sent.is_none_or(|sent| !is_same(sent, row))
        });
        report.ended.retain(|end| !self.ended.contains(&end.number));
        report.base = self.number;
    }
}

/// Whether two rows tell an owner the same.
fn is_same(sent: &ActiveRun, row: &ActiveRun) -> bool {
    sent.measurement == row.measurement && sent.checkpoint == row.checkpoint
}

/// The active runs of a worker as an owner knows them from reports.
#[derive(Clone, Debug, Default)]
pub(crate) struct Listing {
    /// Last applied report; `None` if the next one must hold the whole state.
    applied: Option<ReportId>,
    running: BTreeMap<RunKey, ActiveRun>,
}

impl Listing {
    /// Last applied report, on which the next one may be based.
    pub(crate) const fn applied(&self) -> Option<ReportId> {
        self.applied
    }

    /// Requires the next report to hold the whole state.
    pub(crate) fn reset(&mut self) {
        *self = Self::default();
    }

    /// All active runs.
    pub(crate) const fn running(&self) -> &BTreeMap<RunKey, ActiveRun> {
        &self.running
    }

    /// Applies the runs of a report. Returns whether it could be applied; it can't if it
    /// is based on another report than the last.
    pub(crate) fn apply(&mut self, report: &AgentReport) -> bool {
        let is_whole = report.base == 0;
        let is_next = self.applied.is_some_and(|applied| {
            applied.agent_incarnation == report.agent_incarnation && applied.number == report.base
        });
        if !is_whole && !is_next {
            self.reset();
            return false;
        }
        if is_whole {
            self.running.clear();
        }
        for key in &report.gone {
            self.running.remove(key);
        }
        for row in &report.running {
            self.running.insert(row.key.clone(), row.clone());
        }
        self.applied = (report.number > 0).then_some(ReportId {
            agent_incarnation: report.agent_incarnation,
            number: report.number,
        });
        true
    }
}
