//! Output of subcommands, as text or JSON.

use serde_json::{Value, json};

use crate::cli_error::CliError;
use crate::tables::{changes_table, faults_table, warnings_table};

/// Result of a subcommand, as text and as JSON.
#[derive(Debug)]
pub(crate) struct Report {
    pub(crate) text: String,
    pub(crate) json: Value,
}

impl Report {
    /// Renders the result for standard output.
    pub(crate) fn render(&self, as_json: bool) -> String {
        let text = match as_json {
            true => format!("{:#}", self.json),
            false => self.text.clone(),
        };
        if text.is_empty() || text.ends_with('\n') {
            return text;
        }
        text + "\n"
    }
}

/// Formats an error as JSON.
pub(crate) fn error_json(error: &CliError) -> Value {
    let mut body = json!({"message": error.to_string(), "code": error.code()});
    match error {
        CliError::Invalid(faults) => body["faults"] = faults_json(faults),
        CliError::Unconfirmed(warnings) => body["warnings"] = warnings_json(warnings),
        CliError::Conflict {
            head_revision,
            changes,
            ..
        } => {
            body["head_revision"] = json!(head_revision);
            body["changes"] = json!(changes);
        }
        CliError::Parse(error) => {
            body["file"] = json!(error.file);
            body["line"] = json!(error.line);
            body["column"] = json!(error.column);
        }
        CliError::Usage(_) | CliError::Unavailable(_) | CliError::Failed(_) => {}
    }
    json!({"error": body})
}

/// Formats an error as text, with the table of its details.
pub(crate) fn error_text(error: &CliError) -> String {
    let details = match error {
        CliError::Invalid(faults) => faults_table(faults),
        CliError::Unconfirmed(warnings) => warnings_table(warnings),
        CliError::Conflict {
            changes: Some(changes),
            ..
        } => changes_table(changes),
        _ => return format!("error: {error}\n"),
    };
    format!("{details}\nerror: {error}\n")
}

pub(crate) fn faults_json(faults: &[lw_doc::Fault]) -> Value {
    let fault = |fault: &lw_doc::Fault| {
        json!({
            "path": fault.path,
            "line": fault.line,
            "fault": fault.kind.to_string(),
            "fix": fault.kind.fix(),
        })
    };
    faults.iter().map(fault).collect()
}

pub(crate) fn warnings_json(warnings: &[lw_doc::Warning]) -> Value {
    let warning = |warning: &lw_doc::Warning| json!({"path": warning.path, "warning": warning.kind.to_string()});
    warnings.iter().map(warning).collect()
}
