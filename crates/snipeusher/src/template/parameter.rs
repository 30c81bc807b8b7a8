//! Parameters of a template: kind, default and range.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// The kind of a parameter's value.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// A whole number.
    Integer,
    /// A number; a whole number is accepted too.
    Float,
    /// Text.
    Text,
    /// True or false.
    Boolean,
    /// A list of texts.
    List,
}

impl Kind {
    /// The kind of a value; `None` for tables and dates, which no parameter may hold.
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
/// In TOML it is a table with at least `default`, or only the default value.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(try_from = "toml::Value")]
pub struct Parameter {
    /// The kind that values must have.
    pub kind: Kind,
    /// The value of workspaces that set none.
    pub default: toml::Value,
    /// Lowest value of a number.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub min: Option<toml::Value>,
    /// Highest value of a number.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub max: Option<toml::Value>,
    /// The only values that a text may have.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub choices: Vec<String>,
}

/// The table form of a parameter, whose kind follows from its default.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Declared {
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
        let declared = if value.is_table() {
            value
                .try_into::<Declared>()
                .map_err(|e| e.message().to_owned())?
        } else {
            Declared {
                kind: None,
                default: value,
                min: None,
                max: None,
                choices: Vec::new(),
            }
        };
        let kind = declared
            .kind
            .or_else(|| Kind::of(&declared.default))
            .ok_or("a parameter must be a number, text, true or false, or a list of texts")?;
        Ok(Self {
            kind,
            default: declared.default,
            min: declared.min,
            max: declared.max,
            choices: declared.choices,
        })
    }
}

impl Parameter {
    /// What is wrong with the declaration itself.
    pub fn mistakes(&self) -> Vec<String> {
        let mut found = Vec::new();
        let numeric = matches!(self.kind, Kind::Integer | Kind::Float);
        for (field, bound) in [("min", &self.min), ("max", &self.max)] {
            match bound {
                Some(_) if !numeric => {
                    found.push(format!("{field} is only for numbers"));
                }
                Some(value) if !self.fits(value) => {
                    found.push(format!("{field} must be {}", self.kind));
                }
                _ => {}
            }
        }
        if let (Some(min), Some(max)) = (number(self.min.as_ref()), number(self.max.as_ref()))
            && min > max
        {
            found.push(format!("min {min} is above max {max}"));
        }
        if !self.choices.is_empty() && self.kind != Kind::Text {
            found.push("choices is only for text".to_owned());
        }
        if let Some(wrong) = self.refuses(&self.default) {
            found.push(format!("default {wrong}"));
        }
        found
    }

    /// Why a value is not allowed, as the end of a sentence; `None` if it is.
    pub fn refuses(&self, value: &toml::Value) -> Option<String> {
        if !self.fits(value) {
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

    fn fits(&self, value: &toml::Value) -> bool {
        match (self.kind, Kind::of(value)) {
            (Kind::Float, Some(Kind::Integer)) => true,
            (kind, Some(of)) => kind == of,
            (_, None) => false,
        }
    }
}

fn number(value: Option<&toml::Value>) -> Option<f64> {
    match value? {
        toml::Value::Integer(whole) => Some(*whole as f64),
        toml::Value::Float(number) => Some(*number),
        _ => None,
    }
}
