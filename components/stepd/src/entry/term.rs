//! A term as the owner of the jobs: bytes and time for [`steps::Owner`].

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use event_listener::Event as Signal;
use futures_lite::FutureExt;
use kernel::{JobName, Time, VmName, secret::Secrets};
use proto::Peer;
use smol::Task;
use steps::{
    Event, Owner,
    message::{Orders, OrdersCall, ReportPollCall},
};
use store::{Compare, KeyRange, KeyValue, LeaseId, Op, Store, StoreError, StoreRevision, Txn};

use super::{
    Shared, campaign,
    index::{Fact, in_order},
    journal,
};
use crate::{SteadyClock, keys, keys::OwnerRecord, time};

/// How often deadlines are looked at.
const TICK: Duration = Duration::from_millis(200);
/// How often the lease is renewed: four times in its span.
const RENEWALS_PER_LEASE: u32 = 4;
/// The pause after a renewal that failed.
const RENEW_AGAIN: Duration = Duration::from_millis(250);
/// How long an answer may take beyond the time that was asked to be waited.
const CALL_TIMEOUT: Duration = Duration::from_millis(900);
/// How long orders may take: an agent gives a worker 600 ms.
const ORDERS_TIMEOUT: Duration = Duration::from_millis(1_300);
/// The pause after a call to an agent that failed.
const AGENT_PAUSE: Duration = Duration::from_millis(200);
/// How long the last records may take when a term ends.
const LAST_RECORDS: Duration = Duration::from_secs(1);

/// What makes this process the owner.
#[derive(Clone, Debug)]
pub(super) struct Claim {
    pub(super) record: OwnerRecord,
    pub(super) lease: LeaseId,
    /// The revision at which the epoch was written.
    pub(super) epoch_revision: StoreRevision,
    /// When the call was sent that proved it.
    pub(super) proved: Time,
}

/// A running term.
pub(super) struct Term {
    clock: SteadyClock,
    pub(super) store: Arc<dyn Store>,
    secrets: Secrets,
    pub(super) claim: Claim,
    owner: Mutex<Owner>,
    /// Facts that came before the store was read.
    early: Mutex<Option<Vec<Fact>>>,
    agents: Mutex<BTreeMap<VmName, Agent>>,
    /// When it was last proved that there is no other owner.
    proved: Mutex<Time>,
    is_over: AtomicBool,
    over: Signal,
    /// Records have to be written.
    pub(super) changed: Signal,
}

struct Agent {
    peer: Peer,
    /// The revision of its key.
    revision: StoreRevision,
    _attending: Task<()>,
}

/// Owns the jobs until the term is over or the entry stops.
pub(super) async fn run(shared: &Arc<Shared>, claim: Claim, secrets: Secrets) {
    let (epoch, timing) = (claim.record.epoch, shared.settings.timing);
    tracing::info!(epoch, "this entry owns the jobs");
    let name = shared.settings.name.clone();
    let term = Arc::new(Term {
        clock: shared.clock,
        store: Arc::clone(&shared.store),
        secrets,
        owner: Mutex::new(Owner::new(name, epoch, timing, shared.clock.now())),
        early: Mutex::new(Some(Vec::new())),
        agents: Mutex::default(),
        proved: Mutex::new(claim.proved),
        is_over: AtomicBool::new(false),
        over: Signal::new(),
        changed: Signal::new(),
        claim,
    });
    shared.set_term(Some(Arc::clone(&term)));
    let renewing = smol::spawn(renew(Arc::clone(&term), timing.owner_key, timing.ownership));
    let serving = async {
        load(shared, &term).await;
        let journal = smol::spawn(journal::run(Arc::clone(&term)));
        let ticking = smol::spawn(tick(Arc::clone(&term)));
        wait_for_end(shared, &term).await;
        ticking.cancel().await;
        journal.cancel().await;
    };
    let ended = async { wait_for_end(shared, &term).await };
    serving.or(ended).await;
    if shared.is_stopping() && !term.is_over() {
        hand_over(shared, &term).await;
    }
    renewing.cancel().await;
    term.agents().clear();
    shared.set_term(None);
    tracing::info!(epoch, "this entry does not own the jobs any more");
}

async fn wait_for_end(shared: &Shared, term: &Term) {
    loop {
        let over = term.over.listen();
        let stopping = shared.owner_changed.listen();
        if term.is_over() || shared.is_stopping() {
            return;
        }
        over.or(stopping).await;
    }
}

