//! Registration of an agent in the store, by which a new owner finds it.
//!
//! A new owner waits for the leases beside every registered agent that does not
//! answer. An agent whose worker has left removes its key, since its VM often
//! disappears with the worker. Nothing may run beside an unregistered agent, so a new
//! worker is admitted only after the agent is registered again.

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
    listed: Option<StoreRevision>,
    /// Whether the worker has left and no other worker has reported.
    is_vacant: bool,
    /// Whether this agent may have removed the key.
    is_withdrawn: bool,
    /// Newest heartbeat of a worker that waits for the registration.
    held: Option<Heartbeat>,
}

impl Registration {
    /// Takes a heartbeat and returns it if the worker may be admitted now; keeps it
    /// otherwise.
    pub fn admit_heartbeat(&mut self, beat: Heartbeat) -> Option<Heartbeat> {
        self.is_vacant = false;
        if !self.is_withdrawn {
            return Some(beat);
        }
        tracing::info!(worker = %beat.info.incarnation.worker, "worker waits until the agent is registered");
        self.held = Some(beat);
        None
    }

    /// Notes that the worker has left.
    pub fn worker_left(&mut self) {
        self.is_vacant = true;
        self.held = None;
    }

    /// Returns the operation that is due now. Once a removal has been returned, the
    /// key counts as possibly removed.
    pub fn next_step(&mut self) -> Option<RegistrationStep> {
        if !self.is_vacant {
            return Some(match self.is_withdrawn {
                true => RegistrationStep::ListAgain,
                false => RegistrationStep::List,
            });
        }
        let revision = self.listed?;
        self.is_withdrawn = true;
        Some(RegistrationStep::Withdraw(revision))
    }

    /// Notes that the key is gone or that another process has written it.
    pub fn confirm_removed(&mut self) {
        self.listed = None;
    }

    /// Whether an operation is due that can't wait for the next periodic check.
    #[must_use]
    pub const fn is_urgent(&self) -> bool {
        match self.is_vacant {
            true => self.listed.is_some(),
            false => self.is_withdrawn,
        }
    }

    /// Notes that the key exists at this revision. Returns the heartbeat that waited
    /// for it.
    pub fn confirm_listed(&mut self, revision: StoreRevision) -> Option<Heartbeat> {
        self.listed = Some(revision);
        self.is_withdrawn = false;
        self.held.take()
    }
}
