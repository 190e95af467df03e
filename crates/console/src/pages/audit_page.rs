//! The audit trail page.

use crate::backend::{AuditOutcome, AuditRow};
use crate::forms::show_wall_time;
use crate::html::{Html, element};
use crate::pages::layout::page;
use crate::pages::table::{paragraph, table, text};
use crate::pages::view::{View, path_with};

/// The maximum number of paths listed for one record.
const MAX_PATHS: usize = 8;

/// Returns the audit trail, newest first; when `limit` records are shown, a link leads to twice as many.
#[must_use]
pub fn audit_page(view: &View<'_>, rows: &[AuditRow], limit: usize) -> Html {
    let current = "/console/audit";
    if rows.is_empty() {
        let content = paragraph("There are no audit records yet.").into();
        return page(view, "Audit trail", current, content);
    }
    let shown = rows.iter().map(|row| cells(view, row));
    let headings = ["Time (UTC)", "Operator", "Base", "Outcome", "Changed parts"];
    let mut content = Html::new().child(table("Records, newest first", &headings, shown));
    if rows.len() >= limit {
        let path = path_with(current, "limit", &(limit * 2).to_string());
        content = content.child(element("p").child(view.link(&path, "Show older records")));
    }
    page(view, "Audit trail", current, content)
}

fn cells(view: &View<'_>, row: &AuditRow) -> Vec<Html> {
    let outcome = match &row.outcome {
        AuditOutcome::Published { revision } => {
            let path = path_with("/console/revision", "revision", &revision.to_string());
            view.link(&path, &format!("published as revision {revision}"))
                .into()
        }
        AuditOutcome::Refused { reason } => text(&format!("refused: {reason}")),
        AuditOutcome::Gap => text("older records were lost by the key-value service"),
    };
    vec![
        text(&show_wall_time(row.at)),
        text(&row.operator),
        text(&row.base_revision.to_string()),
        outcome,
        text(&changed_parts(row)),
    ]
}

pub(crate) fn changed_parts(row: &AuditRow) -> String {
    let Some(paths) = &row.changed_paths else {
        return "not listed".to_owned();
    };
    let mut text = paths
        .iter()
        .take(MAX_PATHS)
        .cloned()
        .collect::<Vec<_>>()
        .join(", ");
    if paths.len() > MAX_PATHS {
        text.push_str(&format!(" and {} more", paths.len() - MAX_PATHS));
    }
    text
}
