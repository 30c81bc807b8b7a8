//! Serialized forms of the messages that routers exchange.
//!
//! Each file of `tests/serialized` was written by an earlier build. Fields are written by position,
//! so a release that changes their order or number would no longer understand the routers of the
//! release before it.

use std::fmt;
use std::fs;
use std::net::SocketAddr;
use std::path::Path;

use bytes::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;
use snipeusher::fleet::DeclineLimit;
use snipeusher::fleet::Delta;
use snipeusher::fleet::Entry;
use snipeusher::fleet::Evacuation;
use snipeusher::fleet::Observation;
use snipeusher::fleet::RateLimit;
use snipeusher::fleet::Removal;
use snipeusher::kv::Revision;
use snipeusher::name::Incarnation;
use snipeusher::poison;
use snipeusher::reader::Reader;
use snipeusher::route::Position;
use snipeusher::stream::Group;
use snipeusher::stream::Id;
use snipeusher::stream::Origin;
use snipeusher_edge::peer::Configuration;
use snipeusher_edge::peer::Digest;
use snipeusher_edge::peer::Member;
use snipeusher_edge::peer::Response;

/// Fails unless `value` is written as the file holds it and the file is read as `value`.
fn assert_form<T>(file: &str, value: &T)
where
    T: Serialize + DeserializeOwned + PartialEq + fmt::Debug,
{
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/serialized")
        .join(file);
    let text = fs::read_to_string(&path).unwrap_or_else(|error| panic!("{file}: {error}"));
    let written = rmp_serde::to_vec(value).expect("it can be written");
    assert_eq!(hex::encode(&written), text.trim_end(), "{file}: written");
    let bytes = hex::decode(text.trim_end()).expect("the file holds hexadecimal digits");
    let read: T = rmp_serde::from_slice(&bytes).expect("it can be read");
    assert_eq!(&read, value, "{file}: read");
}

fn address() -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], 9_464))
}

fn digest() -> Digest {
    Digest {
        host: "front-1".into(),
        zone: "zone-1".into(),
        address: address(),
        configuration: Some(Position {
            version: 30,
            revision: Revision::new(300),
        }),
        upstreams: Revision::new(301),
        loads: vec![Observation {
            upstream: "engine-1".into(),
            load: 4,
            age_ms: 5,
        }],
        readers: vec![Reader {
            host: "front-2".into(),
            zone: "zone-2".into(),
            age_ms: 6,
            steady_ms: 7,
        }],
        members: vec![Member {
            host: "front-3".into(),
            zone: "zone-3".into(),
            address: address(),
            heard_ms: 8,
        }],
        poison: poison(),
        rate_limits: vec![RateLimit {
            upstream: "engine-3".into(),
            incarnation: Incarnation(27),
            per_s: Some(2.5),
            age_ms: 28,
        }],
        unreachable: vec!["embed".into()],
        decline_limits: vec![DeclineLimit {
            service: "chat".into(),
            per_s: 3.5,
            age_ms: 32,
        }],
    }
}

fn poison() -> poison::Report {
    let part = |id| poison::Part {
        service: "chat".into(),
        id,
    };
    let loss = poison::Loss {
        crash: poison::Crash(18),
        service: "chat".into(),
        parts: vec![19, 20],
        request: 29,
        ran_ms: 31,
    };
    let blocked = poison::Blocked {
        cause: poison::Cause {
            service: "chat".into(),
            pattern: poison::Pattern::Parts([21, 22].into()),
        },
        count: 1,
    };
    poison::Report {
        losses: vec![poison::Aged {
            event: loss,
            age_ms: 23,
        }],
        served: vec![poison::Aged {
            event: part(24),
            age_ms: 25,
        }],
        blocked: vec![poison::Aged {
            event: blocked,
            age_ms: 26,
        }],
    }
}

/// Guards against a digest that routers of the release before cannot read.
#[test]
fn a_digest_keeps_its_form() {
    assert_form("digest.hex", &digest());
}

/// Guards against a response whose changes of upstreams routers of the release before cannot read.
#[test]
fn a_response_keeps_its_form() {
    let entry = Entry {
        id: "engine-1".into(),
        service: "chat".into(),
        address: address(),
        zone: "zone-1".into(),
        build: "v1".into(),
        slots: Some(9),
        draining: true,
        incarnation: Incarnation(10),
        revision: Revision::new(11),
        cold_ms: 0,
    };
    let removal = Removal {
        id: "engine-2".into(),
        revision: Revision::new(12),
        keep_ms: 13,
    };
    let delta = Delta {
        revision: Revision::new(14),
        complete: true,
        entries: vec![entry],
        removed: vec![removal],
        evacuations: Vec::new(),
    };
    let response = Response {
        digest: digest(),
        upstreams: Some(delta),
    };
    assert_form("answer.hex", &response);
}

/// Guards against origins of streams that routers of the release before cannot read.
#[test]
fn origins_of_streams_keep_their_form() {
    let origin = Origin {
        service: "chat".into(),
        build: "v1".into(),
    };
    let groups = vec![Group {
        origin,
        streams: vec![Id(16), Id(17)],
    }];
    assert_form("origins.hex", &groups);
}

/// Guards against a configuration that routers of the release before cannot fetch.
#[test]
fn a_configuration_keeps_its_form() {
    let configuration = Configuration {
        revision: Revision::new(15),
        value: Bytes::from_static(b"{}"),
    };
    assert_form("configuration.hex", &configuration);
}

/// Guards against routers of the release after this one that no longer understand evacuations.
#[test]
fn a_delta_with_evacuations_keeps_its_form() {
    let evacuation = |zone: &str, number, keep_ms| Evacuation {
        zone: zone.into(),
        revision: Revision::new(number),
        keep_ms,
    };
    let delta = Delta {
        revision: Revision::new(301),
        complete: true,
        evacuations: vec![
            evacuation("a", 301, None),
            evacuation("b", 300, Some(0)),
            evacuation("c", 299, Some(5)),
        ],
        ..Delta::default()
    };
    assert_form("delta-evacuations.hex", &delta);
}
