//! Answers that the router gives itself.

use std::io;
use std::time::Duration;

use actix_http::StatusCode;
use actix_http::header;
use actix_http::header::HeaderMap;
use actix_http::header::HeaderValue;
use bytes::Bytes;

use crate::responder::Responder;

/// Why the router does not pass on an upstream's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Refusal {
    /// No configuration is known yet.
    NotConfigured,
    /// The request carries no usable identity.
    NoIdentity,
    /// No route begins its path.
    NoRoute,
    /// Its key belongs to no workspace.
    UnknownKey,
    /// It has not run and will not; the caller may come back.
    NotRun {
        /// Why, as a word for logs and metrics.
        cause: &'static str,
        /// When.
        retry_after: Duration,
    },
    /// It may have run.
    Lost,
    /// Its time is up and it may have run.
    TimedOut,
}

impl Refusal {
    /// The status that the caller gets.
    ///
    /// 503 is a promise that the request has not run; 502 and 504 promise nothing.
    pub(crate) const fn status(self) -> StatusCode {
        match self {
            Self::NotConfigured | Self::NotRun { .. } => StatusCode::SERVICE_UNAVAILABLE,
            Self::NoIdentity => StatusCode::BAD_REQUEST,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::Lost => StatusCode::BAD_GATEWAY,
            Self::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// A word for logs and metrics.
    pub(crate) const fn reason(self) -> &'static str {
        match self {
            Self::NotConfigured => "not_configured",
            Self::NoIdentity => "no_identity",
            Self::NoRoute => "no_route",
            Self::UnknownKey => "unknown_key",
            Self::NotRun { cause, .. } => cause,
            Self::Lost => "lost",
            Self::TimedOut => "timed_out",
        }
    }

    const fn retry_after(self) -> Option<Duration> {
        match self {
            Self::NotConfigured => Some(Duration::from_millis(300)),
            Self::NotRun { retry_after, .. } => Some(retry_after),
            _ => None,
        }
    }

    pub(crate) async fn write(self, responder: &mut Responder<'_>) -> io::Result<()> {
        let mut headers = HeaderMap::new();
        if let Some(after) = self.retry_after() {
            let value = HeaderValue::try_from(format!("{:.3}", after.as_secs_f64()));
            headers.insert(header::RETRY_AFTER, value.map_err(io::Error::other)?);
        }
        responder.send(self.status(), headers, &Bytes::new()).await
    }
}
