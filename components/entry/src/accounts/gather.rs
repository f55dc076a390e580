//! Collects the accounts of all entries and cells for a report.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use kernel::{AccountPart, EntryName, Event, Incarnation, Span, Sum, Time, secret::Secrets};
use proto::{
    Peer,
    messages::{EventQuery, EventReply},
    methods::EventsCall,
};
use report::{Accounts, Period, format};
use store::{KeyRange, Store, StoreError, keys};

use super::compact::{DayRecord, IncarnationRecord, decode};

/// The timeout of a call to another entry.
pub const PEER_TIMEOUT: Duration = Duration::from_secs(2);
/// How many values of up to 1 MB each one call to the store reads.
const PAGE_ITEMS: i64 = 16;
/// How many times the store is read while old accounts are being compacted.
const MAX_READ_ATTEMPTS: usize = 3;
/// The maximum number of parts that one report reads.
const MAX_PARTS: usize = 20_000;

/// The addresses of the other entries to ask.
#[derive(Clone, Debug, Default)]
pub struct PeerAddresses {
    /// The address where each entry accepts RPCs, by name.
    pub entries: BTreeMap<EntryName, SocketAddr>,
}

/// The period and the sources of one gathering of accounts.
pub struct GatherRequest<'a> {
    /// The store that holds written parts and day records.
    pub store: &'a dyn Store,
    /// The accounts that this entry holds in memory.
    pub own: EventReply,
    /// The other entries.
    pub peers: &'a PeerAddresses,
    /// Secrets that authenticate RPCs between entries.
    pub secrets: &'a Secrets,
    /// The period whose accounts are gathered.
    pub period: Period,
    /// The current time by the entry's clock.
    pub now: Time,
}

impl std::fmt::Debug for GatherRequest<'_> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("GatherRequest")
            .field("period", &self.period)
            .finish_non_exhaustive()
    }
}

/// The sources from which a running entry gathers accounts.
pub struct AccountSources {
    /// The store that holds written parts and day records.
    pub store: Arc<dyn Store>,
    /// The accounts of this entry's own requests.
    pub accounts: super::Accounts,
    /// Returns the events of the cells that this entry owns.
    pub cells: Box<dyn Fn(&EventQuery) -> EventReply + Send + Sync>,
    /// Returns the addresses of the other entries.
    pub peers: Box<dyn Fn() -> PeerAddresses + Send + Sync>,
    /// Secrets that authenticate RPCs between entries.
    pub secrets: Secrets,
}

impl std::fmt::Debug for AccountSources {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("AccountSources").finish_non_exhaustive()
    }
}

impl AccountSources {
    /// Returns the reply to an entry that gathers accounts.
    #[must_use]
    pub fn event_reply(&self, query: &EventQuery) -> EventReply {
        self.accounts.event_reply((self.cells)(query))
    }

    /// Gathers the accounts of all entries and cells.
    pub async fn gather(&self, period: Period) -> Accounts {
        let query = EventQuery {
            from: period.from,
            until: period.until,
        };
        let peers = (self.peers)();
        gather(GatherRequest {
            store: &*self.store,
            own: self.event_reply(&query),
            peers: &peers,
            secrets: &self.secrets,
            period,
            now: self.accounts.now(),
        })
        .await
    }
}

type PartKey = (EntryName, Incarnation, u64);

/// The accounts collected so far; each part once.
#[derive(Default)]
struct Collected {
    parts: BTreeMap<PartKey, AccountPart>,
    answered: Vec<(EntryName, Incarnation)>,
    days: Vec<DayRecord>,
    events: Vec<Event>,
    sums: Vec<Sum>,
    missing: Vec<String>,
}

/// Gathers the accounts of a period and lists the sources that could not be read.
///
/// Asks the entries before it reads the store. If an entry and the store both
/// have a part, it takes the part from the entry, which is at least as new. So a
/// part that is written meanwhile is neither missed nor counted twice.
pub async fn gather(request: GatherRequest<'_>) -> Accounts {
    let mut collected = Collected::default();
    collected.add_reply(request.own.clone());
    let replies = ask_all(&request).await;
    for (name, reply) in replies {
        match reply {
            Ok(reply) => collected.add_reply(reply),
            Err(message) => collected.missing.push(format!(
                "entry {name} did not answer; its requests of the last seconds and the events of its cells are missing ({message})"
            )),
        }
    }
    if let Err(error) = collected.read_store(&request).await {
        collected.missing.push(format!(
            "the store could not be read; this report contains only what entries hold in memory ({error})"
        ));
    }
    collected.report_gaps(request.period);
    collected.into_accounts(request.period, request.now)
}

async fn ask_all(request: &GatherRequest<'_>) -> Vec<(EntryName, Result<EventReply, String>)> {
    let mut calls = Vec::new();
    for (name, address) in &request.peers.entries {
        let peer = Peer::new(*address, request.secrets.clone());
        let query = EventQuery {
            from: request.period.from,
            until: request.period.until,
        };
        let name = name.clone();
        calls.push(smol::spawn(async move {
            let reply = peer.call::<EventsCall>(query, PEER_TIMEOUT).await;
            (name, reply.map_err(|error| error.to_string()))
        }));
    }
    let mut replies = Vec::new();
    for task in calls {
        replies.push(task.await);
    }
    replies
}

