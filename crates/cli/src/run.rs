//! Runs a command.

use std::path::Path;

use serde_json::json;
use snafu::ResultExt as _;
use snafu::ensure;
use snipeusher::config::Change;
use snipeusher::config::Outcome;
use snipeusher::kv::Revision;
use snipeusher_store::Gateway;

use crate::args::Action;
use crate::args::Args;
use crate::args::Command;
use crate::args::DiffArgs;
use crate::args::ParamAction;
use crate::args::SetArgs;
use crate::check;
use crate::document;
use crate::document::Kind;
use crate::edit;
use crate::error;
use crate::error::Error;
use crate::error::ReadSnafu;
use crate::error::RefusedSnafu;
use crate::error::UsageSnafu;
use crate::explain;
use crate::nodes;
use crate::output::Output;
use crate::routers;
use crate::settings::Settings;

struct Session {
    settings: Settings,
    gateway: Gateway,
}

/// A change with the options `--expect` and `--wait`.
struct Request {
    change: Change,
    expect: Option<u64>,
    wait: bool,
}

pub(crate) async fn run(args: Args) -> Result<Output, Error> {
    if let Command::Check(check) = &args.command {
        return check::check(&check.files);
    }
    if let Command::Explain(explain) = &args.command {
        return explain::explain(explain);
    }
    if let Command::Status(status) = &args.command
        && !status.nodes.is_empty()
    {
        return Ok(nodes::status(&status.nodes).await);
    }
    let session = Session::open(&args.settings)?;
    match args.command {
        Command::Template(template) => session.run_action(Kind::Template, template.action).await,
        Command::Workspace(workspace) => {
            session.run_action(Kind::Workspace, workspace.action).await
        }
        Command::Param(param) => {
            let ParamAction::Set(set) = param.action;
            session.edit(set_request(set)?).await
        }
        Command::Status(_) => session.status().await,
        Command::Check(check) => check::check(&check.files),
        Command::Explain(explain) => explain::explain(&explain),
    }
}

fn set_request(set: SetArgs) -> Result<Request, Error> {
    let name = match (&set.workspace, &set.template) {
        (Some(workspace), None) => Kind::Workspace.name(workspace),
        (None, Some(template)) => Kind::Template.name(template),
        _ => {
            let text = "param set needs either --workspace or --template";
            return UsageSnafu { text }.fail();
        }
    };
    // A value that is not valid TOML is used as a string, so that words need no quotes.
    let parsed = format!("value = {}", set.value).parse::<toml::Table>();
    let value = parsed
        .ok()
        .and_then(|mut table| table.remove("value"))
        .unwrap_or(toml::Value::String(set.value));
    Ok(Request {
        change: Change::Set {
            name,
            parameter: set.parameter,
            value,
        },
        expect: set.expect,
        wait: set.wait,
    })
}

impl Session {
    fn open(path: &Path) -> Result<Self, Error> {
        let settings = Settings::open(path)?;
        let gateway = settings.gateway(path)?;
        Ok(Self { settings, gateway })
    }

    async fn run_action(&self, kind: Kind, action: Action) -> Result<Output, Error> {
        match action {
            Action::Put(put) => {
                let (name, text) = kind.read(&put.file)?;
                let request = Request {
                    change: Change::Put { name, text },
                    expect: put.expect,
                    wait: put.wait,
                };
                self.edit(request).await
            }
            Action::Rollback(rollback) => {
                let request = Request {
                    change: Change::Rollback {
                        name: kind.name(&rollback.name),
                        to: Revision::new(rollback.revision),
                    },
                    expect: rollback.expect,
                    wait: rollback.wait,
                };
                self.edit(request).await
            }
            Action::Delete(delete) => {
                let request = Request {
                    change: Change::Delete(kind.name(&delete.name)),
                    expect: delete.expect,
                    wait: delete.wait,
                };
                self.edit(request).await
            }
            Action::Get(get) => {
                let name = kind.name(&get.name);
                let revision = get.revision.map(Revision::new);
                let (revision, text) = document::text(&self.gateway, &name, revision).await?;
                let json = json!({"document": name.path(), "revision": revision, "text": text});
                Ok(Output::success(text, json))
            }
            Action::List(_) => self.list(kind).await,
            Action::Diff(diff) => self.diff(kind, &diff).await,
            Action::History(history) => self.history(kind, &history.name).await,
        }
    }

    async fn edit(&self, request: Request) -> Result<Output, Error> {
        let routers = &self.settings.routers;
        ensure!(
            !request.wait || !routers.is_empty(),
            UsageSnafu {
                text: "--wait needs at least one address in routers of the settings"
            }
        );
        let name = request.change.name().clone();
        let outcome = edit::execute(
            &self.gateway,
            request.change,
            self.settings.author(),
            request.expect.map(Revision::new),
            self.settings.edit_timeout(),
        )
        .await;
        let (label, revision) = match outcome {
            Outcome::Applied(revision) => ("applied", revision),
            Outcome::Unchanged(revision) => ("unchanged", revision),
            Outcome::Refused(refusal) => return Err(refusal).context(RefusedSnafu),
            Outcome::Unavailable => return Err(Error::NotWritten),
            Outcome::Unresolved(edit) => return Err(Error::Unresolved { edit }),
        };
        let mut text = format!("{name} {label}, revision {}", revision.number);
        let mut json = json!({"document": name.path(), "outcome": label, "revision": revision});
        let mut code = 0;
        if request.wait {
            let timeout = self.settings.wait_timeout();
            let progress = routers::wait(routers, &name.path(), revision, timeout).await;
            text = format!("{text}\n{}", progress.text());
            json["routers"] = progress.json();
            if !progress.is_complete() {
                code = error::BEHIND;
            }
        }
        Ok(Output { text, json, code })
    }

