//! The preview page.

use lw_doc::{Fault, Warning};
use uuid::Uuid;

use crate::auth::FormId;
use crate::draft::FieldChange;
use crate::html::{Element, Html, element};
use crate::pages::fault_list::{alert, document_faults};
use crate::pages::layout::page;
use crate::pages::table::{paragraph, table, text};
use crate::pages::value_text::value_text;
use crate::pages::view::{View, hidden, submit_button};

/// The data of the preview page.
#[derive(Clone, Copy)]
pub struct PreviewView<'a> {
    /// The differences field by field.
    pub changes: &'a [FieldChange],
    /// The faults, which prevent publishing.
    pub faults: &'a [Fault],
    /// The warnings, each of which must be confirmed.
    pub warnings: &'a [Warning],
    /// The texts of the warnings that the operator has confirmed.
    pub confirmed: &'a [String],
    /// The idempotency key of the attempt to publish.
    pub operation: Uuid,
    /// The message about the last attempt to publish, when it did not succeed or its outcome is not known.
    pub problem: Option<&'a str>,
}

/// Returns the preview page.
#[must_use]
pub fn preview_page(view: &View<'_>, preview: PreviewView<'_>) -> Html {
    let mut content = Html::new();
    if let Some(problem) = preview.problem {
        content = content.child(alert("Publishing needs your attention", paragraph(problem)));
    }
    if preview.changes.is_empty() {
        content = content.child(paragraph("There is nothing to publish."));
        return page(view, "Preview", "/console/preview", content);
    }
    let heading =
        "The document has errors and cannot be published. Correct them in the draft first";
    content = content
        .child(document_faults(heading, preview.faults))
        .child(element("h2").text("Differences"))
        .child(change_table(
            "Changes from the base revision",
            "Before",
            preview.changes,
        ));
    if preview.faults.is_empty() {
        content = content.child(publish_form(view, preview));
    }
    let back = element("p").child(view.link("/console/draft", "Back to the draft"));
    page(view, "Preview", "/console/preview", content.child(back))
}

pub(crate) fn change_table(caption: &str, before: &str, changes: &[FieldChange]) -> Element {
    let rows = changes.iter().map(|change| {
        vec![
            text(&change.path),
            text(&change.field),
            text(&value_text(change.before.as_ref())),
            text(&value_text(change.after.as_ref())),
        ]
    });
    table(caption, &["Part", "Field", before, "After"], rows)
}

fn publish_form(view: &View<'_>, preview: PreviewView<'_>) -> Element {
    let mut form = view
        .form(FormId::Publish, "/console/publish")
        .child(hidden("operation", &preview.operation.to_string()));
    if !preview.warnings.is_empty() {
        let boxes = preview
            .warnings
            .iter()
            .map(|warning| confirmation(preview, warning));
        let legend = "Dangerous changes: confirm each one to publish";
        let fieldset = element("fieldset")
            .attr("class", "box bad")
            .child(element("legend").text(legend))
            .children(boxes);
        form = form.child(fieldset);
    }
    form.child(element("p").child(submit_button("Publish")))
}

fn confirmation(preview: PreviewView<'_>, warning: &Warning) -> Element {
    let warning = warning.to_string();
    let checked = preview.confirmed.contains(&warning);
    let input = element("input")
        .attr("type", "checkbox")
        .attr("name", "confirm")
        .attr("value", &warning)
        .flag("checked", checked);
    let label = element("label")
        .child(input)
        .text(" I confirm: ")
        .text(&warning);
    element("div").child(label)
}
