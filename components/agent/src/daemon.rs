//! Starts and stops an agent in this process.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use conf::settings::AgentSettings;
use kernel::{Clock, EndpointInfo, Incarnation, VmInfo, secret::Secrets};
use observe::Health;
use prometheus_client::registry::Registry;
use smol::{Task, net::TcpListener};

use crate::{
    config::AgentConfig, heartbeat::Heartbeats, targets::Targets, tasks::Tasks, worker::HttpWorker,
    worker::Worker,
};

/// How often a graceful stop looks whether everything has ended.
const STOP_POLL: Duration = Duration::from_millis(20);

/// Why an agent could not start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// A port is taken or not allowed.
    #[error("can't listen on {address} ({field}): {source}; choose a free port")]
    Listen {
        /// The setting.
        field: &'static str,
        /// Its value.
        address: SocketAddr,
        /// What the system said.
        source: std::io::Error,
    },
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
    ready: Health,
    running: Vec<Task<()>>,
}

/// Starts an agent.
///
/// # Errors
///
/// Returns a [`StartError`] if a port can't be opened.
pub async fn start(settings: AgentSettings, secrets: Secrets) -> Result<Agent, StartError> {
    let clock = Clock::start();
    let system_listener = listen("system", settings.system).await?;
    let health_listener = listen("health", settings.health).await?;
    let system = local("system", &system_listener)?;
    let health = local("health", &health_listener)?;
    let info = describe(&settings, system, clock);
    let worker = settings
        .worker
        .map(|address| Arc::new(HttpWorker::new(address)) as Arc<dyn Worker>);
    let tasks = Tasks::new(worker, settings.capacity, clock);
    let config = Arc::new(AgentConfig::default());
    let interval = Duration::from_millis(settings.heartbeat_millis);
    let heartbeats = Arc::new(Heartbeats::new(
        info,
        Arc::clone(&tasks),
        config,
        Arc::new(Vec::new),
        interval,
        secrets,
        clock,
    ));
    let spread = usize::try_from(clock.now().0).unwrap_or_default();
    let targets = Targets::new(settings.entries.clone(), spread).ok_or(StartError::NoEntry)?;
    let ready = Health::default();
    ready.set_ready(true);
    let pages = observe::routes(ready.clone(), Arc::new(Registry::default()));
    let beating = Arc::clone(&heartbeats);
    let running = vec![
        smol::spawn(Arc::clone(&tasks).run(interval)),
        smol::spawn(async move { beating.run(targets).await }),
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
        ready,
        running,
    })
}

impl Agent {
    /// Stops gracefully: takes no new work, lets everything end, then ends.
    ///
    /// Tasks are evicted by the owner of the cell, which hears of the leaving
    /// by the next heartbeat; `stop_millis` bounds the wait.
    pub async fn stop(self) {
        let clock = Clock::start();
        let stop_by = clock.now() + Duration::from_millis(self.settings.stop_millis);
        self.ready.set_ready(false);
        self.heartbeats.leave();
        self.tasks.leave();
        let told = self.heartbeats.answered() + 2;
        loop {
            let heard = self.heartbeats.answered() >= told;
            let done = heard && self.tasks.idle();
            if done || stop_by.passed(clock.now()) {
                break;
            }
            smol::Timer::after(STOP_POLL).await;
        }
        for task in self.running {
            task.cancel().await;
        }
    }
}

async fn listen(field: &'static str, address: SocketAddr) -> Result<TcpListener, StartError> {
    let bound = TcpListener::bind(address).await;
    bound.map_err(|source| StartError::Listen {
        field,
        address,
        source,
    })
}

fn local(field: &'static str, listener: &TcpListener) -> Result<SocketAddr, StartError> {
    listener.local_addr().map_err(|source| StartError::Listen {
        field,
        address: SocketAddr::from(([0, 0, 0, 0], 0)),
        source,
    })
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
