//! Stand-ins for the review's scripts: the platform's store, engines that stream, callers, and the
//! router processes. Standard library only.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::fs;
use std::fs::File;
use std::io;
use std::io::Read as _;
use std::io::Write as _;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

/// Interval at which an engine writes its entry.
pub const HEARTBEAT: Duration = Duration::from_millis(1_200);

// ---------------------------------------------------------------------------------------------
// Record and time

/// What was sent, answered and run, with the seconds since the start of the script.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn open(path: &Path) -> Self {
        let file = File::create(path).expect("the record can be written");
        Self {
            start: Instant::now(),
            file: Arc::new(Mutex::new(file)),
        }
    }

    pub fn line(&self, text: &str) {
        let at = self.start.elapsed().as_secs_f64();
        let mut file = self.file.lock().expect("the record is not poisoned");
        let _written = writeln!(file, "{at:9.3} {text}");
    }

    /// The same, on the terminal too.
    pub fn say(&self, text: &str) {
        println!("{:9.3} {text}", self.start.elapsed().as_secs_f64());
        self.line(text);
    }
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// Whether the script applies the disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Ports for the routers' listeners, below those that the system gives to outgoing connections, so
/// that none of these takes one before its router has started.
const PORTS: std::ops::Range<u32> = 20_000..32_000;

/// Addresses that were free a moment ago, all different.
pub fn free_addresses(count: usize) -> Vec<SocketAddr> {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let first = std::process::id().wrapping_mul(97) % PORTS.len() as u32;
    let ports = std::iter::repeat_with(|| NEXT.fetch_add(1, Ordering::Relaxed));
    let ports = ports.map(|next| PORTS.start + (first + next) % PORTS.len() as u32);
    let addresses = ports.map(|port| SocketAddr::from(([127, 0, 0, 1], port as u16)));
    let free = addresses.filter(|address| TcpListener::bind(address).is_ok());
    free.take(count).collect()
}

// ---------------------------------------------------------------------------------------------
// HTTP

pub struct Head {
    pub line: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    fn parse(text: &str) -> Self {
        let mut lines = text.split("\r\n");
        let line = lines.next().unwrap_or_default().to_owned();
        let headers = lines.filter_map(|line| {
            let (name, value) = line.split_once(':')?;
            Some((name.trim().to_ascii_lowercase(), value.trim().to_owned()))
        });
        Self {
            line,
            headers: headers.collect(),
        }
    }

