//! Download and upload of the document.

use lw_doc::{Digest, ParsedDocument, changes_between, parse_document, validate};

use crate::answers::publish_handlers::preview_draft;
use crate::answers::workspace::Workspace;
use crate::backend::StoredDocument;
use crate::draft::Draft;
use crate::pages::{DocumentFaults, document_page};
use crate::web::{ConsoleRequest, ConsoleResponse};

/// The name of the downloaded file, also used in parse errors of an uploaded file.
const FILE_NAME: &str = "lacewingstile.json";
/// The start of the first-line comment that records the base revision of a downloaded document.
const BASE_COMMENT: &str = "// Lacewingstile configuration, base revision ";

/// Returns the page for download and upload.
pub(crate) fn page(workspace: &Workspace<'_>) -> ConsoleResponse {
    workspace.html(200, &document_page(&workspace.view(), "", None))
}

/// Returns the document with the draft applied as JSON; a comment in the first line records the base revision.
pub(crate) fn download(workspace: &Workspace<'_>) -> ConsoleResponse {
    let document = match workspace.documents() {
        Ok((_, document)) => document,
        Err(response) => return response,
    };
    let Ok(json) = serde_json::to_string_pretty(&document) else {
        return workspace.message(500, "Not available", "The document cannot be written as JSON. Please report this error to the engineers of the gateway.");
    };
    let (revision, digest) = (workspace.draft.base_revision, workspace.draft.base_digest);
    let text = format!("{BASE_COMMENT}{revision}, digest {digest}\n{json}\n");
    ConsoleResponse::file(FILE_NAME, text)
}

/// Parses and validates an uploaded document and returns its preview, or its errors with line numbers.
pub(crate) async fn upload(workspace: Workspace<'_>, request: &ConsoleRequest) -> ConsoleResponse {
    let file = request.body.get("file");
    let text = if file.trim().is_empty() {
        request.body.get("text")
    } else {
        file
    };
    let text = text.trim_start_matches('\u{feff}');
    let parsed = match parse_and_validate(&workspace, text) {
        Ok(parsed) => parsed,
        Err(faults) => {
            return workspace.html(422, &document_page(&workspace.view(), text, Some(&faults)));
        }
    };
    let base = match base_revision(&workspace, text).await {
        Ok(base) => base,
        Err(response) => return response,
    };
    let draft = Draft {
        changes: changes_between(&base.document, &parsed.document),
        ..Draft::empty(&base)
    };
    preview_draft(workspace, base, draft)
}

fn parse_and_validate(
    workspace: &Workspace<'_>,
    text: &str,
) -> Result<ParsedDocument, DocumentFaults> {
    if text.trim().is_empty() {
        return Err(DocumentFaults::Missing);
    }
    let parsed = parse_document(FILE_NAME, text).map_err(DocumentFaults::Unreadable)?;
    let addresses = (workspace.console.backend.gateway_addresses)();
    let faults = validate(&parsed.document, &parsed.source, &addresses);
    match faults.is_empty() {
        true => Ok(parsed),
        false => Err(DocumentFaults::Invalid(faults)),
    }
}

/// Returns the revision that the file was downloaded from, or the head when the file has no base comment.
async fn base_revision(
    workspace: &Workspace<'_>,
    text: &str,
) -> Result<StoredDocument, ConsoleResponse> {
    let Some((revision, digest)) = parse_base_comment(text) else {
        return Ok(workspace.head.clone());
    };
    match workspace
        .console
        .find_stored(&workspace.head, revision, digest)
        .await
    {
        Ok(Some(base)) => Ok(base),
        Ok(None) => {
            let message = format!(
                "Revision {revision}, which the first line of the file names as its base, is not available. Remove this line to compare the file with the revision in force."
            );
            Err(workspace.message(409, "Base revision not available", &message))
        }
        Err(error) => {
            let message = format!(
                "The revision that the file is based on cannot be read: {error}. Try again."
            );
            Err(workspace.message(503, "Configuration not available", &message))
        }
    }
}

fn parse_base_comment(text: &str) -> Option<(u64, Digest)> {
    let line = text.lines().next()?;
    let rest = line.strip_prefix(BASE_COMMENT)?;
    let (revision, digest) = rest.split_once(", digest ")?;
    Some((revision.parse().ok()?, Digest::from_hex(digest.trim())?))
}
