//! `drain`: requests a graceful stop of a daemon.

use gumdrop::Options;
use http::Method;

use crate::cli_error::CliError;
use crate::context::Context;
use crate::report::Report;
use crate::tables::value_table;

/// Drains a daemon: it stops once its requests in flight have ended, or at its drain limit.
#[derive(Debug, Options)]
pub(crate) struct DrainOptions {
    #[options(help = "print this help")]
    help: bool,
}

pub(crate) async fn run(context: &Context) -> Result<Report, CliError> {
    let admin = context.required_admin()?;
    let json = admin.call(Method::POST, "/admin/drain").await?;
    let text = value_table(&json);
    Ok(Report { text, json })
}
