//! The router of one service with the endpoints it may use.

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

/// Reported loads are taken over this often; changes of standing at once.
const LOAD_INTERVAL: Duration = Duration::from_millis(50);

#[derive(Debug)]
struct Inner {
    router: Router,
    roster: CandidateTracker,
    service: Service,
    revision: Revision,
    topology: u64,
    load_from: Time,
}

/// One service at an entry.
#[derive(Debug)]
pub(crate) struct ServiceState {
    name: ServiceName,
    inner: Mutex<Inner>,
}

fn policy(service: &Service, limit: Limit) -> Policy {
    Policy {
        limit,
        objective: Duration::from_millis(service.objective.latency_millis),
    }
}

impl ServiceState {
    pub(crate) fn new(name: ServiceName, service: Service, limit: Limit, seed: u64) -> Self {
        let inner = Inner {
            router: Router::new(policy(&service, limit), seed),
            roster: CandidateTracker::new(name.clone()),
            service,
            revision: Revision::default(),
            topology: u64::MAX,
            load_from: Time::ZERO,
        };
        Self {
            name,
            inner: Mutex::new(inner),
        }
    }

    pub(crate) const fn name(&self) -> &ServiceName {
        &self.name
    }

    pub(crate) fn set_service(&self, service: &Service, limit: Limit) {
        let mut inner = self.lock();
        inner.router.set_policy(policy(service, limit));
        inner.service = service.clone();
    }

    /// Looks at the service's object.
    pub(crate) fn with_service<T>(&self, look: impl FnOnce(&Service) -> T) -> T {
        look(&self.lock().service)
    }

    pub(crate) fn max_body(&self) -> u64 {
        self.lock().router.policy().limit.body_bytes
    }

    /// Requests under way and the limit of them.
    pub(crate) fn gauges(&self) -> (usize, u32) {
        let inner = self.lock();
        (inner.router.in_flight(), inner.router.concurrency_limit())
    }

    /// Takes over changes of membership and configuration.
    pub(crate) fn refresh(&self, now: Time, members: &Members, in_force: &InForce) {
        self.lock().refresh(now, &self.name, members, in_force);
    }

    /// Passes `event` to the router once it knows the newest endpoints.
    pub(crate) fn handle(
        &self,
        now: Time,
        event: Event,
        members: &Members,
        in_force: &InForce,
    ) -> Vec<Action> {
        let mut inner = self.lock();
        inner.refresh(now, &self.name, members, in_force);
        inner.router.handle(now, event)
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    fn refresh(&mut self, now: Time, name: &ServiceName, members: &Members, in_force: &InForce) {
        if in_force.revision < self.revision {
            return;
        }
        let candidates = members.with(|members| {
            let unchanged = members.topology_version() == self.topology
                && in_force.revision == self.revision
                && !self.load_from.passed(now);
            if unchanged {
                return None;
            }
            self.topology = members.topology_version();
            let (objects, revision) = (&in_force.objects, in_force.revision);
            Some(self.roster.update(now, members, objects, revision))
        });
        let Some(candidates) = candidates else {
            return;
        };
        tracing::trace!(service = %name, endpoints = candidates.len(), "endpoints taken over");
        self.revision = in_force.revision;
        self.load_from = now + LOAD_INTERVAL;
        self.router.handle(now, Event::Endpoints(candidates));
    }
}
