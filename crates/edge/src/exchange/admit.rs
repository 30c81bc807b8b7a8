//! Admission of requests: finds the route, checks the key and sets the deadline.

use std::cell::OnceCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use actix_http::Method;
use actix_http::Uri;
use actix_http::header;
use actix_http::header::HeaderMap;
use bytes::Bytes;
use snipeusher::hash;
use snipeusher::kv::Revision;
use snipeusher::name;
use snipeusher::route::Homes;
use snipeusher::route::Kind;
use snipeusher::route::Route;
use snipeusher::route::Table;
use snipeusher::route::Tenant;

use crate::dialect::Part;
use crate::dialect::Platform;
use crate::dialect::Request;
use crate::headers;
use crate::memory::Reservation;
use crate::refusal::Refusal;
use crate::server;
use crate::server::Sender;
use crate::shared::Shared;

/// `Retry-After` of a request rejected during shutdown; the retry reaches another router.
const RETRY_AFTER_LEAVING: Duration = Duration::from_millis(20);

/// A request that was admitted.
pub(super) struct Admitted {
    pub(super) request: Request,
    /// Request line and headers as received.
    pub(super) head: actix_http::Request,
    pub(super) method: Method,
    pub(super) uri: Uri,
    /// Headers to forward, without reserved and hop-by-hop ones.
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
    /// Held as long as the body.
    _reservation: Reservation,
    pub(super) received: Instant,
    pub(super) deadline: Instant,
    pub(super) route: Arc<Route>,
    pub(super) target: Target,
    pub(super) workspace: Option<name::Workspace>,
    pub(super) priority: u8,
    /// Regions in which it may be handled.
    pub(super) homes: Homes,
    /// Revision of the configuration it was admitted under.
    pub(super) revision: Revision,
    /// The configuration it was admitted under.
    table: Rc<Table>,
    /// See [`Self::fingerprint`]; most requests do not need it.
    fingerprint: OnceCell<u64>,
}

impl Admitted {
    /// Hash of what a caller sends again when it repeats the request: all but its id.
    pub(super) fn fingerprint(&self) -> u64 {
        *self.fingerprint.get_or_init(|| {
            let workspace = self.workspace.as_ref().map_or("", name::Workspace::as_str);
            let host = self.headers.get(header::HOST);
            let host = host.map_or(&b""[..], |host| host.as_bytes());
            let uri = self.uri.to_string();
            let texts = [self.method.as_str(), &uri, workspace].map(str::as_bytes);
            let texts = texts.into_iter().chain([host, &*self.body]);
            texts.fold(0, |hash, text| hash::mix(hash, hash::bytes(text)))
        })
    }

    /// Whether another upstream may continue the stream of events.
    pub(super) fn is_resumable(&self) -> bool {
        self.route.kind == Kind::Stream { resumable: true }
    }

    /// Prompt parts that other requests may have as well: all but the last.
    pub(super) fn shared_parts(&self) -> impl Iterator<Item = u64> {
        let parts = self.request.parts.split_last();
        let shared = parts.map_or(&[][..], |(_last, shared)| shared);
        shared.iter().map(|part| part.id)
    }

    /// What others may have in common with the request: its shared parts, and all of it.
    pub(super) fn ids(&self) -> impl Iterator<Item = u64> {
        let whole = std::iter::once_with(|| self.fingerprint());
        self.shared_parts().chain(whole)
    }

    /// Whether the caller takes up a stream of which it has received events.
    pub(super) fn takes_up_stream(&self) -> bool {
        let request = &self.request;
        self.is_resumable() && (request.last_event.is_some() || request.resumes.is_some())
    }

    /// Sends the request to another service; returns false if the route does not lead to it.
    pub(super) fn select_service(&mut self, service: &name::Service) -> bool {
        let mut backends = self.route.backends.iter();
        let is_backend = backends.any(|known| known.weight > 0 && known.service == *service);
        if is_backend {
            self.target = Target::new(&self.table, service.clone(), &self.request);
        }
        is_backend
    }
}

/// The service that a request goes to, and what its placement depends on.
pub(super) struct Target {
    pub(super) service: name::Service,
    /// Maximum number of connections that one upstream of the service accepts; zero if not
    /// configured.
    pub(super) connections: u32,
    /// Hash of the prompt prefix, to place requests that share it on the same engine.
    pub(super) session: Option<u64>,
}

impl Target {
    fn new(table: &Table, service: name::Service, request: &Request) -> Self {
        let settings = table.services().get(&service);
        let is_engine = settings.is_some_and(|service| service.engine);
        Self {
            connections: settings.map_or(0, |service| service.connections),
            session: is_engine.then(|| prefix_hash(&request.parts)).flatten(),
            service,
        }
    }
}

/// A request that was not admitted.
pub(super) struct Rejection {
    pub(super) refusal: Refusal,
    pub(super) id: Option<String>,
    pub(super) revision: Revision,
}

