//! Messages with extreme numbers, lengths or bytes, none of which may end a process or one of its
//! tasks.

mod common;

use std::cell::Cell;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use actix_http::ServiceConfig;
use actix_http::StatusCode;
use actix_http::header::HeaderMap;
use common::Node;
use common::caller::Caller;
use common::caller::call;
use common::caller::get;
use common::caller::post;
use common::engine::Act;
use common::engine::Engine;
use common::engine::chunk;
use common::engine::end;
use common::engine::response;
use common::engine::response_with;
use common::engine::stream;
use common::platform::DEFAULT;
use common::platform::TestPlatform;
use common::single;
use common::store::Store;
use futures_util::Stream;
use rstest::rstest;
use serde::Serialize;
use slog::Logger;
use slog::o;
use snipeusher::fleet::DeclineLimit;
use snipeusher::fleet::Observation;
use snipeusher::fleet::RateLimit;
use snipeusher::kv::Call;
use snipeusher::kv::Fault;
use snipeusher::kv::Reply;
use snipeusher::kv::Revision;
use snipeusher::kv::WatchReply;
use snipeusher::name;
use snipeusher::poison;
use snipeusher::reader::Reader;
use snipeusher::route::Limits;
use snipeusher_edge::lifecycle::Lifecycle;
use snipeusher_edge::memory::Memory;
use snipeusher_edge::memory::Owner;
use snipeusher_edge::memory::Reservation;
use snipeusher_edge::node;
use snipeusher_edge::peer::Digest;
use snipeusher_edge::peer::Member;
use snipeusher_edge::responder::Responder;
use snipeusher_edge::server;
use snipeusher_edge::server::Handler;
use snipeusher_edge::server::Request;
use snipeusher_edge::shared::Shared;
use snipeusher_fakes::address::free_address;
use snipeusher_store::Change;

/// Length of a body that no machine has memory for.
const HUGE_LENGTH: usize = 1 << 50;
/// Time in which a caller sends the start of a body.
const START_TIME: Duration = Duration::from_millis(50);

async fn healthy() -> Engine {
    Engine::start(|seen| vec![response(seen.id(), "200 OK", "fine")]).await
}

fn digest(node: &Node) -> Digest {
    let zone = node.shared.settings.fleet.zone.clone();
    common::digest(node, name::Host::from("peer"), zone, free_address())
}

/// Sends a message to the control address of a router and returns the status of the response.
async fn send(node: &Node, path: &str, body: &[u8]) -> u16 {
    let length = body.len();
    let head = format!("POST {path} HTTP/1.1\r\nHost: h\r\nContent-Length: {length}\r\n\r\n");
    let mut caller = Caller::connect(node.control).await;
    caller.write_bytes(&[head.as_bytes(), body].concat()).await;
    caller.read().await.expect("a response").status
}

fn encode(message: &impl Serialize) -> Vec<u8> {
    rmp_serde::to_vec(message).expect("it can be encoded")
}

/// Whether the router still handles requests of callers and peers, and its tasks go on.
async fn assert_alive(node: &Node) {
    let answered = call(node.front, &get("/read/", "alive")).await;
    assert!([200, 503].contains(&answered.status), "{answered:?}");
    let message = encode(&digest(node));
    assert_eq!(send(node, "/fleet/v6/exchange", &message).await, 200);
    assert_eq!(common::call_ready(node).await, 200);
}

fn blocked(count: u32, age_ms: u64) -> poison::Aged<poison::Blocked> {
    let pattern = poison::Pattern::Request(7);
    let cause = poison::Cause {
        service: name::Service::from("letters"),
        pattern,
    };
    let event = poison::Blocked { cause, count };
    poison::Aged { event, age_ms }
}

