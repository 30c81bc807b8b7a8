//! Addresses for fakes and for processes under test.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::process;
use std::sync::atomic::AtomicU16;
use std::sync::atomic::Ordering;

/// Returns a loopback address that no process listens on.
///
/// Each call uses another loopback IP: the system may assign a port that is free on 127.0.0.1 to an
/// outgoing connection of another test before the caller binds it.
pub fn free_address() -> SocketAddr {
    static COUNT: AtomicU16 = AtomicU16::new(0);
    let [high, low] = COUNT.fetch_add(1, Ordering::Relaxed).to_be_bytes();
    let [.., process] = process::id().to_be_bytes();
    let ip = Ipv4Addr::new(127, 16 + high, process, low);
    let listener = TcpListener::bind((ip, 0)).expect("loopback has a free port");
    listener.local_addr().expect("the listener is bound")
}
