//! A small deployment: the stand-ins, the programs of the deploy file, and a client.

use std::{
    fs,
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener},
    os::unix::process::CommandExt,
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::Mutex,
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::call,
    json::Json,
    record::Record,
    store::Store,
    worker::{Gangs, Place, Worker},
};

pub const ZONES: [&str; 3] = ["alajuela", "heredia", "cartago"];
pub const HOST: &str = "nony24.example";
/// The prefixes of the queues, with priority 0, 2 and 0.
pub const PREFIXES: [&str; 3] = ["/lohu930/", "/pufi791/", "/pule252/"];
/// The kind of a worker that starts later.
pub const LATE: &str = "h";
const SERVICE: &str = "huvo11a";
const ATTEMPTS: [u64; 3] = [2, 3, 4];
/// As the site's workers: 32 cores, 125 GB.
const WORKER_CPU: u64 = 32_000;
const WORKER_MEM_MB: u64 = 125_000;
const HOLD_MAX_MS: u64 = 6_000;

pub struct World {
    pub record: Record,
    pub store: Store,
    pub workers: Vec<Worker>,
    pub entries: Vec<SocketAddr>,
    ready: Vec<SocketAddr>,
    folder: PathBuf,
    next_entry: usize,
}

/// The programs that were started, by machine.
static CHILDREN: Mutex<Vec<(String, Child)>> = Mutex::new(Vec::new());

/// Ends all programs that were started.
pub fn end_children() {
    for (_, mut child) in CHILDREN.lock().unwrap().drain(..) {
        let _ = child.kill();
        let _ = child.wait();
    }
}

impl Drop for World {
    fn drop(&mut self) {
        end_children();
        let _ = fs::remove_dir_all(&self.folder);
    }
}

unsafe extern "C" {
    fn prctl(option: i32, value: u64, third: u64, fourth: u64, fifth: u64) -> i32;
}

/// Lets a program end also if this process is killed.
fn end_with_this_process(command: &mut Command) {
    const PR_SET_PDEATHSIG: i32 = 1;
    const SIGKILL: u64 = 9;
    let set = || {
        // SAFETY: the call takes no pointers and may be made between fork and exec.
        unsafe { prctl(PR_SET_PDEATHSIG, SIGKILL, 0, 0, 0) };
        Ok(())
    };
    // SAFETY: as above.
    unsafe { command.pre_exec(set) };
}

/// A loopback address for each machine, so that all of them can use the same ports.
fn machine_ip(machine: u8) -> IpAddr {
    let pid = std::process::id();
    let (second, third) = (64 + pid % 128, 1 + pid / 128 % 250);
    IpAddr::V4(Ipv4Addr::new(127, second as u8, third as u8, machine))
}

fn free_address(ip: IpAddr) -> SocketAddr {
    let listener = TcpListener::bind((ip, 0)).expect("a free port");
    listener.local_addr().expect("its address")
}

