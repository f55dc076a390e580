//! A small deployment: the project's programs as processes of their own, on loopback addresses,
//! with stand-ins for the store and the workers.

use std::{
    fs,
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{self, Server},
    json::Json,
    kv::Kv,
    record::Record,
    worker::{Name, Place, Worker},
};

pub const PROGRAM: &str = "target/release/hemlockmoor";
const METRICS_PORT: &str = "9464";
pub const SERVICE: &str = "pool7a";
pub const HOST: &str = "jobs.example";
pub const PREFIX: &str = "/bulk/";
const ZONES: [&str; 3] = ["north", "middle", "south"];

/// The bounds of the site `brenes-hemlock`.
const BOUNDS: &str = "\
seed_lag_s = 3\nreuse_after_s = 2\ncontact_ms = 3000\nack_ms = 4000\ncatch_up_s = 4\n\
drain_ms = 2000\ngrace_s = 6\nloss_slack_ms = 200\nconfig_apply_ms = 2000\n\
downgrade_slack_ms = 250\nmax_extension_ms = 5000\ncold_overage = 1.5\ncold_slack = 5\n\
evacuation_ms = 5000\nrecovery_s = 12\nhold_max_ms = 6000\nstop_ms = 900\ngang_ms = 3000\n\
cancel_ms = 3000\nvisible_ms = 3000\nearly_ms = 250\nfinish_s = 14\nstatus_s = 120\n\
far_factor = 1.5\nsave_s = 0.5\nrestore_ms = 600\nnotice_ms = 4500\nmove_s = 1.5\n\
maintenance_s = 2\nfencing_enforced = true\nlease_ms = 3000\nthaw_slack_ms = 300\n\
pace_ms = 100\nharm_ms = 4000\n";

/// Ends all processes that were started, each by its id.
pub struct Processes(Mutex<Vec<(String, Child)>>);

impl Processes {
    pub const fn new() -> Processes {
        Processes(Mutex::new(Vec::new()))
    }

    fn add(&self, name: &str, child: Child) {
        self.0.lock().unwrap().push((name.to_owned(), child));
    }

    /// Kills the process of that name; returns whether it was up.
    pub fn kill(&self, name: &str) -> bool {
        let mut children = self.0.lock().unwrap();
        let Some(at) = children.iter().position(|(known, _)| known == name) else {
            return false;
        };
        let (_, mut child) = children.remove(at);
        let is_up = matches!(child.try_wait(), Ok(None));
        let _ = child.kill();
        let _ = child.wait();
        is_up
    }

