//! One router loses power just before the first engines of a new version register.

#[path = "../.standin-2/lab.rs"]
mod lab;
#[path = "../.standin-2/streams.rs"]
mod streams;

use std::time::Duration;

use lab::has_trouble;
use lab::sleep_ms;
use lab::Engine;
use lab::Place;
use streams::Callers;
use streams::Deployment;
use streams::PACE;

/// Streams that are taken up from which on the rule holds.
const TAKEN_UP_MIN: usize = 12;
/// Which of the routers loses power.
const LOST: usize = 0;

fn main() {
    let place = Place::open();
    let record = &place.record;
    // A trial without the new version, to see what the loss of power alone does.
    let has_release = std::env::var("RELEASE").map_or(true, |value| value != "0");
    let mut deployment = Deployment::start(&place);
    sleep_ms(5_000);
    let store = deployment.store.clone();
    let mut callers = Callers::new();
    let fronts = deployment.fronts.clone();
    let interval = Duration::from_millis(50);
    callers.begin(record, &fronts, Duration::from_millis(4_000), interval);
    if has_trouble() {
        // Without power the host answers nothing, and its channels hang.
        deployment.routers[LOST].signal("-STOP");
    }
    let others = (0..).zip(&fronts).filter(|(index, _)| *index != LOST);
    let others: Vec<_> = others.map(|(_, front)| *front).collect();
    callers.begin(record, &others, Duration::from_millis(700), interval);
    if has_release {
        for (id, zone) in [("i-a9", "a"), ("i-b9", "b")] {
            Engine::start(id, "s1", "v2", zone, PACE, record).register(&store);
            record.say(&format!("engine {id} of version v2 registered"));
        }
    }
    callers.begin(record, &others, Duration::from_millis(2_800), interval);
    if has_trouble() {
        // What it had in memory is gone when power returns.
        let router = &mut deployment.routers[LOST];
        router.kill();
        router.start(store.address, &deployment.seeds, false);
    }
    let seen = callers.join();
    let taken_up = seen.iter().filter(|stream| !stream.taken_up.is_empty());
    let taken_up: Vec<_> = taken_up.collect();
    let went_on = taken_up
        .iter()
        .filter(|stream| stream.taken_up.contains(&true))
        .count();
    let began = seen.iter().filter(|stream| stream.began).count();
    let whole = seen.iter().filter(|stream| stream.is_whole).count();
    let share = |part: usize, all: usize| part as f64 / all.max(1) as f64;
    record.say(&format!(
        "streams {}, began {began} ({:.2}), whole {whole}; taken up at routers in touch {}, \
         went on {went_on} ({:.2})",
        seen.len(),
        share(began, seen.len()),
        taken_up.len(),
        share(went_on, taken_up.len()),
    ));
    if began * 2 < seen.len() {
        place.end(deployment.routers, 2);
    }
    let limit = 0.5 * share(began, seen.len());
    let is_broken = taken_up.len() >= TAKEN_UP_MIN && share(went_on, taken_up.len()) < limit;
    place.end(deployment.routers, i32::from(is_broken));
}
