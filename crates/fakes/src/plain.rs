//! Fake plain service that echoes request bodies and records its requests.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use actix_web::App;
use actix_web::HttpRequest;
use actix_web::HttpResponse;
use actix_web::HttpServer;
use actix_web::dev::ServerHandle;
use actix_web::web;
use actix_web::web::Bytes;
use actix_web::web::Data;
use futures_util::StreamExt as _;
use futures_util::stream;
use serde_json::json;
use snipeusher::name;
use tokio::task::yield_now;
use tokio::time::sleep;

/// Fault of the next request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The request runs, and the connection closes before the first byte of the response.
    CloseBeforeResponse,
    /// The request runs, and the connection closes within the body of the response.
    Cut,
    /// The response carries this attempt id instead of its own.
    WrongAttempt(String),
    /// The response starts after this time.
    Delay(Duration),
    /// The request is refused with `ran` = `not_run`.
    Refuse,
    /// The request runs, and the service itself responds with status 503.
    Unavailable,
}

/// A request that ran.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// Method and path with query.
    pub line: String,
    /// Value of the header `Idempotency-Key`.
    pub key: Option<String>,
    /// Length of the body in bytes.
    pub bytes: usize,
    /// Whether the request has an `Authorization` header.
    pub has_bearer: bool,
}

#[derive(Debug, Default)]
struct State {
    faults: Vec<Fault>,
    calls: Vec<Call>,
}

/// A running fake service.
#[derive(Debug)]
pub struct Plain {
    address: SocketAddr,
    state: Shared,
    server: ServerHandle,
}

#[derive(Clone, Debug, Default)]
struct Shared(Arc<Mutex<State>>);

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Plain {
    /// Starts an instance of a service on a loopback port that the system picks.
    pub fn bind(service: &name::Service) -> io::Result<Self> {
        let state = Shared::default();
        let data = Data::new((state.clone(), service.clone()));
        let server = HttpServer::new(move || {
            App::new()
                .app_data(Data::clone(&data))
                .default_service(web::to(serve))
        })
        .workers(1)
        .tcp_nodelay(true)
        .disable_signals()
        .shutdown_timeout(5)
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

    /// Address that the service listens on.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Adds a fault to the next request.
    pub fn inject(&self, fault: Fault) {
        self.state.lock().faults.push(fault);
    }

    /// Requests that ran, in order of arrival.
    pub fn calls(&self) -> Vec<Call> {
        self.state.lock().calls.clone()
    }

    /// Stops after the requests in flight have ended.
    pub async fn stop(&self) {
        self.server.stop(true).await;
    }

    /// Stops immediately and closes all open connections.
    pub async fn kill(&self) {
        self.server.stop(false).await;
    }
}

async fn serve(
    request: HttpRequest,
    mut payload: web::Payload,
    data: Data<(Shared, name::Service)>,
) -> HttpResponse {
    let (state, service) = data.get_ref();
    let header = |name: &str| {
        let value = request.headers().get(name);
        value
            .and_then(|value| value.to_str().ok())
            .map(String::from)
    };
    let mut attempt = header("x-attempt-id").unwrap_or_default();
    let faults = std::mem::take(&mut state.lock().faults);
    if faults.contains(&Fault::Refuse) {
        return HttpResponse::ServiceUnavailable()
            .insert_header(("X-Attempt-Id", attempt))
            .insert_header(("Retry-After", 1))
            .content_type("application/problem+json")
            .body(
                json!({ "title": "takes no work", "status": 503, "ran": "not_run" }).to_string(),
            );
    }
    let mut parts = Vec::new();
    while let Some(part) = payload.next().await {
        match part {
            Ok(part) => parts.push(part),
            Err(_) => return HttpResponse::BadRequest().finish(),
        }
    }
    let call = Call {
        line: format!("{} {}", request.method(), request.uri()),
        key: header("idempotency-key"),
        bytes: parts.iter().map(Bytes::len).sum(),
        has_bearer: header("authorization").is_some(),
    };
    state.lock().calls.push(call);
    for fault in &faults {
        match fault {
            Fault::Delay(time) => sleep(*time).await,
            Fault::WrongAttempt(other) => attempt.clone_from(other),
            Fault::CloseBeforeResponse => parts.clear(),
            Fault::Cut | Fault::Refuse | Fault::Unavailable => {}
        }
    }
    if faults.contains(&Fault::Unavailable) {
        return HttpResponse::ServiceUnavailable()
            .insert_header(("X-Attempt-Id", attempt))
            .content_type("application/problem+json")
            .body(json!({ "title": "the desk is closed", "status": 503 }).to_string());
    }
    let is_cut = faults.contains(&Fault::Cut);
    let is_closed_early = is_cut || faults.contains(&Fault::CloseBeforeResponse);
    let end = stream::iter(is_closed_early.then_some(())).then(move |()| async move {
        if is_cut {
            // Lets the server flush the bytes sent so far.
            yield_now().await;
        }
        Err(io::Error::other("broken"))
    });
    let body = stream::iter(parts.into_iter().map(Ok)).chain(end);
    HttpResponse::Ok()
        .insert_header(("X-Attempt-Id", attempt))
        .insert_header(("X-Service", service.as_str()))
        .content_type("application/octet-stream")
        .streaming(body)
}
