//! The audit trail, revisions and the return to an earlier one.

use lw_doc::changes_between;

use crate::answers::publish_answers::preview_draft;
use crate::answers::work::Work;
use crate::backend::{AuditRow, StoredDocument};
use crate::draft::{Draft, field_changes};
use crate::pages::{audit_page, revision_page, revisions_page};
use crate::web::{ConsoleRequest, ConsoleResponse};

const FIRST_RECORDS: usize = 50;
/// Each record is one read of the key-value service, which allows about 2,000 a second for everyone.
const MOST_RECORDS: usize = 800;

/// Answers the audit trail.
pub(crate) async fn audit(work: &Work<'_>, request: &ConsoleRequest) -> ConsoleResponse {
    let limit = limit(request);
    match read(work, limit).await {
        Ok(rows) => work.html(200, &audit_page(&work.view(), &rows, limit)),
        Err(response) => response,
    }
}

/// Answers the list of published revisions.
pub(crate) async fn revisions(work: &Work<'_>, request: &ConsoleRequest) -> ConsoleResponse {
    let limit = limit(request);
    match read(work, limit).await {
        Ok(rows) => work.html(200, &revisions_page(&work.view(), &rows, limit)),
        Err(response) => response,
    }
}

async fn read(work: &Work<'_>, limit: usize) -> Result<Vec<AuditRow>, ConsoleResponse> {
    (work.console.backend.audit)(limit).await.map_err(|error| {
        let message = format!("The audit trail cannot be read: {error}. Try again.");
        work.message(503, "Audit trail not available", &message)
    })
}

fn limit(request: &ConsoleRequest) -> usize {
    let wanted = request.query.get("limit").parse().unwrap_or(FIRST_RECORDS);
    wanted.clamp(FIRST_RECORDS, MOST_RECORDS)
}

/// Answers the page of one revision.
pub(crate) async fn revision(work: &Work<'_>, request: &ConsoleRequest) -> ConsoleResponse {
    let stored = match find(work, request).await {
        Ok(stored) => stored,
        Err(response) => return response,
    };
    let changes = changes_between(&work.head.document, &stored.document);
    let changes = field_changes(&work.head.document, &changes);
    work.html(200, &revision_page(&work.view(), stored.revision, &changes))
}

/// Makes a draft that returns to a revision and answers its preview.
pub(crate) async fn return_to(work: Work<'_>, request: &ConsoleRequest) -> ConsoleResponse {
    if !work.draft.changes.is_empty() {
        let message =
            "Your draft has changes. Publish or discard it first, then return to the revision.";
        return work.message(409, "The draft is not empty", message);
    }
    let stored = match find(&work, request).await {
        Ok(stored) => stored,
        Err(response) => return response,
    };
    let base = work.head.clone();
    let draft = Draft {
        changes: changes_between(&base.document, &stored.document),
        ..Draft::empty(&base)
    };
    preview_draft(work, base, draft)
}

async fn find(
    work: &Work<'_>,
    request: &ConsoleRequest,
) -> Result<StoredDocument, ConsoleResponse> {
    let missing = |message: &str| work.message(404, "Revision not available", message);
    let Ok(revision) = request.field("revision").parse() else {
        return Err(missing("The number of the revision is missing or wrong."));
    };
    match (work.console.backend.revision)(revision).await {
        Ok(Some(stored)) => Ok(stored),
        Ok(None) => Err(missing("The document of this revision is not kept.")),
        Err(error) => {
            let message = format!("The revision cannot be read: {error}. Try again.");
            Err(work.message(503, "Revision not available", &message))
        }
    }
}
