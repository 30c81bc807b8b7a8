//! Chats and completions, with the response in one body or as server-sent events.

use std::sync::Arc;

use actix_web::HttpRequest;
use actix_web::HttpResponse;
use actix_web::HttpResponseBuilder;
use actix_web::http::StatusCode;
use actix_web::web;
use bytes::Bytes;
use serde_json::json;
use snipeusher::machine::Outcome;

use crate::attempt;
use crate::attempt::Clients;
use crate::attempt::Reply;
use crate::call;
use crate::call::Call;
use crate::call::Endpoint;
use crate::claims;
use crate::claims::Guard;
use crate::dispatch::Dispatch;
use crate::problem::Kind;
use crate::problem::Problem;
use crate::session::Session;
use crate::session::Stop;
use crate::shared::OpenRequest;
use crate::shared::Shared;
use crate::stream;

/// Largest response body that is not streamed.
pub(crate) const ANSWER_BYTES_MAX: usize = 32 << 20;

/// Serves `POST /v1/chat/completions`.
pub(crate) async fn chat(
    request: HttpRequest,
    payload: web::Payload,
    shared: web::Data<Shared>,
    clients: web::ThinData<Clients>,
) -> Result<HttpResponse, Problem> {
    serve(
        request,
        payload,
        shared.into_inner(),
        clients.0,
        Endpoint::Chat,
    )
    .await
}

/// Serves `POST /v1/completions`.
pub(crate) async fn completion(
    request: HttpRequest,
    payload: web::Payload,
    shared: web::Data<Shared>,
    clients: web::ThinData<Clients>,
) -> Result<HttpResponse, Problem> {
    let endpoint = Endpoint::Completion;
    serve(request, payload, shared.into_inner(), clients.0, endpoint).await
}

/// Serves `GET /v1/models`.
pub(crate) async fn models(
    request: HttpRequest,
    shared: web::Data<Shared>,
) -> Result<HttpResponse, Problem> {
    let caller = call::authenticate(&shared, &request)?;
    let models: Vec<_> = caller
        .policy
        .models
        .iter()
        .map(|(model, allowed)| {
            json!({
                "id": model,
                "object": "model",
                "owned_by": caller.policy.workspace,
                "versions": allowed.versions,
                "adapters": allowed.adapters,
            })
        })
        .collect();
    Ok(HttpResponse::Ok().json(json!({ "object": "list", "data": models })))
}

async fn serve(
    request: HttpRequest,
    mut payload: web::Payload,
    shared: Arc<Shared>,
    clients: Clients,
    endpoint: Endpoint,
) -> Result<HttpResponse, Problem> {
    let open = OpenRequest::try_new(&shared).ok_or_else(shutting_down)?;
    let caller = call::authenticate(&shared, &request)?;
    let (_, class) = caller.class(&request, &caller.policy.default_class)?;
    let deadline = caller.deadline(&request, class)?;
    let limit = caller.policy.limits.body_bytes;
    let body = call::read_body(&request, &mut payload, limit, deadline).await?;
    let original_body = body.clone();
    let call = Call::parse(&shared, &caller, &request, endpoint, body, deadline)?;
    let key = if call.request.idempotent {
        None
    } else {
        claims::key(&request)?
    };
    let session_clients = clients.clone();
    let work = async {
        let request = call.request.clone();
        let session = Session::submit(&shared, open, request, caller.arrived, deadline);
        if call.streamed {
            stream::open(session, call, session_clients).await
        } else {
            respond(session, call, session_clients).await
        }
    };
    let Some(key) = key else {
        return work.await;
    };
    let guard = Guard {
        shared: &shared,
        clients: &clients,
        policy: &caller.policy,
        request: &request,
        key,
        body: original_body,
        deadline,
    };
    guard.run(work).await
}

pub(crate) fn shutting_down() -> Problem {
    let detail = "the router takes no new work";
    Problem::not_run(Kind::ShuttingDown, detail).retry_after(std::time::Duration::from_secs(1))
}

/// Sends one attempt of a call and checks the head of the response.
pub(crate) async fn send(
    shared: &Arc<Shared>,
    call: &Call,
    body: Bytes,
    dispatch: &Dispatch,
    clients: &Clients,
) -> Result<Reply, Outcome> {
    let url = format!("http://{}{}", dispatch.address, call.path);
    let request = clients.select(call.request.idempotent).post(url);
    let mut request = attempt::headers(request, dispatch, call.deadline)
        .insert_header(("content-type", "application/json"));
    if let Some(chat) = call.request.chat {
        request = request.insert_header((attempt::CHAT, format!("{:016x}", chat.0)));
    }
    let response = request.send_body(body).await;
    let response = response.map_err(|error| attempt::failure(&error))?;
    let reply = attempt::verify(shared, dispatch, response).await?;
    if reply.response.status().is_server_error() {
        return Err(Outcome::Broken);
    }
    Ok(reply)
}

/// The status and headers of a response to the caller, which name the upstream and the attempt.
pub(crate) fn response_head(
    status: StatusCode,
    dispatch: &Dispatch,
    cached_tokens: Option<u64>,
) -> HttpResponseBuilder {
    let mut response = HttpResponse::build(status);
    response
        .insert_header(("X-Upstream", dispatch.upstream.as_str()))
        .insert_header(("X-Attempt", dispatch.attempt.to_string()));
    if let Some(cached_tokens) = cached_tokens {
        response.insert_header(("X-Cached-Tokens", cached_tokens));
    }
    response
}

/// Responds in one body.
async fn respond(
    mut session: Session,
    call: Call,
    clients: Clients,
) -> Result<HttpResponse, Problem> {
    loop {
        let dispatch = session.next().await?;
        let shared = Arc::clone(session.shared());
        let work = async {
            let body = call.body.clone();
            let mut reply = send(&shared, &call, body, &dispatch, &clients).await?;
            let body = reply.read_body(ANSWER_BYTES_MAX).await;
            body.map(|body| (reply.response, body))
                .ok_or(Outcome::Broken)
        };
        match session.race(work).await {
            Ok(Ok((response, body))) => {
                let cached = attempt::cached_tokens(&response);
                session.record_progress();
                session.report_output(call.request.output_tokens, cached);
                session.finish(Outcome::Complete);
                let mut head = response_head(response.status(), &dispatch, cached);
                if let Some(content_type) = attempt::header_text(response.headers(), "content-type")
                {
                    head.content_type(content_type);
                }
                return Ok(head.body(body));
            }
            Ok(Err(outcome)) => session.finish(outcome),
            Err(Stop::Cancelled) => {}
            Err(Stop::Refused(problem)) => return Err(problem),
        }
    }
}