/// Guards against a digest with extreme numbers that ends the handling of peers' messages.
#[rstest]
#[case(0.0, 0)]
#[case(-1.0, 1)]
#[case(f64::NAN, u64::MAX)]
#[case(f64::INFINITY, u64::MAX / 1_000)]
#[case(f64::NEG_INFINITY, u64::MAX - 1)]
#[case(f64::MIN_POSITIVE, 0)]
#[case(f64::MAX, 0)]
#[actix_rt::test]
async fn a_digest_with_extreme_numbers_is_survived(#[case] rate: f64, #[case] age_ms: u64) {
    let engine = healthy().await;
    let (node, _store) = single(&[&engine]).await;
    let age = u32::try_from(age_ms).unwrap_or(u32::MAX);
    let upstream = name::Upstream::from("e0");
    let service = name::Service::from("letters");
    let mut message = digest(&node);
    message.loads.push(Observation {
        upstream: upstream.clone(),
        load: u32::MAX,
        age_ms: age,
    });
    message.rate_limits.push(RateLimit {
        upstream,
        incarnation: name::Incarnation(1),
        per_s: Some(rate),
        age_ms: age,
    });
    message.decline_limits.push(DeclineLimit {
        service,
        per_s: rate,
        age_ms: age,
    });
    message.readers.push(Reader {
        host: name::Host::from("reader"),
        zone: name::Zone::from("elsewhere"),
        age_ms,
        steady_ms: u64::MAX,
    });
    message.members.push(Member {
        host: name::Host::from("member"),
        zone: name::Zone::from("here"),
        address: free_address(),
        heard_ms: age_ms,
    });
    message.poison.blocked.push(blocked(u32::MAX, age_ms));
    for _ in 0..2 {
        assert_eq!(
            send(&node, "/fleet/v6/exchange", &encode(&message)).await,
            200
        );
        assert_alive(&node).await;
    }
}

/// Guards against a message of a peer that cannot be decoded and ends the handling of others.
#[rstest]
#[case::empty(&[])]
#[case::huge_array(&[0xdd, 0xff, 0xff, 0xff, 0xff])]
#[case::huge_text(&[0x9c, 0xdb, 0xff, 0xff, 0xff, 0xff])]
#[case::huge_bytes(&[0xc6, 0xff, 0xff, 0xff, 0xff, 0x00])]
#[case::nested(&[0x91; 10_000])]
#[case::no_text(&[0x9c, 0xa2, 0xff, 0xfe])]
#[actix_rt::test]
async fn an_undecodable_message_is_survived(#[case] body: &[u8]) {
    let engine = healthy().await;
    let (node, _store) = single(&[&engine]).await;
    for path in [
        "v6/exchange",
        "v6/outage",
        "v6/origins",
        "v8/announcement",
        "v8/origin",
    ] {
        let status = send(&node, &format!("/fleet/{path}"), body).await;
        assert_eq!(status, 400, "{path}");
    }
    assert_alive(&node).await;
}

/// Guards against a response to an exchange that ends the exchanges with all peers.
#[rstest]
#[case::no_message(b"\xff\xff\xff")]
#[case::huge(&[0x92, 0xdd, 0xff, 0xff, 0xff, 0xff])]
#[case::empty(b"")]
#[actix_rt::test]
async fn a_peer_with_undecodable_responses_is_survived(#[case] body: &'static [u8]) {
    let peer = Engine::start(move |seen| {
        let text = String::from_utf8_lossy(body).into_owned();
        vec![response(seen.id(), "200 OK", &text)]
    })
    .await;
    let engine = healthy().await;
    let (node, _store) = single(&[&engine]).await;
    let mut message = digest(&node);
    message.address = peer.address;
    send(&node, "/fleet/v6/exchange", &encode(&message)).await;
    common::until("several exchanges", || peer.count() >= 3).await;
    assert_alive(&node).await;
}

/// Guards against numbers in responses and events of upstreams that end the task of a request
/// before it is settled.
#[rstest]
#[case("T-Load: 4294967295\r\n")]
#[case("T-Pause: 18446744073709551615\r\n")]
#[case("T-Limit: NaN\r\n")]
#[case("T-Limit: -inf\r\n")]
#[case("T-Decline-Limit: inf\r\n")]
#[case("T-Decline-Limit: -0\r\n")]
#[case("Keep-Alive: timeout=18446744073709551615\r\n")]
#[case("Retry-After: 1e300\r\n")]
#[actix_rt::test]
async fn extreme_numbers_of_an_upstream_are_survived(#[case] headers: &'static str) {
    let engine =
        Engine::start(move |seen| vec![response_with(seen.id(), "200 OK", headers, "fine")]).await;
    let (node, _store) = single(&[&engine]).await;
    let first = call(node.front, &post("/write/", "r1", "x")).await;
    assert_eq!(first.status, 200);
    assert_alive(&node).await;
}

