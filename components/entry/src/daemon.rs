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
    Callers, Members, Parts,
    accounts::{self, Accounts},
    caller,
    cells::{Cells, ConfigView, Setup},
    config::Follower,
    exchange, metrics,
    peers::{EntryRecord, Peers},
    system::{self, System},
};

mod operators;

/// How often deadlines of members and requests are looked at.
const TICK: Duration = Duration::from_millis(100);

/// Why an entry could not start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// A port can't be opened.
    #[error(transparent)]
    Listen(#[from] ListenError),
}

/// The secrets of an entry.
#[derive(Clone, Debug)]
pub struct EntrySecrets {
    /// Shared by the system's own processes.
    pub system: Secrets,
    /// Shown by operators.
    pub operators: Secrets,
}

/// An entry that runs in this process; dropping it ends it at once.
pub struct Entry {
    /// Where it takes calls of the system's own processes.
    pub system: SocketAddr,
    /// Where it takes callers' requests.
    pub callers: SocketAddr,
    /// Where it takes operators' requests.
    pub operators: SocketAddr,
    parts: Shared,
    ready: Health,
    stop_by: Duration,
    stop_callers: Sender<()>,
    serving_callers: Task<()>,
    stop_system: Sender<()>,
    serving_system: Task<()>,
    putting_in_force: Task<()>,
    running: Vec<Task<()>>,
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

/// The parts that the tasks of an entry share.
#[derive(Clone)]
struct Shared {
    clock: Clock,
    store: Arc<dyn Store>,
    system: Arc<System>,
    callers: Arc<Callers>,
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
    let parts = assemble(&settings, own, store, &secrets, clock, &mut registry);
    let ready = Health::default();
    let running = spawn_loops(&settings, &parts);
    let in_force = put_in_force(parts.clone(), ready.clone(), settings.zone.clone());
    let putting_in_force = smol::spawn(in_force);

