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

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a path or query that a relay changes.
    #[test]
    fn the_original_path_and_query_return_unchanged() {
        for text in ["/", "/a/b%2Fc?d=e%20f&g", "//a/../b?", "/fleet/v6/relay/x"] {
            let uri: Uri = text.parse().expect("it is valid");
            let relayed = relay_uri(&uri).expect("it has a path");
            let original = original_uri(&relayed).expect("it is relayed");
            assert_eq!(original.to_string(), uri.to_string());
        }
        let other: Uri = "/fleet/v6/exchange".parse().expect("it is valid");
        assert!(original_uri(&other).is_none());
    }
}
