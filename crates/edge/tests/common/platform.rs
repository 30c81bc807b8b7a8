//! A platform with the headers and documents used in the tests.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use actix_http::header::HeaderMap;
use actix_http::header::HeaderName;
use actix_http::header::HeaderValue;
use snipeusher::fleet;
use snipeusher::fleet::Report;
use snipeusher::kv;
use snipeusher::kv::Revision;
use snipeusher::name;
use snipeusher::route::Backend;
use snipeusher::route::Builder;
use snipeusher::route::Homes;
use snipeusher::route::Kind;
use snipeusher::route::Limits;
use snipeusher::route::Route;
use snipeusher::route::Service;
use snipeusher::route::Table;
use snipeusher::route::Tenant;
use snipeusher::route::Warmup;
use snipeusher_edge::dialect::Context;
use snipeusher_edge::dialect::Dialect;
use snipeusher_edge::dialect::Documents;
use snipeusher_edge::dialect::Error;
use snipeusher_edge::dialect::Part;
use snipeusher_edge::dialect::Request;
use snipeusher_edge::dialect::Response;

/// Configuration: the version, then one route per line with path prefix, kind, attempts, timeout in
/// milliseconds, access and, if any, home regions. A line `tenant` gives the tenant home regions, a
/// line `cold PER_S SECONDS` limits upstreams that are warming up, the lines `head BYTES` and `body
/// BYTES` requests.
pub const DEFAULT: &str = "1\n\
    /read/ idempotent 2 1000 public\n\
    /write/ once 1 1000 public\n\
    /chat/ resumable 2 4000 public\n\
    /review/ stream 1 4000 public\n\
    /closed/ idempotent 1 1000 keyed\n";

/// Path prefix of routes with long pauses between events.
pub const SLOW: &str = "/slow/";

/// The platform of the tests.
pub struct TestPlatform;

impl Dialect for TestPlatform {
    fn request(&self, headers: &HeaderMap) -> Request {
        Request {
            id: text(headers, "t-id").map(str::to_owned),
            deadline: text(headers, "t-deadline")
                .and_then(|text| text.parse().ok())
                .map(Duration::from_millis),
            key: text(headers, "t-key").map(str::to_owned),
            parts: text(headers, "t-parts").map(parts).unwrap_or_default(),
            last_event: text(headers, "t-last").map(str::to_owned),
            resumes: text(headers, "t-resumes").map(str::to_owned),
        }
    }

    fn is_reserved(&self, name: &HeaderName) -> bool {
        ["t-key", "t-deadline", "t-workspace", "t-upstream"].contains(&name.as_str())
    }

    fn set_deadline(&self, remaining: Duration, headers: &mut HeaderMap) {
        let ms = HeaderValue::from(remaining.as_millis() as u64);
        headers.insert(HeaderName::from_static("t-deadline"), ms);
    }

    fn set_context(&self, context: &Context<'_>, headers: &mut HeaderMap) {
        self.set_deadline(context.deadline, headers);
        let workspace = context.workspace.map(name::Workspace::as_str);
        let texts = [
            ("t-upstream", Some(context.upstream.as_str())),
            ("t-workspace", workspace),
            ("t-last", context.last_event),
        ];
        for (name, value) in texts {
            if let Some(value) = value.and_then(|value| HeaderValue::from_str(value).ok()) {
                headers.insert(HeaderName::from_static(name), value);
            }
        }
    }

    fn response(&self, status: u16, headers: &HeaderMap) -> Response {
        Response {
            id: text(headers, "t-id").map(str::to_owned),
            declined: headers.contains_key("t-not-run") || status == 421,
            misdirected: status == 421,
            signed: headers.contains_key("t-signature"),
            load: text(headers, "t-load")
                .and_then(|text| text.parse().ok())
                .map(|running| Report {
                    running,
                    waiting: 0,
                    slots: 8,
                    pace: None,
                }),
            leaving: headers.contains_key("t-leaving"),
            pause: text(headers, "t-pause")
                .and_then(|text| text.parse().ok())
                .map(Duration::from_millis),
            rate_limit: text(headers, "t-limit").and_then(|text| text.parse().ok()),
            decline_limit: text(headers, "t-decline-limit").and_then(|text| text.parse().ok()),
            malformed: 0,
        }
    }
}

impl Documents for TestPlatform {
    const CONFIGURATION: &'static str = "conf";
    const UPSTREAMS: &'static str = "up/";

