//! Parameters of a template: kind, default and allowed values.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// The kind of a parameter's value.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// An integer.
    Integer,
    /// A number; integers are accepted.
    Float,
    /// Text.
    Text,
    /// True or false.
    Boolean,
    /// A list of strings.
    List,
}

impl Kind {
    /// The kind of a value; `None` for values that no parameter may have, such as tables.
    pub fn of(value: &toml::Value) -> Option<Self> {
        match value {
            toml::Value::Integer(_) => Some(Self::Integer),
            toml::Value::Float(_) => Some(Self::Float),
            toml::Value::String(_) => Some(Self::Text),
            toml::Value::Boolean(_) => Some(Self::Boolean),
            toml::Value::Array(items) => {
                items.iter().all(toml::Value::is_str).then_some(Self::List)
            }
            toml::Value::Datetime(_) | toml::Value::Table(_) => None,
        }
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Integer => "an integer",
            Self::Float => "a number",
            Self::Text => "text",
            Self::Boolean => "true or false",
            Self::List => "a list of texts",
        })
    }
}

/// A declared parameter.
///
/// In TOML it is either a table with at least `default`, or just the default value.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(try_from = "toml::Value")]
pub struct Parameter {
    /// The kind that values must have.
    pub kind: Kind,
    /// The value for workspaces that set none.
    pub default: toml::Value,
    /// Lowest allowed number.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub min: Option<toml::Value>,
    /// Highest allowed number.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub max: Option<toml::Value>,
    /// Allowed values of a text; empty if all are allowed.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub choices: Vec<String>,
}

/// The table form of a parameter. If `kind` is missing, the default determines it.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Declaration {
    kind: Option<Kind>,
    default: toml::Value,
    min: Option<toml::Value>,
    max: Option<toml::Value>,
    #[serde(default)]
    choices: Vec<String>,
}

impl TryFrom<toml::Value> for Parameter {
    type Error = String;

    fn try_from(value: toml::Value) -> Result<Self, String> {
        let declaration = if value.is_table() {
            value
                .try_into::<Declaration>()
                .map_err(|e| e.message().to_owned())?
        } else {
            Declaration {
                kind: None,
                default: value,
                min: None,
                max: None,
                choices: Vec::new(),
            }
        };
        let kind = declaration
            .kind
            .or_else(|| Kind::of(&declaration.default))
            .ok_or("a parameter must be a number, text, true or false, or a list of texts")?;
        Ok(Self {
            kind,
            default: declaration.default,
            min: declaration.min,
            max: declaration.max,
            choices: declaration.choices,
        })
    }
}

impl Parameter {
    /// All mistakes in the declaration.
    pub fn mistakes(&self) -> Vec<String> {
        let mut mistakes = Vec::new();
        let numeric = matches!(self.kind, Kind::Integer | Kind::Float);
        for (field, bound) in [("min", &self.min), ("max", &self.max)] {
            match bound {
                Some(_) if !numeric => {
                    mistakes.push(format!("{field} is only for numbers"));
                }
                Some(value) if !self.has_kind(value) => {
                    mistakes.push(format!("{field} must be {}", self.kind));
                }
                _ => {}
            }
        }
        if let (Some(min), Some(max)) = (number(self.min.as_ref()), number(self.max.as_ref()))
            && min > max
        {
            mistakes.push(format!("min {min} is above max {max}"));
        }
        if !self.choices.is_empty() && self.kind != Kind::Text {
            mistakes.push("choices is only for text".to_owned());
        }
        if let Some(reason) = self.check(&self.default) {
            mistakes.push(format!("default {reason}"));
        }
        mistakes
    }

    /// Checks a value. If it is not allowed, returns the reason as the end of a sentence.
    pub fn check(&self, value: &toml::Value) -> Option<String> {
        if !self.has_kind(value) {
            return Some(format!("must be {}, not {value}", self.kind));
        }
        if let Some(given) = number(Some(value)) {
            if !given.is_finite() {
                return Some("must be a finite number".to_owned());
            }
            if let Some(min) = number(self.min.as_ref()).filter(|min| given < *min) {
                return Some(format!("must be at least {min}, not {given}"));
            }
            if let Some(max) = number(self.max.as_ref()).filter(|max| given > *max) {
                return Some(format!("must be at most {max}, not {given}"));
            }
        }
        let text = value.as_str()?;
        if !self.choices.is_empty() && !self.choices.iter().any(|choice| choice == text) {
            return Some(format!("must be one of {:?}, not {text:?}", self.choices));
        }
        None
    }

    fn has_kind(&self, value: &toml::Value) -> bool {
        match (self.kind, Kind::of(value)) {
            (Kind::Float, Some(Kind::Integer)) => true,
            (kind, Some(actual)) => kind == actual,
            (_, None) => false,
        }
    }
}

fn number(value: Option<&toml::Value>) -> Option<f64> {
    match value? {
        toml::Value::Integer(integer) => Some(*integer as f64),
        toml::Value::Float(number) => Some(*number),
        _ => None,
    }
}
