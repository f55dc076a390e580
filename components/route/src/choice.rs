//! Choice of an endpoint among those of a service.

use std::{collections::BTreeMap, time::Duration};

use kernel::{Time, VmName};
use rand::Rng;

use crate::{
    outlier::Health,
    request::{Candidate, Usability},
};

/// At most this share of the usable endpoints is left out as outliers.
const MAX_EJECTED_SHARE: f64 = 0.5;
/// Latency assumed while no endpoint has answered yet, in microseconds.
const UNKNOWN_LATENCY_MICROS: f64 = 1000.0;

/// One endpoint with what this entry sees of it.
#[derive(Clone, Debug)]
pub struct Known {
    /// What is told of it.
    pub candidate: Candidate,
    /// Attempts of this entry under way there.
    pub in_flight: u32,
    /// How it answers.
    pub health: Health,
}

/// The endpoints of a service.
#[derive(Clone, Debug, Default)]
pub struct Endpoints {
    known: BTreeMap<VmName, Known>,
}

impl Endpoints {
    /// Replaces the set; what is seen of an endpoint stays while its agent lives.
    pub fn replace(&mut self, candidates: Vec<Candidate>) {
        let mut known = BTreeMap::new();
        for mut candidate in candidates {
            let before = self
                .known
                .remove(&candidate.vm)
                .filter(|before| before.candidate.incarnation == candidate.incarnation);
            let (in_flight, health) = match before {
                Some(before) => {
                    keep_newer_load(&mut candidate, &before.candidate);
                    (before.in_flight, before.health)
                }
                None => (0, Health::default()),
            };
            let vm = candidate.vm.clone();
            let entry = Known {
                candidate,
                in_flight,
                health,
            };
            known.insert(vm, entry);
        }
        self.known = known;
    }

    /// One endpoint.
    #[must_use]
    pub fn get(&self, vm: &VmName) -> Option<&Known> {
        self.known.get(vm)
    }

    /// One endpoint, to be changed.
    pub fn get_mut(&mut self, vm: &VmName) -> Option<&mut Known> {
        self.known.get_mut(vm)
    }

    /// What is told of all endpoints.
    #[must_use]
    pub fn candidates(&self) -> Vec<Candidate> {
        self.known
            .values()
            .map(|known| known.candidate.clone())
            .collect()
    }

    /// Whether any endpoint may take a request.
    #[must_use]
    pub fn any_usable(&self) -> bool {
        self.known
            .values()
            .any(|known| known.candidate.usability <= Usability::LastResort)
    }

    /// Chooses the better of two drawn at random, leaving out those in `tried`;
    /// slow, silent or failing ones are drawn only if nothing else is left.
    pub fn choose(&self, now: Time, tried: &[VmName], rng: &mut impl Rng) -> Option<VmName> {
        let mut best = Vec::new();
        let mut best_tier = Tier::Never;
        for (vm, known) in &self.known {
            let tier = tier_of(known, now);
            if tier == Tier::Never || tried.contains(vm) || tier > best_tier {
                continue;
            }
            if tier < best_tier {
                best.clear();
                best_tier = tier;
            }
            best.push(known);
        }
        if best.is_empty() {
            return None;
        }
        let typical = self.middle_latency(None).unwrap_or(UNKNOWN_LATENCY_MICROS);
        let first = rng.random_range(0..best.len());
        if best.len() == 1 {
            return Some(best[first].candidate.vm.clone());
        }
        let mut second = rng.random_range(0..best.len() - 1);
        if second >= first {
            second += 1;
        }
        let (first, second) = (best[first], best[second]);
        let chosen = if score(second, typical) < score(first, typical) {
            second
        } else {
            first
        };
        Some(chosen.candidate.vm.clone())
    }

    /// The middle of the latencies of all usable endpoints but `except`.
    #[must_use]
    pub fn middle_latency(&self, except: Option<&VmName>) -> Option<f64> {
        let mut latencies = Vec::new();
        for (vm, known) in &self.known {
            if Some(vm) == except || known.candidate.usability > Usability::LastResort {
                continue;
            }
            latencies.extend(known.health.latency_micros());
        }
        if latencies.is_empty() {
            return None;
        }
        latencies.sort_by(f64::total_cmp);
        Some(latencies[latencies.len() / 2])
    }

    /// Notes at `now` how an attempt at `vm` ended: its latency if it was
    /// answered well, nothing if it failed. Leaves an outlier out for a while.
    pub fn on_result(&mut self, now: Time, vm: &VmName, latency: Option<Duration>) {
        let middle = self.middle_latency(Some(vm));
        let may_eject = self.may_eject(now);
        let Some(known) = self.known.get_mut(vm) else {
            return;
        };
        if known.health.is_on_trial() && !known.health.is_ejected(now) {
            known.health.end_trial(now, latency, middle);
            return;
        }
        match latency {
            Some(latency) => known.health.on_good(latency),
            None => known.health.on_failure(),
        }
        if may_eject && !known.health.is_on_trial() && known.health.is_outlier(middle) {
            known.health.eject(now);
        }
    }

    /// Notes at `now` that an attempt at `vm` has taken `latency` and goes on.
    pub fn on_slow(&mut self, now: Time, vm: &VmName, latency: Duration) {
        let middle = self.middle_latency(Some(vm));
        let may_eject = self.may_eject(now);
        let Some(known) = self.known.get_mut(vm) else {
            return;
        };
        known.health.on_latency(latency);
        if may_eject && !known.health.is_on_trial() && known.health.is_outlier(middle) {
            known.health.eject(now);
        }
    }

    fn may_eject(&self, now: Time) -> bool {
        let mut usable = 0_u32;
        let mut ejected = 0_u32;
        for known in self.known.values() {
            if known.candidate.usability != Usability::Normal {
                continue;
            }
            usable += 1;
            ejected += u32::from(known.health.is_ejected(now));
        }
        f64::from(ejected + 1) <= f64::from(usable) * MAX_EJECTED_SHARE
    }
}

fn keep_newer_load(candidate: &mut Candidate, before: &Candidate) {
    if before.reported_at > candidate.reported_at {
        candidate.reported_load = before.reported_load;
        candidate.reported_at = before.reported_at;
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Tier {
    Good,
    Ejected,
    Silent,
    Never,
}

fn tier_of(known: &Known, now: Time) -> Tier {
    let busy_trial = known.health.is_on_trial() && known.in_flight > 0;
    match known.candidate.usability {
        Usability::Normal if known.health.is_ejected(now) || busy_trial => Tier::Ejected,
        Usability::Normal => Tier::Good,
        Usability::LastResort => Tier::Silent,
        Usability::RecordsOnly | Usability::Gone => Tier::Never,
    }
}

fn score(known: &Known, typical_micros: f64) -> f64 {
    let latency = known.health.latency_micros().unwrap_or(typical_micros);
    let load = known.in_flight.max(known.candidate.reported_load);
    let slots = known.candidate.slots.max(1);
    latency * (1.0 + f64::from(load) / f64::from(slots))
}
