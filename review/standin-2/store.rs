//! The platform's store, as PROTOCOL.md describes it. It is always up and answers at once.

use std::{
    collections::BTreeMap,
    net::TcpListener,
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{self, Answer, Request},
    json::{Json, map},
};

const PAGE_ITEMS: usize = 500;

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

struct Lease {
    ttl: Duration,
    until: Instant,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Each change with its revision, key, and the item or `None` for a deletion.
    history: Vec<(u64, String, Option<Item>)>,
    leases: BTreeMap<u64, Lease>,
    last_lease: u64,
}

#[derive(Clone, Default)]
pub struct Store(Arc<(Mutex<State>, Condvar)>);

impl Store {
    pub fn start(listener: TcpListener) -> Store {
        let store = Store::default();
        store.0.0.lock().unwrap().revision = 100;
        let expiring = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(20));
                expiring.end_leases();
            }
        });
        let serving = store.clone();
        http::serve(listener, move |request| serving.answer(request));
        store
    }

    /// Writes a key as the operator does.
    pub fn put(&self, key: &str, text: &str) {
        let mut state = self.0.0.lock().unwrap();
        state.revision += 1;
        state.put(key, base64(text.as_bytes()), 0);
        self.0.1.notify_all();
    }

    fn end_leases(&self) {
        let mut state = self.0.0.lock().unwrap();
        let now = Instant::now();
        let ended: Vec<u64> = state
            .leases
            .iter()
            .filter(|(_, lease)| lease.until <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in ended {
            state.end_lease(id);
            self.0.1.notify_all();
        }
    }

    fn answer(&self, request: &Request) -> Answer {
        let body = Json::parse(&request.body).unwrap_or(Json::Null);
        let query = |key: &str| request.query.get(key).cloned().unwrap_or_default();
        let path = request.path.as_str();
        let (status, reply) = match (request.method.as_str(), path) {
            ("GET", "/kv-key") => self.key(&query("key")),
            ("GET", "/kv-range") => self.range(&query("path_prefix"), &query("after")),
            ("GET", "/kv-watch") => self.watch(
                &query("path_prefix"),
                query("after").parse().unwrap_or(0),
                Duration::from_millis(query("wait_ms").parse().unwrap_or(0)),
            ),
            ("POST", "/kv-txn") => self.txn(&body),
            ("POST", "/kv-lease") => self.lease(body.get("ttl_ms").int()),
            ("POST", _) if path.starts_with("/kv-keep/") => self.keep(number(path)),
            ("DELETE", _) if path.starts_with("/kv-lease-end/") => self.end(number(path)),
            _ => (404, map(&[])),
        };
        Answer::Reply(status, reply.to_string())
    }

    fn key(&self, key: &str) -> (u16, Json) {
        let state = self.0.0.lock().unwrap();
        let rev = Json::from(state.revision);
        match state.items.get(key) {
            None => (404, map(&[("current_rev", rev)])),
            Some(item) => {
                let Json::Map(mut pairs) = item_json(key, item) else {
                    return (404, Json::Null);
                };
                pairs.insert("current_rev".to_owned(), rev);
                (200, Json::Map(pairs))
            }
        }
    }

    fn range(&self, prefix: &str, after: &str) -> (u16, Json) {
        let state = self.0.0.lock().unwrap();
        let found: Vec<_> = state
            .items
            .iter()
            .filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after)
            .collect();
        let page = found.iter().take(PAGE_ITEMS);
        let items = page.map(|(key, item)| item_json(key, item)).collect();
        let reply = map(&[
            ("items", Json::List(items)),
            ("more_pages", Json::Bool(found.len() > PAGE_ITEMS)),
            ("current_rev", Json::from(state.revision)),
        ]);
        (200, reply)
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> (u16, Json) {
        let until = Instant::now() + wait;
        let mut state = self.0.0.lock().unwrap();
        loop {
            let events: Vec<Json> = state
                .history
                .iter()
                .filter(|(revision, key, _)| *revision > after && key.starts_with(prefix))
                .map(|(revision, key, item)| match item {
                    Some(item) => item_json(key, item),
                    None => map(&[
                        ("key", Json::from(key.as_str())),
                        ("revision", Json::from(*revision)),
                        ("deleted", Json::Bool(true)),
                    ]),
                })
                .collect();
            let now = Instant::now();
            if !events.is_empty() || now >= until {
                let rev = Json::from(state.revision);
                return (
                    200,
                    map(&[("events", Json::List(events)), ("current_rev", rev)]),
                );
            }
            state = self.0.1.wait_timeout(state, until - now).unwrap().0;
        }
    }

    fn txn(&self, body: &Json) -> (u16, Json) {
        let mut state = self.0.0.lock().unwrap();
        let revision_of =
            |state: &State, key: &str| state.items.get(key).map_or(0, |item| item.revision);
        let rows = body.get("expected_revision").list();
        let is_met =
            |row: &Json| revision_of(&state, row.get("key").str()) == row.get("revision").int();
        if !rows.iter().all(is_met) {
            let current = |row: &Json| {
                let key = row.get("key").str();
                let item = state.items.get(key).map(|item| item_json(key, item));
                item.unwrap_or(map(&[
                    ("key", Json::from(key)),
                    ("revision", Json::from(0)),
                ]))
            };
            let items = rows.iter().map(current).collect();
            return (412, map(&[("items", Json::List(items))]));
        }
        let leases = &state.leases;
        let is_known = |put: &Json| {
            let lease = put.get("lease").int();
            lease == 0 || leases.contains_key(&lease)
        };
        if !body.get("puts").list().iter().all(is_known) {
            return (404, map(&[]));
        }
        state.revision += 1;
        for put in body.get("puts").list() {
            let value = put.get("value").str().to_owned();
            state.put(put.get("key").str(), value, put.get("lease").int());
        }
        for key in body.get("remove").list() {
            state.remove(key.str());
        }
        self.0.1.notify_all();
        (200, map(&[("revision", Json::from(state.revision))]))
    }

    fn lease(&self, ttl_ms: u64) -> (u16, Json) {
        let mut state = self.0.0.lock().unwrap();
        let ttl_ms = ttl_ms.clamp(1_000, 600_000);
        let ttl = Duration::from_millis(ttl_ms);
        state.last_lease += 1;
        let id = state.last_lease;
        let until = Instant::now() + ttl;
        state.leases.insert(id, Lease { ttl, until });
        (
            200,
            map(&[("lease", Json::from(id)), ("ttl_ms", Json::from(ttl_ms))]),
        )
    }

    fn keep(&self, id: u64) -> (u16, Json) {
        let mut state = self.0.0.lock().unwrap();
        let Some(lease) = state.leases.get_mut(&id) else {
            return (404, map(&[]));
        };
        lease.until = Instant::now() + lease.ttl;
        let ttl_ms = lease.ttl.as_millis() as u64;
        (200, map(&[("ttl_ms", Json::from(ttl_ms))]))
    }

    fn end(&self, id: u64) -> (u16, Json) {
        let mut state = self.0.0.lock().unwrap();
        let status = if state.leases.contains_key(&id) {
            200
        } else {
            404
        };
        state.end_lease(id);
        self.0.1.notify_all();
        (status, map(&[]))
    }
}

