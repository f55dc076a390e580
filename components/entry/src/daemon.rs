//! Starts and stops an entry in this process.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use conf::settings::{EntrySettings, EntryTimings};
use kernel::{AvailabilityZoneName, Clock, Incarnation, secret::Secrets};
use observe::{Health, ListenError, listen};
use prometheus_client::registry::Registry;
use smol::{
    Task,
    channel::{Receiver, Sender},
};
use store::{BudgetedStore, Store};

use crate::{
    CallerFrontend, FrontendSetup, Members,
    accounts::{self, Accounts},
    caller,
    cells::{Cells, ConfigView, Setup},
    config::ConfigFollower,
    exchange, metrics,
    peers::{EntryRecord, Peers},
    system::{self, SystemService},
};

mod operators;

/// How often deadlines of members and requests are checked.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// An error on starting an entry.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// A port can't be opened.
    #[error(transparent)]
    Listen(#[from] ListenError),
}

/// The secrets that an entry accepts.
#[derive(Clone, Debug)]
pub struct EntrySecrets {
    /// Secrets that authenticate RPCs between processes of the system.
    pub system: Secrets,
    /// Secrets that authenticate operators' requests.
    pub operators: Secrets,
}

/// An entry that runs in this process. Dropping it stops it at once.
pub struct Entry {
    /// The address where the entry accepts RPCs from agents and other entries.
    pub system: SocketAddr,
    /// The address where the entry accepts callers' requests.
    pub callers: SocketAddr,
    /// The address where the entry accepts operators' requests.
    pub operators: SocketAddr,
    components: Components,
    ready: Health,
    stop_timeout: Duration,
    stop_callers: Sender<()>,
    callers_server: Task<()>,
    stop_system: Sender<()>,
    system_server: Task<()>,
    config_task: Task<()>,
    background_tasks: Vec<Task<()>>,
}

impl std::fmt::Debug for Entry {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Entry")
            .field("system", &self.system)
            .field("callers", &self.callers)
            .field("operators", &self.operators)
            .finish_non_exhaustive()
    }
}

/// The components that the tasks of an entry share.
#[derive(Clone)]
struct Components {
    clock: Clock,
    store: Arc<dyn Store>,
    system: Arc<SystemService>,
    callers: Arc<CallerFrontend>,
}

/// Starts an entry on `store`.
///
/// # Errors
///
/// Returns a [`StartError`] if a port can't be opened.
pub async fn start(
    settings: EntrySettings,
    store: Arc<dyn Store>,
    secrets: EntrySecrets,
) -> Result<Entry, StartError> {
    let clock = Clock::start();
    let (system_port, system) = listen("system", settings.system).await?;
    let (callers_port, callers) = listen("callers", settings.callers).await?;
    let (operators_port, operators) = listen("operators", settings.operators).await?;
    let own = EntryRecord {
        name: settings.name.clone(),
        incarnation: Incarnation(clock.now().0),
        system,
        operators,
    };
    let mut registry = Registry::with_prefix("hemlockmoor");
    let components = build_components(&settings, own, store, &secrets, clock, &mut registry);
    let ready = Health::default();
    let background_tasks = spawn_loops(&settings, &components);
    let in_force = apply_configs(components.clone(), ready.clone(), settings.zone.clone());
    let config_task = smol::spawn(in_force);

    let (stop_callers, callers_stop) = smol::channel::bounded(1);
    let serving = caller::serve(
        callers_port,
        Arc::clone(&components.callers),
        usize::try_from(settings.limits.connections).unwrap_or(usize::MAX),
        wait_for_stop(callers_stop),
    );
    let callers_server = smol::spawn(serving);
    let (stop_system, system_stop) = smol::channel::bounded(1);
    let system_server = smol::spawn(proto::serve(
        system_port,
        system::router(&components.system),
        secrets.system,
        wait_for_stop(system_stop),
    ));
    let mut background_tasks = background_tasks;
    background_tasks.push(operators::serve(
        operators_port,
        operators::context(&settings, &components, secrets.operators),
        ready.clone(),
        registry,
    ));
    Ok(Entry {
        system,
        callers,
        operators,
        components,
        ready,
        stop_timeout: Duration::from_millis(settings.timings.stop_millis),
        stop_callers,
        callers_server,
        stop_system,
        system_server,
        config_task,
        background_tasks,
    })
}

impl Entry {
    /// Stops gracefully: accepts no new requests, lets running ones end and hands
    /// over the cells.
    ///
    /// The setting `stop_millis` bounds the wait.
    pub async fn stop(self) {
        self.config_task.cancel().await;
        let graceful = async {
            self.ready.set_stopping();
            let _ = self.stop_callers.send(()).await;
            self.callers_server.await;
            self.components.callers.flush();
            self.components.system.cells.stop().await;
            let store = Arc::clone(&self.components.store);
            let accounts = self.components.system.accounts.clone();
            accounts::write::run(accounts, Arc::clone(&store), async {}).await;
            if let Err(error) = self.components.system.peers.unregister(&*store).await {
                tracing::warn!(%error, "failed to remove this entry's key from the store");
            }
            let _ = self.stop_system.send(()).await;
            self.system_server.await;
        };
        let expiry = async {
            smol::Timer::after(self.stop_timeout).await;
            tracing::warn!("graceful stop timed out; stopping at once");
        };
        futures_lite::future::or(graceful, expiry).await;
        for task in self.background_tasks {
            task.cancel().await;
        }
    }
}

