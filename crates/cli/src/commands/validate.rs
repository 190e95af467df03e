//! `validate`: checks a configuration document.

use gumdrop::Options;
use lw_doc::{validate, warnings};
use serde_json::json;

use crate::cli_error::CliError;
use crate::context::{Context, read_document};
use crate::report::{Report, warnings_json};
use crate::tables::warnings_table;

/// Checks a configuration document and lists all faults.
#[derive(Debug, Options)]
pub(crate) struct ValidateOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, required, help = "path of the document")]
    file: String,
}

pub(crate) fn run(context: &Context, options: &ValidateOptions) -> Result<Report, CliError> {
    let parsed = read_document(&options.file)?;
    let gateway = &context.settings.gateway_addresses;
    let faults = validate(&parsed.document, &parsed.source, gateway);
    if !faults.is_empty() {
        return Err(CliError::Invalid(faults));
    }
    let warnings = warnings(None, &parsed.document);
    let mut text = format!("{}: no faults", options.file);
    if !warnings.is_empty() {
        text = format!(
            "{}\n{text}, {} warnings",
            warnings_table(&warnings),
            warnings.len()
        );
    }
    let json = json!({
        "faults": [],
        "warnings": warnings_json(&warnings),
        "digest": parsed.document.digest(),
    });
    Ok(Report { text, json })
}
