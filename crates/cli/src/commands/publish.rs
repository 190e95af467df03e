//! `publish`: publishes a document as a new revision.

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

/// Maximum number of attempts while the outcome is unknown because replies are lost.
const MAX_ATTEMPTS: usize = 20;
const RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// Publishes a configuration document as a new revision.
#[derive(Debug, Options)]
pub(crate) struct PublishOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, required, help = "path of the document")]
    file: String,
    #[options(
        required,
        help = "revision that the document is based on; 0 for the first publish",
        meta = "N"
    )]
    base: u64,
    #[options(
        no_short,
        help = "digest that the base revision must have",
        meta = "HEX"
    )]
    base_digest: Option<String>,
    #[options(no_short, help = "publish even if there are warnings")]
    confirm: bool,
    #[options(
        no_short,
        help = "id of an earlier publish whose outcome is unknown, to repeat it safely",
        meta = "ID"
    )]
    operation: Option<String>,
}

pub(crate) async fn run(context: &Context, options: PublishOptions) -> Result<Report, CliError> {
    let kv = context.kv()?;
    let parsed = read_document(&options.file)?;
    let gateway_addresses = context.settings.gateway_addresses.clone();
    // `publish` validates the document again, but only the parsed file can report line numbers and repeated names.
    let faults = validate(&parsed.document, &parsed.source, &gateway_addresses);
    if !faults.is_empty() {
        return Err(CliError::Invalid(faults));
    }
    let request = PublishRequest {
        base_revision: options.base,
        base_digest: options
            .base_digest
            .map(|hex| parse_digest(&hex))
            .transpose()?,
        next: parsed.document,
        operator: context.operator()?,
        operation: parse_operation(options.operation.as_deref())?,
        wall: wall_now(),
        gateway_addresses,
        confirmed: options.confirm,
        known: None,
    };
    publish_and_report(&kv, &request).await
}

fn parse_digest(hex: &str) -> Result<Digest, CliError> {
    let invalid = || {
        CliError::Usage(format!(
            "--base-digest: `{hex}` is not a digest; give 64 hex digits"
        ))
    };
    Digest::from_hex(hex).ok_or_else(invalid)
}

fn parse_operation(text: Option<&str>) -> Result<Uuid, CliError> {
    let Some(text) = text else {
        return Ok(Uuid::now_v7());
    };
    let invalid = |error| {
        CliError::Usage(format!(
            "--operation: `{text}` is not an operation id: {error}; give the id of the earlier publish"
        ))
    };
    Uuid::parse_str(text).map_err(invalid)
}

/// Publishes a document; retries the same operation while its outcome is unknown.
pub(crate) async fn publish_and_report(
    kv: &Kv,
    request: &PublishRequest,
) -> Result<Report, CliError> {
    for _ in 0..MAX_ATTEMPTS {
        match publish(kv, request).await {
            Ok(published) => return Ok(report(&published)),
            Err(PublishError::Unknown) => tokio::time::sleep(RETRY_INTERVAL).await,
            Err(error) => return Err(CliError::from_publish(error, request.base_revision)),
        }
    }
    let operation = request.operation;
    Err(CliError::Unavailable(format!(
        "the key-value service did not confirm the change, so the document may or may not have been published; repeat with --operation {operation} to learn the outcome"
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
