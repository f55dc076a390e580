//! A stand-in for the platform's metadata store. Its answers are linearizable, nothing that it
//! has acknowledged is lost, and it keeps its whole history.

use std::{
    collections::BTreeMap,
    sync::{Condvar, Mutex},
    time::{Duration, Instant},
};

use crate::{
    http::{Answer, Request},
    json::{quote, Json},
};

#[derive(Clone)]
struct Item {
    /// Standard base64 with padding.
    value: String,
    revision: i64,
    created: i64,
    lease: i64,
}

struct Lease {
    ttl: Duration,
    ends_at: Instant,
}

struct State {
    revision: i64,
    items: BTreeMap<String, Item>,
    /// Each change: its revision, the key, and the item unless it was deleted.
    history: Vec<(i64, String, Option<Item>)>,
    leases: BTreeMap<i64, Lease>,
    last_lease: i64,
}

pub struct Kv {
    state: Mutex<State>,
    changed: Condvar,
}

const PAGE: usize = 500;

impl Kv {
    pub fn new() -> Kv {
        Kv {
            state: Mutex::new(State {
                revision: 100,
                items: BTreeMap::new(),
                history: Vec::new(),
                leases: BTreeMap::new(),
                last_lease: 77_000,
            }),
            changed: Condvar::new(),
        }
    }

    /// Writes an item of the operator.
    pub fn put(&self, key: &str, text: &str) {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        state.put(key, &encode(text.as_bytes()), 0);
        self.changed.notify_all();
    }

    /// The text of an item.
    pub fn text(&self, key: &str) -> Option<String> {
        let state = self.state.lock().unwrap();
        let item = state.items.get(key)?;
        String::from_utf8(decode(&item.value)).ok()
    }

