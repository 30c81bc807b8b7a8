//! The gateway client with a fake service on a loopback address.

use std::io::Read as _;
use std::io::Write as _;
use std::pin::pin;
use std::time::Duration;

use futures_util::StreamExt as _;
use snipeusher::kv::Call;
use snipeusher::kv::Compare;
use snipeusher::kv::Fault;
use snipeusher::kv::Lease;
use snipeusher::kv::Op;
use snipeusher::kv::Output;
use snipeusher::kv::Range;
use snipeusher::kv::Reply;
use snipeusher::kv::Revision;
use snipeusher::kv::Txn;
use snipeusher_fakes::kv::Server;
use snipeusher_store::Gateway;
use snipeusher_store::Settings;
use snipeusher_store::Store as _;

fn gateway(endpoints: Vec<String>, timeout: Duration) -> Gateway {
    Gateway::open(Settings { endpoints, timeout }).unwrap()
}

fn start() -> (Server, Gateway) {
    let server = Server::open().unwrap();
    let gateway = gateway(vec![server.url()], Duration::from_secs(20));
    (server, gateway)
}

fn put(key: &str, value: &str, lease: Option<Lease>) -> Call {
    Call::Txn(Txn {
        compare: vec![Compare::Modified(key.to_owned(), Revision::new(0))],
        success: vec![Op::Put {
            key: key.to_owned(),
            value: value.into(),
            lease,
        }],
        failure: vec![Op::Range(Range::Key(key.to_owned()))],
    })
}

fn prefix(text: &str) -> Range {
    Range::Prefix(text.to_owned())
}

async fn keys(gateway: &Gateway, call: Call) -> Vec<String> {
    match gateway.call(call).await.unwrap() {
        Reply::Range { entries, .. } => entries.into_iter().map(|entry| entry.key).collect(),
        other => panic!("{other:?}"),
    }
}

/// Guards against calls that are encoded wrongly and responses that are decoded wrongly.
#[actix_rt::test]
async fn every_call_takes_effect() {
    let (server, gateway) = start();
    let granted = gateway.call(Call::Grant { ttl_s: 30 }).await.unwrap();
    let Reply::Grant { lease, ttl_s: 30 } = granted else {
        panic!("{granted:?}");
    };
    let reply = gateway.call(put("a/1", "one", Some(lease))).await.unwrap();
    assert_eq!(
        reply,
        Reply::Txn {
            revision: Revision::new(1),
            succeeded: true,
            results: vec![Output::Written],
        }
    );
    // A nested transaction fails without the outer one and reads the present entry.
    let inner = |key| match put(key, "two", None) {
        Call::Txn(txn) => Op::Txn(txn),
        other => panic!("{other:?}"),
    };
    let both = Call::Txn(Txn {
        success: vec![inner("a/1"), inner("a/2")],
        ..Txn::default()
    });
    let Reply::Txn { results, .. } = gateway.call(both).await.unwrap() else {
        panic!("not a transaction");
    };
    let Output::Txn {
        succeeded: false,
        results: found,
    } = &results[0]
    else {
        panic!("{results:?}");
    };
    let entry = &found[0].found()[0];
    assert_eq!(
        (entry.value.as_slice(), entry.lease),
        (&b"one"[..], Some(lease))
    );
    assert!(matches!(
        results[1],
        Output::Txn {
            succeeded: true,
            ..
        }
    ));

    assert_eq!(
        keys(&gateway, Call::Range(prefix("a/"))).await,
        ["a/1", "a/2"]
    );
    let newer = Call::Changed {
        range: prefix("a/"),
        after: Revision::new(1),
    };
    assert_eq!(keys(&gateway, newer).await, ["a/2"]);

    let unchanged = |revision| {
        Call::Txn(Txn {
            compare: vec![Compare::Unchanged("a/".to_owned(), Revision::new(revision))],
            success: vec![Op::Delete {
                key: "a/2".to_owned(),
            }],
            failure: Vec::new(),
        })
    };
    let succeeded = |reply| {
        matches!(
            reply,
            Ok(Reply::Txn {
                succeeded: true,
                ..
            })
        )
    };
    assert!(!succeeded(gateway.call(unchanged(1)).await));
    assert!(succeeded(gateway.call(unchanged(2)).await));

    server.skip(Duration::from_secs(20));
    let alive = gateway.call(Call::KeepAlive(lease)).await;
    assert_eq!(alive, Ok(Reply::KeepAlive { ttl_s: 30 }));
    assert_eq!(gateway.call(Call::Revoke(lease)).await, Ok(Reply::Revoke));
    assert_eq!(
        gateway.call(Call::KeepAlive(lease)).await,
        Ok(Reply::KeepAlive { ttl_s: 0 })
    );
    assert_eq!(gateway.call(Call::Revoke(lease)).await, Err(Fault::Refused));
    assert_eq!(
        gateway.call(put("a/3", "x", Some(lease))).await,
        Err(Fault::Refused)
    );
    assert!(keys(&gateway, Call::Range(prefix("a/"))).await.is_empty());
    assert_eq!(server.counts().total(), 13);
}

