//! A sound engine of a plain service: runs each request once, echoes its id and signs the answer.

use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::http::Message;
use crate::record::Record;

/// A request that reached an engine.
#[derive(Clone, Debug)]
pub struct Run {
    pub engine: String,
    pub id: String,
    pub path: String,
    pub tenant: String,
    pub at: Instant,
}

/// All runs of all engines.
pub type Runs = Arc<Mutex<Vec<Run>>>;

/// An engine.
pub struct Engine {
    pub id: String,
    pub address: SocketAddr,
    zone: String,
    service: String,
    /// Percentage of the requests that it sheds.
    shed_percent: Arc<AtomicU32>,
}

impl Engine {
    /// Has it shed a part of its requests from now on.
    pub fn shed(&self, percent: u32) {
        self.shed_percent.store(percent, Ordering::SeqCst);
    }

    pub fn start(id: &str, service: &str, zone: &str, runs: &Runs, record: &Arc<Record>) -> Self {
        let (runs, record) = (Arc::clone(runs), Arc::clone(record));
        let own = id.to_owned();
        let shed_percent = Arc::new(AtomicU32::new(0));
        let shed = Arc::clone(&shed_percent);
        let arrivals = AtomicU32::new(0);
        let handler = move |request: &Message, stream: &mut TcpStream| {
            let text = |name| request.header(name).unwrap_or_default().to_owned();
            let request_id = text("x-request-id");
            if text("x-expect-instance") != own {
                let headers = format!("X-Instance-Id: {own}\r\nX-Request-Id: {request_id}\r\n");
                return http::respond(stream, 421, &headers, "").map(|()| true);
            }
            // Spread evenly: of 100 requests in a row, as many as the percentage are shed.
            let place = arrivals.fetch_add(37, Ordering::SeqCst) % 100;
            let is_shed = place < shed.load(Ordering::SeqCst);
            let run = Run {
                engine: own.clone(),
                id: request_id.clone(),
                path: request.target().to_owned(),
                tenant: text("x-tenant"),
                at: Instant::now(),
            };
            let does = if is_shed { "sheds" } else { "runs" };
            record.note_at(
                run.at,
                &format!(
                    "engine {own} {does} {request_id} {} for tenant {}",
                    run.path, run.tenant
                ),
            );
            runs.lock()
                .expect("no thread fails with the lock")
                .push(run);
            if is_shed {
                let headers = format!("X-Request-Id: {request_id}\r\nX-Not-Executed: 1\r\n");
                return http::respond(stream, 503, &headers, "").map(|()| true);
            }
            thread::sleep(Duration::from_millis(15));
            let headers =
                format!("X-Request-Id: {request_id}\r\nX-Server-Signature: {own}.{request_id}\r\n");
            let body = format!("answer to {request_id}");
            http::respond(stream, 200, &headers, &body).map(|()| true)
        };
        Self {
            id: id.to_owned(),
            address: http::serve(([127, 0, 0, 1], 0).into(), Arc::new(handler)),
            zone: zone.to_owned(),
            service: service.to_owned(),
            shed_percent,
        }
    }

    /// Its key in the store.
    pub fn key(&self) -> String {
        format!("servers/{}", self.id)
    }

    /// Its entry in the store.
    pub fn entry(&self, state: &str, sequence: u64) -> String {
        format!(
            r#"{{"service":"{}","address":"{}","zone":"{}","version":"v1","slots":64,"state":"{state}","coldLeftMs":0,"sequence":{sequence},"born":1764892800000}}"#,
            self.service, self.address, self.zone
        )
    }
}
