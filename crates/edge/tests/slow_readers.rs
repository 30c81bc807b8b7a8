//! Callers that read slowly or not at all.

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

use actix_rt::net::TcpStream;
use actix_rt::time::sleep;
use common::caller::Caller;
use common::caller::call;
use common::caller::get;
use common::caller::post;
use common::engine::Engine;
use common::single;
use snipeusher::name;
use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;

/// Bytes that a router and the socket buffers on both sides may hold of a response that its caller
/// does not read.
const BYTES_MAX: u64 = 24 << 20;
/// Time after which the buffers are full.
const FILL_TIME: Duration = Duration::from_millis(800);
/// Time after which an upstream aborts a response that is not read.
const ABORT_AFTER: Duration = Duration::from_millis(600);
/// Time after which a silent upstream is avoided, with a margin.
const SILENCE: Duration = Duration::from_millis(700);

/// An upstream that writes a stream as fast as it is read, and aborts it when nothing was read for
/// a while. Other requests are answered at once.
struct Writer {
    address: SocketAddr,
    /// Bytes that it could write.
    written: Arc<AtomicU64>,
    /// Streams that it aborted since they were not read.
    aborted: Arc<AtomicU64>,
}

impl Writer {
    fn start(abort_after: Duration) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("it is bound");
        let engine = Self {
            address,
            written: Arc::default(),
            aborted: Arc::default(),
        };
        let (written, aborted) = (Arc::clone(&engine.written), Arc::clone(&engine.aborted));
        thread::spawn(move || {
            while let Ok((mut stream, _)) = listener.accept() {
                let (written, aborted) = (Arc::clone(&written), Arc::clone(&aborted));
                thread::spawn(move || {
                    let mut request = [0; 2_048];
                    let count = stream.read(&mut request).unwrap_or(0);
                    let text = String::from_utf8_lossy(&request[..count]).into_owned();
                    if text.contains("/read/") {
                        let head = "HTTP/1.1 200 OK\r\nT-Id: beside\r\nT-Signature: s\r\n\
                                    Connection: close\r\nContent-Length: 4\r\n\r\nfine";
                        let _written = stream.write_all(head.as_bytes());
                        return;
                    }
                    stream
                        .set_write_timeout(Some(abort_after))
                        .expect("the socket takes options");
                    let head = "HTTP/1.1 200 OK\r\nT-Id: r1\r\nT-Signature: s\r\n\r\n";
                    let data = "x".repeat(4_000);
                    let mut sent = stream.write_all(head.as_bytes());
                    let mut number = 0_u64;
                    while sent.is_ok() {
                        number += 1;
                        let event = format!("id: {number}\ndata: {data}\n\n");
                        sent = stream.write_all(event.as_bytes());
                        written.fetch_add(event.len() as u64, Ordering::Relaxed);
                    }
                    aborted.fetch_add(1, Ordering::Relaxed);
                    let socket = socket2::SockRef::from(&stream);
                    let _reset = socket.set_linger(Some(Duration::ZERO));
                });
            }
        });
        engine
    }
}

/// Guards against a response that fills the memory of a router because its caller does not read it,
/// and against a healthy upstream that looks silent meanwhile.
#[actix_rt::test]
async fn a_caller_that_does_not_read_stops_its_upstream() {
    let writer = Writer::start(Duration::from_secs(5));
    let engine = Engine::at(writer.address);
    let (node, _store) = single(&[&engine]).await;
    let mut caller = Caller::connect(node.front).await;
    caller.write(&post("/review/", "r1", "x")).await;
    sleep(FILL_TIME).await;
    let filled = writer.written.load(Ordering::Relaxed);
    sleep(SILENCE).await;
    let written = writer.written.load(Ordering::Relaxed);
    assert!(written > 0 && written <= BYTES_MAX, "{written} bytes");
    assert_eq!(written, filled, "nothing more is read");
    let now = node.shared.now();
    let is_silent = || {
        let fleet = node.shared.fleet.borrow();
        let upstream = fleet.upstream(&name::Upstream::from("e0"));
        upstream.is_none_or(|upstream| upstream.is_silent(now))
    };
    assert!(!is_silent());
    let beside = call(node.front, &get("/read/", "beside")).await;
    assert_eq!((beside.status, beside.body.as_str()), (200, "fine"));
    drop(caller);
    common::until("the stream ends", || node.shared.lifecycle.in_flight() == 0).await;
}

/// Guards against an upstream that counts as failed because it aborts a response that the caller
/// left unread.
#[actix_rt::test]
async fn an_unread_response_that_is_aborted_is_no_failure_of_the_upstream() {
    let writer = Writer::start(ABORT_AFTER);
    let engine = Engine::at(writer.address);
    let (node, _store) = single(&[&engine]).await;
    let mut caller = TcpStream::connect(node.front).await.expect("it listens");
    let request = post("/review/", "r1", "x");
    caller
        .write_all(request.as_bytes())
        .await
        .expect("it reads");
    let aborted = Arc::clone(&writer.aborted);
    common::until("it is aborted", || aborted.load(Ordering::Relaxed) == 1).await;
    let mut bytes = Vec::new();
    let _ended = caller.read_to_end(&mut bytes).await;
    assert!(bytes.starts_with(b"HTTP/1.1 200"));
    assert!(!bytes.ends_with(b"0\r\n\r\n"), "it looks complete");
    let fleet = node.shared.fleet.borrow();
    let upstream = fleet.upstream(&name::Upstream::from("e0"));
    let rate = upstream.map(|upstream| upstream.health.failure_rate());
    assert_eq!(rate, Some(0.0));
    let report = node.shared.poison.borrow().report(node.shared.now());
    assert!(report.is_empty(), "{report:?}");
}
