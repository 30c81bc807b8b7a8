//! Order of exchanges with peers: mostly those of the own availability zone.

mod common;

use std::collections::BTreeMap;
use std::net::SocketAddr;

use rstest::rstest;
use snipeusher::hash;
use snipeusher::kv::Revision;
use snipeusher::name;
use snipeusher::poison;
use snipeusher::time::Time;
use snipeusher_edge::peer::Digest;
use snipeusher_edge::peer::Member;
use snipeusher_edge::peer::Peers;

fn address(index: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], 1_000 + index))
}

fn zone(index: u16, zones: u16) -> name::Zone {
    name::Zone::from(format!("zone-{}", index % zones))
}

/// The peers of router 0 after a digest that lists all others.
fn peers(routers: u16, zones: u16, seeds: &[SocketAddr]) -> Peers {
    let host = |index: u16| name::Host::from(format!("host-{index}"));
    let mut peers = Peers::new(host(0), zone(0, zones), address(0), seeds);
    let members = (2..routers).map(|index| Member {
        host: host(index),
        zone: zone(index, zones),
        address: address(index),
        heard_ms: 0,
    });
    let digest = Digest {
        zone: zone(1, zones),
        ..digest(members.collect())
    };
    peers.record(Time::from_millis(1_000), &digest);
    peers
}

/// A digest of router 1.
fn digest(members: Vec<Member>) -> Digest {
    Digest {
        host: name::Host::from("host-1"),
        zone: name::Zone::from("zone-1"),
        address: address(1),
        configuration: None,
        upstreams: Revision::new(0),
        loads: Vec::new(),
        readers: Vec::new(),
        members,
        poison: poison::Report::default(),
        rate_limits: Vec::new(),
        unreachable: Vec::new(),
        decline_limits: Vec::new(),
    }
}

/// Number of exchanges with each peer.
fn exchange_counts(peers: &mut Peers, count: u64) -> BTreeMap<SocketAddr, u32> {
    let mut counts = BTreeMap::new();
    for random in 0..count {
        let address = peers.next(random.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        *counts.entry(address.expect("a peer")).or_default() += 1;
    }
    counts
}

/// Guards against exchanges that mostly cross zones, where traffic is expensive, and against peers
/// that are never contacted.
#[rstest]
#[case(83, 3)]
#[case(59, 4)]
#[case(370, 17)]
fn most_exchanges_stay_in_the_zone(#[case] routers: u16, #[case] zones: u16) {
    let mut peers = peers(routers, zones, &[]);
    let counts = exchange_counts(&mut peers, 40_000);
    let is_local = |address: &SocketAddr| (address.port() - 1_000).is_multiple_of(zones);
    let local: u32 = counts
        .iter()
        .filter(|(address, _)| is_local(address))
        .map(|(_, count)| count)
        .sum();
    assert!((28_000..=32_000).contains(&local), "{local} of 40000");
    assert_eq!(counts.len(), usize::from(routers) - 1, "all are contacted");
}

/// Guards against a router without local peers that contacts no others.
#[rstest]
fn a_router_without_local_peers_contacts_the_others() {
    let mut peers = peers(6, 6, &[]);
    assert_eq!(exchange_counts(&mut peers, 50).len(), 5);
}

/// Guards against seeds that are never contacted because other peers are known.
#[rstest]
fn an_unknown_seed_is_contacted_in_each_round() {
    let seed = address(500);
    let mut peers = peers(9, 3, &[seed]);
    assert!(exchange_counts(&mut peers, 20).contains_key(&seed));
}

/// Guards against changes that do not reach other zones.
#[rstest]
fn changes_are_sent_to_another_zone() {
    let peers = peers(9, 3, &[]);
    for random in 0..20 {
        let targets = peers.sample(3, random);
        assert_eq!(targets.len(), 3);
        let remote = targets
            .iter()
            .filter(|to| !(to.port() - 1_000).is_multiple_of(3));
        assert!(remote.count() >= 1);
    }
}

/// Guards against a router that has started and asks peers which do not keep what it stated before:
/// it knows few others, so that those have to name the same keepers as it did.
#[rstest]
#[case(7, 3)]
#[case(70, 4)]
fn all_routers_name_the_same_keepers(#[case] routers: u16, #[case] zones: u16) {
    let (host, of_zone) = (name::Host::from("host-0"), zone(0, zones));
    let own = peers(routers, zones, &[]).ranked(hash::bytes(b"host-0"), 4);
    assert_eq!(own.len(), 4);
    for other in 1..routers {
        // Each other router knows all but itself.
        let known = name::Host::from(format!("host-{other}"));
        let mut peers = Peers::new(known, zone(other, zones), address(other), &[]);
        let all = (0..routers).filter(|index| *index != other);
        let members = all.map(|index| Member {
            host: name::Host::from(format!("host-{index}")),
            zone: zone(index, zones),
            address: address(index),
            heard_ms: 0,
        });
        peers.record(Time::from_millis(1_000), &digest(members.collect()));
        let named = peers.ranked_for(&host, &of_zone, address(other), 4);
        assert_eq!(named, own, "router {other}");
    }
}

/// Guards against a router of the release before, whose messages have another form, that disturbs
/// the routers of this one.
#[actix_rt::test]
async fn a_digest_of_the_release_before_is_declined_without_harm() {
    let (node, _store) = common::single(&[]).await;
    let before = node.shared.revisions();
    let digest = include_str!("serialized/digest-v5.hex").trim_end();
    let digest = hex::decode(digest).expect("the file holds hexadecimal digits");
    for (path, status) in [("/fleet/v5/exchange", 404), ("/fleet/v6/exchange", 400)] {
        let length = digest.len();
        let head = format!("POST {path} HTTP/1.1\r\nHost: h\r\nContent-Length: {length}\r\n\r\n");
        let mut caller = common::caller::Caller::connect(node.control).await;
        caller
            .write_bytes(&[head.as_bytes(), &digest].concat())
            .await;
        let answer = caller.read().await.expect("a response");
        assert_eq!(answer.status, status, "{path}");
    }
    assert_eq!(node.shared.revisions(), before);
    assert_eq!(node.shared.fleet.borrow().routers(), 1);
}
