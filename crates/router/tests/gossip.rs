//! Gossip over real sockets between eight routers, with twelve engines and three plain services in
//! three zones.
//!
//! Assertions are on frames and states; time limits only stop a test that hangs.

use std::collections::BTreeSet;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use actix_web::App;
use actix_web::HttpRequest;
use actix_web::HttpResponse;
use actix_web::HttpServer;
use actix_web::web;
use actix_web::web::Data;
use snipeusher::name;
use snipeusher::name::Incarnation;
use snipeusher::upstream::Phase;
use snipeusher::wire::Frame;
use snipeusher_fakes::engine::Engine;
use snipeusher_fakes::engine::Options;
use snipeusher_fakes::hosts::Host;
use snipeusher_fakes::hosts::Hosts;
use snipeusher_fakes::plain::Plain;
use snipeusher_router::Router;
use snipeusher_router::gossip::CurrentView;
use snipeusher_router::gossip::View;
use snipeusher_router::log;
use snipeusher_router::settings::Gossip;
use snipeusher_router::settings::Settings;
use tempfile::TempDir;
use tokio::time::sleep;

const ROUTERS: usize = 8;
const ENGINES: usize = 12;
const SERVICES: usize = 3;
const ZONES: usize = 3;
const BUDGET_BYTES: usize = 4_000;
/// Number of polls after which a test is taken to hang.
const POLLS_MAX: usize = 6_000;
const POLL: Duration = Duration::from_millis(10);
/// Most frames that a router may send until all routers know that an engine is leaving: two seconds
/// of its budget.
const SPREAD_FRAMES_MAX: u64 = 20;

/// The network between the routers.
#[derive(Debug, Default)]
struct Network {
    /// Listener address of each running router.
    targets: Vec<Option<String>>,
    /// Routers that are partitioned from the rest.
    isolated: BTreeSet<usize>,
}

type Shared = Arc<Mutex<Network>>;

/// Forwards a frame to a router unless the partition separates the sender from it.
async fn forward_frame(
    request: HttpRequest,
    body: web::Bytes,
    state: Data<(usize, Shared)>,
    client: web::ThinData<awc::Client>,
) -> HttpResponse {
    let to = state.0;
    let frame = Frame::decode(&body).expect("a frame");
    let from = router_index(frame.from.host.as_str());
    let target = {
        let network = state.1.lock().unwrap();
        let is_partitioned = network.isolated.contains(&from) != network.isolated.contains(&to);
        network.targets[to].clone().filter(|_| !is_partitioned)
    };
    let Some(target) = target else {
        return HttpResponse::BadGateway().finish();
    };
    let proof = request
        .headers()
        .get("x-fleet-proof")
        .expect("a proof")
        .clone();
    let request = client
        .post(format!("http://{target}/fleet/v1/gossip"))
        .insert_header(("x-fleet-proof", proof));
    match request.send_body(body).await {
        Ok(_) => HttpResponse::NoContent().finish(),
        Err(_) => HttpResponse::BadGateway().finish(),
    }
}

fn router_index(host: &str) -> usize {
    host.rsplit('-').next().unwrap().parse().unwrap()
}

struct Fleet {
    routers: Vec<Option<Router>>,
    engines: Vec<Engine>,
    services: Vec<Plain>,
    hosts: Hosts,
    network: Shared,
    relays: Vec<String>,
    key: (TempDir, PathBuf),
}

impl Fleet {
    async fn start() -> Self {
        let folder = TempDir::new().unwrap();
        let key = folder.path().join("fleet.key");
        std::fs::write(&key, "a key of the fleet").unwrap();
        let network = Shared::default();
        network.lock().unwrap().targets = vec![None; ROUTERS];
        let relays = (0..ROUTERS)
            .map(|index| bind_relay(index, &network))
            .collect();
        let engine = |index| {
            Engine::bind(Options {
                name: format!("engine-{index}").into(),
                incarnation: Incarnation(1_000),
                ..Options::default()
            })
        };
        let engines = (0..ENGINES).map(|index| engine(index).unwrap()).collect();
        let services = (0..SERVICES).map(|_| Plain::bind(&"match-desk".into()).unwrap());
        let mut fleet = Self {
            routers: (0..ROUTERS).map(|_| None).collect(),
            engines,
            services: services.collect(),
            hosts: Hosts::bind().unwrap(),
            network,
            relays,
            key: (folder, key),
        };
        fleet.publish_host_list();
        for index in 0..ROUTERS {
            fleet.start_router(index);
        }
        fleet.wait_until_converged(&(0..ROUTERS).collect()).await;
        fleet
    }

