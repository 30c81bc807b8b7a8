//! Selection of the headers that are forwarded.

use actix_http::header;
use actix_http::header::HeaderMap;
use actix_http::header::HeaderName;
use actix_http::header::HeaderValue;
use snafu::Snafu;
use snafu::ensure;
use snipeusher::name;
use snipeusher::route::Homes;

use crate::dialect::Dialect;

/// States how long a connection stays open while idle.
pub(crate) const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
/// States, in a response to a relayed request, why the peer refused it.
pub(crate) const RELAY_REFUSAL: HeaderName = HeaderName::from_static("relay-refusal");
/// States, in a response to a relayed request, the software version of the upstream.
pub(crate) const RELAY_BUILD: HeaderName = HeaderName::from_static("relay-build");
/// States, in a relayed request, a home region; there is one for each.
pub(crate) const RELAY_HOMES: HeaderName = HeaderName::from_static("relay-homes");
/// Largest size of the home regions in the head of a relayed request. A peer reads a head that is at
/// most 1 KiB longer than a caller's, of which the path and the deadline need a part.
const HOMES_BYTES_MAX: usize = 800;
/// Headers that apply to a single connection, or that the codec writes itself.
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
/// Header of old clients with the meaning of `Connection`.
const PROXY_CONNECTION: &str = "proxy-connection";

/// Headers of a caller to forward to an upstream.
pub(crate) fn to_upstream<D: Dialect>(dialect: &D, headers: &HeaderMap) -> HeaderMap {
    let options = connection_options(headers);
    let mut forwarded = HeaderMap::with_capacity(headers.len() + 4);
    for (name, value) in headers {
        if is_forwarded(name, &options) && !dialect.is_reserved(name) {
            forwarded.append(name.clone(), value.clone());
        }
    }
    forwarded
}

/// Headers of an upstream to forward to a caller.
pub(crate) fn to_caller(headers: &HeaderMap) -> HeaderMap {
    let mut forwarded = end_to_end(headers);
    forwarded.remove(RELAY_REFUSAL);
    forwarded.remove(RELAY_BUILD);
    forwarded
}

/// Headers that apply to more than a single connection.
pub(crate) fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let options = connection_options(headers);
    let mut forwarded = HeaderMap::with_capacity(headers.len() + 2);
    for (name, value) in headers {
        if is_forwarded(name, &options) {
            forwarded.append(name.clone(), value.clone());
        }
    }
    forwarded
}

/// Home regions that cannot be stated in a relayed request.
#[derive(Debug, Snafu)]
pub(crate) enum HomesError {
    /// The name of a region is no value of a header.
    #[snafu(display("home region \"{region}\" cannot be stated in a header"))]
    Name {
        /// The region.
        region: name::Region,
    },
    /// There are too many regions for the head of a request.
    #[snafu(display("the home regions take {bytes} bytes of a header"))]
    Size {
        /// Their size.
        bytes: usize,
    },
}

/// States the home regions of a relayed request. What the caller stated is dropped.
pub(crate) fn set_homes(homes: &Homes, headers: &mut HeaderMap) -> Result<(), HomesError> {
    headers.remove(RELAY_HOMES);
    for region in homes.regions() {
        let value = HeaderValue::from_bytes(region.as_str().as_bytes());
        let value = value.map_err(|_error| HomesError::Name {
            region: region.clone(),
        })?;
        headers.append(RELAY_HOMES, value);
    }
    let name = RELAY_HOMES;
    let lines = homes.regions().iter().map(|region| {
        let parts = [name.as_str(), ": ", region.as_str(), "\r\n"];
        parts.map(str::len).iter().sum::<usize>()
    });
    let bytes: usize = lines.sum();
    ensure!(bytes <= HOMES_BYTES_MAX, SizeSnafu { bytes });
    Ok(())
}

/// The home regions of a relayed request. One that is not text matches no region.
pub(crate) fn homes(headers: &HeaderMap) -> Homes {
    let values = headers.get_all(RELAY_HOMES);
    let texts = values.map(|value| String::from_utf8_lossy(value.as_bytes()));
    texts.map(|text| name::Region::from(&*text)).collect()
}

fn is_forwarded(name: &HeaderName, options: &[String]) -> bool {
    let is_listed = options.iter().any(|option| option == name.as_str());
    !is_listed && !HOP_BY_HOP.contains(name) && name.as_str() != PROXY_CONNECTION
}

/// Names of headers that the sender lists in `Connection` as hop-by-hop.
fn connection_options(headers: &HeaderMap) -> Vec<String> {
    let values = headers.get_all(header::CONNECTION);
    let texts = values.filter_map(|value| value.to_str().ok());
    let options = texts.flat_map(|text| text.split(','));
    options
        .map(|option| option.trim().to_ascii_lowercase())
        .filter(|option| !option.is_empty() && option != "host")
        .collect()
}
