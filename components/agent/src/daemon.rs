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
    tasks::TaskRunner, worker::HttpWorker, worker::Worker,
};

/// Interval at which a graceful stop checks whether all tasks have ended.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// How long a leaving agent still refuses requests after its entry has received
/// the announcement, so that other entries learn of it before the port closes.
const REFUSAL_PERIOD: Duration = Duration::from_millis(1500);
/// Number of heartbeats that must be answered after the announcement before the
/// process may end. One is not enough: the first reply may belong to a heartbeat
/// that was sent before the announcement.
const ANSWERS_BEFORE_STOP: u64 = 2;

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

/// An agent that runs in this process; dropping it ends it without a graceful stop.
#[derive(Debug)]
pub struct Agent {
    /// Address that accepts forwarded requests.
    pub system: SocketAddr,
    /// Address that serves `/metrics`, `/healthz` and `/readyz`.
    pub health: SocketAddr,
    settings: AgentSettings,
    heartbeats: Arc<Heartbeats>,
    tasks: Arc<TaskRunner>,
    proxy: Arc<Proxy>,
    /// Readiness that `/readyz` reports.
    ready: Health,
    /// Ends `serving_system` once the requests in flight have ended.
    stop_system: Sender<()>,
    /// Serves the address `system`.
    serving_system: Task<()>,
    /// The other tasks of the agent, which a stop cancels.
    background: Vec<Task<()>>,
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
    let info = vm_info(&settings, system, clock);
    let worker = settings
        .worker
        .map(|address| Arc::new(HttpWorker::new(address)) as Arc<dyn Worker>);
    let tasks = TaskRunner::new(worker, settings.capacity, clock);
    let config = Arc::new(AgentConfig::default());
    let proxy = Arc::new(new_proxy(&settings, info.incarnation, clock));
    let interval = Duration::from_millis(settings.heartbeat_millis);
    let load_source = Arc::clone(&proxy);
    let heartbeats = Arc::new(Heartbeats::new(
        info,
        Arc::clone(&tasks),
        Arc::clone(&config),
        Arc::new(move || load_source.load()),
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
    let first_entry = usize::try_from(clock.now().0).unwrap_or_default();
    let targets = Targets::new(settings.entries.clone(), first_entry).ok_or(StartError::NoEntry)?;
    let ready = Health::default();
    ready.set_ready(true);
    let mut registry = Registry::with_prefix("hemlockmoor");
    proxy.register(&mut registry);
    let health_routes = observe::routes(ready.clone(), Arc::new(registry));
    let heartbeat_sender = Arc::clone(&heartbeats);
    let background = vec![
        smol::spawn(Arc::clone(&tasks).run(interval)),
        smol::spawn(async move { heartbeat_sender.run(targets).await }),
        smol::spawn(apply_config_updates(config, Arc::clone(&proxy))),
        smol::spawn(
            trillium_smol::config()
                .without_signals()
                .with_nodelay()
                .with_prebound_server(health_listener)
                .run_async(health_routes),
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
        background,
    })
}

impl Agent {
    /// Stops gracefully: takes no new work, waits for requests in flight and for
    /// the eviction of tasks, then ends.
    ///
    /// The owner of the cell evicts the tasks when it receives a heartbeat that
    /// announces the leaving; `stop_millis` bounds the wait.
    pub async fn stop(self) {
        self.ready.set_stopping();
        self.heartbeats.announce_leaving();
        self.tasks.leave();
        self.proxy.leave();
        let graceful = async {
            self.wait_for_end_of_work().await;
            let _ = self.stop_system.send(()).await;
        };
        let expiry = async {
            smol::Timer::after(Duration::from_millis(self.settings.stop_millis)).await;
            tracing::warn!("graceful stop timed out; stopping at once");
        };
        futures_lite::future::or(graceful, expiry).await;
        for task in self.background {
            task.cancel().await;
        }
        self.serving_system.cancel().await;
    }

    /// Waits until entries know that the agent is leaving and no task or request is in flight.
    async fn wait_for_end_of_work(&self) {
        let announced = self.heartbeats.answered_count() + ANSWERS_BEFORE_STOP;
        while self.heartbeats.answered_count() < announced || !self.tasks.is_idle() {
            smol::Timer::after(STOP_POLL_INTERVAL).await;
        }
        smol::Timer::after(REFUSAL_PERIOD).await;
        self.proxy.wait_idle().await;
    }
}

/// Passes every configuration that comes into force to the proxy.
async fn apply_config_updates(config: Arc<AgentConfig>, proxy: Arc<Proxy>) {
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

fn new_proxy(settings: &AgentSettings, incarnation: Incarnation, clock: Clock) -> Proxy {
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

fn vm_info(settings: &AgentSettings, address: SocketAddr, clock: Clock) -> VmInfo {
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