impl Collected {
    fn add_reply(&mut self, reply: EventReply) {
        for part in reply.parts {
            let incarnation = (part.entry.clone(), part.incarnation);
            if !self.answered.contains(&incarnation) {
                self.answered.push(incarnation);
            }
            self.parts.insert(part_key(&part), part);
        }
        self.events.extend(reply.events);
        self.sums.extend(reply.sums);
        self.missing.extend(reply.missing);
    }

    /// Reads the parts and the day records from the store.
    ///
    /// Reads all again if a day record changed meanwhile, so that a part that was
    /// compacted during the read is neither missed nor counted twice.
    async fn read_store(&mut self, request: &GatherRequest<'_>) -> Result<(), StoreError> {
        for _ in 0..MAX_READ_ATTEMPTS {
            let before = read_days(request).await?;
            let parts = read_parts(request).await?;
            let days = read_days(request).await?;
            if before != days {
                continue;
            }
            for part in parts {
                self.parts.entry(part_key(&part)).or_insert(part);
            }
            self.days = days;
            return Ok(());
        }
        Err(StoreError::not_run(
            "old accounts are being compacted; ask again in a minute",
        ))
    }

    /// Adds a message for each incarnation of an entry that ended without its
    /// last part.
    fn report_gaps(&mut self, period: Period) {
        let mut incarnations: Vec<IncarnationRecord> = Vec::new();
        let from_parts = self.parts.values().map(IncarnationRecord::from);
        let from_days = self.days.iter().flat_map(|day| day.incarnations.clone());
        for incarnation in from_parts.chain(from_days) {
            match incarnations
                .iter_mut()
                .find(|known| known.is_same(&incarnation))
            {
                Some(known) => known.merge(&incarnation),
                None => incarnations.push(incarnation),
            }
        }
        incarnations.sort_by(|a, b| (&a.entry, a.incarnation).cmp(&(&b.entry, b.incarnation)));
        for (i, incarnation) in incarnations.iter().enumerate() {
            let name = (incarnation.entry.clone(), incarnation.incarnation);
            if incarnation.ended_cleanly || self.answered.contains(&name) {
                continue;
            }
            let next = incarnations
                .get(i + 1)
                .filter(|next| next.entry == incarnation.entry);
            let next = next.map(|next| next.from);
            if period.overlaps(incarnation.until, next.unwrap_or(Time::MAX)) {
                self.missing
                    .push(gap_message(&incarnation.entry, incarnation.until, next));
            }
        }
        let unlisted: u64 = self.days.iter().map(|day| day.unlisted_incarnations).sum();
        if unlisted > 0 {
            self.missing.push(format!(
                "{unlisted} restarts of entries on compacted days are not listed one by one; requests just before them may be missing"
            ));
        }
    }

    fn into_accounts(self, period: Period, now: Time) -> Accounts {
        let mut accounts = Accounts {
            period: Period {
                from: period.from,
                until: period.until.min(now),
            },
            sums: self.sums,
            events: self.events,
            missing: self.missing,
            gathered_at: now,
        };
        for part in self.parts.into_values() {
            accounts.sums.extend(part.sums);
            accounts.events.extend(part.events);
        }
        for day in self.days {
            accounts.sums.extend(day.sums);
        }
        accounts.events.retain(|event| period.contains(event.at));
        accounts.events.sort_by_key(|event| event.at);
        accounts.sums.retain(|sum| {
            let end = Time(sum.start.0 + sum.span.micros());
            period.overlaps(sum.start, end)
        });
        accounts
    }
}

async fn read_days(request: &GatherRequest<'_>) -> Result<Vec<DayRecord>, StoreError> {
    let first = Span::Day.start_of(request.period.from).as_secs();
    let range = KeyRange {
        from: keys::account_day(first),
        until: keys::account_day(request.period.until.as_secs()),
    };
    let values = read_pages(request.store, range).await?;
    values.iter().map(|value| decode(value)).collect()
}

async fn read_parts(request: &GatherRequest<'_>) -> Result<Vec<AccountPart>, StoreError> {
    let first = Span::Hour.start_of(request.period.from).as_secs();
    let range = KeyRange {
        from: keys::account_hour(first),
        until: keys::account_hour(request.period.until.as_secs()),
    };
    let values = read_pages(request.store, range).await?;
    values.iter().map(|value| decode(value)).collect()
}

fn part_key(part: &AccountPart) -> PartKey {
    (part.entry.clone(), part.incarnation, part.number)
}

fn gap_message(entry: &EntryName, from: Time, until: Option<Time>) -> String {
    match until {
        Some(until) => format!(
            "entry {entry} ended without writing its last accounts; its requests from {} until {} are missing, if there were any",
            format::time(from),
            format::time(until)
        ),
        None => format!(
            "entry {entry} wrote its accounts last at {} and does not answer; its requests after that are missing, if there were any",
            format::time(from)
        ),
    }
}

/// Reads a whole range, [`PAGE_ITEMS`] values in each call.
async fn read_pages(store: &dyn Store, mut range: KeyRange) -> Result<Vec<Vec<u8>>, StoreError> {
    let mut values = Vec::new();
    loop {
        let reply = store.range(range.clone(), PAGE_ITEMS).await?;
        let Some(last) = reply.kvs.last() else {
            return Ok(values);
        };
        range.from = format!("{}\0", last.key);
        values.extend(reply.kvs.into_iter().map(|kv| kv.value));
        if !reply.more {
            return Ok(values);
        }
        if values.len() > MAX_PARTS {
            return Err(StoreError::not_run(format!(
                "the period has more than {MAX_PARTS} account parts; ask for a shorter period"
            )));
        }
    }
}
