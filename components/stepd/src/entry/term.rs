//! A term as the owner of the jobs: connects [`steps::Owner`] to the store, the agents
//! and the clock.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    pin::pin,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use event_listener::Event as Signal;
use futures_lite::FutureExt;
use kernel::{JobName, Time, VmName, secret::Secrets};
use proto::Peer;
use rand::seq::SliceRandom;
use smol::Task;
use steps::{
    Event, Owner,
    admission::LoadSummary,
    message::{Orders, OrdersCall, ReportPollCall},
    owner::{Handover, PollFailure},
};
use store::{Compare, KeyRange, KeyValue, LeaseId, Op, Store, StoreError, StoreRevision, Txn};

use super::{
    Shared, campaign, candidacy, follow,
    index::{KeyUpdate, jobs_first, parse_item},
    interference, journal,
    load::LoadMeter,
    submit,
};
use crate::{
    SteadyClock, keys,
    keys::OwnerRecord,
    passes::{self, NextPass},
    time,
};

/// How often the owner checks deadlines.
const TICK_INTERVAL: Duration = Duration::from_millis(200);
/// The number of renewals in the time to live of the lease.
const RENEWALS_PER_LEASE: u32 = 4;
/// When a renewal without an answer is repeated, while its answer may still come.
const RENEWAL_REPEAT_DELAY: Duration = Duration::from_millis(500);
/// The delay after a failed renewal.
const RENEWAL_RETRY_DELAY: Duration = Duration::from_millis(250);
/// How much longer than its wait time a report poll may take before it times out.
const REPORT_POLL_MARGIN: Duration = Duration::from_millis(900);
/// Timeout of orders to an agent, which waits up to 600 ms for its worker.
const ORDERS_TIMEOUT: Duration = Duration::from_millis(1_300);
/// The pause between two reports of an agent while the jobs are being loaded. Their lists
/// are applied only afterwards, so the pause ends with the load.
const LOADING_POLL_PAUSE: Duration = Duration::from_millis(500);
/// The delay after a failed call to an agent.
const AGENT_RETRY_DELAY: Duration = Duration::from_millis(200);
/// The number of updates after which a new owner that loads the jobs handles replies.
const UPDATES_PER_TURN: usize = 32;
/// The maximum time to write the last records when a term ends in the orderly way.
const FINAL_FLUSH_TIMEOUT: Duration = Duration::from_secs(1);

/// The key in the store that makes this entry the owner.
#[derive(Clone, Debug)]
pub(super) struct Claim {
    pub(super) record: OwnerRecord,
    pub(super) lease: LeaseId,
    /// The revision at which the epoch of this term was written.
    pub(super) epoch_revision: StoreRevision,
    /// When the call was sent that wrote the key.
    pub(super) proved_at: Time,
}

/// A running term.
pub(super) struct Term {
    clock: SteadyClock,
    pub(super) store: Arc<dyn Store>,
    secrets: Secrets,
    pub(super) claim: Claim,
    /// The lease of the key of the owner, which changes if the first one expires.
    lease: Mutex<LeaseId>,
    owner: Mutex<Owner>,
    /// Updates received before the jobs are loaded; `None` afterwards.
    early_updates: Mutex<Option<Vec<KeyUpdate>>>,
    agents: Mutex<BTreeMap<VmName, Agent>>,
    /// When the last call was sent that proved that there is no other owner.
    proved_at: Mutex<Time>,
    is_over: AtomicBool,
    /// Whether this owner hands the jobs over to a larger entry.
    is_stepping_down: AtomicBool,
    over_signal: Signal,
    /// Whether this owner knows the note of the previous owner; it calls no agent before.
    knows_note: AtomicBool,
    /// Notified when the jobs are loaded.
    loaded_signal: Signal,
    /// Whether the journal stops after the records that are due now.
    pub(super) is_finishing: AtomicBool,
    /// Notified when records have to be written.
    pub(super) records_changed: Signal,
    /// Notified when a scheduling pass is due later.
    pass_delayed: Signal,
    /// Notified when the owner waits for a proof of its ownership.
    proof_wanted: Signal,
}

