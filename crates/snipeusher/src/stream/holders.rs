//! Routers that hold the record of a stream.
//!
//! The router that begins a stream and the one that resumes it compute the same holders without
//! coordination, by rendezvous hashing of the stream over all routers of the fleet. See
//! `docs/design/stream-holders.md`.

use std::collections::BTreeSet;
use std::collections::VecDeque;

use super::Id;
use crate::hash;
use crate::name;

/// Routers that hold the record of a stream, in as many availability zones as there are.
pub const HOLDERS: usize = 3;

/// The routers that hold the record of a stream: those that rank first for it in each of three
/// availability zones; if there are fewer zones, the next in rank as well.
pub fn holders<'a>(
    stream: Id,
    routers: impl Iterator<Item = (&'a name::Host, &'a name::Zone)>,
) -> Vec<&'a name::Host> {
    let ranks = routers.map(|(host, zone)| (score(stream, host), host, zone));
    let mut ranks: Vec<_> = ranks.collect();
    ranks.sort_unstable_by(|left, right| right.cmp(left));
    let mut zones = BTreeSet::new();
    let mut holders = Vec::with_capacity(HOLDERS);
    let mut others = VecDeque::new();
    for (_, host, zone) in ranks {
        if holders.len() == HOLDERS {
            break;
        }
        if zones.insert(zone) {
            holders.push(host);
        } else if others.len() < HOLDERS {
            others.push_back(host);
        }
    }
    while holders.len() < HOLDERS {
        match others.pop_front() {
            Some(host) => holders.push(host),
            None => break,
        }
    }
    holders
}

/// A hash of holders, by which two routers compare whether they compute the same ones.
pub fn fingerprint(holders: &[&name::Host]) -> u64 {
    let keys = holders.iter().map(|host| key(host));
    keys.fold(0, hash::mix)
}

fn score(stream: Id, host: &name::Host) -> u64 {
    hash::score(stream.0, key(host))
}

fn key(host: &name::Host) -> u64 {
    hash::bytes(host.as_str().as_bytes())
}
