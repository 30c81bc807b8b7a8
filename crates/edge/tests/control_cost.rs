//! Bandwidth of gossip between routers at the current, the next and the target fleet size.

use std::net::SocketAddr;
use std::time::Duration;

use rstest::rstest;
use snipeusher::fleet::DeclineLimit;
use snipeusher::fleet::Observation;
use snipeusher::fleet::RateLimit;
use snipeusher::kv::Revision;
use snipeusher::name;
use snipeusher::poison;
use snipeusher::reader::Reader;
use snipeusher::route::Position;
use snipeusher_edge::peer::Digest;
use snipeusher_edge::peer::Member;
use snipeusher_edge::peer::interval;

/// Limit on control traffic in bytes per second and direction, from the target.
const CONTROL_BYTES_PER_S: f64 = 14_000.0;
/// Size of the heads of a request and its response, as the codecs write them.
const HEAD_BYTES: usize = 160;
/// Maximum number of observations and members in a digest.
const OBSERVATIONS: u16 = 40;
const MEMBERS: u16 = 8;
/// Maximum number of rate limits in a digest, and observations that each of them replaces.
const LIMITS: u16 = 10;
const OBSERVATIONS_PER_LIMIT: u16 = 2;
/// Services that cannot be reached, or whose upstreams can decline few requests, and observations
/// that each of them replaces.
const SERVICES: u16 = 5;
const OBSERVATIONS_PER_SERVICE: u16 = 3;

fn digest(zones: u16, limits: u16, services: u16) -> Digest {
    let address = SocketAddr::from(([10, 200, 100, 200], 65_000));
    let host = |index: u16| name::Host::from(format!("front-hu-central-zone-{index}"));
    let zone = |index: u16| name::Zone::from(format!("hu-central-{index}"));
    let readers = (0..zones * 2).map(|index| Reader {
        host: host(index),
        zone: zone(index),
        age_ms: 2_000,
        steady_ms: 40_000_000,
    });
    let service = |index: u16| name::Service::from(format!("service-llm-{index}"));
    let decline_limits = (0..services).map(|index| DeclineLimit {
        service: service(index),
        per_s: 5.2,
        age_ms: 4_000,
    });
    let loads =
        OBSERVATIONS - OBSERVATIONS_PER_LIMIT * limits - OBSERVATIONS_PER_SERVICE * services;
    let loads = (0..loads).map(|index| Observation {
        upstream: name::Upstream::from(format!("i-{index:010x}")),
        load: 200,
        age_ms: 1_400,
    });
    let limits = (0..limits).map(|index| RateLimit {
        upstream: name::Upstream::from(format!("i-{index:010x}")),
        incarnation: name::Incarnation(1_700_000_000_000),
        per_s: Some(5.2),
        age_ms: 20_000,
    });
    let members = (0..MEMBERS).map(|index| Member {
        host: host(index),
        zone: zone(index % zones),
        address,
        heard_ms: 12_000,
    });
    Digest {
        host: host(0),
        zone: zone(0),
        address,
        configuration: Some(Position {
            version: 1 << 40,
            revision: Revision::new(1 << 40),
        }),
        upstreams: Revision::new(1 << 40),
        loads: loads.collect(),
        readers: readers.collect(),
        members: members.collect(),
        // Nothing to report unless upstreams crash.
        poison: poison::Report::default(),
        rate_limits: limits.collect(),
        unreachable: (0..services).map(service).collect(),
        decline_limits: decline_limits.collect(),
    }
}

/// Guards against digests that exceed the limit on control traffic. A router sends its digest in
/// each exchange that it starts, and in the responses to about as many exchanges started by others.
#[rstest]
#[case(9, 3)]
#[case(83, 3)]
#[case(370, 17)]
fn exchanges_stay_within_the_bandwidth_limit(
    #[case] routers: usize,
    #[case] zones: u16,
    #[values(0, LIMITS)] limits: u16,
    #[values(0, SERVICES)] services: u16,
) {
    let body = rmp_serde::to_vec(&digest(zones, limits, services)).expect("it can be encoded");
    let bytes_each = (body.len() + HEAD_BYTES) as f64;
    let exchanges_per_s =
        Duration::from_secs(1).as_secs_f64() / interval(routers - 1).as_secs_f64();
    let bytes = 2.0 * exchanges_per_s * bytes_each;
    println!(
        "{routers} routers in {zones} zones: {} B a digest, {bytes:.0} B/s",
        body.len()
    );
    assert!(bytes <= CONTROL_BYTES_PER_S, "{bytes:.0} B/s");
}