/// Guards against `NotSent` for a write that took effect.
#[actix_rt::test]
async fn lost_requests_and_replies_count_as_lost() {
    let (server, gateway) = start();
    server.set_faults(|faults| faults.lose_replies = 1);
    assert_eq!(gateway.call(put("a", "x", None)).await, Err(Fault::Lost));
    assert!(server.with_memory(|memory| memory.get("a").is_some()));
    server.set_faults(|faults| faults.fail_requests = 1);
    assert_eq!(gateway.call(put("b", "x", None)).await, Err(Fault::Lost));
    server.set_faults(|faults| faults.down = true);
    assert_eq!(gateway.call(put("b", "x", None)).await, Err(Fault::Lost));
    assert!(server.with_memory(|memory| memory.get("b").is_none()));
}

/// Guards against a call without a timeout, and against `NotSent` for a call that timed out.
#[actix_rt::test]
async fn slow_calls_time_out() {
    let server = Server::open().unwrap();
    server.set_faults(|faults| faults.delay = Duration::from_hours(1));
    let gateway = gateway(vec![server.url()], Duration::from_millis(50));
    assert_eq!(gateway.call(put("a", "x", None)).await, Err(Fault::Lost));
}

/// Guards against a response of which not all is valid and that is believed, and against a panic of
/// the codec.
#[actix_rt::test]
async fn broken_responses_count_as_lost() {
    let long = format!("{}: 1", "x".repeat(70_000));
    for (status, line) in [
        ("200 OK", "X-A : 1"),
        ("200 OK", &long),
        ("600 OK", "X-A: 1"),
    ] {
        let body = r#"{"header":{"revision":"7"},"kvs":[]}"#;
        let length = body.len();
        let head = format!("HTTP/1.1 {status}\r\n{line}\r\nContent-Length: {length}\r\n\r\n");
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let url = format!("http://{}", listener.local_addr().unwrap());
        std::thread::spawn(move || {
            let (mut stream, _) = listener.accept().unwrap();
            let read = stream.read(&mut [0; 4_096]).unwrap();
            assert!(read > 0);
            stream
                .write_all(format!("{head}{body}").as_bytes())
                .unwrap();
            // The client closes the connection.
            let _end = stream.read(&mut [0; 4_096]);
        });
        let gateway = gateway(vec![url], Duration::from_secs(20));
        let called = gateway.call(Call::Range(prefix("a/"))).await;
        assert_eq!(called, Err(Fault::Lost), "{status}");
    }
}

/// Guards against calls that fail although another endpoint is reachable.
#[actix_rt::test]
async fn calls_fail_over_to_another_endpoint() {
    let closed = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let unreachable = format!("http://{}", closed.local_addr().unwrap());
    drop(closed);
    let timeout = Duration::from_secs(20);
    let single = gateway(vec![unreachable.clone()], timeout);
    assert_eq!(single.call(put("a", "x", None)).await, Err(Fault::NotSent));
    let server = Server::open().unwrap();
    let both = gateway(vec![unreachable, server.url()], timeout);
    both.call(put("a", "x", None)).await.unwrap();
}

/// Guards against changes that are missed or decoded wrongly, and against a watch that seems to
/// continue after its connection was closed.
#[actix_rt::test]
async fn watch_streams_changes_until_disconnected() {
    let (server, gateway) = start();
    gateway.call(put("a/1", "before", None)).await.unwrap();
    let (server, gateway) = watch_until_disconnected(server, gateway).await;
    server.set_faults(|faults| faults.down = true);
    let mut changes = pin!(gateway.watch("a/", Revision::new(1), |_, longest| longest));
    assert_eq!(changes.next().await, Some(Err(Fault::Lost)));
    assert_eq!(changes.next().await, None);
}

async fn watch_until_disconnected(server: Server, gateway: Gateway) -> (Server, Gateway) {
    let mut changes = Box::pin(gateway.watch("a/", Revision::new(1), |_, longest| longest));
    let first = changes.next().await.unwrap().unwrap();
    assert_eq!(
        (first.revision, first.entries[0].key.as_str()),
        (Revision::new(1), "a/1")
    );
    server.set_faults(|faults| faults.duplicate_events = true);
    gateway.call(put("b/1", "elsewhere", None)).await.unwrap();
    let large = "x".repeat(300_000);
    gateway.call(put("a/2", &large, None)).await.unwrap();
    for _ in 0..2 {
        let next = changes.next().await.unwrap().unwrap();
        assert_eq!(
            (next.revision, next.entries[0].value.len()),
            (Revision::new(3), 300_000)
        );
    }
    let delete = Op::Delete {
        key: "a/1".to_owned(),
    };
    let delete = Txn {
        success: vec![delete],
        ..Txn::default()
    };
    gateway.call(Call::Txn(delete)).await.unwrap();
    let deleted = changes.next().await.unwrap().unwrap().deleted;
    assert_eq!(deleted, ["a/1"]);
    changes.next().await.unwrap().unwrap();
    server.cut_watches();
    assert!(changes.next().await.is_none());
    drop(changes);
    (server, gateway)
}
