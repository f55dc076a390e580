//! Membership: which VMs are alive, from heartbeats and from other entries.
//!
//! Each agent sends heartbeats to one entry, and entries exchange the updates
//! that they received. Updates of a VM are ordered by incarnation and heartbeat
//! number, so late and duplicate messages have no effect. A VM without new
//! heartbeats is first suspected, then removed, by deadlines set at its last
//! heartbeat. Membership does not use the store. See `docs/ROUTING.md`.

use std::{collections::BTreeMap, time::Duration};

use kernel::{EndpointLoad, EntryName, Incarnation, Revision, Time, VmInfo, VmName};
use serde::{Deserialize, Serialize};

/// Time without a heartbeat after which a VM is suspected.
pub const SUSPECT_AFTER: Duration = Duration::from_secs(3);
/// Time without a heartbeat after which a VM is removed.
pub const REMOVE_AFTER: Duration = Duration::from_secs(10);
/// Added to both times for a VM that another entry reports, since its updates arrive later.
pub const EXCHANGE_SLACK: Duration = Duration::from_secs(2);
/// How long a removed VM is remembered, so that late updates can't bring it back and
/// repeats of requests that it ran are recognised.
pub const FORGET_AFTER: Duration = crate::record::RECORD_LIFETIME;
/// Time after which an unchanged update is sent to other entries again.
const RESEND_AFTER: Duration = Duration::from_secs(1);

/// Content of one heartbeat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmHeartbeat {
    /// VM that sent the heartbeat.
    pub vm: VmName,
    /// Incarnation of the agent.
    pub incarnation: Incarnation,
    /// Number of the heartbeat within this incarnation.
    pub sequence: u64,
    /// Facts that stay fixed within an incarnation, if the heartbeat contains them.
    pub info: Option<VmInfo>,
    /// Whether the agent has stopped taking new work.
    pub leaving: bool,
    /// Configuration revision in force at the agent.
    pub revision: Revision,
    /// Load of the VM's endpoints.
    pub load: Vec<EndpointLoad>,
}

/// State of a VM after a heartbeat, as entries exchange it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmUpdate {
    /// Facts that stay fixed within an incarnation.
    pub info: VmInfo,
    /// Number of the heartbeat that the other fields come from.
    pub sequence: u64,
    /// When that heartbeat arrived, by the clock of this process.
    pub heard_at: Time,
    /// Whether the agent has stopped taking new work.
    pub leaving: bool,
    /// Configuration revision in force at the agent.
    pub revision: Revision,
    /// Load of the VM's endpoints.
    pub load: Vec<EndpointLoad>,
}

/// How membership handled a heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HeartbeatOutcome {
    /// The heartbeat is newer than the known state.
    #[serde(rename = "news")]
    Accepted,
    /// The heartbeat is not newer than the known state.
    #[serde(rename = "old")]
    Stale,
    /// The VM's incarnation is unknown and the heartbeat lacks [`VmHeartbeat::info`].
    NeedInfo,
}

/// Membership status of a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Standing {
    /// Has a recent heartbeat.
    Alive,
    /// Has no recent heartbeat; used only if no other VM can be used.
    Suspected,
    /// Takes no new work, by its own announcement.
    Leaving,
    /// Had no heartbeat for too long; remembered, but not used.
    Removed,
}

/// A change of a VM's membership status.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StandingChange {
    /// VM whose status changed.
    pub vm: VmName,
    /// Incarnation of its agent.
    pub incarnation: Incarnation,
    /// New status.
    pub standing: Standing,
}

/// State of one VM as known to this entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Newest update.
    #[serde(rename = "news")]
    pub update: VmUpdate,
    /// Entry that sent the update; `None` if the heartbeat came to this entry.
    #[serde(rename = "told_by")]
    pub reported_by: Option<EntryName>,
    /// Current status.
    pub standing: Standing,
    /// When this entry first got an update of the VM's current incarnation.
    pub known_since: Time,
    suspect_at: Time,
    remove_at: Time,
    forget_at: Time,
    /// [`Members::update_version`] at the last change that other entries must receive.
    #[serde(rename = "changed")]
    changed_in: u64,
    #[serde(rename = "retell_at")]
    resend_at: Time,
}