struct Agent {
    peer: Peer,
    /// The revision of the key of the agent in the store.
    revision: StoreRevision,
    _report_polls: Task<()>,
}

/// Owns the jobs until the term is over or the entry stops.
pub(super) async fn run(shared: &Arc<Shared>, claim: Claim, secrets: Secrets) {
    let (epoch, timing) = (claim.record.epoch, shared.settings.timing);
    tracing::info!(epoch, "this entry owns the jobs");
    let name = shared.settings.name.clone();
    let started_at = shared.clock.now();
    let term = Arc::new(Term {
        clock: shared.clock,
        store: Arc::clone(&shared.store),
        secrets,
        owner: Mutex::new(Owner::new(name, epoch, timing, started_at)),
        early_updates: Mutex::new(Some(Vec::new())),
        agents: Mutex::default(),
        proved_at: Mutex::new(claim.proved_at),
        is_over: AtomicBool::new(false),
        is_stepping_down: AtomicBool::new(false),
        over_signal: Signal::new(),
        knows_note: AtomicBool::new(false),
        loaded_signal: Signal::new(),
        is_finishing: AtomicBool::new(false),
        records_changed: Signal::new(),
        pass_delayed: Signal::new(),
        proof_wanted: Signal::new(),
        lease: Mutex::new(claim.lease),
        claim,
    });
    term.record_proof(term.claim.proved_at);
    term.apply_event(Event::LoadingJobs);
    shared.set_term(Some(Arc::clone(&term)));
    shared.candidacy().start_term(shared.clock.now());
    let renewing = smol::spawn(renew(Arc::clone(&term), timing.owner_key, timing.ownership));
    let journal = smol::spawn(journal::run(Arc::clone(&term)));
    // Neither the jobs nor other records wait for the weights.
    let learning = smol::spawn(interference::run(Arc::clone(&term), shared.metrics.clone()));
    let serving = async {
        load_jobs(shared, &term).await;
        let ticking = smol::spawn(tick(Arc::clone(shared), Arc::clone(&term)));
        let passing = smol::spawn(run_delayed_passes(Arc::clone(&term)));
        let comparing = smol::spawn(candidacy::step_down_when_smaller(
            Arc::clone(shared),
            Arc::clone(&term),
        ));
        wait_for_term_end(shared, &term).await;
        comparing.cancel().await;
        ticking.cancel().await;
        passing.cancel().await;
    };
    let ended = async { wait_for_term_end(shared, &term).await };
    serving.or(ended).await;
    learning.cancel().await;
    let is_stepping_down = term.is_stepping_down.load(Ordering::Relaxed);
    let is_orderly = shared.is_stopping() || is_stepping_down;
    // Agents are called meanwhile, so that leases are renewed.
    match is_orderly {
        true => write_last_records(&term, journal).await,
        false => drop(journal),
    }
    // Without updates the term gets no new agents, so it sends no orders after the note.
    shared.set_term(None);
    term.agents().clear();
    let last_served = Instant::now();
    // A renewal that finds no key would write it again.
    renewing.cancel().await;
    let hands_over = is_orderly && !term.is_over();
    let is_released = hands_over && hand_over(&term, timing.owner_key).await;
    if is_stepping_down {
        let now = shared.clock.now();
        match term.is_loaded() {
            true => shared.candidacy().finish_hand_over(now),
            false => shared.candidacy().finish_failed_load(now),
        }
    }
    term.end();
    tracing::info!(
        epoch,
        hands_over,
        is_released,
        is_loaded = term.is_loaded(),
        term_ms = shared.clock.now().since(started_at).as_millis() as u64,
        unserved_ms = last_served.elapsed().as_millis() as u64,
        "this entry no longer owns the jobs"
    );
}

