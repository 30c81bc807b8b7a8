//! Parser of the platform's host list for the gossip loop.

use serde::Deserialize;
use snipeusher::member::Listing;
use snipeusher::member::Role;
use snipeusher::wire::Place;

/// Role of a host that runs a router.
const ROUTER: &str = "router";
/// Role of a host that runs a model engine. Any other role is the name of a plain service.
const ENGINE: &str = "engine";

/// One entry of the list. Unknown keys are ignored, so that the platform can add some.
#[derive(Debug, Deserialize)]
struct Entry {
    name: String,
    address: String,
    zone: String,
    region: String,
    role: String,
    #[serde(default)]
    leaving: bool,
    #[serde(default)]
    since_ms: u64,
}

/// Parses a list; returns `None` if the bytes are not a valid one.
pub(crate) fn parse(bytes: &[u8]) -> Option<Vec<Listing>> {
    let entries: Vec<Entry> = serde_json::from_slice(bytes).ok()?;
    let listings = entries.into_iter().map(|entry| Listing {
        name: entry.name,
        address: entry.address,
        place: Place {
            zone: entry.zone.into(),
            region: entry.region.into(),
        },
        role: match entry.role.as_str() {
            ROUTER => Role::Router,
            ENGINE => Role::Engine,
            _ => Role::Plain(entry.role.into()),
        },
        leaving: entry.leaving,
        since_ms: entry.since_ms,
    });
    Some(listings.collect())
}
