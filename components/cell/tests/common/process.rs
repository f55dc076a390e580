//! An entry's process: owners of cells and their calls to the store.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use cell::{
    Action, Answer, Event, Group, InboxItem, Owner, Ownership, SnapshotHead, Timing, keys, recover,
};
use kernel::{CellName, Epoch, Time};
use proto::messages::{CellCapacity, Heartbeat};
use store::{Compare, KeyRange, KeyValue, LeaseId, Op, Txn};

/// How long a process waits for the answer of the store.
pub(crate) const CALL_TIMEOUT_MILLIS: u64 = 1_000;

/// What a process asks the store, and why.
#[derive(Clone, Debug)]
pub(crate) enum Call {
    Proof,
    Grant,
    KeepAlive(LeaseId),
    Owners,
    Take(CellName, Epoch, Txn),
    Recover(CellName, Epoch),
    Inbox(CellName),
    Commit(CellName, Txn),
    Fold(CellName, Txn),
    HandOver(CellName, Txn),
    /// Hangs the owner key on a new lease, if no other term has begun.
    Claim(CellName, LeaseId, Txn),
}

/// The store's answer.
#[derive(Clone, Debug)]
pub(crate) enum Reply {
    Lost,
    Proof(u64),
    Lease(LeaseId),
    Alive(bool),
    Range(Vec<KeyValue>),
    Cell(Box<Held>),
    Txn(bool, Vec<Vec<KeyValue>>),
}

/// Everything the store holds of a cell.
#[derive(Clone, Debug, Default)]
pub(crate) struct Held {
    pub(crate) head: Option<Vec<u8>>,
    pub(crate) chunks: Vec<(String, Vec<u8>)>,
    pub(crate) groups: Vec<(String, Vec<u8>)>,
}

struct Term {
    owner: Owner,
    lease: LeaseId,
    head: Option<Vec<u8>>,
    actions: VecDeque<Action>,
    /// The write under way; nothing else is written before its end is known.
    write: Option<Write>,
    folds: VecDeque<Txn>,
    next_inbox: Time,
}

struct Write {
    call: Call,
    value: Vec<u8>,
    sent: Time,
    snapshot: Option<Vec<Vec<u8>>>,
    at: (Epoch, u64),
}

struct Taking {
    epoch: Epoch,
    earlier: Option<Epoch>,
    orderly: bool,
    acquired_at: Time,
    lease: LeaseId,
}

pub(crate) struct Process {
    pub(crate) index: usize,
    /// Thousandths by which its clock is fast, since a true and own time.
    drift: i64,
    drift_since: (Time, Time),
    pub(crate) paused_until: Time,
    pub(crate) down_until: Option<Time>,
    pub(crate) cut_until: Time,
    pub(crate) life: u64,
    timing: Timing,
    lease: Option<LeaseId>,
    terms: BTreeMap<CellName, Term>,
    taking: BTreeMap<CellName, Taking>,
    seen_proof: Option<(u64, Time)>,
    seen_owners: BTreeMap<CellName, usize>,
    next_poll: Time,
    stopping: bool,
}

impl Process {
    pub(crate) fn new(index: usize, timing: Timing) -> Self {
        Self {
            index,
            drift: 0,
            drift_since: (Time::ZERO, Time::ZERO),
            paused_until: Time::ZERO,
            down_until: None,
            cut_until: Time::ZERO,
            life: 0,
            timing,
            lease: None,
            terms: BTreeMap::new(),
            taking: BTreeMap::new(),
            seen_proof: None,
            seen_owners: BTreeMap::new(),
            next_poll: Time::ZERO,
            stopping: false,
        }
    }

    /// The process starts again and knows nothing.
    pub(crate) fn restart(&mut self) {
        let fresh = Self::new(self.index, self.timing);
        *self = Self {
            drift: self.drift,
            drift_since: self.drift_since,
            life: self.life + 1,
            cut_until: self.cut_until,
            ..fresh
        };
    }

    /// Its own clock at the true time `now`.
    pub(crate) fn clock(&self, now: Time) -> Time {
        let (since, own) = self.drift_since;
        let span = (now.0 - since.0) as i64;
        Time((own.0 as i64 + span + span * self.drift / 1_000) as u64)
    }

