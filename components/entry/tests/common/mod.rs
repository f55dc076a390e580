//! A small system over loopback sockets: endpoints, agents and entries.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use agent::{LocalEndpoint, Proxy};
use entry::{CallerFrontend, FrontendSetup, InForce, Members, caller};
use fakes::endpoint::Endpoint;
use http_body_util::{BodyExt, Full};
use hyper::{body::Bytes, client::conn::http1};
use kernel::{
    AvailabilityZoneName, Clock, Event, Incarnation, ObjectSet, Resources, Revision, VmInfo,
    member::EndpointInfo,
    object::{AvailabilityZone, Objective, Service, ZoneState},
    secret::Secrets,
};
use prometheus_client::registry::Registry;
use proto::{messages::Heartbeat, methods::ForwardCall};
use smol::{
    channel::Sender,
    net::{TcpListener, TcpStream},
};
use smol_hyper::rt::FuturesIo;

const MAX_CONNECTIONS: usize = 1024;
pub(crate) const SERVICE: &str = "directory";
pub(crate) const TIMEOUT_MILLIS: u64 = 20_000;

pub(crate) fn secrets() -> Secrets {
    Secrets::parse("a-secret-of-the-tests").unwrap()
}

pub(crate) fn objects(zones_out: &[&str]) -> Arc<ObjectSet> {
    let mut objects = ObjectSet::default();
    let service = Service {
        team: "bookings".parse().unwrap(),
        timeout_millis: TIMEOUT_MILLIS,
        objective: Objective {
            latency_millis: 500,
            good_per_million: 999_000,
        },
        idempotent_methods: vec!["GET".to_owned()],
        limit: None,
        replicas: None,
    };
    objects.services.insert(SERVICE.parse().unwrap(), service);
    for name in zones_out {
        let zone = AvailabilityZone {
            state: ZoneState::Out,
            ..AvailabilityZone::default()
        };
        objects.zones.insert(name.parse().unwrap(), zone);
    }
    Arc::new(objects)
}

/// Forwards bytes between an entry and an agent until it is dropped.
pub(crate) struct Relay {
    address: SocketAddr,
    _accepting: smol::Task<()>,
}

impl Relay {
    async fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let accepting = smol::spawn(async move {
            let mut open = Vec::new();
            while let Ok((near, _)) = listener.accept().await {
                let far = TcpStream::connect(target).await.unwrap();
                near.set_nodelay(true).unwrap();
                far.set_nodelay(true).unwrap();
                open.push(smol::spawn(smol::io::copy(near.clone(), far.clone())));
                open.push(smol::spawn(smol::io::copy(far, near)));
            }
        });
        Self {
            address,
            _accepting: accepting,
        }
    }
}

/// An agent with its endpoint.
pub(crate) struct Agent {
    pub(crate) endpoint: Endpoint,
    pub(crate) proxy: Arc<Proxy>,
    pub(crate) info: VmInfo,
    sequence: AtomicU64,
    relay: Option<Relay>,
    stop: Sender<()>,
    server: smol::Task<()>,
}

impl Agent {
    pub(crate) async fn start(vm: &str, zone: &str, slots: u32) -> Self {
        let endpoint = Endpoint::start().await.unwrap();
        let zone: AvailabilityZoneName = zone.parse().unwrap();
        let local = LocalEndpoint {
            service: SERVICE.parse().unwrap(),
            address: endpoint.address(),
            slots,
            connections: 64,
        };
        let proxy = Proxy::new(
            vm.parse().unwrap(),
            Incarnation(1),
            zone.clone(),
            vec![local],
            Clock::start(),
        );
        let proxy = Arc::new(proxy);
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let forwarding = proxy.clone();
        let router = proto::Router::new().on::<ForwardCall, _, _>(move |forward| {
            let proxy = forwarding.clone();
            async move { Ok(proxy.forward(forward).await) }
        });
        let (stop, stopped) = smol::channel::bounded::<()>(1);
        let server = smol::spawn(proto::serve(listener, router, secrets(), async move {
            let _ = stopped.recv().await;
        }));
        let info = VmInfo {
            vm: vm.parse().unwrap(),
            incarnation: Incarnation(1),
            zone,
            rack: "rack-1".parse().unwrap(),
            cell: "cell-1".parse().unwrap(),
            address,
            capacity: Resources::NONE,
            endpoints: vec![EndpointInfo {
                service: SERVICE.parse().unwrap(),
                slots,
                connections: 64,
            }],
        };
        Self {
            endpoint,
            proxy,
            info,
            sequence: AtomicU64::new(0),
            relay: None,
            stop,
            server,
        }
    }

    /// Starts an agent behind a relay, so that its connections can be cut.
    pub(crate) async fn start_behind_relay(vm: &str, zone: &str, slots: u32) -> Self {
        let mut agent = Self::start(vm, zone, slots).await;
        let relay = Relay::start(agent.info.address).await;
        agent.info.address = relay.address;
        agent.relay = Some(relay);
        agent
    }

