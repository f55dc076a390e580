//! The platform's metadata store, as PROTOCOL.md describes it, with answers that get lost.

use std::{
    collections::BTreeMap,
    net::{SocketAddr, TcpListener},
    sync::{Arc, Condvar, Mutex, MutexGuard},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{self, Answer, Request},
    json::{Json, from_base64, object, text, to_base64},
    record::Record,
};

/// Items on a page.
const PAGE: usize = 500;
/// The longest value, `value_bytes`.
const VALUE_BYTES: usize = 1_048_576;
/// How long an answer takes.
const ANSWER_DELAY: Duration = Duration::from_millis(4);

#[derive(Clone)]
struct Item {
    value: String,
    revision: i64,
    created: i64,
    lease: i64,
}

/// Loses the answers to a share of the writes, which are carried out later.
#[derive(Clone, Copy)]
pub struct LostAnswers {
    pub share: f64,
    pub until: Instant,
    /// Between these delays, in milliseconds.
    pub late_ms: (u64, u64),
}

#[derive(Default)]
struct State {
    revision: i64,
    items: BTreeMap<String, Item>,
    events: Vec<(i64, Json, String)>,
    leases: BTreeMap<i64, (Duration, Instant)>,
    last_lease: i64,
    lost: Option<LostAnswers>,
    random: u64,
}

pub struct Store {
    pub address: SocketAddr,
    state: Mutex<State>,
    changed: Condvar,
    record: Arc<Record>,
}

impl State {
    fn put(&mut self, revision: i64, key: &str, value: &str, lease: i64) {
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item {
            value: value.to_owned(),
            revision,
            created,
            lease,
        };
        self.events
            .push((revision, row(key, &item), key.to_owned()));
        self.items.insert(key.to_owned(), item);
    }

    fn remove(&mut self, revision: i64, key: &str) {
        if self.items.remove(key).is_some() {
            let event = object(&[
                ("key", text(key)),
                ("revision", Json::Int(revision)),
                ("deleted", Json::Bool(true)),
            ]);
            self.events.push((revision, event, key.to_owned()));
        }
    }

    fn end_leases(&mut self, ended: &[i64]) {
        for lease in ended {
            self.leases.remove(lease);
        }
        let items = self.items.iter();
        let keys: Vec<String> = items
            .filter(|(_, item)| ended.contains(&item.lease))
            .map(|(key, _)| key.clone())
            .collect();
        if !keys.is_empty() {
            self.revision += 1;
            for key in keys {
                self.remove(self.revision, &key);
            }
        }
    }

    /// A number from 0 to 1 of a fixed series.
    fn draw(&mut self) -> f64 {
        self.random = self
            .random
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (self.random >> 11) as f64 / (1_u64 << 53) as f64
    }
}

fn row(key: &str, item: &Item) -> Json {
    object(&[
        ("key", text(key)),
        ("value", text(&item.value)),
        ("revision", Json::Int(item.revision)),
        ("created", Json::Int(item.created)),
        ("lease", Json::Int(item.lease)),
    ])
}