    /// Publishes a host list that shows all hosts as live. It never changes, like a list that lags
    /// behind the fleet.
    fn publish_host_list(&self) {
        let host = |name: String, address: String, index: usize, role: &str| Host {
            name,
            address,
            zone: format!("zone-{}", index % ZONES),
            region: "region".to_owned(),
            role: role.to_owned(),
            leaving: false,
            since_ms: 1_000,
        };
        let routers = self.relays.iter().enumerate();
        let routers = routers
            .map(|(index, relay)| host(format!("router-{index}"), relay.clone(), index, "router"));
        let engines = self.engines.iter().enumerate().map(|(index, engine)| {
            host(
                format!("engine-{index}"),
                engine.address().to_string(),
                index,
                "engine",
            )
        });
        let services = self.services.iter().enumerate().map(|(index, service)| {
            host(
                format!("match-desk-{index}"),
                service.address().to_string(),
                index,
                "match-desk",
            )
        });
        self.hosts
            .set(routers.chain(engines).chain(services).collect());
    }

    fn start_router(&mut self, index: usize) {
        let text = format!(
            "host = \"router-{index}\"\nzone = \"zone-{}\"\nregion = \"region\"",
            index % ZONES
        );
        let mut settings = Settings::parse(&text).expect("settings");
        settings.listen = ([127, 0, 0, 1], 0).into();
        settings.workers = 1;
        settings.balancer_delay = Duration::ZERO;
        settings.keep_alive = Duration::from_millis(200);
        settings.probe_interval = Duration::from_millis(200);
        settings.gossip = Some(Gossip {
            key: self.key.1.clone(),
            address: Some(self.relays[index].parse().unwrap()),
            budget_bytes: BUDGET_BYTES,
            seeds: Vec::new(),
            host_list: Some(self.hosts.url()),
            list_interval: Duration::from_millis(500),
        });
        let router = Router::bind(settings, log::discard()).expect("a router");
        let address = router.address().to_string();
        self.network.lock().unwrap().targets[index] = Some(address);
        self.routers[index] = Some(router);
    }

    async fn stop_router(&mut self, index: usize) {
        self.network.lock().unwrap().targets[index] = None;
        let router = self.routers[index].take().expect("a running router");
        assert!(router.stop().await);
    }

    async fn view(&self, index: usize) -> View {
        let router = self.routers[index].as_ref().expect("a running router");
        let gossip = router.gossip().expect("gossip is on");
        gossip.send(CurrentView).await.expect("a view")
    }

    /// Waits until the views of the routers fulfil a condition.
    async fn wait_until(
        &self,
        routers: &BTreeSet<usize>,
        goal: &str,
        is_reached: impl Fn(usize, &View) -> bool,
    ) {
        let mut last = None;
        for _ in 0..POLLS_MAX {
            last = None;
            for index in routers {
                let view = self.view(*index).await;
                if !is_reached(*index, &view) {
                    last = Some((index, view));
                    break;
                }
            }
            if last.is_none() {
                return;
            }
            sleep(POLL).await;
        }
        panic!("{goal}: {last:?}");
    }

    /// Waits until the routers consider each other alive and all upstreams live.
    async fn wait_until_converged(&self, routers: &BTreeSet<usize>) {
        self.wait_until(routers, "converged", |_, view| {
            let live = view.phases.values().filter(|phase| **phase == Phase::Live);
            view.alive.len() == ROUTERS - 1 && live.count() == ENGINES + SERVICES
        })
        .await;
    }

    /// Waits until the routers know that an engine is leaving.
    async fn wait_until_leaving(&self, routers: &BTreeSet<usize>, engine: &str) {
        self.wait_until(routers, engine, |_, view| {
            view.phases[engine] == Phase::Leaving
        })
        .await;
    }

    async fn frames_sent(&self) -> Vec<u64> {
        let mut frames = Vec::new();
        for index in 0..ROUTERS {
            frames.push(self.view(index).await.frames);
        }
        frames
    }
}

fn bind_relay(index: usize, network: &Shared) -> String {
    let data = Data::new((index, Arc::clone(network)));
    let server = HttpServer::new(move || {
        App::new()
            .app_data(Data::clone(&data))
            .app_data(web::ThinData(awc::Client::default()))
            .default_service(web::to(forward_frame))
    })
    .workers(1)
    .disable_signals()
    .bind(("127.0.0.1", 0))
    .unwrap();
    let address = server.addrs()[0].to_string();
    actix_rt::spawn(server.run());
    address
}