async fn wait_for_term_end(shared: &Shared, term: &Term) {
    loop {
        let over_signal = term.over_signal.listen();
        let changed = shared.owner_changed.listen();
        let is_stepping_down = term.is_stepping_down.load(Ordering::Relaxed);
        if term.is_over() || is_stepping_down {
            return;
        }
        let signal = over_signal.or(changed);
        let Some(until) = shared.keeps_jobs_until() else {
            signal.await;
            continue;
        };
        let now = shared.clock.now();
        if until.passed(now) {
            return;
        }
        let timer = async {
            smol::Timer::after(until.remaining(now)).await;
        };
        signal.or(timer).await;
    }
}

/// Lets the journal write the last records, for a limited time.
async fn write_last_records(term: &Term, journal: Task<()>) {
    let started_at = Instant::now();
    term.is_finishing.store(true, Ordering::Relaxed);
    term.records_changed.notify(usize::MAX);
    let finished = async {
        journal.await;
        true
    };
    let timed_out = async {
        smol::Timer::after(FINAL_FLUSH_TIMEOUT).await;
        false
    };
    let is_flushed = finished.or(timed_out).await;
    tracing::info!(
        epoch = term.claim.record.epoch,
        is_flushed,
        flush_ms = started_at.elapsed().as_millis() as u64,
        "last records of this owner"
    );
}

/// Writes the note for the next owner and deletes the key of this one, so that it can start
/// at once; tries again until the key would have expired. Returns whether the key is deleted.
async fn hand_over(term: &Term, owner_key: Duration) -> bool {
    tracing::info!(
        epoch = term.claim.record.epoch,
        "giving up the ownership of the jobs to the next owner"
    );
    let give_up_at = term.now() + owner_key;
    let mut backoff = store::backoff::Backoff::with_random_seed();
    loop {
        let Err(error) = try_hand_over(term).await else {
            return true;
        };
        if backoff.failures() == 0 {
            tracing::warn!(%error, "can't hand the jobs over to the next owner; trying again");
        }
        let delay = backoff.next_delay().min(RENEWAL_RETRY_DELAY);
        if (give_up_at - delay).passed(term.now()) {
            tracing::warn!(%error, "jobs not handed over; the next owner waits until the key has expired");
            return false;
        }
        smol::Timer::after(delay).await;
    }
}

/// Makes one attempt, which is refused if a later term has started.
async fn try_hand_over(term: &Term) -> Result<(), StoreError> {
    let mut ops = vec![Op::Delete(KeyRange::one(keys::OWNER))];
    if let Some(note) = note(term).await? {
        let value =
            serde_json::to_vec(&note).map_err(|error| StoreError::not_run(error.to_string()))?;
        ops.push(Op::put(keys::HANDOVER, value));
    }
    let txn = Txn {
        compares: vec![term.is_latest_term()],
        ops,
        otherwise: Vec::new(),
    };
    term.store.txn(txn).await.map(|_| ())
}

/// Returns the note for the next owner. An owner that has not read the note of the previous one
/// has called no agent, so it passes that note on; `None` if there is none.
async fn note(term: &Term) -> Result<Option<Handover>, StoreError> {
    if term.knows_note.load(Ordering::Relaxed) {
        return Ok(Some(term.owner().handover(term.now())));
    }
    let found = term.store.range(KeyRange::one(keys::HANDOVER), 1).await?;
    let note = read_handover(&found.kvs);
    Ok(note.and_then(|note| note.passed_on(term.claim.record.epoch)))
}

/// Applies the handover of the previous owner, if there is one.
fn apply_handover(term: &Term, kvs: &[KeyValue]) {
    if let Some(handover) = read_handover(kvs) {
        term.apply_event(Event::HandedOver(handover));
    }
}

fn read_handover(kvs: &[KeyValue]) -> Option<Handover> {
    let kv = kvs.iter().find(|kv| kv.key == keys::HANDOVER)?;
    match serde_json::from_slice(&kv.value) {
        Ok(handover) => Some(handover),
        Err(error) => {
            tracing::error!(%error, "can't decode the handover of the previous owner");
            None
        }
    }
}

