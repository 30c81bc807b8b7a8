//! HTTP handlers of the fake engine.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use actix_web::App;
use actix_web::HttpRequest;
use actix_web::HttpResponse;
use actix_web::HttpServer;
use actix_web::dev::ServerHandle;
use actix_web::web;
use actix_web::web::Data;
use serde::Deserialize;
use serde_json::Value;
use serde_json::json;
use tokio::time::sleep;

use crate::engine::Call;
use crate::engine::Fault;
use crate::engine::Run;
use crate::engine::Shared;
use crate::engine::State;
use crate::engine::stream;
use crate::engine::text;
use crate::engine::text::Prompt;
use crate::engine::work::Reading;

/// Largest accepted request body.
const BODY_BYTES_MAX: usize = 16 << 20;
/// Work of one output token, in prompt tokens.
const OUTPUT_TOKEN_WORK: u64 = 4;

pub(crate) fn bind(state: Shared, address: SocketAddr) -> io::Result<(SocketAddr, ServerHandle)> {
    let tls = state.lock().options.tls.clone();
    let data = Data::new(state);
    let server = HttpServer::new(move || {
        App::new()
            .app_data(Data::clone(&data))
            .app_data(web::PayloadConfig::new(BODY_BYTES_MAX))
            .route("/v1/chat/completions", web::post().to(chat))
            .route("/v1/completions", web::post().to(completion))
            .route("/engine/v1/status", web::get().to(status))
            .route("/engine/v1/cache-events", web::get().to(cache_events))
            .route("/engine/v1/orders", web::post().to(orders))
            .route("/engine/v1/cancel", web::post().to(cancel))
            .route("/engine/v1/resume/{attempt}", web::get().to(resume))
    })
    .workers(1)
    .tcp_nodelay(true)
    .disable_signals()
    .shutdown_timeout(5);
    let server = match tls {
        Some(tls) => server.bind_rustls_0_23(address, tls)?,
        None => server.bind(address)?,
    };
    let address = server.addrs()[0];
    let server = server.run();
    let handle = server.handle();
    actix_rt::spawn(server);
    Ok((address, handle))
}

/// Guard that counts a request as running until it is dropped.
#[derive(Debug)]
pub(crate) struct Running {
    state: Shared,
    attempt: String,
}

impl Running {
    fn start(state: &Shared, attempt: &str, run: Run) -> Self {
        let mut locked = state.lock();
        locked.running += 1;
        locked.counts.started += 1;
        locked.counts.max_running = locked.counts.max_running.max(locked.running);
        locked.runs.insert(attempt.to_owned(), run);
        locked.record_load();
        drop(locked);
        Self {
            state: state.clone(),
            attempt: attempt.to_owned(),
        }
    }

    pub(crate) fn attempt(&self) -> &str {
        &self.attempt
    }

    pub(crate) fn is_cancelled(&self) -> bool {
        let state = self.state.lock();
        state
            .runs
            .get(&self.attempt)
            .is_some_and(|run| run.cancelled)
    }

    /// Counts the request as finished, once its last byte was handed to the socket.
    pub(crate) fn finish(&self) {
        self.state.lock().counts.finished += 1;
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        let mut state = self.state.lock();
        state.running -= 1;
        if let Some(run) = state.runs.get_mut(&self.attempt) {
            run.work = 0;
        }
        state.record_load();
    }
}

impl State {
    /// Returns the faults of the next request, and removes those that are not persistent.
    fn take_faults(&mut self) -> Vec<Fault> {
        let faults = self.faults.clone();
        self.faults.retain(Fault::is_persistent);
        faults
    }

    fn record_load(&mut self) {
        let reading = Reading {
            work: self.runs.values().map(|run| run.work).sum(),
            running: self.running,
        };
        self.reports.record(reading, self.options.report_lag);
    }
}

async fn chat(request: HttpRequest, body: web::Bytes, state: Data<Shared>) -> HttpResponse {
    complete(request, body, state, true).await
}

