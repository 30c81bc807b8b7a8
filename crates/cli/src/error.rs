//! Errors of a command and their exit codes.

use std::path::PathBuf;

use snafu::Snafu;
use snipeusher::config::EditId;
use snipeusher::config::Refusal;
use snipeusher::kv::Fault;
use snipeusher::template;

/// The change was refused; nothing was written.
pub(crate) const REFUSED: u8 = 1;
/// The arguments or the settings are wrong.
pub(crate) const USAGE: u8 = 2;
/// Another operator changed the document; nothing was written.
pub(crate) const CONFLICT: u8 = 3;
/// The key-value service did not answer; nothing was written.
pub(crate) const UNAVAILABLE: u8 = 4;
/// The key-value service did not answer; it is not known whether the change was applied.
pub(crate) const UNRESOLVED: u8 = 5;
/// The change was applied, but it is not in force on every reachable router.
pub(crate) const BEHIND: u8 = 6;

#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum Error {
    #[snafu(display("cannot read {}: {source}", path.display()))]
    Read {
        path: PathBuf,
        source: std::io::Error,
    },
    #[snafu(display("settings {}: {source}", path.display()))]
    Settings {
        path: PathBuf,
        source: toml::de::Error,
    },
    #[snafu(display("settings {}: {source}", path.display()))]
    Service {
        path: PathBuf,
        source: snipeusher_store::Error,
    },
    #[snafu(display("{text}"))]
    Usage { text: String },
    #[snafu(display("{}: {source}", path.display()))]
    Document {
        path: PathBuf,
        #[snafu(source(from(template::Error, Box::new)))]
        source: Box<template::Error>,
    },
    #[snafu(display("{text}"))]
    Invalid { text: String },
    #[snafu(display("{source}"))]
    Refused {
        #[snafu(source(from(Refusal, Box::new)))]
        source: Box<Refusal>,
    },
    #[snafu(display("there is no {name}"))]
    Missing { name: String },
    #[snafu(display("the key-value service did not answer ({fault:?})"))]
    Unavailable { fault: Fault },
    #[snafu(display("the key-value service did not answer; nothing was written"))]
    NotWritten,
    #[snafu(display(
        "the key-value service did not answer, and it is not known whether the change was applied; \
         look for edit {edit} in the history of the document"
    ))]
    Unresolved { edit: EditId },
}

impl Error {
    pub(crate) fn code(&self) -> u8 {
        match self {
            Self::Read { .. }
            | Self::Settings { .. }
            | Self::Service { .. }
            | Self::Usage { .. } => USAGE,
            Self::Refused { source } if matches!(**source, Refusal::Conflict { .. }) => CONFLICT,
            Self::Document { .. }
            | Self::Invalid { .. }
            | Self::Refused { .. }
            | Self::Missing { .. } => REFUSED,
            Self::Unavailable { .. } | Self::NotWritten => UNAVAILABLE,
            Self::Unresolved { .. } => UNRESOLVED,
        }
    }
}