/// Loads all jobs, then applies the updates received meanwhile.
async fn load_jobs(shared: &Shared, term: &Arc<Term>) {
    let started_at = Instant::now();
    if let Err(error) = call_agents(shared, term).await {
        tracing::info!(%error, "can't read the keys of the agents; calling them once the jobs are loaded");
    }
    let mut backoff = store::backoff::Backoff::with_random_seed();
    // The store may refuse the reads of this entry alone.
    let give_up_at = term.now() + shared.settings.timing.owner_key;
    let kvs = loop {
        let error = match read_all(shared).await {
            Ok(kvs) => break kvs,
            Err(error) => error,
        };
        if backoff.failures() == 0 {
            tracing::warn!(%error, "can't load the jobs; trying again");
        }
        let has_other_entry = shared.index().has_other_entry(&shared.settings.name);
        if give_up_at.passed(term.now()) && has_other_entry {
            tracing::warn!(
                %error,
                epoch = term.claim.record.epoch,
                failed_reads = backoff.failures() + 1,
                waited_ms = started_at.elapsed().as_millis() as u64,
                "can't load the jobs; handing them over to another entry"
            );
            term.step_down();
        }
        smol::Timer::after(backoff.next_delay()).await;
    };
    if let Some(config) = shared.config.load_full() {
        term.handle(Event::Config(config));
    }
    let zones_out = shared.index().zones_out.clone();
    term.handle(Event::ZonesOut(zones_out));
    follow::pass_operator_items_on(shared, term);
    if !term.knows_note.swap(true, Ordering::Relaxed) {
        apply_handover(term, &kvs);
    }
    let updates = jobs_first(&kvs);
    let read_ms = started_at.elapsed().as_millis() as u64;
    let progress = progress_records(&updates);
    for (number, update) in updates.iter().enumerate() {
        term.apply_update(update, &progress);
        // Replies of agents are handled meanwhile.
        if number % UPDATES_PER_TURN == 0 {
            smol::future::yield_now().await;
        }
    }
    let early_updates = term.early_updates().take().unwrap_or_default();
    term.apply(&early_updates);
    term.handle(Event::JobsLoaded);
    term.loaded_signal.notify(usize::MAX);
    tracing::info!(
        epoch = term.claim.record.epoch,
        items = kvs.len(),
        facts = updates.len(),
        failed_reads = backoff.failures(),
        read_ms,
        load_ms = started_at.elapsed().as_millis() as u64,
        "jobs loaded by the new owner"
    );
}

/// Starts to call the agents before the jobs are loaded, since leases run out meanwhile.
async fn call_agents(shared: &Shared, term: &Arc<Term>) -> Result<(), StoreError> {
    let handover = shared.store.range(KeyRange::one(keys::HANDOVER), 1).await?;
    let mut agents = shared.store.range(keys::all_agents(), 0).await?;
    apply_handover(term, &handover.kvs);
    term.knows_note.store(true, Ordering::Relaxed);
    // Short terms must not miss the same agents each time.
    agents.kvs.shuffle(&mut rand::rng());
    for kv in &agents.kvs {
        if let Some(KeyUpdate::Agent(vm, address, revision)) = parse_item(kv) {
            term.add_agent(&vm, address, revision);
        }
    }
    Ok(())
}

/// Reads jobs that agents have reported and that the owner does not know.
async fn read_jobs(term: Arc<Term>, jobs: Vec<JobName>) {
    let mut backoff = store::backoff::Backoff::with_random_seed();
    for job in jobs {
        loop {
            if term.is_over() {
                return;
            }
            match submit::read_job_keys(&*term.store, &job).await {
                Ok(kvs) if kvs.is_empty() => {
                    term.handle(Event::NotStored(job));
                    break;
                }
                Ok(kvs) => {
                    term.apply(&jobs_first(&kvs));
                    break;
                }
                Err(error) => {
                    if backoff.failures() == 0 {
                        tracing::warn!(%job, %error, "can't read a job that an agent has reported; trying again");
                    }
                    smol::Timer::after(backoff.next_delay()).await;
                }
            }
        }
    }
}