/// Lets the next owner begin at once.
async fn hand_over(shared: &Shared, term: &Term) {
    term.agents().clear();
    let flushed = async {
        journal::flush(term).await;
        true
    };
    let late = async {
        smol::Timer::after(LAST_RECORDS).await;
        false
    };
    let is_flushed = flushed.or(late).await;
    if let Err(error) = leave_note(term).await {
        tracing::info!(%error, "the next owner is left no note");
    }
    tracing::info!(
        epoch = term.claim.record.epoch,
        is_flushed,
        "handing the jobs over"
    );
    campaign::revoke(shared, term.claim.lease).await;
}

/// Tells the next owner which VMs do not answer. A note that comes late finds a
/// later term and is not written.
async fn leave_note(term: &Term) -> Result<(), StoreError> {
    let note = term.owner().handover(term.now());
    let value =
        serde_json::to_vec(&note).map_err(|error| StoreError::not_run(error.to_string()))?;
    let epoch = keys::EPOCH.to_owned();
    let txn = Txn {
        compares: vec![Compare::ModifiedAt(epoch, term.claim.epoch_revision)],
        ops: vec![Op::put(keys::HANDOVER, value)],
        otherwise: Vec::new(),
    };
    term.store.txn(txn).await.map(|_| ())
}

/// Takes in the note of the owner before, if it left one.
fn take_note(term: &Term, kvs: &[KeyValue]) {
    let Some(kv) = kvs.iter().find(|kv| kv.key == keys::HANDOVER) else {
        return;
    };
    match serde_json::from_slice(&kv.value) {
        Ok(note) => term.handle_quietly(Event::HandedOver(note)),
        Err(error) => tracing::error!(%error, "the note of a handover can't be read"),
    }
}

/// Reads all jobs, then takes in what came meanwhile.
async fn load(shared: &Shared, term: &Arc<Term>) {
    let mut backoff = store::backoff::Backoff::with_random_seed();
    let kvs = loop {
        match read_all(shared).await {
            Ok(kvs) => break kvs,
            Err(error) => {
                if backoff.failures() == 0 {
                    tracing::warn!(%error, "the jobs can't be read yet");
                }
                smol::Timer::after(backoff.next_delay()).await;
            }
        }
    };
    if let Some(config) = shared.config.load_full() {
        term.handle(Event::Config(config));
    }
    let zones_out = shared.index().zones_out.clone();
    term.handle(Event::ZonesOut(zones_out));
    take_note(term, &kvs);
    let facts = in_order(&kvs);
    tracing::info!(items = kvs.len(), facts = facts.len(), "jobs taken over");
    term.apply(&facts);
    let early = term.early().take().unwrap_or_default();
    term.apply(&early);
}

async fn read_all(shared: &Shared) -> Result<Vec<KeyValue>, StoreError> {
    let mut kvs = shared.store.range(keys::followed(), 0).await?.kvs;
    // Read later than the jobs, so that no record is missed; one of a job that
    // ended meanwhile does no harm.
    kvs.extend(shared.store.range(keys::all_progress(), 0).await?.kvs);
    Ok(kvs)
}

async fn tick(term: Arc<Term>) {
    loop {
        smol::Timer::after(TICK).await;
        term.handle(Event::Tick);
        let departed = term.owner().take_departed();
        for vm in departed {
            term.part(&vm);
        }
        let forgotten = term.owner().take_forgotten();
        if !forgotten.is_empty() {
            journal::forget(&term, &forgotten).await;
        }
    }
}

/// Renews the lease, and takes the key back if it lapsed while nobody else
/// became the owner.
async fn renew(term: Arc<Term>, owner_key: Duration, ownership: Duration) {
    let mut lease = term.claim.lease;
    let mut is_lost = false;
    loop {
        let proved = *lock(&term.proved);
        let now = term.clock.now();
        if (proved + ownership).passed(now) {
            tracing::warn!("ownership could not be proved for too long");
            term.end();
            return;
        }
        let renewed = match term.store.keep_alive(lease).await {
            Ok(true) => {
                term.prove(now);
                Ok(true)
            }
            Ok(false) => take_back(&term, owner_key, now).await.map(|taken| {
                if let Some(taken) = taken {
                    lease = taken;
                }
                taken.is_some()
            }),
            Err(error) => Err(error),
        };
        match renewed {
            Ok(true) => {
                if is_lost {
                    tracing::info!("store regained: ownership proved");
                }
                is_lost = false;
                smol::Timer::after(owner_key / RENEWALS_PER_LEASE).await;
            }
            Ok(false) => {
                tracing::warn!("another entry owns the jobs");
                term.end();
                return;
            }
            Err(error) => {
                if !is_lost {
                    tracing::warn!(%error, "store lost: ownership can't be proved");
                }
                is_lost = true;
                smol::Timer::after(RENEW_AGAIN).await;
            }
        }
    }
}

