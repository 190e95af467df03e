//! Download and upload of the document.

use lw_doc::{Digest, ParsedDocument, changes_between, parse_document, validate};

use crate::answers::publish_answers::preview_draft;
use crate::answers::work::Work;
use crate::backend::StoredDocument;
use crate::draft::Draft;
use crate::pages::{DocumentFaults, document_page};
use crate::web::{ConsoleRequest, ConsoleResponse};

/// The name of the downloaded file, which faults of an uploaded one also name.
const FILE_NAME: &str = "lacewingstile.json";
/// Starts the comment that names the revision of a downloaded document.
const BASE_COMMENT: &str = "// Lacewingstile configuration, base revision ";

/// Answers the page.
pub(crate) fn page(work: &Work<'_>) -> ConsoleResponse {
    work.html(200, &document_page(&work.view(), "", None))
}

/// Answers the document with the draft applied, as JSON that names its base in a comment.
pub(crate) fn download(work: &Work<'_>) -> ConsoleResponse {
    let document = match work.documents() {
        Ok((_, document)) => document,
        Err(response) => return response,
    };
    let Ok(json) = serde_json::to_string_pretty(&document) else {
        return work.message(500, "Not available", "The document has no JSON form.");
    };
    let (revision, digest) = (work.draft.base_revision, work.draft.base_digest);
    let text = format!("{BASE_COMMENT}{revision}, digest {digest}\n{json}\n");
    ConsoleResponse::file(FILE_NAME, text)
}

/// Reads an uploaded document and answers its preview, or its faults by line.
pub(crate) async fn upload(work: Work<'_>, request: &ConsoleRequest) -> ConsoleResponse {
    let file = request.body.get("file");
    let text = if file.trim().is_empty() {
        request.body.get("text")
    } else {
        file
    };
    let text = text.trim_start_matches('\u{feff}');
    let parsed = match read(&work, text) {
        Ok(parsed) => parsed,
        Err(faults) => {
            return work.html(422, &document_page(&work.view(), text, Some(&faults)));
        }
    };
    let base = match base_of(&work, text).await {
        Ok(base) => base,
        Err(response) => return response,
    };
    let draft = Draft {
        changes: changes_between(&base.document, &parsed.document),
        ..Draft::empty(&base)
    };
    preview_draft(work, base, draft)
}

fn read(work: &Work<'_>, text: &str) -> Result<ParsedDocument, DocumentFaults> {
    if text.trim().is_empty() {
        return Err(DocumentFaults::Missing);
    }
    let parsed = parse_document(FILE_NAME, text).map_err(DocumentFaults::Unreadable)?;
    let addresses = (work.console.backend.gateway_addresses)();
    let faults = validate(&parsed.document, &parsed.source, &addresses);
    match faults.is_empty() {
        true => Ok(parsed),
        false => Err(DocumentFaults::Invalid(faults)),
    }
}

/// Returns the revision that the file was downloaded from; a file without the comment is compared with the head.
async fn base_of(work: &Work<'_>, text: &str) -> Result<StoredDocument, ConsoleResponse> {
    let Some((revision, digest)) = base_mark(text) else {
        return Ok(work.head.clone());
    };
    match work.console.find(&work.head, revision, digest).await {
        Ok(Some(base)) => Ok(base),
        Ok(None) => {
            let message = format!(
                "Revision {revision}, which the first line of the file names as its base, is not available. Remove this line to compare the file with the revision in force."
            );
            Err(work.message(409, "Base not available", &message))
        }
        Err(error) => {
            let message = format!("The base of the file cannot be read: {error}. Try again.");
            Err(work.message(503, "Configuration not available", &message))
        }
    }
}

fn base_mark(text: &str) -> Option<(u64, Digest)> {
    let line = text.lines().next()?;
    let mark = line.strip_prefix(BASE_COMMENT)?;
    let (revision, digest) = mark.split_once(", digest ")?;
    Some((revision.parse().ok()?, Digest::from_hex(digest.trim())?))
}