    fn table(&self, revision: Revision, value: &[u8]) -> Result<Table, Error> {
        let invalid = |reason: &str| Error {
            key: Self::CONFIGURATION.to_owned(),
            reason: reason.to_owned(),
        };
        let text = std::str::from_utf8(value).map_err(|_error| invalid("no text"))?;
        let mut lines = text.lines();
        let version = lines.next().and_then(|line| line.parse().ok());
        let version = version.ok_or_else(|| invalid("no version"))?;
        let mut draft = Builder::new(revision, version);
        draft.limits = Limits {
            head_bytes: 2_000,
            body_bytes: 10_000,
            head_timeout: Duration::from_millis(400),
            idle_timeout: Duration::from_secs(2),
        };
        let service = Service {
            connections: 10,
            engine: false,
            warmup: None,
        };
        draft.services = BTreeMap::from([(name::Service::from("letters"), service)]);
        let mut tenant = Tenant {
            workspace: name::Workspace::from("reading-circle"),
            priority: None,
            homes: Homes::default(),
        };
        for line in lines {
            let words: Vec<&str> = line.split_whitespace().collect();
            if let ["cold", per_s, duration_s] = words[..] {
                let services = draft.services.values_mut();
                services.for_each(|service| service.warmup = warmup(per_s, duration_s));
                continue;
            }
            if let [part @ ("head" | "body"), bytes] = words[..] {
                let limit = bytes.parse().map_err(|_error| invalid("no size"))?;
                match part {
                    "head" => draft.limits.head_bytes = limit,
                    _ => draft.limits.body_bytes = limit,
                }
                continue;
            }
            if let ["tenant", regions] = words[..] {
                tenant.homes = homes(&[regions]);
                continue;
            }
            let [prefix, kind, attempts, timeout, access, ref rest @ ..] = words[..] else {
                return Err(invalid("a route has five words"));
            };
            let route = Route {
                homes: homes(rest),
                ..route(prefix, kind, attempts, timeout, access)
            };
            let added = draft.route("test.example", prefix, route);
            added.map_err(|error| invalid(&error.to_string()))?;
        }
        draft.keys = Some(BTreeMap::from([(
            Arc::from("secret-key"),
            Arc::new(tenant),
        )]));
        Ok(draft.compile())
    }

    fn evacuated(&self, key: &str) -> Option<Result<name::Zone, Error>> {
        let zone = key.strip_prefix("conf/evacuated/")?;
        let invalid = || Error {
            key: key.to_owned(),
            reason: "no zone".to_owned(),
        };
        let zone = (!zone.is_empty()).then(|| name::Zone::from(zone));
        Some(zone.ok_or_else(invalid))
    }

    fn entry(&self, entry: &kv::Entry) -> Result<fleet::Entry, Error> {
        let text = String::from_utf8_lossy(&entry.value).into_owned();
        let words: Vec<&str> = text.split_whitespace().collect();
        let invalid = || Error {
            key: entry.key.clone(),
            reason: "not an entry".to_owned(),
        };
        let [service, address, state, build, ref cold @ ..] = words[..] else {
            return Err(invalid());
        };
        let cold_ms = cold.first().and_then(|text| text.parse().ok());
        let id = self.upstream(&entry.key).ok_or_else(invalid)?;
        // An id may name the zone.
        let zone = id.as_str().split_once('@').map_or("here", |(_, zone)| zone);
        Ok(fleet::Entry {
            zone: name::Zone::from(zone),
            id,
            service: name::Service::from(service),
            address: address.parse().map_err(|_error| invalid())?,
            build: name::Build::from(build),
            slots: None,
            draining: state == "draining",
            incarnation: name::Incarnation(1),
            revision: entry.modified,
            cold_ms: cold_ms.unwrap_or_default(),
        })
    }
}

fn route(prefix: &str, kind: &str, attempts: &str, timeout: &str, access: &str) -> Route {
    Route {
        name: Arc::from(prefix),
        kind: match kind {
            "idempotent" => Kind::Idempotent,
            "once" => Kind::NonIdempotent,
            "resumable" => Kind::Stream { resumable: true },
            _ => Kind::Stream { resumable: false },
        },
        timeout: Duration::from_millis(timeout.parse().expect("a number")),
        objective: Duration::from_millis(100),
        max_event_gap: Some(Duration::from_millis(if prefix == SLOW {
            400
        } else {
            100
        })),
        priority: 0,
        backends: vec![Backend {
            service: name::Service::from("letters"),
            weight: 1,
        }],
        attempts: attempts.parse().expect("a number"),
        public: access == "public",
        homes: Homes::default(),
    }
}

fn warmup(per_s: &str, duration_s: &str) -> Option<Warmup> {
    let duration = duration_s.parse().ok()?;
    Some(Warmup {
        per_s: per_s.parse().ok()?,
        duration: Duration::from_secs_f64(duration),
    })
}

/// Parses a word such as `north,south`, if there is one.
fn homes(words: &[&str]) -> Homes {
    let regions = words.iter().flat_map(|word| word.split(','));
    regions.map(name::Region::from).collect()
}

/// Parses `1,2,3` as the parts of a prompt.
fn parts(text: &str) -> Vec<Part> {
    let ids = text.split(',').filter_map(|id| id.parse().ok());
    ids.map(|id| Part { id, tokens: 100 }).collect()
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}