impl Store {
    pub fn start(ip: &str, record: Arc<Record>) -> Arc<Self> {
        let listener = TcpListener::bind((ip, 0)).expect("a free port for the store");
        let store = Arc::new(Self {
            address: listener.local_addr().expect("address"),
            state: Mutex::new(State {
                revision: 10,
                random: 7,
                ..State::default()
            }),
            changed: Condvar::new(),
            record,
        });
        let serving = Arc::clone(&store);
        http::serve(listener, Arc::default(), move |request| {
            thread::sleep(ANSWER_DELAY);
            serving.answer(request)
        });
        let expiring = Arc::clone(&store);
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(20));
                let now = Instant::now();
                let mut state = expiring.state();
                let leases = state.leases.iter();
                let ended: Vec<i64> = leases
                    .filter(|(_, (_, until))| *until <= now)
                    .map(|(lease, _)| *lease)
                    .collect();
                if !ended.is_empty() {
                    state.end_leases(&ended);
                    drop(state);
                    expiring.changed.notify_all();
                }
            }
        });
        store
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("store")
    }

    /// Writes an item as the operator does.
    pub fn operator_puts(&self, key: &str, value: &Json) {
        let mut state = self.state();
        state.revision += 1;
        let revision = state.revision;
        state.put(revision, key, &to_base64(value.to_string().as_bytes()), 0);
        drop(state);
        self.record.line(&format!("operator: put {key} {value}"));
        self.changed.notify_all();
    }

    /// The value of a key as text.
    pub fn value(&self, key: &str) -> Option<String> {
        let state = self.state();
        let item = state.items.get(key)?;
        Some(String::from_utf8_lossy(&from_base64(&item.value)).into_owned())
    }

    pub fn lose_answers(&self, lost: LostAnswers) {
        self.state().lost = Some(lost);
    }

    fn answer(self: &Arc<Self>, request: &Request) -> Answer {
        let path = request.path.as_str();
        let is_write = matches!(path, "/kv-txn");
        if is_write {
            let mut state = self.state();
            let lost = state.lost.filter(|lost| Instant::now() < lost.until);
            if let Some(lost) = lost
                && state.draw() < lost.share
            {
                let (least, most) = lost.late_ms;
                let late = least + ((most - least) as f64 * state.draw()) as u64;
                drop(state);
                let (store, request) = (Arc::clone(self), request.clone());
                self.record.line(&format!(
                    "store: answer lost, carried out in {late} ms: {}",
                    keys_of(&request.body)
                ));
                thread::spawn(move || {
                    thread::sleep(Duration::from_millis(late));
                    let (status, _) = store.carry_out(&request);
                    store.record.line(&format!(
                        "store: carried out late with {status}: {}",
                        keys_of(&request.body)
                    ));
                });
                return Answer::Silence;
            }
        }
        let (status, body) = self.carry_out(request);
        Answer::Reply(status, body)
    }

    fn carry_out(&self, request: &Request) -> (u16, String) {
        let body = Json::parse(&request.body).unwrap_or(Json::Null);
        let path = request.path.as_str();
        match (request.method.as_str(), path) {
            ("GET", "/kv-key") => self.key(request.query("key")),
            ("GET", "/kv-range") => {
                self.range(request.query("path_prefix"), request.query("after"))
            }
            ("GET", "/kv-watch") => self.watch(request),
            ("POST", "/kv-txn") => self.txn(&body),
            ("POST", "/kv-lease") => {
                let ttl_ms = body.get("ttl_ms").int().unwrap_or(1_000).max(1_000);
                let ttl = Duration::from_millis(ttl_ms as u64);
                let mut state = self.state();
                state.last_lease += 1;
                let lease = state.last_lease;
                state.leases.insert(lease, (ttl, Instant::now() + ttl));
                let granted = [("lease", Json::Int(lease)), ("ttl_ms", Json::Int(ttl_ms))];
                (200, object(&granted).to_string())
            }
            ("POST", path) if path.starts_with("/kv-keep/") => {
                let mut state = self.state();
                match state.leases.get_mut(&number_at_end(path)) {
                    Some((ttl, until)) => {
                        *until = Instant::now() + *ttl;
                        (200, format!("{{\"ttl_ms\":{}}}", ttl.as_millis()))
                    }
                    None => (404, "{}".to_owned()),
                }
            }
            ("DELETE", path) if path.starts_with("/kv-lease-end/") => {
                let lease = number_at_end(path);
                let mut state = self.state();
                let is_known = state.leases.contains_key(&lease);
                state.end_leases(&[lease]);
                drop(state);
                self.changed.notify_all();
                (if is_known { 200 } else { 404 }, "{}".to_owned())
            }
            _ => (400, "{}".to_owned()),
        }
    }

    fn key(&self, key: &str) -> (u16, String) {
        let state = self.state();
        let revision = ("current_rev".to_owned(), Json::Int(state.revision));
        match state.items.get(key) {
            Some(item) => {
                let Json::Object(mut fields) = row(key, item) else {
                    unreachable!()
                };
                fields.push(revision);
                (200, Json::Object(fields).to_string())
            }
            None => (404, Json::Object(vec![revision]).to_string()),
        }
    }

    fn range(&self, prefix: &str, after: &str) -> (u16, String) {
        let state = self.state();
        let rows = state.items.iter();
        let mut rows: Vec<Json> = rows
            .filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after)
            .take(PAGE + 1)
            .map(|(key, item)| row(key, item))
            .collect();
        let has_more = rows.len() > PAGE;
        rows.truncate(PAGE);
        let page = object(&[
            ("items", Json::List(rows)),
            ("more_pages", Json::Bool(has_more)),
            ("current_rev", Json::Int(state.revision)),
        ]);
        (200, page.to_string())
    }

    fn watch(&self, request: &Request) -> (u16, String) {
        let prefix = request.query("path_prefix");
        let after: i64 = request.query("after").parse().unwrap_or(0);
        let wait: u64 = request.query("wait_ms").parse().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait);
        let mut state = self.state();
        loop {
            let first = state.events.partition_point(|(at, ..)| *at <= after);
            let events = state.events[first..].iter();
            let events: Vec<Json> = events
                .filter(|(_, _, key)| key.starts_with(prefix))
                .map(|(_, event, _)| event.clone())
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let batch = object(&[
                    ("events", Json::List(events)),
                    ("current_rev", Json::Int(state.revision)),
                ]);
                return (200, batch.to_string());
            }
            state = self.changed.wait_timeout(state, left).expect("store").0;
        }
    }

    fn txn(&self, body: &Json) -> (u16, String) {
        let mut state = self.state();
        let conditions = body.get("expected_revision").list();
        let revision_of = |state: &State, key: &str| {
            let item = state.items.get(key);
            item.map_or(0, |item| item.revision)
        };
        let holds = conditions.iter().all(|condition| {
            let expected = condition.get("revision").int().unwrap_or(0);
            revision_of(&state, condition.get("key").text()) == expected
        });
        if !holds {
            let rows = conditions.iter().map(|condition| {
                let key = condition.get("key").text();
                match state.items.get(key) {
                    Some(item) => row(key, item),
                    None => object(&[("key", text(key)), ("revision", Json::Int(0))]),
                }
            });
            let found = object(&[("items", Json::List(rows.collect()))]);
            return (412, found.to_string());
        }
        for put in body.get("puts").list() {
            let length = put.get("value").text().len() / 4 * 3;
            if length > VALUE_BYTES + 2 {
                drop(state);
                let key = put.get("key").text();
                self.record
                    .line(&format!("store: 400, {length} bytes for {key}"));
                return (400, "{\"error\":\"the value is too long\"}".to_owned());
            }
            let lease = put.get("lease").int().unwrap_or(0);
            if lease != 0 && !state.leases.contains_key(&lease) {
                return (404, "{}".to_owned());
            }
        }
        state.revision += 1;
        let revision = state.revision;
        for key in body.get("remove").list() {
            state.remove(revision, key.text());
        }
        for put in body.get("puts").list() {
            let lease = put.get("lease").int().unwrap_or(0);
            state.put(
                revision,
                put.get("key").text(),
                put.get("value").text(),
                lease,
            );
        }
        drop(state);
        self.changed.notify_all();
        (200, format!("{{\"revision\":{revision}}}"))
    }
}

fn number_at_end(path: &str) -> i64 {
    let number = path.rsplit('/').next().unwrap_or_default();
    number.parse().unwrap_or(-1)
}

fn keys_of(body: &str) -> String {
    let body = Json::parse(body).unwrap_or(Json::Null);
    let puts = body.get("puts").list().iter();
    let puts: Vec<&str> = puts.map(|put| put.get("key").text()).collect();
    puts.join(" ")
}
