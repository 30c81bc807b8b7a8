//! Reads and checks callers' requests: key, headers and body.

use std::borrow::Cow;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use actix_web::HttpRequest;
use actix_web::web;
use bytes::Bytes;
use bytes::BytesMut;
use futures_util::StreamExt as _;
use serde::Deserialize;
use serde_json::Value;
use serde_json::value::RawValue;
use snipeusher::hash;
use snipeusher::name;
use snipeusher::policy;
use snipeusher::policy::Policy;
use snipeusher::request::Chat;
use snipeusher::request::Request;
use snipeusher::request::Target;
use snipeusher::request::Variant;
use tokio::time::timeout_at;

use crate::attempt::header_text;
use crate::problem::Kind;
use crate::problem::Problem;
use crate::shared::Shared;

/// Estimated bytes of prompt text per token, used until the engine reports its count.
const BYTES_PER_TOKEN: u64 = 4;

/// An authenticated caller, common to requests for engines and for plain services.
#[derive(Clone, Debug)]
pub(crate) struct Caller {
    pub(crate) policy: Arc<Policy>,
    pub(crate) arrived: Instant,
}

/// A chat or completion for an engine.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    pub(crate) request: Request,
    pub(crate) deadline: Instant,
    /// URL path at the engine.
    pub(crate) path: &'static str,
    pub(crate) body: Bytes,
    pub(crate) streamed: bool,
}

/// Checks the size of the headers and finds the workspace of the bearer key.
pub(crate) fn authenticate(shared: &Shared, request: &HttpRequest) -> Result<Caller, Problem> {
    let arrived = Instant::now();
    let limit = shared.settings.header_bytes;
    let length: usize = request
        .headers()
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len())
        .sum::<usize>()
        + request.uri().path().len()
        + request.query_string().len();
    if length > limit {
        let detail = format!("{length} bytes of header lines are more than {limit}");
        return Err(Problem::not_run(Kind::HeaderTooLong, detail));
    }
    let key = header_text(request.headers(), "authorization")
        .and_then(|value| value.strip_prefix("Bearer "))
        .ok_or_else(|| Problem::not_run(Kind::UnknownKey, "the request has no bearer key"))?;
    let policy = shared.directory.borrow().find(key);
    let policy = policy
        .ok_or_else(|| Problem::not_run(Kind::UnknownKey, "no workspace has this bearer key"))?;
    shared.counts.requests.add();
    Ok(Caller { policy, arrived })
}

impl Caller {
    /// The class that the request names, or the default.
    pub(crate) fn class(
        &self,
        request: &HttpRequest,
        default: &name::Class,
    ) -> Result<(name::Class, &policy::Class), Problem> {
        let named = request.headers().get("x-class");
        let named = named.map(|value| value.to_str().unwrap_or(""));
        let class = named.unwrap_or(default.as_str());
        let (class, settings) = self.policy.classes.get_key_value(class).ok_or_else(|| {
            Problem::not_run(Kind::UnknownClass, format!("there is no class {class:?}"))
        })?;
        Ok((class.clone(), settings))
    }

    /// The deadline of the complete response. The caller may shorten the timeout of the class.
    pub(crate) fn deadline(
        &self,
        request: &HttpRequest,
        class: &policy::Class,
    ) -> Result<Instant, Problem> {
        let mut timeout_ms = class.deadline_ms;
        if let Some(value) = request.headers().get("x-request-deadline-ms") {
            let requested = value.to_str().ok().and_then(|text| text.parse().ok());
            let requested: u64 = requested.filter(|ms| *ms > 0).ok_or_else(|| {
                let detail =
                    "X-Request-Deadline-Ms: expected a whole number of milliseconds above 0";
                Problem::not_run(Kind::MalformedHeader, detail)
            })?;
            timeout_ms = timeout_ms.min(requested);
        }
        Ok(self.arrived + Duration::from_millis(timeout_ms))
    }
}

