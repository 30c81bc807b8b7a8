//! Checks of templates and bindings that collect every mistake.

use std::collections::BTreeMap;

use serde::de::DeserializeOwned;

use super::Binding;
use super::Body;
use super::Mistake;
use super::Template;
use crate::name;
use crate::policy;

/// Longest name, which also bounds the keys in the key-value service.
const NAME_CHARS: usize = 64;
/// Most bytes of a request body, which a router holds in memory while the request is queued.
const BODY_BYTES_MAX: u64 = 64 << 20;
/// Sections of a body.
const SECTIONS: [&str; 5] = ["models", "classes", "default_class", "services", "limits"];

/// The path of a key within a place.
pub(super) fn inside(path: &str, key: &str) -> String {
    if path.is_empty() {
        return key.to_owned();
    }
    format!("{path}.{key}")
}

/// All mistakes of a template, with each parameter at its default, lowest and highest value.
pub(super) fn template(template: &Template) -> Vec<Mistake> {
    let mut found = Vec::new();
    check_name("name", template.name.as_str(), &mut found);
    for (name, parameter) in &template.parameters {
        let path = format!("parameters.{name}");
        check_name(&path, name, &mut found);
        for text in parameter.mistakes() {
            push(&path, text, &mut found);
        }
    }
    if !found.is_empty() {
        // A wrong declaration would be reported again wherever the parameter is used.
        if let Err(mistakes) = template.filled(&BTreeMap::new()) {
            found.extend(mistakes);
        }
        return found;
    }
    if let Err(mistakes) = template.filled(&BTreeMap::new()) {
        return mistakes;
    }
    for (name, parameter) in &template.parameters {
        let choices = parameter.choices.iter().cloned().map(toml::Value::String);
        let ends = parameter.min.iter().chain(&parameter.max).cloned();
        for value in ends.chain(choices) {
            let given = BTreeMap::from([(name.clone(), value.clone())]);
            for mistake in template.filled(&given).err().into_iter().flatten() {
                let text = format!("with {name} = {value}: {}", mistake.text);
                push(&mistake.path, text, &mut found);
            }
        }
    }
    found
}

/// All mistakes of a binding that show without its template.
pub(super) fn binding(binding: &Binding) -> Vec<Mistake> {
    let mut found = Vec::new();
    check_name("workspace", binding.workspace.as_str(), &mut found);
    check_name("template", binding.template.as_str(), &mut found);
    if binding.keys.is_empty() {
        push("keys", "at least one key digest is needed", &mut found);
    }
    found
}

/// Reads a filled body section by section, so that one mistake does not hide the next.
pub(super) fn body(filled: toml::Value, found: &mut Vec<Mistake>) -> Option<Body> {
    let toml::Value::Table(mut table) = filled else {
        push("", "the body must be a table", found);
        return None;
    };
    for key in table.keys() {
        if !SECTIONS.contains(&key.as_str()) {
            push(key, "unknown section", found);
        }
    }
    let models = entries("models", table.remove("models"), found);
    let classes = entries("classes", table.remove("classes"), found);
    let services = entries("services", table.remove("services"), found);
    let limits = table.remove("limits").map_or_else(
        || Some(policy::Limits::default()),
        |value| fields("limits", value, found),
    );
    let default_class = match table.remove("default_class") {
        Some(toml::Value::String(text)) => Some(name::Class::from(text)),
        Some(_) => {
            push("default_class", "must be text", found);
            None
        }
        None => {
            push("default_class", "is missing", found);
            None
        }
    };
    let body = Body {
        models: models?,
        classes: classes?,
        default_class: default_class?,
        services: services?,
        limits: limits?,
    };
    check_body(&body, found);
    Some(body)
}

