//! Messages of etcd's JSON gateway.
//!
//! They are read and written field by field instead of with the client's message types, so that
//! tests detect a mistake in those types.

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use serde_json::Value;
use serde_json::json;
use snipeusher::kv::Call;
use snipeusher::kv::Compare;
use snipeusher::kv::Entry;
use snipeusher::kv::Lease;
use snipeusher::kv::Op;
use snipeusher::kv::Output;
use snipeusher::kv::Range;
use snipeusher::kv::Reply;
use snipeusher::kv::Revision;
use snipeusher::kv::Txn;

use super::Write;

/// Parses a request to a path.
pub(super) fn parse_call(path: &str, request: &Value) -> Option<Call> {
    match path {
        "/v3/kv/range" => {
            let range = range(request)?;
            let min_revision = integer(request, "min_mod_revision")?;
            Some(match min_revision {
                0 => Call::Range(range),
                _ => Call::Changed {
                    range,
                    after: Revision::new(u64::try_from(min_revision).ok()? - 1),
                },
            })
        }
        "/v3/kv/txn" => Some(Call::Txn(txn(request)?)),
        "/v3/lease/grant" => Some(Call::Grant {
            ttl_s: u64::try_from(integer(request, "TTL")?).ok()?,
        }),
        "/v3/lease/keepalive" => Some(Call::KeepAlive(Lease(integer(request, "ID")?))),
        "/v3/lease/revoke" => Some(Call::Revoke(Lease(integer(request, "ID")?))),
        _ => None,
    }
}

/// Parses the prefix and the first revision of a watch.
pub(super) fn parse_watch(request: &Value) -> Option<(String, Revision)> {
    let create = request.get("create_request")?;
    let Range::Prefix(prefix) = range(create)? else {
        return None;
    };
    let from = u64::try_from(integer(create, "start_revision")?).ok()?;
    Some((prefix, Revision::new(from)))
}

/// Reads a 64-bit integer, which JSON carries as a string; an absent field is zero.
fn integer(object: &Value, field: &str) -> Option<i64> {
    match object.get(field) {
        None => Some(0),
        Some(Value::String(text)) => text.parse().ok(),
        Some(_) => None,
    }
}

fn bytes(object: &Value, field: &str) -> Option<Vec<u8>> {
    STANDARD.decode(object.get(field)?.as_str()?).ok()
}

fn text(object: &Value, field: &str) -> Option<String> {
    String::from_utf8(bytes(object, field)?).ok()
}

fn range(object: &Value) -> Option<Range> {
    let key = text(object, "key")?;
    if object.get("range_end").is_none() {
        return Some(Range::Key(key));
    }
    // The client sends only ranges that cover a prefix.
    let mut end = key.clone().into_bytes();
    *end.last_mut()? += 1;
    (bytes(object, "range_end")? == end).then_some(Range::Prefix(key))
}

fn txn(object: &Value) -> Option<Txn> {
    let list = |field| match object.get(field) {
        None => Some(Vec::new()),
        Some(list) => list.as_array().cloned(),
    };
    Some(Txn {
        compare: list("compare")?
            .iter()
            .map(compare)
            .collect::<Option<_>>()?,
        success: list("success")?.iter().map(op).collect::<Option<_>>()?,
        failure: list("failure")?.iter().map(op).collect::<Option<_>>()?,
    })
}

fn compare(object: &Value) -> Option<Compare> {
    let result = object.get("result")?.as_str()?;
    let target = object.get("target")?.as_str()?;
    let revision = |field| Some(Revision::new(u64::try_from(integer(object, field)?).ok()?));
    match (result, target, range(object)?) {
        ("EQUAL", "MOD", Range::Key(key)) => {
            Some(Compare::Modified(key, revision("mod_revision")?))
        }
        ("EQUAL", "CREATE", Range::Key(key)) => {
            Some(Compare::Created(key, revision("create_revision")?))
        }
        ("LESS", "MOD", Range::Prefix(prefix)) => {
            let below = revision("mod_revision")?;
            Some(Compare::Unchanged(prefix, Revision::new(below.number - 1)))
        }
        _ => None,
    }
}