    pub fn get(&self, name: &str) -> Option<&str> {
        let mut found = self.headers.iter().filter(|(known, _)| known == name);
        found.next().map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        let status = self.line.split(' ').nth(1);
        status.and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

/// A connection with what was read and not used yet.
pub struct Wire {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Wire {
    pub fn new(stream: TcpStream) -> Self {
        let _set = stream.set_nodelay(true);
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    /// Reads more bytes; fails at the end of the stream.
    fn fill(&mut self) -> io::Result<()> {
        let mut part = [0; 16_384];
        let count = self.stream.read(&mut part)?;
        if count == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        self.buffer.extend_from_slice(&part[..count]);
        Ok(())
    }

    fn take_until(&mut self, mark: &[u8]) -> io::Result<Vec<u8>> {
        loop {
            let found = self
                .buffer
                .windows(mark.len())
                .position(|part| part == mark);
            if let Some(at) = found {
                let rest = self.buffer.split_off(at + mark.len());
                let mut taken = std::mem::replace(&mut self.buffer, rest);
                taken.truncate(at);
                return Ok(taken);
            }
            self.fill()?;
        }
    }

    fn take(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < count {
            self.fill()?;
        }
        let rest = self.buffer.split_off(count);
        Ok(std::mem::replace(&mut self.buffer, rest))
    }

    pub fn head(&mut self) -> io::Result<Head> {
        let text = self.take_until(b"\r\n\r\n")?;
        Ok(Head::parse(&String::from_utf8_lossy(&text)))
    }

    /// The next chunk of a chunked body; empty at its end.
    pub fn chunk(&mut self) -> io::Result<Vec<u8>> {
        let size = self.take_until(b"\r\n")?;
        let size = String::from_utf8_lossy(&size).into_owned();
        let size = size.split(';').next().unwrap_or_default().trim().to_owned();
        let size = usize::from_str_radix(&size, 16)
            .map_err(|_error| io::Error::from(io::ErrorKind::InvalidData))?;
        let data = self.take(size)?;
        self.take(2)?;
        Ok(data)
    }

    pub fn body(&mut self, head: &Head) -> io::Result<Vec<u8>> {
        if head.get("transfer-encoding").is_some() {
            let mut body = Vec::new();
            loop {
                let chunk = self.chunk()?;
                if chunk.is_empty() {
                    return Ok(body);
                }
                body.extend(chunk);
            }
        }
        let length = head.get("content-length").unwrap_or("0");
        self.take(length.parse().unwrap_or(0))
    }
}

fn response(status: u16, headers: &str, body: &str) -> String {
    format!(
        "HTTP/1.1 {status} Status\r\n{headers}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

// ---------------------------------------------------------------------------------------------
// Base64 and a little JSON, for the store

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let mut word = [0; 3];
        word[..group.len()].copy_from_slice(group);
        let bits = u32::from_be_bytes([0, word[0], word[1], word[2]]);
        for index in 0..4 {
            let digit = (bits >> (18 - 6 * index)) & 63;
            text.push(if index <= group.len() {
                ALPHABET[digit as usize] as char
            } else {
                '='
            });
        }
    }
    text
}

/// The value of a member of a JSON object that a router wrote. Its texts hold no escapes.
fn member<'a>(object: &'a str, name: &str) -> Option<&'a str> {
    let key = format!("\"{name}\":");
    let rest = &object[object.find(&key)? + key.len()..];
    let end = if let Some(text) = rest.strip_prefix('"') {
        return text.split('"').next();
    } else {
        rest.find([',', '}', ']']).unwrap_or(rest.len())
    };
    Some(&rest[..end])
}

/// The text between the brackets of an array member.
fn array<'a>(object: &'a str, name: &str) -> &'a str {
    let key = format!("\"{name}\":[");
    let Some(at) = object.find(&key) else {
        return "";
    };
    let rest = &object[at + key.len()..];
    rest.split(']').next().unwrap_or_default()
}

fn rows(array: &str) -> impl Iterator<Item = &str> {
    array.split('}').filter(|row| row.contains('{'))
}

// ---------------------------------------------------------------------------------------------
// Store

#[derive(Clone, Debug)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

/// The data of the store at some time.
#[derive(Clone)]
pub struct Copy {
    keys: BTreeMap<String, Item>,
    revision: u64,
    leases: BTreeMap<u64, (Duration, Instant)>,
}

struct Keys {
    now: Copy,
    events: Vec<(u64, String)>,
    /// Revisions up to this one are no longer in the history.
    compacted: u64,
    era: u64,
    is_away: bool,
    next_lease: u64,
}

impl Keys {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        self.now.revision += 1;
        let revision = self.now.revision;
        let created = self.now.keys.get(key).map_or(revision, |item| item.created);
        let item = Item {
            value,
            revision,
            created,
            lease,
        };
        let event = encode(key, &item);
        self.now.keys.insert(key.to_owned(), item);
        self.events.push((revision, event));
    }

    fn remove(&mut self, key: &str) {
        if self.now.keys.remove(key).is_some() {
            self.now.revision += 1;
            let revision = self.now.revision;
            let event = format!("{{\"key\":\"{key}\",\"revision\":{revision},\"tombstone\":true}}");
            self.events.push((revision, event));
        }
    }

    fn expire_leases(&mut self) {
        let leases = self.now.leases.iter();
        let ended = leases.filter(|(_, (ttl, since))| since.elapsed() >= *ttl);
        let ended: Vec<u64> = ended.map(|(lease, _)| *lease).collect();
        for lease in ended {
            self.now.leases.remove(&lease);
            let keys = self.now.keys.iter();
            let keys = keys.filter(|(_, item)| item.lease == lease);
            let keys: Vec<String> = keys.map(|(key, _)| key.clone()).collect();
            for key in keys {
                self.remove(&key);
            }
        }
    }
}

