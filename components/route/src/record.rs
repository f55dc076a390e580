//! What an agent remembers of requests that must run at most once.
//!
//! A record lives long enough for every repeat that the system promises to
//! recognise. When memory runs short, answers are dropped first, after which a
//! repeat is told that the request may have run; ids are never dropped early,
//! and once there are too many of them new requests are refused. See
//! `docs/AT-MOST-ONCE.md`.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use kernel::{RequestId, ServiceName, Time};

/// How long after its first try a request may be repeated.
pub const REPEAT_WINDOW: Duration = Duration::from_secs(300);
/// How long a record is kept: the time for repeats, and as long again for
/// messages that arrive late and entries that hear of changes late.
pub const RECORD_LIFETIME: Duration = Duration::from_secs(600);
/// The most that one look at the clock may age records. A paused agent finds
/// old messages in its sockets when it goes on, and must still know their ids.
const MAX_AGING_STEP: Duration = Duration::from_secs(3);
/// The most requests remembered.
const MAX_RECORDS: usize = 100_000;
/// The most memory for recorded answers, in bytes.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// Which request a record is about.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RecordKey {
    /// The service asked.
    pub service: ServiceName,
    /// The caller's id.
    pub id: RequestId,
}

/// A hash of a request's content, to tell a repeat from a reused id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fingerprint(pub u64);

/// What to do with a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BeginResult<A> {
    /// Run it; its end must be recorded.
    Run,
    /// It ran; this was the answer.
    Answered(A),
    /// It is running, or ran without a known answer.
    MayHaveRun,
    /// It was probed for by an entry that sends it elsewhere.
    Fenced,
    /// The id belongs to another request.
    IdReused,
    /// No more requests can be remembered now.
    Full,
}

/// What a probe found.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProbeResult<A> {
    /// It ran; this was the answer.
    Answered(A),
    /// It is running, or ran without a known answer.
    MayHaveRun,
    /// It did not run and will not run here.
    NotHere,
    /// The id belongs to another request.
    IdReused,
    /// The refusal can't be remembered, so nothing is promised.
    Full,
}

#[derive(Clone, Debug)]
enum State<A> {
    Running,
    Answered { answer: A, bytes: usize },
    Unknown,
    Fenced,
}

#[derive(Clone, Debug)]
struct Record<A> {
    fingerprint: Fingerprint,
    state: State<A>,
    expires_at: Time,
}

/// The records of one agent; `A` is the type of a whole answer.
#[derive(Clone, Debug)]
pub struct Records<A> {
    records: BTreeMap<RecordKey, Record<A>>,
    expiry: BTreeSet<(Time, RecordKey)>,
    /// The time during which the agent ran, as far as records age by it.
    lived: Time,
    looked_at: Time,
    answer_bytes: usize,
    max_records: usize,
    max_answer_bytes: usize,
}

impl<A> Default for Records<A> {
    fn default() -> Self {
        Self::new(MAX_RECORDS, MAX_ANSWER_BYTES)
    }
}

impl<A> Records<A> {
    /// Remembers at most `max_records` requests and `max_answer_bytes` of answers.
    #[must_use]
    pub const fn new(max_records: usize, max_answer_bytes: usize) -> Self {
        Self {
            records: BTreeMap::new(),
            expiry: BTreeSet::new(),
            lived: Time::ZERO,
            looked_at: Time::MAX,
            answer_bytes: 0,
            max_records,
            max_answer_bytes,
        }
    }

    /// How many requests are remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether nothing is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// The memory taken by recorded answers, in bytes.
    #[must_use]
    pub const fn answer_bytes(&self) -> usize {
        self.answer_bytes
    }

    /// Forgets what has expired at `now`; to be called at least every second,
    /// since a longer gap counts as a pause in which nothing ages.
    pub fn expire(&mut self, now: Time) {
        let step = now.since(self.looked_at).min(MAX_AGING_STEP);
        self.looked_at = now;
        self.lived = self.lived + step;
        while let Some((at, _)) = self.expiry.first() {
            if !at.passed(self.lived) {
                break;
            }
            let Some((_, key)) = self.expiry.pop_first() else {
                break;
            };
            if let Some(record) = self.records.remove(&key) {
                self.answer_bytes -= bytes_of(&record.state);
            }
        }
    }

