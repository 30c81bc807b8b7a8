//! Reads settings key by key and reports all mistakes together.

use std::fmt;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::PathBuf;
use std::time::Duration;

use toml::Value;

/// A key that has a wrong value, is missing or is unknown.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Mistake {
    /// The key, prefixed with its tables.
    pub key: String,
    /// The value as TOML; `None` if the key is missing.
    pub value: Option<String>,
    /// Description of the expected value.
    pub expected: String,
}

impl fmt::Display for Mistake {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.value {
            Some(value) => write!(f, "{} = {value}: expected {}", self.key, self.expected),
            None => write!(f, "{} is missing: expected {}", self.key, self.expected),
        }
    }
}

/// All mistakes of a settings file, displayed one per line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Mistakes(pub Vec<Mistake>);

impl fmt::Display for Mistakes {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "settings have {} mistake(s)", self.0.len())?;
        self.0
            .iter()
            .try_for_each(|mistake| write!(f, "\n  {mistake}"))
    }
}

/// Reads keys and removes them from a table; the keys that remain at the end are unknown.
#[derive(Debug)]
pub struct Reader<'a> {
    prefix: String,
    table: toml::Table,
    known: Vec<&'static str>,
    mistakes: &'a mut Vec<Mistake>,
}

impl<'a> Reader<'a> {
    /// Creates a reader of `table`; `prefix` precedes its keys in mistakes.
    pub fn new(prefix: &str, table: toml::Table, mistakes: &'a mut Vec<Mistake>) -> Self {
        Self {
            prefix: prefix.to_owned(),
            table,
            known: Vec::new(),
            mistakes,
        }
    }

    /// Reads a required, non-empty string.
    pub fn name(&mut self, key: &'static str) -> Option<String> {
        self.require(key, "a name");
        self.optional_name(key)
    }

    /// Reads an optional truth value.
    pub fn optional_flag(&mut self, key: &'static str) -> Option<bool> {
        self.take(key, "true or false", toml::Value::as_bool)
    }

    /// Reads an optional, non-empty string.
    pub fn optional_name(&mut self, key: &'static str) -> Option<String> {
        self.take(key, "a name", |value| {
            let text = value.as_str().filter(|text| !text.is_empty());
            text.map(String::from)
        })
    }

    /// Reads an optional path.
    pub fn path(&mut self, key: &'static str) -> Option<PathBuf> {
        self.take(key, "a path", |value| value.as_str().map(PathBuf::from))
    }

    /// Reads a required path.
    pub fn required_path(&mut self, key: &'static str) -> Option<PathBuf> {
        self.require(key, "a path");
        self.path(key)
    }

    /// Reads a socket address with a default.
    pub fn address(&mut self, key: &'static str, default: &str) -> SocketAddr {
        let parsed = self.optional_address(key);
        parsed.unwrap_or_else(|| default.parse().expect("the default is an address"))
    }

    /// Reads a required socket address.
    pub fn required_address(&mut self, key: &'static str) -> Option<SocketAddr> {
        self.require(key, "an address such as \"127.0.0.1:8080\"");
        self.optional_address(key)
    }

    /// Reads an optional socket address.
    pub fn optional_address(&mut self, key: &'static str) -> Option<SocketAddr> {
        self.take(key, "an address such as \"127.0.0.1:8080\"", |value| {
            value.as_str().and_then(|text| text.parse().ok())
        })
    }

    /// Reads an integer in `range`, with a default.
    pub fn count(
        &mut self,
        key: &'static str,
        range: RangeInclusive<usize>,
        default: usize,
    ) -> usize {
        let expected = format!("a number from {} to {}", range.start(), range.end());
        let parsed = self.take(key, &expected, |value| {
            let number = usize::try_from(value.as_integer()?).ok()?;
            range.contains(&number).then_some(number)
        });
        parsed.unwrap_or(default)
    }

    /// Reads a duration in milliseconds in `range`, with a default.
    pub fn millis(
        &mut self,
        key: &'static str,
        range: RangeInclusive<usize>,
        default: usize,
    ) -> Duration {
        Duration::from_millis(self.count(key, range, default) as u64)
    }

    /// Reads one of several strings, each with its value in `choices`, with a default.
    pub fn choice<T: Copy>(&mut self, key: &'static str, choices: &[(&str, T)], default: T) -> T {
        let names: Vec<_> = choices
            .iter()
            .map(|(name, _)| format!("{name:?}"))
            .collect();
        let parsed = self.take(key, &names.join(" or "), |value| {
            let text = value.as_str()?;
            let found = choices.iter().find(|(name, _)| *name == text);
            found.map(|(_, value)| *value)
        });
        parsed.unwrap_or(default)
    }

