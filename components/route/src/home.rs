//! Selects the endpoint that must run a request whose id callers may repeat.
//!
//! All entries rank the endpoints of a service by the same hash of request id
//! and VM (rendezvous hashing). The first usable endpoint in this order, the
//! home, gets every repeat and answers it from its record. If the set of
//! endpoints has changed within the lifetime of a record, an earlier home may
//! hold the record. It is probed first, which also prevents it from running the
//! request later. See `docs/AT-MOST-ONCE.md`.

use std::{cmp::Reverse, time::Duration};

use kernel::{RequestId, Time, VmName};
use sha2::{Digest, Sha256};

use crate::{
    record::RECORD_LIFETIME,
    request::{Candidate, Usability},
};

/// Maximum lead of a caller's clock, for ids that contain the time of their creation.
const MAX_CLOCK_LEAD: Duration = Duration::from_secs(60);
/// Index of the version digit in the text of a UUID.
const UUID_VERSION_INDEX: usize = 14;
/// Length of the text of a UUID.
const UUID_LEN: usize = 36;

/// Where to probe for a request and where to run it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Plan {
    /// Endpoint that may run the request once no probe has found a record; `None` if no
    /// endpoint is usable.
    pub home: Option<VmName>,
    /// Endpoints whose agents may hold the request's record.
    pub probes: Vec<VmName>,
    /// Whether an agent may have held the record and lost it.
    pub record_lost: bool,
}

/// Plans the request `id` at `now`; `candidates` are all endpoints of its service.
#[must_use]
pub fn plan(now: Time, id: &RequestId, candidates: &[Candidate]) -> Plan {
    let mut ranked: Vec<&Candidate> = candidates.iter().collect();
    ranked.sort_by_cached_key(|candidate| Reverse(weight(id, &candidate.vm)));
    let created_at = created_at(id);
    let mut plan = Plan::default();
    for candidate in ranked {
        plan.record_lost |= may_have_lost_record(now, created_at, candidate);
        match candidate.usability {
            Usability::Normal | Usability::LastResort if plan.home.is_none() => {
                plan.home = Some(candidate.vm.clone());
            }
            Usability::Normal | Usability::LastResort | Usability::RecordsOnly
                if !candidate.records_held_until.passed(now) =>
            {
                plan.probes.push(candidate.vm.clone());
            }
            Usability::Normal
            | Usability::LastResort
            | Usability::RecordsOnly
            | Usability::Gone => {}
        }
        let usable = matches!(
            candidate.usability,
            Usability::Normal | Usability::LastResort
        );
        if usable && (candidate.usable_since + RECORD_LIFETIME).passed(now) {
            break;
        }
    }
    plan
}

/// Returns the rank of `vm` for `id`, on which entries of all versions must agree.
fn weight(id: &RequestId, vm: &VmName) -> [u8; 32] {
    let mut hasher = Sha256::new();
    hasher.update(id.as_str());
    hasher.update([0]);
    hasher.update(vm.as_str());
    hasher.finalize().into()
}

fn may_have_lost_record(now: Time, created_at: Option<Time>, candidate: &Candidate) -> bool {
    if candidate.lost_records_until.passed(now) {
        return false;
    }
    match (created_at, candidate.lost_records_before) {
        (Some(created_at), Some(lost_records_before)) => {
            created_at <= lost_records_before + MAX_CLOCK_LEAD
        }
        _ => true,
    }
}

/// Returns the creation time in a UUID of version 7, `None` for any other id.
#[must_use]
pub fn created_at(id: &RequestId) -> Option<Time> {
    let text = id.as_str();
    if text.len() != UUID_LEN || text.as_bytes()[UUID_VERSION_INDEX] != b'7' {
        return None;
    }
    let digits: String = text.chars().filter(|c| *c != '-').take(12).collect();
    u64::from_str_radix(&digits, 16).ok().map(Time::from_millis)
}
