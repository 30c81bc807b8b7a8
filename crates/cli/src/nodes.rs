//! Shows the status that nodes report about themselves.

use std::time::Duration;

use futures_util::future::join_all;
use serde_json::Value;
use serde_json::json;
use snipeusher_edge::status;
use snipeusher_edge::status::State;
use snipeusher_edge::status::Status;

use crate::error;
use crate::output::Output;

/// Timeout of one status request.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Largest accepted status; it has some 150 bytes for each of up to 3,300 upstreams.
const STATUS_BYTES_MAX: usize = 4 << 20;

/// Fetches the status of each node; the exit code is 0 if all of them answered and are ready.
pub(crate) async fn status(addresses: &[String]) -> Output {
    let client = awc::Client::builder()
        .connector(snipeusher_http::connector(None))
        .timeout(CALL_TIMEOUT)
        .finish();
    let requests = addresses.iter().map(|address| fetch(&client, address));
    let results = join_all(requests).await;
    let mut lines = Vec::new();
    let mut entries = Vec::new();
    let mut all_ready = true;
    for (address, result) in addresses.iter().zip(results) {
        match result {
            Ok(status) => {
                all_ready &= status.ready;
                lines.extend(text(address, &status));
                entries.push(json!({"address": address, "status": status}));
            }
            Err(error) => {
                all_ready = false;
                lines.push(format!("{address}: {error}"));
                entries.push(json!({"address": address, "error": error}));
            }
        }
    }
    Output {
        text: lines.join("\n"),
        json: Value::Array(entries),
        code: if all_ready { 0 } else { error::BEHIND },
    }
}

async fn fetch(client: &awc::Client, address: &str) -> Result<Status, String> {
    let url = format!("http://{address}{}", status::PATH);
    let sent = client.get(url).send().await;
    let mut response = sent.map_err(|error| error.to_string())?;
    if !response.status().is_success() {
        return Err(format!("it answers {}", response.status()));
    }
    let status = response.json().limit(STATUS_BYTES_MAX).await;
    status.map_err(|error| error.to_string())
}

fn text(address: &str, status: &Status) -> Vec<String> {
    let phase = match (status.leaving, status.ready) {
        (true, _) => "leaving",
        (false, true) => "ready",
        (false, false) => "not ready",
    };
    let configuration = status.configuration.as_ref().map_or_else(
        || "no configuration".to_owned(),
        |configuration| {
            format!(
                "configuration {} (revision {}, {} routes, {} s old)",
                configuration.version,
                configuration.revision,
                configuration.routes,
                configuration.age_ms / 1_000
            )
        },
    );
    let store = match (status.store.lost_ms, status.store.reads) {
        (Some(ms), _) => format!("store lost for {ms} ms"),
        (None, true) => "reads the store".to_owned(),
        (None, false) => "hears the store's news from peers".to_owned(),
    };
    let mut lines = vec![
        format!("{address} {} in {}: {phase}", status.host, status.zone),
        format!("  {configuration}"),
        format!(
            "  {store}, upstreams of revision {}{}",
            status.store.upstreams_revision,
            era(status.store.era)
        ),
        format!(
            "  {} routers, {} open requests",
            status.routers, status.open_requests
        ),
    ];
    for retries in &status.retries_left {
        let (service, left) = (&retries.service, retries.remaining);
        lines.push(format!("  {service}: {left} repeats left"));
    }
    for evacuation in &status.evacuated {
        lines.push(format!(
            "  zone {} evacuated for {} s, {} open requests there",
            evacuation.zone,
            evacuation.age_ms / 1_000,
            evacuation.open_requests
        ));
    }
    let ready = status.upstreams.iter();
    let ready = ready.filter(|upstream| upstream.state == State::Ready);
    lines.push(format!(
        "  {} of {} upstreams ready",
        ready.count(),
        status.upstreams.len()
    ));
    for upstream in &status.upstreams {
        let reason = match upstream.state {
            State::Ready => continue,
            State::Leaving => "leaving or no longer listed",
            State::Announced => "leaving, as it said itself",
            State::Evacuated => "in an evacuated zone",
            State::Paused => "asked for a pause",
            State::Unreachable => "cannot be connected to",
            State::Ejected => "set aside, it failed too often",
            State::Silent => "has requests and says nothing",
        };
        lines.push(format!(
            "  {} ({}, {}): {reason}; {} requests, {:.0}% failed",
            upstream.id,
            upstream.service,
            upstream.zone,
            upstream.own,
            upstream.failures * 100.0
        ));
    }
    lines
}

/// The era of a store that was restored; nothing for one that never was.
fn era(era: u64) -> String {
    if era == 0 {
        String::new()
    } else {
        format!(" in era {era}")
    }
}
