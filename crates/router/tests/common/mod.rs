//! Starts a router with fake engines and a fake plain service, on loopback ports that the system
//! assigns.

#![allow(dead_code, reason = "each test file uses only some of the helpers")]

use std::path::Path;
use std::time::Duration;

use awc::Client;
use awc::ClientRequest;
use awc::ClientResponse;
use awc::Connector;
use futures_util::StreamExt as _;
use serde_json::Value;
use serde_json::json;
use snipeusher::config::Author;
use snipeusher::config::Change;
use snipeusher::config::Edit;
use snipeusher::config::EditId;
use snipeusher::config::Name;
use snipeusher::config::Outcome;
use snipeusher::config::Step;
use snipeusher::time::Time;
use snipeusher_fakes::engine::Engine;
use snipeusher_fakes::engine::Options;
use snipeusher_fakes::kv::Server;
use snipeusher_fakes::plain::Plain;
use snipeusher_router::Router;
use snipeusher_router::log;
use snipeusher_router::settings::Settings;
use snipeusher_router::settings::Upstream;
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpStream;

pub const KEY: &str = "reading-circle-key";
/// Bound of a wait for a condition, so that a failing test does not hang.
pub const TIMEOUT: Duration = Duration::from_secs(30);

/// A running router with its upstreams and a client.
pub struct Fleet {
    pub router: Router,
    pub engines: Vec<Engine>,
    pub plain: Vec<Plain>,
    pub client: Client,
    pub base: String,
}

/// What [`Fleet::start`] starts.
pub struct Plan {
    pub engines: usize,
    /// Number of engines that must be ready before the test begins.
    pub ready: usize,
    pub options: Options,
    pub settings: Box<dyn Fn(&mut Settings)>,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            engines: 2,
            ready: usize::MAX,
            options: Options::default(),
            settings: Box::new(|_settings| {}),
        }
    }
}

impl Fleet {
    pub async fn start(plan: Plan) -> Self {
        let mut settings = Settings::parse("host = \"test\"\nzone = \"a\"").expect("settings");
        settings.listen = ([127, 0, 0, 1], 0).into();
        settings.workers = 1;
        settings.balancer_delay = Duration::ZERO;
        settings.probe_interval = Duration::from_millis(20);
        settings.keep_alive = Duration::from_millis(200);
        let root = Path::new(env!("CARGO_MANIFEST_DIR"));
        settings.documents = Some(root.join("tests/documents"));
        let mut engines = Vec::new();
        for number in 0..plan.engines {
            let options = Options {
                name: format!("engine-{number}").into(),
                ..plan.options.clone()
            };
            let engine = Engine::bind(options).expect("an engine");
            settings.upstreams.push(upstream(
                &format!("engine-{number}"),
                engine.address(),
                None,
            ));
            engines.push(engine);
        }
        let service = Plain::bind(&"match-desk".into()).expect("a service");
        settings.upstreams.push(upstream(
            "match-desk-0",
            service.address(),
            Some("match-desk"),
        ));
        (plan.settings)(&mut settings);
        let scheme = if settings.tls.is_some() {
            "https"
        } else {
            "http"
        };
        let router = Router::bind(settings, log::discard()).expect("a router");
        let ready = plan.ready.min(plan.engines);
        wait_until(async || router.ready_engines().await == ready).await;
        // The router may close a reused connection while the client sends a request on it.
        let connector = Connector::new().conn_keep_alive(Duration::ZERO);
        let client = Client::builder()
            .connector(connector)
            .timeout(TIMEOUT)
            .finish();
        let base = format!("{scheme}://{}", router.address());
        Self {
            router,
            engines,
            plain: vec![service],
            client,
            base,
        }
    }

    pub fn post(&self, path: &str) -> ClientRequest {
        self.client
            .post(format!("{}{path}", self.base))
            .insert_header(("authorization", format!("Bearer {KEY}")))
    }

    /// Starts a chat request; [`Answer::read`] reads a streamed response.
    pub fn chat(&self) -> ClientRequest {
        self.post("/v1/chat/completions")
    }

    pub async fn status(&self) -> Value {
        let call = self.client.get(format!("{}/status", self.base)).send();
        let mut response = call.await.expect("a status");
        response.json().await.expect("JSON")
    }

    pub async fn count(&self, name: &str) -> u64 {
        let status = self.status().await;
        status["counts"][name].as_u64().expect("a count")
    }
}

pub fn upstream(name: &str, address: std::net::SocketAddr, service: Option<&str>) -> Upstream {
    Upstream {
        name: name.into(),
        address,
        zone: "a".into(),
        service: service.map(Into::into),
    }
}

/// Applies an operator's change directly, without the injected faults of the key-value service.
pub fn apply_change(server: &Server, change: Change) -> Outcome {
    let author = Author {
        name: "operator".to_owned(),
        at_ms: 0,
    };
    let id = EditId(u128::from(server.with_memory(|memory| memory.revision().number)) + 1);
    let deadline = Time::from_millis(1_000);
    let mut edit = Edit::new(change, author, id, None, Time(0), deadline);
    edit.handle(Time(0), None);
    loop {
        let step = edit.drain().next();
        match step.expect("a step") {
            Step::Done(outcome) => return outcome,
            Step::Call { id, call } => edit.handle(Time(0), Some((id, server.call(&call)))),
        }
    }
}