async fn completion(request: HttpRequest, body: web::Bytes, state: Data<Shared>) -> HttpResponse {
    complete(request, body, state, false).await
}

fn header<'a>(request: &'a HttpRequest, name: &str) -> &'a str {
    let value = request.headers().get(name);
    value.and_then(|value| value.to_str().ok()).unwrap_or("")
}

fn not_run(status: u16, title: &str, retry_after: u64) -> HttpResponse {
    let code = actix_web::http::StatusCode::from_u16(status).expect("a valid status");
    HttpResponse::build(code)
        .insert_header(("Retry-After", retry_after))
        .content_type("application/problem+json")
        .body(json!({ "title": title, "status": status, "ran": "not_run" }).to_string())
}

async fn complete(
    request: HttpRequest,
    body: web::Bytes,
    state: Data<Shared>,
    is_chat: bool,
) -> HttpResponse {
    let attempt = header(&request, "x-attempt-id").to_owned();
    let chat = header(&request, "x-chat-id").to_owned();
    let call = Call {
        attempt: attempt.clone(),
        chat: chat.clone(),
        priority: header(&request, "x-priority").parse().unwrap_or_default(),
        deadline_ms: header(&request, "x-deadline-ms")
            .parse()
            .unwrap_or_default(),
    };
    let Ok(body) = serde_json::from_slice::<Value>(&body) else {
        return HttpResponse::BadRequest().body("the body is no JSON");
    };
    let faults = {
        let mut locked = state.lock();
        locked.calls.push(call);
        locked.take_faults()
    };
    for fault in &faults {
        match fault {
            Fault::Refuse(seconds) => {
                let mut refusal = not_run(503, "the engine takes no work", *seconds);
                let value = attempt.parse().expect("an attempt id is a header value");
                let name = actix_web::http::header::HeaderName::from_static("x-attempt-id");
                refusal.headers_mut().insert(name, value);
                return refusal;
            }
            Fault::Fail => {
                return HttpResponse::InternalServerError()
                    .insert_header(("X-Attempt-Id", attempt))
                    .body("the engine failed");
            }
            Fault::Dead => return stream::close_before_head(),
            _ => {}
        }
    }
    let prompt = Prompt::from_body(&body);
    let limit = body["max_tokens"].as_u64().unwrap_or(text::ANSWER_TOKENS);
    let words = prompt.answer(limit);
    let model = body["model"].as_str().unwrap_or_default().to_owned();
    let (cached, options) = {
        let mut locked = state.lock();
        let blocks = prompt.blocks(&words.concat());
        let cached = locked.cache.lookup(&blocks).min(prompt.tokens());
        locked.cache.store(&chat, &blocks);
        (cached, locked.options.clone())
    };
    let reply = stream::Reply {
        attempt: attempt.clone(),
        model,
        is_chat,
        words,
        prompt_tokens: prompt.tokens(),
        cached,
    };
    let reply = Arc::new(reply);
    let run = Run {
        reply: Arc::clone(&reply),
        cancelled: false,
        work: (prompt.tokens() - cached) + reply.words.len() as u64 * OUTPUT_TOKEN_WORK,
    };
    let running = Running::start(&state, &attempt, run);
    sleep_for(options.prefill_token * (prompt.tokens() - cached) as u32).await;
    for fault in &faults {
        match fault {
            Fault::Delay(time) => sleep(*time).await,
            Fault::CloseBeforeResponse => return stream::close_before_head(),
            _ => {}
        }
    }
    let is_streamed = body["stream"].as_bool() == Some(true);
    if !is_streamed {
        sleep_for(options.output_token * reply.words.len() as u32).await;
    }
    let wrong_attempt = faults.iter().find_map(|fault| match fault {
        Fault::WrongAttempt(other) => Some(other.clone()),
        _ => None,
    });
    let mut response = HttpResponse::Ok();
    response
        .insert_header((
            "X-Attempt-Id",
            wrong_attempt.unwrap_or_else(|| attempt.clone()),
        ))
        .insert_header(("X-Cached-Tokens", cached));
    if is_streamed {
        let sender = stream::Sender::new(running, reply, 0, options.output_token, faults);
        return response
            .content_type("text/event-stream")
            .streaming(sender.stream());
    }
    let body = reply.body();
    if faults.iter().any(|fault| matches!(fault, Fault::Cut(_))) {
        return stream::close_within_body(response, body);
    }
    running.finish();
    response.content_type("application/json").body(body)
}