    /// Its clock runs at another speed from now on.
    pub(crate) fn set_drift(&mut self, now: Time, drift: i64) {
        self.drift_since = (now, self.clock(now));
        self.drift = drift;
    }

    pub(crate) fn runs_at(&self, now: Time) -> bool {
        self.down_until.is_none() && self.paused_until.passed(now)
    }

    /// Starts a planned stop.
    pub(crate) fn stop(&mut self, now: Time) {
        self.stopping = true;
        let local = self.clock(now);
        for term in self.terms.values_mut() {
            give(term, local, Event::Stop);
        }
    }

    pub(crate) fn owns(&self) -> BTreeSet<CellName> {
        self.terms.keys().cloned().collect()
    }

    pub(crate) fn rooms(&self) -> BTreeMap<CellName, CellCapacity> {
        let room = |(cell, term): (&CellName, &Term)| (cell.clone(), term.owner.cell_capacity());
        self.terms.iter().map(room).collect()
    }

    pub(crate) fn owners(&self) -> impl Iterator<Item = &Owner> {
        self.terms.values().map(|term| &term.owner)
    }

    pub(crate) fn heartbeat(&mut self, now: Time, beat: &Heartbeat) -> Option<Answer> {
        let local = self.clock(now);
        let cell = &beat.info.as_ref()?.cell;
        let term = self.terms.get_mut(cell)?;
        let event = Event::Heartbeat(Box::new(beat.clone()));
        give(term, local, event)
    }

    /// The owner of the sender's cell, as this process knows it.
    pub(crate) fn owner_seen(&self, beat: &Heartbeat) -> Option<usize> {
        let owner = self.seen_owners.get(&beat.info.as_ref()?.cell)?;
        (*owner != self.index).then_some(*owner)
    }

    /// Passes time; the calls that are to be made.
    pub(crate) fn tick(
        &mut self,
        now: Time,
        rooms: &BTreeMap<CellName, CellCapacity>,
        config: impl Fn(u64) -> std::sync::Arc<kernel::ObjectSet>,
    ) -> Vec<Call> {
        let local = self.clock(now);
        let mut calls = Vec::new();
        if self.next_poll.passed(now) && !self.stopping {
            self.next_poll = now + std::time::Duration::from_millis(900);
            calls.push(Call::Proof);
            calls.push(Call::Owners);
            calls.push(self.lease.map_or(Call::Grant, Call::KeepAlive));
            calls.extend(self.claims());
        }
        for (cell, term) in &mut self.terms {
            if let Some((revision, proved_at)) = self.seen_proof {
                let event = Event::Config {
                    objects: config(revision),
                    revision: kernel::Revision(revision),
                    proved_at: Some(proved_at),
                };
                give(term, local, event);
            }
            give(term, local, Event::CellCapacities(rooms.clone()));
            give(term, local, Event::Tick);
            if term.next_inbox.passed(now) && term.write.is_none() {
                term.next_inbox = now + std::time::Duration::from_secs(2);
                calls.push(Call::Inbox(cell.clone()));
            }
        }
        calls.extend(self.writes(now));
        calls
    }

    fn claims(&self) -> Vec<Call> {
        let mut calls = Vec::new();
        let Some(lease) = self.lease else {
            return calls;
        };
        for (cell, term) in &self.terms {
            if term.lease == lease {
                continue;
            }
            let txn = Txn {
                compares: vec![epoch_is(cell, term.owner.epoch())],
                ops: vec![self.put_owner(cell, lease)],
                otherwise: Vec::new(),
            };
            calls.push(Call::Claim(cell.clone(), lease, txn));
        }
        calls
    }

    fn put_owner(&self, cell: &CellName, lease: LeaseId) -> Op {
        Op::Put {
            key: keys::owner(cell),
            value: self.mine().into_bytes(),
            lease: Some(lease),
        }
    }

    fn mine(&self) -> String {
        format!("{}-{}", self.index, self.life)
    }

    fn claimed(&mut self, now: Time, sent: Time, cell: &CellName, lease: LeaseId, done: bool) {
        let local = self.clock(now);
        let Some(term) = self.terms.get_mut(cell) else {
            return;
        };
        let event = match done {
            true => Event::OwnershipProved(sent),
            false => Event::TermLost,
        };
        if done {
            term.lease = lease;
        }
        give(term, local, event);
    }

