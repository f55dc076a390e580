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

async fn handle_cancel(req: Cancel) -> Result<CancelReply, RpcError> {
    match req.job.as_str() {
        "refused" => Err(RpcError::not_run("refused here")),
        "slow" => {
            smol::Timer::after(Duration::from_millis(200)).await;
            Ok(done_reply())
        }
        "never" => smol::future::pending().await,
        _ => Ok(done_reply()),
    }
}

fn done_reply() -> CancelReply {
    CancelReply {
        verdict: Verdict::Done,
        known: true,
    }
}

async fn start_server() -> (SocketAddr, smol::channel::Sender<()>, smol::Task<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (tx, rx) = smol::channel::bounded::<()>(1);
    let router = Router::new().on::<CancelCall, _, _>(handle_cancel);
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
fn a_call_with_a_listed_secret_is_accepted(#[case] secret: &str) {
    smol::block_on(async {
        let (address, _stop, _server) = start_server().await;
        let peer = Peer::new(address, secrets(secret));
        let reply = peer.call::<CancelCall>(cancel("a"), TIMEOUT).await.unwrap();
        assert_eq!(reply.verdict, Verdict::Done);
    });
}

#[test]
fn failed_calls_report_whether_they_may_have_run() {
    smol::block_on(async {
        let (address, _stop, _server) = start_server().await;
        let peer = Peer::new(address, secrets("the-first-secret-1"));
        let refused = peer.call::<CancelCall>(cancel("refused"), TIMEOUT).await;
        assert_eq!(refused.unwrap_err().verdict, Verdict::NotRun);
        let unknown = peer.call::<JobsCall>(Default::default(), TIMEOUT).await;
        assert_eq!(unknown.unwrap_err().verdict, Verdict::NotRun);
        let late = peer.call::<CancelCall>(cancel("never"), Duration::from_millis(50));
        assert_eq!(late.await.unwrap_err().verdict, Verdict::MayHaveRun);
        let unauthorized = Peer::new(address, secrets("a-wrong-secret-000"));
        let wrong = unauthorized.call::<CancelCall>(cancel("a"), TIMEOUT).await;
        assert_eq!(wrong.unwrap_err().verdict, Verdict::NotRun);
        let unused = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let closed = unused.local_addr().unwrap();
        drop(unused);
        let unreachable = Peer::new(closed, secrets("the-first-secret-1"));
        let refused_connection = unreachable.call::<CancelCall>(cancel("a"), TIMEOUT).await;
        assert_eq!(refused_connection.unwrap_err().verdict, Verdict::NotRun);
    });
}

#[rstest]
#[case::nonsense(&[0xff; 4096])]
#[case::another_protocol(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n")]
#[case::no_bytes(b"")]
#[case::partial_preface(b"PRI * HTTP/2.0")]
fn a_client_that_does_not_speak_http2_is_disconnected(#[case] sent: &[u8]) {
    smol::block_on(async {
        let (address, _stop, _server) = start_server().await;
        let mut client = smol::net::TcpStream::connect(address).await.unwrap();
        client.write_all(sent).await.unwrap();
        let mut received = Vec::new();
        // The server may close the connection either in order or by a reset.
        let _ = client.read_to_end(&mut received).await;
        assert_eq!(received, Vec::<u8>::new());
        let peer = Peer::new(address, secrets("the-first-secret-1"));
        let reply = peer.call::<CancelCall>(cancel("a"), TIMEOUT).await;
        assert!(reply.unwrap().known);
    });
}

#[test]
fn a_stopped_server_completes_calls_in_progress() {
    smol::block_on(async {
        let (address, stop, server) = start_server().await;
        let peer = Peer::new(address, secrets("the-first-secret-1"));
        peer.call::<CancelCall>(cancel("a"), TIMEOUT).await.unwrap();
        let slow = peer.call::<CancelCall>(cancel("slow"), TIMEOUT);
        let stopping = async {
            smol::Timer::after(Duration::from_millis(20)).await;
            stop.send(()).await.unwrap();
            server.await;
        };
        let (reply, ()) = futures_lite::future::zip(slow, stopping).await;
        assert!(reply.unwrap().known);
        let after = peer.call::<CancelCall>(cancel("a"), TIMEOUT).await;
        assert_eq!(after.unwrap_err().verdict, Verdict::NotRun);
    });
}
