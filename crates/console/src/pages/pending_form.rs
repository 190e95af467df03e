//! Form fields that are kept across a sign-in.

use crate::draft::Draft;
use crate::inputs::Inputs;

/// The prefix of kept fields, which separates them from the fields of the sign-in form.
const PREFIX: &str = "carried.";

/// A form post that arrived without a valid session or token, kept so that the operator can resubmit it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PendingForm {
    /// The path and query that the form was sent to.
    pub return_path: String,
    /// The form fields without the token.
    pub fields: Inputs,
}

impl PendingForm {
    /// Creates a pending form from a form post.
    #[must_use]
    pub fn from_post(path: &str, body: &Inputs) -> Self {
        let mut fields = Inputs::default();
        for (name, value) in body.iter().filter(|(name, _)| *name != "token") {
            fields.push(name, value);
        }
        Self {
            return_path: path.to_owned(),
            fields,
        }
    }

    /// Reads the pending form from the fields of a sign-in form.
    ///
    /// A path outside the console is replaced by the overview, so that a sign-in cannot redirect to another site.
    #[must_use]
    pub fn read(inputs: &Inputs) -> Self {
        let then = inputs.get("then");
        let inside =
            then == "/console" || then.starts_with("/console/") || then.starts_with("/console?");
        let plain = then
            .bytes()
            .all(|byte| byte.is_ascii_graphic() && byte != b'\\');
        let mut fields = Inputs::default();
        for (name, value) in inputs.iter() {
            if let Some(name) = name.strip_prefix(PREFIX) {
                fields.push(name, value);
            }
        }
        Self {
            return_path: if inside && plain { then } else { "/console" }.to_owned(),
            fields,
        }
    }

    /// Returns the hidden fields for the sign-in form.
    #[must_use]
    pub fn inputs(&self) -> Inputs {
        let mut inputs = Inputs::default().with("then", self.return_path.as_str());
        for (name, value) in self.fields.iter() {
            inputs.push(&format!("{PREFIX}{name}"), value);
        }
        inputs
    }

    /// Returns true when the pending form has fields.
    #[must_use]
    pub fn has_fields(&self) -> bool {
        self.fields.iter().next().is_some()
    }

    pub(crate) fn without_draft(&self) -> Inputs {
        let mut inputs = Inputs::default();
        let own = |name: &str| !Draft::FIELDS.contains(&name);
        for (name, value) in self.fields.iter().filter(|(name, _)| own(name)) {
            inputs.push(name, value);
        }
        inputs
    }
}
