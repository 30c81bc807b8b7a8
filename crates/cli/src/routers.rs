//! What routers report about their configuration.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use futures_util::future::join_all;
use serde::Deserialize;
use serde_json::Value;
use serde_json::json;
use snipeusher::kv::Revision;

/// Time between two looks at a router that is behind.
const POLL: Duration = Duration::from_millis(100);
/// Longest time of one status call.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Largest status page.
const PAGE_BYTES_MAX: usize = 4 << 20;

/// The part of a router's status page that is needed here.
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
    fn has(&self, path: &str, revision: Revision) -> bool {
        let documents = &self.configuration.documents;
        documents.get(path).is_some_and(|held| *held >= revision)
    }
}

/// The routers by what they report; each is named by its address.
#[derive(Debug, Default)]
pub(crate) struct Found {
    pub(crate) pages: BTreeMap<String, Page>,
    pub(crate) unreachable: BTreeSet<String>,
}

/// Asks the routers and the peers that they name.
pub(crate) async fn ask(addresses: &[String]) -> Found {
    let client = awc::Client::builder().timeout(CALL_TIMEOUT).finish();
    let mut found = Found::default();
    let mut next: BTreeSet<String> = addresses.iter().cloned().collect();
    while !next.is_empty() {
        let asked: Vec<String> = std::mem::take(&mut next).into_iter().collect();
        let pages = join_all(asked.iter().map(|address| page(&client, address))).await;
        for (address, page) in asked.into_iter().zip(pages) {
            let Some(page) = page else {
                found.unreachable.insert(address);
                continue;
            };
            next.extend(
                page.peers
                    .iter()
                    .map(|peer| format!("http://{}", peer.address)),
            );
            found.pages.insert(address, page);
        }
        next.retain(|address| {
            !found.pages.contains_key(address) && !found.unreachable.contains(address)
        });
    }
    found
}

async fn page(client: &awc::Client, address: &str) -> Option<Page> {
    let url = format!("{}/status", address.trim_end_matches('/'));
    let call = async {
        let mut response = client.get(url).send().await.ok()?;
        if !response.status().is_success() {
            return None;
        }
        response.json().limit(PAGE_BYTES_MAX).await.ok()
    };
    let timely = actix_rt::time::timeout(CALL_TIMEOUT, call).await;
    timely.ok().flatten()
}

/// How far a change has come.
#[derive(Debug)]
pub(crate) struct Progress {
    pub(crate) in_force: Vec<String>,
    pub(crate) behind: Vec<String>,
    pub(crate) unreachable: Vec<String>,
}

impl Progress {
    /// Whether every reachable router has the change, and there is one.
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
            .map(|(what, addresses)| format!("{what}: {}", addresses.join(", ")));
        let lines: Vec<_> = std::iter::once(in_force).chain(others).collect();
        lines.join("\n")
    }
}

/// Waits until every reachable router has a document in a revision, or the time is over.
pub(crate) async fn wait(
    addresses: &[String],
    path: &str,
    revision: Revision,
    patience: Duration,
) -> Progress {
    let started = Instant::now();
    loop {
        let found = ask(addresses).await;
        let (in_force, behind): (Vec<_>, Vec<_>) = found
            .pages
            .into_iter()
            .partition(|(_, page)| page.has(path, revision));
        let names = |pages: Vec<(String, Page)>| pages.into_iter().map(|(name, _)| name).collect();
        let progress = Progress {
            in_force: names(in_force),
            behind: names(behind),
            unreachable: found.unreachable.into_iter().collect(),
        };
        if progress.is_complete() || started.elapsed() >= patience {
            return progress;
        }
        actix_rt::time::sleep(POLL).await;
    }
}
