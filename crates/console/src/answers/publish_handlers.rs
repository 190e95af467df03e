//! Handlers for the draft, the preview and publishing.

use lw_doc::{Document, Fault, Warning, warnings};
use uuid::Uuid;

use crate::answers::workspace::Workspace;
use crate::backend::{PublishCommand, PublishOutcome, StoredDocument};
use crate::draft::{Draft, field_changes, rebase};
use crate::pages::{PreviewView, draft_page, preview_page};
use crate::web::{ConsoleRequest, ConsoleResponse};

/// Returns the draft page.
pub(crate) fn draft(workspace: &Workspace<'_>) -> ConsoleResponse {
    match workspace.documents() {
        Ok((base, document)) => {
            let faults = workspace.faults(&document);
            workspace.html(
                200,
                &draft_page(&workspace.view(), Some(base), &faults, None),
            )
        }
        Err(response) => response,
    }
}

/// Undoes the change of one entity.
pub(crate) fn undo(mut workspace: Workspace<'_>, request: &ConsoleRequest) -> ConsoleResponse {
    workspace.draft = workspace.draft.without(request.body.get("path"));
    if workspace.draft.changes.is_empty() {
        return discard(workspace);
    }
    draft(&workspace)
}

/// Discards the draft.
pub(crate) fn discard(mut workspace: Workspace<'_>) -> ConsoleResponse {
    workspace.draft = Draft::empty(&workspace.head);
    workspace.base = Some(workspace.head.clone());
    draft(&workspace)
}

/// Returns the preview, or the conflict page when the draft is based on an older revision.
pub(crate) fn preview(workspace: &Workspace<'_>) -> ConsoleResponse {
    if workspace.base_is_outdated() {
        return workspace.conflict();
    }
    let operation = uuid::Builder::from_random_bytes(workspace.context.random).into_uuid();
    show_preview(workspace, 200, &PublishAttempt::new(operation))
}

/// What the preview page shows about an attempt to publish.
struct PublishAttempt<'a> {
    operation: Uuid,
    confirmed: Vec<String>,
    problem: Option<&'a str>,
    store_faults: Vec<Fault>,
}

impl PublishAttempt<'_> {
    fn new(operation: Uuid) -> Self {
        Self {
            operation,
            confirmed: Vec::new(),
            problem: None,
            store_faults: Vec::new(),
        }
    }
}

fn show_preview(
    workspace: &Workspace<'_>,
    status: u16,
    attempt: &PublishAttempt<'_>,
) -> ConsoleResponse {
    let (base, document) = match workspace.documents() {
        Ok(documents) => documents,
        Err(response) => return response,
    };
    let changes = field_changes(base, &workspace.draft.changes);
    let mut faults = workspace.faults(&document);
    let warnings = warnings_of(workspace, &document, &faults);
    faults.extend(attempt.store_faults.iter().cloned());
    let view = PreviewView {
        changes: &changes,
        faults: &faults,
        warnings: &warnings,
        confirmed: &attempt.confirmed,
        operation: attempt.operation,
        problem: attempt.problem,
    };
    let status = if faults.is_empty() { status } else { 422 };
    workspace.html(status, &preview_page(&workspace.view(), view))
}

/// Returns the warnings of a valid document, and none for an invalid one, which cannot be published anyway.
fn warnings_of(workspace: &Workspace<'_>, document: &Document, faults: &[Fault]) -> Vec<Warning> {
    match &workspace.base {
        Some(base) if faults.is_empty() => warnings(Some(&base.document), document),
        _ => Vec::new(),
    }
}

/// Publishes the draft when it is valid and every warning is confirmed.
///
/// Conflicts are left to the configuration store, because only it recognizes a repeated operation.
pub(crate) async fn publish(workspace: Workspace<'_>, request: &ConsoleRequest) -> ConsoleResponse {
    let Ok(operation) = Uuid::parse_str(request.body.get("operation")) else {
        return preview(&workspace);
    };
    let mut attempt = PublishAttempt::new(operation);
    attempt.confirmed = request.body.all("confirm").map(str::to_owned).collect();
    let document = match workspace.documents() {
        Ok((_, document)) => document,
        Err(response) => return response,
    };
    let faults = workspace.faults(&document);
    let warnings = warnings_of(&workspace, &document, &faults);
    let unconfirmed = warnings
        .iter()
        .any(|w| !attempt.confirmed.contains(&w.to_string()));
    if !faults.is_empty() || workspace.draft.changes.is_empty() || unconfirmed {
        attempt.problem =
            unconfirmed.then_some("Confirm each dangerous change, then publish again.");
        return show_preview(&workspace, 422, &attempt);
    }
    let command = PublishCommand {
        base_revision: workspace.draft.base_revision,
        base_digest: workspace.draft.base_digest,
        document,
        operator: workspace.session.operator.clone(),
        operation,
        now: workspace.context.now,
    };
    let outcome = (workspace.console.backend.publish)(command).await;
    respond(workspace, attempt, outcome)
}

fn respond(
    mut workspace: Workspace<'_>,
    mut attempt: PublishAttempt<'_>,
    outcome: PublishOutcome,
) -> ConsoleResponse {
    let operator = &workspace.session.operator;
    match outcome {
        PublishOutcome::Published { revision } => {
            log::info!("console: {operator:?} published revision {revision}");
            ConsoleResponse::redirect(&format!("/console?published={revision}"))
        }
        PublishOutcome::Conflict { head } => {
            log::info!(
                "console: {operator:?} could not publish; the draft conflicts with revision {}",
                head.revision
            );
            workspace.head = head;
            workspace.conflict()
        }
        PublishOutcome::Refused { reason, faults } => {
            let problem = format!(
                "Nothing was published, and your draft is kept. Reason: {reason}. Correct any errors listed below, or try again."
            );
            attempt.store_faults = faults;
            show_problem(&workspace, attempt, &problem)
        }
        PublishOutcome::Unknown { reason } => {
            let problem = format!(
                "The outcome is not known: {reason}. Publish again without changing anything to find out; the changes take effect only once."
            );
            show_problem(&workspace, attempt, &problem)
        }
    }
}

fn show_problem(
    workspace: &Workspace<'_>,
    attempt: PublishAttempt<'_>,
    problem: &str,
) -> ConsoleResponse {
    let attempt = PublishAttempt {
        problem: Some(problem),
        operation: attempt.operation,
        confirmed: attempt.confirmed,
        store_faults: attempt.store_faults,
    };
    show_preview(workspace, 503, &attempt)
}

/// Rebases the draft onto the revision in force and returns its preview.
pub(crate) fn rebase_on_head(mut workspace: Workspace<'_>) -> ConsoleResponse {
    let base = workspace.base.as_ref().map(|base| &*base.document);
    match rebase(base, &workspace.head, &workspace.draft) {
        Ok(draft) => preview_on_head(&mut workspace, draft),
        Err(error) => workspace.draft_unusable(&error.to_string()),
    }
}

fn preview_on_head(workspace: &mut Workspace<'_>, draft: Draft) -> ConsoleResponse {
    workspace.draft = draft;
    workspace.base = Some(workspace.head.clone());
    preview(workspace)
}

/// Replaces the current draft and its base, and returns the preview.
pub(crate) fn preview_draft(
    mut workspace: Workspace<'_>,
    base: StoredDocument,
    draft: Draft,
) -> ConsoleResponse {
    workspace.draft = draft;
    workspace.base = Some(base);
    preview(&workspace)
}
