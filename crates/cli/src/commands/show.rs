//! `show`: prints the document of a revision.

use gumdrop::Options;
use lw_conf::{document_at, load_document, read_head};
use serde_json::json;

use crate::cli_error::CliError;
use crate::context::Context;
use crate::report::Report;

/// Prints the document of a revision.
#[derive(Debug, Options)]
pub(crate) struct ShowOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "revision to print (default: the latest)", meta = "N")]
    revision: Option<u64>,
}

pub(crate) async fn run(context: &Context, options: &ShowOptions) -> Result<Report, CliError> {
    let kv = context.kv()?;
    let unpublished =
        || CliError::Failed("no revision is published yet; publish a document first".to_owned());
    let head = read_head(&kv).await?.head.ok_or_else(unpublished)?;
    let document = match options.revision {
        Some(revision) => document_at(&kv, &head, revision).await?,
        None => load_document(&kv, &head).await?,
    };
    let json = json!(document);
    let revision = options.revision.unwrap_or(head.mark.revision);
    Ok(Report {
        text: format!("// revision {revision}\n{json:#}"),
        json,
    })
}