fn encode(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{},\"createdRev\":{},\"lease\":{}}}",
        item.value, item.revision, item.created, item.lease
    )
}

/// The platform's store.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    keys: Arc<(Mutex<Keys>, Condvar)>,
    record: Record,
}

impl Store {
    pub fn start(record: &Record) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let keys = Keys {
            now: Copy {
                keys: BTreeMap::new(),
                revision: 1,
                leases: BTreeMap::new(),
            },
            events: Vec::new(),
            compacted: 1,
            era: 1,
            is_away: false,
            next_lease: 1,
        };
        let store = Self {
            address: listener.local_addr().expect("it is bound"),
            keys: Arc::new((Mutex::new(keys), Condvar::new())),
            record: record.clone(),
        };
        let server = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = server.clone();
                thread::spawn(move || store.serve(Wire::new(stream)));
            }
        });
        store
    }

    fn with<T>(&self, action: impl FnOnce(&mut Keys) -> T) -> T {
        let mut keys = self.keys.0.lock().expect("the store is not poisoned");
        let result = action(&mut keys);
        drop(keys);
        self.keys.1.notify_all();
        result
    }

    /// A write of the operator or an engine; false while the store is away.
    pub fn write(&self, key: &str, value: &str) -> bool {
        let value = base64(value.as_bytes());
        let written = self.with(|keys| {
            if keys.is_away {
                return None;
            }
            // A heartbeat that changes nothing is no change of the key.
            let known = keys.now.keys.get(key);
            if known.is_some_and(|item| item.value == value) {
                return Some(None);
            }
            keys.put(key, value, 0);
            Some(Some(keys.now.revision))
        });
        if let Some(Some(revision)) = written {
            self.record
                .line(&format!("store: {key} written at {revision}"));
        }
        written.is_some()
    }

    pub fn delete(&self, key: &str) {
        self.with(|keys| keys.remove(key));
        self.record.line(&format!("store: {key} removed"));
    }

    pub fn copy(&self) -> Copy {
        self.with(|keys| keys.now.clone())
    }

    /// While it is away the store answers nothing: its connections are closed.
    pub fn set_away(&self, is_away: bool) {
        self.with(|keys| keys.is_away = is_away);
        self.record.say(if is_away {
            "store: away"
        } else {
            "store: back"
        });
    }

    /// Comes back from a copy: what was written since is gone, and its revisions are used again.
    pub fn restore(&self, copy: Copy) {
        let era = self.with(|keys| {
            keys.era += 1;
            keys.compacted = copy.revision;
            keys.events.clear();
            keys.now = copy;
            keys.is_away = false;
            keys.era
        });
        self.record
            .say(&format!("store: back from the copy, era {era}"));
    }

    /// Names of the present keys, and the value of one.
    pub fn names(&self) -> Vec<String> {
        self.with(|keys| keys.now.keys.keys().cloned().collect())
    }

    fn serve(&self, mut wire: Wire) {
        while let Ok(head) = wire.head() {
            let Ok(body) = wire.body(&head) else { return };
            let body = String::from_utf8_lossy(&body).into_owned();
            let answer = self.answer(&head.line, &body);
            let (status, text, era) = match answer {
                Some(answer) => answer,
                None => return,
            };
            let headers = format!("Content-Type: application/json\r\nStore-Era: {era}\r\n");
            let text = response(status, &headers, &text);
            if wire.stream.write_all(text.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// Status, body and era; nothing while the store is away.
    fn answer(&self, line: &str, body: &str) -> Option<(u16, String, u64)> {
        let target = line.split(' ').nth(1).unwrap_or_default();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        if path == "/kv-watch" {
            return self.watch(query);
        }
        self.with(|keys| {
            if keys.is_away {
                return None;
            }
            keys.expire_leases();
            let (status, text) = match path {
                "/kv-range" => range(keys, query),
                "/kv-key" => key(keys, query),
                "/kv-txn" => transact(keys, body),
                "/kv-lease" => grant(keys, body),
                _ => (404, String::new()),
            };
            Some((status, text, keys.era))
        })
    }

    fn watch(&self, query: &str) -> Option<(u16, String, u64)> {
        let prefix = parameter(query, "prefix");
        let after: u64 = parameter(query, "after").parse().unwrap_or(0);
        let wait: u64 = parameter(query, "waitMs").parse().unwrap_or(0);
        let deadline = Instant::now() + Duration::from_millis(wait.min(30_000));
        let mut keys = self.keys.0.lock().expect("the store is not poisoned");
        let era = keys.era;
        loop {
            if keys.is_away {
                return None;
            }
            keys.expire_leases();
            if keys.era != era || after < keys.compacted || after > keys.now.revision {
                return Some((410, String::new(), keys.era));
            }
            let newer = keys.events.iter().filter(|(at, event)| {
                *at > after && event.starts_with(&format!("{{\"key\":\"{prefix}"))
            });
            let events: Vec<&str> = newer.map(|(_, event)| event.as_str()).collect();
            let left = deadline.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let revision = keys.now.revision;
                let text = format!(
                    "{{\"events\":[{}],\"currentRev\":{revision}}}",
                    events.join(",")
                );
                return Some((200, text, keys.era));
            }
            let step = left.min(Duration::from_millis(200));
            keys = self
                .keys
                .1
                .wait_timeout(keys, step)
                .expect("not poisoned")
                .0;
        }
    }
}

fn parameter(query: &str, name: &str) -> String {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let found = pairs.find(|(known, _)| *known == name);
    found.map_or(String::new(), |(_, value)| value.replace("%2F", "/"))
}

fn range(keys: &Keys, query: &str) -> (u16, String) {
    let (prefix, after) = (parameter(query, "prefix"), parameter(query, "after"));
    let found = keys.now.keys.iter();
    let found = found.filter(|(key, _)| key.starts_with(&prefix) && **key > after);
    let items: Vec<String> = found.map(|(key, item)| encode(key, item)).collect();
    let page = items.len().min(500);
    let text = format!(
        "{{\"entries\":[{}],\"truncated\":{},\"currentRev\":{}}}",
        items[..page].join(","),
        page < items.len(),
        keys.now.revision
    );
    (200, text)
}

fn key(keys: &Keys, query: &str) -> (u16, String) {
    let name = parameter(query, "key");
    match keys.now.keys.get(&name) {
        Some(item) => (200, encode(&name, item)),
        None => (404, String::new()),
    }
}

fn transact(keys: &mut Keys, body: &str) -> (u16, String) {
    let mut current = Vec::new();
    let mut holds = true;
    for row in rows(array(body, "expect")) {
        let name = member(row, "key").unwrap_or_default();
        let expected: u64 = member(row, "revision")
            .and_then(|text| text.parse().ok())
            .unwrap_or(0);
        let item = keys.now.keys.get(name);
        holds &= item.map_or(0, |item| item.revision) == expected;
        current.extend(item.map(|item| encode(name, item)));
    }
    if !holds {
        return (412, format!("{{\"entries\":[{}]}}", current.join(",")));
    }
    for row in rows(array(body, "puts")) {
        let name = member(row, "key").unwrap_or_default().to_owned();
        let value = member(row, "value").unwrap_or_default().to_owned();
        let lease = member(row, "lease")
            .and_then(|text| text.parse().ok())
            .unwrap_or(0);
        if lease != 0 && !keys.now.leases.contains_key(&lease) {
            return (404, String::new());
        }
        keys.put(&name, value, lease);
    }
    for name in array(body, "remove").split(',') {
        keys.remove(name.trim().trim_matches('"'));
    }
    (200, format!("{{\"revision\":{}}}", keys.now.revision))
}

fn grant(keys: &mut Keys, body: &str) -> (u16, String) {
    let ttl_ms: u64 = member(body, "ttlMs")
        .and_then(|text| text.parse().ok())
        .unwrap_or(1_000);
    let lease = keys.next_lease;
    keys.next_lease += 1;
    let ttl = Duration::from_millis(ttl_ms);
    keys.now.leases.insert(lease, (ttl, Instant::now()));
    (200, format!("{{\"lease\":{lease},\"ttlMs\":{ttl_ms}}}"))
}

// ---------------------------------------------------------------------------------------------
// Engines

/// How an engine streams.
#[derive(Clone, Copy)]
pub struct Pace {
    pub events: u64,
    pub gap: Duration,
}

/// An engine whose answers are streams of events. Every event names the engine and its version.
#[derive(Clone)]
pub struct Engine {
    pub id: String,
    pub version: String,
    pub zone: String,
    pub service: String,
    pub address: SocketAddr,
    pub born: u64,
    pub is_up: Arc<AtomicBool>,
    running: Arc<AtomicU32>,
    served: Arc<AtomicU64>,
}

impl Engine {
    pub fn start(
        id: &str,
        service: &str,
        version: &str,
        zone: &str,
        pace: Pace,
        record: &Record,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let engine = Self {
            id: id.to_owned(),
            version: version.to_owned(),
            zone: zone.to_owned(),
            service: service.to_owned(),
            address: listener.local_addr().expect("it is bound"),
            born: 1_790_000_000_000 + u64::from(listener.local_addr().map_or(0, |at| at.port())),
            is_up: Arc::new(AtomicBool::new(true)),
            running: Arc::default(),
            served: Arc::default(),
        };
        let (server, record) = (engine.clone(), record.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (engine, record) = (server.clone(), record.clone());
                thread::spawn(move || {
                    let _ended = engine.serve(Wire::new(stream), pace, &record);
                });
            }
        });
        engine
    }

    fn entry(&self, state: &str) -> String {
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"{}\",\
             \"slots\":64,\"state\":\"{state}\",\"born\":{}}}",
            self.service, self.address, self.zone, self.version, self.born
        )
    }

    /// Registers the engine and writes its entry at every heartbeat, as long as it is up.
    pub fn register(&self, store: &Store) {
        let (engine, store) = (self.clone(), store.clone());
        store.write(&format!("servers/{}", engine.id), &engine.entry("ready"));
        thread::spawn(move || {
            while engine.is_up.load(Ordering::Relaxed) {
                thread::sleep(HEARTBEAT);
                store.write(&format!("servers/{}", engine.id), &engine.entry("ready"));
            }
        });
    }

    fn serve(&self, mut wire: Wire, pace: Pace, record: &Record) -> io::Result<()> {
        loop {
            let head = wire.head()?;
            let _body = wire.body(&head)?;
            let id = head.get("x-request-id").unwrap_or_default().to_owned();
            let expected = head.get("x-expect-instance").unwrap_or(&self.id);
            if expected != self.id {
                let headers = format!("X-Request-Id: {id}\r\nX-Not-Executed: 1\r\n");
                wire.stream
                    .write_all(response(421, &headers, "").as_bytes())?;
                continue;
            }
            let after = head.get("last-event-id").and_then(|text| text.parse().ok());
            let after: u64 = after.unwrap_or(0);
            record.line(&format!(
                "engine {} ({}): runs {id} after event {after}, resumes {}",
                self.id,
                self.version,
                head.get("resumes").unwrap_or("-")
            ));
            self.running.fetch_add(1, Ordering::Relaxed);
            let ended = self.stream(&mut wire, &id, after, pace);
            self.running.fetch_sub(1, Ordering::Relaxed);
            let served = self.served.fetch_add(1, Ordering::Relaxed);
            if ended.is_err() {
                record.line(&format!("engine {}: {id} was cut off", self.id));
            }
            ended?;
            let _count = served;
        }
    }

    fn stream(&self, wire: &mut Wire, id: &str, after: u64, pace: Pace) -> io::Result<()> {
        let running = self.running.load(Ordering::Relaxed);
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Request-Id: {id}\r\n\
             X-Server-Signature: sig.{}.{id}\r\nX-Engine-Load: {running},0,64\r\n\
             Transfer-Encoding: chunked\r\n\r\n",
            self.id
        );
        wire.stream.write_all(head.as_bytes())?;
        for number in after + 1..=pace.events {
            thread::sleep(pace.gap);
            let event = format!("id: {number}\ndata: {} {}\n\n", self.version, self.id);
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            wire.stream.write_all(chunk.as_bytes())?;
        }
        wire.stream.write_all(b"0\r\n\r\n")
    }
}

