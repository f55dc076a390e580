//! One service at an entry: its router and the candidates for its requests.

use std::{
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use kernel::{
    Revision, ServiceName, Time,
    object::{Limit, Service},
};
use route::{Action, CandidateTracker, Event, Policy, Router};

use crate::{caller::InForce, members::Members};

/// Interval at which the router takes reported loads; changes of membership reach it
/// at once.
const LOAD_INTERVAL: Duration = Duration::from_millis(50);

#[derive(Debug)]
struct RouterState {
    router: Router,
    candidate_tracker: CandidateTracker,
    service: Service,
    revision: Revision,
    /// Topology version of the membership at the last update; `u64::MAX` before the first.
    topology: u64,
    next_load_update: Time,
}

/// One service at an entry.
#[derive(Debug)]
pub(crate) struct ServiceState {
    name: ServiceName,
    state: Mutex<RouterState>,
}

fn policy(service: &Service, limit: Limit) -> Policy {
    Policy {
        limit,
        objective: Duration::from_millis(service.objective.latency_millis),
    }
}

impl ServiceState {
    pub(crate) fn new(name: ServiceName, service: Service, limit: Limit, seed: u64) -> Self {
        let state = RouterState {
            router: Router::new(policy(&service, limit), seed),
            candidate_tracker: CandidateTracker::new(name.clone()),
            service,
            revision: Revision::default(),
            topology: u64::MAX,
            next_load_update: Time::ZERO,
        };
        Self {
            name,
            state: Mutex::new(state),
        }
    }

    pub(crate) const fn name(&self) -> &ServiceName {
        &self.name
    }

    pub(crate) fn set_service(&self, service: &Service, limit: Limit) {
        let mut state = self.lock();
        state.router.set_policy(policy(service, limit));
        state.service = service.clone();
    }

    /// Calls `read` with the service's object.
    pub(crate) fn with_service<T>(&self, read: impl FnOnce(&Service) -> T) -> T {
        read(&self.lock().service)
    }

    pub(crate) fn max_body(&self) -> u64 {
        self.lock().router.policy().limit.body_bytes
    }

    /// Returns the number of requests in flight and their limit.
    pub(crate) fn gauges(&self) -> (usize, u32) {
        let state = self.lock();
        (state.router.in_flight(), state.router.concurrency_limit())
    }

    /// Applies changes of membership and configuration.
    pub(crate) fn refresh(&self, now: Time, members: &Members, in_force: &InForce) {
        self.lock().refresh(now, &self.name, members, in_force);
    }

    /// Passes `event` to the router after an update of its endpoints.
    pub(crate) fn handle(
        &self,
        now: Time,
        event: Event,
        members: &Members,
        in_force: &InForce,
    ) -> Vec<Action> {
        let mut state = self.lock();
        state.refresh(now, &self.name, members, in_force);
        state.router.handle(now, event)
    }

    fn lock(&self) -> MutexGuard<'_, RouterState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl RouterState {
    fn refresh(&mut self, now: Time, name: &ServiceName, members: &Members, in_force: &InForce) {
        if in_force.revision < self.revision {
            return;
        }
        let candidates = members.with(|members| {
            let unchanged = members.topology_version() == self.topology
                && in_force.revision == self.revision
                && !self.next_load_update.passed(now);
            if unchanged {
                return None;
            }
            self.topology = members.topology_version();
            let (objects, revision) = (&in_force.objects, in_force.revision);
            Some(
                self.candidate_tracker
                    .update(now, members, objects, revision),
            )
        });
        let Some(candidates) = candidates else {
            return;
        };
        tracing::trace!(service = %name, endpoints = candidates.len(), "endpoints updated");
        self.revision = in_force.revision;
        self.next_load_update = now + LOAD_INTERVAL;
        self.router.handle(now, Event::Endpoints(candidates));
    }
}
