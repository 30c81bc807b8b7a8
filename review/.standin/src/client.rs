//! Consumers that send requests at a steady rate, each on a channel of its own.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::record::Record;

/// A request and its answer.
#[derive(Clone, Debug)]
pub struct Answer {
    pub id: String,
    pub node: String,
    pub key: String,
    pub sent: Instant,
    /// Zero if no whole answer came.
    pub status: u16,
}

/// All answers.
pub type Answers = Arc<Mutex<Vec<Answer>>>;

/// What a consumer sends again and again.
#[derive(Clone, Debug)]
pub struct Plan {
    pub node: String,
    pub front: SocketAddr,
    pub path: &'static str,
    pub key: &'static str,
    pub every: Duration,
}

/// Consumers that send until they are stopped.
pub struct Clients {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
    next: Arc<AtomicU64>,
    pub answers: Answers,
    record: Arc<Record>,
}

impl Clients {
    pub fn new(record: &Arc<Record>) -> Self {
        Self {
            stop: Arc::default(),
            threads: Vec::new(),
            next: Arc::new(AtomicU64::new(1)),
            answers: Arc::default(),
            record: Arc::clone(record),
        }
    }

    /// Starts a consumer; it stops by itself once `until` is set.
    pub fn start(&mut self, plan: Plan, until: &Arc<AtomicBool>) {
        let (stop, until, next) = (
            Arc::clone(&self.stop),
            Arc::clone(until),
            Arc::clone(&self.next),
        );
        let (answers, record) = (Arc::clone(&self.answers), Arc::clone(&self.record));
        self.threads.push(thread::spawn(move || {
            while !stop.load(Ordering::SeqCst) && !until.load(Ordering::SeqCst) {
                let began = Instant::now();
                let answer = send(&plan, &next, &record);
                answers
                    .lock()
                    .expect("no thread fails with the lock")
                    .push(answer);
                thread::sleep(plan.every.saturating_sub(began.elapsed()));
            }
        }));
    }

    /// Stops all consumers and returns what they got.
    pub fn finish(self) -> Vec<Answer> {
        self.stop.store(true, Ordering::SeqCst);
        for thread in self.threads {
            let _ended = thread.join();
        }
        let answers = self.answers.lock().expect("no thread fails with the lock");
        answers.clone()
    }
}

fn send(plan: &Plan, next: &AtomicU64, record: &Record) -> Answer {
    let id = format!("{:016x}", next.fetch_add(1, Ordering::SeqCst));
    let (path, key, node) = (plan.path, plan.key, &plan.node);
    let text = format!(
        "GET {path} HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: {id}\r\n\
         X-Request-Deadline: 1500\r\nX-Api-Key: {key}\r\nConnection: close\r\n\r\n"
    );
    let sent = Instant::now();
    let answered = http::call(plan.front, &text, Duration::from_millis(1_500));
    let status = answered.as_ref().map_or(0, http::Message::status);
    let signature = answered
        .as_ref()
        .ok()
        .and_then(|answer| answer.header("x-server-signature"))
        .unwrap_or("none")
        .to_owned();
    record.note_at(
        sent,
        &format!("request {id} {path} key {key} to {node}: {status}, signature {signature}"),
    );
    Answer {
        id,
        node: node.clone(),
        key: key.to_owned(),
        sent,
        status,
    }
}
