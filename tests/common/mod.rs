//! Starts real entry and agent processes around stand-ins in this process.

use std::{
    io::{BufRead, BufReader},
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::mpsc,
    time::Duration,
};

use fakes::{
    history::{History, Record},
    store::MemStore,
    worker::{FakeWorker, SharedWorker},
};
use kernel::{Clock, Resources, VmName};
use rustix::process::{Pid, Signal, kill_process};
use smol::{Task, net::TcpListener};
use tempfile::TempDir;

/// How long anything may take that must happen.
pub const PATIENCE: Duration = Duration::from_secs(60);
/// What every worker holds.
pub const ROOM: Resources = Resources::new(2000, 4096, 0);

const SECRET: &str = "system-secret-0123456789\n";
const OPERATOR_SECRET: &str = "operator-secret-0123456789\n";

/// A daemon in a process of its own; killed when dropped.
pub struct Daemon {
    child: Child,
    /// The fields of its line `listening`.
    pub listening: serde_json::Value,
}

impl Daemon {
    fn spawn(role: &str, settings: &Path) -> Self {
        let mut child = Command::new(env!("CARGO_BIN_EXE_hemlockmoor"))
            .arg(role)
            .arg("--settings")
            .arg(settings)
            .env("SMOL_THREADS", "2")
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let stderr = child.stderr.take().unwrap();
        let (tx, rx) = mpsc::channel();
        let log = settings.with_extension("log");
        std::thread::spawn(move || follow(stderr, &log, &tx));
        let listening = rx.recv_timeout(PATIENCE).expect("the daemon must listen");
        Self { child, listening }
    }

    /// An address from the line `listening`.
    pub fn address(&self, field: &str) -> SocketAddr {
        self.listening[field].as_str().unwrap().parse().unwrap()
    }

    fn signal(&self, signal: Signal) {
        let pid = Pid::from_child(&self.child);
        kill_process(pid, signal).unwrap();
    }

    /// Freezes the process.
    pub fn pause(&self) {
        self.signal(Signal::STOP);
    }

    /// Lets a frozen process go on.
    pub fn resume(&self) {
        self.signal(Signal::CONT);
    }

    /// Asks the process to stop gracefully and waits for its end.
    pub fn stop(mut self) -> bool {
        self.signal(Signal::TERM);
        self.child.wait().unwrap().success()
    }

    /// Kills the process at once.
    pub fn kill(mut self) {
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

fn follow(stderr: impl std::io::Read, log: &Path, tx: &mpsc::Sender<serde_json::Value>) {
    use std::io::Write;
    let mut file = std::fs::File::create(log).unwrap();
    for line in BufReader::new(stderr).lines() {
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

/// The stand-ins and the daemons around them.
pub struct Cluster {
    /// Where settings and logs lie.
    pub dir: TempDir,
    /// The stand-in store.
    pub store: MemStore,
    /// What happened at the workers.
    pub history: History,
    /// The clock of the history.
    pub clock: Clock,
    store_address: SocketAddr,
    serving: Vec<Task<()>>,
}

impl Cluster {
    /// Starts the stand-in store.
    pub async fn start() -> Self {
        let dir = TempDir::new().unwrap();
        std::fs::write(dir.path().join("secret"), SECRET).unwrap();
        std::fs::write(dir.path().join("operators"), OPERATOR_SECRET).unwrap();
        let clock = Clock::start();
        let store = MemStore::new(clock);
        let (listener, store_address) = listen().await;
        let serving = vec![smol::spawn(fakes::store::serve(
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
            serving,
        }
    }

    fn write(&self, name: &str, text: &str) -> PathBuf {
        let path = self.dir.path().join(format!("{name}.toml"));
        std::fs::write(&path, text).unwrap();
        path
    }

    /// Starts an entry process.
    pub fn entry(&self, name: &str) -> Daemon {
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
        Daemon::spawn("entry", &self.write(name, &text))
    }

    /// Starts a stand-in worker of `vm`.
    pub async fn worker(&mut self, vm: &str, zone: &str) -> (SharedWorker, SocketAddr) {
        let vm: VmName = vm.parse().unwrap();
        self.history.add(Record::Vm {
            vm: vm.clone(),
            zone: zone.parse().unwrap(),
            capacity: ROOM,
        });
        let worker = FakeWorker::new(vm, ROOM, self.history.clone());
        let worker = SharedWorker::new(worker, self.clock);
        let (listener, address) = listen().await;
        let serve = fakes::worker::serve(listener, worker.clone());
        self.serving.push(smol::spawn(serve));
        (worker, address)
    }

    /// Starts an agent process beside a worker.
    pub fn agent(
        &self,
        vm: &str,
        zone: &str,
        entries: &[SocketAddr],
        worker: SocketAddr,
        more: &str,
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
{more}
[capacity]
cpu_milli = {cpu}
memory_mib = {memory}
"#,
            cpu = ROOM.cpu_milli,
            memory = ROOM.memory_mib,
        );
        Daemon::spawn("agent", &self.write(vm, &text))
    }

    /// Runs an operator's command; gives its exit code and standard output.
    pub fn operate(&self, entry: &Daemon, args: &[&str]) -> (i32, String) {
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

/// Waits until `done`, for at most [`PATIENCE`].
pub fn eventually(what: &str, mut done: impl FnMut() -> bool) {
    let clock = Clock::start();
    let give_up = clock.now() + PATIENCE;
    while !done() {
        assert!(!give_up.passed(clock.now()), "{what} did not happen");
        std::thread::sleep(Duration::from_millis(50));
    }
}
