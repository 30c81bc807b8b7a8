//! The check of a response's head, and of the names in that of a request.
//!
//! A head with a line that is no field is invalid as a whole (RFC 9112, section 5.1): another
//! recipient may take the line for another field, or for none, and so see another body.

use std::ops::RangeInclusive;

use httparse::EMPTY_HEADER;
use httparse::Header;
use snafu::ResultExt as _;
use snafu::Snafu;
use snafu::ensure;

/// Fields that a head may have, the same number as the codec accepts.
const FIELDS_MAX: usize = 96;

/// Longest name of a field in bytes. The codec panics if it gets a longer one.
pub const NAME_BYTES_MAX: usize = u16::MAX as usize;

/// The statuses that a response may have (RFC 9110, section 15).
const STATUSES: RangeInclusive<u16> = 100..=599;
/// Status of a response after which another protocol is spoken. No request asks for one.
const SWITCHING_PROTOCOLS: u16 = 101;

/// Minor number of the HTTP version that has chunks.
const VERSION_CURRENT: u8 = 1;
/// Lowest status that is not informational.
const STATUS_FINAL: u16 = 200;

/// Status of a response without a body.
const STATUS_NO_CONTENT: u16 = 204;
/// Status of a response without a body, since the caller has the content cached.
const STATUS_NOT_MODIFIED: u16 = 304;

const CONTENT_LENGTH: &str = "content-length";
const TRANSFER_ENCODING: &str = "transfer-encoding";

/// Why a head is invalid.
#[derive(Debug, Snafu)]
pub enum Error {
    /// A line is neither a status line nor a field.
    #[snafu(display("{source}"))]
    Line {
        /// The cause.
        source: httparse::Error,
    },
    /// The status is out of range, or switches to a protocol that no request asked for.
    #[snafu(display("the status {status} is not valid"))]
    Status {
        /// The status.
        status: u16,
    },
    /// The name of a field is too long.
    #[snafu(display("the name of a field has {length} bytes"))]
    Name {
        /// Its length in bytes.
        length: usize,
    },
    /// The end of the body is stated twice, or where a response has none.
    #[snafu(display("the end of the body is stated in two ways or by a response without one"))]
    Framing,
}

/// A head that is complete and valid.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Head {
    /// Length in bytes, the empty line at the end included.
    pub length: usize,
    /// The status.
    pub status: u16,
    /// Whether it states a length or chunks.
    pub states_end: bool,
}

impl Head {
    /// Whether another head follows for the same request.
    pub const fn is_informational(&self) -> bool {
        self.status < STATUS_FINAL
    }

    /// Whether the end of the body is known without the end of the connection.
    pub const fn is_framed(&self) -> bool {
        self.states_end || !has_body(self.status)
    }
}

/// Whether a response with this status has a body, unless it answers a HEAD request.
pub const fn has_body(status: u16) -> bool {
    !matches!(status, STATUS_NO_CONTENT | STATUS_NOT_MODIFIED)
}

/// Checks the head of a response at the start of some bytes; `None` if it is not complete and valid
/// so far.
pub fn check(bytes: &[u8]) -> Result<Option<Head>, Error> {
    let mut fields = [EMPTY_HEADER; FIELDS_MAX];
    let mut response = httparse::Response::new(&mut fields);
    let parsed = response.parse(bytes).context(LineSnafu)?;
    let httparse::Status::Complete(length) = parsed else {
        return Ok(None);
    };
    let status = response.code.unwrap_or_default();
    check_status(status)?;
    check_names(response.headers)?;
    let is_current = response.version == Some(VERSION_CURRENT);
    let states_end = check_framing(status, is_current, response.headers)?;
    Ok(Some(Head {
        length,
        status,
        states_end,
    }))
}

/// Checks the names of the fields in the head of a request, as far as they can be parsed.
pub fn check_request(bytes: &[u8]) -> Result<(), Error> {
    let mut fields = [EMPTY_HEADER; FIELDS_MAX];
    let mut request = httparse::Request::new(&mut fields);
    match request.parse(bytes) {
        Ok(httparse::Status::Complete(_)) => check_names(request.headers),
        Ok(httparse::Status::Partial) | Err(_) => Ok(()),
    }
}

fn check_status(status: u16) -> Result<(), Error> {
    let is_valid = STATUSES.contains(&status) && status != SWITCHING_PROTOCOLS;
    ensure!(is_valid, StatusSnafu { status });
    Ok(())
}

fn check_names(fields: &[Header<'_>]) -> Result<(), Error> {
    let mut lengths = fields.iter().map(|field| field.name.len());
    match lengths.find(|length| *length > NAME_BYTES_MAX) {
        Some(length) => NameSnafu { length }.fail(),
        None => Ok(()),
    }
}

/// Checks that the end of a body is stated once. A sender that states both a length and chunks may
/// want two recipients to see two bodies, the version before 1.1 has no chunks, and an informational
/// response has no body (RFC 9112, sections 6.1 and 6.3). Returns whether it is stated.
fn check_framing(status: u16, is_current: bool, fields: &[Header<'_>]) -> Result<bool, Error> {
    let has = |name| {
        fields
            .iter()
            .any(|field| field.name.eq_ignore_ascii_case(name))
    };
    let (is_sized, is_encoded) = (has(CONTENT_LENGTH), has(TRANSFER_ENCODING));
    let is_certain = if status < STATUS_FINAL {
        !is_sized && !is_encoded
    } else {
        !is_encoded || is_current && !is_sized
    };
    ensure!(is_certain, FramingSnafu);
    Ok(is_sized || is_encoded)
}