fn check_body(body: &Body, found: &mut Vec<Mistake>) {
    if body.classes.is_empty() {
        push("classes", "at least one class is needed", found);
    }
    if !body.classes.contains_key(&body.default_class) {
        let text = format!("there is no class {:?}", body.default_class.as_str());
        push("default_class", text, found);
    }
    for (name, model) in &body.models {
        if model.versions.is_empty() {
            let path = format!("models.{name}.versions");
            push(&path, "at least one version is needed", found);
        }
    }
    for (name, class) in &body.classes {
        check_class(&format!("classes.{name}"), class, found);
    }
    let mut paths = BTreeMap::new();
    for (name, service) in &body.services {
        let path = format!("services.{name}");
        if !service.path.starts_with('/') || service.path.len() < 2 {
            push(
                &inside(&path, "path"),
                "must start with / and name a path",
                found,
            );
        }
        if service.path.starts_with("/v1/") || service.path.starts_with("/fleet/") {
            push(
                &inside(&path, "path"),
                "is taken by the router itself",
                found,
            );
        }
        if let Some(other) = paths.insert(service.path.as_str(), name) {
            push(
                &inside(&path, "path"),
                format!("is that of service {:?} too", other.as_str()),
                found,
            );
        }
        if !body.classes.contains_key(&service.class) {
            let text = format!("there is no class {:?}", service.class.as_str());
            push(&inside(&path, "class"), text, found);
        }
    }
    check_limits(&body.limits, found);
}

fn check_class(path: &str, class: &policy::Class, found: &mut Vec<Mistake>) {
    let positive = [
        ("deadline_ms", class.deadline_ms),
        ("weight", u64::from(class.weight)),
        ("queue_entries", u64::from(class.queue_entries)),
        ("queue_bytes", class.queue_bytes),
        ("output_tokens", class.output_tokens),
    ];
    for (field, value) in positive {
        if value == 0 {
            push(&inside(path, field), "must be above 0", found);
        }
    }
}

fn check_limits(limits: &policy::Limits, found: &mut Vec<Mistake>) {
    if !limits.load_limit.is_finite() || limits.load_limit <= 1.0 {
        let text = format!("must be above 1, not {}", limits.load_limit);
        push("limits.load_limit", text, found);
    }
    if !(1..=BODY_BYTES_MAX).contains(&limits.body_bytes) {
        let text = format!(
            "must be from 1 to {BODY_BYTES_MAX}, not {}",
            limits.body_bytes
        );
        push("limits.body_bytes", text, found);
    }
    if !(0.0..=1.0).contains(&limits.retry_ratio) {
        let text = format!("must be from 0 to 1, not {}", limits.retry_ratio);
        push("limits.retry_ratio", text, found);
    }
    if limits.max_unavailable == 0 {
        push("limits.max_unavailable", "must be above 0", found);
    }
}

/// Reads a table of named entries, each on its own.
fn entries<K, V>(
    path: &str,
    value: Option<toml::Value>,
    found: &mut Vec<Mistake>,
) -> Option<BTreeMap<K, V>>
where
    K: Ord + From<String>,
    V: DeserializeOwned,
{
    let Some(value) = value else {
        return Some(BTreeMap::new());
    };
    let toml::Value::Table(table) = value else {
        push(path, "must be a table", found);
        return None;
    };
    let before = found.len();
    let mut read = BTreeMap::new();
    for (key, inner) in table {
        let path = inside(path, &key);
        check_name(&path, &key, found);
        if let Some(entry) = fields(&path, inner, found) {
            read.insert(K::from(key), entry);
        }
    }
    (found.len() == before).then_some(read)
}

/// Reads one table; if that fails, every field on its own to report all that are wrong.
fn fields<V: DeserializeOwned>(
    path: &str,
    value: toml::Value,
    found: &mut Vec<Mistake>,
) -> Option<V> {
    let error = match value.clone().try_into::<V>() {
        Ok(read) => return Some(read),
        Err(error) => error,
    };
    let before = found.len();
    if let toml::Value::Table(table) = value {
        for (key, inner) in table {
            let single = toml::Table::from_iter([(key.clone(), inner)]);
            if let Err(error) = single.try_into::<V>()
                && !error.message().starts_with("missing field")
            {
                push(&inside(path, &key), error.message().trim(), found);
            }
        }
    }
    if found.len() == before {
        push(path, error.message().trim(), found);
    }
    None
}

fn check_name(path: &str, name: &str, found: &mut Vec<Mistake>) {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    if name.is_empty() || name.len() > NAME_CHARS || !name.chars().all(allowed) {
        let text = format!(
            "name {name:?} must have 1 to {NAME_CHARS} letters, digits, dots, hyphens or underscores"
        );
        push(path, text, found);
    }
}

fn push(path: &str, text: impl Into<String>, found: &mut Vec<Mistake>) {
    found.push(Mistake {
        path: path.to_owned(),
        text: text.into(),
    });
}
