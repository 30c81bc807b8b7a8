//! Metrics sent to a statsd server.

use std::io;
use std::net::SocketAddr;
use std::net::UdpSocket;
use std::sync::Arc;
use std::time::Duration;

use cadence::BufferedUdpMetricSink;
use cadence::Histogrammed as _;
use cadence::MetricError;
use cadence::QueuingMetricSink;
use cadence::StatsdClient;
use snipeusher::name;

/// Prefix of all metric names.
const PREFIX: &str = "snipeusher";
/// Capacity of the queue to the sending thread; metrics beyond it are dropped to bound memory.
const QUEUE_CAPACITY: usize = 65_536;
/// Interval at which datagrams are sent that are not full.
pub(crate) const FLUSH_INTERVAL: Duration = Duration::from_secs(1);

/// A duration that is measured for each workspace and class, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Span {
    /// From arrival to the first dispatch.
    Queue,
    /// From arrival to the first token or byte of the response.
    FirstToken,
    /// Between two tokens.
    BetweenTokens,
    /// From arrival to the end of the response.
    Total,
}

impl Span {
    const fn name(self) -> &'static str {
        match self {
            Self::Queue => "time_in_queue_us",
            Self::FirstToken => "time_to_first_token_us",
            Self::BetweenTokens => "time_between_tokens_us",
            Self::Total => "time_whole_us",
        }
    }
}

/// Sends metrics, or drops them if no server is set.
#[derive(Clone, Debug)]
pub(crate) struct Metrics(Option<Arc<StatsdClient>>);

impl Metrics {
    pub(crate) fn open(server: Option<SocketAddr>) -> io::Result<Self> {
        let Some(server) = server else {
            return Ok(Self(None));
        };
        let local = if server.is_ipv4() {
            "0.0.0.0:0"
        } else {
            "[::]:0"
        };
        let socket = UdpSocket::bind(local)?;
        socket.set_nonblocking(true)?;
        let sink = BufferedUdpMetricSink::from(server, socket).map_err(into_io)?;
        let sink = QueuingMetricSink::with_capacity(sink, QUEUE_CAPACITY);
        Ok(Self(Some(Arc::new(StatsdClient::from_sink(PREFIX, sink)))))
    }

    /// Whether a server is set.
    pub(crate) const fn is_on(&self) -> bool {
        self.0.is_some()
    }

    pub(crate) fn record(
        &self,
        span: Span,
        workspace: &name::Workspace,
        class: &name::Class,
        duration: Duration,
    ) {
        if let Some(client) = &self.0 {
            client
                .histogram_with_tags(span.name(), duration.as_micros() as u64)
                .with_tag("workspace", workspace.as_str())
                .with_tag("class", class.as_str())
                .send();
        }
    }

    pub(crate) fn flush(&self) {
        if let Some(client) = &self.0 {
            // An unreachable server must not affect requests.
            let _result = client.flush();
        }
    }
}

fn into_io(error: MetricError) -> io::Error {
    io::Error::other(error)
}