async fn read_all(shared: &Shared) -> Result<Vec<KeyValue>, StoreError> {
    let mut kvs = shared.store.range(keys::followed(), 0).await?.kvs;
    // The progress records are read after the jobs, so that none is missed. A record of
    // a job that has ended meanwhile is harmless.
    kvs.extend(shared.store.range(keys::all_progress(), 0).await?.kvs);
    Ok(kvs)
}

async fn tick(shared: Arc<Shared>, term: Arc<Term>) {
    let mut load = LoadMeter::new();
    loop {
        let due_at = Instant::now() + TICK_INTERVAL;
        smol::Timer::at(due_at).await;
        let late_by = due_at.elapsed();
        term.handle(Event::Tick);
        if term.owner().needs_proof(term.now()) {
            term.proof_wanted.notify(1);
        }
        load.tick(late_by, &term.owner(), &shared.metrics);
        let departed = term.owner().take_departed();
        for vm in departed {
            term.remove_agent(&vm);
        }
        let expired_jobs = term.owner().take_forgotten();
        if !expired_jobs.is_empty() {
            let term = Arc::clone(&term);
            smol::spawn(async move { journal::remove_ended(&term, &expired_jobs).await }).detach();
        }
    }
}

/// Starts the scheduling passes that had to wait.
async fn run_delayed_passes(term: Arc<Term>) {
    let next = || {
        if term.is_over() {
            return NextPass::Never;
        }
        match term.owner().next_pass() {
            Some(at) => NextPass::In(at.remaining(term.now())),
            None => NextPass::NotDelayed,
        }
    };
    passes::run_delayed(&term.pass_delayed, next, || term.handle(Event::PassDue)).await;
}

/// Renews the lease, and writes the key of the owner again if the lease expired while no
/// other entry became the owner.
async fn renew(term: Arc<Term>, owner_key: Duration, ownership: Duration) {
    let mut is_store_unavailable = false;
    loop {
        let proved_at = *lock(&term.proved_at);
        let now = term.clock.now();
        if (proved_at + ownership).passed(now) {
            tracing::warn!("ownership not proved in time; the term ends");
            term.end();
            return;
        }
        let lease = *lock(&term.lease);
        let renewed = match keep_alive(&*term.store, lease).await {
            Ok(true) => {
                term.record_proof(now);
                Ok(true)
            }
            Ok(false) => reacquire_key(&term, owner_key, now).await,
            Err(error) => Err(error),
        };
        match renewed {
            Ok(true) => {
                if is_store_unavailable {
                    tracing::info!("store available again; ownership proved");
                }
                is_store_unavailable = false;
                let timer = async {
                    smol::Timer::after(owner_key / RENEWALS_PER_LEASE).await;
                };
                timer.or(term.proof_wanted.listen()).await;
            }
            Ok(false) => {
                tracing::warn!("another entry owns the jobs; the term ends");
                term.end();
                return;
            }
            Err(error) => {
                if !is_store_unavailable {
                    tracing::warn!(%error, "store unavailable; ownership can't be proved");
                }
                is_store_unavailable = true;
                smol::Timer::after(RENEWAL_RETRY_DELAY).await;
            }
        }
    }
}

/// Renews a lease, with a second attempt if the first is not answered soon.
async fn keep_alive(store: &dyn Store, lease: LeaseId) -> Result<bool, StoreError> {
    let started_at = Instant::now();
    let mut first = pin!(async { (1, store.keep_alive(lease).await) });
    let mut second = pin!(async {
        proto::expire(RENEWAL_REPEAT_DELAY).await;
        (2, store.keep_alive(lease).await)
    });
    match first.as_mut().or(second.as_mut()).await {
        (_, Ok(is_renewed)) => Ok(is_renewed),
        (1, Err(error)) if started_at.elapsed() < RENEWAL_REPEAT_DELAY => Err(error),
        (1, Err(_)) => second.await.1,
        (_, Err(_)) => first.await.1,
    }
}

