//! Starts and stops the tasks of the process.

use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::StatusCode;
use actix_http::header::HeaderMap;
use bytes::Bytes;
use slog::info;
use slog::warn;
use snafu::ResultExt as _;
use snafu::Snafu;
use snipeusher::name;
use snipeusher::route::Limits;
use snipeusher_store::Store;
use tokio::time::sleep;

use crate::archive;
use crate::dialect::Platform;
use crate::discovery;
use crate::exchange::Proxy;
use crate::lifecycle::Lifecycle;
use crate::memory::Owner;
use crate::memory::Reservation;
use crate::metrics::Exposition;
use crate::peer;
use crate::peer::Control;
use crate::peer::Peers;
use crate::peer::Streams;
use crate::probe;
use crate::responder::Responder;
use crate::server;
use crate::server::Handler;
use crate::server::Request;
use crate::shared::Shared;
use crate::task::supervise;
use crate::watch;

/// How often shutdown checks for in-flight requests.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// How often expired idle connections are closed.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// A listener cannot be opened.
#[derive(Debug, Snafu)]
#[snafu(display("cannot listen on {address}: {source}"))]
pub struct Error {
    address: SocketAddr,
    source: io::Error,
}

/// A running router.
#[derive(Debug)]
pub struct Node<P> {
    shared: Rc<Shared<P>>,
    peers: Rc<RefCell<Peers>>,
}

impl<P: Platform> Node<P> {
    /// Replaces the seeds, for example since those of the start are down. They are contacted at
    /// once; peers that are known stay so.
    pub fn set_seeds(&self, seeds: &[SocketAddr]) {
        let shared = &self.shared;
        self.peers
            .borrow_mut()
            .set_seeds(shared.settings.control, seeds);
        shared.changed.notify_one();
    }
}

/// Readiness check of the balancer.
struct Readiness<P> {
    shared: Rc<Shared<P>>,
    lifecycle: Lifecycle,
}

impl<P: Platform> Handler for Readiness<P> {
    fn limits(&self) -> Limits {
        Limits::default()
    }

    fn lifecycle(&self) -> &Lifecycle {
        &self.lifecycle
    }

    fn reserve(&self) -> Reservation {
        self.shared.memory.open(Owner::Callers)
    }

    async fn handle(&self, _request: Request, responder: &mut Responder<'_>) -> io::Result<()> {
        let status = if self.shared.is_ready() {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        };
        responder
            .send(status, HeaderMap::new(), &Bytes::new())
            .await
    }
}

/// Starts all tasks of the process. Must be called within an actix system.
pub async fn spawn<P, S>(shared: &Rc<Shared<P>>, store: S) -> Result<Node<P>, Error>
where
    P: Platform,
    S: Store + 'static,
{
    let settings = &shared.settings;
    let host = settings.host.clone();
    let zone = settings.fleet.zone.clone();
    let peers = Peers::new(host, zone, settings.control, &settings.seeds);
    let peers = Rc::new(RefCell::new(peers));
    let readiness = Readiness {
        shared: Rc::clone(shared),
        lifecycle: Lifecycle::default(),
    };
    listen(shared, settings.ready, Rc::new(readiness)).await?;
    let streams = Rc::new(Streams::new(Rc::clone(&peers)));
    let proxy = Rc::new(Proxy {
        shared: Rc::clone(shared),
        streams: Rc::clone(&streams),
        peers: Rc::clone(&peers),
    });
    let control = Control::new(Rc::clone(&proxy));
    listen(shared, settings.control, Rc::new(control)).await?;
    listen(shared, settings.front, proxy).await?;
    if let Some(address) = settings.metrics {
        let exposition = Exposition::new(Rc::clone(shared));
        listen(shared, address, Rc::new(exposition)).await?;
    }
    let store = Rc::new(store);
    supervise_store(shared, &store);
    supervise_peers(shared, &peers, &streams);
    let (state, others) = (Rc::clone(shared), Rc::clone(&peers));
    supervise(&shared.log, "discovery", move || {
        discovery::announce(Rc::clone(&state), Rc::clone(&others), Rc::clone(&store))
    });
    info!(shared.log, "node: started"; "front" => %settings.front);
    Ok(Node {
        shared: Rc::clone(shared),
        peers,
    })
}

