//! Runs a fixed number of requests to measure instructions and memory.
//!
//! `cargo bench --bench count -- ENGINES REQUESTS WORKSPACES` prints the resident memory in KiB.
//! Under `valgrind --tool=callgrind`, the difference between two runs with different numbers of
//! requests gives the instructions per request.

#[path = "fleet/mod.rs"]
mod fleet;

fn main() {
    let numbers: Vec<u64> = std::env::args()
        .filter_map(|arg| arg.parse().ok())
        .collect();
    let number = |index: usize, default: u64| numbers.get(index).copied().unwrap_or(default);
    let engines = number(0, 600);
    let requests = number(1, 1_000);
    let workspaces = number(2, fleet::WORKSPACES);
    let mut fleet = fleet::Fleet::new(engines, workspaces);
    let placed = (0..requests).filter(|_| fleet.choose().is_some()).count();
    let served = (0..requests).filter(|_| fleet.request().is_some()).count();
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let resident = status.lines().find(|line| line.starts_with("VmRSS"));
    println!(
        "{engines} engines, {placed} placed, {served} served, {}",
        resident.unwrap_or("?")
    );
}
