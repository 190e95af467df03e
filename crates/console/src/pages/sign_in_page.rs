//! The sign-in page.

use crate::auth::{FormId, Session, SessionKey};
use crate::html::{Element, Html, element};
use crate::pages::fault_list::alert;
use crate::pages::layout::frame;
use crate::pages::pending_form::PendingForm;
use crate::pages::table::paragraph;
use crate::pages::view::{hidden, hidden_all, submit_button};

/// The data of the sign-in page.
#[derive(Clone, Copy)]
pub struct SignInView<'a> {
    /// The session of the visitor.
    pub session: &'a Session,
    /// The key that signs tokens.
    pub key: &'a SessionKey,
    /// The operator name typed before.
    pub operator: &'a str,
    /// The reason why the last sign-in failed.
    pub problem: Option<&'a str>,
    /// The page or form to continue with after the sign-in.
    pub pending: &'a PendingForm,
}

/// Returns the sign-in page.
#[must_use]
pub fn sign_in_page(view: SignInView<'_>) -> Html {
    let problem = view
        .problem
        .map(|problem| alert("Not signed in", paragraph(problem)));
    let form = element("form")
        .attr("method", "post")
        .attr("action", "/console/sign-in")
        .child(hidden(
            "token",
            &view.session.token(view.key, FormId::SignIn),
        ))
        .child(hidden_all(&view.pending.inputs()))
        .child(field(
            "operator",
            "Operator name",
            "text",
            "username",
            view.operator,
        ))
        .child(field(
            "secret",
            "Secret",
            "password",
            "current-password",
            "",
        ));
    let mut content = Html::new().child(problem.unwrap_or_default());
    if view.pending.has_fields() {
        let notice = "Your session has ended. What you typed is kept. Sign in to continue.";
        content = content.child(paragraph(notice));
    }
    let form = form.child(element("p").child(submit_button("Sign in")));
    frame("Sign in", Html::new(), content.child(form), Html::new())
}

fn field(name: &str, label: &str, kind: &str, autocomplete: &str, value: &str) -> Element {
    let id = format!("f-{name}");
    let input = element("input")
        .attr("type", kind)
        .attr("id", &id)
        .attr("name", name)
        .attr("autocomplete", autocomplete)
        .attr("value", value)
        .flag("required", true);
    element("div")
        .attr("class", "field")
        .child(element("label").attr("for", &id).text(label))
        .child(input)
}