    pub(crate) fn announce(&self, entry: &Entry) {
        let heartbeat = Heartbeat {
            vm: self.info.vm.clone(),
            incarnation: self.info.incarnation,
            sequence: self.sequence.fetch_add(1, Ordering::SeqCst),
            info: Some(self.info.clone()),
            epoch: Default::default(),
            revision: Revision(1),
            leaving: self.proxy.is_leaving(),
            load: self.proxy.load(),
            tasks: Vec::new(),
            tasks_unknown: false,
        };
        entry.members.on_heartbeat(&heartbeat);
        entry.callers.refresh();
    }

    /// Stops gracefully: refuses new requests and waits for those in flight.
    pub(crate) async fn stop(self) -> Endpoint {
        self.proxy.leave();
        self.proxy.wait_idle().await;
        self.stop.send(()).await.unwrap();
        self.server.await;
        self.endpoint
    }

    /// Cuts all connections to entries in the middle of their requests and accepts
    /// no new ones.
    pub(crate) async fn kill(self) -> Endpoint {
        drop(self.relay);
        self.server.cancel().await;
        self.endpoint
    }
}

/// The caller frontend of an entry, with its server.
pub(crate) struct Entry {
    pub(crate) members: Arc<Members>,
    pub(crate) callers: Arc<CallerFrontend>,
    pub(crate) address: SocketAddr,
    pub(crate) events: Arc<Mutex<Vec<Event>>>,
    stop: Sender<()>,
    server: smol::Task<()>,
}

impl Entry {
    pub(crate) async fn start(seed: u64) -> Self {
        let clock = Clock::start();
        let members = Arc::new(Members::new(clock));
        let events = Arc::<Mutex<Vec<Event>>>::default();
        let sink = events.clone();
        let setup = FrontendSetup {
            members: members.clone(),
            clock,
            secrets: secrets(),
            event_sink: Arc::new(move |event| sink.lock().unwrap().push(event)),
            seed,
        };
        let callers = Arc::new(CallerFrontend::new(setup, &mut Registry::default()));
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (stop, stopped) = smol::channel::bounded::<()>(1);
        let server = smol::spawn(caller::serve(
            listener,
            callers.clone(),
            MAX_CONNECTIONS,
            async move {
                let _ = stopped.recv().await;
            },
        ));
        let entry = Self {
            members,
            callers,
            address,
            events,
            stop,
            server,
        };
        entry.set_config(1, &[]);
        entry
    }

    pub(crate) fn set_config(&self, revision: u64, zones_out: &[&str]) {
        self.callers.set_config(InForce {
            revision: Revision(revision),
            objects: objects(zones_out),
        });
    }

    pub(crate) async fn stop(self) {
        self.stop.send(()).await.unwrap();
        self.server.await;
    }
}

/// The response that a caller received.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct CallerResponse {
    pub(crate) status: u16,
    pub(crate) verdict: String,
    pub retry_after: Option<u64>,
    pub(crate) id: String,
    pub(crate) body: String,
}

impl CallerResponse {
    /// Whether this is the complete response of an endpoint to the request `id`.
    pub(crate) fn is_answer_to(&self, id: &str) -> bool {
        self.status == 200 && self.body.starts_with(&format!("{id} ")) && self.body.ends_with('\n')
    }
}

pub(crate) fn request(method: &str, id: &str) -> http::request::Builder {
    http::Request::builder()
        .method(method)
        .uri(format!("/{SERVICE}/players/kora?day=1"))
        .header("host", "127.0.0.1")
        .header("x-request-id", id)
}

pub(crate) async fn call(address: SocketAddr, method: &str, id: &str) -> CallerResponse {
    let req = request(method, id).body(Full::default()).unwrap();
    send(address, req).await
}

pub(crate) async fn send(address: SocketAddr, req: http::Request<Full<Bytes>>) -> CallerResponse {
    let stream = TcpStream::connect(address).await.unwrap();
    let (mut sender, connection) = http1::handshake(FuturesIo::new(stream)).await.unwrap();
    let driver = smol::spawn(async move {
        let _ = connection.await;
    });
    let resp = sender.send_request(req).await.unwrap();
    let field = |name: &str| {
        let value = resp.headers().get(name)?;
        Some(value.to_str().unwrap().to_owned())
    };
    let mut response = CallerResponse {
        status: resp.status().as_u16(),
        verdict: field("x-hemlockmoor-verdict").unwrap_or_default(),
        retry_after: field("retry-after").map(|secs| secs.parse().unwrap()),
        id: field("x-request-id").unwrap_or_default(),
        body: String::new(),
    };
    let body = resp.into_body().collect().await.unwrap().to_bytes();
    response.body = String::from_utf8(body.to_vec()).unwrap();
    drop(driver);
    response
}

/// Waits until `done` returns true.
pub(crate) async fn wait_until(mut done: impl FnMut() -> bool) {
    while !done() {
        smol::Timer::after(Duration::from_millis(1)).await;
    }
}
