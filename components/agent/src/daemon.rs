//! Starts and stops an agent in this process.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use conf::settings::AgentSettings;
use kernel::{Clock, EndpointInfo, Incarnation, VmInfo, secret::Secrets};
use observe::{Health, ListenError, listen};
use prometheus_client::registry::Registry;
use proto::{Router, RpcError, methods::ForwardCall};
use smol::{Task, channel::Sender};

use crate::{
    LocalEndpoint, Proxy, config::AgentConfig, heartbeat::Heartbeats, targets::Targets,
    tasks::Tasks, worker::HttpWorker, worker::Worker,
};

/// How often a graceful stop looks whether everything has ended.
const STOP_POLL: Duration = Duration::from_millis(20);
/// How long a leaving agent goes on refusing requests after its entry heard of
/// the leaving, so that the others hear of it before the port closes.
const LINGER: Duration = Duration::from_millis(1500);
/// How many heartbeats announce the leaving before the process may end; more
/// than one, since the answer to the first may belong to an earlier heartbeat.
const HEARTBEATS_BEFORE_STOP: u64 = 2;

/// Why an agent could not start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// A port can't be opened.
    #[error(transparent)]
    Listen(#[from] ListenError),
    /// The settings name no entry.
    #[error("entries: no entry is named; name at least one")]
    NoEntry,
}

/// An agent that runs in this process; dropping it ends it at once.
#[derive(Debug)]
pub struct Agent {
    /// Where it takes forwarded requests.
    pub system: SocketAddr,
    /// Where it answers `/metrics`, `/healthz` and `/readyz`.
    pub health: SocketAddr,
    settings: AgentSettings,
    heartbeats: Arc<Heartbeats>,
    tasks: Arc<Tasks>,
    proxy: Arc<Proxy>,
    ready: Health,
    stop_system: Sender<()>,
    serving_system: Task<()>,
    running: Vec<Task<()>>,
}

/// Starts an agent.
///
/// # Errors
///
/// Returns a [`StartError`] if a port can't be opened.
pub async fn start(settings: AgentSettings, secrets: Secrets) -> Result<Agent, StartError> {
    let clock = Clock::start();
    let (system_listener, system) = listen("system", settings.system).await?;
    let (health_listener, health) = listen("health", settings.health).await?;
    let info = describe(&settings, system, clock);
    let worker = settings
        .worker
        .map(|address| Arc::new(HttpWorker::new(address)) as Arc<dyn Worker>);
    let tasks = Tasks::new(worker, settings.capacity, clock);
    let config = Arc::new(AgentConfig::default());
    let proxy = Arc::new(proxy_of(&settings, info.incarnation, clock));
    let interval = Duration::from_millis(settings.heartbeat_millis);
    let loaded = Arc::clone(&proxy);
    let heartbeats = Arc::new(Heartbeats::new(
        info,
        Arc::clone(&tasks),
        Arc::clone(&config),
        Arc::new(move || loaded.load()),
        interval,
        secrets.clone(),
        clock,
    ));
    let (stop_system, stopped) = smol::channel::bounded(1);
    let serving_system = smol::spawn(proto::serve(
        system_listener,
        router(&proxy),
        secrets,
        async move {
            let _ = stopped.recv().await;
        },
    ));
    let spread = usize::try_from(clock.now().0).unwrap_or_default();
    let targets = Targets::new(settings.entries.clone(), spread).ok_or(StartError::NoEntry)?;
    let ready = Health::default();
    ready.set_ready(true);
    let mut registry = Registry::with_prefix("hemlockmoor");
    proxy.register(&mut registry);
    let pages = observe::routes(ready.clone(), Arc::new(registry));
    let beating = Arc::clone(&heartbeats);
    let running = vec![
        smol::spawn(Arc::clone(&tasks).run(interval)),
        smol::spawn(async move { beating.run(targets).await }),
        smol::spawn(put_in_force(config, Arc::clone(&proxy))),
        smol::spawn(
            trillium_smol::config()
                .without_signals()
                .with_nodelay()
                .with_prebound_server(health_listener)
                .run_async(pages),
        ),
    ];
    Ok(Agent {
        system,
        health,
        settings,
        heartbeats,
        tasks,
        proxy,
        ready,
        stop_system,
        serving_system,
        running,
    })
}

impl Agent {
    /// Stops gracefully: takes no new work, lets requests under way end and
    /// tasks be evicted, then ends.
    ///
    /// Tasks are evicted by the owner of the cell, which hears of the leaving
    /// by the next heartbeat; `stop_millis` bounds the wait.
    pub async fn stop(self) {
        self.ready.set_stopping();
        self.heartbeats.leave();
        self.tasks.leave();
        self.proxy.leave();
        let orderly = async {
            self.settle().await;
            let _ = self.stop_system.send(()).await;
        };
        let expiry = async {
            smol::Timer::after(Duration::from_millis(self.settings.stop_millis)).await;
            tracing::warn!("the graceful stop took too long");
        };
        futures_lite::future::or(orderly, expiry).await;
        for task in self.running {
            task.cancel().await;
        }
        self.serving_system.cancel().await;
    }

    /// Waits until entries know of the leaving and nothing is under way.
    async fn settle(&self) {
        let told = self.heartbeats.answered() + HEARTBEATS_BEFORE_STOP;
        while self.heartbeats.answered() < told || !self.tasks.idle() {
            smol::Timer::after(STOP_POLL).await;
        }
        smol::Timer::after(LINGER).await;
        self.proxy.idle().await;
    }
}

/// Hands every configuration that comes into force to the proxy.
async fn put_in_force(config: Arc<AgentConfig>, proxy: Arc<Proxy>) {
    loop {
        let in_force = config.changed().await;
        proxy.set_objects(Arc::clone(&in_force.objects));
    }
}

fn router(proxy: &Arc<Proxy>) -> Router {
    let proxy = Arc::clone(proxy);
    Router::new().on::<ForwardCall, _, _>(move |forward| {
        let proxy = Arc::clone(&proxy);
        async move { Ok::<_, RpcError>(proxy.forward(forward).await) }
    })
}

fn proxy_of(settings: &AgentSettings, incarnation: Incarnation, clock: Clock) -> Proxy {
    let mut endpoints = Vec::new();
    for endpoint in &settings.endpoints {
        endpoints.push(LocalEndpoint {
            service: endpoint.service.clone(),
            address: endpoint.address,
            slots: endpoint.slots,
            connections: endpoint.connections,
        });
    }
    Proxy::new(
        settings.vm.clone(),
        incarnation,
        settings.zone.clone(),
        endpoints,
        clock,
    )
}

fn describe(settings: &AgentSettings, address: SocketAddr, clock: Clock) -> VmInfo {
    let mut endpoints = Vec::new();
    for endpoint in &settings.endpoints {
        endpoints.push(EndpointInfo {
            service: endpoint.service.clone(),
            slots: endpoint.slots,
            connections: endpoint.connections,
        });
    }
    VmInfo {
        vm: settings.vm.clone(),
        incarnation: Incarnation(clock.now().0),
        zone: settings.zone.clone(),
        rack: settings.rack.clone(),
        cell: settings.cell_name(),
        address,
        capacity: settings.capacity,
        endpoints,
    }
}