/// Runs the tasks that use the store.
fn supervise_store<P, S>(shared: &Rc<Shared<P>>, store: &Rc<S>)
where
    P: Platform,
    S: Store + 'static,
{
    let context = (Rc::clone(shared), Rc::clone(store));
    let (state, source) = context.clone();
    supervise(&shared.log, "watch", move || {
        watch::run(Rc::clone(&state), Rc::clone(&source))
    });
    let (state, source) = context.clone();
    supervise(&shared.log, "configurations", move || {
        peer::fetch_configurations(Rc::clone(&state), Rc::clone(&source))
    });
    let (state, source) = context.clone();
    supervise(&shared.log, "rosters", move || {
        peer::fetch_rosters(Rc::clone(&state), Rc::clone(&source))
    });
    let (state, source) = context.clone();
    supervise(&shared.log, "stream records", move || {
        archive::write_streams(Rc::clone(&state), Rc::clone(&source))
    });
    let (state, source) = context.clone();
    supervise(&shared.log, "version records", move || {
        archive::write_versions(Rc::clone(&state), Rc::clone(&source))
    });
    let (state, source) = context;
    supervise(&shared.log, "record lookups", move || {
        archive::serve_lookups(Rc::clone(&state), Rc::clone(&source))
    });
}

/// Runs the tasks that exchange data with peers or check what can be reached.
fn supervise_peers<P: Platform>(
    shared: &Rc<Shared<P>>,
    peers: &Rc<RefCell<Peers>>,
    streams: &Rc<Streams>,
) {
    let context = (Rc::clone(shared), Rc::clone(peers));
    let (state, origins) = (Rc::clone(shared), Rc::clone(streams));
    supervise(&shared.log, "streams", move || {
        Rc::clone(&origins).copy(Rc::clone(&state))
    });
    let (state, others) = context.clone();
    supervise(&shared.log, "spending", move || {
        peer::state_spending(Rc::clone(&state), Rc::clone(&others))
    });
    let (state, others) = context.clone();
    supervise(&shared.log, "overdrafts", move || {
        peer::hand_over_overdrafts(Rc::clone(&state), Rc::clone(&others))
    });
    actix_rt::spawn(peer::learn_spending(Rc::clone(shared), Rc::clone(peers)));
    let (state, others) = context.clone();
    supervise(&shared.log, "outages", move || {
        peer::report_outages(Rc::clone(&state), Rc::clone(&others))
    });
    let (state, others) = context.clone();
    supervise(&shared.log, "probes", move || {
        probe::run(Rc::clone(&state), Rc::clone(&others))
    });
    let (state, others) = context;
    supervise(&shared.log, "peers", move || {
        peer::run(Rc::clone(&state), Rc::clone(&others))
    });
    let state = Rc::clone(shared);
    supervise(&shared.log, "sweep", move || sweep(Rc::clone(&state)));
}

/// Shuts down gracefully: fails the readiness check, so that the balancer sends no new connections,
/// and returns when no request is in flight or arriving, or the grace period ends.
pub async fn stop<P: Platform>(shared: &Shared<P>) {
    let lifecycle = &shared.lifecycle;
    lifecycle.leave();
    info!(shared.log, "node: leaving"; "open" => lifecycle.in_flight());
    let limit = shared.shutdown_limit();
    // Connections that wait to be accepted at the first check are counted at the second.
    let mut was_done = false;
    loop {
        sleep(POLL_INTERVAL).await;
        let elapsed = lifecycle.leaving_for().unwrap_or_default();
        let is_done = lifecycle.is_deregistered() && lifecycle.is_idle();
        if is_done && was_done || elapsed >= limit {
            break;
        }
        was_done = is_done;
    }
    if lifecycle.in_flight() > 0 {
        warn!(shared.log, "node: requests did not end in time"; "open" => lifecycle.in_flight());
    }
    for (service, spending) in shared.fleet.borrow_mut().spending(shared.now()) {
        info!(shared.log, "retries: spent";
            "service" => service.as_str(), "requests" => spending.requests,
            "retries" => spending.retries);
    }
    info!(shared.log, "node: stopped");
}

async fn listen<P, H>(shared: &Shared<P>, address: SocketAddr, handler: Rc<H>) -> Result<(), Error>
where
    P: Platform,
    H: Handler,
{
    let listener = server::bind(address).await.context(Snafu { address })?;
    let config = shared.http.clone();
    actix_rt::spawn(server::accept(listener, handler, config));
    Ok(())
}

async fn sweep<P: Platform>(shared: Rc<Shared<P>>) {
    loop {
        sleep(SWEEP_INTERVAL).await;
        let fleet = shared.fleet.borrow();
        let is_known = |id: &name::Upstream| fleet.roster().get(id).is_some();
        shared.pool.borrow_mut().sweep(is_known);
    }
}
