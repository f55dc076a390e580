//! Helpers of the measuring commands: resource usage of this process, regression and
//! a counting relay.

#![allow(dead_code, reason = "each measuring command uses a part")]

use std::{
    fs,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use futures_lite::{AsyncReadExt, AsyncWriteExt, future::zip};
use smol::net::{TcpListener, TcpStream};

const NANOS_PER_SECOND: f64 = 1e9;
const KIB_PER_MIB: f64 = 1024.0;

/// Returns the processor time of all threads of this process, in seconds.
pub(crate) fn cpu_seconds() -> f64 {
    let mut nanos = 0.0;
    let Ok(threads) = fs::read_dir("/proc/self/task") else {
        return 0.0;
    };
    for thread in threads.flatten() {
        let stat = fs::read_to_string(thread.path().join("schedstat")).unwrap_or_default();
        let ran = stat.split_whitespace().next().unwrap_or("0");
        nanos += ran.parse::<f64>().unwrap_or(0.0);
    }
    nanos / NANOS_PER_SECOND
}

/// Returns the resident memory of this process, in MiB.
pub(crate) fn resident_mib() -> f64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kib = line.and_then(|line| line.split_whitespace().nth(1));
    kib.and_then(|kib| kib.parse::<f64>().ok()).unwrap_or(0.0) / KIB_PER_MIB
}

/// Measures processor time and wall time since its start.
pub(crate) struct Meter {
    started: Instant,
    cpu: f64,
}

impl Meter {
    pub(crate) fn start() -> Self {
        Self {
            started: Instant::now(),
            cpu: cpu_seconds(),
        }
    }

    /// Returns the processor seconds since the start.
    pub(crate) fn cpu(&self) -> f64 {
        cpu_seconds() - self.cpu
    }

    /// Returns the wall seconds since the start.
    pub(crate) fn wall(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }
}

/// Repeats `work` for `span` and returns the mean time of one run, in microseconds.
pub(crate) fn micros_each(span: Duration, mut work: impl FnMut()) -> f64 {
    let started = Instant::now();
    let mut runs = 0_u32;
    while started.elapsed() < span {
        for _ in 0..16 {
            work();
        }
        runs += 16;
    }
    started.elapsed().as_secs_f64() * 1e6 / f64::from(runs)
}

/// Fits a straight line to `points` by least squares; returns its intercept and slope.
pub(crate) fn fit_line(points: &[(f64, f64)]) -> (f64, f64) {
    let n = points.len() as f64;
    let mean_x = points.iter().map(|p| p.0).sum::<f64>() / n;
    let mean_y = points.iter().map(|p| p.1).sum::<f64>() / n;
    let covariance: f64 = points.iter().map(|p| (p.0 - mean_x) * (p.1 - mean_y)).sum();
    let variance: f64 = points.iter().map(|p| (p.0 - mean_x).powi(2)).sum();
    let slope = covariance / variance;
    (mean_y - slope * mean_x, slope)
}

/// Bytes that a [`relay`] has forwarded, by direction.
#[derive(Clone, Default)]
pub(crate) struct Bytes {
    pub(crate) up: Arc<AtomicU64>,
    pub(crate) down: Arc<AtomicU64>,
}

impl Bytes {
    pub(crate) fn total(&self) -> u64 {
        self.up.load(Ordering::Relaxed) + self.down.load(Ordering::Relaxed)
    }
}

/// Listens on a free port, forwards every connection to `target` and counts the bytes.
pub(crate) async fn relay(target: SocketAddr) -> std::io::Result<(SocketAddr, Bytes)> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    let bytes = Bytes::default();
    let counted = bytes.clone();
    smol::spawn(async move {
        while let Ok((near, _)) = listener.accept().await {
            let Ok(far) = TcpStream::connect(target).await else {
                continue;
            };
            let _ = near.set_nodelay(true);
            let _ = far.set_nodelay(true);
            let up = copy(near.clone(), far.clone(), Arc::clone(&counted.up));
            let down = copy(far, near, Arc::clone(&counted.down));
            smol::spawn(async move {
                zip(up, down).await;
            })
            .detach();
        }
    })
    .detach();
    Ok((address, bytes))
}

async fn copy(mut from: TcpStream, mut to: TcpStream, count: Arc<AtomicU64>) {
    let mut buf = vec![0; 64 * 1024];
    while let Ok(n) = from.read(&mut buf).await {
        if n == 0 || to.write_all(&buf[..n]).await.is_err() {
            break;
        }
        count.fetch_add(n as u64, Ordering::Relaxed);
    }
    let _ = to.close().await;
}

/// Returns the value after the flag `name` on the command line, or `default`.
pub(crate) fn argument<T: std::str::FromStr>(name: &str, default: T) -> T {
    let mut args = std::env::args().skip_while(|arg| arg != name);
    args.nth(1)
        .and_then(|value| value.parse().ok())
        .unwrap_or(default)
}
