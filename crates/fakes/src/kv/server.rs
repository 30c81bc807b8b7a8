//! HTTP server of the fake key-value service, on loopback.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use actix_web::App;
use actix_web::HttpRequest;
use actix_web::HttpResponse;
use actix_web::HttpServer;
use actix_web::dev::ServerHandle;
use actix_web::web;
use bytes::Bytes;
use futures_util::Stream;
use futures_util::StreamExt as _;
use futures_util::stream;
use serde_json::Value;
use serde_json::json;
use snafu::ResultExt as _;
use snafu::Snafu;
use snipeusher::kv::Call;
use snipeusher::kv::Revision;
use snipeusher::time::Time;
use tokio::sync::watch;

use super::Memory;
use super::json;

/// Interval at which expired leases are removed.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(50);
/// Largest accepted request; etcd accepts 1.5 MiB and base64 adds a third.
const REQUEST_BYTES_MAX: usize = 2 << 20;
/// gRPC status of an unavailable service.
const UNAVAILABLE: u32 = 14;
/// gRPC status of a call that was refused.
const FAILED_PRECONDITION: u32 = 9;

/// Errors on start of the server.
#[derive(Debug, Snafu)]
pub enum Error {
    /// No port could be bound.
    #[snafu(display("the fake key-value service cannot listen: {source}"))]
    Listen {
        /// The cause.
        source: std::io::Error,
    },
}

/// Injected faults.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    /// Every call fails without effect, and watches end.
    pub down: bool,
    /// Delay of each call before it takes effect.
    pub delay: Duration,
    /// Number of next calls that fail without effect.
    pub fail_requests: u32,
    /// Number of next calls that take effect and whose connection then closes without a reply.
    pub lose_replies: u32,
    /// Number of next calls that may succeed before all later ones fail without effect.
    pub fail_after: Option<u32>,
    /// Delay of watch events.
    pub event_delay: Duration,
    /// Whether each watch event is sent twice.
    pub duplicate_events: bool,
}

/// Numbers of calls since the start, failed ones included.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Reads.
    pub range: u64,
    /// Transactions.
    pub txn: u64,
    /// Leases granted.
    pub grant: u64,
    /// Keep-alives.
    pub keep_alive: u64,
    /// Leases revoked.
    pub revoke: u64,
    /// Watches started.
    pub watch: u64,
    /// Bytes of response bodies, watches excluded.
    pub response_bytes: u64,
}

impl Counts {
    /// Number of calls of all kinds.
    pub const fn total(&self) -> u64 {
        self.range + self.txn + self.grant + self.keep_alive + self.revoke + self.watch
    }
}

#[derive(Debug, Default)]
struct State {
    memory: Memory,
    faults: Faults,
    counts: Counts,
    /// Time by which tests have advanced the clock.
    skipped: Duration,
}

/// Signal to all watches: the current revision, and how often all watches were ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Signal {
    revision: Revision,
    cuts: u64,
}

#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    started: Instant,
    signal: watch::Sender<Signal>,
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now(&self, state: &State) -> Time {
        Time(0) + self.started.elapsed() + state.skipped
    }

    fn expire(&self) {
        let mut state = self.state();
        let now = self.now(&state);
        state.memory.expire(now);
        self.notify_watches(&state);
    }

    fn notify_watches(&self, state: &State) {
        let revision = state.memory.revision();
        self.signal.send_if_modified(|signal| {
            let changed = signal.revision != revision;
            signal.revision = revision;
            changed
        });
    }
}

/// Running service; it stops when dropped.
#[derive(Debug)]
pub struct Server {
    shared: Arc<Shared>,
    address: SocketAddr,
    handle: ServerHandle,
    expiry: tokio::task::JoinHandle<()>,
}

impl Server {
    /// Starts an empty service on a port that the system picks.
    pub fn open() -> Result<Self, Error> {
        Self::open_at(0)
    }

