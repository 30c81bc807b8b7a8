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

use super::Answer;
use super::BYTES_MAX;
use super::Book;
use super::CONFIGURATION_PATH;
use super::Configuration;
use super::Digest;
use super::EXCHANGE_PATH;
use super::digest;
use super::take;
use crate::dialect::Platform;
use crate::inlet::Handler;
use crate::inlet::Inbound;
use crate::lifecycle::Lifecycle;
use crate::outlet::Outlet;
use crate::shared::Shared;

/// Takes exchanges.
#[derive(Debug)]
pub struct Control<P> {
    shared: Rc<Shared<P>>,
    book: Rc<RefCell<Book>>,
    /// Exchanges do not count as requests in progress.
    lifecycle: Lifecycle,
}

impl<P: Platform> Control<P> {
    /// Takes exchanges for a router.
    pub fn new(shared: Rc<Shared<P>>, book: Rc<RefCell<Book>>) -> Self {
        Self {
            shared,
            book,
            lifecycle: Lifecycle::default(),
        }
    }

    fn answer(&self, body: &[u8]) -> Result<Vec<u8>, StatusCode> {
        let theirs: Digest = rmp_serde::from_slice(body).map_err(|error| {
            warn!(self.shared.log, "peer: digest unreadable"; "error" => %error);
            StatusCode::BAD_REQUEST
        })?;
        let ours = digest(&self.shared, &mut self.book.borrow_mut());
        let upstreams = (theirs.upstreams < ours.upstreams).then(|| {
            let now = self.shared.now();
            let fleet = self.shared.fleet.borrow();
            fleet.roster().since(now, theirs.upstreams)
        });
        let mut book = self.book.borrow_mut();
        if theirs.upstreams > ours.upstreams {
            book.prefer(theirs.address);
            self.shared.news.notify_one();
        }
        take(&self.shared, &mut book, &theirs);
        let answer = Answer {
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

    async fn handle(&self, inbound: Inbound, outlet: &mut Outlet<'_>) -> io::Result<()> {
        let answered = match inbound.head.path() {
            EXCHANGE_PATH => self.answer(&inbound.body),
            CONFIGURATION_PATH => self.configuration(),
            _ => Err(StatusCode::NOT_FOUND),
        };
        match answered {
            Ok(body) => {
                outlet
                    .whole(StatusCode::OK, HeaderMap::new(), &Bytes::from(body))
                    .await
            }
            Err(status) => outlet.whole(status, HeaderMap::new(), &Bytes::new()).await,
        }
    }
}
