//! Exchanges started by peers.

use std::cell::Cell;
use std::cell::RefCell;
use std::io;
use std::rc::Rc;

use actix_http::StatusCode;
use actix_http::Uri;
use actix_http::header;
use actix_http::header::HeaderMap;
use actix_http::header::HeaderValue;
use bytes::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;
use slog::warn;
use snipeusher::fleet::Delta;
use snipeusher::kv::Revision;
use snipeusher::route::Limits;
use snipeusher::route::Position;
use snipeusher::stream::Group;

use super::ANNOUNCEMENT_PATH;
use super::BYTES_MAX;
use super::CONFIGURATION_PATH;
use super::Configuration;
use super::Digest;
use super::EXCHANGE_PATH;
use super::ORIGIN_PATH;
use super::ORIGINS_PATH;
use super::OUTAGE_PATH;
use super::OVERDRAFT_PATH;
use super::OutageReport;
use super::Peers;
use super::Question;
use super::Response;
use super::SPENDING_PATH;
use super::SPENT_PATH;
use super::UPSTREAMS_PATH;
use super::announcement;
use super::digest;
use super::gzip;
use super::merge;
use super::outage;
use super::overdraft;
use super::relay;
use super::spending;
use super::streams;
use crate::dialect::Platform;
use crate::exchange::Proxy;
use crate::lifecycle::Lifecycle;
use crate::memory::Owner;
use crate::memory::Reservation;
use crate::responder::Responder;
use crate::server::Handler;
use crate::server::Request;
use crate::server::Sender;
use crate::shared::Document;
use crate::shared::Shared;

/// Upstreams up to which a complete list is part of the response to a digest.
const LIST_ENTRIES_MAX: usize = 100;
/// Transfers of the configuration or of the list of upstreams at once. More would delay each other
/// and the callers' responses on the router's link, and each router that has received the data
/// serves others.
const TRANSFERS_MAX: usize = 3;

/// What relaying adds at most to the head of a request.
const RELAY_HEAD_BYTES: usize = 1 << 10;

/// Serves digests, the configuration and the list of upstreams to peers, and requests that they
/// relay.
#[derive(Debug)]
pub struct Control<P> {
    shared: Rc<Shared<P>>,
    peers: Rc<RefCell<Peers>>,
    /// Serves the requests that peers relay.
    proxy: Rc<Proxy<P>>,
    /// Transfers in progress.
    transfers: Cell<usize>,
    /// The configuration as it was last compressed for a transfer.
    compressed: RefCell<Option<(Position, Bytes)>>,
    /// Apart from that of the process, so that exchanges do not count as in-flight requests.
    lifecycle: Lifecycle,
}

impl<P: Platform> Control<P> {
    /// Creates the handler for the control address of a router.
    pub fn new(proxy: Rc<Proxy<P>>) -> Self {
        Self {
            shared: Rc::clone(&proxy.shared),
            peers: Rc::clone(&proxy.peers),
            proxy,
            transfers: Cell::new(0),
            compressed: RefCell::default(),
            lifecycle: Lifecycle::default(),
        }
    }

    fn outage(&self, body: &[u8]) -> Result<Vec<u8>, StatusCode> {
        let report: OutageReport = self.decode(body)?;
        outage::apply(&self.shared, &report);
        Ok(Vec::new())
    }

    fn origins(&self, body: &[u8]) -> Result<Vec<u8>, StatusCode> {
        let groups: Vec<Group> = self.decode(body)?;
        streams::merge(&self.shared, groups);
        Ok(Vec::new())
    }

    fn origin(&self, body: &[u8]) -> Result<Vec<u8>, StatusCode> {
        let question: Question = self.decode(body)?;
        let peers = self.peers.borrow();
        self.encode(&streams::answer(&self.shared, &peers, &question))
    }

    fn announcement(&self, body: &[u8]) -> Result<Vec<u8>, StatusCode> {
        let received = self.decode(body)?;
        let peers = self.peers.borrow();
        self.encode(&announcement::accept(&self.shared, &peers, received))
    }

