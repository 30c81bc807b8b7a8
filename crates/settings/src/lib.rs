//! Reads settings key by key and collects all mistakes, so that one look at a message suffices.

use std::fmt;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::PathBuf;
use std::time::Duration;

use toml::Value;

/// A key with a wrong value, or a key that must not or must be there.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Mistake {
    /// The key with the tables that it is in.
    pub key: String,
    /// The value found, as TOML; absent where the key is missing.
    pub value: Option<String>,
    /// What is expected in its place.
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

/// All mistakes of one text, one a line.
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

/// Takes keys out of a table; what remains at the end is unknown.
#[derive(Debug)]
pub struct Reader<'a> {
    prefix: String,
    table: toml::Table,
    known: Vec<&'static str>,
    mistakes: &'a mut Vec<Mistake>,
}

impl<'a> Reader<'a> {
    /// Reads `table`, whose keys are reported with `prefix`.
    pub fn new(prefix: &str, table: toml::Table, mistakes: &'a mut Vec<Mistake>) -> Self {
        Self {
            prefix: prefix.to_owned(),
            table,
            known: Vec::new(),
            mistakes,
        }
    }

    /// A text that must be there and not be empty.
    pub fn name(&mut self, key: &'static str) -> Option<String> {
        self.require(key, "a name");
        self.optional_name(key)
    }

    /// A text that is not empty.
    pub fn optional_name(&mut self, key: &'static str) -> Option<String> {
        self.take(key, "a name", |value| {
            let text = value.as_str().filter(|text| !text.is_empty());
            text.map(String::from)
        })
    }

    /// A path.
    pub fn path(&mut self, key: &'static str) -> Option<PathBuf> {
        self.take(key, "a path", |value| value.as_str().map(PathBuf::from))
    }

    /// A path that must be there.
    pub fn required_path(&mut self, key: &'static str) -> Option<PathBuf> {
        self.require(key, "a path");
        self.path(key)
    }

    /// A socket address with a default.
    pub fn address(&mut self, key: &'static str, default: &str) -> SocketAddr {
        let given = self.optional_address(key);
        given.unwrap_or_else(|| default.parse().expect("the default is an address"))
    }

    /// A socket address that must be there.
    pub fn required_address(&mut self, key: &'static str) -> Option<SocketAddr> {
        self.require(key, "an address such as \"127.0.0.1:8080\"");
        self.optional_address(key)
    }

    /// A socket address.
    pub fn optional_address(&mut self, key: &'static str) -> Option<SocketAddr> {
        self.take(key, "an address such as \"127.0.0.1:8080\"", |value| {
            value.as_str().and_then(|text| text.parse().ok())
        })
    }

    /// A number within a range.
    pub fn count(
        &mut self,
        key: &'static str,
        range: RangeInclusive<usize>,
        default: usize,
    ) -> usize {
        let expected = format!("a number from {} to {}", range.start(), range.end());
        let given = self.take(key, &expected, |value| {
            let number = usize::try_from(value.as_integer()?).ok()?;
            range.contains(&number).then_some(number)
        });
        given.unwrap_or(default)
    }

    /// A time in milliseconds within a range.
    pub fn millis(
        &mut self,
        key: &'static str,
        range: RangeInclusive<usize>,
        default: usize,
    ) -> Duration {
        Duration::from_millis(self.count(key, range, default) as u64)
    }

    /// One of a few words.
    pub fn choice<T: Copy>(&mut self, key: &'static str, choices: &[(&str, T)], default: T) -> T {
        let words: Vec<_> = choices
            .iter()
            .map(|(word, _)| format!("{word:?}"))
            .collect();
        let given = self.take(key, &words.join(" or "), |value| {
            let text = value.as_str()?;
            let found = choices.iter().find(|(word, _)| *word == text);
            found.map(|(_, meaning)| *meaning)
        });
        given.unwrap_or(default)
    }

    /// A number that is not negative and must be there; whole ones may be written without a point.
    pub fn required_number(&mut self, key: &'static str) -> Option<f64> {
        const EXPECTED: &str = "a number that is not negative";
        self.require(key, EXPECTED);
        self.take(key, EXPECTED, number)
    }

    /// A time in seconds that must be there; one that no duration holds is a mistake.
    pub fn required_seconds(&mut self, key: &'static str) -> Option<Duration> {
        const EXPECTED: &str = "a number that is not negative, as a time in seconds";
        self.require(key, EXPECTED);
        self.take(key, EXPECTED, |value| {
            Duration::try_from_secs_f64(number(value)?).ok()
        })
    }

    /// A list of socket addresses, empty where absent.
    pub fn addresses(&mut self, key: &'static str) -> Vec<SocketAddr> {
        let expected = "a list of addresses such as \"127.0.0.1:8080\"";
        let given = self.take(key, expected, |value| {
            let items = value.as_array()?.iter();
            items.map(|item| item.as_str()?.parse().ok()).collect()
        });
        given.unwrap_or_default()
    }

    /// A table that must be there; an empty one where it is not, so that its keys are named too.
    pub fn required_table(&mut self, key: &'static str) -> toml::Table {
        self.require(key, "a table");
        self.table(key).unwrap_or_default()
    }

    /// A table.
    pub fn table(&mut self, key: &'static str) -> Option<toml::Table> {
        self.take(key, "a table", |value| value.as_table().cloned())
    }

    /// A list of tables, empty where absent.
    pub fn tables(&mut self, key: &'static str) -> Vec<toml::Table> {
        let given = self.take(key, "a list of tables", |value| {
            let items = value.as_array()?.iter();
            items.map(|item| item.as_table().cloned()).collect()
        });
        given.unwrap_or_default()
    }

    /// A list of texts, empty where absent.
    pub fn texts(&mut self, key: &'static str) -> Vec<String> {
        let given = self.take(key, "a list of texts", |value| {
            let items = value.as_array()?.iter();
            items.map(|item| item.as_str().map(String::from)).collect()
        });
        given.unwrap_or_default()
    }

    /// Reports all keys that were not asked for.
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

    /// Any value that `parse` accepts.
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

    /// Reports a key that must be there and is not.
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
    let whole = value.as_integer().map(|whole| whole as f64);
    let number = value.as_float().or(whole)?;
    (number.is_finite() && number >= 0.0).then_some(number)
}
