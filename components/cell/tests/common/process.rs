//! A simulated entry process: owners of cells and their calls to the store.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use cell::{
    Action, Answer, Event, Group, InboxItem, Owner, Ownership, SnapshotHead, Timing, keys, recover,
};
use kernel::{CellName, Epoch, Time};
use proto::messages::{CellCapacity, Heartbeat};
use store::{Compare, KeyRange, KeyValue, LeaseId, Op, Txn};

/// How long a process waits for a reply of the store.
pub(crate) const CALL_TIMEOUT_MILLIS: u64 = 1_000;

/// A call of a process to the store, by its purpose.
#[derive(Clone, Debug)]
pub(crate) enum Call {
    Proof,
    Grant,
    KeepAlive(LeaseId),
    Owners,
    Acquire(CellName, Epoch, Txn),
    Recover(CellName, Epoch),
    Inbox(CellName),
    Commit(CellName, Txn),
    Compact(CellName, Txn),
    HandOver(CellName, Txn),
    /// Attaches the owner key to a new lease, unless another term has started.
    Claim(CellName, LeaseId, Txn),
}

/// The reply of the store to a call.
#[derive(Clone, Debug)]
pub(crate) enum Reply {
    Lost,
    Proof(u64),
    Lease(LeaseId),
    Alive(bool),
    Range(Vec<KeyValue>),
    Cell(Box<CellContent>),
    Txn(bool, Vec<Vec<KeyValue>>),
}

/// The content of a cell in the store.
#[derive(Clone, Debug, Default)]
pub(crate) struct CellContent {
    pub(crate) head: Option<Vec<u8>>,
    pub(crate) chunks: Vec<(String, Vec<u8>)>,
    pub(crate) groups: Vec<(String, Vec<u8>)>,
}

struct Term {
    owner: Owner,
    lease: LeaseId,
    head: Option<Vec<u8>>,
    actions: VecDeque<Action>,
    /// The write in progress; the next one starts once its outcome is known.
    write: Option<PendingWrite>,
    compactions: VecDeque<Txn>,
    next_inbox: Time,
}

struct PendingWrite {
    call: Call,
    value: Vec<u8>,
    sent: Time,
    /// The chunks of the snapshot to write after the group; `None` if the journal is
    /// not compacted.
    snapshot: Option<Vec<Vec<u8>>>,
    /// The epoch and the sequence number of the group.
    at: (Epoch, u64),
}

struct Acquisition {
    epoch: Epoch,
    /// The epoch of the previous owner; `None` if the cell was never owned.
    earlier: Option<Epoch>,
    /// Whether the previous owner has handed the cell over.
    handed_over: bool,
    acquired_at: Time,
    lease: LeaseId,
}

