//! `publish`: publishes a document.

use std::time::Duration;

use gumdrop::Options;
use lw_conf::{PublishError, PublishRequest, Published, publish};
use lw_doc::{Digest, validate};
use lw_plat::Kv;
use serde_json::json;
use uuid::Uuid;

use crate::cli_error::CliError;
use crate::context::{Context, read_document, wall_now};
use crate::report::Report;
use crate::tables::changes_table;

/// A lost reply is followed up this often, one second apart.
const FOLLOW_UPS: usize = 20;
const FOLLOW_UP_PAUSE: Duration = Duration::from_secs(1);

/// Publishes a document as a new revision.
#[derive(Debug, Options)]
pub(crate) struct PublishOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, required, help = "the document")]
    file: String,
    #[options(
        required,
        help = "revision that it was made from, 0 for the first",
        meta = "N"
    )]
    base: u64,
    #[options(
        no_short,
        help = "digest of the base, checked when given",
        meta = "HEX"
    )]
    base_digest: Option<String>,
    #[options(no_short, help = "publish despite warnings")]
    confirm: bool,
    #[options(
        no_short,
        help = "repeat an operation whose outcome is unknown",
        meta = "ID"
    )]
    operation: Option<String>,
}

pub(crate) async fn run(context: &Context, options: PublishOptions) -> Result<Report, CliError> {
    let kv = context.kv()?;
    let parsed = read_document(&options.file)?;
    let gateway_addresses = context.settings.gateway_addresses.clone();
    // Checked here too, because only the file knows lines and repeated names.
    let faults = validate(&parsed.document, &parsed.source, &gateway_addresses);
    if !faults.is_empty() {
        return Err(CliError::Invalid(faults));
    }
    let request = PublishRequest {
        base_revision: options.base,
        base_digest: options.base_digest.map(|hex| digest_of(&hex)).transpose()?,
        next: parsed.document,
        operator: context.operator()?,
        operation: operation_of(options.operation.as_deref())?,
        wall: wall_now(),
        gateway_addresses,
        confirmed: options.confirm,
        known: None,
    };
    publish_and_report(&kv, &request).await
}

fn digest_of(hex: &str) -> Result<Digest, CliError> {
    let wrong = || CliError::Usage("--base-digest: give 64 hex digits".to_owned());
    Digest::from_hex(hex).ok_or_else(wrong)
}

fn operation_of(text: Option<&str>) -> Result<Uuid, CliError> {
    let Some(text) = text else {
        return Ok(Uuid::now_v7());
    };
    let wrong = |error| CliError::Usage(format!("--operation: `{text}` is no operation: {error}"));
    Uuid::parse_str(text).map_err(wrong)
}

/// Publishes and follows up on a lost reply.
pub(crate) async fn publish_and_report(
    kv: &Kv,
    request: &PublishRequest,
) -> Result<Report, CliError> {
    for _ in 0..FOLLOW_UPS {
        match publish(kv, request).await {
            Ok(published) => return Ok(report(&published)),
            Err(PublishError::Unknown) => tokio::time::sleep(FOLLOW_UP_PAUSE).await,
            Err(error) => return Err(CliError::of_publish(error, request.base_revision)),
        }
    }
    let operation = request.operation;
    Err(CliError::Unavailable(format!(
        "the document may have been published; repeat with --operation {operation} to learn the outcome"
    )))
}

fn report(published: &Published) -> Report {
    let mark = published.entry.mark;
    let changes = published.entry.changes.clone().unwrap_or_default();
    Report {
        text: format!(
            "{}\npublished revision {}, digest {}",
            changes_table(&changes),
            mark.revision,
            mark.digest
        ),
        json: json!({
            "revision": mark.revision,
            "digest": mark.digest,
            "operation": published.entry.operation,
            "changes": changes,
        }),
    }
}
