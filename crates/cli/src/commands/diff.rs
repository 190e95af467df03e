//! `diff`: shows the differences between documents.

use gumdrop::Options;
use lw_conf::{load_document, read_head};
use lw_doc::{Change, Document, changes_between, warnings};
use serde_json::{Value, json};
use similar::TextDiff;

use crate::cli_error::CliError;
use crate::context::{Context, read_document};
use crate::report::{Report, warnings_json};
use crate::tables::warnings_table;

/// Shows the differences between two documents, or between the latest revision and a document.
#[derive(Debug, Options)]
pub(crate) struct DiffOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, required, help = "path of the new document")]
    file: String,
    #[options(
        help = "path of the old document (default: the latest revision)",
        meta = "FILE"
    )]
    base: Option<String>,
}

pub(crate) async fn run(context: &Context, options: &DiffOptions) -> Result<Report, CliError> {
    let next = read_document(&options.file)?.document;
    let base = match &options.base {
        Some(file) => read_document(file)?.document,
        None => head_document(context).await?,
    };
    let changes = changes_between(&base, &next);
    let reverse = changes_between(&next, &base);
    let warnings = warnings(Some(&base), &next);
    let mut text: String = changes
        .iter()
        .map(|change| hunk(change, &reverse))
        .collect();
    if changes.is_empty() {
        text = "no differences\n".to_owned();
    }
    if !warnings.is_empty() {
        text = format!("{text}\n{}\n", warnings_table(&warnings));
    }
    let json = json!({"changes": changes, "warnings": warnings_json(&warnings)});
    Ok(Report { text, json })
}

async fn head_document(context: &Context) -> Result<Document, CliError> {
    let kv = context.kv()?;
    match read_head(&kv).await?.head {
        Some(head) => Ok(load_document(&kv, &head).await?),
        None => Ok(Document::default()),
    }
}

/// Formats the change of one entity as a unified diff of its JSON; `reverse` holds the old values.
fn hunk(change: &Change, reverse: &[Change]) -> String {
    let old = reverse.iter().find(|old| old.path == change.path);
    let old = pretty(old.and_then(|old| old.value.as_ref()));
    let new = pretty(change.value.as_ref());
    let diff = TextDiff::from_lines(&old, &new);
    let unified = diff.unified_diff().context_radius(2).to_string();
    format!("{}\n{unified}", change.path)
}

fn pretty(value: Option<&Value>) -> String {
    value.map_or_else(String::new, |value| format!("{value:#}\n"))
}
