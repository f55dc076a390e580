//! Starts entry and agent processes, with stand-ins in the test's process.

use std::{
    io::{BufRead, BufReader},
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::mpsc,
    time::Duration,
};

use fakes::{
    endpoint::Endpoint,
    history::{History, Record},
    store::MemStore,
    worker::{FakeWorker, SharedWorker},
};
use kernel::{Clock, Resources, VmName};
use rustix::process::{Pid, Signal, kill_process};
use smol::{Task, net::TcpListener};
use tempfile::TempDir;

/// How long a test waits for one event before it fails.
pub(crate) const EVENT_TIMEOUT: Duration = Duration::from_secs(60);
/// Capacity of every worker.
pub(crate) const WORKER_CAPACITY: Resources = Resources::new(2000, 4096, 0);

/// A daemon in a separate process; killed when dropped.
pub(crate) struct Daemon {
    child: Child,
    /// The fields of its log line `listening`.
    pub(crate) listening: serde_json::Value,
}

impl Daemon {
    fn spawn(role: &str, settings: &Path) -> Self {
        let mut child = Command::new(env!("CARGO_BIN_EXE_hemlockmoor"))
            .arg(role)
            .arg("--settings")
            .arg(settings)
            .env("SMOL_THREADS", "2")
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        let stdout = child.stdout.take().unwrap();
        let (tx, rx) = mpsc::channel();
        let log = settings.with_extension("log");
        std::thread::spawn(move || copy_log(stdout, &log, &tx));
        let listening = rx
            .recv_timeout(EVENT_TIMEOUT)
            .expect("the daemon must log `listening`");
        Self { child, listening }
    }

    /// Returns an address from the log line `listening`.
    pub(crate) fn address(&self, field: &str) -> SocketAddr {
        self.listening[field].as_str().unwrap().parse().unwrap()
    }

    fn signal(&self, signal: Signal) {
        let pid = Pid::from_child(&self.child);
        kill_process(pid, signal).unwrap();
    }

    /// Freezes the process with SIGSTOP.
    pub(crate) fn pause(&self) {
        self.signal(Signal::STOP);
    }

    /// Resumes a frozen process.
    pub(crate) fn resume(&self) {
        self.signal(Signal::CONT);
    }

    /// Stops the process gracefully. Returns whether it exited with code 0.
    pub(crate) fn stop(mut self) -> bool {
        self.signal(Signal::TERM);
        self.child.wait().unwrap().success()
    }

