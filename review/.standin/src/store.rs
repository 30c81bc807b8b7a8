//! The platform's store: keys, revisions, watches, transactions and leases that do not end.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::http::Message;

/// Time that the store takes for an answer.
const ANSWER_TIME: Duration = Duration::from_millis(4);

#[derive(Default)]
struct State {
    /// Value in base64, revision, revision of the creation.
    keys: BTreeMap<String, (String, u64, u64)>,
    /// Each change as it is told to watches.
    events: Vec<(u64, String, String)>,
    revision: u64,
    leases: u64,
    /// When each caller last began a watch.
    watched_at: BTreeMap<String, Instant>,
}

/// The store. Each caller has an address of its own, so that its calls can be told apart.
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
}

impl Store {
    pub fn start() -> Arc<Self> {
        let state = State {
            revision: 1,
            ..State::default()
        };
        Arc::new(Self {
            state: Mutex::new(state),
            changed: Condvar::new(),
        })
    }

    /// Opens an address for one caller.
    pub fn listen(self: &Arc<Self>, caller: &str) -> SocketAddr {
        let store = Arc::clone(self);
        let caller = caller.to_owned();
        let handler = move |request: &Message, stream: &mut TcpStream| {
            store.answer(&caller, request, stream).map(|()| true)
        };
        http::serve(([127, 0, 0, 1], 0).into(), Arc::new(handler))
    }

    /// Writes a key; returns when it was confirmed.
    pub fn put(&self, key: &str, value: &str) -> Instant {
        let mut state = self.state.lock().expect("no thread fails with the lock");
        state.put(key, &base64(value.as_bytes()));
        drop(state);
        self.changed.notify_all();
        Instant::now()
    }

