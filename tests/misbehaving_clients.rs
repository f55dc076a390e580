//! Misbehaving clients neither end an entry nor use up its memory or descriptors.
//!
//! Clients outside the control of an operator could run a process out of memory. Each test
//! starts the real program with lowered limits, lets a crowd send to one of its addresses, and
//! checks that the process lives, stays within its limits and still accepts a job.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

use std::{
    fs,
    io::{Read, Write},
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    process::{Child, Command, Stdio},
    sync::{Mutex, PoisonError},
    thread,
    time::{Duration, Instant},
};

use rstest::rstest;

#[path = "misbehaving_clients/crowd.rs"]
mod crowd;
#[path = "misbehaving_clients/store.rs"]
mod store;

use crowd::{Kind, MAX_BODY_BYTES};
use store::Store;

/// The memory of the machine in the settings. A calm entry built without optimisation takes
/// about half of it.
const MEMORY_MB: u64 = 64;
/// The file descriptors in the settings.
const FILE_DESCRIPTORS: u64 = 720;
/// How long the crowd stays open after it has sent.
const HOLDING: Duration = Duration::from_millis(200);
/// How long a process may take to start, and an ordinary request until it is accepted.
const GIVE_UP: Duration = Duration::from_secs(8);
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Crowds of several tests at once would measure each other.
static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

/// Where a crowd sends to.
#[derive(Clone, Copy, Debug)]
enum Target {
    Queue,
    UnknownPath,
    Readiness,
    Metrics,
}

/// An entry with its store, in a process of its own.
struct Entry {
    child: Child,
    clients: SocketAddr,
    readiness: SocketAddr,
    metrics: SocketAddr,
    _directory: tempfile::TempDir,
}

impl Entry {
    fn start() -> Self {
        let store = Store::start("op/config", &base64(CONFIG.as_bytes()));
        // The ports stay bound until all are known, so that they differ.
        let bound = [(); 4].map(|()| TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap());
        let [clients, readiness, metrics, internal] = bound
            .each_ref()
            .map(|listener| listener.local_addr().unwrap());
        drop(bound);
        let directory = tempfile::tempdir().unwrap();
        let path = directory.path().join("settings.toml");
        let settings = format!(
            "node_name = \"entry-1\"\nip = \"127.0.0.1\"\ninternal_port_range = [{port}, {port}]\n\
             [listen_addresses]\nfrontend = \"{clients}\"\nready = \"{readiness}\"\n\
             [limits]\nmemory_mb = {MEMORY_MB}\nfile_descriptors = {FILE_DESCRIPTORS}\n\
             [platform]\naddress = \"{store}\"\nwrites_per_s = 400\nreads_per_s = 2000\n",
            port = internal.port(),
        );
        fs::write(&path, settings).unwrap();
        let log = fs::File::create(directory.path().join("log")).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_hemlockmoor"))
            .args(["entry", "--platform", "--metrics-port"])
            .arg(metrics.port().to_string())
            .env("HEMLOCKMOOR_CONFIG", &path)
            .stdout(log)
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        let entry = Self {
            child,
            clients,
            readiness,
            metrics,
            _directory: directory,
        };
        entry.accept_a_job("0000000000000001");
        entry
    }

    /// Submits an ordinary job until it is accepted, as a client that repeats its call does.
    fn accept_a_job(&self, name: &str) {
        let until = Instant::now() + GIVE_UP;
        let body = r#"{"spec":"","steps":[{"count":1,"cpu":10,"mem_mb":1,"estimate_ms":10}]}"#;
        let request = format!(
            "POST /queue/{name} HTTP/1.1\r\nhost: clients\r\nconnection: close\r\n\
             content-length: {}\r\n\r\n{body}",
            body.len()
        );
        let mut last = None;
        while Instant::now() < until {
            let answer = exchange(self.clients, request.as_bytes());
            if answer
                .as_ref()
                .is_ok_and(|text| text.starts_with("HTTP/1.1 200"))
            {
                return;
            }
            last = Some(answer);
            thread::sleep(RETRY_DELAY);
        }
        panic!("no job accepted: {last:?}");
    }

    fn address(&self, target: Target) -> (SocketAddr, &'static str) {
        match target {
            Target::Queue => (self.clients, "/queue/00000000000000aa"),
            Target::UnknownPath => (self.clients, "/none/00000000000000aa"),
            Target::Readiness => (self.readiness, "/readiness"),
            Target::Metrics => (self.metrics, "/metrics"),
        }
    }