async fn sleep_for(time: Duration) {
    if !time.is_zero() {
        sleep(time).await;
    }
}

async fn status(state: Data<Shared>) -> HttpResponse {
    let mut state = state.lock();
    if state.faults.contains(&Fault::Dead) {
        return stream::close_before_head();
    }
    let lag = state.options.report_lag;
    let (sequence, reading) = state.reports.read(lag);
    let variants: Vec<_> = state.options.variants.clone();
    HttpResponse::Ok().json(json!({
        "name": state.options.name,
        "incarnation": state.options.incarnation,
        "phase": state.phase,
        "variants": variants,
        "report": {
            "incarnation": state.options.incarnation,
            "sequence": sequence,
            "work": reading.work,
            "running": reading.running,
            "queued": 0,
            "age_ms": lag.as_millis() as u32,
        },
    }))
}

#[derive(Debug, Deserialize)]
struct After {
    #[serde(default)]
    after: u64,
}

async fn cache_events(query: web::Query<After>, state: Data<Shared>) -> HttpResponse {
    let state = state.lock();
    HttpResponse::Ok().json(json!({
        "incarnation": state.options.incarnation,
        "events": state.cache.events(query.after),
    }))
}

/// Order to load exactly these variants.
#[derive(Debug, Deserialize)]
struct Order {
    fencing_token: u64,
    variants: Vec<snipeusher::request::Variant>,
}

async fn orders(order: web::Json<Order>, state: Data<Shared>) -> HttpResponse {
    let mut state = state.lock();
    if state.options.checks_fencing && order.fencing_token < state.fencing {
        return HttpResponse::Conflict()
            .json(json!({ "title": "old fencing token", "fencing_token": state.fencing }));
    }
    state.fencing = state.fencing.max(order.fencing_token);
    state.options.variants.clone_from(&order.variants);
    HttpResponse::Accepted().json(json!({ "fencing_token": state.fencing }))
}

#[derive(Debug, Deserialize)]
struct Cancel {
    attempt: String,
}

async fn cancel(order: web::Json<Cancel>, state: Data<Shared>) -> HttpResponse {
    let mut state = state.lock();
    let Some(run) = state.runs.get_mut(&order.attempt) else {
        return HttpResponse::NotFound().finish();
    };
    run.cancelled = true;
    state.counts.cancelled += 1;
    HttpResponse::NoContent().finish()
}

async fn resume(
    attempt: web::Path<String>,
    query: web::Query<After>,
    state: Data<Shared>,
) -> HttpResponse {
    let attempt = attempt.into_inner();
    let (run, token_interval) = {
        let mut locked = state.lock();
        if locked.faults.contains(&Fault::Dead) {
            return stream::close_before_head();
        }
        if locked.faults.contains(&Fault::NoResume) {
            return HttpResponse::NotFound().finish();
        }
        let Some(run) = locked.runs.get(&attempt).cloned() else {
            return HttpResponse::NotFound().finish();
        };
        locked.counts.resumed += 1;
        (run, locked.options.output_token)
    };
    let reply = Arc::clone(&run.reply);
    let running = Running::start(&state, &attempt, run);
    let sender = stream::Sender::new(running, reply, query.after, token_interval, Vec::new());
    HttpResponse::Ok()
        .insert_header(("X-Attempt-Id", attempt))
        .content_type("text/event-stream")
        .streaming(sender.stream())
}
