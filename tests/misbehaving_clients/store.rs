//! A stand-in for the platform's key-value service, with the calls that an entry makes.

use std::{
    collections::BTreeMap,
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use serde_json::{Value, json};

/// The value and the revision of a key.
type Item = (String, i64);

#[derive(Default)]
struct State {
    revision: i64,
    items: BTreeMap<String, Item>,
    events: Vec<(i64, String, Value)>,
    last_lease: i64,
}

impl State {
    fn row(key: &str, (value, revision): &Item) -> Value {
        json!({"key": key, "value": value, "revision": revision, "created": 1, "lease": 0})
    }

    fn put(&mut self, key: &str, value: &str) {
        let item = (value.to_owned(), self.revision);
        let event = Self::row(key, &item);
        self.events.push((self.revision, key.to_owned(), event));
        self.items.insert(key.to_owned(), item);
    }
}

/// The service; its threads end with the test process. Leases never expire.
#[derive(Default)]
pub(crate) struct Store {
    state: Mutex<State>,
    changed: Condvar,
}

impl Store {
    /// Serves a store that holds one key; `value` is in base64.
    pub(crate) fn start(key: &str, value: &str) -> SocketAddr {
        let store = Arc::new(Self::default());
        store.txn(&json!({"puts": [{"key": key, "value": value}]}));
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&store);
                thread::spawn(move || store.serve(&stream));
            }
        });
        address
    }

    fn serve(&self, stream: &TcpStream) -> Option<()> {
        stream.set_nodelay(true).ok()?;
        let mut reader = BufReader::new(stream);
        loop {
            let mut first = String::new();
            reader.read_line(&mut first).ok()?;
            let mut words = first.split(' ');
            let (method, target) = (words.next()?, words.next()?);
            let mut body_len = 0;
            loop {
                let mut header = String::new();
                reader.read_line(&mut header).ok()?;
                let header = header.trim().to_ascii_lowercase();
                if header.is_empty() {
                    break;
                }
                if let Some(len) = header.strip_prefix("content-length:") {
                    body_len = len.trim().parse().ok()?;
                }
            }
            let mut body = vec![0; body_len];
            reader.read_exact(&mut body).ok()?;
            let body = serde_json::from_slice(&body).unwrap_or_default();
            let (status, answer) = self.answer(method, target, &body);
            let answer = answer.to_string();
            let head = format!(
                "HTTP/1.1 {status} -\r\ncontent-length: {}\r\n\r\n",
                answer.len()
            );
            let mut stream = stream;
            stream.write_all(head.as_bytes()).ok()?;
            stream.write_all(answer.as_bytes()).ok()?;
        }
    }

    fn answer(&self, method: &str, target: &str, body: &Value) -> (u16, Value) {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let param = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            let pair = pairs.find(|(known, _)| *known == name);
            pair.map_or("", |(_, value)| value).replace("%2F", "/")
        };
        match (method, path) {
            ("GET", "/kv-key") => self.key(&param("key")),
            ("GET", "/kv-range") => self.range(&param("path_prefix"), &param("after")),
            ("GET", "/kv-watch") => {
                let after = param("after").parse().unwrap_or_default();
                let wait = param("wait_ms").parse().unwrap_or_default();
                self.watch(&param("path_prefix"), after, Duration::from_millis(wait))
            }
            ("POST", "/kv-txn") => self.txn(body),
            ("POST", "/kv-lease") => {
                let mut state = self.state.lock().unwrap();
                state.last_lease += 1;
                (
                    200,
                    json!({"lease": state.last_lease, "ttl_ms": body["ttl_ms"]}),
                )
            }
            _ => (200, json!({"ttl_ms": 3_000})),
        }
    }

    fn key(&self, key: &str) -> (u16, Value) {
        let state = self.state.lock().unwrap();
        match state.items.get(key) {
            Some(item) => {
                let mut row = State::row(key, item);
                row["current_rev"] = json!(state.revision);
                (200, row)
            }
            None => (404, json!({"current_rev": state.revision})),
        }
    }

    fn range(&self, prefix: &str, after: &str) -> (u16, Value) {
        let state = self.state.lock().unwrap();
        let items = state.items.iter();
        let found = items.filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
        let rows: Vec<Value> = found.map(|(key, item)| State::row(key, item)).collect();
        (
            200,
            json!({"items": rows, "more_pages": false, "current_rev": state.revision}),
        )
    }

    fn watch(&self, prefix: &str, after: i64, wait: Duration) -> (u16, Value) {
        let until = Instant::now() + wait;
        let mut state = self.state.lock().unwrap();
        loop {
            let events = state.events.iter();
            let missed = events.filter(|(at, key, _)| *at > after && key.starts_with(prefix));
            let missed: Vec<Value> = missed.map(|(.., event)| event.clone()).collect();
            let left = until.saturating_duration_since(Instant::now());
            if !missed.is_empty() || left.is_zero() {
                return (
                    200,
                    json!({"events": missed, "current_rev": state.revision}),
                );
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn txn(&self, body: &Value) -> (u16, Value) {
        let list = |name: &str| body[name].as_array().cloned().unwrap_or_default();
        let mut state = self.state.lock().unwrap();
        let expected = list("expected_revision");
        let revision_of = |state: &State, key: &str| state.items.get(key).map_or(0, |item| item.1);
        let holds = expected.iter().all(|condition| {
            let key = condition["key"].as_str().unwrap_or_default();
            Some(revision_of(&state, key)) == condition["revision"].as_i64()
        });
        if !holds {
            let rows = expected.iter().map(|condition| {
                let key = condition["key"].as_str().unwrap_or_default();
                let item = state.items.get(key);
                item.map_or(json!({"key": key, "revision": 0}), |item| {
                    State::row(key, item)
                })
            });
            return (412, json!({"items": rows.collect::<Vec<_>>()}));
        }
        state.revision += 1;
        let revision = state.revision;
        for key in list("remove") {
            let key = key.as_str().unwrap_or_default();
            if state.items.remove(key).is_some() {
                let event = json!({"key": key, "revision": revision, "deleted": true});
                state.events.push((revision, key.to_owned(), event));
            }
        }
        for put in list("puts") {
            let text = |name: &str| put[name].as_str().unwrap_or_default();
            state.put(text("key"), text("value"));
        }
        drop(state);
        self.changed.notify_all();
        (200, json!({"revision": revision}))
    }
}
