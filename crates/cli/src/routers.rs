//! Reads from routers which configuration they have in force.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use futures_util::future::join_all;
use serde::Deserialize;
use serde_json::Value;
use serde_json::json;
use snipeusher::kv::Revision;

/// Interval at which routers are polled while one of them is behind.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Timeout of one status request.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Largest accepted status page.
const PAGE_BYTES_MAX: usize = 4 << 20;

/// Fields of a router's status page that this command uses.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct Page {
    pub(crate) host: String,
    pub(crate) configuration: Configuration,
    peers: Vec<Peer>,
}

#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct Configuration {
    pub(crate) ready: bool,
    pub(crate) watching: bool,
    pub(crate) highest: Revision,
    documents: BTreeMap<String, Revision>,
}

#[derive(Clone, Debug, Deserialize)]
struct Peer {
    address: String,
}

impl Page {
    fn has_applied(&self, path: &str, revision: Revision) -> bool {
        let documents = &self.configuration.documents;
        documents
            .get(path)
            .is_some_and(|applied| *applied >= revision)
    }
}

/// The status pages of all routers that were found, keyed by address, and the addresses that did
/// not answer.
#[derive(Debug, Default)]
pub(crate) struct Discovery {
    pub(crate) pages: BTreeMap<String, Page>,
    pub(crate) unreachable: BTreeSet<String>,
}

/// Fetches the status pages of the given routers and, transitively, of the peers that they list.
pub(crate) async fn discover(addresses: &[String]) -> Discovery {
    let client = awc::Client::builder()
        .connector(snipeusher_http::connector(None))
        .timeout(CALL_TIMEOUT)
        .finish();
    let mut discovery = Discovery::default();
    let mut pending: BTreeSet<String> = addresses.iter().cloned().collect();
    while !pending.is_empty() {
        let batch: Vec<String> = std::mem::take(&mut pending).into_iter().collect();
        let pages = join_all(batch.iter().map(|address| fetch(&client, address))).await;
        for (address, page) in batch.into_iter().zip(pages) {
            let Some(page) = page else {
                discovery.unreachable.insert(address);
                continue;
            };
            pending.extend(
                page.peers
                    .iter()
                    .map(|peer| format!("http://{}", peer.address)),
            );
            discovery.pages.insert(address, page);
        }
        pending.retain(|address| {
            !discovery.pages.contains_key(address) && !discovery.unreachable.contains(address)
        });
    }
    discovery
}

async fn fetch(client: &awc::Client, address: &str) -> Option<Page> {
    let url = format!("{}/status", address.trim_end_matches('/'));
    let request = async {
        let mut response = client.get(url).send().await.ok()?;
        if !response.status().is_success() {
            return None;
        }
        response.json().limit(PAGE_BYTES_MAX).await.ok()
    };
    let result = actix_rt::time::timeout(CALL_TIMEOUT, request).await;
    result.ok().flatten()
}

/// Routers by whether a change is in force on them.
#[derive(Debug)]
pub(crate) struct Progress {
    pub(crate) in_force: Vec<String>,
    pub(crate) behind: Vec<String>,
    pub(crate) unreachable: Vec<String>,
}

impl Progress {
    /// Whether at least one router is reachable and the change is in force on every reachable one.
    pub(crate) const fn is_complete(&self) -> bool {
        self.behind.is_empty() && !self.in_force.is_empty()
    }

    pub(crate) fn json(&self) -> Value {
        json!({
            "in_force": self.in_force,
            "behind": self.behind,
            "unreachable": self.unreachable,
        })
    }

    pub(crate) fn text(&self) -> String {
        let in_force = format!("in force on {} routers", self.in_force.len());
        let others = [("behind", &self.behind), ("unreachable", &self.unreachable)];
        let others = others
            .iter()
            .filter(|(_, addresses)| !addresses.is_empty())
            .map(|(state, addresses)| format!("{state}: {}", addresses.join(", ")));
        let lines: Vec<_> = std::iter::once(in_force).chain(others).collect();
        lines.join("\n")
    }
}

/// Waits until a revision of a document is in force on every reachable router, or the timeout ends.
pub(crate) async fn wait(
    addresses: &[String],
    path: &str,
    revision: Revision,
    timeout: Duration,
) -> Progress {
    let started = Instant::now();
    loop {
        let discovery = discover(addresses).await;
        let (in_force, behind): (Vec<_>, Vec<_>) = discovery
            .pages
            .into_iter()
            .partition(|(_, page)| page.has_applied(path, revision));
        let addresses_of =
            |pages: Vec<(String, Page)>| pages.into_iter().map(|(address, _)| address).collect();
        let progress = Progress {
            in_force: addresses_of(in_force),
            behind: addresses_of(behind),
            unreachable: discovery.unreachable.into_iter().collect(),
        };
        if progress.is_complete() || started.elapsed() >= timeout {
            return progress;
        }
        actix_rt::time::sleep(POLL_INTERVAL).await;
    }
}
