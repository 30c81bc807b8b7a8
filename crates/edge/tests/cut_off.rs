//! Routers that are cut off from all upstreams, while callers, peers and the store reach them.

mod common;

use std::cell::Cell;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use actix_rt::time::sleep;
use common::Node;
use common::caller::Caller;
use common::caller::call;
use common::caller::get;
use common::caller::post;
use common::engine::Act;
use common::engine::Engine;
use common::engine::Seen;
use common::engine::end;
use common::engine::event;
use common::engine::response;
use common::engine::response_with;
use common::engine::stream;
use common::introduce;
use common::link::Cut;
use common::link::Link;
use common::platform::DEFAULT;
use common::start;
use common::store::Store;
use common::until;
use rstest::rstest;
use snipeusher::name;

const ENGINES: usize = 9;
const ZONES: usize = 3;
/// Software versions of the upstreams, in turn.
const BUILDS: [&str; 2] = ["v1", "v2"];
const ROUTERS: usize = 4;
/// Time from the cut after which its routers have to serve about as often as the others.
const BOUND: Duration = Duration::from_secs(3);
/// Time in which requests are counted.
const COUNTED: Duration = Duration::from_secs(2);
/// Time between the requests to one router.
const INTERVAL: Duration = Duration::from_millis(60);

/// Time that an upstream takes, so that a router needs several connections.
const RUN_MS: u64 = 200;

fn acts(seen: &Seen) -> Vec<Act> {
    let run = Act::Pause(RUN_MS);
    if seen.head.contains(" /chat/") {
        return vec![stream(seen.id()), event(1), run, event(2), end()];
    }
    vec![run, response(seen.id(), "200 OK", "done")]
}

/// Routers with the same upstreams, of which the first reach them through links that can be cut.
struct Fleet {
    engines: Vec<Engine>,
    nodes: Vec<Node>,
    /// Links of each router that can be cut off.
    links: Vec<Vec<Link>>,
}

impl Fleet {
    async fn start(cut_off: usize, acts: fn(&Seen) -> Vec<Act>) -> Self {
        let mut engines = Vec::new();
        for _ in 0..ENGINES {
            engines.push(Engine::start(acts).await);
        }
        let mut fleet = Self {
            engines,
            nodes: Vec::new(),
            links: Vec::new(),
        };
        for index in 0..ROUTERS {
            let mut addresses: Vec<SocketAddr> =
                fleet.engines.iter().map(|engine| engine.address).collect();
            if index < cut_off {
                let mut links = Vec::new();
                for address in &mut addresses {
                    let link = Link::start(*address);
                    *address = link.address;
                    links.push(link);
                }
                fleet.links.push(links);
            }
            let store = store(&addresses);
            // With seeds, a router would copy the list of upstreams from its peers.
            let node = start(&format!("host-{index}"), &store, Vec::new()).await;
            until("the upstreams are known", || node.shared.is_loaded()).await;
            fleet.nodes.push(node);
        }
        fleet.introduce().await;
        until("the routers are known", || {
            let mut fleets = fleet.nodes.iter().map(|node| node.shared.fleet.borrow());
            fleets.all(|known| known.routers() == ROUTERS)
        })
        .await;
        fleet
    }

    /// Makes the first router know the others, of which its exchanges tell the rest.
    async fn introduce(&self) {
        for node in &self.nodes[1..] {
            introduce(&self.nodes[0], node).await;
        }
    }

    /// A fleet whose first routers have found that they are cut off.
    async fn cut_off(routers: usize, acts: fn(&Seen) -> Vec<Act>) -> Self {
        let fleet = Self::start(routers, acts).await;
        fleet.cut(Cut::Refuse).await;
        let service = name::Service::from("letters");
        for number in 0_u32.. {
            let nodes = &fleet.nodes[..routers];
            let mut known = nodes.iter().map(|node| node.shared.fleet.borrow());
            if known.all(|known| known.is_unreachable(&service)) {
                break;
            }
            for node in nodes {
                call(node.front, &get("/read/find", &format!("find-{number}"))).await;
            }
        }
        // Peers hear of it, so that they get no relayed requests.
        sleep(Duration::from_secs(1)).await;
        fleet
    }

    /// All requests that reached upstreams with a path.
    fn seen(&self, path: &str) -> Vec<Seen> {
        let seen = self.engines.iter().flat_map(Engine::seen);
        seen.filter(|seen| seen.head.contains(path)).collect()
    }

    /// Whether a router that was cut off knows that it reaches no upstream.
    fn is_cut_off(&self) -> bool {
        let nodes = &self.nodes[..self.links.len()];
        let mut fleets = nodes.iter().map(|node| node.shared.fleet.borrow());
        fleets.any(|fleet| !fleet.unreachable_services().is_empty())
    }

    async fn cut(&self, cut: Cut) {
        let links = || self.links.iter().flatten();
        links().for_each(|link| link.cut(cut));
        // The listeners end when their tasks next run.
        sleep(Duration::from_millis(10)).await;
        if cut == Cut::Hang {
            links().for_each(Link::hang);
        }
    }

