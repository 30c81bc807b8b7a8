//! Time to choose an upstream for a request without a session, by the number of upstreams.

use std::hint::black_box;
use std::net::SocketAddr;
use std::time::Duration;

use criterion::BenchmarkId;
use criterion::Criterion;
use snipeusher::fleet::Entry;
use snipeusher::fleet::Fleet;
use snipeusher::fleet::Limits;
use snipeusher::fleet::Query;
use snipeusher::fleet::Regions;
use snipeusher::fleet::Report;
use snipeusher::fleet::Settings;
use snipeusher::kv::Revision;
use snipeusher::name;
use snipeusher::route::Homes;
use snipeusher::time::Time;

const SERVICE: &str = "letters";

fn entry(index: usize) -> Entry {
    Entry {
        id: name::Upstream::from(format!("e{index}")),
        service: name::Service::from(SERVICE),
        address: SocketAddr::from(([127, 0, 0, 1], 9_000)),
        zone: name::Zone::from(["a", "b", "c"][index % 3]),
        build: name::Build::from("v1"),
        slots: Some(8),
        draining: false,
        incarnation: name::Incarnation(1),
        revision: Revision::new(1),
        cold_ms: 0,
    }
}

fn fleet(upstreams: usize) -> Fleet {
    let mut fleet = Fleet::new(Settings {
        zone: name::Zone::from("a"),
        retries: Limits::default(),
        drain: Duration::from_secs(2),
        pause_max: Duration::from_mins(1),
        regions: Regions::default(),
    });
    let entries: Vec<Entry> = (0..upstreams).map(entry).collect();
    fleet.replace_all(Time(0), Revision::new(1), entries.clone());
    for (index, entry) in entries.iter().enumerate() {
        let report = Report {
            running: index as u32 * 7 % 11,
            waiting: 0,
            slots: 8,
            pace: None,
        };
        let at = Time::from_millis(1_000 + index as u64 % 400);
        fleet.record_load(at, &entry.id, report);
    }
    fleet
}

fn spread(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("spread");
    group.measurement_time(Duration::from_secs(1));
    group.warm_up_time(Duration::from_millis(300));
    let service = name::Service::from(SERVICE);
    for upstreams in [12, 140, 3_300] {
        let mut fleet = fleet(upstreams);
        let mut random = 0;
        group.bench_with_input(
            BenchmarkId::new("choose", upstreams),
            &upstreams,
            |bench, _| {
                bench.iter(|| {
                    random += 1;
                    let query = Query {
                        service: &service,
                        session: None,
                        max_connections: 0,
                        build: None,
                        tried: &[],
                        homes: &Homes::default(),
                        tie_breaker: random,
                    };
                    black_box(fleet.choose(Time::from_millis(1_500), &query))
                });
            },
        );
    }
}

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    spread(&mut criterion);
    criterion.final_summary();
}
