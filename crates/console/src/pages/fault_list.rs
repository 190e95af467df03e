//! Lists of faults.

use lw_doc::Fault;

use crate::forms::FormFault;
use crate::html::{Element, Html, element};

/// Returns the summary at the top of a form, with a link to each bad field.
pub(crate) fn form_summary(faults: &[FormFault]) -> Html {
    if faults.is_empty() {
        return Html::new();
    }
    let items = faults.iter().map(|fault| {
        let item = element("li");
        match &fault.field {
            Some(field) => {
                let link = element("a").attr("href", &format!("#f-{field}"));
                item.child(link.text(&format!("{field}: {}", fault.message)))
            }
            None => item.text(&fault.message),
        }
    });
    alert(
        "Nothing was kept: correct these faults",
        element("ul").children(items),
    )
}

/// Returns faults of a document; nothing for none.
pub(crate) fn document_faults(heading: &str, faults: &[Fault]) -> Html {
    if faults.is_empty() {
        return Html::new();
    }
    let items = faults
        .iter()
        .map(|fault| element("li").text(&fault.to_string()));
    alert(heading, element("ul").children(items))
}

/// Returns a box that screen readers announce.
pub(crate) fn alert(heading: &str, content: Element) -> Html {
    element("div")
        .attr("class", "box bad")
        .attr("role", "alert")
        .child(element("h2").text(heading))
        .child(content)
        .into()
}
