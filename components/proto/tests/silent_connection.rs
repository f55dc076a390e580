//! A connection between two processes that falls silent without being closed.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use futures_lite::future::zip;
use kernel::{Verdict, secret::Secrets};
use proto::{
    Peer, Router,
    messages::{Cancel, CancelReply},
    methods::CancelCall,
    serve,
};
use rstest::rstest;
use smol::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

const SECRET: &str = "the-first-secret-1";
const TIMEOUT: Duration = Duration::from_secs(20);
/// Shorter than the time after which a connection without answers is probed.
const SHORT_TIMEOUT: Duration = Duration::from_millis(100);

async fn start_server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let router = Router::new().on::<CancelCall, _, _>(async |_: Cancel| {
        Ok(CancelReply {
            verdict: Verdict::Done,
            known: true,
        })
    });
    let secrets = Secrets::parse(SECRET).unwrap();
    smol::spawn(serve(listener, router, secrets, smol::future::pending())).detach();
    address
}

async fn forward(mut from: TcpStream, mut to: TcpStream, is_silent: Arc<AtomicBool>) {
    let mut buf = [0; 4096];
    while let Ok(count @ 1..) = from.read(&mut buf).await {
        if is_silent.load(Ordering::SeqCst) {
            return smol::future::pending().await;
        }
        to.write_all(&buf[..count]).await.unwrap();
    }
}

/// Forwards connections to the server; the first one falls silent when the flag is set.
async fn start_proxy(server: SocketAddr, is_silent: Arc<AtomicBool>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    smol::spawn(async move {
        let mut silence = is_silent;
        loop {
            let (client, _) = listener.accept().await.unwrap();
            let server = TcpStream::connect(server).await.unwrap();
            let silence = std::mem::take(&mut silence);
            let requests = forward(client.clone(), server.clone(), Arc::clone(&silence));
            let replies = forward(server, client, silence);
            smol::spawn(zip(requests, replies)).detach();
        }
    })
    .detach();
    address
}

/// Guards against calls that keep failing on a silent connection until a probe notices it.
#[rstest]
#[case::after_an_answer(false)]
#[case::from_the_start(true)]
fn a_silent_connection_fails_the_calls_of_one_timeout_only(#[case] from_the_start: bool) {
    smol::block_on(async {
        let is_silent = Arc::new(AtomicBool::new(from_the_start));
        let proxy = start_proxy(start_server().await, Arc::clone(&is_silent)).await;
        let peer = Peer::new(proxy, Secrets::parse(SECRET).unwrap());
        let cancel = || Cancel {
            job: "a".parse().unwrap(),
        };
        if !from_the_start {
            peer.call::<CancelCall>(cancel(), TIMEOUT).await.unwrap();
        }
        is_silent.store(true, Ordering::SeqCst);
        let lost = peer.call::<CancelCall>(cancel(), SHORT_TIMEOUT).await;
        assert_eq!(lost.unwrap_err().verdict, Verdict::MayHaveRun);
        let answered = peer.call::<CancelCall>(cancel(), TIMEOUT).await;
        assert_eq!(answered.unwrap().verdict, Verdict::Done);
    });
}
