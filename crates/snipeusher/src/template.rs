//! What operators write: templates with parameters, and bindings of workspaces to them.
//!
//! See `docs/design.md#configuration`.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;
use snafu::ResultExt as _;
use snafu::Snafu;

use crate::name;
use crate::policy;
use crate::policy::Policy;

/// A text value that starts with this character names a parameter.
const PARAMETER_MARK: char = '$';

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
    /// A value names a parameter that the template does not declare.
    #[snafu(display("template {template:?} has no parameter {parameter:?}"))]
    UnknownParameter {
        /// The template.
        template: name::Template,
        /// The parameter.
        parameter: String,
    },
    /// A binding names another template.
    #[snafu(display("workspace {workspace:?} is bound to template {bound:?}, not {template:?}"))]
    OtherTemplate {
        /// The workspace.
        workspace: name::Workspace,
        /// The template that the binding names.
        bound: name::Template,
        /// The template given.
        template: name::Template,
    },
    /// The class of requests that name none does not exist.
    #[snafu(display("template {template:?} has no class {class:?}, which default_class names"))]
    UnknownClass {
        /// The template.
        template: name::Template,
        /// The class.
        class: name::Class,
    },
}

/// A template: which models, adapters and versions may be reached and how work is treated.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Template {
    /// Its name.
    pub name: name::Template,
    /// Parameters with their defaults, which any text value below may name as `$parameter`.
    #[serde(default)]
    pub parameters: BTreeMap<String, toml::Value>,
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

    /// Fills in a workspace's parameters.
    pub fn compile(&self, binding: &Binding) -> Result<Policy, Error> {
        if binding.template != self.name {
            return OtherTemplateSnafu {
                workspace: binding.workspace.clone(),
                bound: binding.template.clone(),
                template: self.name.clone(),
            }
            .fail();
        }
        let mut values = self.parameters.clone();
        for (parameter, value) in &binding.parameters {
            if values.insert(parameter.clone(), value.clone()).is_none() {
                return self.unknown(parameter);
            }
        }
        let mut table = toml::Value::Table(self.body.clone());
        self.fill(&mut table, &values)?;
        let body: Body = table.try_into().with_context(|_| SyntaxSnafu {
            document: format!("template {:?}", self.name.as_str()),
        })?;
        if !body.classes.contains_key(&body.default_class) {
            return UnknownClassSnafu {
                template: self.name.clone(),
                class: body.default_class,
            }
            .fail();
        }
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

    fn fill(
        &self,
        value: &mut toml::Value,
        values: &BTreeMap<String, toml::Value>,
    ) -> Result<(), Error> {
        match value {
            toml::Value::Table(table) => table
                .iter_mut()
                .try_for_each(|(_, inner)| self.fill(inner, values)),
            toml::Value::Array(items) => items
                .iter_mut()
                .try_for_each(|inner| self.fill(inner, values)),
            toml::Value::String(text) => {
                let Some(parameter) = text.strip_prefix(PARAMETER_MARK) else {
                    return Ok(());
                };
                let Some(given) = values.get(parameter) else {
                    return self.unknown(parameter);
                };
                *value = given.clone();
                Ok(())
            }
            _ => Ok(()),
        }
    }

    fn unknown<T>(&self, parameter: &str) -> Result<T, Error> {
        UnknownParameterSnafu {
            template: self.name.clone(),
            parameter,
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
}
