//! Settings file of the command.

use std::path::Path;
use std::time::Duration;

use serde::Deserialize;
use snafu::ResultExt as _;
use snipeusher_store::Gateway;

use crate::error::Error;
use crate::error::ReadSnafu;
use crate::error::ServiceSnafu;
use crate::error::SettingsSnafu;

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Settings {
    /// Base addresses of the key-value service, such as `http://10.0.0.1:2379`.
    endpoints: Vec<String>,
    /// Timeout of one call to the key-value service in milliseconds; 2,000 by default.
    call_timeout_ms: Option<u64>,
    /// Timeout of a change with its retries in milliseconds; 10,000 by default.
    edit_timeout_ms: Option<u64>,
    /// Timeout of `--wait` in milliseconds; 10,000 by default.
    wait_timeout_ms: Option<u64>,
    /// Base addresses of routers, such as `http://10.0.0.2:8080`; the peers that their status
    /// pages list are queried too.
    #[serde(default)]
    pub(crate) routers: Vec<String>,
    /// The operator's name in the history; `$USER` by default.
    author: Option<String>,
}

impl Settings {
    pub(crate) fn open(path: &Path) -> Result<Self, Error> {
        let text = std::fs::read_to_string(path).context(ReadSnafu { path })?;
        toml::from_str(&text).context(SettingsSnafu { path })
    }

    pub(crate) fn gateway(&self, path: &Path) -> Result<Gateway, Error> {
        let settings = snipeusher_store::Settings {
            endpoints: self.endpoints.clone(),
            timeout: Duration::from_millis(self.call_timeout_ms.unwrap_or(2_000)),
        };
        Gateway::open(settings).context(ServiceSnafu { path })
    }

    pub(crate) fn edit_timeout(&self) -> Duration {
        Duration::from_millis(self.edit_timeout_ms.unwrap_or(10_000))
    }

    pub(crate) fn wait_timeout(&self) -> Duration {
        Duration::from_millis(self.wait_timeout_ms.unwrap_or(10_000))
    }

    pub(crate) fn author(&self) -> String {
        let user = || std::env::var("USER").ok();
        let name = self.author.clone().or_else(user);
        name.unwrap_or_else(|| "unknown".to_owned())
    }
}
