//! Validation of templates and bindings, which collects all mistakes.

use std::collections::BTreeMap;

use serde::de::DeserializeOwned;

use super::Binding;
use super::Body;
use super::Mistake;
use super::Template;
use crate::name;
use crate::policy;

/// Longest name; it also limits the length of keys in the key-value store.
const NAME_CHARS_MAX: usize = 64;
/// Highest limit for a request body, which a router keeps in memory while the request is queued.
const BODY_BYTES_MAX: u64 = 64 << 20;
/// Keys allowed in a body.
const SECTIONS: [&str; 5] = ["models", "classes", "default_class", "services", "limits"];

/// Appends a key to a path.
pub(super) fn join(path: &str, key: &str) -> String {
    if path.is_empty() {
        return key.to_owned();
    }
    format!("{path}.{key}")
}

/// All mistakes in a template, with each parameter at its default, its bounds and each choice.
pub(super) fn template(template: &Template) -> Vec<Mistake> {
    let mut mistakes = Vec::new();
    check_name("name", template.name.as_str(), &mut mistakes);
    for (name, parameter) in &template.parameters {
        let path = format!("parameters.{name}");
        check_name(&path, name, &mut mistakes);
        for text in parameter.mistakes() {
            push(&path, text, &mut mistakes);
        }
    }
    if !mistakes.is_empty() {
        // Other values would report a wrong declaration again at each use of the parameter.
        if let Err(others) = template.resolve(&BTreeMap::new()) {
            mistakes.extend(others);
        }
        return mistakes;
    }
    if let Err(others) = template.resolve(&BTreeMap::new()) {
        return others;
    }
    for (name, parameter) in &template.parameters {
        let choices = parameter.choices.iter().cloned().map(toml::Value::String);
        let bounds = parameter.min.iter().chain(&parameter.max).cloned();
        for value in bounds.chain(choices) {
            let overrides = BTreeMap::from([(name.clone(), value.clone())]);
            for mistake in template.resolve(&overrides).err().into_iter().flatten() {
                let text = format!("with {name} = {value}: {}", mistake.text);
                push(&mistake.path, text, &mut mistakes);
            }
        }
    }
    mistakes
}

/// All mistakes in a binding that can be found without its template.
pub(super) fn binding(binding: &Binding) -> Vec<Mistake> {
    let mut mistakes = Vec::new();
    check_name("workspace", binding.workspace.as_str(), &mut mistakes);
    check_name("template", binding.template.as_str(), &mut mistakes);
    if binding.keys.is_empty() {
        push("keys", "at least one key digest is needed", &mut mistakes);
    }
    mistakes
}