    /// Begins writes that wait, and lets go of cells whose term is over.
    fn writes(&mut self, now: Time) -> Vec<Call> {
        let local = self.clock(now);
        let mut calls = Vec::new();
        let mut gone = Vec::new();
        for (cell, term) in &mut self.terms {
            if term.write.is_some() {
                continue;
            }
            if let Some(txn) = term.folds.pop_front() {
                let call = Call::Fold(cell.clone(), txn);
                term.write = Some(Write {
                    call: call.clone(),
                    value: Vec::new(),
                    sent: local,
                    snapshot: None,
                    at: (Epoch(0), 0),
                });
                calls.push(call);
                continue;
            }
            match term.actions.pop_front() {
                Some(Action::Commit { group, snapshot }) => {
                    calls.push(begin_commit(cell, term, local, &group, snapshot));
                }
                Some(Action::StepDown) => gone.push(cell.clone()),
                Some(Action::HandOver) => {
                    let txn = hand_over(cell, term.owner.epoch());
                    calls.push(Call::HandOver(cell.clone(), txn));
                    gone.push(cell.clone());
                }
                Some(Action::Answer(_)) | None => {}
            }
        }
        for cell in gone {
            self.terms.remove(&cell);
        }
        calls
    }

    /// Takes the end of a call that was sent at `sent` by the own clock; further
    /// calls.
    pub(crate) fn settle(&mut self, now: Time, sent: Time, call: Call, reply: Reply) -> Vec<Call> {
        match (call, reply) {
            (Call::Proof, Reply::Proof(revision)) => {
                let newer = self.seen_proof.is_none_or(|(known, _)| known <= revision);
                if newer {
                    self.seen_proof = Some((revision, sent));
                }
            }
            (Call::Grant, Reply::Lease(lease)) => self.lease = Some(lease),
            (Call::KeepAlive(lease), Reply::Alive(alive)) => self.renewed(now, sent, lease, alive),
            (Call::Owners, Reply::Range(kvs)) => return self.take_free(&kvs),
            (Call::Take(cell, epoch, _), Reply::Txn(true, _)) => {
                if let Some(taking) = self.taking.get_mut(&cell) {
                    taking.acquired_at = sent;
                }
                return vec![Call::Recover(cell, epoch)];
            }
            (Call::Take(cell, ..), _) => {
                self.taking.remove(&cell);
            }
            (Call::Recover(cell, _), Reply::Cell(held)) => self.begin_term(now, cell, *held),
            (Call::Recover(cell, epoch), _) => return vec![Call::Recover(cell, epoch)],
            (Call::Claim(cell, lease, _), Reply::Txn(done, _)) => {
                self.claimed(now, sent, &cell, lease, done);
            }
            (Call::Inbox(cell), Reply::Range(kvs)) => self.inbox(now, &cell, &kvs),
            (Call::Commit(cell, txn), reply) => return self.committed(now, sent, cell, txn, reply),
            (Call::Fold(cell, txn), reply) => return self.folded(now, cell, txn, reply),
            _ => {}
        }
        Vec::new()
    }

    fn renewed(&mut self, now: Time, sent: Time, lease: LeaseId, alive: bool) {
        if !alive {
            self.lease = None;
            return;
        }
        let local = self.clock(now);
        for term in self.terms.values_mut() {
            if term.lease == lease {
                give(term, local, Event::OwnershipProved(sent));
            }
        }
    }

    /// Takes every cell whose owner key is gone.
    fn take_free(&mut self, kvs: &[KeyValue]) -> Vec<Call> {
        let value = |key: String| {
            let found = kvs.iter().find(|kv| kv.key == key);
            found.map(|kv| String::from_utf8_lossy(&kv.value).into_owned())
        };
        for cell in super::world::cells() {
            let owner = value(keys::owner(&cell));
            match owner.and_then(|owner| owner.split_once('-')?.0.parse().ok()) {
                Some(index) => self.seen_owners.insert(cell, index),
                None => self.seen_owners.remove(&cell),
            };
        }
        let mut calls = Vec::new();
        let Some(lease) = self.lease else {
            return calls;
        };
        for cell in super::world::cells() {
            let owner = value(keys::owner(&cell));
            let mine = self.mine();
            // A lost answer: this process took the cell and does not know it.
            let owned = owner.as_ref().is_some_and(|owner| *owner != mine);
            let busy = self.terms.contains_key(&cell) || self.taking.contains_key(&cell);
            if owned || busy || self.stopping {
                continue;
            }
            let earlier = value(keys::epoch(&cell)).map(|text| Epoch(text.parse().unwrap()));
            let ended = value(keys::handover(&cell)).map(|text| Epoch(text.parse().unwrap()));
            let epoch = Epoch(earlier.unwrap_or_default().0 + 1);
            let taking = Taking {
                epoch,
                earlier,
                orderly: earlier.is_some() && ended == earlier,
                acquired_at: Time::ZERO,
                lease,
            };
            let txn = take(&cell, (earlier, epoch), owner, self.put_owner(&cell, lease));
            self.taking.insert(cell.clone(), taking);
            calls.push(Call::Take(cell, epoch, txn));
        }
        calls
    }

