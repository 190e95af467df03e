//! The pages for the revisions and for the rollback to an earlier one.

use crate::auth::FormId;
use crate::backend::{AuditOutcome, AuditRow};
use crate::draft::FieldChange;
use crate::forms::show_wall_time;
use crate::html::{Html, element};
use crate::pages::audit_page::changed_parts;
use crate::pages::layout::page;
use crate::pages::preview_page::change_table;
use crate::pages::table::{paragraph, table, text};
use crate::pages::view::{View, hidden, path_with, submit_button};

/// Returns the list of published revisions, newest first.
#[must_use]
pub fn revisions_page(view: &View<'_>, rows: &[AuditRow], limit: usize) -> Html {
    let current = "/console/revisions";
    let published = rows.iter().filter_map(|row| match row.outcome {
        AuditOutcome::Published { revision } => Some((revision, row)),
        AuditOutcome::Refused { .. } | AuditOutcome::Gap => None,
    });
    let cells = published.map(|(revision, row)| {
        let path = path_with("/console/revision", "revision", &revision.to_string());
        let label = format!("Revision {revision}");
        vec![
            view.link(&path, &label).into(),
            text(&show_wall_time(row.at)),
            text(&row.operator),
            text(&changed_parts(row)),
        ]
    });
    let headings = ["Revision", "Time (UTC)", "Operator", "Changed parts"];
    let mut content = Html::new().child(table("Published revisions", &headings, cells));
    if rows.len() >= limit {
        let path = path_with(current, "limit", &(limit * 2).to_string());
        content = content.child(element("p").child(view.link(&path, "Show older revisions")));
    }
    page(view, "Revisions", current, content)
}

/// Returns the page of one revision; `changes` are those that a rollback to it would make.
#[must_use]
pub fn revision_page(view: &View<'_>, revision: u64, changes: &[FieldChange]) -> Html {
    let title = format!("Revision {revision}");
    let current = "/console/revisions";
    if changes.is_empty() {
        let same = format!(
            "Its document is the same as that of revision {}, which is in force.",
            view.head_revision
        );
        return page(view, &title, current, paragraph(&same).into());
    }
    let caption = format!(
        "What changes when you return from revision {} to revision {revision}",
        view.head_revision
    );
    let note = "When you publish, the document of this revision becomes a new revision. You see a preview first.";
    let form = view
        .form(FormId::Rebase, "/console/revision/return")
        .child(hidden("revision", &revision.to_string()))
        .child(element("p").child(submit_button("Return to this revision and preview")));
    let content = Html::new()
        .child(change_table(&caption, "In force", changes))
        .child(paragraph(note))
        .child(form);
    page(view, &title, current, content)
}