    /// Ends the leases that have run out; called all the time.
    pub fn end_leases(&self) {
        let mut state = self.state.lock().unwrap();
        let now = Instant::now();
        let ended: Vec<i64> = state
            .leases
            .iter()
            .filter(|(_, lease)| lease.ends_at <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in ended {
            state.end_lease(id);
            self.changed.notify_all();
        }
    }

    pub fn answer(&self, request: &Request) -> Answer {
        let path = request.path.as_str();
        match (request.method.as_str(), path) {
            ("GET", "/kv-key") => self.key(request),
            ("GET", "/kv-range") => self.range(request),
            ("GET", "/kv-watch") => self.watch(request),
            ("POST", "/kv-txn") => self.txn(&Json::parse(&request.body)?),
            ("POST", "/kv-lease") => self.grant(&Json::parse(&request.body)?),
            ("POST", _) if path.starts_with("/kv-keep/") => self.keep(&path["/kv-keep/".len()..]),
            ("DELETE", _) if path.starts_with("/kv-lease-end/") => {
                let id = path["/kv-lease-end/".len()..].parse().ok()?;
                let mut state = self.state.lock().unwrap();
                let is_known = state.leases.contains_key(&id);
                state.end_lease(id);
                self.changed.notify_all();
                Some((if is_known { 200 } else { 404 }, "{}".to_owned()))
            }
            _ => Some((404, "{}".to_owned())),
        }
    }

    fn key(&self, request: &Request) -> Answer {
        let state = self.state.lock().unwrap();
        let key = request.query.get("key")?;
        let revision = state.revision;
        Some(match state.items.get(key) {
            Some(item) => {
                let fields = fields(key, item);
                (200, format!("{{{fields},\"current_rev\":{revision}}}"))
            }
            None => (404, format!("{{\"current_rev\":{revision}}}")),
        })
    }

    fn range(&self, request: &Request) -> Answer {
        let state = self.state.lock().unwrap();
        let prefix = request.query.get("path_prefix")?;
        let after = request.query.get("after");
        let mut rows = Vec::new();
        let mut more = false;
        for (key, item) in state.items.range(prefix.clone()..) {
            if !key.starts_with(prefix.as_str()) {
                break;
            }
            if after.is_some_and(|after| key <= after) {
                continue;
            }
            if rows.len() == PAGE {
                more = true;
                break;
            }
            rows.push(format!("{{{}}}", fields(key, item)));
        }
        let (rows, revision) = (rows.join(","), state.revision);
        Some((
            200,
            format!("{{\"items\":[{rows}],\"more_pages\":{more},\"current_rev\":{revision}}}"),
        ))
    }

    fn watch(&self, request: &Request) -> Answer {
        let prefix = request.query.get("path_prefix")?;
        let after: i64 = request.query.get("after")?.parse().ok()?;
        let wait: u64 = request.query.get("wait_ms")?.parse().ok()?;
        let until = Instant::now() + Duration::from_millis(wait.min(30_000));
        let mut state = self.state.lock().unwrap();
        loop {
            let mut events = Vec::new();
            let start = state.history.partition_point(|(at, ..)| *at <= after);
            for (at, key, item) in &state.history[start..] {
                if !key.starts_with(prefix.as_str()) {
                    continue;
                }
                events.push(match item {
                    Some(item) => format!("{{{}}}", fields(key, item)),
                    None => {
                        let key = quote(key);
                        format!("{{\"key\":{key},\"revision\":{at},\"deleted\":true}}")
                    }
                });
            }
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, revision) = (events.join(","), state.revision);
                return Some((
                    200,
                    format!("{{\"events\":[{events}],\"current_rev\":{revision}}}"),
                ));
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn txn(&self, body: &Json) -> Answer {
        let (rows, puts) = (body.get("expected_revision"), body.get("puts"));
        let remove = body.get("remove");
        let count = rows.list().len() + puts.list().len() + remove.list().len();
        if count == 0 || count > 32 {
            return Some((400, "{}".to_owned()));
        }
        let keys = puts.list().iter().map(|put| put.get("key").text());
        let mut written = keys.chain(remove.list().iter().map(Json::text));
        if written.any(|key| key.starts_with("op/") || key.starts_with("servers/")) {
            return Some((403, "{}".to_owned()));
        }
        let mut state = self.state.lock().unwrap();
        let holds = |row: &Json| {
            let item = state.items.get(row.get("key").text());
            item.map_or(0, |item| item.revision) == row.get("revision").int().unwrap_or(0)
        };
        if !rows.list().iter().all(holds) {
            let mut items = Vec::new();
            for row in rows.list() {
                let key = row.get("key").text();
                items.push(match state.items.get(key) {
                    Some(item) => format!("{{{}}}", fields(key, item)),
                    None => format!("{{\"key\":{},\"revision\":0}}", quote(key)),
                });
            }
            return Some((412, format!("{{\"items\":[{}]}}", items.join(","))));
        }
        for put in puts.list() {
            let lease = put.get("lease").int().unwrap_or(0);
            if lease != 0 && !state.leases.contains_key(&lease) {
                return Some((404, "{}".to_owned()));
            }
        }
        state.revision += 1;
        for put in puts.list() {
            let lease = put.get("lease").int().unwrap_or(0);
            state.put(put.get("key").text(), put.get("value").text(), lease);
        }
        for key in remove.list() {
            state.delete(key.text());
        }
        self.changed.notify_all();
        Some((200, format!("{{\"revision\":{}}}", state.revision)))
    }

    fn grant(&self, body: &Json) -> Answer {
        let ttl = body.get("ttl_ms").int().unwrap_or(0);
        if !(1_000..=600_000).contains(&ttl) {
            return Some((400, "{}".to_owned()));
        }
        let mut state = self.state.lock().unwrap();
        state.last_lease += 1;
        let (id, ttl_ms) = (state.last_lease, ttl);
        let ttl = Duration::from_millis(ttl_ms as u64);
        let ends_at = Instant::now() + ttl;
        state.leases.insert(id, Lease { ttl, ends_at });
        Some((200, format!("{{\"lease\":{id},\"ttl_ms\":{ttl_ms}}}")))
    }

    fn keep(&self, id: &str) -> Answer {
        let mut state = self.state.lock().unwrap();
        let lease = id
            .parse()
            .ok()
            .and_then(|id: i64| state.leases.get_mut(&id));
        Some(match lease {
            Some(lease) => {
                lease.ends_at = Instant::now() + lease.ttl;
                (200, format!("{{\"ttl_ms\":{}}}", lease.ttl.as_millis()))
            }
            None => (404, "{}".to_owned()),
        })
    }
}

impl State {
    fn put(&mut self, key: &str, value: &str, lease: i64) {
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item {
            value: value.to_owned(),
            revision,
            created,
            lease,
        };
        self.items.insert(key.to_owned(), item.clone());
        self.history.push((revision, key.to_owned(), Some(item)));
    }

    fn delete(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.history.push((self.revision, key.to_owned(), None));
        }
    }

    fn end_lease(&mut self, id: i64) {
        if self.leases.remove(&id).is_none() {
            return;
        }
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| item.lease == id)
            .map(|(key, _)| key.clone())
            .collect();
        if !keys.is_empty() {
            self.revision += 1;
        }
        for key in keys {
            self.delete(&key);
        }
    }
}

fn fields(key: &str, item: &Item) -> String {
    format!(
        "\"key\":{},\"value\":{},\"revision\":{},\"created\":{},\"lease\":{}",
        quote(key),
        quote(&item.value),
        item.revision,
        item.created,
        item.lease
    )
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

fn encode(bytes: &[u8]) -> String {
    let mut out = String::new();
    for part in bytes.chunks(3) {
        let mut bits = 0u32;
        for at in 0..3 {
            bits = bits << 8 | u32::from(*part.get(at).unwrap_or(&0));
        }
        for at in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * at)) as usize & 63] as char;
            out.push(if at <= part.len() { digit } else { '=' });
        }
    }
    out
}

fn decode(text: &str) -> Vec<u8> {
    let mut out = Vec::new();
    let (mut bits, mut count) = (0u32, 0);
    for byte in text.bytes() {
        let Some(digit) = DIGITS.iter().position(|digit| *digit == byte) else {
            continue;
        };
        bits = bits << 6 | digit as u32;
        count += 6;
        if count >= 8 {
            count -= 8;
            out.push((bits >> count) as u8);
        }
    }
    out
}
