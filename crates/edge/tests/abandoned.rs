//! Requests that the router has given up while their bytes are on the way.

mod common;

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_rt::net::TcpListener;
use actix_rt::net::TcpStream;
use actix_rt::time::sleep;
use common::caller::Caller;
use common::caller::call;
use common::caller::get;
use common::caller::post;
use common::engine::Engine;
use common::engine::response;
use common::zone;
use rstest::rstest;
use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;

/// Time in which bytes that were held reach the engine.
const DELIVERY_TIME: Duration = Duration::from_millis(200);
/// Requests after which one was sent through the link by any seed of the choice.
const REQUESTS: usize = 30;

/// A network link that is cut: it holds what a router sends until the cut heals. What the sender
/// has discarded by a reset is lost, as it is in a network.
struct Link {
    address: SocketAddr,
    held: Rc<Cell<usize>>,
    healed: Rc<Cell<bool>>,
}

impl Link {
    async fn start(engine: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let link = Self {
            address: listener.local_addr().expect("it is bound"),
            held: Rc::default(),
            healed: Rc::default(),
        };
        let (held, healed) = (Rc::clone(&link.held), Rc::clone(&link.healed));
        actix_rt::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                held.set(held.get() + 1);
                let healed = Rc::clone(&healed);
                actix_rt::spawn(async move { hold(stream, engine, &healed).await });
            }
        });
        link
    }
}

/// Holds the bytes of one connection until the cut heals, then delivers them.
async fn hold(mut stream: TcpStream, engine: SocketAddr, healed: &Cell<bool>) {
    while !healed.get() {
        sleep(Duration::from_millis(5)).await;
    }
    let mut bytes = Vec::new();
    let is_reset = loop {
        let mut block = [0; 1_024];
        match stream.try_read(&mut block) {
            Ok(0) => break false,
            Ok(count) => bytes.extend_from_slice(&block[..count]),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => break false,
            Err(_reset) => break true,
        }
    };
    if is_reset || bytes.is_empty() {
        return;
    }
    let mut to = TcpStream::connect(engine)
        .await
        .expect("the engine listens");
    to.write_all(&bytes).await.expect("the engine reads");
    let _ended = tokio::io::copy_bidirectional(&mut stream, &mut to).await;
}

async fn engine() -> Engine {
    Engine::start(|seen| vec![response(seen.id(), "200 OK", "fine")]).await
}

/// Guards against work that a router has given up and that still reaches an engine when a cut
/// heals, perhaps long after the engine's leaving was acknowledged.
#[rstest]
#[case::retried("/read/")]
#[case::out_of_time("/write/")]
#[case::caller_left("")]
#[actix_rt::test]
async fn an_abandoned_request_never_reaches_its_engine(#[case] path: &str) {
    let behind = engine().await;
    let beside = engine().await;
    let link = Link::start(behind.address).await;
    let cut = Engine::at(link.address);
    let (nodes, _store) = zone(1, &[(&cut, "v1"), (&beside, "v1")]).await;
    for index in 0..REQUESTS {
        if link.held.get() > 0 {
            break;
        }
        let id = format!("r{index}");
        if path.is_empty() {
            let mut caller = Caller::connect(nodes[0].front).await;
            caller.write(&get("/read/", &id)).await;
            sleep(Duration::from_millis(30)).await;
        } else {
            call(nodes[0].front, &post(path, &id, "x")).await;
        }
    }
    assert!(link.held.get() > 0, "a request is on the way");
    sleep(DELIVERY_TIME).await;
    link.healed.set(true);
    sleep(DELIVERY_TIME).await;
    assert_eq!(behind.count(), 0);
}

/// Guards against a connection that is reset although its response is complete.
#[actix_rt::test]
async fn a_connection_with_a_complete_response_ends_in_order() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("it is bound");
    let ended = actix_rt::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let mut request = [0; 2_048];
        let _count = stream.read(&mut request).await.expect("a request");
        let answer = "HTTP/1.1 200 OK\r\nT-Id: r1\r\nT-Signature: s\r\nConnection: close\r\n\
                      Content-Length: 4\r\n\r\nfine";
        let written = stream.write_all(answer.as_bytes()).await;
        written.expect("the router reads");
        stream.read(&mut request).await
    });
    let (nodes, _store) = zone(1, &[(&Engine::at(address), "v1")]).await;
    assert_eq!(
        call(nodes[0].front, &post("/write/", "r1", "x"))
            .await
            .status,
        200
    );
    let ended = ended.await.expect("the upstream ends");
    assert_eq!(ended.ok(), Some(0), "the end of the stream, and no reset");
}
