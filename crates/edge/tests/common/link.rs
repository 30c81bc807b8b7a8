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
    listening: RefCell<Option<JoinHandle<()>>>,
    /// Fill the queue of a listener that accepts nothing.
    hanging: RefCell<Vec<Socket>>,
}

#[derive(Default)]
struct State {
    forwarding: RefCell<Vec<JoinHandle<()>>>,
}

impl Link {
    pub async fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let link = Self {
            address: listener.local_addr().expect("it is bound"),
            target,
            state: Rc::default(),
            listening: RefCell::default(),
            hanging: RefCell::default(),
        };
        link.listen(listener);
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
        let socket = || Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        let listener = socket();
        listener.set_reuse_address(true).expect("an option");
        listener.bind(&self.address.into()).expect("a free port");
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

    pub async fn heal(&self) {
        self.hanging.take();
        let listener = TcpListener::bind(self.address).await;
        self.listen(listener.expect("the port is free again"));
    }

    fn listen(&self, listener: TcpListener) {
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

async fn forward(mut stream: TcpStream, target: SocketAddr) {
    // A link that is cut resets its connections.
    stream.set_zero_linger().expect("the socket takes options");
    if let Ok(mut upstream) = TcpStream::connect(target).await {
        let _ended = tokio::io::copy_bidirectional(&mut stream, &mut upstream).await;
    }
}