    pub fn kill_all(&self) {
        for (_, mut child) in self.0.lock().unwrap().drain(..) {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

pub static PROCESSES: Processes = Processes::new();

/// The platform's answer takes so long.
const STORE_DELAY: Duration = Duration::from_millis(4);

pub struct Entry {
    pub name: String,
    pub zone: &'static str,
    pub front: SocketAddr,
    ready: SocketAddr,
}

pub struct System {
    pub record: Arc<Record>,
    pub kv: Arc<Kv>,
    pub entries: Vec<Entry>,
    pub workers: Vec<Worker>,
    directory: PathBuf,
    _store: Server,
}

fn ip(number: u8) -> IpAddr {
    let pid = std::process::id();
    IpAddr::V4(Ipv4Addr::new(
        127,
        20 + (pid % 200) as u8,
        (pid / 200 % 250) as u8,
        number,
    ))
}

/// Free ports of an address, all different.
fn ports<const N: usize>(ip: IpAddr) -> [SocketAddr; N] {
    let listeners: Vec<TcpListener> = (0..N)
        .map(|_| TcpListener::bind((ip, 0)).expect("a free port"))
        .collect();
    std::array::from_fn(|at| listeners[at].local_addr().expect("a bound port"))
}

impl System {
    /// Starts entries and machines with workers in three zones; `labels` names the kind of each.
    pub fn start(record: Arc<Record>, entries: u8, kinds: &[&str]) -> System {
        let directory = std::env::temp_dir().join(format!("review-3-{}", std::process::id()));
        fs::create_dir_all(&directory).expect("a temporary folder");
        let kv = Arc::new(Kv::new());
        kv.put("op/config", &config());
        let ending = Arc::clone(&kv);
        thread::spawn(move || loop {
            thread::sleep(Duration::from_millis(5));
            ending.end_leases();
        });
        let [store] = ports::<1>(ip(1));
        let answering = Arc::clone(&kv);
        let handler = move |request: &crate::http::Request| {
            thread::sleep(STORE_DELAY);
            answering.answer(request)
        };
        let server = Server::start(store, Arc::new(handler));
        let mut system = System {
            record,
            kv,
            entries: Vec::new(),
            workers: Vec::new(),
            directory,
            _store: server,
        };
        for number in 0..entries {
            let ip = ip(10 + number);
            let zone = ZONES[usize::from(number) % ZONES.len()];
            let name = format!("frontend-{zone}-{}", usize::from(number) / ZONES.len() + 1);
            let [front, ready, internal] = ports(ip);
            let listen = format!("frontend = \"{front}\"\nready = \"{ready}\"\n");
            let settings = settings(&name, "frontend", zone, internal, &listen, "", store);
            system.spawn(&name, "entry", &settings);
            system.entries.push(Entry {
                name,
                zone,
                front,
                ready,
            });
        }
        for (number, kind) in kinds.iter().enumerate() {
            let ip = ip(40 + number as u8);
            let zone = ZONES[number % ZONES.len()];
            let rack = format!(
                "r{}-{}",
                number % ZONES.len() + 1,
                number / ZONES.len() / 3 + 1
            );
            let machine = format!("side-{zone}-{}", number / ZONES.len() + 1);
            let [app, control, internal] = ports(ip);
            let listen = format!("control = \"{control}\"\n");
            let more = format!("app = \"{app}\"\nservice = \"{SERVICE}\"\n");
            let settings = settings(&machine, "side", zone, internal, &listen, &more, store);
            system.spawn(&machine, "agent", &settings);
            let place = Place {
                machine,
                app,
                control,
                zone: zone.to_owned(),
                labels: vec![(*kind).to_owned(), rack],
                service: SERVICE.to_owned(),
                cpu: 32_000,
                mem: 128_000,
            };
            let worker = Worker::new(place, Arc::clone(&system.record));
            worker.start(Name::New, None);
            system.workers.push(worker);
        }
        system
    }

    fn spawn(&self, name: &str, role: &str, settings: &str) {
        let file = self.directory.join(format!("{name}.toml"));
        fs::write(&file, settings).expect("settings can be written");
        let log = fs::File::create(self.directory.join(format!("{name}.log"))).expect("a log");
        let errors = log.try_clone().expect("a log");
        let child = Command::new(PROGRAM)
            .args([role, "--platform", "--metrics-port", METRICS_PORT])
            .env_clear()
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .env("LANG", "C")
            .env("HEMLOCKMOOR_CONFIG", &file)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn();
        let child = child.expect("the program starts");
        self.record.line(&format!("process {name} starts ({role})"));
        PROCESSES.add(name, child);
    }

    /// Kills a process.
    pub fn kill(&self, name: &str) {
        let was_up = PROCESSES.kill(name);
        self.record.line(&format!(
            "process {name} is killed{}",
            if was_up { "" } else { ", though it had ended" }
        ));
    }

    /// Waits until all entries are ready and a job has been done.
    pub fn warm_up(&self) -> Result<(), String> {
        let until = Instant::now() + Duration::from_secs(20);
        while !self.entries.iter().all(Entry::is_ready) || self.owner().is_none() {
            if Instant::now() > until {
                return Err("the system is not ready".to_owned());
            }
            thread::sleep(Duration::from_millis(100));
        }
        self.record.line("all entries are ready");
        // Every agent has been called by the owner by then.
        thread::sleep(Duration::from_secs(3));
        let id = "00000000000000aa";
        let steps =
            "[{\"count\":8,\"cpu\":500,\"mem_mb\":256,\"estimate_ms\":300,\"anti_affinity\":1}]";
        self.submit(0, id, "ms=300 cpu=500 mem=256", steps)?;
        match self.wait_for(id, Duration::from_secs(10)).as_str() {
            "completed" => Ok(()),
            state => Err(format!("the first job is {state}")),
        }
    }

    /// The name of the entry that owns the jobs, as the store tells it.
    pub fn owner(&self) -> Option<String> {
        let record = Json::parse(&self.kv.text("hemlockmoor/owner")?)?;
        Some(record.get("entry").text().to_owned())
    }

    /// Submits a job; tries the other entries if one gives no 2xx.
    pub fn submit(&self, at: usize, id: &str, spec: &str, steps: &str) -> Result<(), String> {
        let body = format!("{{\"spec\":\"{spec}\",\"steps\":{steps}}}");
        for turn in 0..6 {
            if let Ok((200..=299, _)) = self.call(at + turn, "POST", id, &body) {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(500));
        }
        Err(format!("job {id} was not accepted"))
    }

    /// Makes a call of a client about a job.
    pub fn call(
        &self,
        at: usize,
        method: &str,
        id: &str,
        body: &str,
    ) -> Result<(u16, String), String> {
        let entry = &self.entries[at % self.entries.len()];
        let path = format!("{PREFIX}{id}");
        let answer = http::call(
            entry.front,
            method,
            &path,
            HOST,
            body,
            Duration::from_secs(3),
        );
        let told = match &answer {
            Ok((status, body)) => format!("{status} {body}"),
            Err(error) => format!("no answer: {error}"),
        };
        let sent = if body.is_empty() {
            String::new()
        } else {
            format!(" {body}")
        };
        self.record.line(&format!(
            "{method} {path}{sent} at {} -> {told}",
            entry.name
        ));
        answer
    }

    /// The state of a job as the entries in turn tell it; "unknown" without an answer.
    pub fn state(&self, at: usize, id: &str) -> String {
        match self.call(at, "GET", id, "") {
            Ok((200, body)) => {
                let body = Json::parse(&body).unwrap_or(Json::Null);
                body.get("state").text().to_owned()
            }
            Ok((status, _)) => format!("{status}"),
            Err(_) => "unknown".to_owned(),
        }
    }

    /// Asks for a job until it has ended or the time is over; returns its last state.
    pub fn wait_for(&self, id: &str, longest: Duration) -> String {
        let until = Instant::now() + longest;
        let mut at = 0;
        loop {
            let state = self.state(at, id);
            if matches!(state.as_str(), "completed" | "failed" | "cancelled" | "410") {
                return state;
            }
            if Instant::now() > until {
                return state;
            }
            at += 1;
            thread::sleep(Duration::from_millis(500));
        }
    }

    /// Ends all processes and removes the temporary folder.
    pub fn end(&self) {
        PROCESSES.kill_all();
        if std::env::var_os("REVIEW_KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.directory);
        }
    }
}

impl Entry {
    fn is_ready(&self) -> bool {
        let second = Duration::from_secs(1);
        let answer = http::call(self.ready, "GET", "/readiness", HOST, "", second);
        matches!(answer, Ok((200, _)))
    }
}

fn config() -> String {
    format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"r-bulk\",\"host\":\"{HOST}\",\
         \"path_prefix\":\"{PREFIX}\",\"kind\":\"non_idempotent\",\"timeout_ms\":3000,\
         \"target_latency_ms\":1000,\"priority\":0,\"service\":\"{SERVICE}\",\"max_attempts\":3,\
         \"slack_factor\":2.0}}],\"services\":[{{\"name\":\"{SERVICE}\",\"health_path\":\"/health\",\
         \"max_connections\":64,\"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":0.0,\
         \"cold_per_s\":0.0,\"admission_check\":true,\"standby\":false}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":262144,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}"
    )
}

fn settings(
    name: &str,
    class: &str,
    zone: &str,
    internal: SocketAddr,
    listen: &str,
    more: &str,
    store: SocketAddr,
) -> String {
    let (ip, port) = (internal.ip(), internal.port());
    let memory = if class == "frontend" { 260 } else { 128 };
    let share = if class == "frontend" { 0.25 } else { 0.15 };
    format!(
        "node_name = \"{name}\"\nrole = \"{class}\"\nmachine_class = \"{class}\"\nserves = []\n\
         ip = \"{ip}\"\nzone = \"{zone}\"\nregion = \"land\"\n\
         internal_port_range = [{port},{port}]\nseeds = []\nbootstrap = true\n\
         fault_counted = false\ndiscovery = \"local\"\nentry = \"virtual_ip\"\n\
         heartbeat_ms = 1500\ncontracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\
         \"sched\",\"places\",\"platform\"]\norders = \"invocation\"\n{more}\
         [zones]\nnorth = \"land\"\nmiddle = \"land\"\nsouth = \"land\"\n\
         [listen_addresses]\n{listen}\
         [limits]\ncpu_share = {share}\ncores = 1\nmemory_mb = {memory}\nfile_descriptors = 4100\n\
         link_mbps = 1000.0\ndisk_mb = 0\n\
         [fault_tolerance]\nmachines = 1\nzones = 1\nregions = 0\n\
         [bounds]\n{BOUNDS}\
         [platform]\naddress = \"{store}\"\nform = \"kv\"\nwrites_per_s = 400\n\
         reads_per_s = 2000\nhistory_s = 20\nvalue_bytes = 1048576\nttl_min_ms = 1000\n"
    )
}
