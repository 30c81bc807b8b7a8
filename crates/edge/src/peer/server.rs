//! Exchanges that peers begin.

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
use super::take;
use crate::dialect::Platform;
use crate::lifecycle::Lifecycle;
use crate::responder::Responder;
use crate::server::Handler;
use crate::server::Request;
use crate::shared::Shared;

/// Takes exchanges.
#[derive(Debug)]
pub struct Control<P> {
    shared: Rc<Shared<P>>,
    peers: Rc<RefCell<Peers>>,
    /// Exchanges do not count as requests in progress.
    lifecycle: Lifecycle,
}

impl<P: Platform> Control<P> {
    /// Takes exchanges for a router.
    pub fn new(shared: Rc<Shared<P>>, peers: Rc<RefCell<Peers>>) -> Self {
        Self {
            shared,
            peers,
            lifecycle: Lifecycle::default(),
        }
    }

    fn answer(&self, body: &[u8]) -> Result<Vec<u8>, StatusCode> {
        let theirs: Digest = rmp_serde::from_slice(body).map_err(|error| {
            warn!(self.shared.log, "peer: digest unreadable"; "error" => %error);
            StatusCode::BAD_REQUEST
        })?;
        let ours = digest(&self.shared, &mut self.peers.borrow_mut());
        let upstreams = (theirs.upstreams < ours.upstreams).then(|| {
            let now = self.shared.now();
            let fleet = self.shared.fleet.borrow();
            fleet.roster().since(now, theirs.upstreams)
        });
        let mut peers = self.peers.borrow_mut();
        if theirs.upstreams > ours.upstreams {
            peers.prefer(theirs.address);
            self.shared.changed.notify_one();
        }
        take(&self.shared, &mut peers, &theirs);
        let answer = Response {
            digest: ours,
            upstreams,
        };
        self.encode(&answer)
    }

    fn configuration(&self) -> Result<Vec<u8>, StatusCode> {
        let document = self.shared.document().ok_or(StatusCode::NOT_FOUND)?;
        self.encode(&Configuration {
            revision: document.revision,
            value: document.value,
        })
    }

    fn encode<T: Serialize>(&self, answer: &T) -> Result<Vec<u8>, StatusCode> {
        rmp_serde::to_vec(answer).map_err(|error| {
            warn!(self.shared.log, "peer: answer cannot be encoded"; "error" => %error);
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
        let answered = match request.head.path() {
            EXCHANGE_PATH => self.answer(&request.body),
            CONFIGURATION_PATH => self.configuration(),
            _ => Err(StatusCode::NOT_FOUND),
        };
        match answered {
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