    fn begin_term(&mut self, now: Time, cell: CellName, held: Held) {
        let Some(taking) = self.taking.remove(&cell) else {
            return;
        };
        let local = self.clock(now);
        let earlier_leases_end = match taking.earlier {
            None => local,
            Some(_) => self.timing.earlier_leases_end(local, taking.orderly),
        };
        let head: Option<SnapshotHead> = held
            .head
            .as_ref()
            .map(|value| serde_json::from_slice(value).unwrap());
        let recovered = recover(head, &held.chunks, &held.groups).unwrap();
        let ownership = Ownership {
            cell: cell.clone(),
            epoch: taking.epoch,
            acquired_at: taking.acquired_at,
            earlier_leases_end,
            recovered,
        };
        let term = Term {
            owner: Owner::new(ownership, self.timing, 7),
            lease: taking.lease,
            head: held.head,
            actions: VecDeque::new(),
            write: None,
            folds: VecDeque::new(),
            next_inbox: Time::ZERO,
        };
        self.terms.insert(cell, term);
    }

    fn inbox(&mut self, now: Time, cell: &CellName, kvs: &[KeyValue]) {
        let local = self.clock(now);
        let Some(term) = self.terms.get_mut(cell) else {
            return;
        };
        let items: Vec<(String, InboxItem)> = kvs
            .iter()
            .map(|kv| (kv.key.clone(), serde_json::from_slice(&kv.value).unwrap()))
            .collect();
        if term.write.is_none() {
            give(term, local, Event::Inbox(items));
        }
    }

    fn committed(
        &mut self,
        now: Time,
        sent: Time,
        cell: CellName,
        txn: Txn,
        reply: Reply,
    ) -> Vec<Call> {
        let local = self.clock(now);
        let Some(term) = self.terms.get_mut(&cell) else {
            return Vec::new();
        };
        let Some(write) = term.write.take() else {
            return Vec::new();
        };
        let epoch = term.owner.epoch().0.to_string().into_bytes();
        let durable = match reply {
            Reply::Txn(true, _) => true,
            Reply::Txn(false, otherwise) => {
                let first = |range: usize| otherwise[range].first().map(|kv| kv.value.clone());
                first(0) == Some(epoch) && first(1).as_ref() == Some(&write.value)
            }
            _ => {
                // The answer is lost: the same again until its end is known.
                term.write = Some(write);
                return vec![Call::Commit(cell, txn)];
            }
        };
        if !durable {
            give(term, local, Event::TermLost);
            return Vec::new();
        }
        if let Some(chunks) = &write.snapshot {
            term.folds = folds(&cell, write.at, chunks, &term.head);
            let head = SnapshotHead {
                epoch: write.at.0,
                seq: write.at.1,
                chunks: chunks.len(),
            };
            term.head = Some(serde_json::to_vec(&head).unwrap());
        }
        let sent = sent.max(write.sent);
        give(term, local, Event::Committed(sent));
        Vec::new()
    }

    fn folded(&mut self, now: Time, cell: CellName, txn: Txn, reply: Reply) -> Vec<Call> {
        let local = self.clock(now);
        let Some(term) = self.terms.get_mut(&cell) else {
            return Vec::new();
        };
        match reply {
            Reply::Txn(succeeded, otherwise) => {
                term.write = None;
                let head = otherwise.first().and_then(|kvs| kvs.first());
                let written = head.is_some_and(|kv| Some(&kv.value) == term.head.as_ref());
                if !succeeded && !written {
                    give(term, local, Event::TermLost);
                }
                Vec::new()
            }
            _ => vec![Call::Fold(cell, txn)],
        }
    }
}

