//! Callers' requests: HTTP in, the router's decisions carried out, HTTP out.
//!
//! Callers are not authenticated; their port must be reachable from inside the
//! platform's network only and serves nothing but services. A service is picked
//! by the first label of the `host` field or by the first part of the path,
//! which is then cut off. See `docs/ROUTING.md`.

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
    caller_accounts::Accounts,
    caller_http::{self, Problem},
    caller_run,
    caller_service::ServiceState,
    members::Members,
};

/// How long a caller may take to send a request's body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// The largest head of a request, in bytes.
const MAX_HEAD_BYTES: usize = 16 * 1024;

/// The configuration in force.
#[derive(Clone, Debug, Default)]
pub struct InForce {
    /// Its revision.
    pub revision: Revision,
    /// Its objects.
    pub objects: Arc<ObjectSet>,
}

/// What the callers' side of an entry is made of.
#[derive(Clone)]
pub struct FrontendSetup {
    /// The VMs known.
    pub members: Arc<Members>,
    /// The clock of the process.
    pub clock: Clock,
    /// The secrets shown to agents.
    pub secrets: Secrets,
    /// Takes accounting events, at most one a second for each service, kind,
    /// cause and availability zone.
    pub event_sink: Arc<dyn Fn(kernel::Event) + Send + Sync>,
    /// Seeds the random choices.
    pub seed: u64,
}

impl std::fmt::Debug for FrontendSetup {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("FrontendSetup").finish_non_exhaustive()
    }
}

/// The callers' side of an entry.
#[derive(Debug)]
pub struct CallerFrontend {
    pub(crate) parts: FrontendSetup,
    pub(crate) accounts: Accounts,
    services: RwLock<BTreeMap<ServiceName, Arc<ServiceState>>>,
    in_force: RwLock<InForce>,
    peers: Mutex<BTreeMap<VmName, Peer>>,
    next_key: AtomicU64,
}

impl CallerFrontend {
    /// Knows no service before the first [`Callers::set_config`]; its metrics
    /// go into `registry`.
    #[must_use]
    pub fn new(parts: FrontendSetup, registry: &mut Registry) -> Self {
        let accounts = Accounts::new(parts.event_sink.clone(), registry);
        Self {
            parts,
            accounts,
            services: RwLock::default(),
            in_force: RwLock::default(),
            peers: Mutex::default(),
            next_key: AtomicU64::new(0),
        }
    }

    /// Takes over a newer configuration; must be called for every revision that
    /// comes into force. An older one is passed over.
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
            let seed = self.parts.seed ^ caller_http::seed_of(name);
            let state = ServiceState::new(name.clone(), service.clone(), limit, seed);
            services.insert(name.clone(), Arc::new(state));
        }
        *current = in_force;
        drop(current);
        drop(services);
        self.refresh();
    }

    /// The configuration in force for callers.
    #[must_use]
    pub fn config(&self) -> InForce {
        let current = self.in_force.read().unwrap_or_else(PoisonError::into_inner);
        current.clone()
    }

    /// Takes over changes of membership and sends accounting events; to be
    /// called about ten times a second, after [`Members::tick`].
    pub fn refresh(&self) {
        let now = self.parts.clock.now();
        let in_force = self.config();
        for state in self.states() {
            state.refresh(now, &self.parts.members, &in_force);
            let (in_flight, limit) = state.gauges();
            self.accounts.set_gauges(state.name(), in_flight, limit);
        }
        let alive: std::collections::BTreeSet<VmName> = self
            .parts
            .members
            .with(|members| members.iter().map(|m| m.update.info.vm.clone()).collect());
        self.lock_peers().retain(|vm, _| alive.contains(vm));
        self.accounts.flush(now, &in_force);
    }

    /// Sends the accounting events of the current second as well; to be called
    /// once at the end of the process.
    pub fn flush(&self) {
        self.accounts.flush(kernel::Time::MAX, &self.config());
    }

    /// Requests under way.
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
        let peer = Peer::new(address, self.parts.secrets.clone());
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

    /// Finds the service that `conn` asks for and the path that it gets.
    fn pick(&self, conn: &Conn) -> Result<(Arc<ServiceState>, String), Problem> {
        let path = conn.path_and_query();
        let label = conn.host().and_then(|host| host.split(['.', ':']).next());
        if let Some(state) = label.and_then(|label| self.service(label)) {
            return Ok((state, path.to_owned()));
        }
        let rest = path.strip_prefix('/').unwrap_or(path);
        let end = rest.find(['/', '?']).unwrap_or(rest.len());
        let Some(state) = self.service(&rest[..end]) else {
            return Err(Problem::no_such_service(&rest[..end]));
        };
        let rest = &rest[end..];
        let path = match rest.starts_with('/') {
            true => rest.to_owned(),
            false => format!("/{rest}"),
        };
        Ok((state, path))
    }

    async fn answer(&self, mut conn: Conn) -> Conn {
        let (state, path) = match self.pick(&conn) {
            Ok(picked) => picked,
            Err(problem) => return caller_http::write_problem(conn, None, &problem),
        };
        let parsed = state.with_service(|service| caller_http::parse(&conn, service, path));
        let mut call = match parsed {
            Ok(call) => call,
            Err(problem) => return caller_http::write_problem(conn, None, &problem),
        };
        call.body = match read_body(&mut conn, state.max_body()).await {
            Ok(body) => body,
            Err(problem) => {
                return caller_http::write_problem(conn, Some(&call.id), &problem);
            }
        };
        let id = call.id.clone();
        let running = caller_run::run(self, &state, call);
        match conn.cancel_on_disconnect(running).await {
            Some(Ok(answer)) => caller_http::write_answer(conn, &id, answer),
            Some(Err(problem)) => caller_http::write_problem(conn, Some(&id), &problem),
            None => conn,
        }
    }
}

async fn read_body(conn: &mut Conn, max_body: u64) -> Result<Vec<u8>, Problem> {
    let reading = async {
        let body = conn.request_body().with_max_len(max_body);
        body.read_bytes()
            .await
            .map_err(|error| Problem::bad_body(&error))
    };
    let expiry = async {
        smol::Timer::after(BODY_TIMEOUT).await;
        Err(Problem::slow_body())
    };
    futures_lite::FutureExt::or(reading, expiry).await
}

/// Serves callers on `listener` until `stop` is done, then lets the requests
/// under way end.
pub async fn serve(
    listener: TcpListener,
    callers: Arc<CallerFrontend>,
    connections: usize,
    stop: impl Future<Output = ()> + Send,
) {
    let handler = move |conn: Conn| {
        let callers = callers.clone();
        async move { callers.answer(conn).await }
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