    fn spending(&self, body: &[u8]) -> Result<Vec<u8>, StatusCode> {
        spending::record(&self.shared, self.decode(body)?);
        Ok(Vec::new())
    }

    fn spent(&self, body: &[u8]) -> Result<Vec<u8>, StatusCode> {
        let inquiry = self.decode(body)?;
        let peers = self.peers.borrow();
        self.encode(&spending::answer(&self.shared, &peers, &inquiry))
    }

    fn overdraft(&self, body: &[u8]) -> Result<Vec<u8>, StatusCode> {
        let account = self.decode(body)?;
        self.encode(&overdraft::take_over(&self.shared, &account))
    }

    fn exchange(&self, body: &[u8]) -> Result<Vec<u8>, StatusCode> {
        let received: Digest = self.decode(body)?;
        let own = digest(&self.shared, &mut self.peers.borrow_mut());
        let upstreams = self.changes_since(received.upstreams);
        let mut peers = self.peers.borrow_mut();
        if received.upstreams > own.upstreams {
            peers.prefer(received.address);
            self.shared.changed.notify_one();
        }
        merge(&self.shared, &mut peers, &received);
        let response = Response {
            digest: own,
            upstreams,
        };
        self.encode(&response)
    }

    /// The changes of upstreams that a router with an older revision lacks; `None` if it needs a
    /// complete list that is long, which is a transfer of its own.
    fn changes_since(&self, revision: Revision) -> Option<Delta> {
        let now = self.shared.now();
        let fleet = self.shared.fleet.borrow();
        let roster = fleet.roster();
        let is_behind = revision < roster.revision();
        let is_short = roster.entries().count() <= LIST_ENTRIES_MAX;
        let is_sent = is_behind && (is_short || !roster.is_before_history(revision));
        is_sent.then(|| fleet.changes_since(now, revision))
    }

    /// The complete list of upstreams.
    fn upstreams(&self) -> Result<Vec<u8>, StatusCode> {
        let now = self.shared.now();
        let fleet = self.shared.fleet.borrow();
        if fleet.roster().is_unsynced() {
            return Err(StatusCode::NOT_FOUND);
        }
        self.encode(&fleet.changes_since(now, Revision::default()))
    }

    fn configuration(&self, document: Document) -> Result<Vec<u8>, StatusCode> {
        self.encode(&Configuration {
            revision: document.position.revision,
            value: document.value,
        })
    }

    /// The configuration in force, compressed. Several peers ask for the same one.
    fn compressed_configuration(&self) -> Result<Bytes, StatusCode> {
        let document = self.shared.document().ok_or(StatusCode::NOT_FOUND)?;
        let position = document.position;
        let mut kept = self.compressed.borrow_mut();
        if let Some((_, body)) = kept.as_ref().filter(|(known, _)| *known == position) {
            return Ok(body.clone());
        }
        let body = self.compress(&self.configuration(document)?)?;
        *kept = Some((position, body.clone()));
        Ok(body)
    }

    /// Sends data that may be large, compressed for a peer that accepts it. The build before this
    /// one does not.
    async fn transfer(&self, request: &Request, responder: &mut Responder<'_>) -> io::Result<()> {
        let _transfer = Transfer::start(&self.transfers);
        let is_configuration = request.head.path() == CONFIGURATION_PATH;
        let mut headers = HeaderMap::new();
        let body = if accepts_gzip(&request.head.head().headers) {
            let encoding = HeaderValue::from_static(gzip::ENCODING);
            headers.insert(header::CONTENT_ENCODING, encoding);
            if is_configuration {
                self.compressed_configuration()
            } else {
                self.upstreams().and_then(|body| self.compress(&body))
            }
        } else if is_configuration {
            let document = self.shared.document().ok_or(StatusCode::NOT_FOUND);
            let body = document.and_then(|document| self.configuration(document));
            body.map(Bytes::from)
        } else {
            self.upstreams().map(Bytes::from)
        };
        match body {
            Ok(body) => responder.send(StatusCode::OK, headers, &body).await,
            Err(status) => refuse(status, responder).await,
        }
    }

