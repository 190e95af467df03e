//! `rollback`: publishes the document of an older revision again.

use gumdrop::Options;
use lw_conf::{PublishRequest, prepare_rollback};
use uuid::Uuid;

use crate::cli_error::CliError;
use crate::commands::publish::publish_and_report;
use crate::context::{Context, wall_now};
use crate::report::Report;

/// Publishes the document of an older revision again, as a new revision.
#[derive(Debug, Options)]
pub(crate) struct RollbackOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(
        required,
        help = "revision whose document is published again",
        meta = "N"
    )]
    to: u64,
    #[options(no_short, help = "publish even if there are warnings")]
    confirm: bool,
}

pub(crate) async fn run(context: &Context, options: &RollbackOptions) -> Result<Report, CliError> {
    let kv = context.kv()?;
    let rollback = prepare_rollback(&kv, options.to).await?;
    let request = PublishRequest {
        base_revision: rollback.head.mark.revision,
        base_digest: Some(rollback.head.mark.digest),
        next: rollback.document,
        operator: context.operator()?,
        operation: Uuid::now_v7(),
        wall: wall_now(),
        gateway_addresses: context.settings.gateway_addresses.clone(),
        confirmed: options.confirm,
        known: None,
    };
    publish_and_report(&kv, &request).await
}
