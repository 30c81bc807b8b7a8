//! The HTTP server: the routes of callers, peers and operators.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;

use actix_web::App;
use actix_web::HttpRequest;
use actix_web::HttpResponse;
use actix_web::HttpServer;
use actix_web::dev::Server;
use actix_web::web;
use serde_json::json;
use snipeusher::wire::FRAME_BYTES_MAX;

use crate::attempt::Clients;
use crate::call;
use crate::chat;
use crate::claims::IssueKey;
use crate::dispatch::Report;
use crate::gossip;
use crate::gossip::Receive;
use crate::plain;
use crate::problem::Kind;
use crate::problem::Problem;
use crate::shared::Shared;

/// Opens the listener and builds the server, which the caller must run.
pub(crate) fn bind(
    shared: &web::Data<Shared>,
    tls: Option<rustls::ServerConfig>,
) -> io::Result<(SocketAddr, Server)> {
    let settings = &shared.settings;
    let data = web::Data::clone(shared);
    let server = HttpServer::new(move || {
        App::new()
            .app_data(web::Data::clone(&data))
            .app_data(web::ThinData(Clients::new(&data.transport)))
            .configure(routes)
    })
    .workers(settings.workers)
    .keep_alive(settings.keep_alive)
    .h1_allow_half_closed(false)
    // Events of a stream are small writes; Nagle's algorithm together with delayed acknowledgements
    // would delay each pair of them by 40 ms.
    .tcp_nodelay(true)
    .disable_signals()
    .shutdown_timeout(settings.drain_timeout.as_secs().max(1));
    let server = match tls {
        Some(tls) => server.bind_rustls_0_23(settings.listen, tls)?,
        None => server.bind(settings.listen)?,
    };
    let address = server.addrs()[0];
    Ok((address, server.run()))
}

fn routes(config: &mut web::ServiceConfig) {
    let resource = |path, route: actix_web::Route| {
        web::resource(path)
            .route(route)
            .default_service(web::to(wrong_method))
    };
    config
        // Larger frames are refused before they are buffered.
        .app_data(web::PayloadConfig::new(FRAME_BYTES_MAX))
        .service(resource("/v1/chat/completions", web::post().to(chat::chat)))
        .service(resource(
            "/v1/completions",
            web::post().to(chat::completion),
        ))
        .service(resource("/v1/models", web::get().to(chat::models)))
        .service(resource("/v1/idempotency-keys", web::post().to(issue_key)))
        .service(resource(gossip::PATH, web::post().to(receive_frame)))
        .service(resource("/healthz", web::get().to(health)))
        .service(resource("/readyz", web::get().to(ready)))
        .service(resource("/status", web::get().to(status)))
        .default_service(web::to(plain::serve));
}

/// Receives a frame of a peer. The response does not depend on whether the frame is accepted, so
/// that it reveals nothing to an unauthenticated sender.
async fn receive_frame(
    request: HttpRequest,
    body: web::Bytes,
    shared: web::Data<Shared>,
) -> HttpResponse {
    let proof = request.headers().get(gossip::PROOF_HEADER);
    let proof = proof
        .and_then(|proof| proof.to_str().ok())
        .unwrap_or_default();
    if let Some(gossip) = shared.gossip.get() {
        gossip.do_send(Receive {
            body: body.to_vec(),
            proof: proof.to_owned(),
        });
    }
    HttpResponse::NoContent().finish()
}

/// Issues an idempotency key whose requests only this process executes, so that issuing works while
/// the key-value service is unavailable.
async fn issue_key(
    request: HttpRequest,
    shared: web::Data<Shared>,
) -> Result<HttpResponse, Problem> {
    call::authenticate(&shared, &request)?;
    let key =
        shared.claimer.send(IssueKey).await.map_err(|_stopped| {
            Problem::not_run(Kind::ShuttingDown, "the router takes no new work")
        })?;
    Ok(HttpResponse::Ok().json(json!({ "key": key })))
}

async fn wrong_method() -> Result<HttpResponse, Problem> {
    let detail = "see the documentation of the path";
    Err(Problem::not_run(Kind::WrongMethod, detail))
}

async fn health(shared: web::Data<Shared>) -> HttpResponse {
    if shared.leaving.load(Ordering::SeqCst) {
        HttpResponse::ServiceUnavailable().body("leaving\n")
    } else {
        HttpResponse::Ok().body("ok\n")
    }
}

async fn ready(shared: web::Data<Shared>) -> HttpResponse {
    let leaving = shared.leaving.load(Ordering::SeqCst);
    // Without the key-value service, the documents of a folder make the router ready.
    let is_configured = match &shared.configuration {
        Some(status) => status.borrow().ready,
        None => !shared.directory.borrow().is_empty(),
    };
    if leaving || !is_configured {
        HttpResponse::ServiceUnavailable().body("not ready\n")
    } else {
        HttpResponse::Ok().body("ready\n")
    }
}

async fn status(shared: web::Data<Shared>) -> HttpResponse {
    let Ok(mut report) = shared.dispatcher.send(Report).await else {
        return HttpResponse::ServiceUnavailable().finish();
    };
    report["host"] = json!(shared.settings.host);
    report["zone"] = json!(shared.settings.zone);
    report["region"] = json!(shared.settings.region);
    report["leaving"] = shared.leaving.load(Ordering::SeqCst).into();
    report["open"] = shared.open_requests.load(Ordering::SeqCst).into();
    if let Some(status) = &shared.configuration {
        report["configuration"] = json!(**status.borrow());
    }
    report["counts"] = shared.counts.report();
    HttpResponse::Ok().json(report)
}
