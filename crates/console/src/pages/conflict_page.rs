//! The page shown when another operator published since the base revision of the draft.

use crate::auth::FormId;
use crate::draft::{Collision, FieldChange};
use crate::html::{Html, element};
use crate::pages::layout::page;
use crate::pages::preview_page::change_table;
use crate::pages::table::{paragraph, table, text};
use crate::pages::value_text::value_text;
use crate::pages::view::{View, submit_button};

/// The data of the conflict page.
#[derive(Clone, Copy)]
pub struct ConflictView<'a> {
    /// The changes between the base and the revision in force; `None` when the base is no longer stored.
    pub theirs: Option<&'a [FieldChange]>,
    /// The fields that both sides changed to different values.
    pub collisions: &'a [Collision],
}

/// Returns the conflict page.
#[must_use]
pub fn conflict_page(view: &View<'_>, conflict: ConflictView<'_>) -> Html {
    let (base, head) = (view.draft.base_revision, view.head_revision);
    let intro = format!(
        "Your draft is based on revision {base}, but revision {head} is in force now. Nothing was published, and your draft is kept."
    );
    let label = format!("Apply my draft to revision {head} and preview");
    let apply = view
        .form(FormId::Rebase, "/console/rebase")
        .child(element("p").child(submit_button(&label)));
    let theirs = match conflict.theirs {
        Some(changes) => {
            change_table("Changes since your base revision", "Before", changes).into()
        }
        None => Html::new().child(paragraph(
            "The revision that your draft is based on is not available any more, so the changes of others are not known. The preview compares your draft with the revision in force.",
        )),
    };
    let content = Html::new()
        .child(element("p").attr("role", "alert").text(&intro))
        .child(element("h2").text("What others changed"))
        .child(theirs)
        .child(element("h2").text("What conflicts with your draft"))
        .child(collision_html(conflict))
        .child(apply)
        .child(element("p").child(view.link("/console/draft", "Back to the draft")));
    page(
        view,
        "Another operator published first",
        "/console/preview",
        content,
    )
}

fn collision_html(conflict: ConflictView<'_>) -> Html {
    if conflict.theirs.is_none() {
        return paragraph(
            "This is not known, because the revision that your draft is based on is not available.",
        )
        .into();
    }
    if conflict.collisions.is_empty() {
        let nothing = "Nothing: no field was changed by both you and others to different values.";
        return paragraph(nothing).into();
    }
    let rows = conflict.collisions.iter().map(|collision| {
        vec![
            text(&collision.path),
            text(&collision.field),
            text(&value_text(collision.base.as_ref())),
            text(&value_text(collision.theirs.as_ref())),
            text(&value_text(collision.own.as_ref())),
        ]
    });
    let headings = ["Part", "Field", "Base", "In force", "Your draft"];
    let note = "When you apply your draft, the values of your draft replace those in force for these fields.";
    Html::new().child(paragraph(note)).child(table(
        "Fields that both you and others changed",
        &headings,
        rows,
    ))
}