/// Reads a body of at most `limit` bytes until `deadline`.
pub(crate) async fn read_body(
    request: &HttpRequest,
    payload: &mut web::Payload,
    limit: u64,
    deadline: Instant,
) -> Result<Bytes, Problem> {
    let too_large = || {
        let detail = format!("the body is longer than {limit} bytes");
        Problem::not_run(Kind::BodyTooLarge, detail)
    };
    let announced =
        header_text(request.headers(), "content-length").and_then(|text| text.parse().ok());
    if announced.is_some_and(|length: u64| length > limit) {
        return Err(too_large());
    }
    let mut buffer = BytesMut::with_capacity(announced.unwrap_or_default() as usize);
    loop {
        let chunk = timeout_at(deadline.into(), payload.next()).await;
        let chunk = chunk.map_err(|_elapsed| {
            Problem::not_run(
                Kind::BodyTooSlow,
                "the body did not arrive before the deadline",
            )
        })?;
        let Some(chunk) = chunk else {
            return Ok(buffer.freeze());
        };
        let chunk = chunk.map_err(|error| {
            Problem::not_run(Kind::MalformedBody, format!("the body broke off: {error}"))
        })?;
        if (buffer.len() + chunk.len()) as u64 > limit {
            return Err(too_large());
        }
        buffer.extend_from_slice(&chunk);
    }
}

#[derive(Debug, Deserialize)]
struct Body<'a> {
    #[serde(borrow)]
    model: Cow<'a, str>,
    #[serde(borrow)]
    adapter: Option<Cow<'a, str>>,
    #[serde(borrow)]
    version: Option<Cow<'a, str>>,
    stream: Option<bool>,
    max_tokens: Option<u64>,
    max_completion_tokens: Option<u64>,
    #[serde(borrow)]
    messages: Option<Vec<Message<'a>>>,
    #[serde(borrow)]
    prompt: Option<&'a RawValue>,
}

#[derive(Debug, Deserialize)]
struct Message<'a> {
    #[serde(borrow)]
    role: Cow<'a, str>,
    #[serde(borrow)]
    content: Option<&'a RawValue>,
}

/// An API endpoint of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Endpoint {
    Chat,
    Completion,
}

impl Endpoint {
    const fn path(self) -> &'static str {
        match self {
            Self::Chat => "/v1/chat/completions",
            Self::Completion => "/v1/completions",
        }
    }
}

impl Call {
    /// Reads the body and checks it against the policy.
    pub(crate) fn parse(
        shared: &Shared,
        caller: &Caller,
        request: &HttpRequest,
        endpoint: Endpoint,
        bytes: Bytes,
        deadline: Instant,
    ) -> Result<Self, Problem> {
        let policy = &caller.policy;
        let (class_name, class) = caller.class(request, &policy.default_class)?;
        let body: Body<'_> = serde_json::from_slice(&bytes)
            .map_err(|error| Problem::not_run(Kind::MalformedBody, error.to_string()))?;
        let variant = resolve_variant(policy, &body)?;
        let missing = match endpoint {
            Endpoint::Chat if body.messages.as_ref().is_none_or(Vec::is_empty) => Some("messages"),
            Endpoint::Completion if body.prompt.is_none() => Some("prompt"),
            _ => None,
        };
        if let Some(member) = missing {
            let detail = format!("the body has no member {member:?}");
            return Err(Problem::not_run(Kind::MalformedBody, detail));
        }
        let prompt_bytes: usize = match &body.messages {
            Some(messages) => messages.iter().map(Message::len).sum(),
            None => body.prompt.map_or(0, |prompt| prompt.get().len()),
        };
        let output_limit = body.max_completion_tokens.or(body.max_tokens);
        let chat = chat_id(request, policy, &variant, body.messages.as_deref());
        let streamed = body.stream.unwrap_or(false);
        let has_version = body.version.is_some();
        let length = bytes.len() as u64;
        let body = if has_version {
            bytes
        } else {
            with_version(&bytes, &variant.version)?
        };
        Ok(Self {
            request: Request {
                id: shared.next_id(),
                workspace: policy.workspace.clone(),
                class: class_name,
                target: Target::Model(variant),
                chat,
                prompt_tokens: (prompt_bytes as u64).div_ceil(BYTES_PER_TOKEN),
                output_tokens: output_limit.unwrap_or(class.output_tokens),
                bytes: length,
                deadline: shared.time(deadline),
                idempotent: class.idempotent,
            },
            deadline,
            path: endpoint.path(),
            body,
            streamed,
        })
    }