impl State {
    /// Writes a key at the present revision.
    fn put(&mut self, key: &str, value: String, lease: u64) {
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item {
            value,
            revision,
            created,
            lease,
        };
        self.items.insert(key.to_owned(), item.clone());
        self.history.push((revision, key.to_owned(), Some(item)));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.history.push((self.revision, key.to_owned(), None));
        }
    }

    fn end_lease(&mut self, id: u64) {
        if self.leases.remove(&id).is_none() {
            return;
        }
        let held = self.items.iter().filter(|(_, item)| item.lease == id);
        let held: Vec<String> = held.map(|(key, _)| key.clone()).collect();
        if !held.is_empty() {
            self.revision += 1;
        }
        for key in held {
            self.remove(&key);
        }
    }
}

fn number(path: &str) -> u64 {
    let last = path.rsplit('/').next().unwrap_or_default();
    last.parse().unwrap_or(0)
}

fn item_json(key: &str, item: &Item) -> Json {
    map(&[
        ("key", Json::from(key)),
        ("value", Json::from(item.value.as_str())),
        ("revision", Json::from(item.revision)),
        ("created", Json::from(item.created)),
        ("lease", Json::from(item.lease)),
    ])
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

fn base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let byte = |n: usize| u32::from(chunk.get(n).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for n in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * n)) as usize & 63] as char;
            text.push(if n <= chunk.len() { digit } else { '=' });
        }
    }
    text
}
