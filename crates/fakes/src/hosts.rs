//! Fake of the platform's host list, which may be out of date.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use actix_web::App;
use actix_web::HttpResponse;
use actix_web::HttpServer;
use actix_web::dev::ServerHandle;
use actix_web::web;
use actix_web::web::Data;
use serde::Serialize;

/// Entry of the host list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Host {
    /// Host name.
    pub name: String,
    /// Socket address, `IP:port`.
    pub address: String,
    /// Availability zone.
    pub zone: String,
    /// Region.
    pub region: String,
    /// `router`, `engine` or the name of a plain service.
    pub role: String,
    /// Whether the platform is removing the host.
    pub leaving: bool,
    /// Time of the last change of state, in milliseconds since the Unix epoch.
    pub since_ms: u64,
}

#[derive(Debug, Default)]
struct State {
    hosts: Vec<Host>,
    reads: u64,
    is_down: bool,
}

#[derive(Clone, Debug, Default)]
struct Shared(Arc<Mutex<State>>);

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A running fake host list.
#[derive(Debug)]
pub struct Hosts {
    address: SocketAddr,
    state: Shared,
    server: ServerHandle,
}

impl Hosts {
    /// Starts an empty list on a loopback port that the system picks.
    pub fn bind() -> io::Result<Self> {
        let state = Shared::default();
        let data = Data::new(state.clone());
        let server = HttpServer::new(move || {
            App::new()
                .app_data(Data::clone(&data))
                .route("/v1/hosts", web::get().to(list))
        })
        .workers(1)
        .disable_signals()
        .shutdown_timeout(1)
        .bind(("127.0.0.1", 0))?;
        let address = server.addrs()[0];
        let running = server.run();
        let server = running.handle();
        actix_rt::spawn(running);
        Ok(Self {
            address,
            state,
            server,
        })
    }

    /// URL of the list.
    pub fn url(&self) -> String {
        format!("http://{}/v1/hosts", self.address)
    }

    /// Replaces the list. Until then it stays as it is, so that a test can simulate a stale list.
    pub fn set(&self, hosts: Vec<Host>) {
        self.state.lock().hosts = hosts;
    }

    /// Sets whether reads fail.
    pub fn set_down(&self, is_down: bool) {
        self.state.lock().is_down = is_down;
    }

    /// Number of reads so far, failed ones included.
    pub fn reads(&self) -> u64 {
        self.state.lock().reads
    }

    /// Stops immediately.
    pub async fn stop(&self) {
        self.server.stop(false).await;
    }
}

async fn list(state: Data<Shared>) -> HttpResponse {
    let mut state = state.lock();
    state.reads += 1;
    if state.is_down {
        return HttpResponse::ServiceUnavailable().finish();
    }
    HttpResponse::Ok().json(&state.hosts)
}
