//! Checks the responses of upstreams, peers and the store before a codec parses them.
//!
//! The codec of `actix-http` is lenient about the heads of responses, and its parser cannot be made
//! strict from outside. Each head is therefore checked before it reaches the codec, by [`head::check`]
//! or in the connections that [`connector`] opens for `awc`:
//!
//! ```
//! use snipeusher_http::head;
//!
//! assert!(head::check(b"HTTP/1.1 200 OK\r\nX-Load: 1\r\n\r\n").is_ok());
//! assert!(head::check(b"HTTP/1.1 200 OK\r\nX-Load : 1\r\n\r\n").is_err());
//! ```

mod filter;
pub mod head;
mod socket;

pub use socket::Socket;
pub use socket::connector;