    /// The body of a request that continues a partial output of `tokens` tokens, if the output can
    /// be continued.
    pub(crate) fn continuation(&self, output: &str, tokens: u64) -> Option<Bytes> {
        let mut body: Value = serde_json::from_slice(&self.body).ok()?;
        if let Some(messages) = body.get_mut("messages") {
            let partial = serde_json::json!({ "role": "assistant", "content": output });
            messages.as_array_mut()?.push(partial);
            body["continue_final_message"] = true.into();
            body["add_generation_prompt"] = false.into();
        } else {
            let prompt = body.get("prompt")?.as_str()?;
            body["prompt"] = format!("{prompt}{output}").into();
        }
        for member in ["max_tokens", "max_completion_tokens"] {
            if let Some(limit) = body.get(member).and_then(Value::as_u64) {
                body[member] = limit
                    .checked_sub(tokens)
                    .filter(|remaining| *remaining > 0)?
                    .into();
            }
        }
        Some(body.to_string().into())
    }
}

impl Message<'_> {
    fn len(&self) -> usize {
        self.role.len() + self.content.map_or(0, |content| content.get().len())
    }
}

/// Resolves the model, adapter and version that the policy allows.
fn resolve_variant(policy: &Policy, body: &Body<'_>) -> Result<Variant, Problem> {
    let requested = body.model.as_ref();
    let (model, allowed) = policy
        .models
        .get_key_value(requested)
        .ok_or_else(|| Problem::not_run(Kind::ModelNotAllowed, format!("model {requested:?}")))?;
    let adapter = body.adapter.as_deref().map(name::Adapter::from);
    if let Some(adapter) = &adapter
        && !allowed.adapters.contains(adapter)
    {
        let detail = format!("adapter {:?} of model {requested:?}", adapter.as_str());
        return Err(Problem::not_run(Kind::AdapterNotAllowed, detail));
    }
    let version = match body.version.as_deref() {
        Some(requested) => allowed
            .versions
            .iter()
            .find(|known| known.as_str() == requested),
        None => allowed.versions.first(),
    };
    let version = version.ok_or_else(|| {
        let version = body.version.as_deref().unwrap_or("");
        let detail = format!("version {version:?} of model {requested:?}");
        Problem::not_run(Kind::VersionNotAllowed, detail)
    })?;
    Ok(Variant {
        model: model.clone(),
        adapter,
        version: version.clone(),
    })
}

/// The id of the chat, which placement uses as its key: a hash of the model, adapter and version
/// with the caller's chat id or else the messages up to the first one of the user, which all
/// prompts of a chat share.
fn chat_id(
    request: &HttpRequest,
    policy: &Policy,
    variant: &Variant,
    messages: Option<&[Message<'_>]>,
) -> Option<Chat> {
    let mut key = hash::bytes(policy.workspace.as_str().as_bytes());
    let mut add = |text: &str| key = hash::mix(key, hash::bytes(text.as_bytes()));
    add(variant.model.as_str());
    add(variant.adapter.as_ref().map_or("", name::Adapter::as_str));
    add(variant.version.as_str());
    if let Some(id) = request.headers().get("x-chat-id") {
        add(&String::from_utf8_lossy(id.as_bytes()));
        return Some(Chat(key));
    }
    for message in messages? {
        add(&message.role);
        add(message.content.map_or("", RawValue::get));
        if message.role == "user" {
            break;
        }
    }
    Some(Chat(key))
}

/// Adds the version to the body, so that an engine with several versions runs the chosen one.
fn with_version(bytes: &Bytes, version: &name::Version) -> Result<Bytes, Problem> {
    let malformed =
        |error: serde_json::Error| Problem::not_run(Kind::MalformedBody, error.to_string());
    let mut members: BTreeMap<Cow<'_, str>, &RawValue> =
        serde_json::from_slice(bytes).map_err(malformed)?;
    let value = serde_json::value::to_raw_value(version).map_err(malformed)?;
    members.insert("version".into(), &value);
    serde_json::to_vec(&members)
        .map(Bytes::from)
        .map_err(malformed)
}
