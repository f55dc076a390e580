//! HTTP server for callers: forwards each request as its service's router decides.
//!
//! Callers are not authenticated. Their port must be reachable from inside the
//! platform's network only, and it accepts requests to services only. The first
//! label of the `host` field selects the service, or else the first segment of the
//! path, which is then removed. See `docs/ROUTING.md`.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError, RwLock,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use kernel::{Clock, ObjectSet, Revision, ServiceName, VmName, secret::Secrets};
use prometheus_client::registry::Registry;
use proto::Peer;
use route::RequestKey;
use smol::net::TcpListener;
use trillium::Conn;

use crate::{
    caller_accounts::RequestAccounts,
    caller_http::{self, ErrorResponse},
    caller_run,
    caller_service::ServiceState,
    members::Members,
};

/// Timeout for receiving the body of a request.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum size of the head of a request, in bytes.
const MAX_HEAD_BYTES: usize = 16 * 1024;

/// The configuration in force for callers.
#[derive(Clone, Debug, Default)]
pub struct InForce {
    /// The revision.
    pub revision: Revision,
    /// The objects of this revision.
    pub objects: Arc<ObjectSet>,
}

/// Dependencies of a [`CallerFrontend`].
#[derive(Clone)]
pub struct FrontendSetup {
    /// The VMs known to the entry.
    pub members: Arc<Members>,
    /// The clock of the process.
    pub clock: Clock,
    /// Secrets that authenticate the entry to agents.
    pub secrets: Secrets,
    /// Receives accounting events, at most one a second for each service, kind,
    /// cause, availability zone and class of duration.
    pub event_sink: Arc<dyn Fn(kernel::Event) + Send + Sync>,
    /// Seeds the random choices of the routers.
    pub seed: u64,
}

impl std::fmt::Debug for FrontendSetup {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("FrontendSetup").finish_non_exhaustive()
    }
}

/// Serves the requests of callers at an entry.
#[derive(Debug)]
pub struct CallerFrontend {
    pub(crate) setup: FrontendSetup,
    pub(crate) accounts: RequestAccounts,
    services: RwLock<BTreeMap<ServiceName, Arc<ServiceState>>>,
    in_force: RwLock<InForce>,
    /// Connections to the agents of VMs.
    peers: Mutex<BTreeMap<VmName, Peer>>,
    next_key: AtomicU64,
}

impl CallerFrontend {
    /// Creates a frontend without services, which [`CallerFrontend::set_config`] adds,
    /// and registers its metrics in `registry`.
    #[must_use]
    pub fn new(setup: FrontendSetup, registry: &mut Registry) -> Self {
        let accounts = RequestAccounts::new(setup.event_sink.clone(), registry);
        Self {
            setup,
            accounts,
            services: RwLock::default(),
            in_force: RwLock::default(),
            peers: Mutex::default(),
            next_key: AtomicU64::new(0),
        }
    }

    /// Applies a newer configuration; must be called for every revision that comes
    /// into force. An older one is ignored.
    pub fn set_config(&self, in_force: InForce) {
        let mut services = self
            .services
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        let mut current = self
            .in_force
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        if in_force.revision < current.revision {
            return;
        }
        let objects = &in_force.objects;
        services.retain(|name, _| objects.services.contains_key(name));
        for (name, service) in &objects.services {
            let limit = objects.limit_of(service);
            if let Some(state) = services.get(name) {
                state.set_service(service, limit);
                continue;
            }
            let seed = self.setup.seed ^ caller_http::seed_of(name);
            let state = ServiceState::new(name.clone(), service.clone(), limit, seed);
            services.insert(name.clone(), Arc::new(state));
        }
        *current = in_force;
        drop(current);
        drop(services);
        self.refresh();
    }

    /// Returns the configuration in force for callers.
    #[must_use]
    pub fn config(&self) -> InForce {
        let current = self.in_force.read().unwrap_or_else(PoisonError::into_inner);
        current.clone()
    }

    /// Applies changes of membership and sends accounting events; to be called
    /// about ten times a second, after [`Members::tick`].
    pub fn refresh(&self) {
        let now = self.setup.clock.now();
        let in_force = self.config();
        for state in self.states() {
            state.refresh(now, &self.setup.members, &in_force);
            let (in_flight, limit) = state.gauges();
            self.accounts.set_gauges(state.name(), in_flight, limit);
        }
        let alive: std::collections::BTreeSet<VmName> = self
            .setup
            .members
            .with(|members| members.iter().map(|m| m.update.info.vm.clone()).collect());
        self.lock_peers().retain(|vm, _| alive.contains(vm));
        self.accounts.flush(now, &in_force);
    }