    /// Replaces the state of the record of `key`, which then lives anew.
    fn settle(&mut self, key: &RecordKey, state: State<A>) {
        let Some(record) = self.records.get_mut(key) else {
            return;
        };
        self.expiry.remove(&(record.expires_at, key.clone()));
        self.answer_bytes -= bytes_of(&record.state);
        self.answer_bytes += bytes_of(&state);
        record.state = state;
        record.expires_at = self.lived + RECORD_LIFETIME;
        self.expiry.insert((record.expires_at, key.clone()));
        self.shrink();
    }

    /// Notes that a request was refused before the endpoint saw it, so that a
    /// repeat may run.
    pub fn release(&mut self, key: &RecordKey) {
        let Some(record) = self.records.get(key) else {
            return;
        };
        if !matches!(record.state, State::Running) {
            return;
        }
        self.expiry.remove(&(record.expires_at, key.clone()));
        self.records.remove(key);
    }

    /// Notes that a request ended at `now` without a known answer.
    pub fn mark_unknown(&mut self, now: Time, key: &RecordKey) {
        self.expire(now);
        self.settle(key, State::Unknown);
    }

    /// Notes the whole answer to a request, which takes `bytes` of memory.
    pub fn record_answer(&mut self, now: Time, key: &RecordKey, answer: A, bytes: usize) {
        self.expire(now);
        self.settle(key, State::Answered { answer, bytes });
    }

    fn shrink(&mut self) {
        if self.answer_bytes <= self.max_answer_bytes {
            return;
        }
        for (_, key) in &self.expiry {
            let Some(record) = self.records.get_mut(key) else {
                continue;
            };
            let State::Answered { bytes, .. } = record.state else {
                continue;
            };
            record.state = State::Unknown;
            self.answer_bytes -= bytes;
            if self.answer_bytes <= self.max_answer_bytes {
                return;
            }
        }
    }

    fn insert(&mut self, key: &RecordKey, fingerprint: Fingerprint, state: State<A>, until: Time) {
        let record = Record {
            fingerprint,
            state,
            expires_at: until,
        };
        self.records.insert(key.clone(), record);
        self.expiry.insert((until, key.clone()));
    }
}

impl<A: Clone> Records<A> {
    /// Asks whether the request `key` may run at `now`.
    pub fn begin(
        &mut self,
        now: Time,
        key: &RecordKey,
        fingerprint: Fingerprint,
    ) -> BeginResult<A> {
        self.expire(now);
        if let Some(record) = self.records.get(key) {
            if matches!(record.state, State::Fenced) {
                return BeginResult::Fenced;
            }
            if record.fingerprint != fingerprint {
                return BeginResult::IdReused;
            }
            return match &record.state {
                State::Answered { answer, .. } => BeginResult::Answered(answer.clone()),
                State::Fenced => BeginResult::Fenced,
                State::Running | State::Unknown => BeginResult::MayHaveRun,
            };
        }
        if self.records.len() >= self.max_records {
            return BeginResult::Full;
        }
        self.insert(key, fingerprint, State::Running, Time::MAX);
        BeginResult::Run
    }

    /// Looks the request `key` up at `now`; if it is not known, it is refused
    /// here from now on.
    pub fn probe(
        &mut self,
        now: Time,
        key: &RecordKey,
        fingerprint: Fingerprint,
    ) -> ProbeResult<A> {
        self.expire(now);
        let Some(record) = self.records.get(key) else {
            if self.records.len() >= self.max_records {
                return ProbeResult::Full;
            }
            let until = self.lived + RECORD_LIFETIME;
            self.insert(key, fingerprint, State::Fenced, until);
            return ProbeResult::NotHere;
        };
        if record.fingerprint != fingerprint {
            return ProbeResult::IdReused;
        }
        match &record.state {
            State::Answered { answer, .. } => ProbeResult::Answered(answer.clone()),
            State::Running | State::Unknown => ProbeResult::MayHaveRun,
            State::Fenced => {
                self.settle(key, State::Fenced);
                ProbeResult::NotHere
            }
        }
    }
}

fn bytes_of<A>(state: &State<A>) -> usize {
    match state {
        State::Answered { bytes, .. } => *bytes,
        State::Running | State::Unknown | State::Fenced => 0,
    }
}