    /// Removes a key; returns when it was confirmed.
    pub fn remove(&self, key: &str) -> Instant {
        let mut state = self.state.lock().expect("no thread fails with the lock");
        state.revision += 1;
        state.keys.remove(key);
        let revision = state.revision;
        let event = format!(r#"{{"key":"{key}","revision":{revision},"tombstone":true}}"#);
        state.events.push((revision, key.to_owned(), event));
        drop(state);
        self.changed.notify_all();
        Instant::now()
    }

    /// Whether a caller has begun a watch within a time.
    pub fn is_watched_by(&self, caller: &str, within: Duration) -> bool {
        let state = self.state.lock().expect("no thread fails with the lock");
        let at = state.watched_at.get(caller);
        at.is_some_and(|at| at.elapsed() < within)
    }

    fn answer(&self, caller: &str, request: &Message, stream: &mut TcpStream) -> io::Result<()> {
        thread::sleep(ANSWER_TIME);
        let path = request.target().split('?').next().unwrap_or_default();
        let (status, body) = match path {
            "/kv-range" => self.range(request),
            "/kv-key" => self.key(request),
            "/kv-watch" => self.watch(caller, request),
            "/kv-txn" => self.transact(request),
            "/kv-lease" => {
                let mut state = self.state.lock().expect("no thread fails with the lock");
                state.leases += 1;
                let lease = state.leases;
                (200, format!(r#"{{"lease":{lease},"ttlMs":60000}}"#))
            }
            _ if path.starts_with("/kv-keep/") || path.starts_with("/kv-lease-end/") => {
                (200, "{}".to_owned())
            }
            _ => (404, "{}".to_owned()),
        };
        let headers = "Content-Type: application/json\r\n";
        http::respond(stream, status, headers, &body)
    }

    fn range(&self, request: &Message) -> (u16, String) {
        let prefix = request.query("prefix").unwrap_or_default();
        let after = request.query("after").unwrap_or_default();
        let state = self.state.lock().expect("no thread fails with the lock");
        let found = state
            .keys
            .iter()
            .filter(|(key, _)| key.starts_with(&prefix) && **key > after);
        let items: Vec<String> = found.map(|(key, row)| item(key, row)).collect();
        let items = items.join(",");
        let revision = state.revision;
        let body = format!(r#"{{"entries":[{items}],"truncated":false,"currentRev":{revision}}}"#);
        (200, body)
    }

    fn key(&self, request: &Message) -> (u16, String) {
        let key = request.query("key").unwrap_or_default();
        let state = self.state.lock().expect("no thread fails with the lock");
        match state.keys.get(&key) {
            Some(row) => (200, item(&key, row)),
            None => (404, "{}".to_owned()),
        }
    }

    fn watch(&self, caller: &str, request: &Message) -> (u16, String) {
        let prefix = request.query("prefix").unwrap_or_default();
        let number = |name| {
            request
                .query(name)
                .and_then(|text| text.parse::<u64>().ok())
        };
        let after = number("after").unwrap_or(0);
        let deadline = Instant::now() + Duration::from_millis(number("waitMs").unwrap_or(0));
        let mut state = self.state.lock().expect("no thread fails with the lock");
        state.watched_at.insert(caller.to_owned(), Instant::now());
        loop {
            let newer = state
                .events
                .iter()
                .filter(|(revision, key, _)| *revision > after && key.starts_with(&prefix));
            let events: Vec<&str> = newer.map(|(_, _, event)| event.as_str()).collect();
            let left = deadline.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let events = events.join(",");
                let revision = state.revision;
                return (
                    200,
                    format!(r#"{{"events":[{events}],"currentRev":{revision}}}"#),
                );
            }
            let waited = self.changed.wait_timeout(state, left);
            state = waited.expect("no thread fails with the lock").0;
        }
    }

    fn transact(&self, request: &Message) -> (u16, String) {
        let text = String::from_utf8_lossy(&request.body).into_owned();
        let mut state = self.state.lock().expect("no thread fails with the lock");
        for row in objects(&text, "expect") {
            let key = field(&row, "key");
            let expected: u64 = number(&row, "revision");
            let known = state.keys.get(&key).map_or(0, |(_, revision, _)| *revision);
            if known != expected {
                return (412, r#"{"entries":[]}"#.to_owned());
            }
        }
        for row in objects(&text, "puts") {
            let (key, value) = (field(&row, "key"), field(&row, "value"));
            if key.starts_with("op/") || key.starts_with("servers/") {
                return (403, "{}".to_owned());
            }
            state.put(&key, &value);
        }
        let revision = state.revision;
        drop(state);
        self.changed.notify_all();
        (200, format!(r#"{{"revision":{revision}}}"#))
    }
}

impl State {
    fn put(&mut self, key: &str, encoded: &str) {
        self.revision += 1;
        let revision = self.revision;
        let created = self.keys.get(key).map_or(revision, |row| row.2);
        let row = (encoded.to_owned(), revision, created);
        self.events
            .push((revision, key.to_owned(), item(key, &row)));
        self.keys.insert(key.to_owned(), row);
    }
}

fn item(key: &str, (value, revision, created): &(String, u64, u64)) -> String {
    format!(
        r#"{{"key":"{key}","value":"{value}","revision":{revision},"createdRev":{created},"lease":0}}"#
    )
}

/// The objects of a list in a JSON text whose objects hold only texts and numbers.
fn objects(text: &str, name: &str) -> Vec<String> {
    let Some(at) = text.find(&format!("\"{name}\":[")) else {
        return Vec::new();
    };
    let rest = &text[at..];
    let list = &rest[..rest.find(']').unwrap_or(rest.len())];
    let parts = list.split('{').skip(1);
    parts
        .map(|part| part.split('}').next().unwrap_or_default().to_owned())
        .collect()
}

fn field(object: &str, name: &str) -> String {
    let start = format!("\"{name}\":\"");
    let value = object.split_once(&start).map_or("", |(_, rest)| rest);
    value.split('"').next().unwrap_or_default().to_owned()
}

fn number(object: &str, name: &str) -> u64 {
    let start = format!("\"{name}\":");
    let value = object.split_once(&start).map_or("", |(_, rest)| rest);
    let digits: String = value.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().unwrap_or(0)
}

/// Standard base64 with padding.
fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let mut group = [0; 3];
        group[..part.len()].copy_from_slice(part);
        let bits = u32::from(group[0]) << 16 | u32::from(group[1]) << 8 | u32::from(group[2]);
        for index in 0..4 {
            if index <= part.len() {
                let digit = bits >> (18 - 6 * index) & 63;
                text.push(char::from(DIGITS[digit as usize]));
            } else {
                text.push('=');
            }
        }
    }
    text
}
