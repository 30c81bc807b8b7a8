//! Serialized forms that other processes read: messages between routers and values in the
//! key-value service.
//!
//! Each file of `tests/serialized` was written by an earlier build. A release that renames a field
//! or changes the order of fields would no longer understand the routers and the stored values of
//! the release before it.

use std::collections::BTreeSet;
use std::fmt;
use std::fs;
use std::path::Path;

use rstest::rstest;
use serde::Serialize;
use serde::de::DeserializeOwned;
use snipeusher::claim;
use snipeusher::config;
use snipeusher::kv::Era;
use snipeusher::kv::Revision;
use snipeusher::lease;
use snipeusher::load::Work;
use snipeusher::name::Incarnation;
use snipeusher::request::Chat;
use snipeusher::request::Variant;
use snipeusher::upstream::Kind;
use snipeusher::wire;

fn stored(file: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/serialized")
        .join(file);
    let text = fs::read_to_string(&path).unwrap_or_else(|error| panic!("{file}: {error}"));
    text.trim_end().to_owned()
}

/// Fails unless `value` is written as the file holds it and the file is read as `value`.
fn assert_json<T>(file: &str, value: &T)
where
    T: Serialize + DeserializeOwned + PartialEq + fmt::Debug,
{
    let expected = stored(file);
    let written = serde_json::to_string(value).expect("it can be written");
    assert_eq!(written, expected, "{file}: written");
    let read: T = serde_json::from_str(&expected).expect("it can be read");
    assert_eq!(&read, value, "{file}: read");
}

fn zone() -> wire::Place {
    wire::Place {
        zone: "zone-1".into(),
        region: "region-1".into(),
    }
}

fn peer(host: &str, heartbeat: u64) -> wire::Peer {
    wire::Peer {
        host: host.into(),
        address: "10.0.0.1:80".to_owned(),
        place: 0,
        incarnation: Incarnation(5),
        heartbeat,
    }
}

fn frame() -> wire::Frame {
    let variant = Variant {
        model: "model-1".into(),
        adapter: Some("adapter-1".into()),
        version: "v2".into(),
    };
    wire::Frame {
        version: wire::VERSION,
        from: peer("router-a", 7),
        to: "router-b".to_owned(),
        sent_ms: 1_700_000_000_000,
        known: Some((Incarnation(6), 8)),
        digest: config::Digest {
            highest: Revision::new(300),
            hash: 9,
            ready: true,
        },
        places: vec![zone()],
        kinds: vec![
            Kind::Engine(BTreeSet::from([variant])),
            Kind::Plain("render".into()),
        ],
        transitions: vec![wire::Transition {
            name: "engine-1".into(),
            incarnation: Incarnation(10),
            phase: 2,
        }],
        upstreams: vec![wire::Upstream {
            name: "engine-2".into(),
            address: "10.0.0.2:81".to_owned(),
            place: 0,
            incarnation: Incarnation(11),
            sequence: 12,
            phase: 1,
            kind: 1,
        }],
        loads: Some(vec![wire::Load {
            upstream: "engine-2".into(),
            work: Work(13),
        }]),
        usages: vec![wire::Usage {
            workspace: "workspace-1".into(),
            running: Work(14),
            waiting: Work(15),
        }],
        heartbeats: vec![wire::Heartbeat {
            incarnation_id: 16,
            heartbeat: 17,
        }],
        peers: vec![peer("router-c", 18)],
        parts: vec![wire::Part {
            message: 19,
            length: 4,
            offset: 0,
            bytes: vec![1, 2, 3, 4],
        }],
        prefixes: vec![wire::Prefix {
            chat: Chat(20),
            upstream: "engine-2".into(),
            tokens: 21,
        }],
    }
}

/// Guards against a frame that routers of the release before cannot read.
#[test]
fn a_frame_keeps_its_form() {
    let expected = stored("frame.hex");
    assert_eq!(hex::encode(frame().encode()), expected);
    let bytes = hex::decode(&expected).expect("the file holds hexadecimal digits");
    assert_eq!(wire::Frame::decode(&bytes).expect("a frame"), frame());
}

