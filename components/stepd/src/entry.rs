//! The entry daemon: accepts the calls of clients and may own all jobs.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError},
    time::{Duration, Instant},
};

use arc_swap::ArcSwapOption;
use event_listener::Event;
use futures_lite::{FutureExt, future::zip};
use kernel::{BootInstant, EntryName, Time, secret::Secrets};
use observe::{ListenError, listen};
use smol::{Task, lock::Semaphore};
use steps::{Candidacy, Config, Timing, contact::StoreContact};
use store::Store;

use crate::{
    SteadyClock,
    edge::Codec,
    http1::{self, DEFAULT_LIMITS, Guard, Refusals, SMALL_BODY_LIMITS, ServerSetup},
};

mod admission;
mod calls;
mod campaign;
mod candidacy;
mod follow;
mod index;
pub mod interference;
mod journal;
mod load;
mod pending;
mod submit;
mod term;

use crate::metrics::{self, EntryMetrics};
use index::Index;
use term::Term;

/// The settings of an entry.
#[derive(Clone, Debug)]
pub struct EntrySettings {
    /// The name of the entry, unique among all entries.
    pub name: EntryName,
    /// The address at which the entry listens for clients.
    pub client_address: SocketAddr,
    /// The address of the readiness check of the load balancer.
    pub readiness_address: SocketAddr,
    /// The address at which the entry listens for other entries.
    pub internal_address: SocketAddr,
    /// The maximum number of open connections from clients.
    pub max_connections: usize,
    /// The maximum duration of a graceful stop.
    pub stop_timeout: Duration,
    /// The processor capacity in thousandths of a core; `None` if it is unknown.
    pub cpu_milli: Option<u64>,
    /// How old a configuration may be to answer calls by it: how long ago it was last known
    /// to be the newest one.
    pub max_config_age: Duration,
    /// The durations on which owners and agents must agree.
    pub timing: Timing,
    /// The address of the metrics; `None` if none are served.
    pub metrics_address: Option<SocketAddr>,
    /// The memory of the machine in bytes; `None` if it is unknown.
    pub memory_bytes: Option<u64>,
}

/// How long the load balancer may take to notice that an entry is not ready: it checks
/// once a second and acts on the second result.
const BALANCER_DELAY: Duration = Duration::from_millis(2_300);
/// How long an owner that stops keeps the jobs if no other entry is there: less than
/// [`BALANCER_DELAY`], so that the stop takes no longer.
const SUCCESSOR_WAIT: Duration = Duration::from_secs(2);
/// The maximum number of open connections from the load balancer.
const MAX_READINESS_CONNECTIONS: usize = 64;

/// The maximum number of clients' calls that read a job from the store at a time. Reads beyond
/// the rate limit of the store wait, so that unlimited ones would occupy all connections.
const MAX_JOB_READS: usize = 32;
/// The maximum number of calls that wait for such a read or make one. A connection whose call
/// waits is not closed in favour of a new one, so further calls are refused at once.
const MAX_QUEUED_JOB_READS: usize = 64;

/// An entry that runs in this process.
pub struct Entry {
    shared: Arc<Shared>,
    stop_clients: async_channel::Sender<()>,
    serving: Task<()>,
    campaign: Task<()>,
    announcing: Task<()>,
    running: Vec<Task<()>>,
}

impl std::fmt::Debug for Entry {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Entry").finish_non_exhaustive()
    }
}