pub(super) fn admit<P: Platform>(
    shared: &Shared<P>,
    inbound: server::Request,
    sender: Sender,
) -> Result<Admitted, Rejection> {
    let head = inbound.head.head();
    let request = shared.platform.request(&head.headers);
    let table = shared.table();
    let revision = table
        .as_ref()
        .map_or(Revision::new(0), |table| table.revision());
    let admission = Admission::decide(table, head.headers.get(header::HOST), &head.uri, &request);
    let admission = match admission {
        Ok(admission) => admission,
        Err(refusal) => {
            let id = request.id;
            return Err(Rejection {
                refusal,
                id,
                revision,
            });
        }
    };
    let route = admission.route;
    let time_limit = request
        .deadline
        .map_or(route.timeout, |deadline| deadline.min(route.timeout));
    if is_too_late(shared, route.kind, time_limit) {
        let refusal = Refusal::NotRun {
            cause: "leaving",
            retry_after: RETRY_AFTER_LEAVING,
        };
        return Err(Rejection {
            refusal,
            id: request.id,
            revision,
        });
    }
    // A request that takes a stream up goes to the service of the one that began it.
    let began = request.resumes.as_deref().or(request.id.as_deref());
    let point = hash::bytes(began.unwrap_or_default().as_bytes());
    let service = route.backend(point).clone();
    let target = Target::new(&admission.table, service, &request);
    let tenant = admission.tenant;
    let (method, uri) = (head.method.clone(), head.uri.clone());
    let homes = homes(&route, tenant.as_deref(), &head.headers, sender);
    let mut headers = headers::to_upstream(&shared.platform, &head.headers);
    if sender == Sender::Peer {
        headers.remove(headers::RELAY_HOMES);
    }
    Ok(Admitted {
        method,
        uri,
        headers,
        head: inbound.head,
        body: inbound.body,
        _reservation: inbound.reservation,
        received: inbound.received,
        deadline: inbound.received + time_limit,
        priority: tenant
            .as_ref()
            .and_then(|tenant| tenant.priority)
            .unwrap_or(route.priority),
        homes,
        workspace: tenant.map(|tenant| tenant.workspace.clone()),
        target,
        route,
        request,
        revision,
        table: admission.table,
        fingerprint: OnceCell::new(),
    })
}

/// Whether the process may exit before a request that arrives now has ended.
///
/// Once the balancer sends no more connections, streams are refused, and requests that may run once if
/// their time limit ends after the exit: a caller could not tell whether one that the exit cuts short
/// has run. Just before the exit all requests are refused.
fn is_too_late<P: Platform>(shared: &Shared<P>, kind: Kind, time_limit: Duration) -> bool {
    let outlasts = || match kind {
        Kind::Stream { .. } => true,
        Kind::NonIdempotent => shared.time_to_exit().is_some_and(|left| time_limit > left),
        Kind::Idempotent => false,
    };
    shared.is_about_to_exit() || shared.lifecycle.is_deregistered() && outlasts()
}

struct Admission {
    table: Rc<Table>,
    route: Arc<Route>,
    tenant: Option<Arc<Tenant>>,
}

impl Admission {
    fn decide(
        table: Option<Rc<Table>>,
        host: Option<&header::HeaderValue>,
        uri: &Uri,
        request: &Request,
    ) -> Result<Self, Refusal> {
        let table = table.ok_or(Refusal::NotConfigured)?;
        let host = host.and_then(|host| host.to_str().ok());
        let host = host.or_else(|| uri.host()).ok_or(Refusal::NoRoute)?;
        let route = table.find(host, uri.path()).ok_or(Refusal::NoRoute)?;
        let route = Arc::clone(route);
        if request.id.is_none() {
            return Err(Refusal::NoIdentity);
        }
        let tenant = request.key.as_deref().and_then(|key| table.tenant(key));
        let tenant = tenant.cloned();
        if tenant.is_none() && table.needs_key() && !route.public {
            return Err(Refusal::UnknownKey);
        }
        Ok(Self {
            table,
            route,
            tenant,
        })
    }
}

/// The home regions of the route and the tenant. A peer that relays states its own, since its
/// configuration may be a later one.
fn homes(route: &Route, tenant: Option<&Tenant>, headers: &HeaderMap, sender: Sender) -> Homes {
    let own = tenant.map_or_else(
        || route.homes.clone(),
        |tenant| route.homes.intersect(&tenant.homes),
    );
    match sender {
        Sender::Caller => own,
        Sender::Peer => own.intersect(&headers::homes(headers)),
    }
}

/// Hash of the prompt prefix that later requests can share: all parts but the last, which belongs
/// to this request alone. A single part counts as shared.
fn prefix_hash(parts: &[Part]) -> Option<u64> {
    let prefix = match parts {
        [] => return None,
        [only] => std::slice::from_ref(only),
        [prefix @ .., _last] => prefix,
    };
    let hash = prefix.iter().fold(0, |hash, part| hash::mix(hash, part.id));
    Some(hash)
}
