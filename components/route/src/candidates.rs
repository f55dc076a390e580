//! Derives the candidate endpoints of one service from membership and configuration.
//!
//! The tracker also keeps since when each endpoint has been usable, and until when the
//! request records of its agent matter; see `docs/AT-MOST-ONCE.md`.

use std::collections::BTreeMap;

use kernel::{ObjectSet, Revision, ServiceName, Time, VmName};

use crate::{
    members::{Member, Members, Standing},
    record::{RECORD_LIFETIME, REPEAT_WINDOW},
    request::{Candidate, Usability},
};

/// Tracks the candidate endpoints of one service.
#[derive(Clone, Debug)]
pub struct CandidateTracker {
    service: ServiceName,
    revision: Revision,
    candidates: BTreeMap<VmName, Candidate>,
    restarts: BTreeMap<VmName, Restart>,
}

/// The last known restart of an agent, in which it lost its records.
#[derive(Clone, Copy, Debug)]
struct Restart {
    /// When this entry first saw the new incarnation.
    noticed_at: Time,
    /// Until when callers may repeat requests whose records were lost.
    lost_records_until: Time,
}

impl CandidateTracker {
    /// Returns a tracker without candidates for `service`.
    #[must_use]
    pub const fn new(service: ServiceName) -> Self {
        Self {
            service,
            revision: Revision(0),
            candidates: BTreeMap::new(),
            restarts: BTreeMap::new(),
        }
    }

    /// Applies membership and configuration as known at `now` and returns all candidates.
    ///
    /// Must be called for every revision that comes into force at this entry. If a revision
    /// was skipped, an availability zone may have been taken out and brought back in between,
    /// so every endpoint counts as usable only from `now` on.
    pub fn update(
        &mut self,
        now: Time,
        members: &Members,
        objects: &ObjectSet,
        revision: Revision,
    ) -> Vec<Candidate> {
        let skipped_revision = revision.0 > self.revision.0 + 1;
        self.revision = revision;
        self.record_restarts(now, members);
        let mut candidates = BTreeMap::new();
        for member in members.iter() {
            let info = &member.update.info;
            let Some(mut candidate) = self.candidate(now, member, objects) else {
                continue;
            };
            if skipped_revision && candidate.usability <= Usability::LastResort {
                candidate.usable_since = now;
            }
            candidates.insert(info.vm.clone(), candidate);
        }
        self.candidates = candidates;
        self.candidates.values().cloned().collect()
    }

    fn record_restarts(&mut self, now: Time, members: &Members) {
        self.restarts
            .retain(|_, restart| !restart.lost_records_until.passed(now));
        for (vm, previous) in &self.candidates {
            let incarnation = members.get(vm).map(|member| member.update.info.incarnation);
            if incarnation.is_none_or(|incarnation| incarnation == previous.incarnation) {
                continue;
            }
            let restart = Restart {
                noticed_at: now,
                lost_records_until: now + REPEAT_WINDOW,
            };
            self.restarts.insert(vm.clone(), restart);
        }
    }

    fn candidate(&self, now: Time, member: &Member, objects: &ObjectSet) -> Option<Candidate> {
        let info = &member.update.info;
        let endpoint = info
            .endpoints
            .iter()
            .find(|endpoint| endpoint.service == self.service)?;
        let usability = usability(member, objects);
        let previous = self.candidates.get(&info.vm);
        let same_incarnation = previous.filter(|previous| previous.incarnation == info.incarnation);
        let load = member
            .update
            .load
            .iter()
            .find(|load| load.service == self.service);
        let mut candidate = Candidate {
            vm: info.vm.clone(),
            incarnation: info.incarnation,
            address: info.address,
            zone: info.zone.clone(),
            slots: endpoint.slots,
            reported_load: load.map_or(0, |load| load.in_flight + load.queued),
            reported_at: member.update.heard_at,
            usability,
            usable_since: now,
            records_held_until: Time::MAX,
            lost_records_until: Time::ZERO,
            lost_records_before: None,
        };
        let was_usable =
            same_incarnation.filter(|previous| previous.usability <= Usability::LastResort);
        match usability {
            Usability::Normal | Usability::LastResort => {
                candidate.usable_since = was_usable.map_or(now, |previous| previous.usable_since);
            }
            Usability::RecordsOnly | Usability::Gone => {
                let was_unusable =
                    same_incarnation.filter(|previous| previous.usability > Usability::LastResort);
                candidate.records_held_until = match was_unusable {
                    Some(previous) => previous.records_held_until,
                    None => now + RECORD_LIFETIME,
                };
            }
        }
        if let Some(restart) = self.restarts.get(&info.vm) {
            candidate.lost_records_until = restart.lost_records_until;
            candidate.lost_records_before = Some(restart.noticed_at);
        }
        if usability == Usability::Gone {
            candidate.lost_records_until = candidate.records_held_until;
            let has_announced = member.update.leaving;
            candidate.lost_records_before = has_announced.then_some(member.update.heard_at);
        }
        Some(candidate)
    }
}

fn usability(member: &Member, objects: &ObjectSet) -> Usability {
    let info = &member.update.info;
    match member.standing {
        Standing::Removed => Usability::Gone,
        Standing::Leaving => Usability::RecordsOnly,
        _ if !objects.takes_work(&info.zone, &info.vm) => Usability::RecordsOnly,
        Standing::Suspected => Usability::LastResort,
        Standing::Alive => Usability::Normal,
    }
}
