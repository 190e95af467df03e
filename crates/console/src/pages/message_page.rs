//! Pages with a single message.

use crate::auth::FormId;
use crate::html::{Html, element};
use crate::pages::fault_list::alert;
use crate::pages::layout::{frame, page};
use crate::pages::pending_form::PendingForm;
use crate::pages::table::paragraph;
use crate::pages::view::{View, hidden_all, submit_button};

/// Returns an error page that keeps the draft.
#[must_use]
pub fn message_page(view: &View<'_>, title: &str, message: &str) -> Html {
    page(view, title, "", alert("What happened", paragraph(message)))
}

/// Returns the page that resubmits a pending form; `form` selects the token that its path requires.
#[must_use]
pub fn resume_page(view: &View<'_>, pending: &PendingForm, form: FormId, message: &str) -> Html {
    let body = view
        .form(form, &pending.return_path)
        .child(hidden_all(&pending.without_draft()))
        .child(element("p").child(submit_button("Continue where you left off")));
    let content = Html::new().child(paragraph(message)).child(body);
    page(view, "Continue", "", content)
}

/// Returns an error page for a visitor without a session.
#[must_use]
pub fn plain_page(title: &str, message: &str) -> Html {
    let back = element("a")
        .attr("href", "/console")
        .text("Go to the overview");
    let content = Html::new()
        .child(alert("What happened", paragraph(message)))
        .child(element("p").child(back));
    frame(title, Html::new(), content, Html::new())
}