    let (stop_callers, callers_stop) = smol::channel::bounded(1);
    let serving = caller::serve(
        callers_port,
        Arc::clone(&parts.callers),
        usize::try_from(settings.limits.connections).unwrap_or(usize::MAX),
        told(callers_stop),
    );
    let serving_callers = smol::spawn(serving);
    let (stop_system, system_stop) = smol::channel::bounded(1);
    let serving_system = smol::spawn(proto::serve(
        system_port,
        system::router(&parts.system),
        secrets.system,
        told(system_stop),
    ));
    let mut running = running;
    running.push(operators::serve(
        operators_port,
        operators::context(&settings, &parts, secrets.operators),
        ready.clone(),
        registry,
    ));
    Ok(Entry {
        system,
        callers,
        operators,
        parts,
        ready,
        stop_by: Duration::from_millis(settings.timings.stop_millis),
        stop_callers,
        serving_callers,
        stop_system,
        serving_system,
        putting_in_force,
        running,
    })
}

impl Entry {
    /// Stops gracefully: hands its cells over, takes no new work and lets
    /// requests under way end.
    ///
    /// The wait is bounded by the setting `stop_millis`.
    pub async fn stop(self) {
        self.putting_in_force.cancel().await;
        let orderly = async {
            self.ready.set_stopping();
            let _ = self.stop_callers.send(()).await;
            self.serving_callers.await;
            self.parts.callers.flush();
            self.parts.system.cells.stop().await;
            let store = Arc::clone(&self.parts.store);
            let accounts = self.parts.system.accounts.clone();
            accounts::write::run(accounts, Arc::clone(&store), async {}).await;
            if let Err(error) = self.parts.system.peers.unregister(&*store).await {
                tracing::warn!(%error, "can't remove the entry's key");
            }
            let _ = self.stop_system.send(()).await;
            self.serving_system.await;
        };
        let expiry = async {
            smol::Timer::after(self.stop_by).await;
            tracing::warn!("the graceful stop took too long");
        };
        futures_lite::future::or(orderly, expiry).await;
        for task in self.running {
            task.cancel().await;
        }
    }
}

fn assemble(
    settings: &EntrySettings,
    own: EntryRecord,
    store: Arc<dyn Store>,
    secrets: &EntrySecrets,
    clock: Clock,
    registry: &mut Registry,
) -> Shared {
    let timings = &settings.timings;
    let per_second = settings.limits.store_calls_per_second;
    let budgeted = Arc::new(BudgetedStore::new(store, clock, per_second));
    let store: Arc<dyn Store> = Arc::clone(&budgeted) as Arc<dyn Store>;
    let peers = Peers::new(own.clone(), clock);
    let members = Arc::new(Members::new(clock));
    let proof = Duration::from_millis(timings.proof_millis);
    let config = Follower::with_interval(Arc::clone(&store), clock, proof);
    registry.register_collector(Box::new(metrics::Platform::new(
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
        config: Arc::new(move || view_of(&view)),
        live: Arc::new(move || alive.live().into_iter().map(|entry| entry.name).collect()),
        secrets: secrets.system.clone(),
        seed: own.incarnation.0,
    });
    let book = accounts.clone();
    let parts = Parts {
        members: Arc::clone(&members),
        clock,
        secrets: secrets.system.clone(),
        accounts: Arc::new(move |event| book.record(&event)),
        seed: own.incarnation.0,
    };
    let callers = Arc::new(Callers::new(parts, registry));
    let system = Arc::new(System {
        clock,
        secrets: secrets.system.clone(),
        peers,
        members,
        cells,
        config,
        accounts,
        heard: Mutex::new(BTreeMap::new()),
    });
    Shared {
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

fn view_of(config: &Follower) -> ConfigView {
    let in_force = config.in_force();
    ConfigView {
        objects: Arc::clone(&in_force.objects),
        revision: in_force.revision,
        proved_at: in_force.proved_at,
    }
}

fn spawn_loops(settings: &EntrySettings, parts: &Shared) -> Vec<Task<()>> {
    let timings = &settings.timings;
    let (store, system) = (&parts.store, &parts.system);
    let lease = Duration::from_millis(timings.entry_lease_millis);
    let exchange = Duration::from_millis(timings.exchange_millis);
    let config = Arc::clone(&system.config);
    vec![
        smol::spawn(Arc::clone(&system.peers).follow(Arc::clone(store))),
        smol::spawn(Arc::clone(&system.peers).register(Arc::clone(store), lease)),
        smol::spawn(async move { config.run().await }),
        smol::spawn(Arc::clone(&system.cells).run()),
        smol::spawn(exchange::run(Arc::clone(system), exchange)),
        smol::spawn(tick(parts.clone())),
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

/// Lets deadlines of members and requests pass.
async fn tick(parts: Shared) {
    loop {
        smol::Timer::after(TICK).await;
        for change in parts.system.members.tick() {
            tracing::info!(?change, "membership");
        }
        parts.callers.refresh();
    }
}

/// Hands every configuration that comes into force to the parts that keep it.
///
/// An entry in an availability zone that operators took out still answers, but
/// asks the balancer to send callers elsewhere before its VM goes.
async fn put_in_force(parts: Shared, ready: Health, zone: AvailabilityZoneName) {
    let mut revision = kernel::Revision(0);
    loop {
        let in_force = parts.system.config.newer_than(revision).await;
        revision = in_force.revision;
        tracing::info!(revision = revision.0, "configuration in force");
        parts.callers.set_config(crate::InForce {
            revision,
            objects: Arc::clone(&in_force.objects),
        });
        ready.set_ready(in_force.objects.zone_takes_work(&zone));
        let accounts = &parts.system.accounts;
        accounts.config_in_force(revision, &in_force.objects);
    }
}

async fn told(stop: Receiver<()>) {
    let _ = stop.recv().await;
}
