//! Client of the etcd v3 JSON gateway.

use std::cell::Cell;
use std::fmt;
use std::future::ready;
use std::time::Duration;

use awc::Client;
use awc::error::ConnectError;
use awc::error::SendRequestError;
use awc::http::StatusCode;
use futures_util::Stream;
use futures_util::StreamExt as _;
use futures_util::stream;
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::Snafu;
use snafu::ensure;
use snipeusher::kv::Call;
use snipeusher::kv::Fault;
use snipeusher::kv::Lease;
use snipeusher::kv::Range;
use snipeusher::kv::Reply;
use snipeusher::kv::Revision;
use snipeusher::kv::WatchReply;

use crate::Change;
use crate::Store;
use crate::message::ErrorBody;
use crate::message::GrantRequest;
use crate::message::LeaseRequest;
use crate::message::LeaseResponse;
use crate::message::RangeRequest;
use crate::message::RangeResponse;
use crate::message::RevokeResponse;
use crate::message::StreamMessage;
use crate::message::TxnRequest;
use crate::message::TxnResponse;
use crate::message::WatchRequest;
use crate::watch;

/// Largest accepted response, far larger than all documents at their maximum size.
pub(crate) const RESPONSE_BYTES_MAX: usize = 64 << 20;
/// gRPC status codes of calls that were refused and had no effect: invalid argument, not found,
/// permission denied, resource exhausted, failed precondition, out of range, unauthenticated.
const REFUSAL_CODES: [u32; 7] = [3, 5, 7, 8, 9, 11, 16];

/// Error in [`Settings`].
#[derive(Debug, Snafu)]
pub enum Error {
    /// The list of endpoints is empty.
    #[snafu(display("the key-value service needs at least one endpoint"))]
    NoEndpoint,
}

/// Endpoints of the service and time limit of calls.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Base URLs such as `http://10.0.0.1:2379`; when one fails, the next is used.
    pub endpoints: Vec<String>,
    /// Time limit for a complete response, and for opening a watch.
    pub timeout: Duration,
}

impl Settings {
    /// Validates the settings, so that each thread can then open a client without an error.
    pub fn connector(self) -> Result<Connector, Error> {
        ensure!(!self.endpoints.is_empty(), NoEndpointSnafu);
        Ok(Connector(self))
    }
}

/// Opens clients with validated settings.
#[derive(Clone, Debug)]
pub struct Connector(Settings);

impl Connector {
    /// Creates a client for the current thread; it connects with the first call.
    pub fn open(self) -> Gateway {
        let client = Client::builder()
            .connector(snipeusher_http::connector(None))
            .disable_redirects()
            .timeout(self.0.timeout)
            .finish();
        Gateway {
            client,
            settings: self.0,
            endpoint_index: Cell::new(0),
        }
    }
}

/// Client of the service.
#[derive(Clone)]
pub struct Gateway {
    client: Client,
    settings: Settings,
    endpoint_index: Cell<usize>,
}

impl fmt::Debug for Gateway {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Gateway")
            .field("settings", &self.settings)
            .finish_non_exhaustive()
    }
}

impl Gateway {
    /// Validates the settings and creates a client for the current thread; it connects with the
    /// first call.
    pub fn open(settings: Settings) -> Result<Self, Error> {
        Ok(settings.connector()?.open())
    }

    /// Posts a request to one endpoint after another until one of them may have received it, or
    /// until the timeout.
    async fn post<Q: Serialize, R: DeserializeOwned>(
        &self,
        path: &str,
        request: &Q,
    ) -> Result<R, Fault> {
        let attempt = async {
            let mut fault = Fault::NotSent;
            for _ in &self.settings.endpoints {
                match self.send(path, request).await {
                    Ok(mut response) => {
                        let body = response.body().limit(RESPONSE_BYTES_MAX).await;
                        let body = body.map_err(|_error| self.fail_over(Fault::Lost))?;
                        return serde_json::from_slice(&body).map_err(|_error| Fault::Lost);
                    }
                    Err(Fault::NotSent) => {
                        fault = self.fail_over(Fault::NotSent);
                    }
                    Err(other) => return Err(other),
                }
            }
            Err(fault)
        };
        let result = tokio::time::timeout(self.settings.timeout, attempt).await;
        result.unwrap_or_else(|_| Err(self.fail_over(Fault::Lost)))
    }