    /// Asks the address of the crowd until it answers, as the load balancer does.
    fn answer_at(&self, target: Target) {
        let (address, path) = self.address(target);
        let request = format!("GET {path} HTTP/1.1\r\nhost: clients\r\nconnection: close\r\n\r\n");
        let until = Instant::now() + GIVE_UP;
        while Instant::now() < until {
            let answer = exchange(address, request.as_bytes());
            if answer.is_ok_and(|text| text.starts_with("HTTP/1.1 ")) {
                return;
            }
            thread::sleep(RETRY_DELAY);
        }
        panic!("no answer at {target:?}");
    }

    fn peak_memory_kb(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let line = status.lines().find(|line| line.starts_with("VmHWM:"));
        line.unwrap()
            .split_whitespace()
            .nth(1)
            .unwrap()
            .parse()
            .unwrap()
    }

    fn open_descriptors(&self) -> u64 {
        let open = fs::read_dir(format!("/proc/{}/fd", self.child.id()));
        open.unwrap().count() as u64
    }

    /// Checks that the process lives and has stayed within its limits.
    #[track_caller]
    fn check(&mut self, when: &str) {
        assert!(self.child.try_wait().unwrap().is_none(), "ended {when}");
        let (peak_kb, open) = (self.peak_memory_kb(), self.open_descriptors());
        println!("{when}: peak {peak_kb} kB, {open} descriptors");
        assert!(
            peak_kb < MEMORY_MB * 1024,
            "peak memory {peak_kb} kB {when}"
        );
        assert!(open < FILE_DESCRIPTORS, "{open} descriptors {when}");
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// One queue, and the limits of the operator's configuration.
const CONFIG: &str = r#"{"version":1,
    "routes":[{"name":"q","host":"clients","path_prefix":"/queue/","service":"s","priority":0,
        "max_attempts":3,"slack_factor":2.0,"target_latency_ms":1000}],
    "services":[{"name":"s"}],
    "limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,
        "idle_timeout_ms":15000}}"#;

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let mut three = [0; 4];
        three[1..=part.len()].copy_from_slice(part);
        let number = u32::from_be_bytes(three);
        for digit in 0..4 {
            let index = (number >> (18 - 6 * digit)) & 63;
            let is_padding = digit > part.len();
            let character = DIGITS[usize::try_from(index).unwrap()];
            text.push(if is_padding {
                '='
            } else {
                char::from(character)
            });
        }
    }
    text
}

fn exchange(address: SocketAddr, request: &[u8]) -> std::io::Result<String> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_read_timeout(Some(Duration::from_secs(5)))?;
    stream.write_all(request)?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer)?;
    Ok(answer)
}

/// Guards against an entry that dies of, or hangs on, clients that nobody controls.
#[rstest]
fn an_entry_survives_misbehaving_clients(
    #[values(Target::Queue, Target::UnknownPath, Target::Readiness, Target::Metrics)]
    target: Target,
    #[values(
        Kind::BodyInOnePiece,
        Kind::BodyInSmallPieces,
        Kind::ChunkedBody,
        Kind::OversizedBody,
        Kind::OversizedChunkedBody,
        Kind::ManySteps,
        Kind::ManyAfter,
        Kind::Pipelined,
        Kind::SlowHead,
        Kind::SlowBody
    )]
    kind: Kind,
) {
    let _alone = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
    let mut entry = Entry::start();
    entry.check("when calm");
    let (address, path) = entry.address(target);
    let crowd = crowd::send(kind, address, path);
    thread::sleep(HOLDING);
    entry.check("with the crowd");
    entry.accept_a_job("0000000000000002");
    entry.check("after a job was accepted");
    entry.answer_at(target);
    drop(crowd);
}

/// Guards against limits that refuse a client who keeps to the rules of the configuration.
#[test]
fn a_single_request_of_the_largest_legal_size_is_served() {
    let _alone = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
    let entry = Entry::start();
    let steps = r#"{"spec":"","steps":[{"count":1,"cpu":10,"mem_mb":1,"estimate_ms":10}]}"#;
    let body = format!("{steps}{}", " ".repeat(MAX_BODY_BYTES - steps.len()));
    let request = format!(
        "POST /queue/0000000000000003 HTTP/1.1\r\nhost: clients\r\nconnection: close\r\n\
         content-length: {}\r\n\r\n{body}",
        body.len()
    );
    let answer = exchange(entry.clients, request.as_bytes()).unwrap();
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
}
