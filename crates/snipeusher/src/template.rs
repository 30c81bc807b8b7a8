//! What operators write: templates with parameters, and bindings of workspaces to them.
//!
//! See `docs/design.md#configuration`.

mod check;
mod parameter;

use std::collections::BTreeMap;
use std::fmt;

use serde::Deserialize;
use serde::Serialize;
use snafu::ResultExt as _;
use snafu::Snafu;

pub use self::parameter::Kind;
pub use self::parameter::Parameter;
use crate::name;
use crate::policy;
use crate::policy::Policy;

/// A text value that starts with this character names a parameter.
const PARAMETER_MARK: char = '$';

/// One thing that is wrong, with the place where it stands.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Mistake {
    /// Path within the document, such as `limits.load_limit`.
    #[serde(rename = "place")]
    pub path: String,
    /// What is wrong there.
    pub text: String,
}

impl fmt::Display for Mistake {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.path.is_empty() {
            return f.write_str(&self.text);
        }
        write!(f, "{}: {}", self.path, self.text)
    }
}

/// Why a template and a binding do not give a policy.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The text is not the TOML that a document of this kind has.
    #[snafu(display("{document} is not valid: {source}"))]
    Syntax {
        /// The document, such as `template "letters"`.
        document: String,
        /// What the TOML library reports.
        source: toml::de::Error,
    },
    /// The document has mistakes; all of them are listed.
    #[snafu(display("{document} is not valid: {}", joined(mistakes)))]
    Invalid {
        /// The document, such as `template "letters"`.
        document: String,
        /// Every mistake found.
        mistakes: Vec<Mistake>,
    },
    /// A value names a parameter that the template does not declare.
    #[snafu(display("template {template:?} has no parameter {parameter:?}"))]
    UnknownParameter {
        /// The template.
        template: String,
        /// The parameter.
        parameter: String,
    },
    /// A binding names another template.
    #[snafu(display("workspace {workspace:?} is bound to template {bound:?}, not {template:?}"))]
    OtherTemplate {
        /// The workspace.
        workspace: String,
        /// The template that the binding names.
        bound: String,
        /// The template given.
        template: String,
    },
}

fn joined(mistakes: &[Mistake]) -> String {
    let texts: Vec<_> = mistakes.iter().map(ToString::to_string).collect();
    texts.join("; ")
}

/// A template: which models, adapters and versions may be reached and how work is treated.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Template {
    /// Its name.
    pub name: name::Template,
    /// Parameters, which any text value below may name as `$parameter`.
    #[serde(default)]
    pub parameters: BTreeMap<String, Parameter>,
    /// The body, a [`Body`] once parameters are filled in.
    pub body: toml::Table,
}

/// The body of a template with all parameters filled in.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Body {
    /// Models that may be reached.
    #[serde(default)]
    pub models: BTreeMap<name::Model, policy::Model>,
    /// Classes of work.
    pub classes: BTreeMap<name::Class, policy::Class>,
    /// The class of a request that names none.
    pub default_class: name::Class,
    /// Plain services that may be reached.
    #[serde(default)]
    pub services: BTreeMap<name::Service, policy::Service>,
    /// Bounds.
    #[serde(default)]
    pub limits: policy::Limits,
}

/// Binds a workspace to a template.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Binding {
    /// The workspace.
    pub workspace: name::Workspace,
    /// The template that it uses.
    pub template: name::Template,
    /// Digests of its bearer keys.
    pub keys: Vec<policy::Digest>,
    /// Values of parameters that differ from the template's defaults.
    #[serde(default)]
    pub parameters: BTreeMap<String, toml::Value>,
}

impl Template {
    /// Reads a template from TOML.
    pub fn parse(text: &str) -> Result<Self, Error> {
        toml::from_str(text).context(SyntaxSnafu {
            document: "template",
        })
    }

