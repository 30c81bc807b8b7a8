//! Errors returned to callers, as RFC 9457 problem documents.
//!
//! The `type` of each is stable; the member `ran` states whether the request may have run.

use std::fmt;
use std::time::Duration;

use actix_web::HttpResponse;
use actix_web::ResponseError;
use actix_web::http::StatusCode;
use actix_web::http::header;
use actix_web::http::header::HeaderValue;
use serde_json::Value;
use serde_json::json;
use snipeusher::request::Ran;

/// Media type of a problem document.
pub const MEDIA_TYPE: &str = "application/problem+json";

macro_rules! kinds {
    ($($(#[$doc:meta])* $kind:ident $slug:literal $status:literal $title:literal)*) => {
        /// The kind of a problem, which determines its type, status and title.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
        pub enum Kind {
            $($(#[$doc])* $kind,)*
        }

        impl Kind {
            /// All kinds, in the order of their declaration.
            pub const ALL: &[Self] = &[$(Self::$kind,)*];

            /// The last part of the `type` URN, which never changes.
            pub const fn slug(self) -> &'static str {
                match self {
                    $(Self::$kind => $slug,)*
                }
            }

            /// The HTTP status code.
            pub const fn status(self) -> u16 {
                match self {
                    $(Self::$kind => $status,)*
                }
            }

            /// A short description, the same for all problems of this kind.
            pub const fn title(self) -> &'static str {
                match self {
                    $(Self::$kind => $title,)*
                }
            }
        }
    };
}

kinds! {
    /// The bearer key is missing or belongs to no workspace.
    UnknownKey "unknown-key" 401 "The bearer key is not known"
    /// The workspace has no service under the path.
    UnknownPath "unknown-path" 404 "The workspace has no service under this path"
    /// The path does not allow the method.
    WrongMethod "wrong-method" 405 "The path does not take this method"
    /// The workspace may not use the model.
    ModelNotAllowed "model-not-allowed" 403 "The workspace may not use this model"
    /// The workspace may not use the version.
    VersionNotAllowed "version-not-allowed" 403 "The workspace may not use this version"
    /// The workspace may not use the adapter.
    AdapterNotAllowed "adapter-not-allowed" 403 "The workspace may not use this adapter"
    /// The workspace's template does not define the class.
    UnknownClass "unknown-class" 400 "The workspace has no such class"
    /// A header has an invalid value.
    MalformedHeader "malformed-header" 400 "A header has no valid value"
    /// The headers exceed the size limit.
    HeaderTooLong "header-too-long" 431 "The header lines are too long"
    /// The body is not valid for the endpoint.
    MalformedBody "malformed-body" 400 "The body is not valid"
    /// The body exceeds the size limit of the workspace.
    BodyTooLarge "body-too-large" 413 "The body is too large"
    /// The body did not arrive before the deadline.
    BodyTooSlow "body-too-slow" 408 "The body did not arrive in time"
    /// No upstream is available for the target.
    NoUpstream "no-upstream" 503 "No upstream serves this now"
    /// The queue of the class is full.
    QueueFull "queue-full" 429 "Too many requests wait"
    /// The request would wait beyond its deadline.
    TooLate "too-late" 503 "The request could not start before its deadline"
    /// All allowed attempts failed.
    AttemptsFailed "attempts-failed" 502 "The upstream failed"
    /// The deadline passed before the response was complete.
    DeadlineExceeded "deadline-exceeded" 504 "The deadline passed"
    /// The idempotency key is malformed or not accepted.
    InvalidKey "invalid-idempotency-key" 400 "The idempotency key is not valid"
    /// The idempotency key was used for another request.
    KeyMismatch "idempotency-key-mismatch" 422 "The idempotency key was used for another request"
    /// A request with the idempotency key is still running.
    KeyInUse "idempotency-key-in-use" 409 "A request with this idempotency key still runs"
    /// An earlier request with the idempotency key may have run.
    OutcomeUnknown "outcome-unknown" 409 "A request with this idempotency key may have run"
    /// An earlier request with the idempotency key ran, but its response was not stored.
    AnswerNotKept "answer-not-kept" 409 "A request with this idempotency key ran before"
    /// Idempotency keys cannot be claimed at the moment.
    ClaimsUnavailable "claims-unavailable" 503 "Idempotency keys cannot be claimed now"
    /// The router is shutting down.
    ShuttingDown "shutting-down" 503 "The router is shutting down"
}

/// A failed request, as reported to its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// The kind of the problem.
    pub kind: Kind,
    /// Description of this occurrence.
    pub detail: String,
    /// Whether the request may have run.
    pub ran: Ran,
    /// How long the caller should wait before a retry.
    pub retry_after: Option<Duration>,
}

impl Problem {
    /// Creates a problem of a request that did not run.
    pub fn not_run(kind: Kind, detail: impl Into<String>) -> Self {
        Self {
            kind,
            detail: detail.into(),
            ran: Ran::NotRun,
            retry_after: None,
        }
    }

    /// Creates a problem of a request that may have run.
    pub fn unknown(kind: Kind, detail: impl Into<String>) -> Self {
        Self {
            ran: Ran::Unknown,
            ..Self::not_run(kind, detail)
        }
    }

    /// Sets how long the caller should wait before a retry.
    #[must_use]
    pub fn retry_after(self, after: Duration) -> Self {
        Self {
            retry_after: Some(after),
            ..self
        }
    }

    /// The problem document as JSON.
    pub fn document(&self) -> Value {
        json!({
            "type": format!("urn:snipeusher:problem:{}", self.kind.slug()),
            "title": self.kind.title(),
            "status": self.kind.status(),
            "detail": self.detail,
            "ran": self.ran,
        })
    }
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.kind.title(), self.detail)
    }
}

impl ResponseError for Problem {
    fn status_code(&self) -> StatusCode {
        StatusCode::from_u16(self.kind.status()).expect("the table holds valid statuses")
    }

    fn error_response(&self) -> HttpResponse {
        let mut response = HttpResponse::build(self.status_code());
        response.content_type(MEDIA_TYPE);
        if let Some(after) = self.retry_after {
            // Rounded up to whole seconds, so that the caller does not retry too early.
            let seconds = after.as_millis().div_ceil(1_000) as u64;
            response.insert_header((header::RETRY_AFTER, seconds));
        }
        if self.kind == Kind::UnknownKey {
            let scheme = HeaderValue::from_static("Bearer");
            response.insert_header((header::WWW_AUTHENTICATE, scheme));
        }
        if matches!(
            self.kind,
            Kind::ShuttingDown | Kind::BodyTooLarge | Kind::BodyTooSlow | Kind::HeaderTooLong
        ) {
            // The rest of the request body is not read, so the connection cannot be reused.
            response.force_close();
        }
        response.body(self.document().to_string())
    }
}