/// Guards against configuration exchanges that routers of the release before cannot read.
#[test]
fn configuration_exchanges_keep_their_form() {
    let span = config::Span {
        above: Revision::new(1),
        upto: Revision::new(2),
        hash: 3,
    };
    let document = config::Document {
        path: "template/letters".into(),
        revision: Revision::new(4),
        value: "{}".into(),
    };
    let exchanges = [
        ("exchange-ask.hex", config::Exchange::Request(span)),
        ("exchange-parts.hex", config::Exchange::Parts(vec![span])),
        (
            "exchange-documents.hex",
            config::Exchange::Documents(vec![document]),
        ),
    ];
    for (file, exchange) in exchanges {
        let expected = stored(file);
        let written = rmp_serde::to_vec(&exchange).expect("it can be written");
        assert_eq!(hex::encode(written), expected, "{file}: written");
        let bytes = hex::decode(&expected).expect("the file holds hexadecimal digits");
        let read: config::Exchange = rmp_serde::from_slice(&bytes).expect("it can be read");
        assert_eq!(read, exchange, "{file}: read");
    }
}

/// Guards against claims in the key-value service that a router of this build cannot read, which
/// would let a request run twice.
#[test]
fn claims_keep_their_form() {
    let answer = claim::Answer {
        status: 201,
        content_type: Some("text/plain".to_owned()),
        body: Some(b"done".as_slice().into()),
    };
    let stages = [
        ("claim-claimed.hex", claim::Stage::Claimed),
        ("claim-released.hex", claim::Stage::Released),
        ("claim-unknown.hex", claim::Stage::Unknown),
        ("claim-answered.hex", claim::Stage::Answered(answer)),
    ];
    for (file, stage) in stages {
        let record = claim::Record {
            claimer: claim::Claimer {
                host: "router-a".into(),
                incarnation: Incarnation(5),
                attempt: 6,
            },
            fingerprint: claim::Fingerprint::of("POST", "/render", b"page"),
            stage,
        };
        let expected = stored(file);
        assert_eq!(hex::encode(record.encode()), expected, "{file}: written");
        let bytes = hex::decode(&expected).expect("the file holds hexadecimal digits");
        assert_eq!(claim::Record::decode(&bytes), Some(record), "{file}: read");
    }
}

/// Guards against documents in the key-value service that a router of this build cannot read.
#[test]
fn stored_documents_keep_their_form() {
    let edit = config::EditId(0x1234);
    let recent = config::Commit {
        edit: config::EditId(1),
        revision: Revision::new(2),
    };
    let document = config::Record {
        text: Some("models = [\"model-1\"]".to_owned()),
        edit,
        author: "operator".to_owned(),
        at_ms: 1_700_000_000_000,
        recent: vec![recent],
        shortened: true,
    };
    assert_json("stored.json", &document);
    let version = config::Version {
        revision: Revision::new(3),
        text: None,
        edit,
        author: "operator".to_owned(),
        at_ms: 4,
    };
    let history = config::History {
        versions: vec![version],
    };
    assert_json("history.json", &history);
}

/// Guards against a lease whose owner a router of this build cannot recognise.
#[test]
fn the_owner_of_a_lease_keeps_its_form() {
    let owner = lease::Owner {
        host: "router-a".into(),
        incarnation: Incarnation(5),
    };
    assert_json("lease-owner.json", &owner);
}

/// Guards against revisions of a restored store that are ordered by their number alone, and against
/// a form that an older release cannot read as long as the store was never restored.
#[rstest]
#[case(Revision::new(900), "cd0384")]
#[case(Revision { era: Era(1), number: 870 }, "9201cd0366")]
fn revisions_are_ordered_by_era_first(#[case] revision: Revision, #[case] form: &str) {
    let bytes = rmp_serde::to_vec(&revision).expect("it can be written");
    assert_eq!(hex::encode(&bytes), form);
    let read: Revision = rmp_serde::from_slice(&bytes).expect("it can be read");
    assert_eq!(read, revision);
    let json = serde_json::to_string(&revision).expect("it can be written");
    let read: Revision = serde_json::from_str(&json).expect("it can be read");
    assert_eq!(read, revision);
    let restored = Revision {
        era: Era(2),
        number: 1,
    };
    assert!(revision < restored);
}