// ---------------------------------------------------------------------------------------------
// Routers

/// A router process of the project, started with the command of the deploy file.
pub struct Router {
    pub name: String,
    pub zone: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub control: SocketAddr,
    metrics: SocketAddr,
    directory: PathBuf,
    program: PathBuf,
    child: Option<Child>,
    record: Record,
}

impl Router {
    /// Starts nothing yet.
    pub fn new(name: &str, zone: &str, directory: &Path, program: &Path, record: &Record) -> Self {
        let free = free_addresses(4);
        Self {
            name: name.to_owned(),
            zone: zone.to_owned(),
            front: free[0],
            ready: free[1],
            control: free[2],
            metrics: free[3],
            directory: directory.to_owned(),
            program: program.to_owned(),
            child: None,
            record: record.clone(),
        }
    }

    fn settings(&self) -> PathBuf {
        self.directory.join(format!("{}.toml", self.name))
    }

    pub fn log(&self) -> PathBuf {
        self.directory.join(format!("{}.log", self.name))
    }

    pub fn start(&mut self, store: SocketAddr, seeds: &[SocketAddr], bootstrap: bool) {
        let seeds: Vec<String> = seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
        let (front, ready, control) = (self.front, self.ready, self.control);
        let text = format!(
            "nodeName = \"{}\"\nrole = \"router\"\nmachineClass = \"front\"\n\
             serves = [\"front\",\"control\"]\nip = \"127.0.0.1\"\nzone = \"{}\"\n\
             region = \"r\"\nseedNodes = [{}]\nbootstrap = {bootstrap}\nheartbeatMs = 1200\n\
             [zones]\na = \"r\"\nb = \"r\"\n\
             [bind]\nfront = \"{front}\"\nready = \"{ready}\"\ncontrol = \"{control}\"\n\
             [limits]\ncpuShare = 0.25\ncpuCores = 1\nmemoryMb = 260\nmaxFds = 4100\n\
             [bounds]\nstableWindowMs = 3000\nackMs = 4000\ndrainMs = 2000\ngraceS = 8\n\
             lossSlackMs = 200\nconfigApplyMs = 2000\nbudgetRatio = 0.2\nbudgetWindowS = 10\n\
             budgetSlack = 58\n\
             [platform]\naddress = \"{store}\"\nform = \"kv\"\nwritesPerS = 400\n\
             readsPerS = 2000\nhistoryS = 20\nvalueBytes = 1048576\nttlMinMs = 1000\n",
            self.name,
            self.zone,
            seeds.join(",")
        );
        fs::write(self.settings(), text).expect("the settings can be written");
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.log())
            .expect("the log can be opened");
        let child = Command::new(&self.program)
            .arg("--metrics")
            .arg(self.metrics.to_string())
            .env_clear()
            .env("SNIPEUSHER_CONFIG", self.settings())
            .stdin(Stdio::null())
            .stdout(Stdio::from(log))
            .spawn();
        self.child = Some(child.expect("the program starts"));
        self.record.say(&format!("router {}: started", self.name));
    }

    /// Sends a signal by name, such as `-STOP`.
    pub fn signal(&self, name: &str) {
        if let Some(child) = &self.child {
            let id = child.id().to_string();
            let sent = Command::new("kill").args([name, &id]).status();
            let sent = sent.is_ok_and(|status| status.success());
            self.record
                .say(&format!("router {}: {name} ({sent})", self.name));
        }
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ended = child.kill();
            let _status = child.wait();
            self.record.say(&format!("router {}: killed", self.name));
        }
    }

    /// Memory of the process that is not backed by files.
    pub fn memory_bytes(&self) -> u64 {
        let id = self.child.as_ref().map_or(0, Child::id);
        let status = fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
        let line = status
            .lines()
            .find_map(|line| line.strip_prefix("RssAnon:"));
        let kilobytes = line.and_then(|line| line.trim().strip_suffix("kB")?.trim().parse().ok());
        kilobytes.unwrap_or(0) * 1_024
    }

    /// Whether the process runs.
    pub fn is_running(&mut self) -> bool {
        let child = self.child.as_mut();
        child.is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    pub fn is_ready(&self) -> bool {
        let limit = Duration::from_millis(300);
        let Ok(stream) = TcpStream::connect_timeout(&self.ready, limit) else {
            return false;
        };
        let _set = stream.set_read_timeout(Some(limit));
        let mut wire = Wire::new(stream);
        let request = b"GET /readyz HTTP/1.1\r\nHost: ready\r\n\r\n";
        let head = wire.stream.write_all(request).and_then(|()| wire.head());
        head.is_ok_and(|head| head.status() == 200)
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Waits until all routers say that they are ready.
pub fn await_ready(routers: &[Router], limit: Duration) -> bool {
    let start = Instant::now();
    while start.elapsed() < limit {
        if routers.iter().all(Router::is_ready) {
            return true;
        }
        sleep_ms(50);
    }
    false
}

// ---------------------------------------------------------------------------------------------
// Callers

/// How one attempt of a caller ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum End {
    /// A complete stream.
    Whole,
    /// The channel broke, or no event came for two seconds.
    Cut,
    /// Another status than 200, and the time after which to return.
    Refused(u16, Duration),
    /// No channel.
    NoChannel,
}

/// Counts of all streams, also of those that have not ended.
#[derive(Debug, Default)]
pub struct Tally {
    /// Streams of which an event was received.
    pub begun: AtomicU32,
    /// Streams whose first attempt to take them up at a router that answered brought nothing.
    pub refused: AtomicU32,
    /// Attempts to take a stream up that brought an event.
    pub went_on: AtomicU32,
}

/// One stream as its caller sees it, over all attempts.
#[derive(Clone, Debug, Default)]
pub struct Seen {
    /// Number and version of each event.
    pub events: Vec<(u64, String)>,
    /// Attempts that took the stream up, and whether they brought an event.
    pub taken_up: Vec<bool>,
    pub is_whole: bool,
    /// Counts of all callers.
    pub tally: Arc<Tally>,
    /// Whether the first attempt was given an answer of status 200.
    pub began: bool,
    pub first_router: usize,
}

impl Seen {
    /// Versions of the events, each once.
    pub fn versions(&self) -> Vec<&str> {
        let mut versions: Vec<&str> = self.events.iter().map(|(_, version)| &**version).collect();
        versions.dedup();
        versions
    }

    /// Whether a number is missing or comes twice.
    pub fn has_gap(&self) -> bool {
        let numbers = self.events.iter().map(|(number, _)| *number);
        numbers
            .zip(1..)
            .any(|(number, expected)| number != expected)
    }
}

/// What a caller asks for.
#[derive(Clone, Debug)]
pub struct Ask {
    pub host: String,
    pub path: String,
    pub time_limit: Duration,
    /// Gap between events after which the caller gives the channel up.
    pub gap: Duration,
}

/// Sends one attempt and reads its answer.
pub fn attempt(
    ask: &Ask,
    router: SocketAddr,
    id: &str,
    resumes: Option<&str>,
    left: Duration,
    seen: &mut Seen,
) -> End {
    let Ok(stream) = TcpStream::connect_timeout(&router, Duration::from_secs(1)) else {
        return End::NoChannel;
    };
    let _set = stream.set_read_timeout(Some(ask.gap.min(left)));
    let mut wire = Wire::new(stream);
    let mut text = format!(
        "POST {} HTTP/1.1\r\nHost: {}\r\nX-Request-Id: {id}\r\nX-Request-Deadline: {}\r\n\
         X-Model: m\r\nX-Token-Usage: 100,60\r\nContent-Length: 2\r\n",
        ask.path,
        ask.host,
        left.as_millis()
    );
    if let (Some(resumes), Some((last, _))) = (resumes, seen.events.last()) {
        let _written = write!(text, "Last-Event-Id: {last}\r\nResumes: {resumes}\r\n");
    }
    text.push_str("\r\nhi");
    if wire.stream.write_all(text.as_bytes()).is_err() {
        return End::Cut;
    }
    let Ok(head) = wire.head() else {
        return End::Cut;
    };
    if head.status() != 200 {
        let after = head
            .get("retry-after")
            .and_then(|text| text.parse::<f64>().ok());
        return End::Refused(head.status(), Duration::from_secs_f64(after.unwrap_or(0.3)));
    }
    let start = Instant::now();
    let mut is_taken_up = resumes.is_some();
    loop {
        if start.elapsed() >= left {
            return End::Cut;
        }
        let Ok(chunk) = wire.chunk() else {
            return End::Cut;
        };
        if chunk.is_empty() {
            return End::Whole;
        }
        let chunk = String::from_utf8_lossy(&chunk).into_owned();
        for event in chunk.split("\n\n").filter(|event| !event.is_empty()) {
            let id = event.lines().find_map(|line| line.strip_prefix("id: "));
            let data = event.lines().find_map(|line| line.strip_prefix("data: "));
            let version = data.and_then(|data| data.split(' ').next());
            if let (Some(id), Some(version)) = (id, version) {
                if seen.events.is_empty() {
                    seen.tally.begun.fetch_add(1, Ordering::Relaxed);
                } else if is_taken_up {
                    seen.tally.went_on.fetch_add(1, Ordering::Relaxed);
                }
                is_taken_up = false;
                seen.events
                    .push((id.parse().unwrap_or(0), version.to_owned()));
            }
        }
    }
}

/// Directory and program of a script, from its arguments.
pub struct Place {
    pub record: Record,
    pub directory: PathBuf,
    pub program: PathBuf,
}

impl Place {
    /// Takes the folder of the case as the first argument.
    pub fn open() -> Self {
        let case = PathBuf::from(std::env::args().nth(1).expect("the folder of the case"));
        let program = case.join("../../target/release/snipeusher-node");
        let directory =
            std::env::temp_dir().join(format!("snipeusher-review-{}", std::process::id()));
        fs::create_dir_all(&directory).expect("a temporary folder");
        let record = Record::open(&case.join("record.txt"));
        if !program.exists() {
            record.say("the program of the deploy file is not built");
            std::process::exit(2);
        }
        Self {
            record,
            directory,
            program: program.canonicalize().expect("it exists"),
        }
    }

    /// Ends the script: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
    pub fn end(&self, routers: Vec<Router>, status: i32) -> ! {
        drop(routers);
        if std::env::var_os("KEEP").is_none() {
            let _removed = fs::remove_dir_all(&self.directory);
        }
        std::process::exit(status)
    }
}
