//! Chooses an endpoint of a service by load, latency and health.

use std::{collections::BTreeMap, time::Duration};

use kernel::{Time, VmName};
use rand::Rng;

use crate::{
    outlier::Health,
    request::{Candidate, Usability},
};

/// Maximum share of the usable endpoints that may be ejected as outliers at a time.
const MAX_EJECTED_SHARE: f64 = 0.5;
/// Latency assumed until an endpoint has answered, in microseconds.
const DEFAULT_LATENCY_MICROS: f64 = 1000.0;

/// One endpoint with the load and health that this entry observes.
#[derive(Clone, Debug)]
pub struct EndpointState {
    /// The endpoint according to membership and configuration.
    pub candidate: Candidate,
    /// Open attempts of this entry at the endpoint.
    pub in_flight: u32,
    /// Latency and failures of its answers.
    pub health: Health,
}

/// The endpoints of a service.
#[derive(Clone, Debug, Default)]
pub struct Endpoints {
    by_vm: BTreeMap<VmName, EndpointState>,
}

impl Endpoints {
    /// Replaces the set; load and health of an endpoint are kept unless its agent restarted.
    pub fn replace(&mut self, candidates: Vec<Candidate>) {
        let mut by_vm = BTreeMap::new();
        for mut candidate in candidates {
            let previous = self
                .by_vm
                .remove(&candidate.vm)
                .filter(|previous| previous.candidate.incarnation == candidate.incarnation);
            let (in_flight, health) = match previous {
                Some(previous) => {
                    keep_newer_load(&mut candidate, &previous.candidate);
                    (previous.in_flight, previous.health)
                }
                None => (0, Health::default()),
            };
            let vm = candidate.vm.clone();
            let endpoint = EndpointState {
                candidate,
                in_flight,
                health,
            };
            by_vm.insert(vm, endpoint);
        }
        self.by_vm = by_vm;
    }

    /// Returns the endpoint on `vm`.
    #[must_use]
    pub fn get(&self, vm: &VmName) -> Option<&EndpointState> {
        self.by_vm.get(vm)
    }

    /// Returns the endpoint on `vm` for modification.
    pub fn get_mut(&mut self, vm: &VmName) -> Option<&mut EndpointState> {
        self.by_vm.get_mut(vm)
    }

    /// Returns the candidates of all endpoints.
    #[must_use]
    pub fn candidates(&self) -> Vec<Candidate> {
        self.by_vm
            .values()
            .map(|endpoint| endpoint.candidate.clone())
            .collect()
    }

    /// Whether any endpoint may get requests.
    #[must_use]
    pub fn has_usable(&self) -> bool {
        self.by_vm
            .values()
            .any(|endpoint| endpoint.candidate.usability <= Usability::LastResort)
    }

    /// Draws two endpoints at random, skipping those in `tried`, and returns the one with
    /// the lower score. Ejected endpoints are drawn only if no healthy one remains
    /// untried, and suspected ones only if no other remains untried.
    pub fn choose(&self, now: Time, tried: &[VmName], rng: &mut impl Rng) -> Option<VmName> {
        let mut best = Vec::new();
        let mut best_tier = Tier::Unusable;
        for (vm, endpoint) in &self.by_vm {
            let tier = tier_of(endpoint, now);
            if tier == Tier::Unusable || tried.contains(vm) || tier > best_tier {
                continue;
            }
            if tier < best_tier {
                best.clear();
                best_tier = tier;
            }
            best.push(endpoint);
        }
        if best.is_empty() {
            return None;
        }
        let typical_micros = self
            .median_latency_micros(None)
            .unwrap_or(DEFAULT_LATENCY_MICROS);
        let first = rng.random_range(0..best.len());
        if best.len() == 1 {
            return Some(best[first].candidate.vm.clone());
        }
        let mut second = rng.random_range(0..best.len() - 1);
        if second >= first {
            second += 1;
        }
        let (first, second) = (best[first], best[second]);
        let chosen = if score(second, typical_micros) < score(first, typical_micros) {
            second
        } else {
            first
        };
        Some(chosen.candidate.vm.clone())
    }

