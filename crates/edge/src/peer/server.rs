//! Exchanges started by peers.

use std::cell::RefCell;
use std::io;
use std::rc::Rc;

use actix_http::StatusCode;
use actix_http::header::HeaderMap;
use bytes::Bytes;
use serde::Serialize;
use slog::warn;
use snipeusher::route::Limits;

use super::BYTES_MAX;
use super::CONFIGURATION_PATH;
use super::Configuration;
use super::Digest;
use super::EXCHANGE_PATH;
use super::Peers;
use super::Response;
use super::digest;
use super::merge;
use crate::dialect::Platform;
use crate::lifecycle::Lifecycle;
use crate::responder::Responder;
use crate::server::Handler;
use crate::server::Request;
use crate::shared::Shared;

/// Serves digests and the configuration to peers.
#[derive(Debug)]
pub struct Control<P> {
    shared: Rc<Shared<P>>,
    peers: Rc<RefCell<Peers>>,
    /// Apart from that of the process, so that exchanges do not count as in-flight requests.
    lifecycle: Lifecycle,
}

impl<P: Platform> Control<P> {
    /// Creates the handler for the control address of a router.
    pub fn new(shared: Rc<Shared<P>>, peers: Rc<RefCell<Peers>>) -> Self {
        Self {
            shared,
            peers,
            lifecycle: Lifecycle::default(),
        }
    }

    fn exchange(&self, body: &[u8]) -> Result<Vec<u8>, StatusCode> {
        let received: Digest = rmp_serde::from_slice(body).map_err(|error| {
            warn!(self.shared.log, "peer: digest unreadable"; "error" => %error);
            StatusCode::BAD_REQUEST
        })?;
        let own = digest(&self.shared, &mut self.peers.borrow_mut());
        let upstreams = (received.upstreams < own.upstreams).then(|| {
            let now = self.shared.now();
            let fleet = self.shared.fleet.borrow();
            fleet.roster().changes_since(now, received.upstreams)
        });
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

    fn configuration(&self) -> Result<Vec<u8>, StatusCode> {
        let document = self.shared.document().ok_or(StatusCode::NOT_FOUND)?;
        self.encode(&Configuration {
            revision: document.revision,
            value: document.value,
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
        Limits {
            body_bytes: BYTES_MAX,
            ..Limits::default()
        }
    }

    fn lifecycle(&self) -> &Lifecycle {
        &self.lifecycle
    }

    async fn handle(&self, request: Request, responder: &mut Responder<'_>) -> io::Result<()> {
        let body = match request.head.path() {
            EXCHANGE_PATH => self.exchange(&request.body),
            CONFIGURATION_PATH => self.configuration(),
            _ => Err(StatusCode::NOT_FOUND),
        };
        match body {
            Ok(body) => {
                responder
                    .send(StatusCode::OK, HeaderMap::new(), &Bytes::from(body))
                    .await
            }
            Err(status) => {
                responder
                    .send(status, HeaderMap::new(), &Bytes::new())
                    .await
            }
        }
    }
}
