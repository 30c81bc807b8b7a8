//! Runs one command.

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
use crate::output::Printed;
use crate::routers;
use crate::settings::Settings;

struct Session {
    settings: Settings,
    gateway: Gateway,
}

/// A change with what its command line says about it.
struct Wish {
    change: Change,
    expect: Option<u64>,
    wait: bool,
}

pub(crate) async fn run(args: Args) -> Result<Printed, Error> {
    if let Command::Check(check) = &args.command {
        return check::check(&check.files);
    }
    if let Command::Explain(wanted) = &args.command {
        return explain::explain(wanted);
    }
    if let Command::Status(wanted) = &args.command
        && !wanted.nodes.is_empty()
    {
        return Ok(nodes::status(&wanted.nodes).await);
    }
    let session = Session::open(&args.settings)?;
    match args.command {
        Command::Template(template) => session.act(Kind::Template, template.action).await,
        Command::Workspace(workspace) => session.act(Kind::Workspace, workspace.action).await,
        Command::Param(param) => {
            let ParamAction::Set(set) = param.action;
            session.edit(wish(set)?).await
        }
        Command::Status(_) => session.status().await,
        Command::Check(check) => check::check(&check.files),
        Command::Explain(wanted) => explain::explain(&wanted),
    }
}

fn wish(set: SetArgs) -> Result<Wish, Error> {
    let name = match (&set.workspace, &set.template) {
        (Some(workspace), None) => Kind::Workspace.name(workspace),
        (None, Some(template)) => Kind::Template.name(template),
        _ => {
            let text = "param set needs either --workspace or --template";
            return UsageSnafu { text }.fail();
        }
    };
    // A value that is no TOML is taken as text, so that words need no quotes.
    let parsed = format!("value = {}", set.value).parse::<toml::Table>();
    let value = parsed
        .ok()
        .and_then(|mut table| table.remove("value"))
        .unwrap_or(toml::Value::String(set.value));
    Ok(Wish {
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

    async fn act(&self, kind: Kind, action: Action) -> Result<Printed, Error> {
        match action {
            Action::Put(put) => {
                let (name, text) = kind.read(&put.file)?;
                let wish = Wish {
                    change: Change::Put { name, text },
                    expect: put.expect,
                    wait: put.wait,
                };
                self.edit(wish).await
            }
            Action::Rollback(rollback) => {
                let wish = Wish {
                    change: Change::Rollback {
                        name: kind.name(&rollback.name),
                        to: Revision(rollback.revision),
                    },
                    expect: rollback.expect,
                    wait: rollback.wait,
                };
                self.edit(wish).await
            }
            Action::Delete(delete) => {
                let wish = Wish {
                    change: Change::Delete(kind.name(&delete.name)),
                    expect: delete.expect,
                    wait: delete.wait,
                };
                self.edit(wish).await
            }
            Action::Get(get) => {
                let name = kind.name(&get.name);
                let revision = get.revision.map(Revision);
                let (revision, text) = document::text(&self.gateway, &name, revision).await?;
                let json = json!({"document": name.path(), "revision": revision, "text": text});
                Ok(Printed::done(text, json))
            }
            Action::List(_) => self.list(kind).await,
            Action::Diff(diff) => self.diff(kind, &diff).await,
            Action::History(history) => self.history(kind, &history.name).await,
        }
    }

    async fn edit(&self, wish: Wish) -> Result<Printed, Error> {
        let routers = &self.settings.routers;
        ensure!(
            !wish.wait || !routers.is_empty(),
            UsageSnafu {
                text: "--wait needs at least one address in routers of the settings"
            }
        );
        let name = wish.change.name().clone();
        let outcome = edit::carry_out(
            &self.gateway,
            wish.change,
            self.settings.author(),
            wish.expect.map(Revision),
            self.settings.edit_timeout(),
        )
        .await;
        let (what, revision) = match outcome {
            Outcome::Applied(revision) => ("applied", revision),
            Outcome::Unchanged(revision) => ("unchanged", revision),
            Outcome::Refused(refusal) => return Err(refusal).context(RefusedSnafu),
            Outcome::Unavailable => return Err(Error::NotWritten),
            Outcome::Unresolved(edit) => return Err(Error::Unresolved { edit }),
        };
        let mut text = format!("{name} {what}, revision {}", revision.0);
        let mut json = json!({"document": name.path(), "outcome": what, "revision": revision});
        let mut code = 0;
        if wish.wait {
            let patience = self.settings.wait_timeout();
            let progress = routers::wait(routers, &name.path(), revision, patience).await;
            text = format!("{text}\n{}", progress.text());
            json["routers"] = progress.json();
            if !progress.is_complete() {
                code = error::BEHIND;
            }
        }
        Ok(Printed { text, json, code })
    }

    async fn list(&self, kind: Kind) -> Result<Printed, Error> {
        let world = document::world(&self.gateway).await?;
        let mut lines = Vec::new();
        let mut listed = Vec::new();
        for (name, (revision, stored)) in &world.documents {
            if kind.holds(name) && stored.text.is_some() {
                lines.push(format!(
                    "{name} revision {} by {}",
                    revision.0, stored.author
                ));
                listed.push(json!({
                    "document": name.path(),
                    "revision": revision,
                    "author": stored.author,
                    "at_ms": stored.at_ms,
                }));
            }
        }
        for (key, reason) in &world.unreadable {
            lines.push(format!("{key} cannot be read: {reason}"));
        }
        Ok(Printed::done(
            lines.join("\n"),
            json!({"documents": listed}),
        ))
    }

    async fn diff(&self, kind: Kind, diff: &DiffArgs) -> Result<Printed, Error> {
        let name = kind.name(&diff.name);
        let (_, current) = document::text(&self.gateway, &name, None).await?;
        let (old, new) = match (&diff.file, diff.revision) {
            (Some(path), None) => {
                let file = std::fs::read_to_string(path).context(ReadSnafu { path })?;
                (current, file)
            }
            (None, Some(revision)) => {
                let revision = Some(Revision(revision));
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
        Ok(Printed::done(lines.join("\n"), json!({"diff": lines})))
    }

    async fn history(&self, kind: Kind, name: &str) -> Result<Printed, Error> {
        let name = kind.name(name);
        let world = document::world(&self.gateway).await?;
        let Some((revision, stored)) = world.documents.get(&name) else {
            let name = name.to_string();
            return Err(Error::Missing { name });
        };
        let history = document::history(&self.gateway, &name).await?;
        let mut versions = vec![json!({
            "revision": revision,
            "edit": stored.edit,
            "author": stored.author,
            "at_ms": stored.at_ms,
            "deleted": stored.text.is_none(),
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
        Ok(Printed::done(lines.join("\n"), json))
    }

    /// Compares what routers have with the service; the service may be out.
    async fn status(&self) -> Result<Printed, Error> {
        let world = document::world(&self.gateway).await.ok();
        let highest = world.as_ref().map(|world| {
            let revisions = world.documents.values().map(|(revision, _)| *revision);
            revisions.max().unwrap_or_default()
        });
        let found = routers::ask(&self.settings.routers).await;
        let mut lines = vec![match highest {
            Some(highest) => format!("key-value service: highest revision {}", highest.0),
            None => "key-value service: no answer".to_owned(),
        }];
        let mut listed = Vec::new();
        let mut in_step = true;
        for (address, page) in &found.pages {
            let configuration = &page.configuration;
            let current = highest.is_none_or(|highest| configuration.highest >= highest);
            in_step &= current && configuration.ready;
            lines.push(format!(
                "{address} {}: revision {}, {}, {}",
                page.host,
                configuration.highest.0,
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
            listed.push(json!({
                "address": address,
                "host": page.host,
                "highest": configuration.highest,
                "ready": configuration.ready,
                "watching": configuration.watching,
                "current": current,
            }));
        }
        lines.extend(
            found
                .unreachable
                .iter()
                .map(|address| format!("{address}: unreachable")),
        );
        let json = json!({
            "highest": highest,
            "routers": listed,
            "unreachable": found.unreachable,
        });
        Ok(Printed {
            text: lines.join("\n"),
            json,
            code: if in_step { 0 } else { error::BEHIND },
        })
    }
}
