//! Crowds of misbehaving clients: each sends its requests without waiting for answers, as far as
//! the server takes them, and then stays open without reading.

use std::{
    io::{ErrorKind, Write},
    net::{SocketAddr, TcpStream},
    thread,
    time::{Duration, Instant},
};

/// The number of clients: more connections than the lowered descriptor limit leaves.
const CLIENTS: usize = 160;
/// How long a crowd sends at most.
const SENDING: Duration = Duration::from_millis(800);
/// How long the clients pause if none of them can send.
const PAUSE: Duration = Duration::from_millis(5);
/// The largest body that the configuration allows.
pub(crate) const MAX_BODY_BYTES: usize = 262_144;
/// The number of chunks of one byte that a chunked body sends.
const CHUNKS: usize = 40_000;
/// The number of bytes that a body far over the limit sends.
const OVERSIZED_BYTES: usize = 4 << 20;
/// The number of requests in a pipeline.
const PIPELINED: usize = 2_000;
/// How many bytes a slow client sends at a time.
const SLOW_PIECE: usize = 1;

/// What the clients of a crowd do.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Kind {
    /// A body of legal size that stops one byte before its end.
    BodyInOnePiece,
    /// The same in pieces of 512 bytes.
    BodyInSmallPieces,
    /// A body in chunks of one byte that stops before its end.
    ChunkedBody,
    /// A body far over the limit, of which the length is stated.
    OversizedBody,
    /// A body far over the limit in chunks.
    OversizedChunkedBody,
    /// A complete request of legal size with as many steps as fit.
    ManySteps,
    /// A complete request of legal size with as many entries of `after` as fit.
    ManyAfter,
    /// Many requests at once; the answers are not read.
    Pipelined,
    /// A head that arrives byte by byte and stops half-way.
    SlowHead,
    /// A body that arrives byte by byte and stops half-way.
    SlowBody,
}

impl Kind {
    /// The bytes that a client sends to `path`, and how many at a time.
    fn script(self, path: &str) -> (Vec<u8>, usize) {
        let post = |header: String, body: &[u8]| {
            let head = format!("POST {path} HTTP/1.1\r\nhost: clients\r\n{header}\r\n\r\n");
            let mut bytes = head.into_bytes();
            bytes.extend_from_slice(body);
            bytes
        };
        let sized = |body: &[u8], missing: usize| {
            post(format!("content-length: {}", body.len() + missing), body)
        };
        let chunked = |body: &[u8]| post("transfer-encoding: chunked".to_owned(), body);
        let filling = |start: &str, unit: &str, end: &str| {
            let count = (MAX_BODY_BYTES - start.len() - end.len()) / unit.len();
            format!("{start}{}{end}", unit.repeat(count)).into_bytes()
        };
        let legal = vec![b' '; MAX_BODY_BYTES - 1];
        let all = usize::MAX;
        match self {
            Self::BodyInOnePiece => (sized(&legal, 1), all),
            Self::BodyInSmallPieces => (sized(&legal, 1), 512),
            Self::ChunkedBody => (chunked(&b"1\r\n \r\n".repeat(CHUNKS)), all),
            Self::OversizedBody => (sized(&vec![b' '; OVERSIZED_BYTES], OVERSIZED_BYTES), all),
            Self::OversizedChunkedBody => {
                let mut chunk = b"1000\r\n".to_vec();
                chunk.resize(chunk.len() + 0x1000, b' ');
                chunk.extend_from_slice(b"\r\n");
                (chunked(&chunk.repeat(OVERSIZED_BYTES / 0x1000)), all)
            }
            Self::ManySteps => (sized(&filling(r#"{"steps":[{}"#, ",{}", "]}"), 0), all),
            Self::ManyAfter => {
                let start = r#"{"steps":[{"count":1,"after":[0"#;
                (sized(&filling(start, ",0", "]}]}"), 0), all)
            }
            Self::Pipelined => {
                let request = format!("GET {path} HTTP/1.1\r\nhost: clients\r\n\r\n");
                (request.repeat(PIPELINED).into_bytes(), all)
            }
            Self::SlowHead => {
                let head = format!("POST {path} HTTP/1.1\r\nhost: clients\r\nx-slow: ");
                (head.into_bytes(), SLOW_PIECE)
            }
            Self::SlowBody => (sized(&[b' '; 64], MAX_BODY_BYTES / 2), SLOW_PIECE),
        }
    }
}

/// Opens the connections of a crowd and sends what they have to send; returns those that the
/// server has not closed, which the caller keeps open.
pub(crate) fn send(kind: Kind, address: SocketAddr, path: &str) -> Vec<TcpStream> {
    let (script, piece) = kind.script(path);
    let mut clients: Vec<(TcpStream, usize)> = Vec::new();
    for _ in 0..CLIENTS {
        let Ok(stream) = TcpStream::connect(address) else {
            continue;
        };
        stream.set_nonblocking(true).unwrap();
        stream.set_nodelay(true).unwrap();
        clients.push((stream, 0));
    }
    let until = Instant::now() + SENDING;
    while Instant::now() < until && clients.iter().any(|(_, sent)| *sent < script.len()) {
        let mut progress = false;
        clients.retain_mut(|(stream, sent)| {
            if *sent == script.len() {
                return true;
            }
            let end = sent.saturating_add(piece).min(script.len());
            match stream.write(&script[*sent..end]) {
                Ok(count) => *sent += count,
                Err(error) => return error.kind() == ErrorKind::WouldBlock,
            }
            progress = true;
            true
        });
        if !progress || piece == SLOW_PIECE {
            thread::sleep(PAUSE);
        }
    }
    clients.into_iter().map(|(stream, _)| stream).collect()
}
