//! Time to choose an engine and to process one request, by the number of engines.

use std::hint::black_box;
use std::time::Duration;

use criterion::BenchmarkId;
use criterion::Criterion;

#[path = "fleet/mod.rs"]
mod fleet;

fn placement(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("placement");
    group.sample_size(30);
    group.measurement_time(Duration::from_secs(1));
    group.warm_up_time(Duration::from_millis(300));
    for engines in [60, 600, 2_000, 6_000] {
        let mut fleet = fleet::Fleet::new(engines, fleet::WORKSPACES);
        // Keeps one request per engine in flight, so that the load bound takes effect.
        for _ in 0..engines {
            fleet.arrive();
        }
        group.bench_with_input(BenchmarkId::new("choose", engines), &engines, |bench, _| {
            bench.iter(|| black_box(fleet.choose()));
        });
        group.bench_with_input(
            BenchmarkId::new("request", engines),
            &engines,
            |bench, _| {
                bench.iter(|| black_box(fleet.request()));
            },
        );
    }
}

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    placement(&mut criterion);
    criterion.final_summary();
}
