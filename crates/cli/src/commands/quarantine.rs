//! `quarantine`: lists the prompt parts and requests that hosts on the platform keep away from targets, and lifts a
//! quarantine.

use gumdrop::Options;
use lw_platform::{ListedPart, Store, StoreError, lift_quarantine, list_quarantine};
use lw_quarantine::{PartKey, WHOLE_REQUEST};
use serde_json::json;

use crate::cli_error::CliError;
use crate::context::Context;
use crate::report::Report;
use crate::tables::table;

/// Lists the prompt parts and requests in quarantine, or lifts the quarantine of one.
#[derive(Debug, Options)]
pub(crate) struct QuarantineOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(
        no_short,
        help = "lift the quarantine of this part or request, as listed, or as in the fields `part` and `request` of the logs",
        meta = "KEY"
    )]
    lift: Option<String>,
}

pub(crate) async fn run(
    context: &Context,
    options: &QuarantineOptions,
) -> Result<Report, CliError> {
    let store = Store::new(context.kv_address()?);
    let Some(lift) = &options.lift else {
        return list_quarantine(&store)
            .await
            .map(|parts| report(&parts))
            .map_err(|error| to_cli_error(&error));
    };
    let part: PartKey = lift.parse().map_err(|error| {
        CliError::Usage(format!(
            "--lift: `{lift}` is not a part or request: {error}; `lacewingstile quarantine` lists them"
        ))
    })?;
    lift_quarantine(&store, part)
        .await
        .map_err(|error| to_cli_error(&error))?;
    Ok(Report {
        text: format!(
            "The quarantine of {part} is lifted. Hosts put it back if it crashes further targets.\n"
        ),
        json: json!({ "lifted": part.to_string() }),
    })
}

fn report(parts: &[ListedPart]) -> Report {
    let rows = parts.iter().map(|listed| {
        let state = match listed.is_lifted {
            true => "lifted",
            false => "in quarantine",
        };
        let kind = match listed.position {
            WHOLE_REQUEST => "request".to_owned(),
            position => format!("part {position}"),
        };
        vec![listed.part.to_string(), kind, state.to_owned()]
    });
    let json = parts.iter().map(|listed| {
        json!({
            "part": listed.part.to_string(),
            "position": listed.position,
            "is_request": listed.position == WHOLE_REQUEST,
            "is_lifted": listed.is_lifted,
        })
    });
    Report {
        text: table(&["key", "kind", "state"], rows),
        json: json!({ "parts": json.collect::<Vec<_>>() }),
    }
}

fn to_cli_error(error: &StoreError) -> CliError {
    match error {
        StoreError::NoAnswer(_) | StoreError::Incomplete(_) | StoreError::Refused(_) => {
            CliError::Unavailable(format!(
                "the platform's store: {error}; check its address and try again"
            ))
        }
        StoreError::HistoryGone
        | StoreError::Restored
        | StoreError::NotFound
        | StoreError::Conflict
        | StoreError::Unreadable(_) => CliError::Failed(format!("the platform's store: {error}")),
    }
}
