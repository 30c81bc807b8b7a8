//! JSON messages of the etcd v3 gateway: bytes in base64 and 64-bit integers as strings.

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use serde::Deserialize;
use serde::Serialize;
use snipeusher::kv::Compare;
use snipeusher::kv::Entry;
use snipeusher::kv::Lease;
use snipeusher::kv::Op;
use snipeusher::kv::Output;
use snipeusher::kv::Range;
use snipeusher::kv::Revision;
use snipeusher::kv::Txn;

/// Serializes 64-bit integers as strings, as the gateway does; numbers are accepted too.
pub(crate) mod int64 {
    use serde::Deserialize;
    use serde::Deserializer;
    use serde::Serializer;
    use serde::de::Error as _;

    #[derive(Deserialize)]
    #[serde(untagged)]
    enum Value {
        Text(String),
        Number(i64),
    }

    #[expect(
        clippy::trivially_copy_pass_by_ref,
        reason = "serde passes fields by reference"
    )]
    pub(crate) fn serialize<S: Serializer>(value: &i64, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(value)
    }

    pub(crate) fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<i64, D::Error> {
        match Value::deserialize(deserializer)? {
            Value::Text(text) => text.parse().map_err(D::Error::custom),
            Value::Number(number) => Ok(number),
        }
    }
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde passes fields by reference"
)]
const fn is_zero(value: &i64) -> bool {
    *value == 0
}

fn encode(bytes: impl AsRef<[u8]>) -> String {
    STANDARD.encode(bytes)
}

/// Returns the first key after all keys with a prefix, in base64. A zero byte means that the range
/// has no end.
fn range_end(prefix: &str) -> String {
    let mut end = prefix.as_bytes().to_vec();
    while let Some(last) = end.pop() {
        if last < u8::MAX {
            end.push(last + 1);
            return encode(end);
        }
    }
    encode([0])
}

#[derive(Debug, Serialize)]
pub(crate) struct RangeRequest {
    key: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    range_end: Option<String>,
    #[serde(with = "int64", skip_serializing_if = "is_zero")]
    min_mod_revision: i64,
}

impl RangeRequest {
    pub(crate) fn new(range: &Range, after: Revision) -> Self {
        let (key, range_end) = match range {
            Range::Key(key) => (encode(key), None),
            Range::Prefix(prefix) => (encode(prefix), Some(range_end(prefix))),
        };
        let min_mod_revision = if after == Revision::new(0) {
            0
        } else {
            after.number.cast_signed() + 1
        };
        Self {
            key,
            range_end,
            min_mod_revision,
        }
    }
}

#[derive(Debug, Serialize)]
struct CompareRequest {
    result: &'static str,
    target: &'static str,
    key: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    range_end: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    mod_revision: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    create_revision: Option<String>,
}

impl From<&Compare> for CompareRequest {
    fn from(compare: &Compare) -> Self {
        let equal = |key: &str, target| Self {
            result: "EQUAL",
            target,
            key: encode(key),
            range_end: None,
            mod_revision: None,
            create_revision: None,
        };
        match compare {
            Compare::Modified(key, revision) => Self {
                mod_revision: Some(revision.number.to_string()),
                ..equal(key, "MOD")
            },
            Compare::Created(key, revision) => Self {
                create_revision: Some(revision.number.to_string()),
                ..equal(key, "CREATE")
            },
            Compare::Unchanged(prefix, revision) => Self {
                result: "LESS",
                range_end: Some(range_end(prefix)),
                mod_revision: Some((revision.number + 1).to_string()),
                ..equal(prefix, "MOD")
            },
        }
    }
}

#[derive(Debug, Serialize)]
enum OpRequest {
    #[serde(rename = "request_put")]
    Put {
        key: String,
        value: String,
        #[serde(with = "int64", skip_serializing_if = "is_zero")]
        lease: i64,
    },
    #[serde(rename = "request_delete_range")]
    DeleteRange { key: String },
    #[serde(rename = "request_range")]
    Range(RangeRequest),
    #[serde(rename = "request_txn")]
    Txn(TxnRequest),
}

impl From<&Op> for OpRequest {
    fn from(op: &Op) -> Self {
        match op {
            Op::Put { key, value, lease } => Self::Put {
                key: encode(key),
                value: encode(value),
                lease: lease.map_or(0, |lease| lease.0),
            },
            Op::Delete { key } => Self::DeleteRange { key: encode(key) },
            Op::Range(range) => Self::Range(RangeRequest::new(range, Revision::new(0))),
            Op::Txn(txn) => Self::Txn(txn.into()),
        }
    }
}

#[derive(Debug, Serialize)]
pub(crate) struct TxnRequest {
    compare: Vec<CompareRequest>,
    success: Vec<OpRequest>,
    failure: Vec<OpRequest>,
}

