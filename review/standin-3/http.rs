//! A small HTTP/1.1 server with one thread a connection, and a client for single calls.

use std::{
    collections::BTreeMap,
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Mutex,
    },
    thread,
    time::{Duration, Instant},
};

pub struct Request {
    pub method: String,
    pub path: String,
    pub query: BTreeMap<String, String>,
    pub headers: BTreeMap<String, String>,
    pub body: String,
}

/// The status and body of an answer; `None` closes the connection without one.
pub type Answer = Option<(u16, String)>;
pub type Handler = Arc<dyn Fn(&Request) -> Answer + Send + Sync>;

/// A running server, which can be stopped like a process that is killed.
pub struct Server {
    address: SocketAddr,
    is_stopped: Arc<AtomicBool>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
}

impl Server {
    /// Listens at an address; tries again for a while if it is still taken.
    pub fn start(address: SocketAddr, handler: Handler) -> Server {
        let mut listener = None;
        for _ in 0..200 {
            match TcpListener::bind(address) {
                Ok(bound) => {
                    listener = Some(bound);
                    break;
                }
                Err(_) => thread::sleep(Duration::from_millis(10)),
            }
        }
        let listener = listener.expect("the address can be bound");
        let is_stopped = Arc::new(AtomicBool::new(false));
        let connections: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
        let (stopped, open) = (Arc::clone(&is_stopped), Arc::clone(&connections));
        thread::spawn(move || {
            for stream in listener.incoming() {
                if stopped.load(Ordering::SeqCst) {
                    return;
                }
                let Ok(stream) = stream else { continue };
                let _ = stream.set_nodelay(true);
                if let Ok(copy) = stream.try_clone() {
                    open.lock().unwrap().push(copy);
                }
                let (handler, stopped) = (Arc::clone(&handler), Arc::clone(&stopped));
                thread::spawn(move || serve(stream, &handler, &stopped));
            }
        });
        Server {
            address,
            is_stopped,
            connections,
        }
    }

    /// Closes the listener and all connections.
    pub fn stop(&self) {
        self.is_stopped.store(true, Ordering::SeqCst);
        let _ = TcpStream::connect(self.address);
        for stream in self.connections.lock().unwrap().drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }
}

fn serve(mut stream: TcpStream, handler: &Handler, stopped: &AtomicBool) {
    let mut buf = Vec::new();
    while let Some(request) = read_request(&mut stream, &mut buf) {
        let Some((status, body)) = handler(&request) else {
            break;
        };
        if stopped.load(Ordering::SeqCst) {
            break;
        }
        let head = format!(
            "HTTP/1.1 {status} X\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
            body.len()
        );
        let mut answer = head.into_bytes();
        answer.extend_from_slice(body.as_bytes());
        if stream.write_all(&answer).is_err() {
            break;
        }
    }
    let _ = stream.shutdown(std::net::Shutdown::Both);
}

fn read_request(stream: &mut TcpStream, buf: &mut Vec<u8>) -> Option<Request> {
    let head_end = loop {
        if let Some(at) = buf.windows(4).position(|part| part == b"\r\n\r\n") {
            break at;
        }
        read_more(stream, buf)?;
    };
    let head = String::from_utf8(buf[..head_end].to_vec()).ok()?;
    let mut lines = head.split("\r\n");
    let mut first = lines.next()?.split(' ');
    let (method, target) = (first.next()?.to_owned(), first.next()?.to_owned());
    let mut headers = BTreeMap::new();
    for line in lines {
        if let Some((name, value)) = line.split_once(':') {
            headers.insert(name.trim().to_lowercase(), value.trim().to_owned());
        }
    }
    let length = headers.get("content-length");
    let length: usize = length.and_then(|text| text.parse().ok()).unwrap_or(0);
    let end = head_end + 4 + length;
    while buf.len() < end {
        read_more(stream, buf)?;
    }
    let body = String::from_utf8(buf[head_end + 4..end].to_vec()).ok()?;
    buf.drain(..end);
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let mut pairs = BTreeMap::new();
    for pair in query.split('&').filter(|pair| !pair.is_empty()) {
        let (name, value) = pair.split_once('=').unwrap_or((pair, ""));
        pairs.insert(decode(name), decode(value));
    }
    Some(Request {
        method,
        path: path.to_owned(),
        query: pairs,
        headers,
        body,
    })
}

fn read_more(stream: &mut TcpStream, buf: &mut Vec<u8>) -> Option<()> {
    let mut part = [0; 16_384];
    let count = stream.read(&mut part).ok().filter(|count| *count > 0)?;
    buf.extend_from_slice(&part[..count]);
    Some(())
}

/// Decodes percent signs of a query.
fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let hex = text.get(at + 1..at + 3);
        match (
            bytes[at],
            hex.and_then(|hex| u8::from_str_radix(hex, 16).ok()),
        ) {
            (b'%', Some(byte)) => {
                out.push(byte);
                at += 3;
            }
            (b'+', _) => {
                out.push(b' ');
                at += 1;
            }
            (byte, _) => {
                out.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Makes one call; returns the status and body, or why there is no answer.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    host: &str,
    body: &str,
    timeout: Duration,
) -> Result<(u16, String), String> {
    let give_up_at = Instant::now() + timeout;
    let mut stream =
        TcpStream::connect_timeout(&address, timeout).map_err(|error| error.to_string())?;
    let _ = stream.set_nodelay(true);
    let request = format!(
        "{method} {path} HTTP/1.1\r\nhost: {host}\r\ncontent-type: application/json\r\n\
         x-deadline-ms: {}\r\nconnection: close\r\ncontent-length: {}\r\n\r\n{body}",
        timeout.as_millis(),
        body.len()
    );
    stream
        .write_all(request.as_bytes())
        .map_err(|error| error.to_string())?;
    let mut answer = Vec::new();
    let mut part = [0; 16_384];
    loop {
        let left = give_up_at.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err("no answer in time".to_owned());
        }
        let _ = stream.set_read_timeout(Some(left));
        match stream.read(&mut part) {
            Ok(0) => break,
            Ok(count) => answer.extend_from_slice(&part[..count]),
            Err(error) => return Err(error.to_string()),
        }
    }
    let answer = String::from_utf8_lossy(&answer).into_owned();
    let (head, body) = answer.split_once("\r\n\r\n").ok_or("no complete answer")?;
    let status = head.split(' ').nth(1).and_then(|text| text.parse().ok());
    Ok((status.ok_or("no status")?, body.to_owned()))
}
