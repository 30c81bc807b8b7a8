//! Headers that pass through the router.

use actix_http::header;
use actix_http::header::HeaderMap;
use actix_http::header::HeaderName;

use crate::dialect::Dialect;

/// How long a connection stays open while idle.
pub(crate) const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
/// Headers that concern one connection only, or that the codec writes itself.
const HOP_BY_HOP: [HeaderName; 9] = [
    header::CONNECTION,
    header::CONTENT_LENGTH,
    header::EXPECT,
    KEEP_ALIVE,
    header::PROXY_AUTHENTICATE,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];
/// Header of old clients that means the same as `Connection`.
const PROXY_CONNECTION: &str = "proxy-connection";

/// The headers of a caller that go to an upstream.
pub(crate) fn to_upstream<D: Dialect>(dialect: &D, headers: &HeaderMap) -> HeaderMap {
    let named = connection_options(headers);
    let mut passed = HeaderMap::with_capacity(headers.len() + 4);
    for (name, value) in headers {
        if passes(name, &named) && !dialect.is_reserved(name) {
            passed.append(name.clone(), value.clone());
        }
    }
    passed
}

/// The headers of an upstream that go to a caller.
pub(crate) fn to_caller(headers: &HeaderMap) -> HeaderMap {
    let named = connection_options(headers);
    let mut passed = HeaderMap::with_capacity(headers.len() + 2);
    for (name, value) in headers {
        if passes(name, &named) {
            passed.append(name.clone(), value.clone());
        }
    }
    passed
}

fn passes(name: &HeaderName, named: &[String]) -> bool {
    let is_named = named.iter().any(|option| option == name.as_str());
    !is_named && !HOP_BY_HOP.contains(name) && name.as_str() != PROXY_CONNECTION
}

/// Headers that the sender names as concerning this connection only.
fn connection_options(headers: &HeaderMap) -> Vec<String> {
    let values = headers.get_all(header::CONNECTION);
    let texts = values.filter_map(|value| value.to_str().ok());
    let options = texts.flat_map(|text| text.split(','));
    options
        .map(|option| option.trim().to_ascii_lowercase())
        .filter(|option| !option.is_empty() && option != "host")
        .collect()
}