    fn compress(&self, body: &[u8]) -> Result<Bytes, StatusCode> {
        gzip::compress(body).map_err(|error| {
            warn!(self.shared.log, "peer: response cannot be encoded"; "error" => %error);
            StatusCode::INTERNAL_SERVER_ERROR
        })
    }

    /// Serves a request that a peer relays, which counts as in-flight like one of a caller.
    async fn relay(
        &self,
        mut request: Request,
        uri: Uri,
        responder: &mut Responder<'_>,
    ) -> io::Result<()> {
        let _guard = self.shared.lifecycle.track();
        request.head.head_mut().uri = uri;
        self.proxy.serve(request, Sender::Peer, responder).await
    }

    fn decode<T: DeserializeOwned>(&self, body: &[u8]) -> Result<T, StatusCode> {
        rmp_serde::from_slice(body).map_err(|error| {
            warn!(self.shared.log, "peer: request cannot be decoded"; "error" => %error);
            StatusCode::BAD_REQUEST
        })
    }

    fn encode<T: Serialize>(&self, response: &T) -> Result<Vec<u8>, StatusCode> {
        rmp_serde::to_vec(response).map_err(|error| {
            warn!(self.shared.log, "peer: response cannot be encoded"; "error" => %error);
            StatusCode::INTERNAL_SERVER_ERROR
        })
    }
}

impl<P: Platform> Handler for Control<P> {
    fn limits(&self) -> Limits {
        let callers = self.shared.limits();
        Limits {
            body_bytes: BYTES_MAX.max(callers.body_bytes),
            head_bytes: RELAY_HEAD_BYTES + callers.head_bytes,
            ..Limits::default()
        }
    }

    fn lifecycle(&self) -> &Lifecycle {
        &self.lifecycle
    }

    fn reserve(&self) -> Reservation {
        self.shared.memory.open(Owner::Peers)
    }

    async fn handle(&self, request: Request, responder: &mut Responder<'_>) -> io::Result<()> {
        if let Some(uri) = relay::original_uri(request.head.uri()) {
            return self.relay(request, uri, responder).await;
        }
        let path = request.head.path();
        if matches!(path, CONFIGURATION_PATH | UPSTREAMS_PATH) {
            if self.transfers.get() >= TRANSFERS_MAX {
                return refuse(StatusCode::SERVICE_UNAVAILABLE, responder).await;
            }
            return self.transfer(&request, responder).await;
        }
        let body = match path {
            EXCHANGE_PATH => self.exchange(&request.body),
            OUTAGE_PATH => self.outage(&request.body),
            ORIGINS_PATH => self.origins(&request.body),
            ANNOUNCEMENT_PATH => self.announcement(&request.body),
            ORIGIN_PATH => self.origin(&request.body),
            SPENDING_PATH => self.spending(&request.body),
            SPENT_PATH => self.spent(&request.body),
            OVERDRAFT_PATH => self.overdraft(&request.body),
            _ => Err(StatusCode::NOT_FOUND),
        };
        match body {
            Ok(body) => {
                responder
                    .send(StatusCode::OK, HeaderMap::new(), &Bytes::from(body))
                    .await
            }
            Err(status) => refuse(status, responder).await,
        }
    }
}

async fn refuse(status: StatusCode, responder: &mut Responder<'_>) -> io::Result<()> {
    responder
        .send(status, HeaderMap::new(), &Bytes::new())
        .await
}

/// Whether the sender of a request takes a compressed response.
fn accepts_gzip(headers: &HeaderMap) -> bool {
    let accepted = headers.get(header::ACCEPT_ENCODING);
    accepted.is_some_and(|encoding| encoding == gzip::ENCODING)
}

/// A transfer in progress.
struct Transfer<'a>(&'a Cell<usize>);

impl<'a> Transfer<'a> {
    fn start(count: &'a Cell<usize>) -> Self {
        count.set(count.get() + 1);
        Self(count)
    }
}

impl Drop for Transfer<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