/// State that the tasks of an entry share.
pub(crate) struct Shared {
    settings: EntrySettings,
    clock: SteadyClock,
    store: Arc<dyn Store>,
    codec: Arc<dyn Codec>,
    config: ArcSwapOption<Config>,
    /// When the items of operators known here were last known to be the newest ones.
    operator_items_at: Mutex<Option<Time>>,
    index: Mutex<Index>,
    /// What this entry knows of the capacities of the others.
    candidacy: Mutex<Candidacy>,
    /// The current term; `None` while this entry does not own the jobs.
    term: Mutex<Option<Arc<Term>>>,
    store_contact: Mutex<StoreContact>,
    /// When this entry was told to stop.
    stopping_since: OnceLock<Time>,
    /// The secret of all entries and agents; `None` until it has been read from the store.
    secrets: Mutex<Option<Secrets>>,
    /// Notified when the owner may have changed or the entry stops.
    owner_changed: Event,
    /// What this entry knows of the load, from the owner.
    load: admission::LoadCache,
    metrics: EntryMetrics,
    refusals: Refusals,
    /// Permits for reads of jobs that this entry does not know.
    job_reads: Semaphore,
    /// Permits for calls that wait for such a read or make one.
    job_read_queue: Semaphore,
}

impl Shared {
    fn index(&self) -> MutexGuard<'_, Index> {
        self.index.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn candidacy(&self) -> MutexGuard<'_, Candidacy> {
        self.candidacy
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn term(&self) -> Option<Arc<Term>> {
        let term = self.term.lock().unwrap_or_else(PoisonError::into_inner);
        term.clone()
    }

    fn set_term(&self, term: Option<Arc<Term>>) {
        self.metrics.set_owner(term.is_some());
        *self.term.lock().unwrap_or_else(PoisonError::into_inner) = term;
    }

    fn secrets(&self) -> Option<Secrets> {
        let secrets = self.secrets.lock().unwrap_or_else(PoisonError::into_inner);
        secrets.clone()
    }

    fn set_secrets(&self, secrets: Secrets) {
        *self.secrets.lock().unwrap_or_else(PoisonError::into_inner) = Some(secrets);
    }

    fn record_store_reply(&self) {
        let now = self.clock.now();
        let mut contact = self
            .store_contact
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        contact.record_reply(now);
    }

