//! HTTP/1.1 over blocking sockets: a server with a thread a connection, and single calls.

use std::{
    collections::BTreeMap,
    io::{self, BufRead, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::Duration,
};

#[derive(Clone, Debug)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub query: BTreeMap<String, String>,
    pub headers: BTreeMap<String, String>,
    pub body: String,
}

/// What a handler wants to be answered.
pub enum Answer {
    /// Status and JSON body.
    Reply(u16, String),
    /// The connection is reset without an answer.
    Drop,
}

fn read_head(reader: &mut impl BufRead) -> io::Result<Option<(String, BTreeMap<String, String>)>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = BTreeMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let line = line.trim();
        if line.is_empty() {
            return Ok(Some((first.trim().to_owned(), headers)));
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
        }
    }
}

fn read_body(reader: &mut impl BufRead, headers: &BTreeMap<String, String>) -> io::Result<String> {
    let mut body = Vec::new();
    if headers
        .get("transfer-encoding")
        .is_some_and(|v| v == "chunked")
    {
        loop {
            let mut line = String::new();
            reader.read_line(&mut line)?;
            let len = usize::from_str_radix(line.trim(), 16).unwrap_or(0);
            let mut chunk = vec![0; len + 2];
            reader.read_exact(&mut chunk)?;
            if len == 0 {
                break;
            }
            body.extend_from_slice(&chunk[..len]);
        }
    } else {
        let len = headers
            .get("content-length")
            .and_then(|v| v.parse().ok())
            .unwrap_or(0);
        body = vec![0; len];
        reader.read_exact(&mut body)?;
    }
    Ok(String::from_utf8_lossy(&body).into_owned())
}

fn decode(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.bytes();
    while let Some(byte) = rest.next() {
        match byte {
            b'+' => bytes.push(b' '),
            b'%' => {
                let hex: Vec<u8> = rest.by_ref().take(2).collect();
                let hex = String::from_utf8_lossy(&hex).into_owned();
                bytes.push(u8::from_str_radix(&hex, 16).unwrap_or(b'?'));
            }
            other => bytes.push(other),
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

pub fn serve(listener: TcpListener, handler: impl Fn(&Request) -> Answer + Send + Sync + 'static) {
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            thread::spawn(move || serve_connection(stream, &*handler));
        }
    });
}

fn serve_connection(stream: TcpStream, handler: &dyn Fn(&Request) -> Answer) {
    let _ = stream.set_nodelay(true);
    let Ok(mut writer) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(stream);
    while let Ok(Some((first, headers))) = read_head(&mut reader) {
        let Ok(body) = read_body(&mut reader, &headers) else {
            return;
        };
        let mut words = first.split(' ');
        let method = words.next().unwrap_or_default().to_owned();
        let target = words.next().unwrap_or_default();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let query = pairs
            .map(|(key, value)| (decode(key), decode(value)))
            .collect();
        let path = path.to_owned();
        let request = Request {
            method,
            path,
            query,
            headers,
            body,
        };
        match handler(&request) {
            Answer::Reply(status, body) => {
                let head = format!(
                    "HTTP/1.1 {status} X\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
                    body.len()
                );
                if writer.write_all((head + &body).as_bytes()).is_err() {
                    return;
                }
            }
            Answer::Drop => return,
        }
    }
}

/// Makes one call on a connection of its own. `None` if there is no complete answer.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    timeout: Duration,
) -> Option<(u16, String)> {
    let stream = TcpStream::connect_timeout(&address, timeout).ok()?;
    let _ = stream.set_nodelay(true);
    stream.set_read_timeout(Some(timeout)).ok()?;
    stream.set_write_timeout(Some(timeout)).ok()?;
    let mut head = format!("{method} {path} HTTP/1.1\r\nconnection: close\r\n");
    if !headers
        .iter()
        .any(|(name, _)| name.eq_ignore_ascii_case("host"))
    {
        head += &format!("host: {address}\r\n");
    }
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    head += &format!(
        "content-type: application/json\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    let mut writer = stream.try_clone().ok()?;
    writer.write_all((head + body).as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let (first, headers) = read_head(&mut reader).ok()??;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    let body = read_body(&mut reader, &headers).ok()?;
    Some((status, body))
}
