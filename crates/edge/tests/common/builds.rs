//! Engines of two software versions in one service, and callers that take up their streams.

use super::Node;
use super::caller::Caller;
use super::caller::Response;
use super::caller::call;
use super::caller::post;
use super::engine::Act;
use super::engine::Engine;
use super::engine::Seen;
use super::engine::end;
use super::engine::event;
use super::engine::stream;
use super::platform;
use super::store::Store;

/// Sends events up to the fifth; a stream that is not resumed stops after the second one.
fn script(then: Act) -> impl Fn(&Seen) -> Vec<Act> {
    move |seen| {
        let mut acts = vec![stream(seen.id())];
        if let Some(last) = seen.header("t-last") {
            let last: u32 = last.parse().expect("a number");
            acts.extend((last + 1..=5).map(event));
            acts.push(end());
        } else {
            acts.extend([event(1), event(2), then.clone()]);
        }
        acts
    }
}

/// Two engines of each of two versions.
pub struct Engines([Engine; 4]);

impl Engines {
    /// Starts them. A stream that is not resumed ends with the given act after two of five events.
    pub async fn start(then: Act) -> Self {
        Self([
            Engine::start(script(then.clone())).await,
            Engine::start(script(then.clone())).await,
            Engine::start(script(then.clone())).await,
            Engine::start(script(then)).await,
        ])
    }

    pub fn with_builds(&self) -> [(&Engine, &'static str); 4] {
        let [first, second, third, fourth] = &self.0;
        [(first, "v1"), (second, "v1"), (third, "v2"), (fourth, "v2")]
    }

    /// A store that lists all of them.
    pub fn store(&self) -> Store {
        self.store_of(&["v1", "v2"])
    }

    /// A store that lists those of some versions.
    pub fn store_of(&self, builds: &[&str]) -> Store {
        let store = Store::new();
        store.configure(platform::DEFAULT);
        for build in builds {
            self.list(&store, build);
        }
        store
    }

    /// Lists the engines of a version.
    pub fn list(&self, store: &Store, build: &str) {
        for (index, (engine, of_build)) in self.with_builds().into_iter().enumerate() {
            if of_build == build {
                let id = format!("e{index}");
                store.upstream_of_build(&id, "letters", engine.address, "ready", build);
            }
        }
    }

    /// Removes the engines of a version from the list.
    pub fn unlist(&self, store: &Store, build: &str) {
        for (index, (_, of_build)) in self.with_builds().into_iter().enumerate() {
            if of_build == build {
                store.delete(&format!("up/e{index}"));
            }
        }
    }

    /// Versions of the engines that got a request whose identifier begins with `id`.
    pub fn builds(&self, id: &str) -> Vec<&'static str> {
        let engines = self.with_builds().into_iter();
        let builds = engines.flat_map(|(engine, build)| {
            let seen = engine.seen().into_iter();
            seen.filter(|seen| seen.id().starts_with(id))
                .map(move |_| build)
        });
        builds.collect()
    }
}

/// Reads the first two events of a stream and closes the connection, as a caller sees it whose
/// router is killed.
pub async fn begin(node: &Node, id: &str) {
    let mut caller = Caller::connect(node.front).await;
    caller.write(&post("/chat/", id, "x")).await;
    caller.read_to("part 2").await;
}

/// Takes up a stream after its second event.
pub async fn take_up(node: &Node, id: &str, resumes: &str) -> Response {
    resume(node, id, &format!("T-Resumes: {resumes}\r\n")).await
}

/// The same by a caller that does not name the request that began the stream.
pub async fn take_up_unnamed(node: &Node, id: &str) -> Response {
    resume(node, id, "").await
}

async fn resume(node: &Node, id: &str, header: &str) -> Response {
    let headers = format!("T-Last: 2\r\n{header}Content-Length");
    let request = post("/chat/", id, "x").replacen("Content-Length", &headers, 1);
    call(node.front, &request).await
}