    fn heal(&self) {
        self.links.iter().flatten().for_each(Link::heal);
    }
}

/// A store of one router. The stores of all routers have the same revisions, but not the same
/// addresses of upstreams.
fn store(addresses: &[SocketAddr]) -> Store {
    let store = Store::new();
    store.configure(DEFAULT);
    for (index, address) in addresses.iter().enumerate() {
        let build = BUILDS[index % BUILDS.len()];
        store.upstream_of_build(
            &format!("e{index}@zone-{}", index % ZONES),
            "letters",
            *address,
            "ready",
            build,
        );
    }
    store
}

/// Requests to a router and how many of them were served.
#[derive(Clone, Copy, Debug, Default)]
struct Count {
    sent: usize,
    served: usize,
}

/// Sends requests to a router at a steady rate for some time.
async fn send(front: SocketAddr, name: String, time: Duration) -> Count {
    let served = Rc::new(Cell::new(0));
    let mut calls = Vec::new();
    let sent = (time.as_millis() / INTERVAL.as_millis()) as usize;
    for number in 0..sent {
        let id = format!("{name}-{number}");
        let text = match number % 3 {
            0 => get("/read/x", &id),
            1 => post("/write/x", &id, "write"),
            _ => post("/chat/x", &id, "chat"),
        };
        let served = Rc::clone(&served);
        calls.push(actix_rt::spawn(async move {
            let answer = call(front, &text).await;
            let is_served = answer.status == 200 && answer.complete;
            served.set(served.get() + usize::from(is_served));
        }));
        sleep(INTERVAL).await;
    }
    for call in calls {
        call.await.expect("it ends");
    }
    let served = served.get();
    Count { sent, served }
}

/// Sends requests to all routers; returns what became of them at those that can be cut off, and at
/// the others.
async fn send_to_all(fleet: &Fleet, name: &str, time: Duration) -> (Count, Count) {
    let calls: Vec<_> = (0..)
        .zip(&fleet.nodes)
        .map(|(index, node)| actix_rt::spawn(send(node.front, format!("{name}-{index}"), time)))
        .collect();
    let (mut cut_off, mut others) = (Count::default(), Count::default());
    for (index, call) in calls.into_iter().enumerate() {
        let count = call.await.expect("it ends");
        let sum = if index < fleet.links.len() {
            &mut cut_off
        } else {
            &mut others
        };
        sum.sent += count.sent;
        sum.served += count.served;
    }
    (cut_off, others)
}

/// Guards against callers of a router without links to upstreams who are refused, although its
/// peers reach them.
#[rstest]
#[case::refused(Cut::Refuse, 1)]
#[case::hanging(Cut::Hang, 1)]
#[case::only_new_ones_refused(Cut::RefuseNew, 1)]
#[case::most_refused(Cut::Refuse, 3)]
#[case::most_hanging(Cut::Hang, 3)]
#[actix_rt::test]
async fn a_router_that_is_cut_off_from_upstreams_serves_its_callers(
    #[case] cut: Cut,
    #[case] routers: usize,
) {
    let fleet = Fleet::start(routers, acts).await;
    send_to_all(&fleet, "before", Duration::from_millis(600)).await;
    fleet.cut(cut).await;
    send_to_all(&fleet, "detection", BOUND).await;
    let (cut_off, others) = send_to_all(&fleet, "counted", COUNTED).await;
    println!("cut off: {cut_off:?}, others: {others:?}");
    assert!(
        cut_off.served * others.sent * 3 >= others.served * cut_off.sent * 2,
        "cut off: {cut_off:?}, others: {others:?}"
    );
    fleet.heal();
    sleep(BOUND).await;
    let (healed, _) = send_to_all(&fleet, "healed", COUNTED).await;
    assert_eq!(healed.served, healed.sent, "after the cut");
    assert!(!fleet.is_cut_off(), "after the cut");
}

/// Guards against callers who are refused before their router has found that it reaches no upstream.
#[rstest]
#[case::refused(Cut::Refuse)]
#[case::hanging(Cut::Hang)]
#[actix_rt::test]
async fn the_first_request_after_a_cut_is_served(#[case] cut: Cut) {
    let fleet = Fleet::start(1, acts).await;
    sleep(Duration::from_millis(500)).await;
    fleet.cut(cut).await;
    let answer = call(fleet.nodes[0].front, &post("/chat/x", "first", "x")).await;
    assert_eq!(answer.status, 200, "{answer:?}");
    assert!(answer.complete);
}