impl World {
    /// Starts the stand-ins and the programs; `labels` holds the kind of each worker.
    pub fn start(record: Record, entry_count: u8, kinds: &[&str], gpus: &[u64]) -> World {
        let folder =
            std::env::temp_dir().join(format!("hemlockmoor-review-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let store_listener = TcpListener::bind((machine_ip(2), 0)).expect("port of the store");
        let store_address = store_listener.local_addr().expect("address of the store");
        let store = Store::start(store_listener);
        let mut world = World {
            record,
            store,
            workers: Vec::new(),
            entries: Vec::new(),
            ready: Vec::new(),
            folder,
            next_entry: 0,
        };
        world.store.put("op/config", &config());
        let gangs = Gangs::default();
        for (n, kind) in kinds.iter().enumerate() {
            let ip = machine_ip(100 + n as u8);
            let zone = ZONES[n % ZONES.len()];
            let (app, control) = (free_address(ip), free_address(ip));
            let name = format!("side-{zone}-{}", 1 + n / ZONES.len());
            let listen = format!("control = \"{control}\"");
            let more = format!("app = \"{app}\"\nservice = \"{SERVICE}\"\n");
            let machine = Machine {
                name: &name,
                class: "side",
                zone,
                ip,
                share: 0.15,
                memory: 128,
            };
            let settings = settings(&machine, store_address, &listen, &more);
            world.spawn("agent", &name, &settings);
            let place = Place {
                name,
                zone: zone.to_owned(),
                labels: vec![(*kind).to_owned(), format!("r1-{}", 1 + n / 3)],
                service: SERVICE.to_owned(),
                cpu: WORKER_CPU,
                mem_mb: WORKER_MEM_MB,
                gpu: gpus.get(n).copied().unwrap_or(0),
                app,
                control,
                hold_max_ms: HOLD_MAX_MS,
            };
            let worker = Worker::start(place, world.record.clone(), gangs.clone());
            if *kind != LATE {
                worker.begin();
            }
            world.workers.push(worker);
        }
        for n in 0..entry_count {
            let ip = machine_ip(10 + n);
            let zone = ZONES[usize::from(n) % ZONES.len()];
            let (frontend, ready) = (free_address(ip), free_address(ip));
            let name = format!("frontend-{zone}-{}", 1 + usize::from(n) / ZONES.len());
            let listen = format!("frontend = \"{frontend}\"\nready = \"{ready}\"");
            let machine = Machine {
                name: &name,
                class: "frontend",
                zone,
                ip,
                share: 0.1,
                memory: 260,
            };
            let settings = settings(&machine, store_address, &listen, "");
            world.spawn("entry", &name, &settings);
            world.entries.push(frontend);
            world.ready.push(ready);
        }
        world
    }

    fn spawn(&mut self, role: &str, name: &str, settings: &str) {
        let path = self.folder.join(format!("{name}.toml"));
        fs::write(&path, settings).expect("a settings file");
        let log = fs::File::create(self.folder.join(format!("{name}.log"))).expect("a log file");
        let mut command = Command::new("target/release/hemlockmoor");
        command.args([role, "--platform", "--metrics-port", "9464"]);
        command.env_clear().env("HEMLOCKMOOR_CONFIG", &path);
        command
            .stdin(Stdio::null())
            .stderr(log.try_clone().expect("a log file"))
            .stdout(log);
        end_with_this_process(&mut command);
        let child = command
            .spawn()
            .expect("target/release/hemlockmoor; build it first");
        self.record.note(&format!("{role} {name} started"));
        CHILDREN.lock().unwrap().push((name.to_owned(), child));
    }

    /// All side machines lose power with their workers, and are back after `down`.
    pub fn lose_power(&mut self, down: Duration) {
        self.record.note("all side machines LOSE POWER");
        let names: Vec<String> = self
            .workers
            .iter()
            .map(|worker| worker.place.name.clone())
            .collect();
        for (name, child) in CHILDREN.lock().unwrap().iter_mut() {
            if names.contains(name) {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        CHILDREN
            .lock()
            .unwrap()
            .retain(|(name, _)| !names.contains(name));
        for worker in &self.workers {
            worker.crash();
        }
        thread::sleep(down);
        for name in &names {
            let settings = fs::read_to_string(self.folder.join(format!("{name}.toml")));
            self.spawn("agent", name, &settings.expect("the settings of a machine"));
        }
        for worker in &self.workers {
            worker.begin();
        }
    }

    /// Waits until all entries are ready and each worker has run a task.
    pub fn warm_up(&mut self) -> bool {
        let until = Instant::now() + Duration::from_secs(30);
        let second = Duration::from_secs(1);
        for ready in self.ready.clone() {
            while call(ready, "GET", "/readiness", &[], "", second).is_none_or(|r| r.0 != 200) {
                if Instant::now() > until {
                    return false;
                }
                thread::sleep(Duration::from_millis(200));
            }
        }
        for round in 0..20 {
            let job = format!("{:016x}", 0xaaaa_0000_u64 + round);
            let steps = format!(
                r#"[{{"count":{},"cpu":500,"mem_mb":100,"estimate_ms":300,"anti_affinity":1}}]"#,
                self.workers
                    .iter()
                    .filter(|worker| worker.place.labels[0] != LATE)
                    .count()
            );
            if self.submit(0, &job, "work=300 cpu=500 mem=100", &steps) {
                thread::sleep(Duration::from_secs(2));
            }
            let runs = self.record.runs();
            let is_used = |worker: &Worker| {
                let place = &worker.place;
                place.labels[0] == LATE || runs.iter().any(|run| run.worker == place.name)
            };
            if self.state(0, &job) == "completed" && self.workers.iter().all(is_used) {
                self.record.note("warmed up: each worker has run a task");
                return true;
            }
        }
        false
    }

    fn ask(&mut self, method: &str, path: &str, body: &str) -> Option<(u16, String)> {
        let entry = self.entries[self.next_entry % self.entries.len()];
        self.next_entry += 1;
        let headers = [("host", HOST), ("x-deadline-ms", "3000")];
        call(entry, method, path, &headers, body, Duration::from_secs(3))
    }

    /// Hands a job in, as a client does: again after no answer, a 429 or a 503.
    pub fn submit(&mut self, queue: usize, job: &str, spec: &str, steps: &str) -> bool {
        let path = format!("{}{job}", PREFIXES[queue]);
        let body = format!(r#"{{"spec":"{spec}","steps":{steps}}}"#);
        for _ in 0..5 {
            let status = self.ask("POST", &path, &body).map(|reply| reply.0);
            self.record
                .note(&format!("POST {path} {body} -> {status:?}"));
            match status {
                Some(200) => return true,
                Some(400 | 404 | 410) => return false,
                _ => thread::sleep(Duration::from_millis(300)),
            }
        }
        false
    }

    /// The state of a job; empty without an answer.
    pub fn state(&mut self, queue: usize, job: &str) -> String {
        let path = format!("{}{job}", PREFIXES[queue]);
        let reply = self.ask("GET", &path, "");
        let body = reply.as_ref().and_then(|(_, body)| Json::parse(body));
        let state = body.map_or_else(String::new, |body| body.get("state").str().to_owned());
        let status = reply.map(|(status, _)| status);
        self.record
            .note(&format!("GET {path} -> {status:?} {state}"));
        state
    }

    /// Capacity that the present runs of all workers use, as a share.
    pub fn used_share(&self) -> f64 {
        let used: u64 = self.workers.iter().map(Worker::used_cpu).sum();
        used as f64 / (WORKER_CPU * self.workers.len() as u64) as f64
    }
}

struct Machine<'a> {
    name: &'a str,
    class: &'a str,
    zone: &'a str,
    ip: IpAddr,
    share: f64,
    memory: u32,
}

fn settings(machine: &Machine<'_>, store: SocketAddr, listen: &str, more: &str) -> String {
    let Machine {
        name,
        class,
        zone,
        ip,
        share,
        memory,
    } = machine;
    let port = free_address(*ip).port();
    let zones = ZONES
        .map(|zone| format!("{zone} = \"valle-central\""))
        .join("\n");
    format!(
        r#"node_name = "{name}"
role = "{class}"
machine_class = "{class}"
serves = ["{class}"]
ip = "{ip}"
zone = "{zone}"
region = "valle-central"
internal_port_range = [{port},{port}]
seeds = []
bootstrap = true
fault_counted = false
discovery = "local"
entry = "virtual_ip"
heartbeat_ms = 1500
contracts = ["base","drain","config","cost","recover","sched","places","platform","advice","upkeep","sharing"]
orders = "invocation"
{more}[zones]
{zones}
[listen_addresses]
{listen}
[limits]
cpu_share = {share}
cores = 1
memory_mb = {memory}
file_descriptors = 4100
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 1
zones = 1
regions = 0
[bounds]
contact_ms = 3000
ack_ms = 4000
drain_ms = 2000
grace_s = 6
config_apply_ms = 2000
evacuation_ms = 5000
hold_max_ms = {HOLD_MAX_MS}
stop_ms = 900
gang_ms = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
status_s = 120
far_factor = 1.5
save_s = 0.5
restore_ms = 600
fencing_enforced = true
lease_ms = 3000
thaw_slack_ms = 300
pace_ms = 100
[platform]
address = "{store}"
form = "kv"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
[cloud_api]
address = "{store}"
rate_per_s = 60.0
duties = []
duty_per_s = 60.0
"#
    )
}

fn config() -> String {
    let route = |n: usize| {
        let (prefix, attempts) = (PREFIXES[n], ATTEMPTS[n]);
        let priority = [0, 2, 0][n];
        format!(
            r#"{{"name":"r-{n}","host":"{HOST}","path_prefix":"{prefix}","kind":"non_idempotent","timeout_ms":3000,"target_latency_ms":1000,"priority":{priority},"service":"{SERVICE}","max_attempts":{attempts},"slack_factor":2.0}}"#
        )
    };
    let routes = [route(0), route(1), route(2)].join(",");
    format!(
        r#"{{"version":7,"routes":[{routes}],"services":[{{"name":"{SERVICE}","health_path":"/health","max_connections":64,"protocol":"h1","tls":false,"cold_start_s":0.0,"cold_per_s":0.0,"admission_check":true,"standby":false}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}}}"#
    )
}