    fn store_contact(&self) -> StoreContact {
        *self
            .store_contact
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn record_operator_items(&self, complete_at: BootInstant) {
        let at = self.clock.time_of(complete_at);
        let mut operator_items_at = self
            .operator_items_at
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        *operator_items_at = (*operator_items_at).max(Some(at));
    }

    /// Returns when the items of operators known here were last known to be the newest ones.
    fn operator_items_at(&self) -> Option<Time> {
        *self
            .operator_items_at
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns how long ago the configuration was last known to be the newest one; `None` if
    /// there is none.
    fn config_age(&self) -> Option<Duration> {
        let at = self.operator_items_at()?;
        Some(self.clock.now().since(at))
    }

    fn has_current_config(&self) -> bool {
        let age = self.config_age();
        self.config.load().is_some() && age.is_some_and(|age| age <= self.settings.max_config_age)
    }

    fn is_stopping(&self) -> bool {
        self.stopping_since.get().is_some()
    }

    /// Returns until when this entry may keep the jobs; `None` if it is not told to stop.
    ///
    /// A stopping entry hands the jobs over at once if another entry is there, and otherwise
    /// while it waits for the load balancer.
    fn keeps_jobs_until(&self) -> Option<Time> {
        let since = *self.stopping_since.get()?;
        if self.index().has_other_entry(&self.settings.name) {
            return Some(since);
        }
        Some(since + SUCCESSOR_WAIT.min(self.settings.stop_timeout / 2))
    }

    /// Returns whether the load balancer should send clients to this entry.
    fn is_ready(&self) -> bool {
        !self.is_stopping()
            && self.has_current_config()
            && self.store_contact().is_reachable(self.clock.now())
    }
}

/// Starts an entry.
///
/// # Errors
///
/// Returns a [`ListenError`] if a port can't be opened.
pub async fn start(
    settings: EntrySettings,
    store: Arc<dyn Store>,
    codec: Arc<dyn Codec>,
) -> Result<Entry, ListenError> {
    let (clients, _) = listen("clients", settings.client_address).await?;
    let (readiness, _) = listen("readiness", settings.readiness_address).await?;
    let max_connections = settings.max_connections;
    let guard = Guard::new(settings.memory_bytes);
    let candidacy = Candidacy::new(settings.name.clone(), settings.cpu_milli);
    let shared = Arc::new(Shared {
        settings,
        clock: SteadyClock::start(),
        store,
        codec,
        config: ArcSwapOption::empty(),
        operator_items_at: Mutex::default(),
        index: Mutex::default(),
        candidacy: Mutex::new(candidacy),
        term: Mutex::new(None),
        store_contact: Mutex::default(),
        stopping_since: OnceLock::new(),
        secrets: Mutex::new(None),
        owner_changed: Event::new(),
        load: admission::LoadCache::default(),
        metrics: EntryMetrics::default(),
        refusals: guard.refusals.clone(),
        job_reads: Semaphore::new(MAX_JOB_READS),
        job_read_queue: Semaphore::new(MAX_QUEUED_JOB_READS),
    });
    let (stop_clients, stop) = async_channel::bounded::<()>(1);
    let for_clients = Arc::clone(&shared);
    let limits = Arc::clone(&shared);
    let serving = smol::spawn(http1::serve(
        clients,
        ServerSetup {
            limits: move || {
                let config = limits.config.load();
                config
                    .as_ref()
                    .map_or(DEFAULT_LIMITS, |config| config.limits)
            },
            handler: move |arrived| calls::answer(Arc::clone(&for_clients), arrived),
            max_connections,
            guard: guard.clone(),
        },
        async move {
            let _ = stop.recv().await;
        },
    ));
    let for_balancer = Arc::clone(&shared);
    let balancer = http1::serve(
        readiness,
        ServerSetup {
            limits: || SMALL_BODY_LIMITS,
            handler: move |arrived| smol::future::ready(calls::readiness(&for_balancer, &arrived)),
            max_connections: MAX_READINESS_CONNECTIONS,
            guard: guard.clone(),
        },
        smol::future::pending(),
    );
    let campaign = smol::spawn(campaign::run(Arc::clone(&shared)));
    let announcing = smol::spawn(candidacy::announce(Arc::clone(&shared)));
    let running = vec![
        smol::spawn(balancer),
        smol::spawn(follow::operator_items(Arc::clone(&shared))),
        smol::spawn(follow::own_keys(Arc::clone(&shared))),
        smol::spawn(metrics::serve(
            shared.settings.metrics_address,
            shared.metrics.registry(),
            guard,
        )),
    ];
    Ok(Entry {
        shared,
        stop_clients,
        serving,
        campaign,
        announcing,
        running,
    })
}

impl Entry {
    /// Stops gracefully: hands the jobs over, waits until the load balancer has noticed,
    /// then accepts no new connections and answers the open requests.
    pub async fn stop(self) {
        let stop_called_at = Instant::now();
        let stop_timeout = self.shared.settings.stop_timeout;
        let _ = self.shared.stopping_since.set(self.shared.clock.now());
        let graceful = async {
            self.shared.owner_changed.notify(usize::MAX);
            let balancer_noticed = smol::Timer::after(BALANCER_DELAY);
            zip(self.announcing, self.campaign).await;
            let hand_over_ms = stop_called_at.elapsed().as_millis() as u64;
            balancer_noticed.await;
            let closed_at = Instant::now();
            let _ = self.stop_clients.send(()).await;
            self.serving.await;
            tracing::info!(
                hand_over_ms,
                open_calls_ms = closed_at.elapsed().as_millis() as u64,
                "open calls of clients answered"
            );
        };
        let timed_out = async {
            smol::Timer::after(stop_timeout).await;
            tracing::warn!("graceful stop timed out; stopping at once");
        };
        graceful.or(timed_out).await;
        for task in self.running {
            task.cancel().await;
        }
    }
}
