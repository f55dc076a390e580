//! Membership at an entry, between the messages and the state machine.

use std::{
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use kernel::{Clock, EntryName, Incarnation, Time, VmName};
use proto::messages::{Heartbeat, VmSummary};
use route::{
    VmHeartbeat,
    members::{HeartbeatOutcome, StandingChange, VmUpdate},
};

/// What this entry tells another one of the VMs it hears.
#[derive(Clone, Debug, PartialEq)]
pub struct OutgoingUpdates {
    /// For [`proto::messages::Exchange::vms`].
    pub vms: Vec<VmSummary>,
    /// For [`proto::messages::Exchange::complete`].
    pub complete: bool,
    /// Pass this to [`Members::updates_since`] next time, once the call succeeded.
    pub upto: u64,
}

/// The VMs that an entry knows of, shared by its tasks.
#[derive(Debug)]
pub struct Members {
    clock: Clock,
    state: Mutex<route::Members>,
}

impl Members {
    /// Knows nobody yet.
    #[must_use]
    pub fn new(clock: Clock) -> Self {
        Self {
            clock,
            state: Mutex::default(),
        }
    }

    /// Takes in an agent's heartbeat; [`HeartbeatOutcome::NeedInfo`] has to be answered by
    /// `need_info`.
    pub fn on_heartbeat(&self, heartbeat: &Heartbeat) -> HeartbeatOutcome {
        let facts = VmHeartbeat {
            vm: heartbeat.vm.clone(),
            incarnation: heartbeat.incarnation,
            sequence: heartbeat.sequence,
            info: heartbeat.info.clone(),
            leaving: heartbeat.leaving,
            revision: heartbeat.revision,
            load: heartbeat.load.clone(),
        };
        self.lock().on_heartbeat(self.clock.now(), facts)
    }

    /// Takes in what the entry `from` tells.
    pub fn on_exchange(&self, from: &EntryName, vms: Vec<VmSummary>) {
        let now = self.clock.now();
        let news = vms.into_iter().map(|summary| to_news(now, summary));
        self.lock().on_exchange(now, from, news);
    }

    /// Notes that the agent of `vm` refused a request because it is leaving.
    pub fn on_leaving(&self, vm: &VmName, incarnation: Incarnation) {
        self.lock().on_leaving(vm, incarnation);
    }

    /// What another entry has to be told that knows everything up to `seen`;
    /// 0 stands for nothing.
    #[must_use]
    pub fn updates_since(&self, seen: u64) -> OutgoingUpdates {
        let now = self.clock.now();
        let changes = self.lock().changes_since(seen);
        let vms = changes.vms.into_iter();
        OutgoingUpdates {
            vms: vms.map(|news| to_summary(now, news)).collect(),
            complete: changes.complete,
            upto: changes.upto,
        }
    }

    /// Lets deadlines pass; to be called about ten times a second.
    pub fn tick(&self) -> Vec<StandingChange> {
        self.lock().tick(self.clock.now())
    }

    /// Looks at the state under its lock.
    pub fn with<T>(&self, look: impl FnOnce(&route::Members) -> T) -> T {
        look(&self.lock())
    }

    fn lock(&self) -> MutexGuard<'_, route::Members> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn to_news(now: Time, summary: VmSummary) -> VmUpdate {
    VmUpdate {
        info: summary.info,
        sequence: summary.sequence,
        heard_at: now - Duration::from_millis(summary.age_millis),
        leaving: summary.leaving,
        revision: summary.revision,
        load: summary.load,
    }
}

fn to_summary(now: Time, news: VmUpdate) -> VmSummary {
    let age = now.since(news.heard_at).as_millis();
    VmSummary {
        info: news.info,
        sequence: news.sequence,
        age_millis: u64::try_from(age).unwrap_or(u64::MAX),
        leaving: news.leaving,
        revision: news.revision,
        load: news.load,
    }
}
