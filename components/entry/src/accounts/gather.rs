//! Collecting the accounts of all entries and cells for a report.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use kernel::{AccountPart, EntryName, Event, Incarnation, Span, Sum, Time, secret::Secrets};
use proto::{
    Peer,
    messages::{EventQuery, EventReply},
    methods::EventsCall,
};
use report::{Accounts, Period, format};
use store::{KeyRange, Store, StoreError, keys};

use super::compact::{Day, Life, decode};

/// How long another entry has to answer.
pub const PEER_TIMEOUT: Duration = Duration::from_secs(2);
/// How many values one call to the store brings, each up to 1 MB.
const PAGE: i64 = 16;
/// How often a read is tried while old accounts are being folded.
const MAX_READS: usize = 3;
/// The most parts that one report reads.
const MAX_PARTS: usize = 20_000;

/// The other entries that are known to live.
#[derive(Clone, Debug, Default)]
pub struct Peers {
    /// Their names and where they take calls.
    pub entries: BTreeMap<EntryName, SocketAddr>,
}

/// Everything that a report is gathered from.
pub struct Gathering<'a> {
    /// The store.
    pub store: &'a dyn Store,
    /// What the asked entry itself holds.
    pub own: EventReply,
    /// The other entries.
    pub peers: &'a Peers,
    /// The secret of the calls between entries.
    pub secrets: &'a Secrets,
    /// What to gather.
    pub period: Period,
    /// The current time.
    pub now: Time,
}

impl std::fmt::Debug for Gathering<'_> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Gathering")
            .field("period", &self.period)
            .finish_non_exhaustive()
    }
}

/// Where a running entry gathers accounts from.
pub struct Sources {
    /// The store.
    pub store: Arc<dyn Store>,
    /// The accounts of this entry.
    pub accounts: super::Accounts,
    /// The events of the cells that this entry owns.
    pub cells: Box<dyn Fn(&EventQuery) -> EventReply + Send + Sync>,
    /// The other entries that are known to live.
    pub peers: Box<dyn Fn() -> Peers + Send + Sync>,
    /// The secret of the calls between entries.
    pub secrets: Secrets,
}

impl std::fmt::Debug for Sources {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Sources").finish_non_exhaustive()
    }
}

impl Sources {
    /// The answer to another entry that makes a report.
    #[must_use]
    pub fn answer(&self, query: &EventQuery) -> EventReply {
        self.accounts.answer((self.cells)(query))
    }

    /// Gathers the accounts of all entries and cells.
    pub async fn gather(&self, period: Period) -> Accounts {
        let query = EventQuery {
            from: period.from,
            until: period.until,
        };
        let peers = (self.peers)();
        gather(Gathering {
            store: &*self.store,
            own: self.answer(&query),
            peers: &peers,
            secrets: &self.secrets,
            period,
            now: self.accounts.now(),
        })
        .await
    }
}

type PartName = (EntryName, Incarnation, u64);

/// The accounts as they come in, each part once.
#[derive(Default)]
struct Found {
    parts: BTreeMap<PartName, AccountPart>,
    answered: Vec<(EntryName, Incarnation)>,
    days: Vec<Day>,
    events: Vec<Event>,
    sums: Vec<Sum>,
    missing: Vec<String>,
}

/// Gathers the accounts of `period` and names what could not be read.
///
/// Entries are asked before the store is read, and a part that both bring is
/// taken from the entry, which has it at least as new; so a part that is written
/// meanwhile is neither missed nor counted twice.
pub async fn gather(gathering: Gathering<'_>) -> Accounts {
    let mut found = Found::default();
    found.take_reply(gathering.own.clone());
    let replies = ask_all(&gathering).await;
    for (name, reply) in replies {
        match reply {
            Ok(reply) => found.take_reply(reply),
            Err(message) => found.missing.push(format!(
                "entry {name} did not answer; its requests of the last seconds and the events of its cells are missing ({message})"
            )),
        }
    }
    if let Err(error) = found.read_store(&gathering).await {
        found.missing.push(format!(
            "the store could not be read, so that only what entries hold in memory is in this report ({error})"
        ));
    }
    found.name_gaps(gathering.period);
    found.into_accounts(gathering.period, gathering.now)
}

