//! Rate limits that upstreams state: how routers share them, and when they end.

use std::time::Duration;

use rstest::rstest;
use snipeusher::fleet::Cause;
use snipeusher::fleet::Decision;
use snipeusher::fleet::Entry;
use snipeusher::fleet::Fleet;
use snipeusher::fleet::Limits;
use snipeusher::fleet::Query;
use snipeusher::fleet::Regions;
use snipeusher::fleet::Settings;
use snipeusher::kv::Revision;
use snipeusher::name;
use snipeusher::route::Homes;
use snipeusher::time::Time;

/// Length of the windows in which the requests of all routers are counted.
const WINDOW_MS: u64 = 4_000;
const TICK_MS: u64 = 20;

fn upstream() -> name::Upstream {
    name::Upstream::from("e0")
}

fn service() -> name::Service {
    name::Service::from("letters")
}

fn hosts(count: usize) -> Vec<name::Host> {
    let hosts = (0..count).map(|index| name::Host::from(format!("host-{index}")));
    hosts.collect()
}

/// A router with one upstream, in a fleet of routers.
fn router(own: usize, hosts: &[name::Host]) -> Fleet {
    let mut fleet = Fleet::new(Settings {
        zone: name::Zone::from("here"),
        regions: Regions::default(),
        retries: Limits::default(),
        drain: Duration::from_secs(2),
        pause_max: Duration::from_mins(1),
    });
    let entry = Entry {
        id: upstream(),
        service: service(),
        address: ([127, 0, 0, 1], 1).into(),
        zone: name::Zone::from("here"),
        build: name::Build::from("v1"),
        slots: None,
        draining: false,
        incarnation: name::Incarnation(1),
        revision: Revision::new(1),
        cold_ms: 0,
    };
    fleet.replace_all(Time::default(), Revision::new(1), vec![entry]);
    fleet.set_routers(hosts.len());
    let others = hosts.iter().enumerate().filter(|(index, _)| *index != own);
    fleet.set_hosts(Time::default(), &hosts[own], others.map(|(_, host)| host));
    fleet
}

fn fleet(count: usize) -> Vec<Fleet> {
    let hosts = hosts(count);
    (0..count).map(|own| router(own, &hosts)).collect()
}

fn decide(router: &mut Fleet, now: Time) -> Decision {
    router.choose(
        now,
        &Query {
            service: &service(),
            session: None,
            max_connections: 0,
            build: None,
            tried: &[],
            homes: &Homes::default(),
            tie_breaker: 7,
        },
    )
}

/// Sends a request if the router may; returns whether it did.
fn send(router: &mut Fleet, now: Time) -> bool {
    let is_sent = matches!(decide(router, now), Decision::Send { .. });
    if is_sent {
        router.record_sent(now, &upstream());
        router.record_outcome(now, &upstream(), snipeusher::fleet::Outcome::Served);
    }
    is_sent
}

/// Guards against a limit that each router keeps for itself, against routers that save their shares
/// for a burst, and against a limit of which nothing is used.
#[rstest]
#[case(1, 5.2)]
#[case(9, 3.2)]
#[case(9, 0.0)]
#[case(83, 5.2)]
#[case(195, 1.0)]
#[case(195, 40.0)]
fn a_fleet_keeps_to_the_limit_of_an_upstream(#[case] routers: usize, #[case] limit: f64) {
    let mut routers = fleet(routers);
    for router in &mut routers {
        router.record_rate_limit(Time::default(), &upstream(), Some(limit));
    }
    // The routers have nothing to send for a while, then all of them have much.
    let mut sent = Vec::new();
    for tick in 0..(3 * WINDOW_MS / TICK_MS) {
        let ms = 2 * WINDOW_MS + tick * TICK_MS;
        let now = Time::from_millis(ms);
        let count = routers
            .iter_mut()
            .filter_map(|router| send(router, now).then_some(()));
        sent.push(count.count());
    }
    let ticks = (WINDOW_MS / TICK_MS) as usize;
    let most = sent
        .windows(ticks)
        .map(|window| window.iter().sum::<usize>())
        .max();
    let allowed = 1.5 * limit * WINDOW_MS as f64 / 1_000.0 + 5.0;
    assert!(
        most.unwrap_or_default() as f64 <= allowed,
        "{most:?} of {allowed}"
    );
    let total: usize = sent.iter().sum();
    assert!(
        total as f64 >= 0.9 * limit * 3.0 * WINDOW_MS as f64 / 1_000.0,
        "{total}"
    );
    assert!(total > 0, "nobody would hear of the end of the limit");
}

/// Guards against routers without a share, which never hear of an upstream, that do not learn of
/// its limit or of the end of it.
#[test]
fn routers_hear_of_limits_from_peers() {
    let mut routers = fleet(40);
    let (first, second) = (Time::from_millis(1_000), Time::from_millis(9_000));
    assert!(routers[0].record_rate_limit(first, &upstream(), Some(2.0)));
    assert!(
        !routers[0].record_rate_limit(first, &upstream(), Some(2.0)),
        "no news"
    );
    let limits = routers[0].rate_limits(first);
    for router in &mut routers[1..] {
        router.merge_rate_limits(first, &limits);
    }
    let may_send = routers
        .iter_mut()
        .filter_map(|router| send(router, first).then_some(()));
    assert_eq!(may_send.count(), 0, "nothing is saved up before the limit");
    assert!(routers[0].record_rate_limit(second, &upstream(), None));
    let ended = routers[0].rate_limits(second);
    let older = routers[1].rate_limits(second);
    for router in &mut routers[1..] {
        router.merge_rate_limits(second, &ended);
        router.merge_rate_limits(second, &older);
    }
    let may_send = routers
        .iter_mut()
        .filter_map(|router| send(router, second).then_some(()));
    assert_eq!(
        may_send.count(),
        40,
        "an older statement of a peer changes nothing"
    );
}

/// Guards against callers that are told to return when no upstream takes a request.
#[test]
fn a_refused_caller_is_told_when_an_upstream_takes_requests_again() {
    let mut router = fleet(1).remove(0);
    let now = Time::from_millis(1_000);
    router.record_rate_limit(now, &upstream(), Some(0.5));
    let Decision::Refuse { cause, retry_after } = decide(&mut router, now) else {
        panic!("the upstream takes nothing yet");
    };
    assert_eq!(cause, Cause::Paused);
    assert!(retry_after >= Duration::from_secs(2), "{retry_after:?}");
    assert!(send(&mut router, now + retry_after));
}

/// Guards against a limit that an earlier incarnation of an upstream stated.
#[test]
fn a_limit_ends_with_the_incarnation_that_stated_it() {
    let mut router = fleet(1).remove(0);
    let now = Time::from_millis(1_000);
    router.record_rate_limit(now, &upstream(), Some(1.0));
    let limits = router.rate_limits(now);
    let mut entry = router
        .roster()
        .get(&upstream())
        .expect("it is listed")
        .clone();
    entry.incarnation = name::Incarnation(2);
    entry.revision = Revision::new(2);
    router.upsert(now, entry);
    router.merge_rate_limits(now, &limits);
    assert!(send(&mut router, now));
}