pub(crate) struct Process {
    pub(crate) index: usize,
    /// Rate by which the process's clock runs fast, in thousandths.
    drift: i64,
    /// When the rate was set, by the true clock and by the process's clock.
    drift_since: (Time, Time),
    pub(crate) paused_until: Time,
    /// When the process starts again; `None` while it runs.
    pub(crate) down_until: Option<Time>,
    /// Until when the process's calls do not reach the store.
    pub(crate) store_cut_off_until: Time,
    pub(crate) incarnation: u64,
    timing: Timing,
    lease: Option<LeaseId>,
    terms: BTreeMap<CellName, Term>,
    acquisitions: BTreeMap<CellName, Acquisition>,
    config_proof: Option<(u64, Time)>,
    known_owners: BTreeMap<CellName, usize>,
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
            store_cut_off_until: Time::ZERO,
            incarnation: 0,
            timing,
            lease: None,
            terms: BTreeMap::new(),
            acquisitions: BTreeMap::new(),
            config_proof: None,
            known_owners: BTreeMap::new(),
            next_poll: Time::ZERO,
            stopping: false,
        }
    }

    /// Restarts the process without any of its state.
    pub(crate) fn restart(&mut self) {
        let fresh = Self::new(self.index, self.timing);
        *self = Self {
            drift: self.drift,
            drift_since: self.drift_since,
            incarnation: self.incarnation + 1,
            store_cut_off_until: self.store_cut_off_until,
            ..fresh
        };
    }

    /// Returns the time of the process's clock at the true time `now`.
    pub(crate) fn clock(&self, now: Time) -> Time {
        let (since, own) = self.drift_since;
        let span = (now.0 - since.0) as i64;
        Time((own.0 as i64 + span + span * self.drift / 1_000) as u64)
    }

    /// Changes the rate of the process's clock from `now` on.
    pub(crate) fn set_drift(&mut self, now: Time, drift: i64) {
        self.drift_since = (now, self.clock(now));
        self.drift = drift;
    }

    pub(crate) fn is_running_at(&self, now: Time) -> bool {
        self.down_until.is_none() && self.paused_until.passed(now)
    }

    /// Starts a planned stop.
    pub(crate) fn stop(&mut self, now: Time) {
        self.stopping = true;
        let local = self.clock(now);
        for term in self.terms.values_mut() {
            handle_event(term, local, Event::Stop);
        }
    }

    pub(crate) fn owned_cells(&self) -> BTreeSet<CellName> {
        self.terms.keys().cloned().collect()
    }

    pub(crate) fn capacities(&self) -> BTreeMap<CellName, CellCapacity> {
        let capacity =
            |(cell, term): (&CellName, &Term)| (cell.clone(), term.owner.cell_capacity());
        self.terms.iter().map(capacity).collect()
    }

    pub(crate) fn owners(&self) -> impl Iterator<Item = &Owner> {
        self.terms.values().map(|term| &term.owner)
    }

    pub(crate) fn heartbeat(&mut self, now: Time, beat: &Heartbeat) -> Option<Answer> {
        let local = self.clock(now);
        let cell = &beat.info.as_ref()?.cell;
        let term = self.terms.get_mut(cell)?;
        let event = Event::Heartbeat(Box::new(beat.clone()));
        handle_event(term, local, event)
    }

    /// Returns the process that last owned the sender's cell, unless it is this one.
    pub(crate) fn known_owner(&self, beat: &Heartbeat) -> Option<usize> {
        let owner = self.known_owners.get(&beat.info.as_ref()?.cell)?;
        (*owner != self.index).then_some(*owner)
    }

    /// Advances the process to `now` and returns the calls to make.
    pub(crate) fn tick(
        &mut self,
        now: Time,
        capacities: &BTreeMap<CellName, CellCapacity>,
        config: impl Fn(u64) -> std::sync::Arc<kernel::ObjectSet>,
    ) -> Vec<Call> {
        let local = self.clock(now);
        let mut calls = Vec::new();
        if self.next_poll.passed(now) && !self.stopping {
            self.next_poll = now + std::time::Duration::from_millis(900);
            calls.push(Call::Proof);
            calls.push(Call::Owners);
            calls.push(self.lease.map_or(Call::Grant, Call::KeepAlive));
            calls.extend(self.claim_calls());
        }
        for (cell, term) in &mut self.terms {
            if let Some((revision, proved_at)) = self.config_proof {
                let event = Event::Config {
                    objects: config(revision),
                    revision: kernel::Revision(revision),
                    proved_at: Some(proved_at),
                };
                handle_event(term, local, event);
            }
            handle_event(term, local, Event::CellCapacities(capacities.clone()));
            handle_event(term, local, Event::Tick);
            if term.next_inbox.passed(now) && term.write.is_none() {
                term.next_inbox = now + std::time::Duration::from_secs(2);
                calls.push(Call::Inbox(cell.clone()));
            }
        }
        calls.extend(self.write_calls(now));
        calls
    }

    fn claim_calls(&self) -> Vec<Call> {
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
            value: self.owner_value().into_bytes(),
            lease: Some(lease),
        }
    }

    fn owner_value(&self) -> String {
        format!("{}-{}", self.index, self.incarnation)
    }

    fn on_claim(&mut self, now: Time, sent: Time, cell: &CellName, lease: LeaseId, done: bool) {
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
        handle_event(term, local, event);
    }

    /// Starts pending writes, and drops cells whose term has ended.
    fn write_calls(&mut self, now: Time) -> Vec<Call> {
        let local_now = self.clock(now);
        let mut calls = Vec::new();
        let mut ended = Vec::new();
        for (cell, term) in &mut self.terms {
            if term.write.is_some() {
                continue;
            }
            if let Some(txn) = term.compactions.pop_front() {
                let call = Call::Compact(cell.clone(), txn);
                term.write = Some(PendingWrite {
                    call: call.clone(),
                    value: Vec::new(),
                    sent: local_now,
                    snapshot: None,
                    at: (Epoch(0), 0),
                });
                calls.push(call);
                continue;
            }
            match term.actions.pop_front() {
                Some(Action::Commit { group, snapshot }) => {
                    calls.push(start_commit(cell, term, local_now, &group, snapshot));
                }
                Some(Action::StepDown) => ended.push(cell.clone()),
                Some(Action::HandOver) => {
                    let txn = handover_txn(cell, term.owner.epoch());
                    calls.push(Call::HandOver(cell.clone(), txn));
                    ended.push(cell.clone());
                }
                Some(Action::Release) => {
                    let mut txn = handover_txn(cell, term.owner.epoch());
                    txn.ops.retain(|op| matches!(op, Op::Delete(_)));
                    calls.push(Call::HandOver(cell.clone(), txn));
                    ended.push(cell.clone());
                }
                Some(Action::Answer(_)) | None => {}
            }
        }
        for cell in ended {
            self.terms.remove(&cell);
        }
        calls
    }

    /// Handles the reply to a call that was sent at `sent` by the process's clock.
    /// Returns further calls.
    pub(crate) fn handle_reply(
        &mut self,
        now: Time,
        sent: Time,
        call: Call,
        reply: Reply,
    ) -> Vec<Call> {
        match (call, reply) {
            (Call::Proof, Reply::Proof(revision)) => {
                let newer = self.config_proof.is_none_or(|(known, _)| known <= revision);
                if newer {
                    self.config_proof = Some((revision, sent));
                }
            }
            (Call::Grant, Reply::Lease(lease)) => self.lease = Some(lease),
            (Call::KeepAlive(lease), Reply::Alive(alive)) => self.renewed(now, sent, lease, alive),
            (Call::Owners, Reply::Range(kvs)) => return self.acquire_unowned(&kvs),
            (Call::Acquire(cell, epoch, _), Reply::Txn(true, _)) => {
                if let Some(acquisition) = self.acquisitions.get_mut(&cell) {
                    acquisition.acquired_at = sent;
                }
                return vec![Call::Recover(cell, epoch)];
            }
            (Call::Acquire(cell, ..), _) => {
                self.acquisitions.remove(&cell);
            }
            (Call::Recover(cell, _), Reply::Cell(content)) => self.start_term(now, cell, *content),
            (Call::Recover(cell, epoch), _) => return vec![Call::Recover(cell, epoch)],
            (Call::Claim(cell, lease, _), Reply::Txn(done, _)) => {
                self.on_claim(now, sent, &cell, lease, done);
            }
            (Call::Inbox(cell), Reply::Range(kvs)) => self.on_inbox(now, &cell, &kvs),
            (Call::Commit(cell, txn), reply) => return self.on_commit(now, sent, cell, txn, reply),
            (Call::Compact(cell, txn), reply) => return self.on_compaction(now, cell, txn, reply),
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
                handle_event(term, local, Event::OwnershipProved(sent));
            }
        }
    }

    /// Acquires every cell without an owner key.
    fn acquire_unowned(&mut self, kvs: &[KeyValue]) -> Vec<Call> {
        let value = |key: String| {
            let found = kvs.iter().find(|kv| kv.key == key);
            found.map(|kv| String::from_utf8_lossy(&kv.value).into_owned())
        };
        for cell in super::world::cells() {
            let owner = value(keys::owner(&cell));
            match owner.and_then(|owner| owner.split_once('-')?.0.parse().ok()) {
                Some(index) => self.known_owners.insert(cell, index),
                None => self.known_owners.remove(&cell),
            };
        }
        let mut calls = Vec::new();
        let Some(lease) = self.lease else {
            return calls;
        };
        for cell in super::world::cells() {
            let owner = value(keys::owner(&cell));
            let owner_value = self.owner_value();
            // After a lost reply the key may name this process, which then acquires the
            // cell again.
            let owned = owner.as_ref().is_some_and(|owner| *owner != owner_value);
            let busy = self.terms.contains_key(&cell) || self.acquisitions.contains_key(&cell);
            if owned || busy || self.stopping {
                continue;
            }
            let earlier = value(keys::epoch(&cell)).map(|text| Epoch(text.parse().unwrap()));
            let ended = value(keys::handover(&cell)).map(|text| Epoch(text.parse().unwrap()));
            let epoch = Epoch(earlier.unwrap_or_default().0 + 1);
            let acquisition = Acquisition {
                epoch,
                earlier,
                handed_over: earlier.is_some() && ended == earlier,
                acquired_at: Time::ZERO,
                lease,
            };
            let txn = acquire_txn(&cell, (earlier, epoch), owner, self.put_owner(&cell, lease));
            self.acquisitions.insert(cell.clone(), acquisition);
            calls.push(Call::Acquire(cell, epoch, txn));
        }
        calls
    }

    fn start_term(&mut self, now: Time, cell: CellName, content: CellContent) {
        let Some(acquisition) = self.acquisitions.remove(&cell) else {
            return;
        };
        let local = self.clock(now);
        let earlier_leases_end = match acquisition.earlier {
            None => local,
            Some(_) => self
                .timing
                .earlier_leases_end(local, acquisition.handed_over),
        };
        let head: Option<SnapshotHead> = content
            .head
            .as_ref()
            .map(|value| serde_json::from_slice(value).unwrap());
        let recovered = recover(head, &content.chunks, &content.groups).unwrap();
        let ownership = Ownership {
            cell: cell.clone(),
            epoch: acquisition.epoch,
            acquired_at: acquisition.acquired_at,
            earlier_leases_end,
            recovered,
        };
        let term = Term {
            owner: Owner::new(ownership, self.timing, 7),
            lease: acquisition.lease,
            head: content.head,
            actions: VecDeque::new(),
            write: None,
            compactions: VecDeque::new(),
            next_inbox: Time::ZERO,
        };
        self.terms.insert(cell, term);
    }

    fn on_inbox(&mut self, now: Time, cell: &CellName, kvs: &[KeyValue]) {
        let local = self.clock(now);
        let Some(term) = self.terms.get_mut(cell) else {
            return;
        };
        let items: Vec<(String, InboxItem)> = kvs
            .iter()
            .map(|kv| (kv.key.clone(), serde_json::from_slice(&kv.value).unwrap()))
            .collect();
        if term.write.is_none() {
            handle_event(term, local, Event::Inbox(items));
        }
    }

    fn on_commit(
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
                // The reply was lost: repeats the call until the outcome is known.
                term.write = Some(write);
                return vec![Call::Commit(cell, txn)];
            }
        };
        if !durable {
            handle_event(term, local, Event::TermLost);
            return Vec::new();
        }
        if let Some(chunks) = &write.snapshot {
            term.compactions = compactions(&cell, write.at, chunks, &term.head);
            let head = SnapshotHead {
                epoch: write.at.0,
                seq: write.at.1,
                chunks: chunks.len(),
            };
            term.head = Some(serde_json::to_vec(&head).unwrap());
        }
        let sent = sent.max(write.sent);
        handle_event(term, local, Event::Committed(sent));
        Vec::new()
    }

    fn on_compaction(&mut self, now: Time, cell: CellName, txn: Txn, reply: Reply) -> Vec<Call> {
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
                    handle_event(term, local, Event::TermLost);
                }
                Vec::new()
            }
            _ => vec![Call::Compact(cell, txn)],
        }
    }
}

