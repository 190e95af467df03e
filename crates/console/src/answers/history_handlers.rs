//! Handlers for the audit trail, the revisions and the rollback to an earlier revision.

use lw_doc::changes_between;

use crate::answers::publish_handlers::preview_draft;
use crate::answers::workspace::Workspace;
use crate::backend::{AuditRow, StoredDocument};
use crate::draft::{Draft, field_changes};
use crate::pages::{audit_page, revision_page, revisions_page};
use crate::web::{ConsoleRequest, ConsoleResponse};

const DEFAULT_RECORDS: usize = 50;
/// Each record costs one read of the key-value service, whose limit is about 2,000 reads per second for all clients.
const MAX_RECORDS: usize = 800;

/// Returns the audit trail.
pub(crate) async fn audit(workspace: &Workspace<'_>, request: &ConsoleRequest) -> ConsoleResponse {
    let limit = limit(request);
    match read_audit_rows(workspace, limit).await {
        Ok(rows) => workspace.html(200, &audit_page(&workspace.view(), &rows, limit)),
        Err(response) => response,
    }
}

/// Returns the list of published revisions.
pub(crate) async fn revisions(
    workspace: &Workspace<'_>,
    request: &ConsoleRequest,
) -> ConsoleResponse {
    let limit = limit(request);
    match read_audit_rows(workspace, limit).await {
        Ok(rows) => workspace.html(200, &revisions_page(&workspace.view(), &rows, limit)),
        Err(response) => response,
    }
}

async fn read_audit_rows(
    workspace: &Workspace<'_>,
    limit: usize,
) -> Result<Vec<AuditRow>, ConsoleResponse> {
    (workspace.console.backend.audit)(limit)
        .await
        .map_err(|error| {
            let message = format!("The audit trail cannot be read: {error}. Try again.");
            workspace.message(503, "Audit trail not available", &message)
        })
}

fn limit(request: &ConsoleRequest) -> usize {
    let wanted = request
        .query
        .get("limit")
        .parse()
        .unwrap_or(DEFAULT_RECORDS);
    wanted.clamp(DEFAULT_RECORDS, MAX_RECORDS)
}

/// Returns the page of one revision.
pub(crate) async fn revision(
    workspace: &Workspace<'_>,
    request: &ConsoleRequest,
) -> ConsoleResponse {
    let stored = match find_revision(workspace, request).await {
        Ok(stored) => stored,
        Err(response) => return response,
    };
    let changes = changes_between(&workspace.head.document, &stored.document);
    let changes = field_changes(&workspace.head.document, &changes);
    workspace.html(
        200,
        &revision_page(&workspace.view(), stored.revision, &changes),
    )
}

/// Creates a draft that rolls back to an earlier revision and returns its preview.
pub(crate) async fn roll_back(
    workspace: Workspace<'_>,
    request: &ConsoleRequest,
) -> ConsoleResponse {
    if !workspace.draft.changes.is_empty() {
        let message = "Your draft has changes. Publish or discard the draft first, then return to the revision.";
        return workspace.message(409, "The draft is not empty", message);
    }
    let stored = match find_revision(&workspace, request).await {
        Ok(stored) => stored,
        Err(response) => return response,
    };
    let base = workspace.head.clone();
    let draft = Draft {
        changes: changes_between(&base.document, &stored.document),
        ..Draft::empty(&base)
    };
    preview_draft(workspace, base, draft)
}

async fn find_revision(
    workspace: &Workspace<'_>,
    request: &ConsoleRequest,
) -> Result<StoredDocument, ConsoleResponse> {
    let not_available = |message: &str| workspace.message(404, "Revision not available", message);
    let Ok(revision) = request.field("revision").parse() else {
        return Err(not_available(
            "The address has no valid revision number. Open the revision from the list of revisions.",
        ));
    };
    match (workspace.console.backend.revision)(revision).await {
        Ok(Some(stored)) => Ok(stored),
        Ok(None) => Err(not_available(
            "No document is stored for this revision. Choose another revision from the list.",
        )),
        Err(error) => {
            let message = format!("The revision cannot be read: {error}. Try again.");
            Err(workspace.message(503, "Revision not available", &message))
        }
    }
}