    /// Returns the median latency of all usable endpoints but `except`, in microseconds;
    /// `None` if none of them has answered yet.
    #[must_use]
    pub fn median_latency_micros(&self, except: Option<&VmName>) -> Option<f64> {
        let mut latencies = Vec::new();
        for (vm, endpoint) in &self.by_vm {
            if Some(vm) == except || endpoint.candidate.usability > Usability::LastResort {
                continue;
            }
            latencies.extend(endpoint.health.latency_micros());
        }
        if latencies.is_empty() {
            return None;
        }
        latencies.sort_by(f64::total_cmp);
        Some(latencies[latencies.len() / 2])
    }

    /// Records at `now` the end of an attempt at `vm`: its latency if the answer was good,
    /// `None` if the attempt failed. Ends a trial of the endpoint, or ejects an outlier.
    pub fn on_result(&mut self, now: Time, vm: &VmName, latency: Option<Duration>) {
        let median = self.median_latency_micros(Some(vm));
        let may_eject = self.may_eject(now);
        let Some(endpoint) = self.by_vm.get_mut(vm) else {
            return;
        };
        if endpoint.health.is_on_trial() && !endpoint.health.is_ejected(now) {
            endpoint.health.end_trial(now, latency, median);
            return;
        }
        match latency {
            Some(latency) => endpoint.health.on_success(latency),
            None => endpoint.health.on_failure(),
        }
        if may_eject && !endpoint.health.is_on_trial() && endpoint.health.is_outlier(median) {
            endpoint.health.eject(now);
        }
    }

    /// Records at `now` that an attempt at `vm` is still open after `latency`.
    pub fn on_slow(&mut self, now: Time, vm: &VmName, latency: Duration) {
        let median = self.median_latency_micros(Some(vm));
        let may_eject = self.may_eject(now);
        let Some(endpoint) = self.by_vm.get_mut(vm) else {
            return;
        };
        endpoint.health.on_latency(latency);
        if may_eject && !endpoint.health.is_on_trial() && endpoint.health.is_outlier(median) {
            endpoint.health.eject(now);
        }
    }

    fn may_eject(&self, now: Time) -> bool {
        let mut usable = 0_u32;
        let mut ejected = 0_u32;
        for endpoint in self.by_vm.values() {
            if endpoint.candidate.usability != Usability::Normal {
                continue;
            }
            usable += 1;
            ejected += u32::from(endpoint.health.is_ejected(now));
        }
        f64::from(ejected + 1) <= f64::from(usable) * MAX_EJECTED_SHARE
    }
}

fn keep_newer_load(candidate: &mut Candidate, previous: &Candidate) {
    if previous.reported_at > candidate.reported_at {
        candidate.reported_load = previous.reported_load;
        candidate.reported_at = previous.reported_at;
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Tier {
    Healthy,
    Ejected,
    Suspected,
    Unusable,
}

fn tier_of(endpoint: &EndpointState, now: Time) -> Tier {
    let is_trial_busy = endpoint.health.is_on_trial() && endpoint.in_flight > 0;
    match endpoint.candidate.usability {
        Usability::Normal if endpoint.health.is_ejected(now) || is_trial_busy => Tier::Ejected,
        Usability::Normal => Tier::Healthy,
        Usability::LastResort => Tier::Suspected,
        Usability::RecordsOnly | Usability::Gone => Tier::Unusable,
    }
}

fn score(endpoint: &EndpointState, typical_micros: f64) -> f64 {
    let latency = endpoint.health.latency_micros().unwrap_or(typical_micros);
    let load = endpoint.in_flight.max(endpoint.candidate.reported_load);
    let slots = endpoint.candidate.slots.max(1);
    latency * (1.0 + f64::from(load) / f64::from(slots))
}
