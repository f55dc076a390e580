//! Which VMs live, at first or second hand.
//!
//! Each agent tells one entry of itself by heartbeats; entries tell one another
//! what they heard. News of a VM is ordered by incarnation and heartbeat
//! number, so late and doubled messages change nothing. A silent VM is first
//! suspected, then removed, by deadlines stored when it was last heard. The
//! store is never asked. See `docs/ROUTING.md`.

use std::{collections::BTreeMap, time::Duration};

use kernel::{EndpointLoad, EntryName, Incarnation, Revision, Time, VmInfo, VmName};
use serde::{Deserialize, Serialize};

/// A VM not heard at first hand for this long is suspected.
pub const SUSPECT_AFTER: Duration = Duration::from_secs(3);
/// A VM not heard for this long is removed.
pub const REMOVE_AFTER: Duration = Duration::from_secs(10);
/// News at second hand may be this much older before it counts as silence.
pub const EXCHANGE_SLACK: Duration = Duration::from_secs(2);
/// How long a removed VM is remembered, so that old news can't bring it back
/// and repeats of requests it ran are recognised.
pub const FORGET_AFTER: Duration = crate::record::RECORD_LIFETIME;
/// Unchanged news is told again to other entries after this long.
const RESEND_AFTER: Duration = Duration::from_secs(1);

/// What one heartbeat says.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmHeartbeat {
    /// Who sent it.
    pub vm: VmName,
    /// The life of the agent.
    pub incarnation: Incarnation,
    /// The number of the heartbeat in this life.
    pub sequence: u64,
    /// The fixed facts, if it brought them.
    pub info: Option<VmInfo>,
    /// The agent takes no new work any more.
    pub leaving: bool,
    /// The revision of the configuration in force there.
    pub revision: Revision,
    /// The load of the endpoints.
    pub load: Vec<EndpointLoad>,
}

/// What one entry tells another of a VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmUpdate {
    /// The fixed beat.
    pub info: VmInfo,
    /// The heartbeat that the rest is from.
    pub sequence: u64,
    /// When that heartbeat came, by the clock of this process.
    pub heard_at: Time,
    /// The agent takes no new work any more.
    pub leaving: bool,
    /// The revision in force there.
    pub revision: Revision,
    /// The load of its endpoints.
    pub load: Vec<EndpointLoad>,
}

/// What became of a heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HeartbeatOutcome {
    /// It was news.
    #[serde(rename = "news")]
    Accepted,
    /// It was older than what is known.
    #[serde(rename = "old")]
    Stale,
    /// The VM is not known and the heartbeat did not bring its beat.
    NeedInfo,
}

/// How a VM stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Standing {
    /// Heard of lately.
    Alive,
    /// Silent for a while; used only if nothing better is left.
    Suspected,
    /// Said that it takes no new work.
    Leaving,
    /// Silent for too long; remembered, never used.
    Removed,
}

/// A change of standing, for logs and for the owner of the VM's cell.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StandingChange {
    /// The VM.
    pub vm: VmName,
    /// The life of its agent.
    pub incarnation: Incarnation,
    /// How it stands now.
    pub standing: Standing,
}

/// One VM as this entry knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The newest news.
    #[serde(rename = "news")]
    pub update: VmUpdate,
    /// The entry that hears the VM; nothing if it is this one.
    #[serde(rename = "told_by")]
    pub reported_by: Option<EntryName>,
    /// How it stands.
    pub standing: Standing,
    /// Since when this life of the VM is known here.
    pub known_since: Time,
    suspect_at: Time,
    remove_at: Time,
    forget_at: Time,
    #[serde(rename = "changed")]
    changed_in: u64,
    #[serde(rename = "retell_at")]
    resend_at: Time,
}

