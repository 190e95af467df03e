//! The draft page.

use lw_doc::{Change, Document, Fault};

use crate::auth::FormId;
use crate::html::{Html, element};
use crate::pages::fault_list::{alert, document_faults};
use crate::pages::layout::page;
use crate::pages::table::{paragraph, table, text};
use crate::pages::view::{View, hidden, submit_button};
use crate::section::value_at;

/// Returns the draft with its changes and faults; `unusable` is the reason why the draft cannot be applied to its base.
#[must_use]
pub fn draft_page(
    view: &View<'_>,
    base: Option<&Document>,
    faults: &[Fault],
    unusable: Option<&str>,
) -> Html {
    let mut content = Html::new();
    if let Some(message) = unusable {
        content = content.child(alert("The draft cannot be applied", paragraph(message)));
    }
    if !view.has_draft() {
        content = content.child(paragraph("The draft has no changes."));
        return page(view, "Draft", "/console/draft", content);
    }
    let heading = "The draft cannot be published until these errors are corrected";
    let rows = view
        .draft
        .changes
        .iter()
        .map(|change| row(view, base, change));
    let discard = view
        .form(FormId::Undo, "/console/draft/discard")
        .child(submit_button("Discard the whole draft"));
    let content = content
        .child(document_faults(heading, faults))
        .child(table(
            "Changes of the draft",
            &["Part", "Change", "Action"],
            rows,
        ))
        .child(element("p").child(view.link("/console/preview", "Preview and publish")))
        .child(discard);
    page(view, "Draft", "/console/draft", content)
}

fn row(view: &View<'_>, base: Option<&Document>, change: &Change) -> Vec<Html> {
    let existed = base.is_some_and(|base| value_at(base, &change.path).is_some());
    let kind = match (&change.value, existed) {
        (None, _) => "removed",
        (Some(_), true) => "changed",
        (Some(_), false) => "added",
    };
    let undo = view
        .form(FormId::Undo, "/console/draft/undo")
        .child(hidden("path", &change.path))
        .child(submit_button("Undo").attr("aria-label", &format!("Undo {}", change.path)));
    vec![text(&change.path), text(kind), undo.into()]
}