/// Deserializes a body section by section, so that a mistake in one does not hide others.
pub(super) fn body(value: toml::Value, mistakes: &mut Vec<Mistake>) -> Option<Body> {
    let toml::Value::Table(mut table) = value else {
        push("", "the body must be a table", mistakes);
        return None;
    };
    for key in table.keys() {
        if !SECTIONS.contains(&key.as_str()) {
            push(key, "unknown section", mistakes);
        }
    }
    let models = entries("models", table.remove("models"), mistakes);
    let classes = entries("classes", table.remove("classes"), mistakes);
    let services = entries("services", table.remove("services"), mistakes);
    let limits = table.remove("limits").map_or_else(
        || Some(policy::Limits::default()),
        |value| fields("limits", value, mistakes),
    );
    let default_class = match table.remove("default_class") {
        Some(toml::Value::String(text)) => Some(name::Class::from(text)),
        Some(_) => {
            push("default_class", "must be text", mistakes);
            None
        }
        None => {
            push("default_class", "is missing", mistakes);
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
    check_body(&body, mistakes);
    Some(body)
}

fn check_body(body: &Body, mistakes: &mut Vec<Mistake>) {
    if body.classes.is_empty() {
        push("classes", "at least one class is needed", mistakes);
    }
    if !body.classes.contains_key(&body.default_class) {
        let text = format!("there is no class {:?}", body.default_class.as_str());
        push("default_class", text, mistakes);
    }
    for (name, model) in &body.models {
        if model.versions.is_empty() {
            let path = format!("models.{name}.versions");
            push(&path, "at least one version is needed", mistakes);
        }
    }
    for (name, class) in &body.classes {
        check_class(&format!("classes.{name}"), class, mistakes);
    }
    let mut paths = BTreeMap::new();
    for (name, service) in &body.services {
        let path = format!("services.{name}");
        if !service.path.starts_with('/') || service.path.len() < 2 {
            push(
                &join(&path, "path"),
                "must start with / and name a path",
                mistakes,
            );
        }
        if service.path.starts_with("/v1/") || service.path.starts_with("/fleet/") {
            push(&join(&path, "path"), "is reserved for the router", mistakes);
        }
        if let Some(other) = paths.insert(service.path.as_str(), name) {
            push(
                &join(&path, "path"),
                format!("is also the path of service {:?}", other.as_str()),
                mistakes,
            );
        }
        if !body.classes.contains_key(&service.class) {
            let text = format!("there is no class {:?}", service.class.as_str());
            push(&join(&path, "class"), text, mistakes);
        }
    }
    check_limits(&body.limits, mistakes);
}

fn check_class(path: &str, class: &policy::Class, mistakes: &mut Vec<Mistake>) {
    let positive = [
        ("deadline_ms", class.deadline_ms),
        ("weight", u64::from(class.weight)),
        ("queue_entries", u64::from(class.queue_entries)),
        ("queue_bytes", class.queue_bytes),
        ("output_tokens", class.output_tokens),
    ];
    for (field, value) in positive {
        if value == 0 {
            push(&join(path, field), "must be above 0", mistakes);
        }
    }
}

fn check_limits(limits: &policy::Limits, mistakes: &mut Vec<Mistake>) {
    if !limits.load_limit.is_finite() || limits.load_limit <= 1.0 {
        let text = format!("must be above 1, not {}", limits.load_limit);
        push("limits.load_limit", text, mistakes);
    }
    if !(1..=BODY_BYTES_MAX).contains(&limits.body_bytes) {
        let text = format!(
            "must be from 1 to {BODY_BYTES_MAX}, not {}",
            limits.body_bytes
        );
        push("limits.body_bytes", text, mistakes);
    }
    if !(0.0..=1.0).contains(&limits.retry_ratio) {
        let text = format!("must be from 0 to 1, not {}", limits.retry_ratio);
        push("limits.retry_ratio", text, mistakes);
    }
    if limits.max_unavailable == 0 {
        push("limits.max_unavailable", "must be above 0", mistakes);
    }
}

/// Deserializes a table of named entries one by one, to report the mistakes of each.
fn entries<K, V>(
    path: &str,
    value: Option<toml::Value>,
    mistakes: &mut Vec<Mistake>,
) -> Option<BTreeMap<K, V>>
where
    K: Ord + From<String>,
    V: DeserializeOwned,
{
    let Some(value) = value else {
        return Some(BTreeMap::new());
    };
    let toml::Value::Table(table) = value else {
        push(path, "must be a table", mistakes);
        return None;
    };
    let mistakes_before = mistakes.len();
    let mut parsed = BTreeMap::new();
    for (key, inner) in table {
        let path = join(path, &key);
        check_name(&path, &key, mistakes);
        if let Some(entry) = fields(&path, inner, mistakes) {
            parsed.insert(K::from(key), entry);
        }
    }
    (mistakes.len() == mistakes_before).then_some(parsed)
}

/// Deserializes a table. If that fails, tries each field separately to report all mistakes.
fn fields<V: DeserializeOwned>(
    path: &str,
    value: toml::Value,
    mistakes: &mut Vec<Mistake>,
) -> Option<V> {
    let error = match value.clone().try_into::<V>() {
        Ok(parsed) => return Some(parsed),
        Err(error) => error,
    };
    let mistakes_before = mistakes.len();
    if let toml::Value::Table(table) = value {
        for (key, inner) in table {
            let single = toml::Table::from_iter([(key.clone(), inner)]);
            if let Err(error) = single.try_into::<V>()
                && !error.message().starts_with("missing field")
            {
                push(&join(path, &key), error.message().trim(), mistakes);
            }
        }
    }
    if mistakes.len() == mistakes_before {
        push(path, error.message().trim(), mistakes);
    }
    None
}

fn check_name(path: &str, name: &str, mistakes: &mut Vec<Mistake>) {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    if name.is_empty() || name.len() > NAME_CHARS_MAX || !name.chars().all(allowed) {
        let text = format!(
            "name {name:?} must have 1 to {NAME_CHARS_MAX} letters, digits, dots, hyphens or \
             underscores"
        );
        push(path, text, mistakes);
    }
}

fn push(path: &str, text: impl Into<String>, mistakes: &mut Vec<Mistake>) {
    mistakes.push(Mistake {
        path: path.to_owned(),
        text: text.into(),
    });
}