/// Writes the documents of the tests into the key-value service.
pub fn write_documents(server: &Server) {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/documents");
    let read = |path| std::fs::read_to_string(root.join(path)).expect("a document");
    let documents = [
        (Name::Template("letters".into()), "templates/letters.toml"),
        (
            Name::Workspace("reading-circle".into()),
            "workspaces/reading-circle.toml",
        ),
    ];
    for (name, path) in documents {
        let text = read(path);
        let outcome = apply_change(server, Change::Put { name, text });
        assert!(matches!(outcome, Outcome::Applied(_)), "{outcome:?}");
    }
}

/// A plan of a router that reads its configuration from the key-value service.
pub fn key_value_plan(server: &Server) -> Plan {
    let url = server.url();
    Plan {
        engines: 0,
        settings: Box::new(move |settings| {
            settings.documents = None;
            settings.key_value_endpoints = vec![url.clone()];
        }),
        ..Plan::default()
    }
}

/// The body of a chat request. Requests with the same text belong to the same chat.
pub fn chat_body(text: &str, stream: bool, tokens: u64) -> Value {
    json!({
        "model": "quill-llm",
        "stream": stream,
        "max_tokens": tokens,
        "messages": [
            { "role": "system", "content": "You draft letters for the reading circle." },
            { "role": "user", "content": text },
        ],
    })
}

/// The text with which the fake engine responds to [`chat_body`].
pub fn expected_text(text: &str, tokens: u64) -> String {
    let prompt = snipeusher_fakes::engine::text::Prompt::from_body(&chat_body(text, false, tokens));
    prompt.answer(tokens).concat()
}

/// Polls a condition until it holds.
pub async fn wait_until(mut condition: impl AsyncFnMut() -> bool) {
    let poll = async {
        while !condition().await {
            actix_rt::time::sleep(Duration::from_millis(5)).await;
        }
    };
    let ended = actix_rt::time::timeout(TIMEOUT, poll).await;
    assert!(ended.is_ok(), "the condition never held");
}

/// Whether a raw HTTP response with a chunked body is complete.
///
/// `awc` accepts a truncated chunked body as complete, so tests check the bytes.
pub fn is_complete(raw: &[u8]) -> bool {
    raw.ends_with(b"\r\n0\r\n\r\n")
}

/// Opens a raw connection and sends a chat request; the test reads the response.
pub async fn raw_chat(fleet: &Fleet, headers: &str, body: &Value) -> TcpStream {
    let mut stream = TcpStream::connect(fleet.router.address())
        .await
        .expect("a connection");
    let body = body.to_string();
    let length = body.len();
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: test\r\nConnection: close\r\n\
         Authorization: Bearer {KEY}\r\nContent-Length: {length}\r\n{headers}\r\n"
    );
    stream.write_all(head.as_bytes()).await.expect("a head");
    stream.write_all(body.as_bytes()).await.expect("a body");
    stream
}

/// A streamed response as the caller received it.
#[derive(Debug, Default)]
pub struct Answer {
    pub upstream: String,
    pub cached: u64,
    pub text: String,
    /// The end marker was received.
    pub done: bool,
    pub error: Option<Value>,
    /// The connection ended before the body was complete.
    pub broken: bool,
}

impl Answer {
    /// Reads a stream to its end.
    pub async fn read(mut response: ClientResponse) -> Self {
        let header = |name: &str| {
            let value = response.headers().get(name);
            value
                .and_then(|value| value.to_str().ok())
                .unwrap_or("")
                .to_owned()
        };
        let mut answer = Self {
            upstream: header("x-upstream"),
            cached: header("x-cached-tokens").parse().unwrap_or_default(),
            ..Self::default()
        };
        let mut bytes = Vec::new();
        while let Some(chunk) = response.next().await {
            match chunk {
                Ok(chunk) => bytes.extend_from_slice(&chunk),
                Err(_) => answer.broken = true,
            }
        }
        let text = String::from_utf8(bytes).expect("text");
        let mut events: Vec<_> = text.split("\n\n").collect();
        let rest = events.pop().unwrap_or_default();
        assert!(answer.broken || rest.is_empty(), "incomplete event: {rest}");
        for event in events {
            answer.add(event);
        }
        answer
    }

    fn add(&mut self, event: &str) {
        if let Some(data) = event.strip_prefix("event: error\ndata: ") {
            self.error = Some(serde_json::from_str(data).expect("a problem"));
            return;
        }
        let data = event.strip_prefix("data: ");
        let data = data.unwrap_or_else(|| panic!("not an event: {event}"));
        assert!(!self.done, "an event after the end marker: {event}");
        if data == "[DONE]" {
            self.done = true;
            return;
        }
        let chunk: Value = serde_json::from_str(data).expect("JSON");
        let choice = &chunk["choices"][0];
        let text = choice["delta"]["content"]
            .as_str()
            .or(choice["text"].as_str());
        self.text.push_str(text.unwrap_or_default());
    }
}
