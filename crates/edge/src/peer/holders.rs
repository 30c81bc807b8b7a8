//! The holders of a stream's record, as one router computes them.

use std::net::SocketAddr;

use snipeusher::name;

/// A peer that holds the record of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Holder {
    /// Its host.
    pub host: name::Host,
    /// Its address for exchanges.
    pub address: SocketAddr,
}

/// The routers that hold the record of a stream, among those that this router knows or knew lately.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Holders {
    /// The holders other than this router.
    pub peers: Vec<Holder>,
    /// Whether this router is one of them.
    pub include_self: bool,
    /// Hash of all of them, which differs between routers that know different peers.
    pub fingerprint: u64,
}

impl Holders {
    /// Whether a peer is one of them.
    pub fn contain(&self, address: SocketAddr) -> bool {
        self.peers.iter().any(|peer| peer.address == address)
    }
}