    /// Reports every mistake in the template, also those that a parameter at the end of its range
    /// would cause.
    pub fn validate(&self) -> Result<(), Error> {
        let mut mistakes = check::template(self);
        mistakes.sort();
        mistakes.dedup();
        if mistakes.is_empty() {
            return Ok(());
        }
        self.invalid(mistakes)
    }

    /// Fills in a workspace's parameters.
    pub fn compile(&self, binding: &Binding) -> Result<Policy, Error> {
        if binding.template != self.name {
            return OtherTemplateSnafu {
                workspace: binding.workspace.as_str(),
                bound: binding.template.as_str(),
                template: self.name.as_str(),
            }
            .fail();
        }
        let mut mistakes = Vec::new();
        for (parameter, value) in &binding.parameters {
            let Some(declared) = self.parameters.get(parameter) else {
                return UnknownParameterSnafu {
                    template: self.name.as_str(),
                    parameter,
                }
                .fail();
            };
            mistakes.extend(declared.refuses(value).map(|text| Mistake {
                path: format!("parameters.{parameter}"),
                text,
            }));
        }
        if !mistakes.is_empty() {
            return InvalidSnafu {
                document: format!("workspace {:?}", binding.workspace.as_str()),
                mistakes,
            }
            .fail();
        }
        let body = match self.filled(&binding.parameters) {
            Ok(body) => body,
            Err(mistakes) => return self.invalid(mistakes),
        };
        Ok(Policy {
            workspace: binding.workspace.clone(),
            keys: binding.keys.clone(),
            models: body.models,
            classes: body.classes,
            default_class: body.default_class,
            services: body.services,
            limits: body.limits,
        })
    }

    /// The checked body, with `given` in place of the defaults that it names.
    fn filled(&self, given: &BTreeMap<String, toml::Value>) -> Result<Body, Vec<Mistake>> {
        let mut mistakes = Vec::new();
        let mut table = toml::Value::Table(self.body.clone());
        self.fill(&mut table, given, "", &mut mistakes);
        let body = check::body(table, &mut mistakes);
        body.filter(|_| mistakes.is_empty()).ok_or(mistakes)
    }

    fn fill(
        &self,
        value: &mut toml::Value,
        given: &BTreeMap<String, toml::Value>,
        path: &str,
        mistakes: &mut Vec<Mistake>,
    ) {
        match value {
            toml::Value::Table(table) => {
                for (key, inner) in table.iter_mut() {
                    self.fill(inner, given, &check::inside(path, key), mistakes);
                }
            }
            toml::Value::Array(items) => {
                for inner in items {
                    self.fill(inner, given, path, mistakes);
                }
            }
            toml::Value::String(text) => {
                let Some(parameter) = text.strip_prefix(PARAMETER_MARK) else {
                    return;
                };
                let default = self.parameters.get(parameter).map(|p| &p.default);
                match given.get(parameter).or(default) {
                    Some(filled) => *value = filled.clone(),
                    None => mistakes.push(Mistake {
                        path: path.to_owned(),
                        text: format!(
                            "template {:?} has no parameter {parameter:?}",
                            self.name.as_str()
                        ),
                    }),
                }
            }
            _ => {}
        }
    }

    fn invalid<T>(&self, mistakes: Vec<Mistake>) -> Result<T, Error> {
        InvalidSnafu {
            document: format!("template {:?}", self.name.as_str()),
            mistakes,
        }
        .fail()
    }
}

impl Binding {
    /// Reads a binding from TOML.
    pub fn parse(text: &str) -> Result<Self, Error> {
        toml::from_str(text).context(SyntaxSnafu {
            document: "workspace",
        })
    }

    /// Reports every mistake that shows without the template.
    pub fn validate(&self) -> Result<(), Error> {
        let mistakes = check::binding(self);
        if mistakes.is_empty() {
            return Ok(());
        }
        InvalidSnafu {
            document: format!("workspace {:?}", self.workspace.as_str()),
            mistakes,
        }
        .fail()
    }
}
