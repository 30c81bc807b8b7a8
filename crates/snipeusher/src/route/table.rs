//! The compiled configuration.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;

use snafu::Snafu;
use snafu::ensure;

use super::Limits;
use super::Route;
use super::Service;
use super::Tenant;
use crate::kv::Revision;
use crate::name;

/// Why a configuration cannot be compiled.
#[derive(Debug, PartialEq, Eq, Snafu)]
pub enum Error {
    /// A prefix does not begin and end with a slash.
    #[snafu(display("route \"{route}\": prefix \"{prefix}\" does not begin and end with a slash"))]
    Prefix {
        /// The route.
        route: Arc<str>,
        /// The prefix.
        prefix: String,
    },
    /// A route has no backend with a weight above zero.
    #[snafu(display("route \"{route}\" has no backend with a weight above zero"))]
    NoBackend {
        /// The route.
        route: Arc<str>,
    },
}

type Prefixes = BTreeMap<Arc<str>, Arc<Route>>;

/// The parts of a configuration, before it is compiled.
#[derive(Clone, Debug, Default)]
pub struct Builder {
    /// The revision at which the store holds it.
    pub revision: Revision,
    /// The operators' number of it, for logs.
    pub version: u64,
    /// Bounds of what callers may send.
    pub limits: Limits,
    /// The services by name.
    pub services: BTreeMap<name::Service, Service>,
    /// Workspaces by key; `None` if the configuration asks for no keys.
    pub keys: Option<BTreeMap<Arc<str>, Arc<Tenant>>>,
    hosts: BTreeMap<Arc<str>, Prefixes>,
}

impl Builder {
    /// Starts without routes.
    pub fn new(revision: Revision, version: u64) -> Self {
        Self {
            revision,
            version,
            ..Self::default()
        }
    }

    /// Adds a route for a host name and a path prefix; a later one replaces an earlier one.
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

    /// Compiles the parts.
    pub fn compile(self) -> Table {
        Table(self)
    }
}

/// The compiled configuration of one revision.
pub struct Table(Builder);

impl fmt::Debug for Table {
    // The keys are secrets.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Table")
            .field("revision", &self.0.revision)
            .field("version", &self.0.version)
            .finish_non_exhaustive()
    }
}

impl Table {
    /// The revision at which the store holds the configuration.
    pub const fn revision(&self) -> Revision {
        self.0.revision
    }

    /// The operators' number of the configuration.
    pub const fn version(&self) -> u64 {
        self.0.version
    }

    /// Bounds of what callers may send.
    pub const fn limits(&self) -> &Limits {
        &self.0.limits
    }

    /// The services by name.
    pub const fn services(&self) -> &BTreeMap<name::Service, Service> {
        &self.0.services
    }

    /// The number of routes.
    pub fn len(&self) -> usize {
        self.0.hosts.values().map(BTreeMap::len).sum()
    }

    /// Whether there are no routes.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// The route with the longest prefix that begins the path; `authority` may name a port.
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

    /// Whether requests of routes that are not public need a key.
    pub const fn needs_key(&self) -> bool {
        self.0.keys.is_some()
    }

    /// The workspace that holds a key.
    pub fn tenant(&self, key: &str) -> Option<&Arc<Tenant>> {
        self.0.keys.as_ref()?.get(key)
    }
}
