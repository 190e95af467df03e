//! The page that asks for confirmation before an entity is removed.

use crate::auth::FormId;
use crate::html::{Html, element};
use crate::pages::layout::page;
use crate::pages::table::paragraph;
use crate::pages::view::{View, hidden, submit_button};
use crate::section::Section;

/// Returns the confirmation page.
#[must_use]
pub fn remove_page(view: &View<'_>, section: Section, name: &str) -> Html {
    let list = format!("/console/{}", section.slug());
    let entity = section.entity();
    let form = view
        .form(FormId::Remove, &format!("{list}/removed"))
        .child(hidden("name", name))
        .child(element("p").child(submit_button("Add the removal to the draft")));
    let content = Html::new()
        .child(paragraph(
            "The removal takes effect when the draft is published.",
        ))
        .child(form)
        .child(element("p").child(view.link(&list, "Back to the list")));
    page(view, &format!("Remove {entity} {name}?"), &list, content)
}
