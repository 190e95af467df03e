//! The page for download and upload of the document.

use lw_doc::{Fault, ParseError};

use crate::auth::FormId;
use crate::html::{Html, element};
use crate::pages::fault_list::{alert, document_faults};
use crate::pages::layout::page;
use crate::pages::table::paragraph;
use crate::pages::view::{View, submit_button};

/// The reason why an uploaded document was rejected.
#[derive(Clone, Debug)]
pub enum DocumentFaults {
    /// Neither a file nor text was uploaded.
    Missing,
    /// The text cannot be parsed.
    Unreadable(ParseError),
    /// The document failed validation.
    Invalid(Vec<Fault>),
}

/// Returns the page for download and upload; `text` is the previously uploaded text.
#[must_use]
pub fn document_page(view: &View<'_>, text: &str, faults: Option<&DocumentFaults>) -> Html {
    let upload = view
        .form(FormId::Upload, "/console/document/upload")
        .attr("enctype", "multipart/form-data")
        .child(file_field())
        .child(text_field(text, faults.is_some()))
        .child(element("p").child(submit_button("Check and preview")));
    let mut note = "The file is compared with the revision that it was downloaded from.".to_owned();
    if view.has_draft() {
        note.push_str(
            " An upload replaces your draft; a download contains the changes of your draft.",
        );
    }
    let content = Html::new()
        .child(faults.map_or_else(Html::new, fault_html))
        .child(element("h2").text("Download"))
        .child(
            element("p").child(view.link("/console/document.json", "Download the document (JSON)")),
        )
        .child(element("h2").text("Upload"))
        .child(paragraph(&note))
        .child(upload);
    page(view, "Document", "/console/document", content)
}

fn file_field() -> Html {
    let input = element("input")
        .attr("type", "file")
        .attr("id", "f-file")
        .attr("name", "file");
    let label = element("label").attr("for", "f-file");
    element("div")
        .attr("class", "field")
        .child(label.text("File, JSON with comments"))
        .child(input)
        .into()
}

fn text_field(text: &str, invalid: bool) -> Html {
    let area = element("textarea")
        .attr("class", "file")
        .attr("id", "f-text")
        .attr("name", "text")
        .attr("spellcheck", "false")
        .attr_if("aria-invalid", invalid.then_some("true"))
        .text("\n")
        .text(text);
    let label = element("label").attr("for", "f-text");
    element("div")
        .attr("class", "field")
        .child(label.text("Or the text of the document, used when no file is chosen"))
        .child(area)
        .into()
}

fn fault_html(faults: &DocumentFaults) -> Html {
    match faults {
        DocumentFaults::Missing => {
            let missing = "Choose a file or paste the text of the document, then check it again.";
            alert("Nothing was uploaded", paragraph(missing))
        }
        DocumentFaults::Unreadable(error) => {
            let place = format!(
                "line {}, column {}: {}",
                error.line, error.column, error.message
            );
            alert(
                "The text cannot be read as a document. Correct it, then check it again",
                paragraph(&place),
            )
        }
        DocumentFaults::Invalid(faults) => document_faults(
            "The document has errors and cannot be published. Correct them, then check it again",
            faults,
        ),
    }
}
