//! The form page of an entity.

use lw_doc::{Document, Fault};

use crate::auth::FormId;
use crate::forms::{FormFault, entity_fields, stop_now_fields};
use crate::html::{Html, element};
use crate::inputs::Inputs;
use crate::pages::fault_list::{document_faults, form_summary};
use crate::pages::field_html::field_html;
use crate::pages::layout::page;
use crate::pages::view::{View, hidden, submit_button};
use crate::section::Section;

/// The data of the form page.
#[derive(Clone, Copy)]
pub struct EntityView<'a> {
    /// The section.
    pub section: Section,
    /// Whether it is the form that starts a planned stop now.
    pub stop_now: bool,
    /// The name of the entity that is edited; empty for a new one.
    pub original: &'a str,
    /// The form values.
    pub inputs: &'a Inputs,
    /// The faults of the form.
    pub faults: &'a [FormFault],
    /// Faults that the change would cause in other parts of the document.
    pub caused: &'a [Fault],
}

/// Returns the page with the form.
#[must_use]
pub fn entity_page(view: &View<'_>, document: &Document, form: EntityView<'_>) -> Html {
    let section = form.section;
    let new = form.original.is_empty() && section.has_names();
    let mut fields = entity_fields(section, document, new);
    if form.stop_now {
        fields.truncate(1);
        fields.extend(stop_now_fields());
    }
    let action = match form.stop_now {
        true => "/console/planned-stops/now/save".to_owned(),
        false => format!("/console/{}/save", section.slug()),
    };
    let controls = fields
        .iter()
        .map(|field| field_html(field, form.inputs, form.faults));
    let body = view
        .form(FormId::Save, &action)
        .child(hidden("original", form.original))
        .children(controls)
        .child(element("p").child(submit_button("Save to the draft")));
    let list = format!("/console/{}", section.slug());
    let content = Html::new()
        .child(form_summary(&fields, form.faults))
        .child(document_faults(
            "The change would also cause these errors in other parts of the document",
            form.caused,
        ))
        .child(body)
        .child(element("p").child(view.link(&list, "Back to the list without saving")));
    page(view, &title(&form, new), &list, content)
}

fn title(form: &EntityView<'_>, new: bool) -> String {
    match (form.stop_now, new, form.section) {
        (true, ..) => "Start a planned stop now".to_owned(),
        (_, true, section) => format!("Add a {}", section.entity()),
        (_, _, Section::Weights) => "Edit the weights".to_owned(),
        (_, _, Section::Audit) => "Edit the audit retention".to_owned(),
        (_, false, section) => format!("Edit {} {}", section.entity(), form.original),
    }
}