    async fn list(&self, kind: Kind) -> Result<Output, Error> {
        let snapshot = document::snapshot(&self.gateway).await?;
        let mut lines = Vec::new();
        let mut entries = Vec::new();
        for (name, (revision, record)) in &snapshot.documents {
            if kind.matches(name) && record.text.is_some() {
                lines.push(format!(
                    "{name} revision {} by {}",
                    revision.number, record.author
                ));
                entries.push(json!({
                    "document": name.path(),
                    "revision": revision,
                    "author": record.author,
                    "at_ms": record.at_ms,
                }));
            }
        }
        for (key, reason) in &snapshot.unreadable {
            lines.push(format!("{key} cannot be read: {reason}"));
        }
        Ok(Output::success(
            lines.join("\n"),
            json!({"documents": entries}),
        ))
    }

    async fn diff(&self, kind: Kind, diff: &DiffArgs) -> Result<Output, Error> {
        let name = kind.name(&diff.name);
        let (_, current) = document::text(&self.gateway, &name, None).await?;
        let (old, new) = match (&diff.file, diff.revision) {
            (Some(path), None) => {
                let file = std::fs::read_to_string(path).context(ReadSnafu { path })?;
                (current, file)
            }
            (None, Some(revision)) => {
                let revision = Some(Revision::new(revision));
                (
                    document::text(&self.gateway, &name, revision).await?.1,
                    current,
                )
            }
            _ => {
                let text = "diff needs either --file or --revision";
                return UsageSnafu { text }.fail();
            }
        };
        let lines = document::diff(&old, &new)?;
        Ok(Output::success(lines.join("\n"), json!({"diff": lines})))
    }

    async fn history(&self, kind: Kind, name: &str) -> Result<Output, Error> {
        let name = kind.name(name);
        let snapshot = document::snapshot(&self.gateway).await?;
        let Some((revision, record)) = snapshot.documents.get(&name) else {
            let name = name.to_string();
            return Err(Error::Missing { name });
        };
        let history = document::history(&self.gateway, &name).await?;
        let mut versions = vec![json!({
            "revision": revision,
            "edit": record.edit,
            "author": record.author,
            "at_ms": record.at_ms,
            "deleted": record.text.is_none(),
        })];
        versions.extend(history.versions.iter().map(|version| {
            json!({
                "revision": version.revision,
                "edit": version.edit,
                "author": version.author,
                "at_ms": version.at_ms,
                "deleted": version.text.is_none(),
            })
        }));
        let line = |version: &serde_json::Value| {
            let deleted = if version["deleted"] == true {
                " (deleted)"
            } else {
                ""
            };
            let author = version["author"].as_str().unwrap_or_default();
            let edit = version["edit"].as_str().unwrap_or_default();
            format!(
                "revision {} by {author}, edit {edit}{deleted}",
                version["revision"]
            )
        };
        let lines: Vec<_> = versions.iter().map(line).collect();
        let json = json!({"document": name.path(), "versions": versions});
        Ok(Output::success(lines.join("\n"), json))
    }

    /// Compares the configuration of each router with the key-value service, if that is reachable.
    async fn status(&self) -> Result<Output, Error> {
        let snapshot = document::snapshot(&self.gateway).await.ok();
        let highest = snapshot.as_ref().map(|snapshot| {
            let revisions = snapshot.documents.values().map(|(revision, _)| *revision);
            revisions.max().unwrap_or_default()
        });
        let discovery = routers::discover(&self.settings.routers).await;
        let mut lines = vec![match highest {
            Some(highest) => format!("key-value service: highest revision {}", highest.number),
            None => "key-value service: no answer".to_owned(),
        }];
        let mut entries = Vec::new();
        let mut all_current = true;
        for (address, page) in &discovery.pages {
            let configuration = &page.configuration;
            let current = highest.is_none_or(|highest| configuration.highest >= highest);
            all_current &= current && configuration.ready;
            lines.push(format!(
                "{address} {}: revision {}, {}, {}",
                page.host,
                configuration.highest.number,
                if configuration.ready {
                    "ready"
                } else {
                    "not ready"
                },
                if configuration.watching {
                    "watching"
                } else {
                    "not watching"
                },
            ));
            entries.push(json!({
                "address": address,
                "host": page.host,
                "highest": configuration.highest,
                "ready": configuration.ready,
                "watching": configuration.watching,
                "current": current,
            }));
        }
        lines.extend(
            discovery
                .unreachable
                .iter()
                .map(|address| format!("{address}: unreachable")),
        );
        let json = json!({
            "highest": highest,
            "routers": entries,
            "unreachable": discovery.unreachable,
        });
        Ok(Output {
            text: lines.join("\n"),
            json,
            code: if all_current { 0 } else { error::BEHIND },
        })
    }
}
