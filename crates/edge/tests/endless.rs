//! Upstreams in trouble that send bytes without end.

mod common;

use std::io::Read as _;
use std::io::Write as _;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use actix_rt::time::sleep;
use common::caller::Caller;
use common::caller::call;
use common::caller::get;
use common::caller::post;
use common::engine::Engine;
use common::engine::response;
use common::store::Store;
use rstest::rstest;

/// Limit on the time for a call to a healthy service beside the endless response.
const BESIDE_TIME: Duration = Duration::from_millis(300);
/// Timeout of the routes, and time to end the request after it.
const END_TIME: Duration = Duration::from_millis(1_500);
/// Bytes that a router may read of a response that is none.
const BYTES_MAX: u64 = 32 << 20;
const BLOCK_BYTES: usize = 64 << 10;

/// An upstream that writes a start and then a block over and over, until it is disconnected.
struct Endless {
    address: SocketAddr,
    /// Bytes that it could write.
    written: Arc<AtomicU64>,
    /// Connections that were closed by the router.
    closed: Arc<AtomicU64>,
}

impl Endless {
    /// Runs in threads of its own, so that it writes as fast as the router reads.
    fn start(start: &'static str, repeated: &'static str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("it is bound");
        let engine = Self {
            address,
            written: Arc::default(),
            closed: Arc::default(),
        };
        let (written, closed) = (Arc::clone(&engine.written), Arc::clone(&engine.closed));
        let block = repeated.repeat(BLOCK_BYTES / repeated.len());
        thread::spawn(move || {
            while let Ok((mut stream, _)) = listener.accept() {
                let (written, closed) = (Arc::clone(&written), Arc::clone(&closed));
                let block = block.clone();
                thread::spawn(move || {
                    let mut request = [0; 2_048];
                    let read = stream.read(&mut request);
                    if read.is_ok_and(|count| count > 0) {
                        let mut sent = stream.write_all(start.as_bytes());
                        while sent.is_ok() {
                            written.fetch_add(block.len() as u64, Ordering::Relaxed);
                            sent = stream.write_all(block.as_bytes());
                        }
                        closed.fetch_add(1, Ordering::Relaxed);
                    }
                });
            }
        });
        engine
    }
}

/// Guards against a response without end that stops the router's other work, fills its memory, or
/// keeps its caller and its connection beyond the time limit.
#[rstest]
#[case::head("/write/", "HTTP/1.1 200 OK\r\nX-A: ", "aaaa")]
#[case::head_lines("/write/", "HTTP/1.1 200 OK\r\n", "X-A: b\r\n")]
#[case::no_head("/write/", "", "no answer ")]
#[case::informational("/write/", "", "HTTP/1.1 100 Continue\r\n\r\n")]
#[case::other_responses(
    "/write/",
    "",
    "HTTP/1.1 200 OK\r\nT-Id: x\r\nContent-Length: 0\r\n\r\n"
)]
#[case::body(
    "/write/",
    "HTTP/1.1 200 OK\r\nT-Id: r1\r\nT-Signature: s\r\n\r\n",
    "body "
)]
#[case::chunks(
    "/write/",
    "HTTP/1.1 200 OK\r\nT-Id: r1\r\nT-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n",
    "4\r\nbody\r\n"
)]
#[case::chunk_extension(
    "/write/",
    "HTTP/1.1 200 OK\r\nT-Id: r1\r\nT-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n4;",
    "extension"
)]
#[case::declined(
    "/write/",
    "HTTP/1.1 503 Busy\r\nT-Id: r1\r\nT-Not-Run: 1\r\n\r\n",
    "body "
)]
#[case::event(
    "/review/",
    "HTTP/1.1 200 OK\r\nT-Id: r1\r\nT-Signature: s\r\n\r\n",
    "data: a\n"
)]
#[case::events(
    "/review/",
    "HTTP/1.1 200 OK\r\nT-Id: r1\r\nT-Signature: s\r\n\r\n",
    "no event\n\n"
)]
#[case::stream_extension(
    "/review/",
    "HTTP/1.1 200 OK\r\nT-Id: r1\r\nT-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n4;",
    "extension"
)]
#[actix_rt::test]
async fn a_response_without_end_is_given_up(
    #[case] path: &str,
    #[case] start: &'static str,
    #[case] repeated: &'static str,
) {
    let endless = Endless::start(start, repeated);
    let healthy = Engine::start(|seen| vec![response(seen.id(), "200 OK", "fine")]).await;
    let store = Store::new();
    // Each route has one service, so the healthy one is behind another router of the same thread.
    store.configure(common::platform::DEFAULT);
    store.upstream("e0", "letters", endless.address, "ready");
    let node = common::start("host-1", &store, Vec::new()).await;
    let other = Store::new();
    other.configure(common::platform::DEFAULT);
    other.upstream("e1", "letters", healthy.address, "ready");
    let beside = common::start("host-2", &other, Vec::new()).await;
    common::until("both are loaded", || {
        let is_loaded = |node: &common::Node| {
            node.shared.table().is_some() && !node.shared.fleet.borrow().upstreams().is_empty()
        };
        is_loaded(&node) && is_loaded(&beside)
    })
    .await;
    let began = Instant::now();
    let mut caller = Caller::connect(node.front).await;
    caller.write(&post(path, "r1", "x")).await;
    let ended = actix_rt::spawn(async move {
        let answer = caller.read().await;
        (answer, began.elapsed())
    });
    sleep(Duration::from_millis(20)).await;
    let called = Instant::now();
    let answer = call(beside.front, &get("/read/", "r2")).await;
    assert_eq!(answer.status, 200);
    assert!(called.elapsed() < BESIDE_TIME, "{:?}", called.elapsed());
    let (answer, time) = ended.await.expect("the caller ends");
    let is_success = answer.is_some_and(|answer| answer.status == 200 && answer.complete);
    assert!(!is_success, "it is no complete answer");
    assert!(time < END_TIME, "{time:?}");
    let closed = Arc::clone(&endless.closed);
    common::until("the connection is closed", || {
        closed.load(Ordering::Relaxed) == 1
    })
    .await;
    let written = endless.written.load(Ordering::Relaxed);
    assert!(written <= BYTES_MAX, "{written} bytes");
}
