//! Addresses of requests that a router relays to a peer.
//!
//! A relayed request goes to the control address, which callers cannot reach, under a path that
//! holds the original one. So no caller can mark a request as relayed, and a peer relays none
//! further.

use actix_http::Uri;

/// Prefix of the paths of relayed requests; the original path and query follow.
const RELAY_PATH: &str = "/fleet/v6/relay";

/// The address at a peer of a request for a path and query.
pub(crate) fn relay_uri(uri: &Uri) -> Option<Uri> {
    let original = uri.path_and_query()?;
    format!("{RELAY_PATH}{original}").parse().ok()
}

/// The original path and query of a relayed request; `None` if it is not one.
pub(super) fn original_uri(uri: &Uri) -> Option<Uri> {
    let original = uri.path_and_query()?.as_str().strip_prefix(RELAY_PATH)?;
    original.starts_with('/').then(|| original.parse().ok())?
}
