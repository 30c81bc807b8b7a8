//! A small deployment of four routers in two zones whose callers read resumable streams, and the
//! callers' side of it.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use crate::lab::attempt;
use crate::lab::await_ready;
use crate::lab::Ask;
use crate::lab::End;
use crate::lab::Engine;
use crate::lab::Pace;
use crate::lab::Place;
use crate::lab::Record;
use crate::lab::Router;
use crate::lab::Seen;
use crate::lab::Store;
use crate::lab::Tally;

/// A stream lasts five seconds.
pub const PACE: Pace = Pace {
    events: 50,
    gap: Duration::from_millis(100),
};
/// Time limit of the route and of the callers, unless a script sets another.
pub const TIME_LIMIT: Duration = Duration::from_secs(15);
/// Attempts of one caller, the first included.
const ATTEMPTS_MAX: usize = 6;
/// Pause of a caller after a channel that failed.
const PAUSE: Duration = Duration::from_millis(300);

/// The operator's configuration: one resumable route to the service `s1`. Its objective is 400 ms
/// and its longest pause 250 ms, so that callers abandon a stream after two seconds.
const CONFIGURATION: &str = r#"{"version":3,"routes":[{"name":"r-1","host":"a.example","prefix":"/s/","kind":"streaming","resumable":true,"timeoutMs":TIMEOUT,"sloMs":400,"gapAimMs":250,"priority":0,"service":"s1","maxAttempts":2,"public":true}],"services":[{"name":"s1","maxConnections":400}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":1048576,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}"#;

/// The deployment.
pub struct Deployment {
    pub store: Store,
    pub routers: Vec<Router>,
    pub fronts: Vec<SocketAddr>,
    pub seeds: Vec<SocketAddr>,
}

impl Deployment {
    /// Starts the store, four engines of version v1 and the routers, and waits until all are ready.
    pub fn start(place: &Place) -> Self {
        Self::start_with(place, PACE, TIME_LIMIT)
    }

    /// The same with streams of another length and time limit.
    pub fn start_with(place: &Place, pace: Pace, time_limit: Duration) -> Self {
        let record = &place.record;
        let store = Store::start(record);
        let timeout = time_limit.as_millis().to_string();
        store.write("op/config", &CONFIGURATION.replace("TIMEOUT", &timeout));
        for (id, zone) in [("i-a1", "a"), ("i-a2", "a"), ("i-b1", "b"), ("i-b2", "b")] {
            Engine::start(id, "s1", "v1", zone, pace, record).register(&store);
        }
        let names = [
            ("front-a-1", "a"),
            ("front-a-2", "a"),
            ("front-b-1", "b"),
            ("front-b-2", "b"),
        ];
        let routers = names
            .iter()
            .map(|(name, zone)| Router::new(name, zone, &place.directory, &place.program, record));
        let mut routers: Vec<Router> = routers.collect();
        let seeds: Vec<SocketAddr> = routers
            .iter()
            .map(|router| router.control)
            .take(3)
            .collect();
        for router in &mut routers {
            router.start(store.address, &seeds, true);
        }
        let fronts = routers.iter().map(|router| router.front).collect();
        let deployment = Self {
            store,
            routers,
            fronts,
            seeds,
        };
        if !await_ready(&deployment.routers, Duration::from_secs(10)) {
            record.say("the routers are not ready after ten seconds");
            place.end(deployment.routers, 2);
        }
        deployment
    }
}

/// Streams of callers that begin at even intervals.
pub struct Callers {
    seen: Arc<Mutex<Vec<Seen>>>,
    threads: Vec<JoinHandle<()>>,
    count: usize,
    pub tally: Arc<Tally>,
    time_limit: Duration,
}

impl Callers {
    pub fn new() -> Self {
        Self::with(TIME_LIMIT)
    }

    /// Callers with another time limit.
    pub fn with(time_limit: Duration) -> Self {
        Self {
            seen: Arc::default(),
            threads: Vec::new(),
            count: 0,
            tally: Arc::default(),
            time_limit,
        }
    }

    /// Begins streams for `time`, one each `interval`, at the routers in turn.
    pub fn begin(
        &mut self,
        record: &Record,
        fronts: &[SocketAddr],
        time: Duration,
        interval: Duration,
    ) {
        let start = Instant::now();
        while start.elapsed() < time {
            let (fronts, record) = (fronts.to_vec(), record.clone());
            let (number, seen) = (self.count, Arc::clone(&self.seen));
            let tally = Arc::clone(&self.tally);
            self.count += 1;
            let time_limit = self.time_limit;
            self.threads.push(thread::spawn(move || {
                let stream = follow(&record, &fronts, number, time_limit, tally);
                seen.lock().expect("not poisoned").push(stream);
            }));
            thread::sleep(interval);
        }
    }

    /// Number of streams that callers asked for.
    pub fn count(&self) -> usize {
        self.count
    }

    /// Waits until all have ended.
    pub fn join(self) -> Vec<Seen> {
        for thread in self.threads {
            let _joined = thread.join();
        }
        let seen = self.seen.lock().expect("not poisoned");
        seen.clone()
    }
}

/// One caller: begins a stream and takes it up at other routers when its channel breaks.
fn follow(
    record: &Record,
    fronts: &[SocketAddr],
    number: usize,
    time_limit: Duration,
    tally: Arc<Tally>,
) -> Seen {
    let ask = Ask {
        host: "a.example".to_owned(),
        path: "/s/1".to_owned(),
        time_limit,
        gap: Duration::from_secs(2),
    };
    let start = Instant::now();
    let mut seen = Seen {
        first_router: number % fronts.len(),
        tally,
        ..Seen::default()
    };
    let mut first_events: Option<String> = None;
    for tried in 0..ATTEMPTS_MAX {
        let left = ask.time_limit.saturating_sub(start.elapsed());
        if left < Duration::from_millis(100) {
            break;
        }
        // Retries reach other routers than the first.
        let others = fronts.len() - 1;
        let router = match tried {
            0 => seen.first_router,
            _ => (seen.first_router + 1 + (number + tried) % others) % fronts.len(),
        };
        let id = format!("{number:06x}-{tried}");
        let before = seen.events.len();
        let end = attempt(
            &ask,
            fronts[router],
            &id,
            first_events.as_deref(),
            left,
            &mut seen,
        );
        let gained = seen.events.len() - before;
        record.line(&format!(
            "caller {id} at router {router}: resumes {}, {gained} events, {end:?}",
            first_events.as_deref().unwrap_or("-")
        ));
        if first_events.is_some() && end != End::NoChannel {
            if seen.taken_up.is_empty() && gained == 0 {
                seen.tally.refused.fetch_add(1, Ordering::Relaxed);
            }
            seen.taken_up.push(gained > 0 || end == End::Whole);
        }
        if first_events.is_none() && gained > 0 {
            first_events = Some(id);
        }
        if tried == 0 {
            seen.began = gained > 0;
        }
        match end {
            End::Whole => {
                seen.is_whole = true;
                break;
            }
            End::Refused(_, after) => thread::sleep(after.min(left / 3)),
            End::Cut | End::NoChannel => thread::sleep(PAUSE),
        }
    }
    seen
}
