//! Streams: events pass on as they arrive, and go on at another upstream where they may.

use std::time::Duration;
use std::time::Instant;

use slog::info;
use snipeusher::fleet::Outcome;
use snipeusher::name;
use tokio::time::timeout;

use super::Exchange;
use super::Step;
use super::attempt::Reply;
use super::attempt::is_acceptable;
use super::broken;
use crate::channel;
use crate::channel::Channel;
use crate::dialect::Platform;
use crate::flight::Flight;
use crate::outlet::Outlet;
use crate::relay;

/// Pauses of the route after which a stream that may be resumed goes on elsewhere.
const STALL_PAUSES: u32 = 3;
/// Shortest such time.
const STALL_MIN: Duration = Duration::from_secs(1);

/// What came next in a stream.
enum Next {
    Bytes(bytes::Bytes),
    End,
    Broken(channel::Error),
    Silent,
}

impl<P: Platform> Exchange<'_, P> {
    /// Passes on the events of an answer.
    pub(super) async fn stream(
        &mut self,
        upstream: &name::Upstream,
        mut channel: Channel,
        reply: Reply,
        flight: Flight<'_, P>,
        outlet: &mut Outlet<'_>,
    ) -> Step {
        if !is_acceptable(&reply) {
            self.lose(flight, upstream, "lost", "the answer is not the upstream's");
            return self.cut(outlet);
        }
        if outlet.is_begun() {
            info!(self.shared.log, "stream: resumed";
                "id" => self.admitted.call.id.as_deref(), "upstream" => upstream.as_str(),
                "after" => self.events.last());
        }
        loop {
            let bytes = match self.next(&mut channel).await {
                Next::Bytes(bytes) => {
                    flight.heard();
                    bytes
                }
                Next::End if self.events.is_whole() => {
                    self.keep(upstream, channel);
                    flight.end(Outcome::Served);
                    return Step::Answered(finish(&reply, outlet).await);
                }
                Next::End => {
                    self.lose(flight, upstream, "lost", "the stream ended within an event");
                    return self.cut(outlet);
                }
                Next::Broken(error) => {
                    self.lose(flight, upstream, "lost", &error);
                    return self.cut(outlet);
                }
                Next::Silent => {
                    self.lose(flight, upstream, "silent", "no event within the stall time");
                    return self.cut(outlet);
                }
            };
            let Ok(events) = self.events.push(&bytes) else {
                self.lose(flight, upstream, "lost", "the events are out of order");
                return self.cut(outlet);
            };
            let Some(events) = events else { continue };
            self.status.get_or_insert(reply.head.status);
            self.first.get_or_insert_with(Instant::now);
            if let Err(error) = begin(&reply, outlet) {
                return Step::Answered(Err(error));
            }
            if let Err(error) = outlet.chunk(events).await {
                return Step::Answered(Err(error));
            }
        }
    }

    async fn next(&self, channel: &mut Channel) -> Next {
        let pause = self.admitted.route.pause.unwrap_or_default();
        let stall = (pause * STALL_PAUSES).max(STALL_MIN);
        let read = loop {
            match timeout(stall, channel.chunk()).await {
                Ok(read) => break read,
                Err(_elapsed) if self.has_alternative() => return Next::Silent,
                Err(_elapsed) => {}
            }
        };
        match read {
            Ok(Some(bytes)) => Next::Bytes(bytes),
            Ok(None) => Next::End,
            Err(error) => Next::Broken(error),
        }
    }

    /// What follows when an upstream broke a stream off.
    fn cut(&mut self, outlet: &Outlet<'_>) -> Step {
        self.events.discard_partial();
        if outlet.is_begun() && !self.may_run_again() {
            return Step::Answered(broken());
        }
        Step::Lost
    }
}

fn begin(reply: &Reply, outlet: &mut Outlet<'_>) -> std::io::Result<()> {
    if outlet.is_begun() {
        return Ok(());
    }
    // A resumed stream keeps the head of its first upstream.
    outlet.begin(reply.head.status, relay::answer(&reply.head.headers))
}

async fn finish(reply: &Reply, outlet: &mut Outlet<'_>) -> std::io::Result<()> {
    begin(reply, outlet)?;
    outlet.end().await
}
