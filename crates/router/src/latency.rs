//! Latencies of requests.

use std::time::Instant;

use snipeusher::name;
use snipeusher::request::Request;

use crate::metric::Metrics;
use crate::metric::Span;

/// Records the latencies of one request as metrics.
#[derive(Debug)]
pub(crate) struct Recorder {
    workspace: name::Workspace,
    class: name::Class,
    arrived: Instant,
    is_dispatched: bool,
    last_progress: Option<Instant>,
}

impl Recorder {
    pub(crate) fn new(request: &Request, arrived: Instant) -> Self {
        Self {
            workspace: request.workspace.clone(),
            class: request.class.clone(),
            arrived,
            is_dispatched: false,
            last_progress: None,
        }
    }

    pub(crate) fn record_dispatch(&mut self, metrics: &Metrics) {
        if !self.is_dispatched {
            self.is_dispatched = true;
            self.record(metrics, Span::Queue, self.arrived);
        }
    }

    pub(crate) fn record_progress(&mut self, metrics: &Metrics) {
        if !metrics.is_on() {
            return;
        }
        match self.last_progress.replace(Instant::now()) {
            Some(last) => self.record(metrics, Span::BetweenTokens, last),
            None => self.record(metrics, Span::FirstToken, self.arrived),
        }
    }

    pub(crate) fn record_end(&self, metrics: &Metrics) {
        self.record(metrics, Span::Total, self.arrived);
    }

    fn record(&self, metrics: &Metrics, span: Span, since: Instant) {
        if metrics.is_on() {
            metrics.record(span, &self.workspace, &self.class, since.elapsed());
        }
    }
}
