//! The check of a response's head.
//!
//! A head with a line that is no field is invalid as a whole (RFC 9112, section 5.1): another
//! recipient may take the line for another field, or for none, and so see another body.

use httparse::EMPTY_HEADER;
use snafu::ResultExt as _;
use snafu::Snafu;

/// Fields that a head may have, the same number as the codec accepts.
const FIELDS_MAX: usize = 96;

/// Why a head is invalid.
#[derive(Debug, Snafu)]
pub enum Error {
    /// A line is neither a status line nor a field.
    #[snafu(display("{source}"))]
    Line {
        /// The cause.
        source: httparse::Error,
    },
}

/// A head that is complete and valid.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Head {
    /// Length in bytes, the empty line at the end included.
    pub length: usize,
}

/// Checks the head at the start of some bytes; `None` if it is not complete and valid so far.
pub fn check(bytes: &[u8]) -> Result<Option<Head>, Error> {
    let mut fields = [EMPTY_HEADER; FIELDS_MAX];
    let mut response = httparse::Response::new(&mut fields);
    let parsed = response.parse(bytes).context(LineSnafu)?;
    let httparse::Status::Complete(length) = parsed else {
        return Ok(None);
    };
    Ok(Some(Head { length }))
}
