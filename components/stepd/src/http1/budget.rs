//! The memory for request bodies of all connections of a process.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use async_channel::{Receiver, Sender};

/// The room that must be left for the body of a new request, in bytes.
const MIN_ROOM: usize = 16_384;
/// A new request may take the place of a body that has not grown for this time. A client that
/// sends at all sends its next packet earlier.
const STALL: Duration = Duration::from_millis(500);

/// The budget is exhausted, and no other body can be dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Exhausted;

/// A limit on the bytes of all bodies that have arrived and are not yet answered.
#[derive(Clone, Debug)]
pub struct BodyBudget(Arc<Mutex<State>>);

#[derive(Debug)]
struct State {
    limit: usize,
    used: usize,
    last_id: u64,
    bodies: HashMap<u64, Body>,
}

#[derive(Debug)]
struct Body {
    bytes: usize,
    grown_at: Instant,
    /// Closed to drop the body; `None` once it is complete.
    keep: Option<Sender<()>>,
}

impl State {
    /// Drops the body that has not grown for longest, at least since `before`.
    fn drop_stalled(&mut self, except: u64, before: Instant) -> bool {
        let candidates = self.bodies.iter().filter(|(id, body)| {
            **id != except && body.bytes > 0 && body.keep.is_some() && body.grown_at <= before
        });
        let Some(id) = candidates
            .min_by_key(|(_, body)| body.grown_at)
            .map(|(id, _)| *id)
        else {
            return false;
        };
        self.remove(id);
        true
    }

    fn remove(&mut self, id: u64) {
        if let Some(body) = self.bodies.remove(&id) {
            self.used -= body.bytes;
        }
    }
}

impl BodyBudget {
    /// Creates a budget of `limit` bytes.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self(Arc::new(Mutex::new(State {
            limit: limit.max(MIN_ROOM),
            used: 0,
            last_id: 0,
            bodies: HashMap::new(),
        })))
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Admits a new body.
    ///
    /// # Errors
    ///
    /// Returns [`Exhausted`] if there is no room and all other bodies are growing or complete.
    pub fn admit(&self, now: Instant) -> Result<Reservation, Exhausted> {
        let mut state = self.state();
        while state.used + MIN_ROOM > state.limit {
            let stalled = now.checked_sub(STALL).unwrap_or(now);
            if !state.drop_stalled(0, stalled) {
                return Err(Exhausted);
            }
        }
        state.last_id += 1;
        let id = state.last_id;
        let (keep, dropped) = async_channel::bounded(1);
        let body = Body {
            bytes: 0,
            grown_at: now,
            keep: Some(keep),
        };
        state.bodies.insert(id, body);
        drop(state);
        let budget = self.clone();
        Ok(Reservation {
            budget,
            id,
            dropped,
        })
    }
}

/// The part of the budget that one body uses; released when it is dropped.
#[derive(Debug)]
pub struct Reservation {
    budget: BodyBudget,
    id: u64,
    dropped: Receiver<()>,
}

impl Reservation {
    /// Reserves further bytes, and drops the bodies that have not grown for longest if there is
    /// no room.
    ///
    /// # Errors
    ///
    /// Returns [`Exhausted`] if this body was dropped or no other one can be.
    pub fn grow(&self, bytes: usize, now: Instant) -> Result<(), Exhausted> {
        let mut state = self.budget.state();
        // A body that was dropped must not take the place of another one.
        if !state.bodies.contains_key(&self.id) {
            return Err(Exhausted);
        }
        while state.used + bytes > state.limit {
            if !state.drop_stalled(self.id, now) {
                return Err(Exhausted);
            }
        }
        let Some(body) = state.bodies.get_mut(&self.id) else {
            return Err(Exhausted);
        };
        body.bytes += bytes;
        body.grown_at = now;
        state.used += bytes;
        Ok(())
    }

    /// Marks the body as complete, so that it is not dropped any more.
    ///
    /// # Errors
    ///
    /// Returns [`Exhausted`] if it has been dropped.
    pub fn complete(&self) -> Result<(), Exhausted> {
        let mut state = self.budget.state();
        let body = state.bodies.get_mut(&self.id).ok_or(Exhausted)?;
        body.keep = None;
        Ok(())
    }

    /// Waits until the body is dropped in favour of another one.
    pub async fn dropped(&self) {
        let _ = self.dropped.recv().await;
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.budget.state().remove(self.id);
    }
}