fn all() -> BTreeSet<usize> {
    (0..ROUTERS).collect()
}

/// Guards against a leaving phase that does not spread because the host list still shows the engine
/// as live, and against restarted routers that lose this phase or their peers.
#[actix_rt::test]
async fn leaving_phase_spreads_and_survives_restarts() {
    let mut fleet = Fleet::start().await;
    let before = fleet.frames_sent().await;
    fleet.engines[5].set_phase(Phase::Leaving);
    fleet.wait_until_leaving(&all(), "engine-5").await;
    let after = fleet.frames_sent().await;
    let spent: Vec<_> = after
        .iter()
        .zip(&before)
        .map(|(after, before)| after - before)
        .collect();
    assert!(
        spent.iter().all(|frames| *frames <= SPREAD_FRAMES_MAX),
        "{spent:?}"
    );
    // Each router reads the stale host list at least once more.
    let reads = fleet.hosts.reads();
    while fleet.hosts.reads() < reads + 2 * ROUTERS as u64 {
        sleep(POLL).await;
    }
    fleet.wait_until_leaving(&all(), "engine-5").await;
    for index in 0..ROUTERS {
        let router = fleet.routers[index].as_ref().unwrap();
        assert_eq!(router.ready_engines().await, ENGINES - 1, "router-{index}");
        let refusals = fleet.view(index).await.refusals;
        assert!(refusals.is_empty(), "router-{index} refused {refusals:?}");
    }

    fleet.stop_router(2).await;
    fleet.start_router(2);
    fleet.wait_until_restored(&BTreeSet::from([2])).await;
    for index in 0..ROUTERS {
        fleet.stop_router(index).await;
    }
    for index in 0..ROUTERS {
        fleet.start_router(index);
    }
    fleet.wait_until_restored(&all()).await;
}

impl Fleet {
    /// Waits until restarted routers know the fleet and that engine 5 is leaving.
    async fn wait_until_restored(&self, routers: &BTreeSet<usize>) {
        self.wait_until(routers, "restored", |_, view| {
            let live = view.phases.values().filter(|phase| **phase == Phase::Live);
            let is_leaving = view.phases.get("engine-5") == Some(&Phase::Leaving);
            is_leaving && live.count() == ENGINES + SERVICES - 1 && view.alive.len() == ROUTERS - 1
        })
        .await;
    }
}

/// Guards against a partitioned zone whose routers stop gossiping, and against phase changes that
/// are lost when the partition ends.
#[actix_rt::test]
async fn partitioned_zone_gossips_and_merges() {
    let fleet = Fleet::start().await;
    let isolated: BTreeSet<usize> = (0..ROUTERS).filter(|index| index % ZONES == 0).collect();
    let rest: BTreeSet<usize> = all().difference(&isolated).copied().collect();
    fleet.network.lock().unwrap().isolated.clone_from(&isolated);
    let host = |index: &usize| name::Host::from(format!("router-{index}"));
    let hosts = |routers: &BTreeSet<usize>| routers.iter().map(host).collect::<BTreeSet<_>>();
    let (isolated_hosts, rest_hosts) = (hosts(&isolated), hosts(&rest));
    fleet
        .wait_until(&all(), "suspicion", |index, view| {
            let unreachable = if isolated.contains(&index) {
                &rest_hosts
            } else {
                &isolated_hosts
            };
            view.suspected == *unreachable
        })
        .await;
    fleet.engines[0].set_phase(Phase::Leaving);
    fleet.engines[1].set_phase(Phase::Leaving);
    fleet.wait_until_leaving(&isolated, "engine-0").await;
    fleet.wait_until_leaving(&rest, "engine-1").await;
    for index in all() {
        let other_engine = if isolated.contains(&index) {
            "engine-1"
        } else {
            "engine-0"
        };
        let phase = fleet.view(index).await.phases[other_engine];
        assert_eq!(phase, Phase::Live, "a change crossed the partition");
    }
    fleet.network.lock().unwrap().isolated.clear();
    fleet.wait_until_leaving(&all(), "engine-0").await;
    fleet.wait_until_leaving(&all(), "engine-1").await;
    fleet
        .wait_until(&all(), "merge", |_, view| {
            view.suspected.is_empty() && view.alive.len() == ROUTERS - 1
        })
        .await;
}