async fn take_back(
    term: &Term,
    owner_key: Duration,
    sent: Time,
) -> Result<Option<LeaseId>, StoreError> {
    let lease = term.store.grant(owner_key).await?;
    let claim = &term.claim;
    let txn = Txn {
        compares: vec![
            Compare::ModifiedAt(keys::EPOCH.to_owned(), claim.epoch_revision),
            Compare::Absent(keys::OWNER.to_owned()),
        ],
        ops: vec![campaign::put_owner(&claim.record, lease)?],
        otherwise: Vec::new(),
    };
    let reply = term.store.txn(txn).await?;
    if !reply.succeeded {
        return Ok(None);
    }
    tracing::info!("the owner's key had lapsed and was taken back");
    term.prove(sent);
    Ok(Some(lease))
}

impl Term {
    pub(super) fn owner(&self) -> MutexGuard<'_, Owner> {
        lock(&self.owner)
    }

    fn agents(&self) -> MutexGuard<'_, BTreeMap<VmName, Agent>> {
        lock(&self.agents)
    }

    fn early(&self) -> MutexGuard<'_, Option<Vec<Fact>>> {
        lock(&self.early)
    }

    /// Notes a call that proved the ownership when it was sent.
    pub(super) fn prove(&self, sent: Time) {
        {
            let mut proved = lock(&self.proved);
            *proved = proved.max(sent);
        }
        self.handle_quietly(Event::OwnershipProved(sent));
    }

    pub(super) fn now(&self) -> Time {
        self.clock.now()
    }

    /// Ends the term.
    pub(super) fn end(&self) {
        self.is_over.store(true, Ordering::Relaxed);
        self.over.notify(usize::MAX);
    }

    /// Waits until the term is over.
    pub(super) async fn ended(&self) {
        loop {
            let over = self.over.listen();
            if self.is_over() {
                return;
            }
            over.await;
        }
    }

    pub(super) fn is_over(&self) -> bool {
        self.is_over.load(Ordering::Relaxed)
    }

    pub(super) fn pending(&self, queue: &str) -> usize {
        self.owner().pending_jobs(queue)
    }

    pub(super) fn has_started(&self, job: &JobName) -> Option<bool> {
        self.owner().has_started(job)
    }

    /// Takes in changes of the store.
    pub(super) fn take_facts(self: &Arc<Self>, facts: &[Fact]) {
        if let Some(early) = self.early().as_mut() {
            early.extend_from_slice(facts);
            return;
        }
        self.apply(facts);
    }

    fn apply(self: &Arc<Self>, facts: &[Fact]) {
        for (number, fact) in facts.iter().enumerate() {
            match fact {
                Fact::Job(job) => {
                    let progress = progress_of(&job.name, &facts[number..]);
                    let job = Arc::clone(job);
                    self.handle_quietly(Event::Job { job, progress });
                }
                Fact::Cancelled(name) => self.handle_quietly(Event::Cancelled(name.clone())),
                Fact::Ended(name, outcome) => {
                    let (name, outcome) = (name.clone(), *outcome);
                    self.handle_quietly(Event::Ended(name, outcome));
                }
                Fact::Agent(vm, address, revision) => self.meet(vm, *address, *revision),
                Fact::Owner(Some(record)) if record.epoch > self.claim.record.epoch => {
                    tracing::warn!(owner = %record.entry, epoch = record.epoch, "a later owner");
                    self.end();
                }
                Fact::Progress(..) | Fact::Owner(_) | Fact::Forgotten(_) => {}
            }
        }
        self.dispatch();
    }

    /// Attends to an agent from now on.
    fn meet(self: &Arc<Self>, vm: &VmName, address: SocketAddr, revision: StoreRevision) {
        self.handle_quietly(Event::Vm(vm.clone()));
        let mut agents = self.agents();
        if let Some(known) = agents.get_mut(vm)
            && known.peer.address() == address
        {
            known.revision = revision;
            return;
        }
        let peer = Peer::new(address, self.secrets.clone());
        let attending = smol::spawn(attend(Arc::downgrade(self), vm.clone(), peer.clone()));
        agents.insert(
            vm.clone(),
            Agent {
                peer,
                revision,
                _attending: attending,
            },
        );
    }

    /// Removes the key of an agent that is gone, so that a later owner does not
    /// wait for it; one that lives writes it again.
    fn part(self: &Arc<Self>, vm: &VmName) {
        let Some(agent) = self.agents().remove(vm) else {
            return;
        };
        let key = keys::agent(vm);
        let txn = Txn {
            compares: vec![Compare::ModifiedAt(key.clone(), agent.revision)],
            ops: vec![Op::Delete(KeyRange::one(key))],
            otherwise: Vec::new(),
        };
        let (store, vm) = (Arc::clone(&self.store), vm.clone());
        smol::spawn(async move {
            if let Err(error) = store.txn(txn).await {
                tracing::info!(%vm, %error, "the key of an agent that is gone stays");
            }
        })
        .detach();
    }

    /// Takes in an event and sends the orders that follow from it.
    pub(super) fn handle(self: &Arc<Self>, event: Event) {
        self.handle_quietly(event);
        self.dispatch();
    }

    fn handle_quietly(&self, event: Event) {
        if self.is_over() {
            return;
        }
        let now = self.now();
        let mut owner = self.owner();
        owner.handle(now, time::wall(), event);
        if let Some(epoch) = owner.deposed_by() {
            tracing::warn!(epoch, "an agent obeys a later owner");
            self.end();
        }
    }

    /// Sends what waits to be sent.
    pub(super) fn dispatch(self: &Arc<Self>) {
        if self.is_over() {
            return;
        }
        let now = self.now();
        let mut owner = self.owner();
        let mut batches = Vec::new();
        for vm in owner.vms_with_orders() {
            if let Some(orders) = owner.take_orders(now, &vm) {
                batches.push((vm, orders));
            }
        }
        let has_changes = owner.has_changes();
        drop(owner);
        if has_changes {
            self.changed.notify(1);
        }
        for (vm, orders) in batches {
            let Some(peer) = self.agents().get(&vm).map(|agent| agent.peer.clone()) else {
                continue;
            };
            smol::spawn(order(Arc::clone(self), vm, peer, orders)).detach();
        }
    }
}