/// Updates to send to another entry, and the version that the other entry has once it
/// received them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Changes {
    /// Changed VMs whose heartbeats come to this entry; if `complete`, all of those and
    /// also all removed VMs, since their records are gone.
    pub vms: Vec<VmUpdate>,
    /// Whether `vms` has all VMs whose heartbeats come to this entry.
    pub complete: bool,
    /// Version to pass to [`Members::changes_since`] once the other entry has the updates.
    pub upto: u64,
}

/// All VMs known to this entry.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Members {
    members: BTreeMap<VmName, Member>,
    #[serde(rename = "change")]
    update_version: u64,
    #[serde(rename = "topology")]
    topology_version: u64,
}

impl Members {
    /// Returns a membership without VMs.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Iterates over all VMs, including removed ones until they are forgotten.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Returns the state of `vm`.
    #[must_use]
    pub fn get(&self, vm: &VmName) -> Option<&Member> {
        self.members.get(vm)
    }

    /// Returns a counter that rises when a VM is added or changes its status or fixed facts.
    #[must_use]
    pub const fn topology_version(&self) -> u64 {
        self.topology_version
    }

    /// Returns a counter that rises with every update that other entries need.
    #[must_use]
    pub const fn update_version(&self) -> u64 {
        self.update_version
    }

    /// Applies a heartbeat that an agent sent to this entry.
    pub fn on_heartbeat(&mut self, now: Time, beat: VmHeartbeat) -> HeartbeatOutcome {
        let known = self.members.get(&beat.vm);
        let same_incarnation =
            known.filter(|member| member.update.info.incarnation == beat.incarnation);
        let info = match (beat.info, same_incarnation) {
            (Some(info), _) => info,
            (None, Some(member)) => member.update.info.clone(),
            (None, None) if is_outdated(known, beat.incarnation) => return HeartbeatOutcome::Stale,
            (None, None) => return HeartbeatOutcome::NeedInfo,
        };
        if info.vm != beat.vm || info.incarnation != beat.incarnation {
            return HeartbeatOutcome::Stale;
        }
        let update = VmUpdate {
            info,
            sequence: beat.sequence,
            heard_at: now,
            leaving: beat.leaving,
            revision: beat.revision,
            load: beat.load,
        };
        self.apply(now, update, None)
    }

    /// Applies updates from the entry `from`. VMs that it no longer reports expire by their
    /// own deadlines, so a VM that is missing in `vms` is not removed for that.
    pub fn on_exchange(
        &mut self,
        now: Time,
        from: &EntryName,
        vms: impl IntoIterator<Item = VmUpdate>,
    ) {
        for update in vms {
            self.apply(now, update, Some(from.clone()));
        }
    }

    /// Marks `vm` as leaving because its agent refused a request for this reason; has the
    /// same effect as a heartbeat that announces that the agent is leaving.
    pub fn on_leaving(&mut self, vm: &VmName, incarnation: Incarnation) {
        let Some(member) = self.members.get_mut(vm) else {
            return;
        };
        if member.update.info.incarnation != incarnation || member.update.leaving {
            return;
        }
        member.update.leaving = true;
        self.update_version += 1;
        member.changed_in = self.update_version;
        if member.standing != Standing::Removed {
            member.standing = Standing::Leaving;
            self.topology_version += 1;
        }
    }

    /// Applies deadlines that have passed; returns the changes of status in order of VM names.
    pub fn tick(&mut self, now: Time) -> Vec<StandingChange> {
        let mut changes = Vec::new();
        let mut forgotten = Vec::new();
        for (vm, member) in &mut self.members {
            if member.standing == Standing::Removed {
                if member.forget_at.passed(now) {
                    forgotten.push(vm.clone());
                }
                continue;
            }
            let standing = standing_at(member, now);
            if standing == member.standing {
                continue;
            }
            member.standing = standing;
            self.topology_version += 1;
            changes.push(StandingChange {
                vm: vm.clone(),
                incarnation: member.update.info.incarnation,
                standing,
            });
        }
        for vm in forgotten {
            self.members.remove(&vm);
        }
        changes
    }