    /// Sends all accounting events, including those of the current second; to be
    /// called once at the end of the process.
    pub fn flush(&self) {
        self.accounts.flush(kernel::Time::MAX, &self.config());
    }

    /// Returns the number of requests in flight.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        let states = self.states();
        states.iter().map(|state| state.gauges().0).sum()
    }

    pub(crate) fn peer(&self, vm: &VmName, address: SocketAddr) -> Peer {
        let mut peers = self.lock_peers();
        if let Some(peer) = peers.get(vm)
            && peer.address() == address
        {
            return peer.clone();
        }
        let peer = Peer::new(address, self.setup.secrets.clone());
        peers.insert(vm.clone(), peer.clone());
        peer
    }

    pub(crate) fn next_key(&self) -> RequestKey {
        RequestKey(self.next_key.fetch_add(1, Ordering::Relaxed))
    }

    fn states(&self) -> Vec<Arc<ServiceState>> {
        let services = self.services.read().unwrap_or_else(PoisonError::into_inner);
        services.values().cloned().collect()
    }

    fn service(&self, name: &str) -> Option<Arc<ServiceState>> {
        let name = ServiceName::new(name).ok()?;
        let services = self.services.read().unwrap_or_else(PoisonError::into_inner);
        services.get(&name).cloned()
    }

    fn lock_peers(&self) -> MutexGuard<'_, BTreeMap<VmName, Peer>> {
        self.peers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the service that `conn` addresses and the path for its endpoint.
    fn resolve_service(&self, conn: &Conn) -> Result<(Arc<ServiceState>, String), ErrorResponse> {
        let path = conn.path_and_query();
        let label = conn.host().and_then(|host| host.split(['.', ':']).next());
        if let Some(state) = label.and_then(|label| self.service(label)) {
            return Ok((state, path.to_owned()));
        }
        let rest = path.strip_prefix('/').unwrap_or(path);
        let end = rest.find(['/', '?']).unwrap_or(rest.len());
        let Some(state) = self.service(&rest[..end]) else {
            return Err(ErrorResponse::no_such_service(&rest[..end]));
        };
        let rest = &rest[end..];
        let path = match rest.starts_with('/') {
            true => rest.to_owned(),
            false => format!("/{rest}"),
        };
        Ok((state, path))
    }

    async fn serve_request(&self, mut conn: Conn) -> Conn {
        let (state, path) = match self.resolve_service(&conn) {
            Ok(resolved) => resolved,
            Err(error_response) => return caller_http::write_error(conn, None, &error_response),
        };
        let parsed = state.with_service(|service| caller_http::parse(&conn, service, path));
        let mut request = match parsed {
            Ok(request) => request,
            Err(error_response) => return caller_http::write_error(conn, None, &error_response),
        };
        request.body = match read_body(&mut conn, state.max_body()).await {
            Ok(body) => body,
            Err(error_response) => {
                return caller_http::write_error(conn, Some(&request.id), &error_response);
            }
        };
        let id = request.id.clone();
        let running = caller_run::run(self, &state, request);
        match conn.cancel_on_disconnect(running).await {
            Some(Ok(response)) => caller_http::write_response(conn, &id, response),
            Some(Err(error_response)) => caller_http::write_error(conn, Some(&id), &error_response),
            None => conn,
        }
    }
}

async fn read_body(conn: &mut Conn, max_body: u64) -> Result<Vec<u8>, ErrorResponse> {
    let reading = async {
        let body = conn.request_body().with_max_len(max_body);
        body.read_bytes()
            .await
            .map_err(|error| ErrorResponse::unreadable_body(&error))
    };
    let expiry = async {
        smol::Timer::after(BODY_TIMEOUT).await;
        Err(ErrorResponse::body_timeout())
    };
    futures_lite::FutureExt::or(reading, expiry).await
}

/// Serves callers on `listener` until `stop` completes, then waits for the requests
/// in flight.
pub async fn serve(
    listener: TcpListener,
    callers: Arc<CallerFrontend>,
    connections: usize,
    stop: impl Future<Output = ()> + Send,
) {
    let handler = move |conn: Conn| {
        let callers = callers.clone();
        async move { callers.serve_request(conn).await }
    };
    let http = trillium_http::HttpConfig::default()
        .with_head_max_len(MAX_HEAD_BYTES)
        .with_received_body_max_len(u64::MAX);
    let server = trillium_smol::config()
        .without_signals()
        .with_nodelay()
        .with_max_connections(Some(connections))
        .with_http_config(http)
        .with_prebound_server(listener)
        .spawn(handler);
    stop.await;
    server.shut_down().await;
}
