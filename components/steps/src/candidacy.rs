//! Which entry should own the jobs when entries have different processor capacities.
//!
//! Every entry announces its capacity. An entry that knows of a larger one lets it
//! campaign first, and an owner hands the jobs over to an entry that is clearly larger.
//! Waits are bounded, so a small entry owns the jobs if no larger one takes them. An entry
//! of unknown capacity counts as alike to every other.

use std::{collections::BTreeMap, time::Duration};

use kernel::{EntryName, Time};
use rand::Rng;
use store::StoreRevision;

/// The maximum random delay of a campaign. It keeps entries from trying all at once and
/// lets an owner whose lease expired in an outage of the store take its key back first.
const MAX_START_DELAY: Duration = Duration::from_millis(250);
/// How much longer an entry waits that knows of a larger one: longer than the larger one's
/// random delay, with time for its three calls to the store.
const YIELD_DELAY: Duration = Duration::from_millis(400);
/// How much longer an owner waits that has just handed over, since the larger entry learns
/// of it only then.
const HAND_OVER_DELAY: Duration = Duration::from_millis(1_500);
/// The capacity, in percent of its own, from which an entry lets another campaign first.
const YIELD_PERCENT: u64 = 125;
/// The capacity, in percent of its own, from which an owner hands over to another entry.
const HAND_OVER_PERCENT: u64 = 200;
/// How long an entry must have been announced before the jobs are handed over to it. The
/// time doubles with each restart up to [`MAX_SETTLING`].
const SETTLING: Duration = Duration::from_secs(5);
/// The maximum settling time; after this time without a restart it starts anew.
const MAX_SETTLING: Duration = Duration::from_secs(300);
/// How long an owner keeps the jobs that no larger entry took. The time doubles each time
/// up to [`MAX_HOLD_OFF`].
const HOLD_OFF: Duration = Duration::from_secs(30);
/// The maximum hold-off; after this time without another one it starts anew.
const MAX_HOLD_OFF: Duration = Duration::from_secs(600);

/// What an entry announces about itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Announcement {
    /// The processor capacity in thousandths of a core; `None` if it is unknown.
    pub cpu_milli: Option<u64>,
    /// The revision of the key, which changes when the entry restarts.
    pub revision: StoreRevision,
}

/// An entry with a larger capacity.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LargerEntry {
    /// The name of the entry.
    pub name: EntryName,
    /// Its processor capacity in thousandths of a core.
    pub cpu_milli: u64,
}

/// How long an entry waits before it tries to become the owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CampaignDelay {
    /// The wait.
    pub wait: Duration,
    /// The largest entry that may go first, if there is one.
    pub yields_to: Option<LargerEntry>,
}

/// Another entry, which is remembered for a while after its announcement has been removed.
#[derive(Debug)]
struct Peer {
    announcement: Announcement,
    is_listed: bool,
    settling: Duration,
    settled_at: Time,
}

/// What an entry knows of the others, and when it may hand over to one of them.
#[derive(Debug)]
pub struct Candidacy {
    name: EntryName,
    cpu_milli: Option<u64>,
    peers: BTreeMap<EntryName, Peer>,
    hold_off: Duration,
    next_hand_over_at: Time,
    /// Until when this entry lets larger ones go first after it has handed over.
    yields_until: Time,
    /// Until when this entry lets all others go first, since it could not load the jobs.
    unfit_until: Time,
}

impl Candidacy {
    /// Creates the state of an entry with this processor capacity in thousandths of a core.
    #[must_use]
    pub const fn new(name: EntryName, cpu_milli: Option<u64>) -> Self {
        Self {
            name,
            cpu_milli,
            peers: BTreeMap::new(),
            hold_off: HOLD_OFF,
            next_hand_over_at: Time::ZERO,
            yields_until: Time::ZERO,
            unfit_until: Time::ZERO,
        }
    }

