//! Measures the latency that an entry and an agent add to a direct call.
//!
//! `cargo run --release -p entry --example overhead -- [CALLS]`. Direct calls and
//! calls through the system alternate on kept-alive connections over loopback, so
//! that both run under the same load of the machine. `docs/MEASUREMENTS.md` lists the
//! results.

#![allow(clippy::unwrap_used, reason = "a measurement may panic")]

#[path = "../tests/common/mod.rs"]
#[allow(dead_code, reason = "shared with tests")]
mod common;

use std::{net::SocketAddr, time::Instant};

use common::{Agent, Entry, SERVICE};
use hdrhistogram::Histogram;
use http_body_util::{BodyExt, Full};
use hyper::{body::Bytes, client::conn::http1};
use smol::net::TcpStream;
use smol_hyper::rt::FuturesIo;

const DEFAULT_CALLS: u64 = 20_000;
const WARM_UP_CALLS: u64 = 1_000;
const CALLERS: [usize; 2] = [1, 8];

/// A kept-alive connection of one caller.
struct Connection {
    sender: http1::SendRequest<Full<Bytes>>,
    path: String,
}

impl Connection {
    async fn open(address: SocketAddr, path: &str) -> Self {
        let stream = TcpStream::connect(address).await.unwrap();
        stream.set_nodelay(true).unwrap();
        let (sender, driver) = http1::handshake(FuturesIo::new(stream)).await.unwrap();
        smol::spawn(async move {
            let _ = driver.await;
        })
        .detach();
        Self {
            sender,
            path: path.to_owned(),
        }
    }

    async fn call(&mut self) -> u64 {
        let req = http::Request::get(self.path.as_str())
            .header("host", "127.0.0.1")
            .header("x-request-id", "measured")
            .body(Full::default())
            .unwrap();
        let started = Instant::now();
        self.sender.ready().await.unwrap();
        let resp = self.sender.send_request(req).await.unwrap();
        assert!(resp.status().is_success(), "{resp:?}");
        resp.into_body().collect().await.unwrap();
        started.elapsed().as_nanos() as u64
    }
}

async fn caller(entry: SocketAddr, endpoint: SocketAddr, calls: u64) -> [Histogram<u64>; 2] {
    let mut direct = Connection::open(endpoint, "/players").await;
    let mut through = Connection::open(entry, &format!("/{SERVICE}/players")).await;
    let mut latencies = [(); 2].map(|()| Histogram::new(3).unwrap());
    for number in 0..calls + WARM_UP_CALLS {
        let both = [direct.call().await, through.call().await];
        if number < WARM_UP_CALLS {
            continue;
        }
        for (histogram, nanos) in latencies.iter_mut().zip(both) {
            histogram.record(nanos).unwrap();
        }
    }
    latencies
}

async fn measure(callers: usize, calls: u64) {
    let agent = Agent::start("vm-1", "plateau", 64).await;
    let entry = Entry::start(1).await;
    agent.announce(&entry);
    let mut running = Vec::new();
    for _ in 0..callers {
        let calls = calls / callers as u64;
        running.push(smol::spawn(caller(
            entry.address,
            agent.endpoint.address(),
            calls,
        )));
    }
    let mut all = [(); 2].map(|()| Histogram::new(3).unwrap());
    for caller in running {
        for (sum, part) in all.iter_mut().zip(caller.await) {
            sum.add(part).unwrap();
        }
    }
    for quantile in [0.5, 0.9, 0.99] {
        let [direct, through] = [0, 1].map(|at| all[at].value_at_quantile(quantile) as f64 / 1e6);
        println!(
            "{callers:>7} {:>5} {direct:>10.3} {through:>11.3} {:>9.3}",
            format!("p{}", (quantile * 100.0) as u32),
            through - direct
        );
    }
}

fn main() {
    let calls = std::env::args().nth(1);
    let calls = calls
        .and_then(|calls| calls.parse().ok())
        .unwrap_or(DEFAULT_CALLS);
    println!("{calls} calls each way, kept connections over loopback, one process");
    println!("callers         direct ms  through ms  added ms");
    smol::block_on(async {
        for callers in CALLERS {
            measure(callers, calls).await;
        }
    });
}
