//! Command-line arguments.

use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;

use crate::error;

/// Writes and reads the fleet's configuration: templates, workspaces and parameters.
///
/// Exit codes: 0 done; 1 refused, nothing was written; 2 wrong usage or settings; 3 another
/// operator changed the document, nothing was written; 4 the key-value service did not answer,
/// nothing was written; 5 the service did not answer and it is not known whether the change was
/// applied; 6 applied, but not in force on every reachable router.
#[derive(Debug, FromArgs)]
pub(crate) struct Args {
    /// settings file (default: snipeusher.toml)
    #[argh(option, default = "PathBuf::from(\"snipeusher.toml\")")]
    pub(crate) settings: PathBuf,
    /// print one JSON object
    #[argh(switch)]
    pub(crate) json: bool,
    #[argh(subcommand)]
    pub(crate) command: Command,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub(crate) enum Command {
    Template(TemplateArgs),
    Workspace(WorkspaceArgs),
    Param(ParamArgs),
    Check(CheckArgs),
    Status(StatusArgs),
    Explain(ExplainArgs),
}

/// Write and read templates.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "template")]
pub(crate) struct TemplateArgs {
    #[argh(subcommand)]
    pub(crate) action: Action,
}

/// Write and read bindings of workspaces to templates.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "workspace")]
pub(crate) struct WorkspaceArgs {
    #[argh(subcommand)]
    pub(crate) action: Action,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub(crate) enum Action {
    Put(PutArgs),
    Get(GetArgs),
    List(ListArgs),
    Diff(DiffArgs),
    History(HistoryArgs),
    Rollback(RollbackArgs),
    Delete(DeleteArgs),
}

/// Write a document from a TOML file.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "put")]
pub(crate) struct PutArgs {
    #[argh(positional)]
    pub(crate) file: PathBuf,
    /// refuse the change if the document has another revision; 0 if it must be new
    #[argh(option)]
    pub(crate) expect: Option<u64>,
    /// wait until every reachable router has the change in force
    #[argh(switch)]
    pub(crate) wait: bool,
}

/// Print a document.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "get")]
pub(crate) struct GetArgs {
    #[argh(positional)]
    pub(crate) name: String,
    /// an earlier revision from the history
    #[argh(option)]
    pub(crate) revision: Option<u64>,
}

/// List the documents.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "list")]
#[expect(
    clippy::empty_structs_with_brackets,
    reason = "argh takes structs with named fields"
)]
pub(crate) struct ListArgs {}

/// Compare values: a file, or an earlier revision, with the document.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "diff")]
pub(crate) struct DiffArgs {
    #[argh(positional)]
    pub(crate) name: String,
    /// a file that may be put
    #[argh(option)]
    pub(crate) file: Option<PathBuf>,
    /// an earlier revision from the history
    #[argh(option)]
    pub(crate) revision: Option<u64>,
}

/// List earlier revisions of a document.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "history")]
pub(crate) struct HistoryArgs {
    #[argh(positional)]
    pub(crate) name: String,
}

/// Write the text of an earlier revision again.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "rollback")]
pub(crate) struct RollbackArgs {
    #[argh(positional)]
    pub(crate) name: String,
    #[argh(positional)]
    pub(crate) revision: u64,
    /// refuse the change if the document has another revision
    #[argh(option)]
    pub(crate) expect: Option<u64>,
    /// wait until every reachable router has the change in force
    #[argh(switch)]
    pub(crate) wait: bool,
}

/// Delete a document; its history stays.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "delete")]
pub(crate) struct DeleteArgs {
    #[argh(positional)]
    pub(crate) name: String,
    /// refuse the change if the document has another revision
    #[argh(option)]
    pub(crate) expect: Option<u64>,
    /// wait until every reachable router has the change in force
    #[argh(switch)]
    pub(crate) wait: bool,
}

/// Change parameters.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "param")]
pub(crate) struct ParamArgs {
    #[argh(subcommand)]
    pub(crate) action: ParamAction,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub(crate) enum ParamAction {
    Set(SetArgs),
}

/// Set a parameter of a workspace, or its default in a template. Comments of the text are lost.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "set")]
pub(crate) struct SetArgs {
    #[argh(positional)]
    pub(crate) parameter: String,
    /// a TOML value, such as 1.5 or true; what is no TOML is text
    #[argh(positional)]
    pub(crate) value: String,
    /// the workspace
    #[argh(option)]
    pub(crate) workspace: Option<String>,
    /// the template
    #[argh(option)]
    pub(crate) template: Option<String>,
    /// refuse the change if the document has another revision
    #[argh(option)]
    pub(crate) expect: Option<u64>,
    /// wait until every reachable router has the change in force
    #[argh(switch)]
    pub(crate) wait: bool,
}

/// Check files without the service; workspaces are checked against the templates among them.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "check")]
pub(crate) struct CheckArgs {
    #[argh(positional)]
    pub(crate) files: Vec<PathBuf>,
}

/// Print the story of a request, or of a host, from the logs of routers.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "explain",
    example = "{command_name} 9c41d07be2a35f68 front-1.log front-2.log",
    example = "{command_name} --host front-1 --from 01:51:30 --to 01:51:40 all.log"
)]
pub(crate) struct ExplainArgs {
    /// the request's id, where no host is given; then log files, standard input if there is none
    #[argh(positional)]
    pub(crate) words: Vec<String>,
    /// print what this host logged instead
    #[argh(option)]
    pub(crate) host: Option<String>,
    /// leave out what was logged before this time of day (HH:MM:SS)
    #[argh(option)]
    pub(crate) from: Option<String>,
    /// leave out what was logged after this time of day (HH:MM:SS)
    #[argh(option)]
    pub(crate) to: Option<String>,
}

/// Show which configuration each router has in force, or what nodes believe.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "status",
    example = "snipeusher status\nsnipeusher --json status 10.1.0.4:9464 10.2.0.7:9464"
)]
pub(crate) struct StatusArgs {
    /// metrics addresses of nodes; without any, the routers of the settings are asked
    #[argh(positional)]
    pub(crate) nodes: Vec<String>,
}

/// Parses the arguments of the process. The exit code is 0 for help and 2 for wrong usage.
pub(crate) fn parse() -> Result<Args, ExitCode> {
    let args: Vec<String> = std::env::args().collect();
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    let name = args.first().copied().unwrap_or("snipeusher");
    Args::from_args(&[name], args.get(1..).unwrap_or_default()).map_err(|exit| {
        if exit.status.is_ok() {
            println!("{}", exit.output);
            return ExitCode::SUCCESS;
        }
        eprintln!("{}", exit.output);
        ExitCode::from(error::USAGE)
    })
}
