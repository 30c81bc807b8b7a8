//! Compiled route table.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use snafu::Snafu;
use snafu::ensure;

use super::Limits;
use super::Route;
use super::Service;
use super::Tenant;
use crate::kv::Revision;
use crate::name;

/// Position of a configuration in the sequence that the operators wrote.
///
/// The operators' version comes first, since it stays true when the store is restored from an older
/// copy, which gives out revisions again. See `docs/platform.md#configuration`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Position {
    /// Version that operators assigned to the configuration.
    pub version: u64,
    /// Revision of the store that holds it.
    pub revision: Revision,
}

/// Why a configuration cannot be compiled.
#[derive(Debug, PartialEq, Eq, Snafu)]
pub enum Error {
    /// A path prefix does not begin and end with a slash.
    #[snafu(display("route \"{route}\": prefix \"{prefix}\" does not begin and end with a slash"))]
    Prefix {
        /// Name of the route.
        route: Arc<str>,
        /// The prefix.
        prefix: String,
    },
    /// A route has no backend with a weight above zero.
    #[snafu(display("route \"{route}\" has no backend with a weight above zero"))]
    NoBackend {
        /// Name of the route.
        route: Arc<str>,
    },
}

type Prefixes = BTreeMap<Arc<str>, Arc<Route>>;

/// Builder of a [`Table`].
#[derive(Clone, Debug, Default)]
pub struct Builder {
    /// Revision of the store that holds the configuration.
    pub revision: Revision,
    /// Version that operators assigned to the configuration, for logs.
    pub version: u64,
    /// Limits on callers' requests and connections.
    pub limits: Limits,
    /// The services by name.
    pub services: BTreeMap<name::Service, Service>,
    /// Tenants by API key; `None` if no keys are required.
    pub keys: Option<BTreeMap<Arc<str>, Arc<Tenant>>>,
    /// Values that were replaced by fallbacks, for logs.
    pub warnings: Vec<String>,
    hosts: BTreeMap<Arc<str>, Prefixes>,
}

impl Builder {
    /// Creates a builder without routes.
    pub fn new(revision: Revision, version: u64) -> Self {
        Self {
            revision,
            version,
            ..Self::default()
        }
    }

    /// Adds a route for a host name and a path prefix, replacing an earlier one for the same pair.
    pub fn route(&mut self, host: &str, prefix: &str, route: Route) -> Result<(), Error> {
        let is_prefix = prefix.starts_with('/') && prefix.ends_with('/');
        let name = Arc::clone(&route.name);
        ensure!(
            is_prefix,
            PrefixSnafu {
                route: name,
                prefix
            }
        );
        let has_backend = route.backends.iter().any(|backend| backend.weight > 0);
        ensure!(has_backend, NoBackendSnafu { route: name });
        let host = Arc::from(host.to_ascii_lowercase());
        let prefixes = self.hosts.entry(host).or_default();
        prefixes.insert(Arc::from(prefix), Arc::new(route));
        Ok(())
    }

    /// Builds the table.
    pub fn compile(self) -> Table {
        Table(self)
    }
}

/// Compiled configuration of one revision.
pub struct Table(Builder);

impl fmt::Debug for Table {
    // Leaves out the API keys, which are secrets.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Table")
            .field("revision", &self.0.revision)
            .field("version", &self.0.version)
            .finish_non_exhaustive()
    }
}

impl Table {
    /// Revision of the store that holds the configuration.
    pub const fn revision(&self) -> Revision {
        self.0.revision
    }

    /// Position in the sequence that the operators wrote.
    pub const fn position(&self) -> Position {
        Position {
            version: self.0.version,
            revision: self.0.revision,
        }
    }

    /// Version that operators assigned to the configuration.
    pub const fn version(&self) -> u64 {
        self.0.version
    }

    /// Limits on callers' requests and connections.
    pub const fn limits(&self) -> &Limits {
        &self.0.limits
    }

    /// The services by name.
    pub const fn services(&self) -> &BTreeMap<name::Service, Service> {
        &self.0.services
    }

    /// Values that were replaced by fallbacks.
    pub fn warnings(&self) -> &[String] {
        &self.0.warnings
    }

    /// Whether requests of a route or a tenant must stay in some regions.
    pub fn has_homes(&self) -> bool {
        let mut routes = self.0.hosts.values().flat_map(BTreeMap::values);
        let mut tenants = self.0.keys.iter().flat_map(BTreeMap::values);
        routes.any(|route| !route.homes.is_anywhere())
            || tenants.any(|tenant| !tenant.homes.is_anywhere())
    }

    /// Longest time for which a route lets a stream last; zero without such routes.
    pub fn stream_timeout(&self) -> Duration {
        let routes = self.0.hosts.values().flat_map(BTreeMap::values);
        let streams = routes.filter(|route| route.kind.is_stream());
        let timeouts = streams.map(|route| route.timeout);
        timeouts.max().unwrap_or_default()
    }

    /// The number of routes.
    pub fn len(&self) -> usize {
        self.0.hosts.values().map(BTreeMap::len).sum()
    }

    /// Whether there are no routes.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// The route with the longest matching path prefix; `authority` may include a port.
    pub fn find(&self, authority: &str, path: &str) -> Option<&Arc<Route>> {
        let host = authority
            .split_once(':')
            .map_or(authority, |(host, _)| host);
        let prefixes = match self.0.hosts.get(host) {
            Some(prefixes) => prefixes,
            None => self.0.hosts.get(host.to_ascii_lowercase().as_str())?,
        };
        let slashes = path.rmatch_indices('/');
        let mut candidates = slashes.map(|(index, _)| &path[..=index]);
        candidates.find_map(|prefix| prefixes.get(prefix))
    }

    /// Whether requests to non-public routes need an API key.
    pub const fn needs_key(&self) -> bool {
        self.0.keys.is_some()
    }

    /// The tenant that owns an API key.
    pub fn tenant(&self, key: &str) -> Option<&Arc<Tenant>> {
        self.0.keys.as_ref()?.get(key)
    }
}
