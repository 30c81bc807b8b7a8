//! Templates with parameters, and bindings of workspaces to templates, as operators write them.
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

/// First character of a text value that refers to a parameter.
const PARAMETER_MARK: char = '$';

/// A mistake in a document.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Mistake {
    /// Path within the document, such as `limits.load_limit`.
    #[serde(rename = "place")]
    pub path: String,
    /// Description of the mistake.
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

/// Why a template and a binding cannot be compiled into a policy.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The text is not valid TOML for this kind of document.
    #[snafu(display("{document} is not valid: {source}"))]
    Syntax {
        /// The kind of document.
        document: String,
        /// The error of the TOML parser.
        source: toml::de::Error,
    },
    /// The document has mistakes.
    #[snafu(display("{document} is not valid: {}", joined(mistakes)))]
    Invalid {
        /// The document, such as `template "letters"`.
        document: String,
        /// All mistakes found.
        mistakes: Vec<Mistake>,
    },
    /// A binding sets a parameter that the template does not declare.
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
        /// The template to compile.
        template: String,
    },
}

fn joined(mistakes: &[Mistake]) -> String {
    let texts: Vec<_> = mistakes.iter().map(ToString::to_string).collect();
    texts.join("; ")
}

/// A template: the models, adapters and versions that a workspace may use, and how its requests
/// are handled.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Template {
    /// The template's name.
    pub name: name::Template,
    /// Parameters, to which text values in the body refer as `$parameter`.
    #[serde(default)]
    pub parameters: BTreeMap<String, Parameter>,
    /// The body, which becomes a [`Body`] once parameters are substituted.
    pub body: toml::Table,
}

/// The body of a template after parameter substitution.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Body {
    /// Models that the workspace may use.
    #[serde(default)]
    pub models: BTreeMap<name::Model, policy::Model>,
    /// Request classes.
    pub classes: BTreeMap<name::Class, policy::Class>,
    /// The class of requests that specify none.
    pub default_class: name::Class,
    /// Plain services that the workspace may use.
    #[serde(default)]
    pub services: BTreeMap<name::Service, policy::Service>,
    /// Limits of the workspace.
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
    /// Parameter values that override the template's defaults.
    #[serde(default)]
    pub parameters: BTreeMap<String, toml::Value>,
}

impl Template {
    /// Parses a template from TOML.
    pub fn parse(text: &str) -> Result<Self, Error> {
        toml::from_str(text).context(SyntaxSnafu {
            document: "template",
        })
    }

    /// Reports all mistakes in the template, including those that only occur with a parameter at
    /// its minimum, maximum or one of its choices.
    pub fn validate(&self) -> Result<(), Error> {
        let mut mistakes = check::template(self);
        mistakes.sort();
        mistakes.dedup();
        if mistakes.is_empty() {
            return Ok(());
        }
        self.invalid(mistakes)
    }

    /// Compiles the template into a workspace's policy, with the parameters of the binding.
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
            mistakes.extend(declared.check(value).map(|text| Mistake {
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
        let body = match self.resolve(&binding.parameters) {
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

    /// Substitutes parameters, with `overrides` in place of defaults, and checks the body.
    fn resolve(&self, overrides: &BTreeMap<String, toml::Value>) -> Result<Body, Vec<Mistake>> {
        let mut mistakes = Vec::new();
        let mut table = toml::Value::Table(self.body.clone());
        self.substitute(&mut table, overrides, "", &mut mistakes);
        let body = check::body(table, &mut mistakes);
        body.filter(|_| mistakes.is_empty()).ok_or(mistakes)
    }

    fn substitute(
        &self,
        value: &mut toml::Value,
        overrides: &BTreeMap<String, toml::Value>,
        path: &str,
        mistakes: &mut Vec<Mistake>,
    ) {
        match value {
            toml::Value::Table(table) => {
                for (key, inner) in table.iter_mut() {
                    self.substitute(inner, overrides, &check::join(path, key), mistakes);
                }
            }
            toml::Value::Array(items) => {
                for inner in items {
                    self.substitute(inner, overrides, path, mistakes);
                }
            }
            toml::Value::String(text) => {
                let Some(parameter) = text.strip_prefix(PARAMETER_MARK) else {
                    return;
                };
                let default = self.parameters.get(parameter).map(|p| &p.default);
                match overrides.get(parameter).or(default) {
                    Some(substitute) => *value = substitute.clone(),
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
    /// Parses a binding from TOML.
    pub fn parse(text: &str) -> Result<Self, Error> {
        toml::from_str(text).context(SyntaxSnafu {
            document: "workspace",
        })
    }

    /// Reports all mistakes that can be found without the template.
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