fn handle_event(term: &mut Term, local: Time, event: Event) -> Option<Answer> {
    let mut last_answer = None;
    for action in term.owner.handle(local, event) {
        match action {
            Action::Answer(answer) => last_answer = Some(answer),
            action => term.actions.push_back(action),
        }
    }
    last_answer
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

fn start_commit(
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
    term.write = Some(PendingWrite {
        call: call.clone(),
        value,
        sent: local,
        snapshot,
        at: (group.epoch, group.seq),
    });
    call
}

fn compactions(
    cell: &CellName,
    at: (Epoch, u64),
    chunks: &[Vec<u8>],
    head: &Option<Vec<u8>>,
) -> VecDeque<Txn> {
    let (epoch, seq) = at;
    let mut compactions = VecDeque::new();
    for (number, chunk) in chunks.iter().enumerate() {
        let key = keys::snapshot_chunk(cell, epoch, seq, number);
        compactions.push_back(Txn {
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
    compactions.push_back(Txn {
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
    compactions
}

fn acquire_txn(
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

fn handover_txn(cell: &CellName, epoch: Epoch) -> Txn {
    Txn {
        compares: vec![epoch_is(cell, epoch)],
        ops: vec![
            Op::put(keys::handover(cell), epoch.0.to_string()),
            Op::Delete(KeyRange::one(keys::owner(cell))),
        ],
        otherwise: Vec::new(),
    }
}
