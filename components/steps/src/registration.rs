//! Registration of an agent: a key in the store from which a new owner of the jobs
//! learns that the agent exists.
//!
//! A new owner waits until the leases of the runs on the VM of every registered agent
//! that does not answer have expired. An agent whose worker has left
//! removes its key, since its VM often disappears with the worker. No task may run on
//! the VM of an unregistered agent, so a new worker is admitted only after the agent is
//! registered again.

use store::StoreRevision;

use crate::agent::Heartbeat;

/// Next operation on the agent's key in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RegistrationStep {
    /// Ensure that the key exists.
    List,
    /// Write the key even if it exists: an earlier removal may still be in progress,
    /// and the write changes the revision that the removal requires.
    ListAgain,
    /// Remove the key if it still has this revision.
    Withdraw(StoreRevision),
}

/// State of an agent's key in the store.
#[derive(Debug, Default)]
pub struct Registration {
    /// Revision of the key; `None` while the key is not known to exist.
    key_revision: Option<StoreRevision>,
    /// Whether the worker has left and no other worker has reported.
    has_worker_left: bool,
    /// Whether this agent may have removed the key.
    may_be_removed: bool,
    /// Newest heartbeat of a worker that waits for the registration.
    waiting_heartbeat: Option<Heartbeat>,
}

impl Registration {
    /// Takes a heartbeat and returns it if the worker may be admitted now; keeps it
    /// otherwise.
    pub fn admit_heartbeat(&mut self, beat: Heartbeat) -> Option<Heartbeat> {
        self.has_worker_left = false;
        if !self.may_be_removed {
            return Some(beat);
        }
        tracing::info!(worker = %beat.info.incarnation.worker, "worker waits until the agent is registered");
        self.waiting_heartbeat = Some(beat);
        None
    }

    /// Notes that the worker has left.
    pub fn worker_left(&mut self) {
        self.has_worker_left = true;
        self.waiting_heartbeat = None;
    }

    /// Returns the operation that is due now. Once a removal has been returned, the
    /// key counts as possibly removed.
    pub fn next_step(&mut self) -> Option<RegistrationStep> {
        if !self.has_worker_left {
            return Some(match self.may_be_removed {
                true => RegistrationStep::ListAgain,
                false => RegistrationStep::List,
            });
        }
        let revision = self.key_revision?;
        self.may_be_removed = true;
        Some(RegistrationStep::Withdraw(revision))
    }

    /// Notes that the key is gone or that another process has written it.
    pub fn confirm_removed(&mut self) {
        self.key_revision = None;
    }

    /// Whether an operation is due that can't wait for the next periodic check.
    #[must_use]
    pub const fn is_urgent(&self) -> bool {
        match self.has_worker_left {
            true => self.key_revision.is_some(),
            false => self.may_be_removed,
        }
    }

    /// Notes that the key exists at this revision. Returns the heartbeat that waited
    /// for it.
    pub fn confirm_listed(&mut self, revision: StoreRevision) -> Option<Heartbeat> {
        self.key_revision = Some(revision);
        self.may_be_removed = false;
        self.waiting_heartbeat.take()
    }
}
