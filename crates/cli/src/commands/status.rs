//! `status`: shows the latest revision and the state of a daemon.

use gumdrop::Options;
use http::Method;
use lw_conf::{StoredHead, read_entry, read_head};
use lw_doc::format_rfc3339;
use lw_plat::Kv;
use serde_json::{Value, json};

use crate::cli_error::CliError;
use crate::context::Context;
use crate::report::Report;
use crate::tables::value_table;

/// Shows the latest revision (the head) and the state of a daemon.
#[derive(Debug, Options)]
pub(crate) struct StatusOptions {
    #[options(help = "print this help")]
    help: bool,
}

pub(crate) async fn run(context: &Context) -> Result<Report, CliError> {
    let admin = context.admin()?;
    let head = match (&context.settings.kv_address, &admin) {
        (None, Some(_)) => Value::Null,
        _ => head_json(&context.kv()?).await?,
    };
    let daemon = match &admin {
        Some(admin) => admin.call(Method::GET, "/admin/status").await?,
        None => Value::Null,
    };
    let mut text = String::new();
    if !head.is_null() {
        text += &format!("head\n{}\n", value_table(&head));
    }
    if !daemon.is_null() {
        text += &format!("daemon\n{}\n", value_table(&daemon));
    }
    let json = json!({"head": head, "daemon": daemon});
    Ok(Report { text, json })
}

async fn head_json(kv: &Kv) -> Result<Value, CliError> {
    let StoredHead { head, .. } = read_head(kv).await?;
    let Some(head) = head else {
        return Ok(json!({"revision": 0}));
    };
    let entry = read_entry(kv, &head.entry_key).await?;
    Ok(json!({
        "revision": head.mark.revision,
        "digest": head.mark.digest,
        "operator": entry.operator,
        "published": format_rfc3339(entry.wall_ms),
        "base_revision": entry.base.revision,
        "snapshot_revision": head.snapshot.mark.revision,
    }))
}