/// What another entry has to be told, and up to which change it then knows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Changes {
    /// VMs heard at first hand that changed; if everything is told, also all
    /// removed VMs, whose records are gone.
    pub vms: Vec<VmUpdate>,
    /// Whether `vms` is everything heard at first hand.
    pub complete: bool,
    /// Pass this to [`Members::changes_since`] once the other entry has them.
    pub upto: u64,
}

/// All VMs that this entry knows of.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Members {
    members: BTreeMap<VmName, Member>,
    #[serde(rename = "change")]
    update_version: u64,
    #[serde(rename = "topology")]
    topology_version: u64,
}

impl Members {
    /// Knows nobody.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// All VMs, removed ones included until they are forgotten.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// One VM.
    #[must_use]
    pub fn get(&self, vm: &VmName) -> Option<&Member> {
        self.members.get(vm)
    }

    /// Rises whenever a VM comes, goes or changes its standing.
    #[must_use]
    pub const fn topology_version(&self) -> u64 {
        self.topology_version
    }

    /// Rises with every update.
    #[must_use]
    pub const fn update_version(&self) -> u64 {
        self.update_version
    }

    /// Takes in a heartbeat that came to this entry.
    pub fn on_heartbeat(&mut self, now: Time, beat: VmHeartbeat) -> HeartbeatOutcome {
        let known = self.members.get(&beat.vm);
        let same_life = known.filter(|member| member.update.info.incarnation == beat.incarnation);
        let info = match (beat.info, same_life) {
            (Some(info), _) => info,
            (None, Some(member)) => member.update.info.clone(),
            (None, None) if is_older(known, beat.incarnation) => return HeartbeatOutcome::Stale,
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
        self.learn(now, update, None)
    }

    /// Takes in what the entry `from` told; VMs that it no longer hears age out
    /// by their own deadlines, so nothing is dropped for missing in `vms`.
    pub fn on_exchange(
        &mut self,
        now: Time,
        from: &EntryName,
        vms: impl IntoIterator<Item = VmUpdate>,
    ) {
        for update in vms {
            self.learn(now, update, Some(from.clone()));
        }
    }

    /// Notes that the agent of `vm` refused work because it is leaving, which
    /// is as good as the message that should have said so.
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

    /// Lets deadlines pass; returns the changes of standing in order of names.
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

    /// What this entry heard at first hand since `seen`; 0 asks for everything.
    #[must_use]
    pub fn changes_since(&self, seen: u64) -> Changes {
        let complete = seen == 0 || seen > self.update_version;
        let mut vms = Vec::new();
        for member in self.members.values() {
            let removed = member.standing == Standing::Removed;
            let own = member.reported_by.is_none() && !removed;
            let changed = complete || member.changed_in > seen;
            if (own && changed) || (removed && complete) {
                vms.push(member.update.clone());
            }
        }
        Changes {
            vms,
            complete,
            upto: self.update_version,
        }
    }

    fn learn(
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
        let tell = known.is_none_or(|member| is_worth_telling(member, &update, &reported_by, now));
        if tell {
            self.update_version += 1;
        }
        let (changed_in, resend_at) = match known {
            Some(member) if !tell => (member.changed_in, member.resend_at),
            _ => (self.update_version, now + RESEND_AFTER),
        };
        let known_since = match known {
            Some(member) if member.update.info.incarnation == update.info.incarnation => {
                member.known_since
            }
            _ => now,
        };
        let before = known.map(|member| (member.standing, member.update.info.clone()));
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
        if before != Some((member.standing, member.update.info.clone())) {
            self.topology_version += 1;
        }
        self.members.insert(member.update.info.vm.clone(), member);
        HeartbeatOutcome::Accepted
    }
}

fn is_older(known: Option<&Member>, incarnation: Incarnation) -> bool {
    known.is_some_and(|member| incarnation < member.update.info.incarnation)
}

fn is_newer(update: &VmUpdate, known: &VmUpdate) -> bool {
    let order = |update: &VmUpdate| (update.info.incarnation, update.sequence);
    order(update) > order(known)
}

fn is_worth_telling(
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