fn op(object: &Value) -> Option<Op> {
    let (kind, inner) = object.as_object()?.iter().next()?;
    match kind.as_str() {
        "request_put" => {
            let lease = integer(inner, "lease")?;
            Some(Op::Put {
                key: text(inner, "key")?,
                value: bytes(inner, "value")?,
                lease: (lease != 0).then_some(Lease(lease)),
            })
        }
        "request_delete_range" => Some(Op::Delete {
            key: text(inner, "key")?,
        }),
        "request_range" => Some(Op::Range(range(inner)?)),
        "request_txn" => Some(Op::Txn(txn(inner)?)),
        _ => None,
    }
}

fn header(revision: Revision) -> Value {
    json!({"cluster_id": "1", "member_id": "1", "revision": revision.number.to_string()})
}

fn key_value(entry: &Entry) -> Value {
    let mut object = json!({
        "key": STANDARD.encode(&entry.key),
        "value": STANDARD.encode(&entry.value),
        "create_revision": entry.created.number.to_string(),
        "mod_revision": entry.modified.number.to_string(),
        "version": "1",
    });
    if let Some(lease) = entry.lease {
        object["lease"] = json!(lease.0.to_string());
    }
    object
}

fn encode_entries(entries: &[Entry]) -> Value {
    let kvs: Vec<_> = entries.iter().map(key_value).collect();
    json!({"kvs": kvs, "count": entries.len().to_string()})
}

fn encode_output(output: &Output) -> Value {
    match output {
        Output::Written => json!({"response_put": {}}),
        Output::Found(entries) => json!({"response_range": encode_entries(entries)}),
        Output::Txn { succeeded, results } => {
            let responses: Vec<_> = results.iter().map(encode_output).collect();
            json!({"response_txn": {"succeeded": succeeded, "responses": responses}})
        }
    }
}

/// Encodes the response to a call.
pub(super) fn encode_reply(reply: &Reply, revision: Revision) -> Value {
    let mut response = match reply {
        Reply::Range { entries, .. } => encode_entries(entries),
        Reply::Txn {
            succeeded, results, ..
        } => {
            let responses: Vec<_> = results.iter().map(encode_output).collect();
            json!({"succeeded": succeeded, "responses": responses})
        }
        Reply::Grant { lease, ttl_s } => {
            json!({"ID": lease.0.to_string(), "TTL": ttl_s.to_string()})
        }
        // The gateway omits a field that is zero, and wraps each message of a stream in `result`.
        Reply::KeepAlive { ttl_s: 0 } => return json!({"result": {"header": header(revision)}}),
        Reply::KeepAlive { ttl_s } => {
            return json!({"result": {"header": header(revision), "TTL": ttl_s.to_string()}});
        }
        Reply::Revoke => json!({}),
    };
    response["header"] = header(revision);
    response
}

/// Encodes the first message of a watch.
pub(super) fn encode_watch_created(revision: Revision) -> Value {
    json!({"result": {"header": header(revision), "created": true}})
}

/// Encodes the events of a write for keys with the given prefix; `None` if there are none.
pub(super) fn encode_write(write: &Write, prefix: &str) -> Option<Value> {
    let written = write
        .entries
        .iter()
        .filter(|entry| entry.key.starts_with(prefix))
        .map(|entry| json!({"kv": key_value(entry)}));
    let deleted = write
        .deleted
        .iter()
        .filter(|key| key.starts_with(prefix))
        .map(|key| {
            let revision = write.revision.number.to_string();
            json!({"type": "DELETE", "kv": {"key": STANDARD.encode(key), "mod_revision": revision}})
        });
    let events: Vec<_> = written.chain(deleted).collect();
    let message = json!({"result": {"header": header(write.revision), "events": events}});
    (!events.is_empty()).then_some(message)
}
