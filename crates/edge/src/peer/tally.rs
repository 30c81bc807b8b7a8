//! What the answers of several peers say together of a stream that none of them has a record of.

use std::net::SocketAddr;

use snipeusher::stream::Origin;

use super::holders::Holders;
use super::streams::Answer;
use super::streams::Known;
use super::streams::Reply;

/// What the holders that answered say, from the least to what counts first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Holding {
    /// None of them answered.
    Silent,
    /// One has no announcement of the stream.
    Unannounced,
    /// One computes other holders, so that the stream may have been announced to those.
    Disputed,
}

/// Answers of peers without a record of a stream.
#[derive(Debug)]
pub(super) struct Tally<'a> {
    holders: &'a Holders,
    /// Peers of other zones among those that are asked.
    elsewhere: &'a [SocketAddr],
    soles: Vec<Origin>,
    presumed: Vec<Origin>,
    /// Whether a peer cannot tell the version: it may know of several, which the others have not
    /// heard of, or of an announcement.
    is_doubtful: bool,
    /// Whether a peer of another zone knows one version, or there are no other zones.
    is_confirmed_elsewhere: bool,
    holding: Holding,
}

impl<'a> Tally<'a> {
    /// Starts without answers, at a router that has no record itself, but may have an announcement.
    pub(super) const fn new(
        holders: &'a Holders,
        elsewhere: &'a [SocketAddr],
        has_other_zones: bool,
        is_announced: bool,
    ) -> Self {
        Self {
            holders,
            elsewhere,
            soles: Vec::new(),
            presumed: Vec::new(),
            is_doubtful: is_announced,
            is_confirmed_elsewhere: !has_other_zones,
            holding: if holders.include_self {
                Holding::Unannounced
            } else {
                Holding::Silent
            },
        }
    }

    /// Adds the answer of a peer.
    pub(super) fn add(&mut self, peer: SocketAddr, reply: Reply) {
        if self.holders.contain(peer) {
            let holding = if reply.agrees {
                Holding::Unannounced
            } else {
                Holding::Disputed
            };
            self.holding = self.holding.max(holding);
        }
        match reply.known {
            Some(Known::Sole(origin)) => {
                self.is_confirmed_elsewhere |= self.elsewhere.contains(&peer);
                self.soles.push(origin);
            }
            Some(Known::Presumed(origin)) => self.presumed.push(origin),
            Some(Known::Recorded(_)) | None => self.is_doubtful = true,
        }
    }

    /// What all answers say together.
    pub(super) fn answer(mut self) -> Answer {
        self.soles.dedup();
        self.presumed.dedup();
        match (&*self.soles, &*self.presumed) {
            _ if self.is_doubtful || self.holding == Holding::Silent => Answer::Unknown,
            ([origin], []) if self.is_confirmed_elsewhere => Answer::Sole(origin.clone()),
            ([], [origin]) if self.holding == Holding::Unannounced => {
                Answer::Presumed(origin.clone())
            }
            _ => Answer::Unknown,
        }
    }
}
