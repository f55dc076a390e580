//! The daemon that takes clients' calls and may own the jobs.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use arc_swap::ArcSwapOption;
use event_listener::Event;
use futures_lite::FutureExt;
use kernel::{EntryName, Time, secret::Secrets};
use observe::{ListenError, listen};
use smol::Task;
use steps::{Config, Timing};
use store::Store;

use crate::{
    SteadyClock,
    edge::Codec,
    http1::{self, DEFAULT_LIMITS, ServerSetup},
};

mod answers;
mod calls;
mod campaign;
mod follow;
mod index;
mod journal;
mod submit;
mod term;

use index::Index;
use term::Term;

/// What an entry has to know.
#[derive(Clone, Debug)]
pub struct EntrySettings {
    /// Its name.
    pub name: EntryName,
    /// Where clients call.
    pub client_address: SocketAddr,
    /// Where the balancer asks whether to send clients.
    pub readiness_address: SocketAddr,
    /// Where our own processes call.
    pub internal_address: SocketAddr,
    /// The most connections of clients.
    pub max_connections: usize,
    /// How long a graceful stop may take.
    pub stop_timeout: Duration,
    /// The spans that owners and keepers agree on.
    pub timing: Timing,
}

/// How long the balancer may take to notice that an entry is not ready: it asks
/// once a second and believes the second answer.
const BALANCER_DELAY: Duration = Duration::from_millis(2_300);
/// How long the store may be silent before clients are better served elsewhere.
const STORE_SILENCE: Duration = Duration::from_millis(2_500);
/// The most connections of the balancer.
const MAX_READINESS_CONNECTIONS: usize = 64;

/// An entry that runs in this process.
pub struct Entry {
    shared: Arc<Shared>,
    stop_clients: async_channel::Sender<()>,
    serving: Task<()>,
    campaign: Task<()>,
    running: Vec<Task<()>>,
}

impl std::fmt::Debug for Entry {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Entry").finish_non_exhaustive()
    }
}

/// What the tasks of an entry share.
pub(crate) struct Shared {
    settings: EntrySettings,
    clock: SteadyClock,
    store: Arc<dyn Store>,
    codec: Arc<dyn Codec>,
    config: ArcSwapOption<Config>,
    index: Mutex<Index>,
    /// The term, while this entry owns the jobs.
    term: Mutex<Option<Arc<Term>>>,
    /// When the store was last heard.
    store_heard: Mutex<Time>,
    stopping: AtomicBool,
    /// The secret that our processes share, once it is known.
    secrets: Mutex<Option<Secrets>>,
    /// The index has changed in a way that a campaign cares for.
    owner_changed: Event,
}

impl Shared {
    fn index(&self) -> MutexGuard<'_, Index> {
        self.index.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn term(&self) -> Option<Arc<Term>> {
        let term = self.term.lock().unwrap_or_else(PoisonError::into_inner);
        term.clone()
    }

    fn set_term(&self, term: Option<Arc<Term>>) {
        *self.term.lock().unwrap_or_else(PoisonError::into_inner) = term;
    }

    fn secrets(&self) -> Option<Secrets> {
        let secrets = self.secrets.lock().unwrap_or_else(PoisonError::into_inner);
        secrets.clone()
    }

    fn set_secrets(&self, secrets: Secrets) {
        *self.secrets.lock().unwrap_or_else(PoisonError::into_inner) = Some(secrets);
    }

    fn heard_store(&self) {
        let now = self.clock.now();
        *self
            .store_heard
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = now;
    }

    /// Whether the store has been heard lately.
    fn hears_store(&self) -> bool {
        let heard = *self
            .store_heard
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        !(heard + STORE_SILENCE).passed(self.clock.now())
    }

    fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Whether the balancer should send clients here.
    fn is_ready(&self) -> bool {
        !self.is_stopping() && self.config.load().is_some() && self.hears_store()
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
    let shared = Arc::new(Shared {
        settings,
        clock: SteadyClock::start(),
        store,
        codec,
        config: ArcSwapOption::empty(),
        index: Mutex::default(),
        term: Mutex::new(None),
        store_heard: Mutex::new(Time::ZERO),
        stopping: AtomicBool::new(false),
        secrets: Mutex::new(None),
        owner_changed: Event::new(),
    });
    let (stop_clients, stop) = async_channel::bounded::<()>(1);
    let answering = Arc::clone(&shared);
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
            handler: move |arrived| calls::answer(Arc::clone(&answering), arrived),
            max_connections,
        },
        async move {
            let _ = stop.recv().await;
        },
    ));
    let asked = Arc::clone(&shared);
    let balancer = http1::serve(
        readiness,
        ServerSetup {
            limits: || DEFAULT_LIMITS,
            handler: move |arrived| smol::future::ready(calls::readiness(&asked, &arrived)),
            max_connections: MAX_READINESS_CONNECTIONS,
        },
        smol::future::pending(),
    );
    let campaign = smol::spawn(campaign::run(Arc::clone(&shared)));
    let running = vec![
        smol::spawn(balancer),
        smol::spawn(follow::operators(Arc::clone(&shared))),
        smol::spawn(follow::own(Arc::clone(&shared))),
    ];
    Ok(Entry {
        shared,
        stop_clients,
        serving,
        campaign,
        running,
    })
}

impl Entry {
    /// Stops gracefully: hands the jobs over, lets the balancer turn away, then
    /// takes no new connection and answers what is under way.
    pub async fn stop(self) {
        let stop_timeout = self.shared.settings.stop_timeout;
        self.shared.stopping.store(true, Ordering::Relaxed);
        let orderly = async {
            self.shared.owner_changed.notify(usize::MAX);
            let turned_away = smol::Timer::after(BALANCER_DELAY);
            self.campaign.await;
            turned_away.await;
            let _ = self.stop_clients.send(()).await;
            self.serving.await;
        };
        let expiry = async {
            smol::Timer::after(stop_timeout).await;
            tracing::warn!("the graceful stop took too long");
        };
        orderly.or(expiry).await;
        for task in self.running {
            task.cancel().await;
        }
    }
}