/// Writes the key of the owner again; returns whether no other entry had become the owner.
async fn reacquire_key(
    term: &Term,
    owner_key: Duration,
    sent_at: Time,
) -> Result<bool, StoreError> {
    let lease = term.store.grant(owner_key).await?;
    let claim = &term.claim;
    let txn = Txn {
        compares: vec![
            term.is_latest_term(),
            Compare::Absent(keys::OWNER.to_owned()),
        ],
        ops: vec![campaign::put_owner(&claim.record, lease)?],
        otherwise: Vec::new(),
    };
    let reply = match term.store.txn(txn).await {
        Ok(reply) => reply,
        Err(error) => {
            // Without the lease the next attempt can't find a key that this one wrote.
            campaign::revoke(&*term.store, lease).await;
            return Err(error);
        }
    };
    if !reply.succeeded {
        campaign::revoke(&*term.store, lease).await;
        return Ok(false);
    }
    tracing::info!("lease of the owner had expired; key written again");
    *lock(&term.lease) = lease;
    term.record_proof(sent_at);
    Ok(true)
}

impl Term {
    pub(super) fn owner(&self) -> MutexGuard<'_, Owner> {
        lock(&self.owner)
    }

    fn agents(&self) -> MutexGuard<'_, BTreeMap<VmName, Agent>> {
        lock(&self.agents)
    }

    fn is_loaded(&self) -> bool {
        self.early_updates().is_none()
    }

    async fn wait_until_loaded(&self) {
        loop {
            let loaded_signal = self.loaded_signal.listen();
            if self.is_loaded() {
                return;
            }
            loaded_signal.await;
        }
    }

    fn early_updates(&self) -> MutexGuard<'_, Option<Vec<KeyUpdate>>> {
        lock(&self.early_updates)
    }

    /// Records a call, sent at this time, that proved the ownership.
    pub(super) fn record_proof(&self, sent_at: Time) {
        {
            let mut proved_at = lock(&self.proved_at);
            *proved_at = proved_at.max(sent_at);
        }
        self.apply_event(Event::OwnershipProved(sent_at));
    }

    /// Returns the condition that no later term has started.
    pub(super) fn is_latest_term(&self) -> Compare {
        Compare::ModifiedAt(keys::EPOCH.to_owned(), self.claim.epoch_revision)
    }

    pub(super) fn now(&self) -> Time {
        self.clock.now()
    }

    /// Ends the term and wakes the tasks that wait for its end.
    pub(super) fn end(&self) {
        self.is_over.store(true, Ordering::Relaxed);
        self.over_signal.notify(usize::MAX);
    }

    /// Ends the term in the orderly way, so that another entry can own the jobs.
    pub(super) fn step_down(&self) {
        self.is_stepping_down.store(true, Ordering::Relaxed);
        self.over_signal.notify(usize::MAX);
    }

    /// Waits until the term is over.
    pub(super) async fn wait_until_over(&self) {
        loop {
            let over_signal = self.over_signal.listen();
            if self.is_over() {
                return;
            }
            over_signal.await;
        }
    }

    pub(super) fn is_over(&self) -> bool {
        self.is_over.load(Ordering::Relaxed)
    }

    pub(super) fn pending_jobs(&self, queue: &str) -> Option<usize> {
        self.owner().pending_jobs(queue)
    }

    /// Returns the last summary of the load and its age; `None` before the first one.
    pub(super) fn load_summary(&self) -> Option<(Arc<LoadSummary>, Duration)> {
        self.owner().load_summary(self.now())
    }

    pub(super) fn has_started(&self, job: &JobName) -> Option<bool> {
        self.owner().has_started(job)
    }

    /// Applies changes in the store, or keeps them until the jobs are loaded.
    pub(super) fn take_updates(self: &Arc<Self>, updates: &[KeyUpdate]) {
        if self.is_loaded() {
            return self.apply(updates);
        }
        // An agent that registers or moves meanwhile is called at once like the others.
        let knows_note = self.knows_note.load(Ordering::Relaxed);
        for update in updates {
            if let (true, KeyUpdate::Agent(vm, address, revision)) = (knows_note, update) {
                self.add_agent(vm, *address, *revision);
            }
        }
        if let Some(early_updates) = self.early_updates().as_mut() {
            early_updates.extend_from_slice(updates);
        }
    }

    fn apply(self: &Arc<Self>, updates: &[KeyUpdate]) {
        let progress = progress_records(updates);
        for update in updates {
            self.apply_update(update, &progress);
        }
        self.dispatch();
    }

    /// Applies an update; `progress` holds the records of all jobs among the updates.
    fn apply_update(self: &Arc<Self>, update: &KeyUpdate, progress: &ProgressRecords<'_>) {
        match update {
            KeyUpdate::Job(job) => {
                let record = progress.get(&job.name);
                let progress = record.map(|(progress, revision)| ((*progress).clone(), *revision));
                let job = Arc::clone(job);
                self.apply_event(Event::Job { job, progress });
            }
            KeyUpdate::Cancelled(name) => self.apply_event(Event::Cancelled(name.clone())),
            KeyUpdate::Ended(name, outcome) => {
                self.apply_event(Event::Ended(name.clone(), *outcome));
            }
            KeyUpdate::Agent(vm, address, revision) => self.add_agent(vm, *address, *revision),
            KeyUpdate::Owner(Some(record)) if record.epoch > self.claim.record.epoch => {
                tracing::warn!(
                    owner = %record.entry,
                    epoch = record.epoch,
                    "a later owner has taken over; the term ends"
                );
                self.end();
            }
            KeyUpdate::Progress(..)
            | KeyUpdate::Owner(_)
            | KeyUpdate::Announced(..)
            | KeyUpdate::Withdrawn(_)
            | KeyUpdate::Forgotten(_) => {}
        }
    }

    /// Starts to poll the reports of an agent, or updates the revision of its key.
    fn add_agent(self: &Arc<Self>, vm: &VmName, address: SocketAddr, revision: StoreRevision) {
        self.apply_event(Event::Vm(vm.clone()));
        let mut agents = self.agents();
        if let Some(known) = agents.get_mut(vm)
            && known.peer.address() == address
        {
            known.revision = revision;
            return;
        }
        let peer = Peer::new(address, self.secrets.clone());
        let report_polls =
            smol::spawn(poll_reports(Arc::downgrade(self), vm.clone(), peer.clone()));
        agents.insert(
            vm.clone(),
            Agent {
                peer,
                revision,
                _report_polls: report_polls,
            },
        );
    }

    /// Deletes the key of an agent that is gone, so that a later owner does not wait for
    /// it. An agent that is still running writes its key again, but until then nobody would
    /// wait for what a later owner has started there.
    fn remove_agent(self: &Arc<Self>, vm: &VmName) {
        let Some(agent) = self.agents().remove(vm) else {
            return;
        };
        let key = keys::agent(vm);
        let txn = Txn {
            compares: vec![
                self.is_latest_term(),
                Compare::ModifiedAt(key.clone(), agent.revision),
            ],
            ops: vec![Op::Delete(KeyRange::one(key))],
            otherwise: Vec::new(),
        };
        let (store, vm) = (Arc::clone(&self.store), vm.clone());
        smol::spawn(async move {
            match store.txn(txn).await {
                Ok(reply) => {
                    tracing::info!(%vm, is_deleted = reply.succeeded, "key of an agent that is gone");
                }
                Err(error) => {
                    tracing::info!(%vm, %error, "can't delete the key of an agent that is gone; a later owner may wait for it");
                }
            }
        })
        .detach();
    }

    /// Handles an event and sends the orders that result from it.
    pub(super) fn handle(self: &Arc<Self>, event: Event) {
        self.apply_event(event);
        self.dispatch();
    }

    fn apply_event(&self, event: Event) {
        if self.is_over() {
            return;
        }
        let now = self.now();
        let mut owner = self.owner();
        owner.handle(now, time::wall_time(), event);
        owner.record_elapsed(now, self.now().since(now));
        if let Some(epoch) = owner.deposed_by() {
            tracing::warn!(epoch, "an agent has accepted a later owner; the term ends");
            self.end();
        }
    }

    /// Sends the waiting orders and wakes the journal if records have to be written.
    pub(super) fn dispatch(self: &Arc<Self>) {
        if self.is_over() {
            return;
        }
        let now = self.now();
        let agents = self.agents();
        let mut owner = self.owner();
        for vm in owner.vms_with_orders() {
            let Some(agent) = agents.get(&vm) else {
                continue;
            };
            if let Some(orders) = owner.take_orders(now, &vm) {
                let peer = agent.peer.clone();
                smol::spawn(send_orders(Arc::clone(self), vm, peer, orders)).detach();
            }
        }
        let has_changes = owner.has_changes();
        let is_pass_delayed = owner.next_pass().is_some();
        let unknown_jobs = owner.take_unknown_jobs();
        drop((owner, agents));
        if !unknown_jobs.is_empty() {
            smol::spawn(read_jobs(Arc::clone(self), unknown_jobs)).detach();
        }
        if has_changes {
            self.records_changed.notify(1);
        }
        if is_pass_delayed {
            self.pass_delayed.notify(1);
        }
    }
}

