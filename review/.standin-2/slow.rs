//! Connections of callers with the segment size and the window of a slow link, which the loopback
//! interface does not have by itself.

use std::ffi::c_void;
use std::io;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::os::fd::FromRawFd as _;

const AF_INET: i32 = 2;
const SOCK_STREAM: i32 = 1;
const SOL_SOCKET: i32 = 1;
const SO_RCVBUF: i32 = 8;
const IPPROTO_TCP: i32 = 6;
const TCP_MAXSEG: i32 = 2;
/// Segment size of Ethernet.
const SEGMENT_BYTES: i32 = 1_460;
/// Receive buffer; the kernel doubles it.
const WINDOW_BYTES: i32 = 8_192;

unsafe extern "C" {
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const c_void, size: u32) -> i32;
    #[link_name = "connect"]
    fn connect_raw(fd: i32, address: *const c_void, size: u32) -> i32;
}

/// Connects to a loopback address.
pub fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let SocketAddr::V4(address) = address else {
        return Err(io::ErrorKind::Unsupported.into());
    };
    let mut name = [0_u8; 16];
    name[..2].copy_from_slice(&(AF_INET as u16).to_ne_bytes());
    name[2..4].copy_from_slice(&address.port().to_be_bytes());
    name[4..8].copy_from_slice(&address.ip().octets());
    // SAFETY: the arguments are those of the C library's calls, with sizes that match, and the
    // descriptor is owned by the stream alone from here on.
    unsafe {
        let fd = socket(AF_INET, SOCK_STREAM, 0);
        if fd < 0 {
            return Err(io::Error::last_os_error());
        }
        let stream = TcpStream::from_raw_fd(fd);
        for (level, option, value) in [
            (SOL_SOCKET, SO_RCVBUF, WINDOW_BYTES),
            (IPPROTO_TCP, TCP_MAXSEG, SEGMENT_BYTES),
        ] {
            let value = (&raw const value).cast::<c_void>();
            if setsockopt(fd, level, option, value, 4) != 0 {
                return Err(io::Error::last_os_error());
            }
        }
        if connect_raw(fd, name.as_ptr().cast(), 16) != 0 {
            return Err(io::Error::last_os_error());
        }
        Ok(stream)
    }
}
