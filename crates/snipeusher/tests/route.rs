//! Route tables: lookup by host and path, choice of a backend, and API keys.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use rstest::rstest;
use snipeusher::kv::Revision;
use snipeusher::name;
use snipeusher::route::Backend;
use snipeusher::route::Builder;
use snipeusher::route::Error;
use snipeusher::route::Homes;
use snipeusher::route::Kind;
use snipeusher::route::Route;
use snipeusher::route::Table;
use snipeusher::route::Tenant;

fn route(name: &str, backends: &[(&str, u32)]) -> Route {
    let backends = backends.iter().map(|(service, weight)| Backend {
        service: name::Service::from(*service),
        weight: *weight,
    });
    Route {
        name: Arc::from(name),
        kind: Kind::Idempotent,
        timeout: Duration::from_secs(1),
        objective: Duration::from_millis(100),
        max_event_gap: None,
        priority: 0,
        backends: backends.collect(),
        attempts: 1,
        public: false,
        homes: Homes::default(),
    }
}

fn table() -> Table {
    let mut builder = Builder::new(Revision::new(7), 3);
    for (name, host, prefix) in [
        ("root", "a.example", "/"),
        ("books", "a.example", "/books/"),
        ("maps", "a.example", "/books/maps/"),
        ("other", "b.example", "/books/"),
    ] {
        let added = builder.route(host, prefix, route(name, &[("shelf", 1)]));
        added.expect("the route is sound");
    }
    let tenant = Arc::new(Tenant {
        workspace: name::Workspace::from("reading-circle"),
        priority: Some(2),
        homes: Homes::default(),
    });
    builder.keys = Some(BTreeMap::from([(Arc::from("k1"), tenant)]));
    builder.compile()
}

/// Guards against a shorter prefix that wins, and against a prefix that matches within a segment.
#[rstest]
#[case("a.example", "/books/maps/1", Some("maps"))]
#[case("a.example", "/books/mapsy", Some("books"))]
#[case("a.example", "/books", Some("root"))]
#[case("a.example", "/booksy/maps/", Some("root"))]
#[case("A.Example:8080", "/books/1", Some("books"))]
#[case("b.example", "/books/maps/1", Some("other"))]
#[case("b.example", "/", None)]
#[case("c.example", "/books/", None)]
#[case("a.example", "", None)]
fn longest_prefix_of_the_host_wins(
    #[case] host: &str,
    #[case] path: &str,
    #[case] expected: Option<&str>,
) {
    let table = table();
    let found = table.find(host, path).map(|route| &*route.name);
    assert_eq!(found, expected);
}

#[rstest]
#[case("books/")]
#[case("/books")]
#[case("")]
fn a_prefix_without_slashes_is_rejected(#[case] prefix: &str) {
    let mut builder = Builder::new(Revision::new(1), 1);
    let added = builder.route("a.example", prefix, route("books", &[("shelf", 1)]));
    assert!(matches!(added, Err(Error::Prefix { .. })), "{added:?}");
}

#[rstest]
#[case(&[])]
#[case(&[("shelf", 0)])]
fn a_route_without_a_weighted_backend_is_rejected(#[case] backends: &[(&str, u32)]) {
    let mut builder = Builder::new(Revision::new(1), 1);
    let added = builder.route("a.example", "/", route("books", backends));
    assert!(matches!(added, Err(Error::NoBackend { .. })), "{added:?}");
}

/// Guards against a backend with weight zero that gets requests.
#[rstest]
fn backends_get_requests_by_weight() {
    let route = route("books", &[("old", 0), ("new", 9), ("next", 1)]);
    let mut counts = BTreeMap::new();
    for point in 0..1_000 {
        *counts.entry(route.backend(point).as_str()).or_insert(0) += 1;
    }
    assert_eq!(counts, BTreeMap::from([("new", 900), ("next", 100)]));
}

#[rstest]
fn keys_map_to_tenants_and_are_not_printed() {
    let table = table();
    let tenant = table.tenant("k1").expect("the key is known");
    assert_eq!(tenant.workspace.as_str(), "reading-circle");
    assert!(table.tenant("k2").is_none());
    assert!(table.needs_key());
    assert!(!format!("{table:?}").contains("k1"), "{table:?}");
}