fn build_components(
    settings: &EntrySettings,
    own: EntryRecord,
    store: Arc<dyn Store>,
    secrets: &EntrySecrets,
    clock: Clock,
    registry: &mut Registry,
) -> Components {
    let timings = &settings.timings;
    let per_second = settings.limits.store_calls_per_second;
    let budgeted = Arc::new(BudgetedStore::new(store, clock, per_second));
    let store: Arc<dyn Store> = Arc::clone(&budgeted) as Arc<dyn Store>;
    let peers = Peers::new(own.clone(), clock);
    let members = Arc::new(Members::new(clock));
    let proof = Duration::from_millis(timings.proof_millis);
    let config = ConfigFollower::with_interval(Arc::clone(&store), clock, proof);
    registry.register_collector(Box::new(metrics::StoreAndConfigMetrics::new(
        budgeted,
        Arc::clone(&config),
        clock,
    )));
    let accounts = Accounts::new(own.name.clone(), own.incarnation, clock);
    let (view, alive) = (Arc::clone(&config), Arc::clone(&peers));
    let cells = Cells::new(Setup {
        store: Arc::clone(&store),
        entry: own.name,
        address: own.system,
        incarnation: own.incarnation,
        clock,
        timing: timing(timings),
        ownership_lease: Duration::from_millis(timings.cell_lease_millis),
        config: Arc::new(move || config_view(&view)),
        live_entries: Arc::new(move || {
            alive
                .live_entries()
                .into_iter()
                .map(|entry| entry.name)
                .collect()
        }),
        secrets: secrets.system.clone(),
        seed: own.incarnation.0,
    });
    let sink = accounts.clone();
    let parts = FrontendSetup {
        members: Arc::clone(&members),
        clock,
        secrets: secrets.system.clone(),
        event_sink: Arc::new(move |event| sink.record(&event)),
        seed: own.incarnation.0,
    };
    let callers = Arc::new(CallerFrontend::new(parts, registry));
    let system = Arc::new(SystemService {
        clock,
        secrets: secrets.system.clone(),
        peers,
        members,
        cells,
        config,
        accounts,
        peer_states: Mutex::new(BTreeMap::new()),
    });
    Components {
        clock,
        store,
        system,
        callers,
    }
}

fn timing(timings: &EntryTimings) -> cell::Timing {
    let millis = Duration::from_millis;
    cell::Timing {
        lease: millis(timings.task_lease_millis),
        drift_margin: millis(timings.drift_margin_millis),
        owner_grace: millis(timings.owner_grace_millis),
        proof_max_age: millis(timings.proof_max_age_millis),
        suspect_after: millis(timings.suspect_millis),
        forget_after: millis(timings.forget_millis),
        group_interval: millis(timings.journal_group_millis),
        ..cell::Timing::default()
    }
}

fn config_view(config: &ConfigFollower) -> ConfigView {
    let in_force = config.in_force();
    ConfigView {
        objects: Arc::clone(&in_force.objects),
        revision: in_force.revision,
        proved_at: in_force.proved_at,
    }
}

fn spawn_loops(settings: &EntrySettings, components: &Components) -> Vec<Task<()>> {
    let timings = &settings.timings;
    let (store, system) = (&components.store, &components.system);
    let lease = Duration::from_millis(timings.entry_lease_millis);
    let exchange = Duration::from_millis(timings.exchange_millis);
    let config = Arc::clone(&system.config);
    vec![
        smol::spawn(Arc::clone(&system.peers).follow_keys(Arc::clone(store))),
        smol::spawn(Arc::clone(&system.peers).register(Arc::clone(store), lease)),
        smol::spawn(async move { config.run().await }),
        smol::spawn(Arc::clone(&system.cells).run()),
        smol::spawn(exchange::run(Arc::clone(system), exchange)),
        smol::spawn(tick(components.clone())),
        smol::spawn(accounts::write::run(
            system.accounts.clone(),
            Arc::clone(store),
            smol::future::pending(),
        )),
        smol::spawn(accounts::compact::run(
            system.accounts.clone(),
            Arc::clone(store),
        )),
    ]
}

/// Applies expired deadlines of members and requests.
async fn tick(components: Components) {
    loop {
        smol::Timer::after(TICK_INTERVAL).await;
        for change in components.system.members.tick() {
            tracing::info!(?change, "the membership of a VM changed");
        }
        components.callers.refresh();
    }
}

/// Passes each configuration that comes into force to the components that use it.
///
/// An entry in an availability zone that operators took out still serves
/// requests, but reports not ready, so that the load balancer sends callers to
/// other entries before the VM stops.
async fn apply_configs(components: Components, ready: Health, zone: AvailabilityZoneName) {
    let mut revision = kernel::Revision(0);
    loop {
        let in_force = components.system.config.wait_for_newer(revision).await;
        revision = in_force.revision;
        tracing::info!(revision = revision.0, "configuration in force");
        components.callers.set_config(crate::InForce {
            revision,
            objects: Arc::clone(&in_force.objects),
        });
        ready.set_ready(in_force.objects.zone_takes_work(&zone));
        let accounts = &components.system.accounts;
        accounts.record_zone_changes(revision, &in_force.objects);
    }
}

async fn wait_for_stop(stop: Receiver<()>) {
    let _ = stop.recv().await;
}