    /// Returns the updates since version `since` of VMs whose heartbeats come to this entry;
    /// 0, or a version that this process has not reached, requests all of them.
    #[must_use]
    pub fn changes_since(&self, since: u64) -> Changes {
        let complete = since == 0 || since > self.update_version;
        let mut vms = Vec::new();
        for member in self.members.values() {
            let is_removed = member.standing == Standing::Removed;
            let is_own = member.reported_by.is_none() && !is_removed;
            let has_changed = complete || member.changed_in > since;
            if (is_own && has_changed) || (is_removed && complete) {
                vms.push(member.update.clone());
            }
        }
        Changes {
            vms,
            complete,
            upto: self.update_version,
        }
    }

    fn apply(
        &mut self,
        now: Time,
        mut update: VmUpdate,
        reported_by: Option<EntryName>,
    ) -> HeartbeatOutcome {
        let known = self.members.get(&update.info.vm);
        if let Some(member) = known {
            if !is_newer(&update, &member.update) {
                return HeartbeatOutcome::Stale;
            }
            if member.update.info.incarnation == update.info.incarnation {
                update.leaving |= member.update.leaving;
            }
        }
        let slack = match reported_by {
            Some(_) => EXCHANGE_SLACK,
            None => Duration::ZERO,
        };
        update.heard_at = update.heard_at.min(now);
        let remove_at = update.heard_at + REMOVE_AFTER + slack;
        if (remove_at + FORGET_AFTER).passed(now) {
            return HeartbeatOutcome::Stale;
        }
        let is_due =
            known.is_none_or(|member| is_worth_sending(member, &update, &reported_by, now));
        if is_due {
            self.update_version += 1;
        }
        let (changed_in, resend_at) = match known {
            Some(member) if !is_due => (member.changed_in, member.resend_at),
            _ => (self.update_version, now + RESEND_AFTER),
        };
        let known_since = match known {
            Some(member) if member.update.info.incarnation == update.info.incarnation => {
                member.known_since
            }
            _ => now,
        };
        let previous = known.map(|member| (member.standing, member.update.info.clone()));
        let mut member = Member {
            suspect_at: update.heard_at + SUSPECT_AFTER + slack,
            remove_at,
            forget_at: remove_at + FORGET_AFTER,
            update,
            reported_by,
            standing: Standing::Alive,
            known_since,
            changed_in,
            resend_at,
        };
        member.standing = standing_at(&member, now);
        if previous != Some((member.standing, member.update.info.clone())) {
            self.topology_version += 1;
        }
        self.members.insert(member.update.info.vm.clone(), member);
        HeartbeatOutcome::Accepted
    }
}

fn is_outdated(known: Option<&Member>, incarnation: Incarnation) -> bool {
    known.is_some_and(|member| incarnation < member.update.info.incarnation)
}

fn is_newer(update: &VmUpdate, known: &VmUpdate) -> bool {
    let order = |update: &VmUpdate| (update.info.incarnation, update.sequence);
    order(update) > order(known)
}

fn is_worth_sending(
    known: &Member,
    update: &VmUpdate,
    reported_by: &Option<EntryName>,
    now: Time,
) -> bool {
    known.update.info != update.info
        || known.update.leaving != update.leaving
        || known.update.revision != update.revision
        || known.update.load != update.load
        || known.reported_by != *reported_by
        || known.standing == Standing::Removed
        || known.resend_at.passed(now)
}

fn standing_at(member: &Member, now: Time) -> Standing {
    if member.remove_at.passed(now) {
        return Standing::Removed;
    }
    if member.update.leaving {
        return Standing::Leaving;
    }
    if member.suspect_at.passed(now) {
        return Standing::Suspected;
    }
    Standing::Alive
}
