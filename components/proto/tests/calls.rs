//! Calls between two processes over loopback sockets.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

use std::{net::SocketAddr, time::Duration};

use kernel::{Verdict, secret::Secrets};
use proto::{
    Peer, Router, RpcError,
    messages::{Cancel, CancelReply},
    methods::{CancelCall, JobsCall},
    serve,
};
use rstest::rstest;
use smol::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
};

const TIMEOUT: Duration = Duration::from_secs(20);

fn secrets(text: &str) -> Secrets {
    Secrets::parse(text).unwrap()
}

fn cancel(job: &str) -> Cancel {
    Cancel {
        job: job.parse().unwrap(),
    }
}

async fn answer(req: Cancel) -> Result<CancelReply, RpcError> {
    match req.job.as_str() {
        "refused" => Err(RpcError::not_run("refused here")),
        "slow" => {
            smol::Timer::after(Duration::from_millis(200)).await;
            Ok(reply())
        }
        "never" => smol::future::pending().await,
        _ => Ok(reply()),
    }
}

fn reply() -> CancelReply {
    CancelReply {
        verdict: Verdict::Done,
        known: true,
    }
}

async fn listen() -> (SocketAddr, smol::channel::Sender<()>, smol::Task<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (tx, rx) = smol::channel::bounded::<()>(1);
    let router = Router::new().on::<CancelCall, _, _>(answer);
    let server = smol::spawn(serve(
        listener,
        router,
        secrets("the-first-secret-1\nthe-other-secret-2"),
        async move {
            let _ = rx.recv().await;
        },
    ));
    (address, tx, server)
}

#[rstest]
#[case::first("the-first-secret-1")]
#[case::second_while_rotating("the-other-secret-2")]
fn a_call_with_a_listed_secret_is_answered(#[case] secret: &str) {
    smol::block_on(async {
        let (address, _stop, _server) = listen().await;
        let peer = Peer::new(address, secrets(secret));
        let got = peer.call::<CancelCall>(cancel("a"), TIMEOUT).await.unwrap();
        assert_eq!(got.verdict, Verdict::Done);
    });
}

#[test]
fn failures_carry_the_verdict() {
    smol::block_on(async {
        let (address, _stop, _server) = listen().await;
        let peer = Peer::new(address, secrets("the-first-secret-1"));
        let refused = peer.call::<CancelCall>(cancel("refused"), TIMEOUT).await;
        assert_eq!(refused.unwrap_err().verdict, Verdict::NotRun);
        let unknown = peer.call::<JobsCall>(Default::default(), TIMEOUT).await;
        assert_eq!(unknown.unwrap_err().verdict, Verdict::NotRun);
        let late = peer.call::<CancelCall>(cancel("never"), Duration::from_millis(50));
        assert_eq!(late.await.unwrap_err().verdict, Verdict::MayHaveRun);
        let stranger = Peer::new(address, secrets("a-wrong-secret-000"));
        let wrong = stranger.call::<CancelCall>(cancel("a"), TIMEOUT).await;
        assert_eq!(wrong.unwrap_err().verdict, Verdict::NotRun);
        let nobody = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let closed = nobody.local_addr().unwrap();
        drop(nobody);
        let absent = Peer::new(closed, secrets("the-first-secret-1"));
        let gone = absent.call::<CancelCall>(cancel("a"), TIMEOUT).await;
        assert_eq!(gone.unwrap_err().verdict, Verdict::NotRun);
    });
}

#[rstest]
#[case::nonsense(&[0xff; 4096])]
#[case::another_protocol(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n")]
#[case::silence(b"")]
#[case::half_a_beginning(b"PRI * HTTP/2.0")]
fn a_peer_that_does_not_speak_the_protocol_is_dropped(#[case] says: &[u8]) {
    smol::block_on(async {
        let (address, _stop, _server) = listen().await;
        let mut stranger = smol::net::TcpStream::connect(address).await.unwrap();
        stranger.write_all(says).await.unwrap();
        let mut answer = Vec::new();
        // The connection ends; whether in order or by a reset is of no matter.
        let _ = stranger.read_to_end(&mut answer).await;
        assert_eq!(answer, Vec::<u8>::new());
        let peer = Peer::new(address, secrets("the-first-secret-1"));
        let got = peer.call::<CancelCall>(cancel("a"), TIMEOUT).await;
        assert!(got.unwrap().known);
    });
}

#[test]
fn a_stop_lets_calls_in_progress_end() {
    smol::block_on(async {
        let (address, stop, server) = listen().await;
        let peer = Peer::new(address, secrets("the-first-secret-1"));
        peer.call::<CancelCall>(cancel("a"), TIMEOUT).await.unwrap();
        let slow = peer.call::<CancelCall>(cancel("slow"), TIMEOUT);
        let stopping = async {
            smol::Timer::after(Duration::from_millis(20)).await;
            stop.send(()).await.unwrap();
            server.await;
        };
        let (got, ()) = futures_lite::future::zip(slow, stopping).await;
        assert!(got.unwrap().known);
        let after = peer.call::<CancelCall>(cancel("a"), TIMEOUT).await;
        assert_eq!(after.unwrap_err().verdict, Verdict::NotRun);
    });
}
