//! Choice of the entry that receives an agent's heartbeats.

use std::net::SocketAddr;

/// The entries that an agent may use, and the current one.
#[derive(Clone, Debug)]
pub struct Targets {
    /// Entries of the settings.
    seeds: Vec<SocketAddr>,
    /// Entries that the last reply listed.
    listed: Vec<SocketAddr>,
    current: SocketAddr,
    /// Number of heartbeats in a row that were not answered.
    failures: usize,
}

impl Targets {
    /// Starts with the entries of the settings, at position `start` modulo their
    /// number, which spreads agents over them.
    ///
    /// Returns `None` if `seeds` is empty.
    #[must_use]
    pub fn new(seeds: Vec<SocketAddr>, start: usize) -> Option<Self> {
        let current = *seeds.get(start.checked_rem(seeds.len())?)?;
        Some(Self {
            seeds,
            listed: Vec::new(),
            current,
            failures: 0,
        })
    }

    /// Returns the entry that receives the next heartbeat.
    #[must_use]
    pub const fn current(&self) -> SocketAddr {
        self.current
    }

    /// Stores the entries that a reply lists and switches to `owner`, the owner of
    /// the agent's cell, if the reply names it.
    pub fn on_reply(&mut self, entries: Vec<SocketAddr>, owner: Option<SocketAddr>) {
        self.failures = 0;
        if !entries.is_empty() {
            self.listed = entries;
        }
        if let Some(owner) = owner {
            self.current = owner;
        }
    }

    /// Switches to the next entry, since the current one did not answer.
    ///
    /// Entries of the settings follow those listed by replies, since all of the
    /// latter may have been replaced while the agent could not reach any entry.
    pub fn on_failure(&mut self) {
        self.failures += 1;
        let mut all = self.listed.clone();
        for seed in &self.seeds {
            if !all.contains(seed) {
                all.push(*seed);
            }
        }
        let position = all.iter().position(|address| *address == self.current);
        let next = position.map_or(0, |position| position + 1) % all.len();
        self.current = all[next];
    }

    /// Returns the number of heartbeats in a row that were not answered.
    #[must_use]
    pub const fn consecutive_failures(&self) -> usize {
        self.failures
    }
}
