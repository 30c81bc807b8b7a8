//! The link from one router to an upstream, which can be cut.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use actix_rt::net::TcpListener;
use actix_rt::net::TcpStream;
use actix_rt::task::JoinHandle;
use socket2::Domain;
use socket2::Socket;
use socket2::Type;

const BACKLOG: i32 = 128;

/// How a link is cut.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cut {
    /// Connections are reset and new ones are refused.
    Refuse,
    /// Connections and attempts to open one hang.
    Hang,
    /// Connections live on, new ones are refused.
    RefuseNew,
}

/// Forwards connections to an upstream.
pub struct Link {
    pub address: SocketAddr,
    target: SocketAddr,
    state: Rc<State>,
    /// Keeps the port while nothing listens, so that no other process takes it.
    _reserved: Socket,
    listening: RefCell<Option<JoinHandle<()>>>,
    /// Fill the queue of a listener that accepts nothing.
    hanging: RefCell<Vec<Socket>>,
}

#[derive(Default)]
struct State {
    forwarding: RefCell<Vec<JoinHandle<()>>>,
}

impl Link {
    pub fn start(target: SocketAddr) -> Self {
        let reserved = bind(([127, 0, 0, 1], 0).into());
        let address = reserved.local_addr().expect("it is bound");
        let link = Self {
            address: address.as_socket().expect("an address and a port"),
            target,
            state: Rc::default(),
            _reserved: reserved,
            listening: RefCell::default(),
            hanging: RefCell::default(),
        };
        link.listen();
        link
    }

    pub fn cut(&self, cut: Cut) {
        if let Some(listening) = self.listening.take() {
            listening.abort();
        }
        if cut != Cut::RefuseNew {
            for forwarding in self.state.forwarding.take() {
                forwarding.abort();
            }
        }
    }

    /// Has attempts to open a connection hang. The listener must have ended.
    pub fn hang(&self) {
        let listener = bind(self.address);
        listener.listen(0).expect("it is bound");
        let mut hanging = self.hanging.borrow_mut();
        hanging.push(listener);
        for _ in 0..4 {
            let waiting = socket();
            waiting.set_nonblocking(true).expect("an option");
            let _in_progress = waiting.connect(&self.address.into());
            hanging.push(waiting);
        }
    }

    pub fn heal(&self) {
        self.hanging.take();
        self.listen();
    }

    fn listen(&self) {
        let listener = bind(self.address);
        listener.listen(BACKLOG).expect("it is bound");
        listener.set_nonblocking(true).expect("an option");
        let listener = TcpListener::from_std(listener.into()).expect("a runtime");
        let (target, state) = (self.target, Rc::clone(&self.state));
        let listening = actix_rt::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let forwarding = actix_rt::spawn(forward(stream, target));
                state.forwarding.borrow_mut().push(forwarding);
            }
        });
        *self.listening.borrow_mut() = Some(listening);
    }
}

fn socket() -> Socket {
    Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket")
}

/// A socket that shares its port with the others of a link.
fn bind(address: SocketAddr) -> Socket {
    let socket = socket();
    socket.set_reuse_port(true).expect("an option");
    socket.bind(&address.into()).expect("the port is free");
    socket
}

async fn forward(mut stream: TcpStream, target: SocketAddr) {
    // A link that is cut resets its connections.
    stream.set_zero_linger().expect("the socket takes options");
    if let Ok(mut upstream) = TcpStream::connect(target).await {
        let _ended = tokio::io::copy_bidirectional(&mut stream, &mut upstream).await;
    }
}