/// The record of a job among the facts, if there is one.
fn progress_of(name: &JobName, facts: &[Fact]) -> Option<(steps::Progress, StoreRevision)> {
    facts.iter().find_map(|fact| match fact {
        Fact::Progress(job, progress, revision) if job == name => {
            Some((progress.clone(), *revision))
        }
        _ => None,
    })
}

async fn order(term: Arc<Term>, vm: VmName, peer: Peer, orders: Orders) {
    let reply = match peer
        .call::<OrdersCall>(orders.clone(), ORDERS_TIMEOUT)
        .await
    {
        Ok(reply) => Some(reply),
        Err(error) => {
            tracing::info!(%vm, %error, starts = orders.starts.len(), "orders not answered");
            None
        }
    };
    if reply.is_none() {
        peer.reset();
        smol::Timer::after(AGENT_PAUSE).await;
    }
    term.handle(Event::OrdersAnswered {
        vm,
        orders: Box::new(orders),
        reply,
    });
}

async fn attend(term: std::sync::Weak<Term>, vm: VmName, peer: Peer) {
    loop {
        let Some(term) = term.upgrade().filter(|term| !term.is_over()) else {
            return;
        };
        let Some(attend) = term.owner().next_report_poll(term.now(), &vm) else {
            return;
        };
        let timeout = Duration::from_millis(attend.wait_millis) + CALL_TIMEOUT;
        let result = peer.call::<ReportPollCall>(attend, timeout).await;
        match result {
            Ok(report) => term.handle(Event::Report {
                vm: vm.clone(),
                report: Box::new(report),
            }),
            Err(error) => {
                tracing::debug!(%vm, %error, "agent not reached");
                peer.reset();
                term.handle(Event::Unreachable(vm.clone()));
                smol::Timer::after(AGENT_PAUSE).await;
            }
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
