//! One router is killed while its callers read streams that began more than a minute ago.

#[path = "../.standin-2/lab.rs"]
mod lab;
#[path = "../.standin-2/streams.rs"]
mod streams;

use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use lab::has_trouble;
use lab::sleep_ms;
use lab::Engine;
use lab::Pace;
use lab::Place;
use streams::Callers;
use streams::Deployment;

/// A stream lasts 80 seconds.
const PACE: Pace = Pace {
    events: 160,
    gap: Duration::from_millis(500),
};
/// Time limit of the route and the callers.
const TIME_LIMIT: Duration = Duration::from_secs(95);
/// Streams that are taken up from which on the rule holds.
const TAKEN_UP_MIN: usize = 12;
/// Which of the routers is killed.
const LOST: usize = 0;

fn main() {
    let place = Place::open();
    let record = &place.record;
    // For a trial in which the streams are younger: AGE=40.
    let age = std::env::var("AGE").ok().and_then(|age| age.parse().ok());
    let age = Duration::from_secs(age.unwrap_or(66));
    let mut deployment = Deployment::start_with(&place, PACE, TIME_LIMIT);
    let store = deployment.store.clone();
    for (id, zone) in [("i-a9", "a"), ("i-b9", "b")] {
        Engine::start(id, "s1", "v2", zone, PACE, record).register(&store);
        record.say(&format!("engine {id} of version v2 registered"));
    }
    sleep_ms(3_000);
    let mut callers = Callers::with(TIME_LIMIT);
    let fronts = deployment.fronts.clone();
    callers.begin(
        record,
        &fronts,
        Duration::from_secs(4),
        Duration::from_millis(50),
    );
    record.say("streams begun");
    // New streams go on to begin, as in any service.
    callers.begin(record, &fronts, age, Duration::from_secs(2));
    if has_trouble() {
        deployment.routers[LOST].kill();
    }
    let others = (0..).zip(&fronts).filter(|(index, _)| *index != LOST);
    let others: Vec<_> = others.map(|(_, front)| *front).collect();
    callers.begin(
        record,
        &others,
        Duration::from_secs(2),
        Duration::from_millis(100),
    );
    // The streams of a minute ago end within this time; later ones are cut off with the script.
    sleep_ms(14_000);
    let count = |count: &AtomicU32| count.load(Ordering::Relaxed) as usize;
    let (begun, began) = (callers.count(), count(&callers.tally.begun));
    let (refused, went_on) = (count(&callers.tally.refused), count(&callers.tally.went_on));
    let taken_up = refused + went_on;
    let share = |part: usize, all: usize| part as f64 / all.max(1) as f64;
    record.say(&format!(
        "streams {begun}, began {began} ({:.2}); taken up at routers in touch {taken_up}, \
         went on {went_on} ({:.2})",
        share(began, begun),
        share(went_on, taken_up),
    ));
    if began * 2 < begun {
        place.end(deployment.routers, 2);
    }
    let limit = 0.5 * share(began, begun);
    let is_broken = taken_up >= TAKEN_UP_MIN && share(went_on, taken_up) < limit;
    place.end(deployment.routers, i32::from(is_broken));
}
