//! Addresses for processes under test.

use std::net::TcpListener;
use std::process::Command;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;

use rstest::rstest;
use snipeusher_fakes::address::free_address;

/// Threads that start processes.
const STARTERS: usize = 8;
const ADDRESSES: usize = 400;

/// Guards against an address that is still in use since a process that is being started holds a
/// copy of the listener that found it.
#[rstest]
fn addresses_are_free_while_processes_start() {
    let stop = AtomicBool::new(false);
    let in_use = thread::scope(|scope| {
        for _ in 0..STARTERS {
            scope.spawn(|| {
                while !stop.load(Ordering::Relaxed) {
                    let ended = Command::new("true").status();
                    assert!(ended.expect("the program starts").success());
                }
            });
        }
        let addresses = (0..ADDRESSES).map(|_| free_address());
        let in_use = addresses.filter(|address| TcpListener::bind(address).is_err());
        let in_use = in_use.count();
        stop.store(true, Ordering::Relaxed);
        in_use
    });
    assert_eq!(in_use, 0, "of {ADDRESSES} addresses");
}
