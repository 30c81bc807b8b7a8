//! What has to outlive a loss of all routers, as records in the platform's store.
//!
//! Three kinds of records are kept: the addresses of routers that find none of the peers which their
//! settings name, so that routers discover each other there; which software versions the upstreams of each service run or ran
//! shortly before; and, only while a service runs several, which version began a stream. A router
//! that starts after all others were lost can then resume a stream at the version that began it, or
//! knows that only one version can have begun it. A record of versions or streams that is missing or
//! cannot be decoded only makes a router refuse. See `docs/design/archive.md`.

mod announcer;
mod writer;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;
use snafu::OptionExt as _;
use snafu::ResultExt as _;
use snafu::Snafu;
use snafu::ensure;

pub use self::announcer::Announcer;
pub use self::writer::Writer;
use crate::kv;
use crate::kv::Revision;
use crate::name;
use crate::stream::Group;

/// Prefix of all keys that routers write.
pub const PREFIX: &str = "snipeusher/";
/// Key of the software versions of all services.
pub const VERSIONS_KEY: &str = "snipeusher/versions";
/// Prefix of the keys with origins of streams.
const STREAMS_PREFIX: &str = "snipeusher/streams/";
/// Prefix of the keys with addresses of routers, followed by the name of the host.
const ROUTERS_PREFIX: &str = "snipeusher/routers/";
/// Largest value that is read or written. A segment of streams and the versions of some hundred
/// services stay below it.
const VALUE_BYTES_MAX: usize = 256 << 10;
/// Format of the records of streams.
const FORMAT: u8 = 1;

/// Why a record cannot be used.
#[derive(Debug, Snafu)]
pub enum Error {
    /// It is larger than routers write.
    #[snafu(display("{bytes} bytes exceed {VALUE_BYTES_MAX}"))]
    TooLarge {
        /// Its length.
        bytes: usize,
    },
    /// It holds no versions.
    #[snafu(display("versions cannot be decoded: {source}"))]
    Versions {
        /// Why not.
        source: serde_json::Error,
    },
    /// It holds no streams.
    #[snafu(display("streams cannot be decoded: {source}"))]
    Streams {
        /// Why not.
        source: rmp_serde::decode::Error,
    },
    /// It holds no address of a router.
    #[snafu(display("the address of a router cannot be decoded: {source}"))]
    Router {
        /// Why not.
        source: serde_json::Error,
    },
    /// It was written by another release.
    #[snafu(display("format {format} is not {FORMAT}"))]
    Format {
        /// Its format.
        format: u8,
    },
    /// Routers write no key of this name.
    #[snafu(display("key is of no known kind"))]
    Key,
}

/// Software versions that the upstreams of each service run or ran shortly before.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Versions(pub BTreeMap<name::Service, BTreeSet<name::Build>>);

impl Versions {
    /// The value of their record.
    pub fn encode(&self) -> Result<Vec<u8>, Error> {
        let value = serde_json::to_vec(self).context(VersionsSnafu)?;
        let bytes = value.len();
        ensure!(bytes <= VALUE_BYTES_MAX, TooLargeSnafu { bytes });
        Ok(value)
    }

    fn decode(value: &[u8]) -> Result<Self, Error> {
        serde_json::from_slice(value).context(VersionsSnafu)
    }
}

/// Streams that one router recorded within some seconds.
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Streams {
    format: u8,
    groups: Vec<Group>,
}

impl Streams {
    fn decode(value: &[u8]) -> Result<Vec<Group>, Error> {
        let streams: Self = rmp_serde::from_slice(value).context(StreamsSnafu)?;
        let format = streams.format;
        ensure!(format == FORMAT, FormatSnafu { format });
        Ok(streams.groups)
    }
}

/// A router that can be found by its record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Router {
    /// Its host.
    pub host: name::Host,
    /// Its address for exchanges between routers.
    pub address: SocketAddr,
}

/// A record that is ignored.
#[derive(Debug)]
pub struct Unusable {
    /// Its key.
    pub key: String,
    /// Why it cannot be used.
    pub error: Error,
}

/// The records among some entries of the store.
#[derive(Debug, Default)]
pub struct Records {
    /// Revision of the record of versions, and the versions.
    pub versions: Option<(Revision, Versions)>,
    /// Origins of streams.
    pub streams: Vec<Group>,
    /// Routers that announced themselves.
    pub routers: Vec<Router>,
    /// Records that are ignored.
    pub unusable: Vec<Unusable>,
}

impl Records {
    /// Decodes the records among entries; those of other keys are skipped.
    pub fn decode<'a>(entries: impl IntoIterator<Item = &'a kv::Entry>) -> Self {
        let mut records = Self::default();
        let entries = entries.into_iter();
        for entry in entries.filter(|entry| is_record(&entry.key)) {
            if let Err(error) = records.add(entry) {
                let key = entry.key.clone();
                records.unusable.push(Unusable { key, error });
            }
        }
        records
    }

    fn add(&mut self, entry: &kv::Entry) -> Result<(), Error> {
        let bytes = entry.value.len();
        ensure!(bytes <= VALUE_BYTES_MAX, TooLargeSnafu { bytes });
        if entry.key == VERSIONS_KEY {
            // An unusable record is still replaced at its revision.
            let versions = Versions::decode(&entry.value);
            self.versions = Some((entry.modified, Versions::default()));
            self.versions = Some((entry.modified, versions?));
        } else if entry.key.starts_with(ROUTERS_PREFIX) {
            let router = serde_json::from_slice(&entry.value).context(RouterSnafu)?;
            self.routers.push(router);
        } else {
            let key = entry.key.strip_prefix(STREAMS_PREFIX);
            key.context(KeySnafu)?;
            self.streams.extend(Streams::decode(&entry.value)?);
        }
        Ok(())
    }
}

/// Whether routers write this key.
pub fn is_record(key: &str) -> bool {
    key.starts_with(PREFIX)
}