/// Progress records and their revisions, by job.
type ProgressRecords<'a> = BTreeMap<&'a JobName, (&'a steps::Progress, StoreRevision)>;

fn progress_records(updates: &[KeyUpdate]) -> ProgressRecords<'_> {
    let mut records = BTreeMap::new();
    for update in updates {
        if let KeyUpdate::Progress(job, progress, revision) = update {
            records.insert(job, (progress, *revision));
        }
    }
    records
}

async fn send_orders(term: Arc<Term>, vm: VmName, peer: Peer, orders: Orders) {
    let reply = match peer
        .call::<OrdersCall>(orders.clone(), ORDERS_TIMEOUT)
        .await
    {
        Ok(reply) => Some(reply),
        Err(error) => {
            tracing::info!(%vm, %error, starts = orders.starts.len(), "orders not answered by the agent; they may have been carried out");
            None
        }
    };
    if reply.is_none() {
        peer.reset();
        smol::Timer::after(AGENT_RETRY_DELAY).await;
    }
    term.handle(Event::OrdersAnswered {
        vm,
        orders: Box::new(orders),
        reply,
    });
}

async fn poll_reports(term: std::sync::Weak<Term>, vm: VmName, peer: Peer) {
    loop {
        let Some(term) = term.upgrade().filter(|term| !term.is_over()) else {
            return;
        };
        let Some(report_poll) = term.owner().next_report_poll(term.now(), &vm) else {
            return;
        };
        let has_echo = report_poll.header.echo.is_some();
        let timeout = Duration::from_millis(report_poll.wait_millis) + REPORT_POLL_MARGIN;
        let called_at = Instant::now();
        let result = peer.call::<ReportPollCall>(report_poll, timeout).await;
        match result {
            Ok(report) => {
                term.handle(Event::Report {
                    vm: vm.clone(),
                    report: Box::new(report),
                });
                if has_echo {
                    pause_while_loading(&term).await;
                }
            }
            Err(error) => {
                tracing::debug!(%vm, %error, "agent did not answer a report poll");
                let waited = called_at.elapsed();
                let failure = PollFailure {
                    waited,
                    timer_late_by: waited.saturating_sub(timeout),
                    error: error.to_string(),
                };
                peer.reset();
                term.handle(Event::Unreachable(vm.clone(), failure));
                smol::Timer::after(AGENT_RETRY_DELAY).await;
            }
        }
    }
}

async fn pause_while_loading(term: &Term) {
    if term.is_loaded() {
        return;
    }
    let pause = async {
        smol::Timer::after(LOADING_POLL_PAUSE).await;
    };
    pause.or(term.wait_until_loaded()).await;
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
