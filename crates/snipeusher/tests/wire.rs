//! Frames, their proofs and hostile bytes.

use proptest::prelude::*;
use rstest::rstest;
use snipeusher::config::Digest;
use snipeusher::name::Incarnation;
use snipeusher::upstream;
use snipeusher::wire::Authenticator;
use snipeusher::wire::Builder;
use snipeusher::wire::Envelope;
use snipeusher::wire::Frame;
use snipeusher::wire::Header;
use snipeusher::wire::Key;
use snipeusher::wire::Peer;
use snipeusher::wire::Place;
use snipeusher::wire::Refusal;
use snipeusher::wire::Transition;
use snipeusher::wire::Upstream;

const NOW_MS: u64 = 1_700_000_000_000;

fn header(to: &str, number: u64) -> Header {
    Header {
        from: Peer {
            host: "router-a".into(),
            address: "10.0.0.1:80".to_owned(),
            place: 0,
            incarnation: Incarnation(5),
            heartbeat: number,
        },
        place: place(0),
        to: to.to_owned(),
        sent_ms: NOW_MS,
        known: None,
        digest: Digest::default(),
    }
}

fn place(zone: usize) -> Place {
    Place {
        zone: format!("zone-{zone}").into(),
        region: "region".into(),
    }
}

fn authenticator(host: &str, secret: &str) -> Authenticator {
    Authenticator::new(
        Key::new(secret.as_bytes()),
        host.into(),
        "10.0.0.2:80".to_owned(),
    )
}

fn envelope(to: &str, number: u64) -> Envelope {
    let frame = Builder::new(header(to, number), 1_000).finish();
    authenticator("router-a", "secret").sign(&frame)
}

/// Guards against a frame that passes without being for this router, from the fleet, now.
#[rstest]
#[case::by_name("router-b", "secret", NOW_MS, None)]
#[case::by_address("10.0.0.2:80", "secret", NOW_MS, None)]
#[case::other_receiver("router-c", "secret", NOW_MS, Some(Refusal::Receiver))]
#[case::other_key("router-b", "other", NOW_MS, Some(Refusal::Proof))]
#[case::late("router-b", "secret", NOW_MS + 30_001, Some(Refusal::Time))]
#[case::early("router-b", "secret", NOW_MS - 30_001, Some(Refusal::Time))]
fn a_frame_is_for_its_receiver_and_its_time(
    #[case] to: &str,
    #[case] secret: &str,
    #[case] at_ms: u64,
    #[case] refusal: Option<Refusal>,
) {
    let mut receiver = authenticator("router-b", secret);
    let envelope = envelope(to, 1);
    let result = receiver.verify(at_ms, &envelope.body, &envelope.proof);
    assert_eq!(result.err(), refusal);
    assert_eq!(
        receiver.refusals().values().sum::<u64>(),
        u64::from(refusal.is_some())
    );
}

/// Guards against a captured frame that counts again, and one that is refused for overtaking.
#[test]
fn each_frame_counts_once_in_any_order() {
    let mut receiver = authenticator("router-b", "secret");
    let mut open = |number| {
        let envelope = envelope("router-b", number);
        receiver
            .verify(NOW_MS, &envelope.body, &envelope.proof)
            .map(|frame| frame.from.heartbeat)
    };
    assert_eq!(open(10), Ok(10));
    assert_eq!(open(8), Ok(8));
    assert_eq!(open(8), Err(Refusal::Replay));
    assert_eq!(open(200), Ok(200));
    assert_eq!(open(137), Ok(137));
    assert_eq!(open(136), Err(Refusal::Replay));
    assert_eq!(open(u64::MAX), Ok(u64::MAX));
    assert_eq!(open(200), Err(Refusal::Replay));
}

/// Guards against a huge frame that costs memory before it is refused.
#[test]
fn a_huge_frame_is_refused_for_its_length() {
    let mut receiver = authenticator("router-b", "secret");
    let result = receiver.verify(NOW_MS, &vec![0; 1 << 24], "");
    assert_eq!(result, Err(Refusal::TooLarge));
}

fn changed() -> impl Strategy<Value = (Vec<(usize, u8)>, usize)> {
    (
        prop::collection::vec((any::<usize>(), any::<u8>()), 0..8),
        any::<usize>(),
    )
}

fn config() -> ProptestConfig {
    let cases = std::env::var("SNIPEUSHER_CASES").ok();
    ProptestConfig {
        cases: cases.and_then(|text| text.parse().ok()).unwrap_or(512),
        rng_seed: prop::test_runner::RngSeed::Fixed(20_261_203),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn full() -> Frame {
    let mut builder = Builder::new(header("router-b", 3), 4_000);
    for index in 0..30 {
        let entry = Upstream {
            name: format!("engine-{index}").into(),
            address: "10.1.0.1:80".to_owned(),
            place: 0,
            incarnation: Incarnation(index),
            sequence: index,
            phase: 1,
            kind: 0,
        };
        let kind = upstream::Kind::Plain(format!("service-{}", index % 4).into());
        assert!(builder.upstream(entry, &place(index as usize % 5), &kind));
    }
    builder.finish()
}

proptest! {
    #![proptest_config(config())]

    /// Guards against bytes that make the reader panic or read out of a table.
    #[test]
    fn arbitrary_bytes_never_panic(bytes in prop::collection::vec(any::<u8>(), 0..600)) {
        let _read = Frame::decode(&bytes);
    }

    /// Guards against a member of the fleet that sends a damaged frame with a correct proof.
    #[test]
    fn damaged_frames_never_panic((changes, cut) in changed()) {
        let mut bytes = full().encode();
        for (at, value) in changes {
            let at = at % bytes.len();
            bytes[at] = value;
        }
        bytes.truncate(bytes.len() - cut % bytes.len() / 2);
        if let Ok(frame) = Frame::decode(&bytes) {
            let mut entries = frame.upstreams.iter();
            let inside = entries.all(|entry| {
                usize::from(entry.place) < frame.places.len()
                    && usize::from(entry.kind) < frame.kinds.len()
            });
            prop_assert!(inside);
        }
    }

    /// Guards against a builder that outgrows its limit, and against entries that change on the way.
    #[test]
    fn a_draft_keeps_its_limit(
        limit in 200_usize..3_000,
        names in prop::collection::vec("[a-z]{1,40}", 0..200),
    ) {
        let mut builder = Builder::new(header("router-b", 9), limit);
        let mut kept = Vec::new();
        for (index, name) in names.into_iter().enumerate() {
            let transition = Transition { name: name.as_str().into(), incarnation: Incarnation(index as u64), phase: 2 };
            if index % 2 == 0 && builder.transition(transition.clone()) {
                kept.push(transition);
            }
            let entry = Upstream {
                name: name.as_str().into(),
                address: name.clone(),
                place: 0,
                incarnation: Incarnation(u64::MAX),
                sequence: index as u64,
                phase: 1,
                kind: 0,
            };
            builder.upstream(entry, &place(index), &upstream::Kind::Plain(name.into()));
        }
        let frame = builder.finish();
        let bytes = frame.encode();
        prop_assert!(bytes.len() <= limit, "{} bytes of {limit}", bytes.len());
        let read = Frame::decode(&bytes).unwrap();
        prop_assert_eq!(&read.transitions, &kept);
        prop_assert_eq!(read, frame);
    }
}