    /// Starts an empty service on the given loopback port.
    pub fn open_at(port: u16) -> Result<Self, Error> {
        let shared = Arc::new(Shared {
            state: Mutex::default(),
            started: Instant::now(),
            signal: watch::Sender::default(),
        });
        let data = web::Data::from(Arc::clone(&shared));
        let server = HttpServer::new(move || {
            App::new()
                .app_data(data.clone())
                .app_data(web::PayloadConfig::new(REQUEST_BYTES_MAX))
                .route("/v3/watch", web::post().to(serve_watch))
                .default_service(web::post().to(serve_call))
        })
        .workers(1)
        .shutdown_timeout(0)
        .disable_signals()
        .bind(("127.0.0.1", port))
        .context(ListenSnafu)?;
        let address = server.addrs()[0];
        let server = server.run();
        let handle = server.handle();
        actix_rt::spawn(server);
        let expiry_shared = Arc::clone(&shared);
        let expiry = actix_rt::spawn(async move {
            loop {
                actix_rt::time::sleep(EXPIRY_INTERVAL).await;
                expiry_shared.expire();
            }
        });
        Ok(Self {
            shared,
            address,
            handle,
            expiry,
        })
    }

    /// Address that the service listens on.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Base URL for clients.
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Changes the injected faults.
    pub fn set_faults(&self, change: impl FnOnce(&mut Faults)) {
        let mut state = self.shared.state();
        change(&mut state.faults);
        if state.faults.down {
            self.cut_watches();
        }
    }

    /// Ends all watches.
    pub fn cut_watches(&self) {
        self.shared.signal.send_modify(|signal| signal.cuts += 1);
    }

    /// Advances the clock by which leases expire.
    pub fn skip(&self, time: Duration) {
        self.shared.state().skipped += time;
        self.shared.expire();
    }

    /// Numbers of calls so far.
    pub fn counts(&self) -> Counts {
        self.shared.state().counts
    }

    /// Reads from the store.
    pub fn with_memory<T>(&self, read: impl FnOnce(&Memory) -> T) -> T {
        read(&self.shared.state().memory)
    }

    /// Executes a call like another client, without the injected faults.
    pub fn call(&self, call: &Call) -> Result<snipeusher::kv::Reply, snipeusher::kv::Fault> {
        let mut state = self.shared.state();
        let now = self.shared.now(&state);
        let reply = state.memory.call(now, call);
        self.shared.notify_watches(&state);
        reply
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.expiry.abort();
        self.cut_watches();
        // The server stops as soon as it receives the command; the future need not be awaited.
        drop(self.handle.stop(false));
    }
}

const fn count(counts: &mut Counts, call: &Call) {
    match call {
        Call::Range(_) | Call::Changed { .. } => counts.range += 1,
        Call::Txn(_) => counts.txn += 1,
        Call::Grant { .. } => counts.grant += 1,
        Call::KeepAlive(_) => counts.keep_alive += 1,
        Call::Revoke(_) => counts.revoke += 1,
    }
}

fn failure(code: u32, message: &str) -> HttpResponse {
    let body = json!({"error": message, "code": code, "message": message});
    if code == UNAVAILABLE {
        return HttpResponse::ServiceUnavailable().json(body);
    }
    HttpResponse::BadRequest().json(body)
}

async fn serve_call(
    request: HttpRequest,
    body: web::Bytes,
    shared: web::Data<Shared>,
) -> HttpResponse {
    let parsed = serde_json::from_slice(&body).ok();
    let call = parsed.and_then(|body: Value| json::parse_call(request.path(), &body));
    let Some(call) = call else {
        return failure(3, "etcdserver: request not understood");
    };
    let delay = {
        let mut state = shared.state();
        count(&mut state.counts, &call);
        state.faults.delay
    };
    if delay == Duration::ZERO {
        return execute(&shared, &call);
    }
    // The call takes effect even if its client has given up by then.
    let task = actix_rt::spawn(async move {
        actix_rt::time::sleep(delay).await;
        execute(&shared, &call)
    });
    task.await
        .unwrap_or_else(|_stopped| failure(UNAVAILABLE, "etcdserver: stopped"))
}

