//! `audit`: lists published revisions and refused attempts.

use gumdrop::Options;
use lw_base::WallMs;
use lw_conf::{AuditRecord, read_audit};
use lw_doc::format_rfc3339;
use serde_json::{Value, json};

use crate::cli_error::CliError;
use crate::context::Context;
use crate::report::Report;
use crate::tables::table;

/// Maximum number of changed entities that a table row names.
const MAX_SHOWN_CHANGES: usize = 4;

/// Lists published revisions and refused attempts, newest first.
#[derive(Debug, Options)]
pub(crate) struct AuditOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "maximum number of records to list", meta = "N", default = "20")]
    limit: usize,
}

pub(crate) async fn run(context: &Context, options: &AuditOptions) -> Result<Report, CliError> {
    let records = read_audit(&context.kv()?, options.limit).await?;
    let header = ["time", "outcome", "revision", "base", "operator", "changes"];
    let text = table(&header, records.iter().map(row));
    let json = records.iter().map(record_json).collect();
    Ok(Report { text, json })
}

fn row(record: &AuditRecord) -> Vec<String> {
    let cells = |wall: WallMs, outcome: &str, revision, base, operator: &str, text| {
        let time = format_rfc3339(wall);
        vec![
            time,
            outcome.to_owned(),
            revision,
            base,
            operator.to_owned(),
            text,
        ]
    };
    match record {
        AuditRecord::Published(entry) => {
            let (revision, base) = (entry.mark.revision, entry.base.revision);
            let revision = revision.to_string();
            let text = changes_text(entry.changes.as_deref());
            cells(
                entry.wall_ms,
                "published",
                revision,
                base.to_string(),
                &entry.operator,
                text,
            )
        }
        AuditRecord::Refused(refused) => {
            let base = refused.base_revision.to_string();
            let (dash, reason) = ("-".to_owned(), refused.reason.clone());
            cells(
                refused.wall_ms,
                "refused",
                dash,
                base,
                &refused.operator,
                reason,
            )
        }
        AuditRecord::Gap { key, wall_ms } => {
            let dash = || "-".to_owned();
            cells(
                *wall_ms,
                "gap",
                dash(),
                dash(),
                "-",
                format!("the record {key} is missing"),
            )
        }
    }
}

fn changes_text(changes: Option<&[lw_doc::Change]>) -> String {
    let Some(changes) = changes else {
        return "whole document".to_owned();
    };
    let shown = changes.iter().take(MAX_SHOWN_CHANGES);
    let mut paths: Vec<String> = shown.map(|change| change.path.clone()).collect();
    if changes.len() > MAX_SHOWN_CHANGES {
        paths.push(format!("and {} more", changes.len() - MAX_SHOWN_CHANGES));
    }
    paths.join(", ")
}

fn record_json(record: &AuditRecord) -> Value {
    match record {
        AuditRecord::Published(entry) => json!({
            "outcome": "published",
            "time": format_rfc3339(entry.wall_ms),
            "revision": entry.mark.revision,
            "digest": entry.mark.digest,
            "base_revision": entry.base.revision,
            "operator": entry.operator,
            "operation": entry.operation,
            "changes": entry.changes,
        }),
        AuditRecord::Refused(refused) => json!({
            "outcome": "refused",
            "time": format_rfc3339(refused.wall_ms),
            "base_revision": refused.base_revision,
            "operator": refused.operator,
            "operation": refused.operation,
            "reason": refused.reason,
        }),
        AuditRecord::Gap { key, wall_ms } => json!({
            "outcome": "gap",
            "time": format_rfc3339(*wall_ms),
            "key": key,
        }),
    }
}
