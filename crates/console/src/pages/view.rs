//! The data that every page of a signed-in operator needs.

use lw_base::WallMs;

use crate::auth::{FormId, Session, SessionKey};
use crate::draft::Draft;
use crate::html::{Element, Html, element};
use crate::inputs::Inputs;

/// The session, the draft and the current time.
#[derive(Clone, Copy)]
pub struct View<'a> {
    /// The session.
    pub session: &'a Session,
    /// The key that signs tokens.
    pub key: &'a SessionKey,
    /// The draft; without changes it contains only the base revision.
    pub draft: &'a Draft,
    /// The revision in force.
    pub head_revision: u64,
    /// The current time.
    pub now: WallMs,
}

/// The HTML id of the form that sends the draft along when a link is followed.
pub(crate) const DRAFT_FORM_ID: &str = "draft";

impl View<'_> {
    /// Returns true when the draft has changes.
    pub(crate) fn has_draft(&self) -> bool {
        !self.draft.changes.is_empty()
    }

    /// Returns a link; when the draft has changes, a submit button that sends the draft along.
    pub(crate) fn link(&self, path: &str, label: &str) -> Element {
        if !self.has_draft() {
            return element("a").attr("href", path).text(label);
        }
        element("button")
            .attr("type", "submit")
            .attr("class", "link")
            .attr("form", DRAFT_FORM_ID)
            .attr("formaction", path)
            .text(label)
    }

    /// Starts a POST form with the hidden fields of the token and the draft.
    pub(crate) fn form(&self, form: FormId, action: &str) -> Element {
        element("form")
            .attr("method", "post")
            .attr("action", action)
            .child(hidden("token", &self.session.token(self.key, form)))
            .child(hidden_all(&self.draft.inputs()))
    }

    /// Returns the form that links submit when the draft has changes.
    pub(crate) fn draft_form(&self) -> Html {
        if !self.has_draft() {
            return Html::new();
        }
        let form = self.form(FormId::Navigate, "/console/draft");
        form.attr("id", DRAFT_FORM_ID).into()
    }
}

pub(crate) fn hidden(name: &str, value: &str) -> Element {
    element("input")
        .attr("type", "hidden")
        .attr("name", name)
        .attr("value", value)
}

pub(crate) fn hidden_all(inputs: &Inputs) -> Html {
    Html::new().children(inputs.iter().map(|(name, value)| hidden(name, value)))
}

pub(crate) fn submit_button(label: &str) -> Element {
    element("button").attr("type", "submit").text(label)
}

/// Returns a path of the console with one query parameter.
pub(crate) fn path_with(path: &str, name: &str, value: &str) -> String {
    let query = Inputs::default().with(name, value).encode();
    format!("{path}?{query}")
}
