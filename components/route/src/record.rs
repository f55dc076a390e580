//! Records that an agent keeps of requests that must run at most once.
//!
//! A record is kept long enough for every repeat that the system promises to
//! recognise. When memory runs short, recorded answers are dropped first; a
//! repeat then gets the reply that the request may have run. Ids are never
//! dropped early: once there are too many of them, new requests are refused.
//! See `docs/AT-MOST-ONCE.md`.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use kernel::{RequestId, ServiceName, Time};

/// How long after its first submission a request may be repeated.
pub const REPEAT_WINDOW: Duration = Duration::from_secs(300);
/// How long a record is kept: the time for repeats, and as long again for late messages
/// and for entries that learn of changes late.
pub const RECORD_LIFETIME: Duration = Duration::from_secs(600);
/// Maximum time by which one reading of the clock ages the records. An agent that was
/// paused finds old messages in its sockets when it resumes, and must still recognise
/// their ids.
const MAX_AGING_STEP: Duration = Duration::from_secs(3);
/// Maximum number of records.
const MAX_RECORDS: usize = 100_000;
/// Maximum memory for recorded answers, in bytes.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// Identifies the request of a record.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RecordKey {
    /// Service that the request addresses.
    pub service: ServiceName,
    /// Request id given by the caller.
    pub id: RequestId,
}

/// Hash of a request's content, to distinguish a repeat from a reused id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fingerprint(pub u64);

/// How the agent must proceed with a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BeginResult<A> {
    /// Run the request and record its end.
    Run,
    /// The request ran; this was its answer.
    Answered(A),
    /// The request is running, or ran without a known answer.
    MayHaveRun,
    /// An entry probed for the request and sends it elsewhere, so it must not run here.
    Fenced,
    /// The id belongs to a request with other content.
    IdReused,
    /// The limit on records is reached, so the request can't be recorded.
    Full,
}

/// Result of a probe.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProbeResult<A> {
    /// The request ran; this was its answer.
    Answered(A),
    /// The request is running, or ran without a known answer.
    MayHaveRun,
    /// The request did not run and will not run here.
    NotHere,
    /// The id belongs to a request with other content.
    IdReused,
    /// The limit on records is reached, so the agent can't promise to refuse the request.
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

/// Records of one agent; `A` is the type of a complete response.
#[derive(Clone, Debug)]
pub struct Records<A> {
    records: BTreeMap<RecordKey, Record<A>>,
    expiry: BTreeSet<(Time, RecordKey)>,
    /// Clock by which records age: advances with the agent's clock, but not during pauses.
    aging_clock: Time,
    last_reading: Time,
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
    /// Returns an empty set of at most `max_records` records and `max_answer_bytes` of answers.
    #[must_use]
    pub const fn new(max_records: usize, max_answer_bytes: usize) -> Self {
        Self {
            records: BTreeMap::new(),
            expiry: BTreeSet::new(),
            aging_clock: Time::ZERO,
            last_reading: Time::MAX,
            answer_bytes: 0,
            max_records,
            max_answer_bytes,
        }
    }

    /// Returns the number of records.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether there are no records.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns the memory used by recorded answers, in bytes.
    #[must_use]
    pub const fn answer_bytes(&self) -> usize {
        self.answer_bytes
    }

    /// Removes the records that have expired at `now`. Must be called at least every second,
    /// since a long gap counts as a pause of the agent, during which records don't age.
    pub fn expire(&mut self, now: Time) {
        let step = now.since(self.last_reading).min(MAX_AGING_STEP);
        self.last_reading = now;
        self.aging_clock = self.aging_clock + step;
        while let Some((at, _)) = self.expiry.first() {
            if !at.passed(self.aging_clock) {
                break;
            }
            let Some((_, key)) = self.expiry.pop_first() else {
                break;
            };
            if let Some(record) = self.records.remove(&key) {
                self.answer_bytes -= answer_bytes_of(&record.state);
            }
        }
    }

    /// Replaces the state of the record of `key` and restarts its lifetime.
    fn set_state(&mut self, key: &RecordKey, state: State<A>) {
        let Some(record) = self.records.get_mut(key) else {
            return;
        };
        self.expiry.remove(&(record.expires_at, key.clone()));
        self.answer_bytes -= answer_bytes_of(&record.state);
        self.answer_bytes += answer_bytes_of(&state);
        record.state = state;
        record.expires_at = self.aging_clock + RECORD_LIFETIME;
        self.expiry.insert((record.expires_at, key.clone()));
        self.drop_oldest_answers();
    }

    /// Removes the record of a request that was refused before it reached the endpoint, so
    /// that a repeat may run.
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

    /// Records that a request ended at `now` without a known answer.
    pub fn mark_unknown(&mut self, now: Time, key: &RecordKey) {
        self.expire(now);
        self.set_state(key, State::Unknown);
    }

    /// Records at `now` the complete response to a request, which takes `bytes` of memory.
    pub fn record_answer(&mut self, now: Time, key: &RecordKey, answer: A, bytes: usize) {
        self.expire(now);
        self.set_state(key, State::Answered { answer, bytes });
    }

    fn drop_oldest_answers(&mut self) {
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
    /// Decides whether the request `key` may run at `now`, and if so records it as running.
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

    /// Looks up the request `key` at `now`. If there is no record, the request is fenced:
    /// refused here from now on.
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
            let until = self.aging_clock + RECORD_LIFETIME;
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
                self.set_state(key, State::Fenced);
                ProbeResult::NotHere
            }
        }
    }
}

fn answer_bytes_of<A>(state: &State<A>) -> usize {
    match state {
        State::Answered { bytes, .. } => *bytes,
        State::Running | State::Unknown | State::Fenced => 0,
    }
}