    /// Kills the process with SIGKILL.
    pub(crate) fn kill(mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn copy_log(stdout: impl std::io::Read, log: &Path, tx: &mpsc::Sender<serde_json::Value>) {
    use std::io::Write;
    let mut file = std::fs::File::create(log).unwrap();
    for line in BufReader::new(stdout).lines() {
        let Ok(line) = line else { return };
        let _ = writeln!(file, "{line}");
        let Ok(fields) = serde_json::from_str::<serde_json::Value>(&line) else {
            continue;
        };
        if fields["message"] == "listening" {
            let _ = tx.send(fields);
        }
    }
}

/// The stand-ins in the test's process, and the files of the daemons that use them.
pub(crate) struct Cluster {
    /// The directory with the settings, secrets and logs of the daemons.
    pub(crate) dir: TempDir,
    /// The stand-in store.
    pub(crate) store: MemStore,
    /// The events that the stand-ins and the test record.
    pub(crate) history: History,
    /// The clock that gives the times in the history.
    pub(crate) clock: Clock,
    store_address: SocketAddr,
    server_tasks: Vec<Task<()>>,
}

impl Cluster {
    /// Starts the stand-in store.
    pub(crate) async fn start() -> Self {
        let dir = TempDir::new().unwrap();
        std::fs::write(dir.path().join("secret"), dev::plan::SYSTEM_SECRET).unwrap();
        std::fs::write(dir.path().join("operators"), dev::plan::OPERATOR_SECRET).unwrap();
        let clock = Clock::start();
        let store = MemStore::new();
        let (listener, store_address) = listen().await;
        let server_tasks = vec![smol::spawn(fakes::store::serve(
            listener,
            store.clone(),
            smol::future::pending(),
        ))];
        Self {
            dir,
            store,
            history: History::new(),
            clock,
            store_address,
            server_tasks,
        }
    }

    fn write_toml(&self, name: &str, text: &str) -> PathBuf {
        let path = self.dir.path().join(format!("{name}.toml"));
        std::fs::write(&path, text).unwrap();
        path
    }

    /// Starts an entry process.
    pub(crate) fn entry(&self, name: &str) -> Daemon {
        let dir = self.dir.path().display();
        let text = format!(
            r#"
name = "{name}"
zone = "plateau"
system = "127.0.0.1:0"
callers = "127.0.0.1:0"
operators = "127.0.0.1:0"
store = ["{store}"]
secret_file = "{dir}/secret"
operator_secret_file = "{dir}/operators"

[timings]
task_lease_millis = 3000
"#,
            store = self.store_address,
        );
        Daemon::spawn("entry", &self.write_toml(name, &text))
    }

    /// Starts a stand-in worker of `vm`.
    pub(crate) async fn worker(&mut self, vm: &str, zone: &str) -> (SharedWorker, SocketAddr) {
        let vm: VmName = vm.parse().unwrap();
        self.history.add(Record::Vm {
            vm: vm.clone(),
            zone: zone.parse().unwrap(),
            capacity: WORKER_CAPACITY,
        });
        let worker = FakeWorker::new(vm, WORKER_CAPACITY, self.history.clone());
        let worker = SharedWorker::new(worker, self.clock);
        let (listener, address) = listen().await;
        let serve = fakes::worker::serve(listener, worker.clone());
        self.server_tasks.push(smol::spawn(serve));
        (worker, address)
    }

    /// Starts the agent process of a worker's VM.
    pub(crate) fn agent(
        &self,
        vm: &str,
        zone: &str,
        entries: &[SocketAddr],
        worker: SocketAddr,
        extra_settings: &str,
    ) -> Daemon {
        let dir = self.dir.path().display();
        let entries: Vec<String> = entries.iter().map(SocketAddr::to_string).collect();
        let text = format!(
            r#"
vm = "{vm}"
zone = "{zone}"
rack = "{zone}-1"
system = "127.0.0.1:0"
health = "127.0.0.1:0"
entries = {entries:?}
secret_file = "{dir}/secret"
worker = "{worker}"
heartbeat_millis = 200
{extra_settings}
[capacity]
cpu_milli = {cpu}
memory_mib = {memory}
"#,
            cpu = WORKER_CAPACITY.cpu_milli,
            memory = WORKER_CAPACITY.memory_mib,
        );
        Daemon::spawn("agent", &self.write_toml(vm, &text))
    }

    /// Runs an operator's command. Returns its exit code and standard output.
    pub(crate) fn run_command(&self, entry: &Daemon, args: &[&str]) -> (i32, String) {
        let output = Command::new(env!("CARGO_BIN_EXE_hemlockmoor"))
            .args(args)
            .env("HEMLOCKMOOR_ENTRY", entry.address("operators").to_string())
            .env("HEMLOCKMOOR_SECRET_FILE", self.dir.path().join("operators"))
            .output()
            .unwrap();
        let text = String::from_utf8_lossy(&output.stdout).into_owned();
        let errors = String::from_utf8_lossy(&output.stderr);
        eprintln!("{args:?}: {text}{errors}");
        (output.status.code().unwrap_or(-1), text)
    }
}

async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

/// One VM of a cluster.
pub(crate) struct Vm {
    /// The platform's worker.
    pub(crate) worker: SharedWorker,
    /// Its endpoint.
    pub(crate) endpoint: Endpoint,
    /// Its agent's process.
    pub(crate) agent: Daemon,
}

impl Cluster {
    /// Starts a VM with a worker and an endpoint in `zone`.
    pub(crate) async fn vm(&mut self, name: &str, zone: &str, entries: &[SocketAddr]) -> Vm {
        let (worker, address) = self.worker(name, zone).await;
        let endpoint = Endpoint::start().await.unwrap();
        let agent = self.agent(name, zone, entries, address, &endpoint_settings(&endpoint));
        Vm {
            worker,
            endpoint,
            agent,
        }
    }

    /// Publishes the objects of `dev::Plan` for `zones` and waits until they are in force.
    pub(crate) fn publish(&self, entry: &Daemon, zones: &[&str]) {
        let plan = dev::Plan {
            zones: zones.iter().map(ToString::to_string).collect(),
            vms_per_zone: 4,
            ..dev::Plan::default()
        };
        let set = self.dir.path().join("objects");
        std::fs::create_dir_all(&set).unwrap();
        std::fs::write(set.join("set.toml"), plan.objects()).unwrap();
        let (code, _) = self.run_command(entry, &["apply", &set.display().to_string(), "--wait"]);
        assert_eq!(code, 0);
    }

    /// Submits a job of `tasks` tasks that each run for `millis`. Returns the exit code.
    pub(crate) fn submit(&self, entry: &Daemon, name: &str, tasks: u32, millis: u64) -> i32 {
        let text = format!(
            r#"
name = "{name}"
team = "bookings"
tasks = {tasks}
need = {{ cpu_milli = 1000, memory_mib = 512 }}
expected_run_millis = {millis}
program = "run={millis} use=500"
"#
        );
        let file = self.write_toml(name, &text);
        self.run_command(entry, &["submit", &file.display().to_string()])
            .0
    }

    /// Returns the number of finished tasks and whether all tasks have ended; `None` if the
    /// command fails.
    pub(crate) fn finished_tasks(&self, entry: &Daemon) -> Option<(u64, bool)> {
        let (code, text) = self.run_command(entry, &["jobs", "--json"]);
        if code != 0 {
            return None;
        }
        let jobs: serde_json::Value = serde_json::from_str(&text).unwrap();
        let (mut finished_tasks, mut ended) = (0, true);
        for job in jobs.as_array()? {
            finished_tasks += job["states"]["finished"].as_u64().unwrap_or(0);
            ended &= job["ended"].as_bool()?;
        }
        Some((finished_tasks, ended))
    }
}

fn endpoint_settings(endpoint: &Endpoint) -> String {
    format!(
        r#"
[[endpoints]]
service = "{}"
address = "{}"
slots = 8
connections = 64
"#,
        dev::plan::SERVICE,
        endpoint.address()
    )
}

/// Waits until `done` returns true. Panics after [`EVENT_TIMEOUT`], naming `event`.
pub(crate) fn eventually(event: &str, mut done: impl FnMut() -> bool) {
    let clock = Clock::start();
    let deadline = clock.now() + EVENT_TIMEOUT;
    while !done() {
        assert!(!deadline.passed(clock.now()), "{event} did not happen");
        std::thread::sleep(Duration::from_millis(50));
    }
}
