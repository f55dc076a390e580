//! The open connections of a listener.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Instant,
};

use async_channel::{Receiver, Sender};

/// The open connections, up to a limit.
#[derive(Clone, Debug)]
pub(crate) struct Connections {
    most: usize,
    state: Arc<Mutex<State>>,
}

#[derive(Debug, Default)]
struct State {
    last_id: u64,
    open: HashMap<u64, Slot>,
}

#[derive(Debug)]
struct Slot {
    /// Since when the connection waits for a complete request; `None` while one is handled.
    waiting_since: Option<Instant>,
    /// Closed to close the connection.
    _keep: Sender<()>,
}

/// How a new connection was admitted.
#[derive(Debug)]
pub(crate) struct Admission {
    /// The connection; `None` if it has to be closed.
    pub(crate) connection: Option<Connection>,
    /// Whether the limit was reached.
    pub(crate) is_full: bool,
}

impl Connections {
    pub(crate) fn new(most: usize) -> Self {
        Self {
            most: most.max(1),
            state: Arc::default(),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Admits a new connection. At the limit, closes the one that has waited longest for a
    /// complete request, or refuses the new one if requests of all are being handled.
    pub(crate) fn admit(&self, now: Instant) -> Admission {
        let mut state = self.state();
        let is_full = state.open.len() >= self.most;
        if is_full {
            let waiting = state
                .open
                .iter()
                .filter_map(|(id, slot)| Some((slot.waiting_since?, *id)));
            let Some((_, oldest)) = waiting.min() else {
                return Admission {
                    connection: None,
                    is_full,
                };
            };
            state.open.remove(&oldest);
        }
        state.last_id += 1;
        let id = state.last_id;
        let (keep, closed) = async_channel::bounded(1);
        let slot = Slot {
            waiting_since: Some(now),
            _keep: keep,
        };
        state.open.insert(id, slot);
        drop(state);
        let connections = self.clone();
        Admission {
            connection: Some(Connection {
                connections,
                id,
                closed,
            }),
            is_full,
        }
    }
}

/// An open connection; its slot is free again when it is dropped.
#[derive(Debug)]
pub(crate) struct Connection {
    connections: Connections,
    id: u64,
    closed: Receiver<()>,
}

impl Connection {
    /// Records since when the connection waits for a complete request; returns whether it still
    /// has its slot.
    pub(crate) fn set_waiting_since(&self, since: Option<Instant>) -> bool {
        let mut state = self.connections.state();
        let slot = state.open.get_mut(&self.id);
        slot.map(|slot| slot.waiting_since = since).is_some()
    }

    /// Waits until the connection has to be closed in favour of another one.
    pub(crate) async fn closed(&self) {
        let _ = self.closed.recv().await;
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.connections.state().open.remove(&self.id);
    }
}