    /// Sends a request and returns the response once its headers have arrived.
    async fn send<Q: Serialize>(&self, path: &str, request: &Q) -> Result<Response, Fault> {
        let endpoint = &self.settings.endpoints[self.endpoint_index.get()];
        let url = format!("{}{path}", endpoint.trim_end_matches('/'));
        let sent = self.client.post(url).send_json(request).await;
        let mut response = sent.map_err(|error| match error {
            SendRequestError::Connect(ConnectError::Disconnected) => self.fail_over(Fault::Lost),
            SendRequestError::Connect(_) | SendRequestError::Url(_) => Fault::NotSent,
            _ => self.fail_over(Fault::Lost),
        })?;
        let status = response.status();
        if status == StatusCode::OK {
            return Ok(response);
        }
        let error: ErrorBody = response.json().await.unwrap_or_default();
        let refused = REFUSAL_CODES.contains(&error.code) || status.is_client_error();
        Err(if refused {
            Fault::Refused
        } else {
            self.fail_over(Fault::Lost)
        })
    }

    /// Selects the next endpoint for later calls; returns `fault`.
    fn fail_over(&self, fault: Fault) -> Fault {
        self.endpoint_index
            .set((self.endpoint_index.get() + 1) % self.settings.endpoints.len());
        fault
    }

    async fn range(&self, range: &Range, after: Revision) -> Result<Reply, Fault> {
        let request = RangeRequest::new(range, after);
        let response: RangeResponse = self.post("/v3/kv/range", &request).await?;
        Ok(Reply::Range {
            revision: response.header.revision(),
            entries: response.entries(),
        })
    }

    async fn open_watch(
        &self,
        prefix: &str,
        from: Revision,
    ) -> Result<impl Stream<Item = Result<Change, Fault>> + use<>, Fault> {
        let request = WatchRequest::new(prefix, from);
        let opening = tokio::time::timeout(self.settings.timeout, self.send("/v3/watch", &request));
        let response = opening
            .await
            .unwrap_or_else(|_| Err(self.fail_over(Fault::Lost)))?;
        Ok(watch::changes(response))
    }
}

pub(crate) type Response = awc::ClientResponse;

impl Store for Gateway {
    async fn call(&self, call: Call) -> Result<Reply, Fault> {
        match call {
            Call::Range(range) => self.range(&range, Revision::new(0)).await,
            Call::Changed { range, after } => self.range(&range, after).await,
            Call::Txn(txn) => {
                let request = TxnRequest::from(&txn);
                let response: TxnResponse = self.post("/v3/kv/txn", &request).await?;
                Ok(Reply::Txn {
                    revision: response.header.revision(),
                    succeeded: response.succeeded,
                    results: response.results(),
                })
            }
            Call::Grant { ttl_s } => {
                let request = GrantRequest {
                    ttl: ttl_s.cast_signed(),
                };
                let response: LeaseResponse = self.post("/v3/lease/grant", &request).await?;
                Ok(Reply::Grant {
                    lease: Lease(response.id),
                    ttl_s: response.ttl.max(0) as u64,
                })
            }
            Call::KeepAlive(lease) => {
                let request = LeaseRequest { id: lease.0 };
                let response: StreamMessage<LeaseResponse> =
                    self.post("/v3/lease/keepalive", &request).await?;
                Ok(Reply::KeepAlive {
                    ttl_s: response.result.ttl.max(0) as u64,
                })
            }
            Call::Revoke(lease) => {
                let request = LeaseRequest { id: lease.0 };
                let RevokeResponse { .. } = self.post("/v3/lease/revoke", &request).await?;
                Ok(Reply::Revoke)
            }
        }
    }

    /// The service sends all changes in one response, so `_hold` is never called.
    fn watch(
        &self,
        prefix: &str,
        from: Revision,
        _hold: impl Fn(WatchReply, Duration) -> Duration,
    ) -> impl Stream<Item = Result<Change, Fault>> {
        let opening = async move { self.open_watch(prefix, from).await };
        stream::once(opening).flat_map(|result| match result {
            Ok(changes) => changes.left_stream(),
            Err(fault) => stream::once(ready(Err(fault))).right_stream(),
        })
    }
}
