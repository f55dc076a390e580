//! Which entry an agent sends its heartbeats to.

use std::net::SocketAddr;

/// The entries known to an agent and the one in use.
#[derive(Clone, Debug)]
pub struct Targets {
    seeds: Vec<SocketAddr>,
    known: Vec<SocketAddr>,
    current: SocketAddr,
    failures: usize,
}

impl Targets {
    /// Starts with the entries of the settings; `start` spreads agents over them.
    ///
    /// Returns nothing if `seeds` is empty.
    #[must_use]
    pub fn new(seeds: Vec<SocketAddr>, start: usize) -> Option<Self> {
        let current = *seeds.get(start.checked_rem(seeds.len())?)?;
        Some(Self {
            seeds,
            known: Vec::new(),
            current,
            failures: 0,
        })
    }

    /// The entry to send the next heartbeat to.
    #[must_use]
    pub const fn current(&self) -> SocketAddr {
        self.current
    }

    /// An entry answered and named others and the owner of the agent's cell.
    pub fn on_reply(&mut self, entries: Vec<SocketAddr>, owner: Option<SocketAddr>) {
        self.failures = 0;
        if !entries.is_empty() {
            self.known = entries;
        }
        if let Some(owner) = owner {
            self.current = owner;
        }
    }

    /// The current entry did not answer: goes on to the next one.
    ///
    /// Entries of the settings follow those learnt, since all learnt ones may
    /// have been replaced while the agent was cut off.
    pub fn on_failure(&mut self) {
        self.failures += 1;
        let mut all = self.known.clone();
        for seed in &self.seeds {
            if !all.contains(seed) {
                all.push(*seed);
            }
        }
        let at = all.iter().position(|address| *address == self.current);
        let next = at.map_or(0, |at| at + 1) % all.len();
        self.current = all[next];
    }

    /// How many entries in a row did not answer.
    #[must_use]
    pub const fn consecutive_failures(&self) -> usize {
        self.failures
    }
}
