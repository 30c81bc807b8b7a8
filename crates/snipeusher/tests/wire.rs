//! Encoding and authentication of frames, and decoding of hostile bytes.

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

fn signed_frame(to: &str, number: u64) -> Envelope {
    let frame = Builder::new(header(to, number), 1_000).finish();
    authenticator("router-a", "secret").sign(&frame)
}

/// Guards against accepting a frame for another router, with a wrong key, or with a send time too
/// far from the receiver's clock.
#[rstest]
#[case::by_name("router-b", "secret", NOW_MS, None)]
#[case::by_address("10.0.0.2:80", "secret", NOW_MS, None)]
#[case::other_receiver("router-c", "secret", NOW_MS, Some(Refusal::Receiver))]
#[case::other_key("router-b", "other", NOW_MS, Some(Refusal::Proof))]
#[case::late("router-b", "secret", NOW_MS + 30_001, Some(Refusal::Time))]
#[case::early("router-b", "secret", NOW_MS - 30_001, Some(Refusal::Time))]
fn receiver_key_and_send_time_are_verified(
    #[case] to: &str,
    #[case] secret: &str,
    #[case] at_ms: u64,
    #[case] refusal: Option<Refusal>,
) {
    let mut receiver = authenticator("router-b", secret);
    let envelope = signed_frame(to, 1);
    let result = receiver.verify(at_ms, &envelope.body, &envelope.proof);
    assert_eq!(result.err(), refusal);
    assert_eq!(
        receiver.refusals().values().sum::<u64>(),
        u64::from(refusal.is_some())
    );
}

/// Guards against accepting a captured frame again, and against refusing a reordered frame.
#[test]
fn each_frame_is_accepted_once_in_any_order() {
    let mut receiver = authenticator("router-b", "secret");
    let mut receive = |number| {
        let envelope = signed_frame("router-b", number);
        receiver
            .verify(NOW_MS, &envelope.body, &envelope.proof)
            .map(|frame| frame.from.heartbeat)
    };
    assert_eq!(receive(10), Ok(10));
    assert_eq!(receive(8), Ok(8));
    assert_eq!(receive(8), Err(Refusal::Replay));
    assert_eq!(receive(200), Ok(200));
    assert_eq!(receive(137), Ok(137));
    assert_eq!(receive(136), Err(Refusal::Replay));
    assert_eq!(receive(u64::MAX), Ok(u64::MAX));
    assert_eq!(receive(200), Err(Refusal::Replay));
}

/// Guards against processing a huge frame before its length is checked.
#[test]
fn oversized_frame_is_refused() {
    let mut receiver = authenticator("router-b", "secret");
    let result = receiver.verify(NOW_MS, &vec![0; 1 << 24], "");
    assert_eq!(result, Err(Refusal::TooLarge));
}

fn damage() -> impl Strategy<Value = (Vec<(usize, u8)>, usize)> {
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

fn full_frame() -> Frame {
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

    /// Guards against bytes that make the decoder panic.
    #[test]
    fn arbitrary_bytes_never_panic(bytes in prop::collection::vec(any::<u8>(), 0..600)) {
        let _result = Frame::decode(&bytes);
    }

    /// Guards against a panic, or an index outside its table, when a router of the fleet sends a
    /// damaged frame with a correct proof.
    #[test]
    fn damaged_frames_never_panic((changes, cut) in damage()) {
        let mut bytes = full_frame().encode();
        for (position, value) in changes {
            let index = position % bytes.len();
            bytes[index] = value;
        }
        bytes.truncate(bytes.len() - cut % bytes.len() / 2);
        if let Ok(frame) = Frame::decode(&bytes) {
            let mut entries = frame.upstreams.iter();
            let valid = entries.all(|entry| {
                usize::from(entry.place) < frame.places.len()
                    && usize::from(entry.kind) < frame.kinds.len()
            });
            prop_assert!(valid);
        }
    }

    /// Guards against frames that exceed their limit, and against entries that change when encoded.
    #[test]
    fn builder_respects_the_byte_limit(
        limit in 200_usize..3_000,
        names in prop::collection::vec("[a-z]{1,40}", 0..200),
    ) {
        let mut builder = Builder::new(header("router-b", 9), limit);
        let mut added = Vec::new();
        for (index, name) in names.into_iter().enumerate() {
            let transition = Transition {
                name: name.as_str().into(),
                incarnation: Incarnation(index as u64),
                phase: 2,
            };
            if index % 2 == 0 && builder.transition(transition.clone()) {
                added.push(transition);
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
        let decoded = Frame::decode(&bytes).unwrap();
        prop_assert_eq!(&decoded.transitions, &added);
        prop_assert_eq!(decoded, frame);
    }
}
