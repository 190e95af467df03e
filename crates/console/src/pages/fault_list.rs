//! Fault lists.

use lw_doc::Fault;

use crate::forms::{Field, FormFault};
use crate::html::{Element, Html, element};

/// Returns the fault summary at the top of a form, with a link to each invalid field.
pub(crate) fn form_summary(fields: &[Field], faults: &[FormFault]) -> Html {
    if faults.is_empty() {
        return Html::new();
    }
    let for_form = faults.iter().filter(|fault| fault.field.is_none());
    let for_form = for_form.map(|fault| element("li").text(&fault.message));
    let of_fields = fields.iter().flat_map(|field| {
        let own = faults
            .iter()
            .filter(|fault| fault.field.as_deref() == Some(field.name));
        own.map(|fault| {
            let link = element("a").attr("href", &format!("#f-{}", field.name));
            element("li").child(link.text(&format!("{}: {}", field.label, fault.message)))
        })
    });
    let items = for_form.chain(of_fields);
    alert(
        "Nothing was saved. Correct these errors, then save again",
        element("ul").children(items),
    )
}

/// Returns the list of document faults; empty when there are none.
pub(crate) fn document_faults(heading: &str, faults: &[Fault]) -> Html {
    if faults.is_empty() {
        return Html::new();
    }
    let items = faults
        .iter()
        .map(|fault| element("li").text(&fault.to_string()));
    alert(heading, element("ul").children(items))
}

/// Returns an alert box, which screen readers announce.
pub(crate) fn alert(heading: &str, content: Element) -> Html {
    element("div")
        .attr("class", "box bad")
        .attr("role", "alert")
        .child(element("h2").text(heading))
        .child(content)
        .into()
}