fn give(term: &mut Term, local: Time, event: Event) -> Option<Answer> {
    let mut answered = None;
    for action in term.owner.handle(local, event) {
        match action {
            Action::Answer(answer) => answered = Some(answer),
            action => term.actions.push_back(action),
        }
    }
    answered
}

fn epoch_is(cell: &CellName, epoch: Epoch) -> Compare {
    Compare::ValueIs(keys::epoch(cell), epoch.0.to_string().into_bytes())
}

fn head_is(cell: &CellName, head: &Option<Vec<u8>>) -> Compare {
    match head {
        Some(value) => Compare::ValueIs(keys::snapshot_head(cell), value.clone()),
        None => Compare::Absent(keys::snapshot_head(cell)),
    }
}

fn begin_commit(
    cell: &CellName,
    term: &mut Term,
    local: Time,
    group: &Group,
    snapshot: Option<Vec<Vec<u8>>>,
) -> Call {
    let key = keys::group(cell, group.epoch, group.seq);
    let value = serde_json::to_vec(group).unwrap();
    let mut ops = vec![Op::put(key.clone(), value.clone())];
    for (key, value) in &group.puts {
        ops.push(Op::put(key.clone(), value.clone()));
    }
    for key in &group.deletes {
        ops.push(Op::Delete(KeyRange::one(key.clone())));
    }
    let txn = Txn {
        compares: vec![
            epoch_is(cell, group.epoch),
            head_is(cell, &term.head),
            Compare::Absent(key.clone()),
        ],
        ops,
        otherwise: vec![KeyRange::one(keys::epoch(cell)), KeyRange::one(key)],
    };
    let call = Call::Commit(cell.clone(), txn);
    term.write = Some(Write {
        call: call.clone(),
        value,
        sent: local,
        snapshot,
        at: (group.epoch, group.seq),
    });
    call
}

fn folds(
    cell: &CellName,
    at: (Epoch, u64),
    chunks: &[Vec<u8>],
    head: &Option<Vec<u8>>,
) -> VecDeque<Txn> {
    let (epoch, seq) = at;
    let mut folds = VecDeque::new();
    for (number, chunk) in chunks.iter().enumerate() {
        let key = keys::snapshot_chunk(cell, epoch, seq, number);
        folds.push_back(Txn {
            compares: vec![epoch_is(cell, epoch), head_is(cell, head)],
            ops: vec![Op::put(key, chunk.clone())],
            otherwise: Vec::new(),
        });
    }
    let new_head = SnapshotHead {
        epoch,
        seq,
        chunks: chunks.len(),
    };
    folds.push_back(Txn {
        compares: vec![epoch_is(cell, epoch), head_is(cell, head)],
        ops: vec![
            Op::put(
                keys::snapshot_head(cell),
                serde_json::to_vec(&new_head).unwrap(),
            ),
            Op::Delete(keys::journal_through(cell, epoch, seq)),
            Op::Delete(keys::older_chunks(cell, epoch, seq)),
        ],
        otherwise: vec![KeyRange::one(keys::snapshot_head(cell))],
    });
    folds
}

fn take(
    cell: &CellName,
    (earlier, epoch): (Option<Epoch>, Epoch),
    owner: Option<String>,
    put_owner: Op,
) -> Txn {
    Txn {
        compares: vec![
            match earlier {
                Some(earlier) => epoch_is(cell, earlier),
                None => Compare::Absent(keys::epoch(cell)),
            },
            match owner {
                Some(owner) => Compare::ValueIs(keys::owner(cell), owner.into_bytes()),
                None => Compare::Absent(keys::owner(cell)),
            },
        ],
        ops: vec![Op::put(keys::epoch(cell), epoch.0.to_string()), put_owner],
        otherwise: Vec::new(),
    }
}

fn hand_over(cell: &CellName, epoch: Epoch) -> Txn {
    Txn {
        compares: vec![epoch_is(cell, epoch)],
        ops: vec![
            Op::put(keys::handover(cell), epoch.0.to_string()),
            Op::Delete(KeyRange::one(keys::owner(cell))),
        ],
        otherwise: Vec::new(),
    }
}
