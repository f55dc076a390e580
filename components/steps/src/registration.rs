//! Whether an agent is listed in the store, so that a new owner asks for it.
//!
//! A new owner waits for the leases beside every agent that is listed and does
//! not answer. An agent whose worker has left takes itself off the list, since
//! its VM often goes away with the worker. Nothing may run beside an agent that
//! is not listed, so a worker that comes is taken in only after the agent is
//! listed again.

use store::StoreRevision;

use crate::agent::Heartbeat;

/// What has to be done in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RegistrationStep {
    /// The agent's key has to be there.
    List,
    /// The key has to be written, also if it is there: a removal of ours may still
    /// be on its way, and it finds another revision then.
    ListAgain,
    /// The key, written at this revision, has to go.
    Withdraw(StoreRevision),
}

/// The state of an agent's key.
#[derive(Debug, Default)]
pub struct Registration {
    /// The revision of the key, once it is known to be there.
    listed: Option<StoreRevision>,
    /// Whether the worker has left and no other one has come.
    is_vacant: bool,
    /// Whether the key may be gone by our own doing.
    is_withdrawn: bool,
    /// The newest heartbeat of a worker that waits for the key.
    held: Option<Heartbeat>,
}

impl Registration {
    /// Takes in a heartbeat; gives it back if the worker may be taken in now.
    pub fn admit_heartbeat(&mut self, beat: Heartbeat) -> Option<Heartbeat> {
        self.is_vacant = false;
        if !self.is_withdrawn {
            return Some(beat);
        }
        tracing::info!(worker = %beat.info.incarnation.worker, "worker waits until the agent is listed");
        self.held = Some(beat);
        None
    }

    /// The worker has left.
    pub fn worker_left(&mut self) {
        self.is_vacant = true;
        self.held = None;
    }

    /// What has to be done now. The key may be gone from the moment in which its
    /// removal is sent.
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

    /// The key is gone, or was written again by somebody else.
    pub fn confirm_removed(&mut self) {
        self.listed = None;
    }

    /// Whether something has to be done that can't wait for the next check.
    #[must_use]
    pub const fn is_urgent(&self) -> bool {
        match self.is_vacant {
            true => self.listed.is_some(),
            false => self.is_withdrawn,
        }
    }

    /// The key is there; gives the heartbeat that waited for it.
    pub fn confirm_listed(&mut self, revision: StoreRevision) -> Option<Heartbeat> {
        self.listed = Some(revision);
        self.is_withdrawn = false;
        self.held.take()
    }
}