impl From<&Txn> for TxnRequest {
    fn from(txn: &Txn) -> Self {
        Self {
            compare: txn.compare.iter().map(Into::into).collect(),
            success: txn.success.iter().map(Into::into).collect(),
            failure: txn.failure.iter().map(Into::into).collect(),
        }
    }
}

#[derive(Debug, Serialize)]
pub(crate) struct GrantRequest {
    #[serde(rename = "TTL", with = "int64")]
    pub(crate) ttl: i64,
}

#[derive(Debug, Serialize)]
pub(crate) struct LeaseRequest {
    #[serde(rename = "ID", with = "int64")]
    pub(crate) id: i64,
}

#[derive(Debug, Serialize)]
pub(crate) struct WatchRequest {
    create_request: WatchCreate,
}

#[derive(Debug, Serialize)]
struct WatchCreate {
    key: String,
    range_end: String,
    #[serde(with = "int64")]
    start_revision: i64,
    progress_notify: bool,
}

impl WatchRequest {
    pub(crate) fn new(prefix: &str, from: Revision) -> Self {
        Self {
            create_request: WatchCreate {
                key: encode(prefix),
                range_end: range_end(prefix),
                start_revision: from.number.cast_signed(),
                progress_notify: true,
            },
        }
    }
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct Header {
    #[serde(with = "int64")]
    revision: i64,
}

impl Header {
    pub(crate) fn revision(&self) -> Revision {
        Revision::new(self.revision.max(0) as u64)
    }
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct KeyValue {
    key: String,
    value: String,
    #[serde(with = "int64")]
    create_revision: i64,
    #[serde(with = "int64")]
    mod_revision: i64,
    #[serde(with = "int64")]
    lease: i64,
}

impl KeyValue {
    fn key(&self) -> Option<String> {
        String::from_utf8(STANDARD.decode(&self.key).ok()?).ok()
    }

    /// Decodes the entry; `None` if the key is not UTF-8, which every key of the fleet is.
    fn entry(&self) -> Option<Entry> {
        Some(Entry {
            key: self.key()?,
            value: STANDARD.decode(&self.value).ok()?,
            created: Revision::new(self.create_revision.max(0) as u64),
            modified: Revision::new(self.mod_revision.max(0) as u64),
            lease: (self.lease != 0).then_some(Lease(self.lease)),
        })
    }
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct RangeResponse {
    pub(crate) header: Header,
    kvs: Vec<KeyValue>,
}

impl RangeResponse {
    pub(crate) fn entries(&self) -> Vec<Entry> {
        self.kvs.iter().filter_map(KeyValue::entry).collect()
    }
}

/// Result of one operation; at most one of the fields is set.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct OpResponse {
    response_range: Option<RangeResponse>,
    response_txn: Option<TxnResponse>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct TxnResponse {
    pub(crate) header: Header,
    pub(crate) succeeded: bool,
    responses: Vec<OpResponse>,
}

impl TxnResponse {
    pub(crate) fn results(&self) -> Vec<Output> {
        let result = |response: &OpResponse| match response {
            OpResponse {
                response_range: Some(range),
                ..
            } => Output::Found(range.entries()),
            OpResponse {
                response_txn: Some(txn),
                ..
            } => Output::Txn {
                succeeded: txn.succeeded,
                results: txn.results(),
            },
            _ => Output::Written,
        };
        self.responses.iter().map(result).collect()
    }
}

/// Response to a grant or a keep-alive.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct LeaseResponse {
    #[serde(rename = "ID", with = "int64")]
    pub(crate) id: i64,
    #[serde(rename = "TTL", with = "int64")]
    pub(crate) ttl: i64,
}

/// Wrapper of each message in a streaming response.
#[derive(Debug, Deserialize)]
pub(crate) struct StreamMessage<T> {
    pub(crate) result: T,
}

#[derive(Debug, Deserialize)]
pub(crate) struct RevokeResponse {
    #[serde(default, rename = "header")]
    _header: Header,
}

/// Body of an error response.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct ErrorBody {
    /// gRPC status code.
    pub(crate) code: u32,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct WatchEvent {
    #[serde(rename = "type")]
    kind: Option<String>,
    kv: KeyValue,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct WatchResponse {
    pub(crate) header: Header,
    pub(crate) canceled: bool,
    events: Vec<WatchEvent>,
}

impl WatchResponse {
    /// Returns the written entries and the deleted keys.
    pub(crate) fn changes(&self) -> (Vec<Entry>, Vec<String>) {
        let mut entries = Vec::new();
        let mut deleted = Vec::new();
        for event in &self.events {
            if event.kind.as_deref() == Some("DELETE") {
                deleted.extend(event.kv.key());
            } else {
                entries.extend(event.kv.entry());
            }
        }
        (entries, deleted)
    }
}