/// Guards against a relay that changes the request, its workspace or its deadline, or the response.
#[rstest]
#[case("/closed/a%2Fb/..?c=d%20e&f")]
#[case("/closed//x?")]
#[case("/closed/fleet/v6/relay/x")]
#[actix_rt::test]
async fn a_relayed_request_arrives_as_it_was_sent(#[case] path: &str) {
    let fleet = Fleet::cut_off(1, |seen| {
        vec![response_with(
            seen.id(),
            "404 Not Found",
            "T-Own: x\r\n",
            "none",
        )]
    })
    .await;
    let text = format!(
        "POST {path} HTTP/1.1\r\nHost: test.example\r\nT-Id: one\r\nT-Key: secret-key\r\n\
         T-Deadline: 700\r\nX-Own: y\r\nContent-Length: 4\r\n\r\nbody"
    );
    let answer = call(fleet.nodes[0].front, &text).await;
    let all = fleet.seen("/closed/");
    let [seen] = &*all else {
        panic!("one run: {all:?}");
    };
    assert!(
        seen.head.starts_with(&format!("POST {path} HTTP/1.1")),
        "{}",
        seen.head
    );
    assert_eq!(seen.body, b"body");
    assert_eq!(seen.header("x-own"), Some("y"));
    assert_eq!(seen.header("t-key"), None, "the key stays with routers");
    assert_eq!(seen.header("t-workspace"), Some("reading-circle"));
    let deadline = seen.header("t-deadline").expect("a deadline");
    let deadline: u64 = deadline.parse().expect("a number");
    assert!((1..=700).contains(&deadline), "{deadline}");
    assert_eq!(answer.status, 404);
    assert_eq!(answer.body, "none");
    assert_eq!(answer.header("t-own"), Some("x"));
    assert_eq!(answer.header("t-signature"), Some("s"));
}

/// Guards against a request that may run once and runs again after the peer that relayed it lost
/// its response.
#[actix_rt::test]
async fn a_relayed_request_that_may_run_once_runs_once() {
    let fleet = Fleet::cut_off(1, |seen| {
        if seen.head.contains("/write/") {
            return vec![Act::Close];
        }
        vec![response(seen.id(), "200 OK", "done")]
    })
    .await;
    let answer = call(fleet.nodes[0].front, &post("/write/x", "once", "write")).await;
    assert_eq!(answer.status, 502, "it may have run");
    assert_eq!(fleet.seen("/write/").len(), 1);
}

/// Guards against a run that goes on at an upstream after the caller of the relaying router left.
#[actix_rt::test]
async fn a_relayed_request_ends_when_its_caller_leaves() {
    let fleet = Fleet::cut_off(1, |seen| {
        if seen.head.contains("/write/") {
            return vec![Act::Hang];
        }
        vec![response(seen.id(), "200 OK", "done")]
    })
    .await;
    let mut caller = Caller::connect(fleet.nodes[0].front).await;
    caller.write(&post("/write/x", "left", "write")).await;
    until("it runs", || fleet.seen("/write/").len() == 1).await;
    drop(caller);
    until("the run ends", || {
        let abandoned = fleet.engines.iter().map(|engine| engine.abandoned.get());
        abandoned.sum::<usize>() == 1
    })
    .await;
}

/// Guards against requests that circle between routers while none reaches an upstream.
#[actix_rt::test]
async fn requests_are_refused_at_once_if_no_router_reaches_an_upstream() {
    let fleet = Fleet::cut_off(ROUTERS, acts).await;
    for node in &fleet.nodes {
        let began = Instant::now();
        let answer = call(node.front, &post("/write/x", "nowhere", "write")).await;
        assert_eq!(answer.status, 503);
        assert!(answer.header("retry-after").is_some());
        assert!(began.elapsed() < Duration::from_millis(500));
    }
    assert!(fleet.seen("/write/").is_empty());
}

/// Guards against a relayed stream that its caller cannot take up, or that goes on at another
/// software version than began it.
#[actix_rt::test]
async fn a_relayed_stream_is_taken_up_at_its_version() {
    let fleet = Fleet::cut_off(1, |seen| {
        let after = seen.header("t-last").map_or(1, |last| {
            let last: u32 = last.parse().expect("a number");
            last + 1
        });
        let mut acts = vec![stream(seen.id()), event(after)];
        acts.push(if after == 1 { Act::Close } else { end() });
        acts
    })
    .await;
    for number in 0..4 {
        let front = fleet.nodes[0].front;
        let path = format!("/chat/{number}");
        let began = call(front, &post(&path, &format!("s{number}"), "x")).await;
        assert!(began.body.contains("part 1"), "{began:?}");
        sleep(Duration::from_millis(200)).await;
        let text = format!(
            "POST /chat/{number} HTTP/1.1\r\nHost: test.example\r\nT-Id: t{number}\r\n\
             T-Resumes: s{number}\r\nT-Last: 1\r\nContent-Length: 1\r\n\r\nx"
        );
        let answer = call(front, &text).await;
        assert_eq!(answer.status, 200, "{answer:?}");
        let builds = |id: &str| {
            let engines = (0..).zip(&fleet.engines);
            let ran = engines.filter(|(_, engine)| engine.seen().iter().any(|it| it.id() == id));
            let builds = ran.map(|(index, _): (usize, _)| BUILDS[index % BUILDS.len()]);
            builds.collect::<BTreeSet<_>>()
        };
        let all = &builds(&format!("s{number}")) | &builds(&format!("t{number}"));
        assert_eq!(all.len(), 1, "{all:?}");
    }
}
