//! A small deployment: the store, workers, and the project's own programs as processes, with
//! the commands of the deploy file.

use std::{
    fs,
    net::{SocketAddr, TcpListener},
    os::unix::process::CommandExt,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    http,
    json::{Json, object, text},
    record::Record,
    store::Store,
    worker::{History, LateOrders, Machine, Worker},
};

pub const SERVICE: &str = "huvo11a";
pub const HOST: &str = "nony24.example";
pub const ZONES: [&str; 3] = ["alajuela", "heredia", "cartago"];

pub const SIGTERM: i32 = 15;
pub const SIGKILL: i32 = 9;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

/// Option of `prctl` that names the signal with which a process ends with its parent.
const END_WITH_PARENT: i32 = 1;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, signal: u64) -> i32;
}

/// A machine that runs one of the project's programs.
pub struct Node {
    pub name: String,
    role: &'static str,
    settings: PathBuf,
    log: PathBuf,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    child: Option<Child>,
}

impl Node {
    pub fn start(&mut self) {
        // The commands of deploy/system.toml.
        let words = [self.role, "--platform", "--metrics-port", "9464"];
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.log);
        let log = log.expect("log");
        let mut command = Command::new("target/release/hemlockmoor");
        command.args(words).env_clear();
        for name in ["PATH", "HOME", "LANG"] {
            if let Some(value) = std::env::var_os(name) {
                command.env(name, value);
            }
        }
        // The processes end with the case, also if it is killed.
        unsafe {
            command.pre_exec(|| {
                prctl(END_WITH_PARENT, SIGKILL as u64);
                Ok(())
            });
        }
        let child = command
            .env("HEMLOCKMOOR_CONFIG", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("log"))
            .stderr(log)
            .spawn();
        self.child = Some(child.expect("target/release/hemlockmoor: build it first"));
    }

    pub fn signal(&self, signal: i32) {
        if let Some(child) = &self.child {
            // A child of this process that has not been waited for, so the id is its own.
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    /// Processor time that the process has used, in hundredths of a second; 0 once it has ended.
    pub fn processor_ticks(&self) -> u64 {
        let id = self.child.as_ref().map_or(0, Child::id);
        let stat = fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
        let (_, rest) = stat.rsplit_once(')').unwrap_or_default();
        let fields: Vec<&str> = rest.split_whitespace().collect();
        match fields.first() {
            None | Some(&"Z") => 0,
            Some(_) => fields[11..13]
                .iter()
                .filter_map(|ticks| ticks.parse::<u64>().ok())
                .sum(),
        }
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        self.signal(SIGKILL);
        if let Some(mut child) = self.child.take() {
            let _ = child.wait();
        }
    }

    /// Stops the process with SIGTERM, and with SIGKILL after `grace`.
    pub fn stop(&mut self, grace: Duration) {
        self.signal(SIGTERM);
        let until = Instant::now() + grace;
        while Instant::now() < until {
            let Some(child) = &mut self.child else { return };
            if child.try_wait().is_ok_and(|status| status.is_some()) {
                self.child = None;
                return;
            }
            thread::sleep(Duration::from_millis(20));
        }
        self.kill();
    }
}

pub struct System {
    pub record: Arc<Record>,
    pub history: Arc<History>,
    pub late_orders: Arc<LateOrders>,
    pub store: Arc<Store>,
    pub entries: Vec<Node>,
    pub agents: Vec<Node>,
    pub machines: Vec<Machine>,
    pub workers: Vec<Arc<Worker>>,
    directory: PathBuf,
}

/// What a deployment consists of.
pub struct Plan {
    pub entries: usize,
    pub workers: usize,
    pub cpu: i64,
    pub mem_mb: i64,
}

fn free_port(ip: &str) -> u16 {
    let listener = TcpListener::bind((ip, 0)).expect("a free port");
    listener.local_addr().expect("address").port()
}

/// The first of 16 free ports.
fn free_ports(ip: &str) -> u16 {
    loop {
        let first = free_port(ip);
        let mut ports = first..=first.saturating_add(15);
        if first < 65_000 && ports.all(|port| TcpListener::bind((ip, port)).is_ok()) {
            return first;
        }
    }
}

/// Routes of the configuration: name, path prefix, priority, largest number of attempts.
pub type Route = (&'static str, &'static str, i64, i64);

/// The operator's configuration.
pub fn config(version: i64, routes: &[Route]) -> Json {
    let routes = routes.iter().map(|(name, prefix, priority, attempts)| {
        object(&[
            ("name", text(*name)),
            ("host", text(HOST)),
            ("path_prefix", text(*prefix)),
            ("kind", text("non_idempotent")),
            ("timeout_ms", Json::Int(3_000)),
            ("target_latency_ms", Json::Int(1_000)),
            ("priority", Json::Int(*priority)),
            ("service", text(SERVICE)),
            ("max_attempts", Json::Int(*attempts)),
            ("slack_factor", Json::Float(2.5)),
        ])
    });
    let service = object(&[
        ("name", text(SERVICE)),
        ("health_path", text("/health")),
        ("max_connections", Json::Int(64)),
        ("protocol", text("h1")),
        ("tls", Json::Bool(false)),
        ("cold_start_s", Json::Int(0)),
        ("cold_per_s", Json::Int(0)),
        ("admission_check", Json::Bool(true)),
        ("standby", Json::Bool(false)),
    ]);
    let limits = object(&[
        ("max_header_bytes", Json::Int(16_384)),
        ("max_body_bytes", Json::Int(262_144)),
        ("header_timeout_ms", Json::Int(3_000)),
        ("idle_timeout_ms", Json::Int(15_000)),
    ]);
    object(&[
        ("version", Json::Int(version)),
        ("routes", Json::List(routes.collect())),
        ("services", Json::List(vec![service])),
        ("limits", limits),
    ])
}

impl System {
    /// Starts the store, the workers and all programs, and waits until jobs are taken.
    pub fn start(plan: &Plan, routes: &[Route], record_path: &Path) -> Self {
        let record = Arc::new(Record::create(record_path));
        static COUNT: AtomicUsize = AtomicUsize::new(0);
        let count = COUNT.fetch_add(1, Ordering::SeqCst);
        let name = format!("review-{}-{count}", std::process::id());
        let directory = std::env::temp_dir().join(name);
        fs::create_dir_all(&directory).expect("temporary folder");
        let history = Arc::new(History::default());
        let store = Store::start("127.80.0.1", Arc::clone(&record));
        store.operator_puts("op/config", &config(1, routes));
        let mut system = Self {
            record,
            history,
            late_orders: Arc::default(),
            store,
            entries: Vec::new(),
            agents: Vec::new(),
            machines: Vec::new(),
            workers: Vec::new(),
            directory,
        };
        for index in 0..plan.entries {
            let name = format!("frontend-{}-{}", ZONES[index % 3], index / 3 + 1);
            let ip = format!("127.80.1.{}", index + 1);
            let node = system.node("entry", &name, &ip, ZONES[index % 3], None);
            system.entries.push(node);
        }
        for index in 0..plan.workers {
            let zone = ZONES[index % 3];
            let name = format!("side-{zone}-{}", index / 3 + 1);
            let ip = format!("127.80.2.{}", index + 1);
            let app: SocketAddr = format!("{ip}:{}", free_port(&ip)).parse().expect("address");
            let node = system.node("agent", &name, &ip, zone, Some(app));
            system.machines.push(Machine {
                service: SERVICE.to_owned(),
                zone: zone.to_owned(),
                labels: vec![
                    "a".to_owned(),
                    format!("r{}-{}", index % 3 + 1, index / 9 + 1),
                ],
                cpu: plan.cpu,
                mem_mb: plan.mem_mb,
                heartbeat: Duration::from_millis(1_500),
                app,
                control: node.ready,
            });
            system.agents.push(node);
        }
        for (index, machine) in system.machines.iter().enumerate() {
            let id = format!("i-{:08x}", 0x7f3a_9100 + index);
            let worker = system.worker(machine, &id);
            system.workers.push(worker);
        }
        for node in system.agents.iter_mut().chain(&mut system.entries) {
            node.start();
        }
        system
    }

    fn worker(&self, machine: &Machine, id: &str) -> Arc<Worker> {
        Worker::start(machine, id, &self.record, &self.history, &self.late_orders)
    }

    /// All of a zone is without power for `length`. The workers start again under their names.
    pub fn lose_zone(&mut self, zone: &str, length: Duration) {
        self.record.say(&format!("{zone} is without power"));
        for (index, machine) in self.machines.iter().enumerate() {
            if machine.zone == zone {
                self.workers[index].crash();
                self.agents[index].kill();
            }
        }
        for entry in &mut self.entries {
            if entry.name.contains(zone) {
                entry.kill();
            }
        }
        thread::sleep(length);
        self.record.say(&format!("{zone} is back"));
        for (index, machine) in self.machines.iter().enumerate() {
            if machine.zone == zone {
                self.workers[index] = self.worker(machine, &self.workers[index].id);
                self.agents[index].start();
            }
        }
        for entry in &mut self.entries {
            if entry.name.contains(zone) {
                entry.start();
            }
        }
    }

    fn node(
        &self,
        role: &'static str,
        name: &str,
        ip: &str,
        zone: &str,
        app: Option<SocketAddr>,
    ) -> Node {
        let ports = free_ports(ip);
        let address = |port: u16| -> SocketAddr { format!("{ip}:{port}").parse().expect("ip") };
        let (front, ready, control) = (
            address(free_port(ip)),
            address(free_port(ip)),
            address(free_port(ip)),
        );
        let class = if app.is_some() { "side" } else { "frontend" };
        let listen = match app {
            Some(_) => format!("control = \"{control}\""),
            None => format!("frontend = \"{front}\"\nready = \"{ready}\"\ncontrol = \"{control}\""),
        };
        let app_line = app.map_or(String::new(), |app| {
            format!("app = \"{app}\"\nservice = \"{SERVICE}\"\n")
        });
        let store = self.store.address;
        // As on a small site; times are those of its bounds.
        let settings = format!(
            "node_name = \"{name}\"\nrole = \"{role}\"\nmachine_class = \"{class}\"\n\
             serves = [\"{class}\"]\nip = \"{ip}\"\nzone = \"{zone}\"\nregion = \"valle-central\"\n\
             internal_port_range = [{ports},{}]\nseeds = []\nbootstrap = true\n\
             fault_counted = false\ndiscovery = \"local\"\nentry = \"virtual_ip\"\n\
             heartbeat_ms = 1500\norders = \"invocation\"\n{app_line}\
             contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"sched\",\"places\",\"platform\"]\n\
             [zones]\nalajuela = \"valle-central\"\nheredia = \"valle-central\"\ncartago = \"valle-central\"\n\
             [listen_addresses]\n{listen}\n\
             [limits]\ncpu_share = 0.25\ncores = 1\nmemory_mb = 260\nfile_descriptors = 4100\nlink_mbps = 1000.0\ndisk_mb = 0\n\
             [fault_tolerance]\nmachines = 1\nzones = 1\nregions = 0\n\
             [bounds]\ncontact_ms = 3000\nack_ms = 4000\ndrain_ms = 2000\ngrace_s = 6\n\
             config_apply_ms = 2000\nevacuation_ms = 5000\nrecovery_s = 12\nhold_max_ms = 6000\n\
             stop_ms = 900\ngang_ms = 3000\ncancel_ms = 3000\nvisible_ms = 3000\nearly_ms = 250\n\
             finish_s = 14\nstatus_s = 120\nfar_factor = 1.5\nsave_s = 0.5\nrestore_ms = 600\n\
             lease_ms = 3000\nthaw_slack_ms = 300\n\
             [platform]\naddress = \"{store}\"\nform = \"kv\"\nwrites_per_s = 400\nreads_per_s = 2000\n\
             history_s = 20\nvalue_bytes = 1048576\nttl_min_ms = 1000\n",
            ports + 15,
        );
        let path = self.directory.join(format!("{name}.toml"));
        fs::write(&path, settings).expect("settings");
        Node {
            name: name.to_owned(),
            role,
            settings: path,
            log: self.directory.join(format!("{name}.log")),
            front,
            ready: if app.is_some() { control } else { ready },
            child: None,
        }
    }

    /// Waits until all entries are ready and an owner has been chosen; `false` after 25 s.
    pub fn is_ready(&self) -> bool {
        let until = Instant::now() + Duration::from_secs(25);
        while Instant::now() < until {
            let ready = self.entries.iter().filter(|entry| {
                let answer = http::call(entry.ready, "GET", "/readiness", &[], "", SECOND);
                answer.is_some_and(|(status, _)| status == 200)
            });
            if ready.count() == self.entries.len() && self.owner().is_some() {
                // The owner calls the agents first.
                thread::sleep(Duration::from_secs(3));
                return true;
            }
            thread::sleep(Duration::from_millis(100));
        }
        false
    }

    /// The entry that owns the jobs, by the key that it writes into the store.
    pub fn owner(&self) -> Option<usize> {
        let owner = self.store.value("hemlockmoor/owner")?;
        let name = Json::parse(&owner)?.get("entry").text().to_owned();
        self.entries.iter().position(|entry| entry.name == name)
    }

    /// A call of a client, with its answer in the record. The status is 0 without an answer.
    pub fn client(&self, entry: usize, method: &str, path: &str, body: &str) -> (u16, String) {
        let headers = [("Host", HOST), ("X-Deadline-Ms", "3000")];
        let node = &self.entries[entry];
        let answer = http::call(node.front, method, path, &headers, body, 3 * SECOND);
        let answer = answer.unwrap_or((0, "no answer".to_owned()));
        self.record.line(&format!(
            "client: {method} {path} at {}: {} {}",
            node.name, answer.0, answer.1
        ));
        answer
    }

    /// Ends all processes. Their logs go with the temporary folder unless KEEP is set.
    pub fn end(&mut self) {
        for node in self.entries.iter_mut().chain(&mut self.agents) {
            node.kill();
        }
        match std::env::var_os("KEEP") {
            Some(_) => println!("logs in {}", self.directory.display()),
            None => drop(fs::remove_dir_all(&self.directory)),
        }
    }
}

pub const SECOND: Duration = Duration::from_secs(1);

impl Drop for System {
    fn drop(&mut self) {
        self.end();
    }
}

/// A step of a job.
pub fn step(count: i64, cpu: i64, mem_mb: i64, estimate_ms: i64, more: &[(&str, Json)]) -> Json {
    let mut fields = vec![
        ("count", Json::Int(count)),
        ("cpu", Json::Int(cpu)),
        ("mem_mb", Json::Int(mem_mb)),
        ("estimate_ms", Json::Int(estimate_ms)),
    ];
    fields.extend_from_slice(more);
    object(&fields)
}

/// A job of steps; `spec` tells the stand-in of the worker what each task does.
pub fn job(spec: &str, steps: Vec<Json>, more: &[(&str, Json)]) -> String {
    let mut fields = vec![("spec", text(spec)), ("steps", Json::List(steps))];
    fields.extend_from_slice(more);
    object(&fields).to_string()
}
