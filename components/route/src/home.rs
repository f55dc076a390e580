//! Which endpoint must run a request whose id may come twice.
//!
//! All entries rank the endpoints of a service by the same hash of the id, so
//! the first one in rank, the home, sees every repeat and answers it from its
//! record. While the set of endpoints has changed within the lifetime of a
//! record, an earlier home may hold the record; it is probed, which also stops
//! it from running the request later. See `docs/AT-MOST-ONCE.md`.

use std::{cmp::Reverse, time::Duration};

use kernel::{RequestId, Time, VmName};
use sha2::{Digest, Sha256};

use crate::{
    record::RECORD_LIFETIME,
    request::{Candidate, Usability},
};

/// How far a caller's clock may run ahead when its ids carry their time.
const MAX_CLOCK_LEAD: Duration = Duration::from_secs(60);
/// Where a UUID carries its version, counted in characters.
const UUID_VERSION_AT: usize = 14;
/// The length of a UUID in characters.
const UUID_CHARS: usize = 36;

/// How to run a request at most once.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Plan {
    /// The endpoint that may run it once all probes found nothing.
    pub home: Option<VmName>,
    /// The endpoints that may hold its record.
    pub probes: Vec<VmName>,
    /// A record may have gone with its endpoint.
    pub record_lost: bool,
}

/// Plans the request `id` at `now` over all endpoints of its service.
#[must_use]
pub fn plan(now: Time, id: &RequestId, candidates: &[Candidate]) -> Plan {
    let mut ranked: Vec<&Candidate> = candidates.iter().collect();
    ranked.sort_by_cached_key(|candidate| Reverse(weight(id, &candidate.vm)));
    let made_at = made_at(id);
    let mut plan = Plan::default();
    for candidate in ranked {
        plan.record_lost |= may_be_lost(now, made_at, candidate);
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

/// A weight that entries of every version agree on.
fn weight(id: &RequestId, vm: &VmName) -> [u8; 32] {
    let mut hasher = Sha256::new();
    hasher.update(id.as_str());
    hasher.update([0]);
    hasher.update(vm.as_str());
    hasher.finalize().into()
}

fn may_be_lost(now: Time, made_at: Option<Time>, candidate: &Candidate) -> bool {
    if candidate.lost_records_until.passed(now) {
        return false;
    }
    match (made_at, candidate.lost_records_before) {
        (Some(made_at), Some(lost_records_before)) => {
            made_at <= lost_records_before + MAX_CLOCK_LEAD
        }
        _ => true,
    }
}

/// When a UUID of version 7 was made; nothing for any other id.
#[must_use]
pub fn made_at(id: &RequestId) -> Option<Time> {
    let text = id.as_str();
    if text.len() != UUID_CHARS || text.as_bytes()[UUID_VERSION_AT] != b'7' {
        return None;
    }
    let digits: String = text.chars().filter(|c| *c != '-').take(12).collect();
    u64::from_str_radix(&digits, 16).ok().map(Time::from_millis)
}
