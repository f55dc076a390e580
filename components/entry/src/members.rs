//! Membership at an entry: passes messages to the state machine in `route`.

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

/// The updates of VMs that this entry sends to another one.
#[derive(Clone, Debug, PartialEq)]
pub struct OutgoingUpdates {
    /// For [`proto::messages::Exchange::vms`].
    pub vms: Vec<VmSummary>,
    /// For [`proto::messages::Exchange::complete`].
    pub complete: bool,
    /// The version to pass to the next [`Members::updates_since`] if the call
    /// succeeds.
    pub upto: u64,
}

/// The VMs that an entry knows, shared by its tasks.
#[derive(Debug)]
pub struct Members {
    clock: Clock,
    state: Mutex<route::Members>,
}

impl Members {
    /// Creates an empty membership.
    #[must_use]
    pub fn new(clock: Clock) -> Self {
        Self {
            clock,
            state: Mutex::default(),
        }
    }

    /// Applies an agent's heartbeat. If it returns [`HeartbeatOutcome::NeedInfo`], the
    /// reply has to set `need_info`.
    pub fn on_heartbeat(&self, heartbeat: &Heartbeat) -> HeartbeatOutcome {
        let update = VmHeartbeat {
            vm: heartbeat.vm.clone(),
            incarnation: heartbeat.incarnation,
            sequence: heartbeat.sequence,
            info: heartbeat.info.clone(),
            leaving: heartbeat.leaving,
            revision: heartbeat.revision,
            load: heartbeat.load.clone(),
        };
        self.lock().on_heartbeat(self.clock.now(), update)
    }

    /// Applies the updates that the entry `from` sent.
    pub fn on_exchange(&self, from: &EntryName, vms: Vec<VmSummary>) {
        let now = self.clock.now();
        let updates = vms.into_iter().map(|summary| to_update(now, summary));
        self.lock().on_exchange(now, from, updates);
    }

    /// Records that the agent of `vm` refused a request because it is leaving.
    pub fn on_leaving(&self, vm: &VmName, incarnation: Incarnation) {
        self.lock().on_leaving(vm, incarnation);
    }

    /// Returns the updates for an entry that has those up to `known_version`; 0
    /// if it has none.
    #[must_use]
    pub fn updates_since(&self, known_version: u64) -> OutgoingUpdates {
        let now = self.clock.now();
        let changes = self.lock().changes_since(known_version);
        let vms = changes.vms.into_iter();
        OutgoingUpdates {
            vms: vms.map(|news| to_summary(now, news)).collect(),
            complete: changes.complete,
            upto: changes.upto,
        }
    }

    /// Applies expired deadlines and returns the changes. Has to be called about
    /// ten times a second.
    pub fn tick(&self) -> Vec<StandingChange> {
        self.lock().tick(self.clock.now())
    }

    /// Calls `read` with the state, under its lock.
    pub fn with<T>(&self, read: impl FnOnce(&route::Members) -> T) -> T {
        read(&self.lock())
    }

    fn lock(&self) -> MutexGuard<'_, route::Members> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn to_update(now: Time, summary: VmSummary) -> VmUpdate {
    VmUpdate {
        info: summary.info,
        sequence: summary.sequence,
        heard_at: now - Duration::from_millis(summary.age_millis),
        leaving: summary.leaving,
        revision: summary.revision,
        load: summary.load,
    }
}

fn to_summary(now: Time, update: VmUpdate) -> VmSummary {
    let age = now.since(update.heard_at).as_millis();
    VmSummary {
        info: update.info,
        sequence: update.sequence,
        age_millis: u64::try_from(age).unwrap_or(u64::MAX),
        leaving: update.leaving,
        revision: update.revision,
        load: update.load,
    }
}
