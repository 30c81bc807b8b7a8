//! Addresses for fakes and for processes under test.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::process;
use std::sync::atomic::AtomicU16;
use std::sync::atomic::Ordering;

/// The lowest port that is returned. Those below are used by well-known services.
const PORT_MIN: u16 = 10_000;
/// Process ids have at most 22 bits; 8 of them are part of the IP, the others choose the port. All
/// ports are below 32,768, where the system's ports for outgoing connections start.
const PORTS: u32 = 1 << 14;

/// Returns a loopback address that no process listens on.
///
/// Each call uses another loopback IP, and processes that run at the same time use other IPs or
/// ports. No listener is opened to find a port: a process that another thread starts meanwhile
/// holds a copy of the listener until it runs its program, so the port stays in use for some
/// milliseconds after the listener is closed here.
pub fn free_address() -> SocketAddr {
    static COUNT: AtomicU16 = AtomicU16::new(0);
    let [high, low] = COUNT.fetch_add(1, Ordering::Relaxed).to_be_bytes();
    let process = process::id();
    let [.., process_low] = process.to_be_bytes();
    let port_offset = u16::try_from((process >> u8::BITS) % PORTS).expect("below 2^14");
    let ip = Ipv4Addr::new(127, 16 + high, process_low, low);
    SocketAddr::from((ip, PORT_MIN + port_offset))
}