    /// Reads a required, non-negative number, which may be written as an integer.
    pub fn required_number(&mut self, key: &'static str) -> Option<f64> {
        const EXPECTED: &str = "a number that is not negative";
        self.require(key, EXPECTED);
        self.take(key, EXPECTED, number)
    }

    /// Reads an optional, non-negative number, which may be written as an integer.
    pub fn optional_number(&mut self, key: &'static str) -> Option<f64> {
        self.take(key, "a number that is not negative", number)
    }

    /// Reads a required duration in seconds; one too long for [`Duration`] is a mistake.
    pub fn required_seconds(&mut self, key: &'static str) -> Option<Duration> {
        const EXPECTED: &str = "a number that is not negative, as a time in seconds";
        self.require(key, EXPECTED);
        self.take(key, EXPECTED, |value| {
            Duration::try_from_secs_f64(number(value)?).ok()
        })
    }

    /// Reads an optional duration in milliseconds, which may have a fraction.
    pub fn optional_millis(&mut self, key: &'static str) -> Option<Duration> {
        const EXPECTED: &str = "a number that is not negative, as a time in milliseconds";
        self.take(key, EXPECTED, |value| {
            Duration::try_from_secs_f64(number(value)? / 1_000.0).ok()
        })
    }

    /// Reads a list of socket addresses; empty by default.
    pub fn addresses(&mut self, key: &'static str) -> Vec<SocketAddr> {
        let expected = "a list of addresses such as \"127.0.0.1:8080\"";
        let parsed = self.take(key, expected, |value| {
            let items = value.as_array()?.iter();
            items.map(|item| item.as_str()?.parse().ok()).collect()
        });
        parsed.unwrap_or_default()
    }

    /// Reads a required table. If it is missing, it is read as empty, so that its required keys are
    /// reported as well.
    pub fn required_table(&mut self, key: &'static str) -> toml::Table {
        self.require(key, "a table");
        self.table(key).unwrap_or_default()
    }

    /// Reads an optional table.
    pub fn table(&mut self, key: &'static str) -> Option<toml::Table> {
        self.take(key, "a table", |value| value.as_table().cloned())
    }

    /// Reads a list of tables; empty by default.
    pub fn tables(&mut self, key: &'static str) -> Vec<toml::Table> {
        let parsed = self.take(key, "a list of tables", |value| {
            let items = value.as_array()?.iter();
            items.map(|item| item.as_table().cloned()).collect()
        });
        parsed.unwrap_or_default()
    }

    /// Reads a list of strings; empty by default.
    pub fn texts(&mut self, key: &'static str) -> Vec<String> {
        let parsed = self.take(key, "a list of texts", |value| {
            let items = value.as_array()?.iter();
            items.map(|item| item.as_str().map(String::from)).collect()
        });
        parsed.unwrap_or_default()
    }

    /// Reports all keys that were not read as unknown.
    pub fn finish(self) {
        let expected = format!("one of the keys {}", self.known.join(", "));
        for (key, value) in &self.table {
            self.mistakes.push(Mistake {
                key: format!("{}{key}", self.prefix),
                value: Some(value.to_string()),
                expected: expected.clone(),
            });
        }
    }

    /// Reads an optional value with `parse`, which returns `None` for a wrong value.
    pub fn take<T>(
        &mut self,
        key: &'static str,
        expected: &str,
        parse: impl FnOnce(&Value) -> Option<T>,
    ) -> Option<T> {
        self.known.push(key);
        let value = self.table.remove(key)?;
        let parsed = parse(&value);
        if parsed.is_none() {
            self.mistakes.push(Mistake {
                key: format!("{}{key}", self.prefix),
                value: Some(value.to_string()),
                expected: expected.to_owned(),
            });
        }
        parsed
    }

    /// Reports a required key that is missing.
    fn require(&mut self, key: &'static str, expected: &str) {
        if self.table.contains_key(key) {
            return;
        }
        self.mistakes.push(Mistake {
            key: format!("{}{key}", self.prefix),
            value: None,
            expected: expected.to_owned(),
        });
    }
}

fn number(value: &Value) -> Option<f64> {
    let integer = value.as_integer().map(|integer| integer as f64);
    let number = value.as_float().or(integer)?;
    (number.is_finite() && number >= 0.0).then_some(number)
}
