//! Runs a request with an idempotency key only if it can claim the key.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use actix_web::HttpRequest;
use actix_web::HttpResponse;
use actix_web::http::StatusCode;
use bytes::Bytes;
use snipeusher::claim::Answer;
use snipeusher::claim::Fingerprint;
use snipeusher::claim::Outcome;
use snipeusher::claim::Verdict;
use snipeusher::policy::Policy;
use snipeusher::request::Ran;
use tokio::sync::oneshot;
use tokio::time::timeout_at;

use super::Decision;
use super::Query;
use super::recorder;
use crate::attempt::Clients;
use crate::chat::ANSWER_BYTES_MAX;
use crate::plain;
use crate::problem::Kind;
use crate::problem::Problem;
use crate::shared::Shared;

/// Header with the caller's idempotency key.
const HEADER: &str = "idempotency-key";
/// `Retry-After` for a key whose earlier request is still running or that cannot be claimed.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// The idempotency key of a request, if it has one.
pub(crate) fn key(request: &HttpRequest) -> Result<Option<String>, Problem> {
    let Some(value) = request.headers().get(HEADER) else {
        return Ok(None);
    };
    let text = value.to_str().map_err(|_error| {
        Problem::not_run(Kind::InvalidKey, "an idempotency key is visible ASCII text")
    })?;
    Ok(Some(text.to_owned()))
}

/// A request with an idempotency key that is not claimed yet.
pub(crate) struct Guard<'a> {
    pub(crate) shared: &'a Arc<Shared>,
    pub(crate) clients: &'a Clients,
    pub(crate) policy: &'a Policy,
    pub(crate) request: &'a HttpRequest,
    pub(crate) key: String,
    pub(crate) body: Bytes,
    pub(crate) deadline: Instant,
}

impl Guard<'_> {
    /// Runs the request if its key can be claimed, and records its outcome.
    pub(crate) async fn run(
        self,
        work: impl Future<Output = Result<HttpResponse, Problem>>,
    ) -> Result<HttpResponse, Problem> {
        match self.decide().await? {
            Decision::Run(mut ticket) => {
                ticket.start();
                match work.await {
                    Ok(response) => Ok(recorder::record(response, ticket)),
                    Err(problem) => {
                        ticket.end(match problem.ran {
                            Ran::NotRun => Outcome::NotRun,
                            Ran::Unknown => Outcome::Unknown,
                        });
                        Err(problem)
                    }
                }
            }
            Decision::Forward(address) => self.forward(&address.to_string()).await,
            Decision::Respond(verdict) => respond(verdict),
        }
    }

    async fn decide(&self) -> Result<Decision, Problem> {
        let path = self.request.uri().path_and_query();
        let path = path.map_or("/", |path| path.as_str());
        let (sender, receiver) = oneshot::channel();
        self.shared.claimer.do_send(Query {
            request: self.shared.next_id(),
            workspace: self.policy.workspace.clone(),
            key: self.key.clone(),
            fingerprint: Fingerprint::of(self.request.method().as_str(), path, &self.body),
            deadline: self.shared.time(self.deadline),
            decision: sender,
        });
        let decision = timeout_at(self.deadline.into(), receiver).await;
        decision.map_or_else(
            |_elapsed| Err(claims_unavailable(RETRY_AFTER)),
            |decision| decision.map_err(|_stopped| claims_unavailable(RETRY_AFTER)),
        )
    }

    /// Forwards the request to the router that issued its key.
    async fn forward(&self, address: &str) -> Result<HttpResponse, Problem> {
        let unreachable = |text: &str| Problem::unknown(Kind::OutcomeUnknown, text);
        let path = self.request.uri().path_and_query();
        let path = path.map_or("/", |path| path.as_str());
        let url = format!("http://{address}{path}");
        let method = self.request.method().clone();
        let mut call = self.clients.fresh.request(method, url);
        for (name, value) in plain::end_to_end(self.request.headers()) {
            call = call.append_header((name.clone(), value.clone()));
        }
        if let Some(value) = self.request.headers().get("authorization") {
            call = call.insert_header(("authorization", value.clone()));
        }
        let remaining = self.deadline.saturating_duration_since(Instant::now());
        let call =
            call.insert_header((plain::DEADLINE_MS, remaining.as_millis().max(1).to_string()));
        let work = async {
            let mut response = call.send_body(self.body.clone()).await.ok()?;
            let body = response.body().limit(ANSWER_BYTES_MAX).await.ok()?;
            let mut head = HttpResponse::build(response.status());
            for (name, value) in plain::end_to_end(response.headers()) {
                head.append_header((name.clone(), value.clone()));
            }
            Some(head.body(body))
        };
        let response = timeout_at(self.deadline.into(), work).await;
        response
            .ok()
            .flatten()
            .ok_or_else(|| unreachable("the router that issued the key does not answer"))
    }
}

fn claims_unavailable(retry_after: Duration) -> Problem {
    let detail = "the key cannot be claimed now; this request was not run";
    Problem::not_run(Kind::ClaimsUnavailable, detail).retry_after(retry_after)
}

/// The response to a request that is not run.
fn respond(verdict: Verdict) -> Result<HttpResponse, Problem> {
    Err(match verdict {
        Verdict::Answer(answer) => return replay(answer),
        Verdict::Unknown | Verdict::Forward(_) | Verdict::Run => {
            let detail = "an earlier request with this key may have run";
            Problem::unknown(Kind::OutcomeUnknown, detail)
        }
        Verdict::Running => {
            let detail = "an earlier request with this key still runs";
            Problem::unknown(Kind::KeyInUse, detail).retry_after(RETRY_AFTER)
        }
        Verdict::Mismatch => {
            let detail = "the key was used for another request; this one was not run";
            Problem::not_run(Kind::KeyMismatch, detail)
        }
        Verdict::Invalid(detail) => Problem::not_run(Kind::InvalidKey, detail),
        Verdict::Refused { retry_after } => claims_unavailable(retry_after),
    })
}

/// Returns the recorded response of the first request with the key.
fn replay(answer: Answer) -> Result<HttpResponse, Problem> {
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::OK);
    let Some(body) = answer.body else {
        let detail = format!(
            "an earlier request with this key ran and was answered with status {status}; \
             its answer was too large to keep"
        );
        return Err(Problem::unknown(Kind::AnswerNotKept, detail));
    };
    let mut head = HttpResponse::build(status);
    if let Some(content_type) = answer.content_type {
        head.content_type(content_type);
    }
    Ok(head.body(body.to_vec()))
}