async fn ask_all(gathering: &Gathering<'_>) -> Vec<(EntryName, Result<EventReply, String>)> {
    let mut asking = Vec::new();
    for (name, address) in &gathering.peers.entries {
        let peer = Peer::new(*address, gathering.secrets.clone());
        let query = EventQuery {
            from: gathering.period.from,
            until: gathering.period.until,
        };
        let name = name.clone();
        asking.push(smol::spawn(async move {
            let reply = peer.call::<EventsCall>(query, PEER_TIMEOUT).await;
            (name, reply.map_err(|error| error.to_string()))
        }));
    }
    let mut replies = Vec::new();
    for task in asking {
        replies.push(task.await);
    }
    replies
}

impl Found {
    fn take_reply(&mut self, reply: EventReply) {
        for part in reply.parts {
            let life = (part.entry.clone(), part.incarnation);
            if !self.answered.contains(&life) {
                self.answered.push(life);
            }
            self.parts.insert(name_of(&part), part);
        }
        self.events.extend(reply.events);
        self.sums.extend(reply.sums);
        self.missing.extend(reply.missing);
    }

    /// Reads the parts and the folded days.
    ///
    /// If a day was folded further meanwhile, all is read again, so that a part
    /// is neither missed nor counted twice.
    async fn read_store(&mut self, gathering: &Gathering<'_>) -> Result<(), StoreError> {
        for _ in 0..MAX_READS {
            let before = read_days(gathering).await?;
            let parts = read_parts(gathering).await?;
            let days = read_days(gathering).await?;
            if before != days {
                continue;
            }
            for part in parts {
                self.parts.entry(name_of(&part)).or_insert(part);
            }
            self.days = days;
            return Ok(());
        }
        Err(StoreError::not_run(
            "old accounts are being folded; ask again in a minute",
        ))
    }

    /// Names each life of an entry that ended without its last part.
    fn name_gaps(&mut self, period: Period) {
        let mut lives: Vec<Life> = Vec::new();
        let of_parts = self.parts.values().map(Life::from);
        let of_days = self.days.iter().flat_map(|day| day.lives.clone());
        for life in of_parts.chain(of_days) {
            match lives.iter_mut().find(|known| known.same(&life)) {
                Some(known) => known.join(&life),
                None => lives.push(life),
            }
        }
        lives.sort_by(|a, b| (&a.entry, a.incarnation).cmp(&(&b.entry, b.incarnation)));
        for (i, life) in lives.iter().enumerate() {
            let name = (life.entry.clone(), life.incarnation);
            if life.last || self.answered.contains(&name) {
                continue;
            }
            let next = lives.get(i + 1).filter(|next| next.entry == life.entry);
            let next = next.map(|next| next.from);
            if period.overlaps(life.until, next.unwrap_or(Time::MAX)) {
                self.missing.push(gap(&life.entry, life.until, next));
            }
        }
        let unlisted: u64 = self.days.iter().map(|day| day.unlisted_lives).sum();
        if unlisted > 0 {
            self.missing.push(format!(
                "{unlisted} restarts of entries on folded days are not listed one by one; requests just before them may be missing"
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

async fn read_days(gathering: &Gathering<'_>) -> Result<Vec<Day>, StoreError> {
    let first = Span::Day.start_of(gathering.period.from).as_secs();
    let range = KeyRange {
        from: keys::account_day(first),
        until: keys::account_day(gathering.period.until.as_secs()),
    };
    let values = read_pages(gathering.store, range).await?;
    values.iter().map(|value| decode(value)).collect()
}

async fn read_parts(gathering: &Gathering<'_>) -> Result<Vec<AccountPart>, StoreError> {
    let first = Span::Hour.start_of(gathering.period.from).as_secs();
    let range = KeyRange {
        from: keys::account_hour(first),
        until: keys::account_hour(gathering.period.until.as_secs()),
    };
    let values = read_pages(gathering.store, range).await?;
    values.iter().map(|value| decode(value)).collect()
}

fn name_of(part: &AccountPart) -> PartName {
    (part.entry.clone(), part.incarnation, part.number)
}

fn gap(entry: &EntryName, from: Time, until: Option<Time>) -> String {
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

/// Reads a whole range, a few large values a call.
async fn read_pages(store: &dyn Store, mut range: KeyRange) -> Result<Vec<Vec<u8>>, StoreError> {
    let mut values = Vec::new();
    loop {
        let reply = store.range(range.clone(), PAGE).await?;
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
                "the span holds more than {MAX_PARTS} parts of accounts; ask for a shorter one"
            )));
        }
    }
}