fn execute(shared: &Shared, call: &Call) -> HttpResponse {
    let mut state = shared.state();
    let is_failing = match &mut state.faults.fail_after {
        Some(remaining) => !decrement(remaining),
        None => false,
    };
    if state.faults.down || is_failing || decrement(&mut state.faults.fail_requests) {
        return failure(UNAVAILABLE, "etcdserver: no leader");
    }
    let now = shared.now(&state);
    let reply = state.memory.call(now, call);
    shared.notify_watches(&state);
    if decrement(&mut state.faults.lose_replies) {
        let closed: Result<Bytes, std::io::Error> = Err(std::io::ErrorKind::BrokenPipe.into());
        return HttpResponse::Ok().streaming(stream::iter([closed]));
    }
    let Ok(reply) = reply else {
        return failure(FAILED_PRECONDITION, "etcdserver: refused");
    };
    let body = json::encode_reply(&reply, state.memory.revision()).to_string();
    state.counts.response_bytes += body.len() as u64;
    HttpResponse::Ok()
        .content_type("application/json")
        .body(body)
}

/// Decrements a counter; returns whether it was above zero.
const fn decrement(counter: &mut u32) -> bool {
    if *counter == 0 {
        return false;
    }
    *counter -= 1;
    true
}

async fn serve_watch(body: web::Bytes, shared: web::Data<Shared>) -> HttpResponse {
    let parsed = serde_json::from_slice(&body).ok();
    let Some((prefix, from)) = parsed.and_then(|body: Value| json::parse_watch(&body)) else {
        return failure(3, "etcdserver: request not understood");
    };
    let mut state = shared.state();
    state.counts.watch += 1;
    if state.faults.down {
        return failure(UNAVAILABLE, "etcdserver: no leader");
    }
    let created = json::encode_watch_created(state.memory.revision());
    drop(state);
    let first = stream::iter([Ok(line(&created))]);
    HttpResponse::Ok()
        .content_type("application/json")
        .streaming(first.chain(watch_messages(shared, prefix, from)))
}

fn line(message: &Value) -> Bytes {
    format!("{message}\n").into()
}

/// Streams the messages of a watch until all watches are ended.
fn watch_messages(
    shared: web::Data<Shared>,
    prefix: String,
    from: Revision,
) -> impl Stream<Item = Result<Bytes, std::io::Error>> {
    let receiver = shared.signal.subscribe();
    let cuts = receiver.borrow().cuts;
    stream::unfold((receiver, from), move |(mut receiver, from)| {
        let shared = shared.clone();
        let prefix = prefix.clone();
        async move {
            loop {
                if receiver.borrow_and_update().cuts != cuts {
                    return None;
                }
                let (delay, messages, next) = pending_messages(&shared, &prefix, from);
                if !messages.is_empty() {
                    if delay > Duration::ZERO {
                        actix_rt::time::sleep(delay).await;
                    }
                    return Some((Ok(messages), (receiver, next)));
                }
                receiver.changed().await.ok()?;
            }
        }
    })
}

/// Returns the delay and messages of the writes since a revision, and the revision to continue at.
fn pending_messages(shared: &Shared, prefix: &str, from: Revision) -> (Duration, Bytes, Revision) {
    let state = shared.state();
    let mut lines = Vec::new();
    for write in state.memory.log(from) {
        let Some(message) = json::encode_write(write, prefix) else {
            continue;
        };
        lines.push(line(&message));
        if state.faults.duplicate_events {
            lines.push(line(&message));
        }
    }
    let next = Revision::new(state.memory.revision().number + 1);
    (
        state.faults.event_delay,
        lines.concat().into(),
        next.max(from),
    )
}