    /// Takes the announcements that exist now.
    pub fn observe(&mut self, now: Time, listed: &BTreeMap<EntryName, Announcement>) {
        for (name, peer) in &mut self.peers {
            peer.is_listed = listed.contains_key(name);
        }
        self.peers
            .retain(|_, peer| peer.is_listed || !(peer.settled_at + MAX_SETTLING).passed(now));
        for (name, announcement) in listed {
            if *name == self.name {
                continue;
            }
            match self.peers.get_mut(name) {
                Some(peer) => peer.announce(now, *announcement),
                None => {
                    let peer = Peer::new(now, *announcement);
                    self.peers.insert(name.clone(), peer);
                }
            }
        }
    }

    /// Returns how long to wait before a campaign that starts now.
    pub fn campaign_delay(&self, now: Time, rng: &mut impl Rng) -> CampaignDelay {
        let random = MAX_START_DELAY.mul_f64(rng.random_range(0.0..1.0));
        let yields_to = self.largest(YIELD_PERCENT, |_| true);
        let extra = match yields_to {
            Some(_) => YIELD_DELAY.max(self.yields_until.remaining(now)),
            None => Duration::ZERO,
        };
        CampaignDelay {
            wait: extra.max(self.unfit_until.remaining(now)) + random,
            yields_to,
        }
    }

    /// Notes that this entry owns the jobs. A settled larger entry had its chance, so it
    /// gets the next one only after the hold-off.
    pub fn start_term(&mut self, now: Time) {
        self.yields_until = Time::ZERO;
        if self.hand_over_target(now).is_some() {
            self.hold_off(now);
        }
    }

    /// Returns the entry to which this owner should hand the jobs over now.
    #[must_use]
    pub fn hand_over_target(&self, now: Time) -> Option<LargerEntry> {
        if !self.next_hand_over_at.passed(now) {
            return None;
        }
        self.largest(HAND_OVER_PERCENT, |peer| peer.settled_at.passed(now))
    }

    /// Notes that an entry did not agree to take the jobs over; it is asked again later.
    pub fn decline(&mut self, now: Time, name: &EntryName) {
        if let Some(peer) = self.peers.get_mut(name) {
            peer.settled_at = now + peer.settling;
        }
    }

    /// Notes that this entry has handed the jobs over.
    pub fn finish_hand_over(&mut self, now: Time) {
        self.yields_until = now + HAND_OVER_DELAY;
        self.hold_off(now);
    }

    /// Notes that this entry has handed the jobs over since it could not load them.
    pub fn finish_failed_load(&mut self, now: Time) {
        self.unfit_until = now + HAND_OVER_DELAY;
    }

    fn hold_off(&mut self, now: Time) {
        if (self.next_hand_over_at + MAX_HOLD_OFF).passed(now) {
            self.hold_off = HOLD_OFF;
        }
        self.next_hand_over_at = now + self.hold_off;
        self.hold_off = (self.hold_off * 2).min(MAX_HOLD_OFF);
    }

    /// Returns the largest listed entry with at least this percentage of the own capacity.
    fn largest(
        &self,
        min_percent: u64,
        is_eligible: impl Fn(&Peer) -> bool,
    ) -> Option<LargerEntry> {
        let own = self.cpu_milli?;
        let mut largest: Option<LargerEntry> = None;
        for (name, peer) in &self.peers {
            let Some(cpu_milli) = peer.announcement.cpu_milli else {
                continue;
            };
            let is_larger =
                cpu_milli.saturating_mul(100) >= own.saturating_mul(min_percent) && cpu_milli > own;
            if !peer.is_listed || !is_larger || !is_eligible(peer) {
                continue;
            }
            if largest
                .as_ref()
                .is_none_or(|known| cpu_milli > known.cpu_milli)
            {
                let name = name.clone();
                largest = Some(LargerEntry { name, cpu_milli });
            }
        }
        largest
    }
}

impl Peer {
    fn new(now: Time, announcement: Announcement) -> Self {
        Self {
            announcement,
            is_listed: true,
            settling: SETTLING,
            settled_at: now + SETTLING,
        }
    }

    fn announce(&mut self, now: Time, announcement: Announcement) {
        self.is_listed = true;
        if self.announcement == announcement {
            return;
        }
        self.announcement = announcement;
        self.settling = match (self.settled_at + MAX_SETTLING).passed(now) {
            true => SETTLING,
            false => (self.settling * 2).min(MAX_SETTLING),
        };
        self.settled_at = now + self.settling;
    }
}
