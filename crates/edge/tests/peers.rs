//! Whose turn it is to hear from a router: mostly peers of its own availability zone.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use rstest::rstest;
use snipeusher::kv::Revision;
use snipeusher::name;
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

/// The peers of router 0 after it has heard of all others.
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
        host: host(1),
        zone: zone(1, zones),
        address: address(1),
        configuration: None,
        upstreams: Revision(0),
        loads: Vec::new(),
        readers: Vec::new(),
        members: members.collect(),
    };
    peers.record(Time::from_millis(1_000), &digest);
    peers
}

/// Counts turns of each peer.
fn turns(peers: &mut Peers, count: u64) -> BTreeMap<SocketAddr, u32> {
    let mut counts = BTreeMap::new();
    for random in 0..count {
        let address = peers.next(random.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        *counts.entry(address.expect("a peer")).or_default() += 1;
    }
    counts
}

/// Guards against exchanges that mostly cross zones, where each byte is dear, and against peers
/// that are never heard.
#[rstest]
#[case(83, 3)]
#[case(59, 4)]
#[case(370, 17)]
fn most_exchanges_stay_in_the_zone(#[case] routers: u16, #[case] zones: u16) {
    let mut peers = peers(routers, zones, &[]);
    let counts = turns(&mut peers, 40_000);
    let is_local = |address: &SocketAddr| (address.port() - 1_000).is_multiple_of(zones);
    let near: u32 = counts
        .iter()
        .filter(|(address, _)| is_local(address))
        .map(|(_, count)| count)
        .sum();
    assert!((28_000..=32_000).contains(&near), "{near} of 40000");
    assert_eq!(counts.len(), usize::from(routers) - 1, "all are heard");
}

/// Guards against a router alone in its zone that hears nobody.
#[rstest]
fn a_router_alone_in_its_zone_hears_the_others() {
    let mut peers = peers(6, 6, &[]);
    assert_eq!(turns(&mut peers, 50).len(), 5);
}

/// Guards against seeds that are never asked since other peers are known.
#[rstest]
fn an_unknown_seed_is_asked_in_each_round() {
    let seed = address(500);
    let mut peers = peers(9, 3, &[seed]);
    assert!(turns(&mut peers, 20).contains_key(&seed));
}

/// Guards against news that stays within a zone.
#[rstest]
fn news_goes_to_another_zone_too() {
    let peers = peers(9, 3, &[]);
    for random in 0..20 {
        let some = peers.sample(3, random);
        assert_eq!(some.len(), 3);
        let far = some
            .iter()
            .filter(|to| !(to.port() - 1_000).is_multiple_of(3));
        assert!(far.count() >= 1);
    }
}