/// Guards against identifiers of events at the end of their range, which overflow.
#[actix_rt::test]
async fn the_last_event_identifier_is_followed_by_none() {
    let engine = Engine::start(|seen| {
        let last = chunk(&format!("id: {}\ndata: a\n\n", u64::MAX));
        let next = chunk("id: 0\ndata: b\n\n");
        vec![stream(seen.id()), last, Act::Pause(30), next, end()]
    })
    .await;
    let (node, _store) = single(&[&engine]).await;
    let answered = call(node.front, &post("/review/", "r1", "x")).await;
    assert!(!answered.complete, "{answered:?}");
    let fleet = node.shared.fleet.borrow();
    let upstream = fleet.upstream(&name::Upstream::from("e0"));
    let rate = upstream.map(|upstream| upstream.health.failure_rate());
    assert!(rate > Some(0.0), "it counts as a failure: {rate:?}");
}

/// Accepts bodies of any length.
struct Unlimited {
    lifecycle: Lifecycle,
    memory: Rc<Memory>,
}

impl Handler for Unlimited {
    fn limits(&self) -> Limits {
        Limits {
            body_bytes: usize::MAX,
            ..Limits::default()
        }
    }

    fn lifecycle(&self) -> &Lifecycle {
        &self.lifecycle
    }

    fn reserve(&self) -> Reservation {
        self.memory.open(Owner::Peers)
    }

    async fn handle(&self, request: Request, responder: &mut Responder<'_>) -> io::Result<()> {
        let status = StatusCode::OK;
        responder
            .send(status, HeaderMap::new(), &request.body)
            .await
    }
}

/// Guards against a stated length for which memory is reserved before the body arrives.
#[actix_rt::test]
async fn a_huge_stated_length_reserves_no_memory() {
    let address = free_address();
    let listener = server::bind(address).await.expect("a free port");
    let handler = Rc::new(Unlimited {
        lifecycle: Lifecycle::default(),
        memory: Memory::new(usize::MAX),
    });
    actix_rt::spawn(server::accept(listener, handler, ServiceConfig::default()));
    let mut huge = Caller::connect(address).await;
    huge.write(&format!(
        "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: {HUGE_LENGTH}\r\n\r\nx"
    ))
    .await;
    actix_rt::time::sleep(START_TIME).await;
    let answered = call(address, &post("/", "r1", "body")).await;
    assert_eq!((answered.status, answered.body.as_str()), (200, "body"));
}

/// A store whose first calls panic in the task that makes them.
struct Panicking {
    store: Store,
    panics: Rc<Cell<u32>>,
}

impl snipeusher_store::Store for Panicking {
    async fn call(&self, call: Call) -> Result<Reply, Fault> {
        if self.panics.get() > 0 {
            self.panics.set(self.panics.get() - 1);
            panic!("an unexpected error");
        }
        self.store.call(call).await
    }

    fn watch(
        &self,
        prefix: &str,
        from: Revision,
        hold: impl Fn(WatchReply, Duration) -> Duration,
    ) -> impl Stream<Item = Result<Change, Fault>> {
        self.store.watch(prefix, from, hold)
    }
}

/// Guards against an unexpected error that ends a task of the process without notice, so that the
/// process goes on with data that is never updated.
#[actix_rt::test]
async fn a_task_that_panics_is_started_again() {
    let engine = healthy().await;
    let (running, store) = single(&[&engine]).await;
    store.configure(DEFAULT);
    let panics = Rc::new(Cell::new(1));
    let mut settings = running.shared.settings.clone();
    settings.host = name::Host::from("host-2");
    settings.front = free_address();
    settings.ready = free_address();
    settings.control = free_address();
    settings.metrics = None;
    let shared = Shared::open(TestPlatform, settings, Logger::root(slog::Discard, o!()));
    let panicking = Panicking {
        store,
        panics: Rc::clone(&panics),
    };
    node::spawn(&shared, panicking).await.expect("free ports");
    common::until("the store is read after the panic", || shared.is_loaded()).await;
    assert_eq!(panics.get(), 0);
}
