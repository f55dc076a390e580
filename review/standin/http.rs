//! HTTP/1.1 over blocking sockets: a server with a thread for each connection, and a client
//! that opens a connection for each call.

use std::{
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

#[derive(Clone, Debug, Default)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub query: Vec<(String, String)>,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Request {
    pub fn query(&self, name: &str) -> &str {
        find(&self.query, name)
    }

    pub fn header(&self, name: &str) -> &str {
        find(&self.headers, name)
    }
}

fn find<'a>(pairs: &'a [(String, String)], name: &str) -> &'a str {
    pairs
        .iter()
        .find(|(known, _)| known.eq_ignore_ascii_case(name))
        .map_or("", |(_, value)| value)
}

/// What a handler does with a request.
pub enum Answer {
    /// Sends a response.
    Reply(u16, String),
    /// Sends nothing more on this connection and leaves it open.
    Silence,
}

/// Serves until `is_down` is set; then each connection ends at its next request.
pub fn serve(
    listener: TcpListener,
    is_down: Arc<AtomicBool>,
    handler: impl Fn(&Request) -> Answer + Send + Sync + 'static,
) {
    let handler = Arc::new(handler);
    thread::spawn(move || {
        listener.set_nonblocking(true).expect("listener");
        let mut quiet = Vec::new();
        while !is_down.load(Ordering::SeqCst) {
            let Ok((stream, _)) = listener.accept() else {
                thread::sleep(Duration::from_millis(2));
                continue;
            };
            let _ = stream.set_nonblocking(false);
            let _ = stream.set_nodelay(true);
            if let Ok(copy) = stream.try_clone() {
                quiet.push(copy);
            }
            let (handler, is_down) = (Arc::clone(&handler), Arc::clone(&is_down));
            thread::spawn(move || serve_connection(stream, &is_down, &*handler));
        }
        for stream in quiet {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    });
}

fn serve_connection(stream: TcpStream, is_down: &AtomicBool, handler: &dyn Fn(&Request) -> Answer) {
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader) {
        if is_down.load(Ordering::SeqCst) {
            return;
        }
        let answer = handler(&request);
        if is_down.load(Ordering::SeqCst) {
            return;
        }
        match answer {
            Answer::Reply(status, body) => {
                let response = format!(
                    "HTTP/1.1 {status} Status\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                    body.len()
                );
                if reader.get_mut().write_all(response.as_bytes()).is_err() {
                    return;
                }
            }
            Answer::Silence => {
                // Nothing further comes on this connection, and what arrives is not read.
                let mut rest = Vec::new();
                let _ = reader.read_to_end(&mut rest);
                return;
            }
        }
    }
}

fn read_head(reader: &mut impl BufRead) -> Option<(String, Vec<(String, String)>)> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Some((first.trim_end().to_owned(), headers));
        }
        let (name, value) = line.split_once(':')?;
        headers.push((name.trim().to_owned(), value.trim().to_owned()));
    }
}

fn read_body(reader: &mut impl BufRead, headers: &[(String, String)]) -> Option<String> {
    if find(headers, "transfer-encoding").eq_ignore_ascii_case("chunked") {
        let mut body = Vec::new();
        loop {
            let mut line = String::new();
            reader.read_line(&mut line).ok()?;
            let length = usize::from_str_radix(line.trim(), 16).ok()?;
            let mut chunk = vec![0; length + 2];
            reader.read_exact(&mut chunk).ok()?;
            body.extend(&chunk[..length]);
            if length == 0 {
                return String::from_utf8(body).ok();
            }
        }
    }
    let length = find(headers, "content-length").parse().unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    String::from_utf8(body).ok()
}

fn read_request(reader: &mut impl BufRead) -> Option<Request> {
    let (first, headers) = read_head(reader)?;
    let mut words = first.split(' ');
    let (method, target) = (words.next()?.to_owned(), words.next()?);
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let query = pairs
        .map(|(name, value)| (name.to_owned(), unescape(value)))
        .collect();
    let body = read_body(reader, &headers)?;
    Some(Request {
        method,
        path: unescape(path),
        query,
        headers,
        body,
    })
}

fn unescape(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.bytes();
    while let Some(byte) = rest.next() {
        match byte {
            b'+' => bytes.push(b' '),
            b'%' => {
                let digits = [rest.next().unwrap_or(b'0'), rest.next().unwrap_or(b'0')];
                let digits = std::str::from_utf8(&digits).unwrap_or("00");
                bytes.push(u8::from_str_radix(digits, 16).unwrap_or(b'?'));
            }
            byte => bytes.push(byte),
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Makes a call; `None` without a complete response.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    timeout: Duration,
) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&address, timeout).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    stream.set_nodelay(true).ok()?;
    let mut text = format!("{method} {path} HTTP/1.1\r\n");
    if !headers.iter().any(|(name, _)| *name == "Host") {
        text += &format!("Host: {address}\r\n");
    }
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    text += "Connection: close\r\n";
    if !body.is_empty() {
        text += &format!(
            "Content-Type: application/json\r\nContent-Length: {}\r\n",
            body.len()
        );
    }
    text += &format!("\r\n{body}");
    stream.write_all(text.as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let (first, headers) = read_head(&mut reader)?;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    Some((status, read_body(&mut reader, &headers)?))
}
