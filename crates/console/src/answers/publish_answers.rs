//! The draft, the preview and publishing.

use lw_doc::{Document, Fault, Warning, warnings};
use uuid::Uuid;

use crate::answers::work::Work;
use crate::backend::{PublishCommand, PublishOutcome, StoredDocument};
use crate::draft::{Draft, field_changes, rebase};
use crate::pages::{PreviewView, draft_page, preview_page};
use crate::web::{ConsoleRequest, ConsoleResponse};

/// Answers the draft.
pub(crate) fn draft(work: &Work<'_>) -> ConsoleResponse {
    match work.documents() {
        Ok((base, document)) => {
            let faults = work.faults(&document);
            work.html(200, &draft_page(&work.view(), Some(base), &faults, None))
        }
        Err(response) => response,
    }
}

/// Undoes the change of one entity.
pub(crate) fn undo(mut work: Work<'_>, request: &ConsoleRequest) -> ConsoleResponse {
    work.draft = work.draft.without(request.body.get("path"));
    if work.draft.changes.is_empty() {
        return discard(work);
    }
    draft(&work)
}

/// Discards the draft.
pub(crate) fn discard(mut work: Work<'_>) -> ConsoleResponse {
    work.draft = Draft::empty(&work.head);
    work.base = Some(work.head.clone());
    draft(&work)
}

/// Answers the preview, or the conflict when the draft is based on an older revision.
pub(crate) fn preview(work: &Work<'_>) -> ConsoleResponse {
    if work.moved() {
        return work.conflict();
    }
    let operation = uuid::Builder::from_random_bytes(work.moment.random).into_uuid();
    show(work, 200, &Attempt::new(operation))
}

/// An attempt to publish.
struct Attempt<'a> {
    operation: Uuid,
    confirmed: Vec<String>,
    problem: Option<&'a str>,
    refused: Vec<Fault>,
}

impl Attempt<'_> {
    fn new(operation: Uuid) -> Self {
        Self {
            operation,
            confirmed: Vec::new(),
            problem: None,
            refused: Vec::new(),
        }
    }
}

fn show(work: &Work<'_>, status: u16, attempt: &Attempt<'_>) -> ConsoleResponse {
    let (base, document) = match work.documents() {
        Ok(documents) => documents,
        Err(response) => return response,
    };
    let changes = field_changes(base, &work.draft.changes);
    let mut faults = work.faults(&document);
    let warnings = warnings_of(work, &document, &faults);
    faults.extend(attempt.refused.iter().cloned());
    let view = PreviewView {
        changes: &changes,
        faults: &faults,
        warnings: &warnings,
        confirmed: &attempt.confirmed,
        operation: attempt.operation,
        problem: attempt.problem,
    };
    let status = if faults.is_empty() { status } else { 422 };
    work.html(status, &preview_page(&work.view(), view))
}

/// Returns the warnings of a sound document; a faulty one cannot be published anyway.
fn warnings_of(work: &Work<'_>, document: &Document, faults: &[Fault]) -> Vec<Warning> {
    match &work.base {
        Some(base) if faults.is_empty() => warnings(Some(&base.document), document),
        _ => Vec::new(),
    }
}

/// Publishes the draft when it is sound and every warning is confirmed.
///
/// The configuration store decides about conflicts, because it recognises a repetition of the same operation.
pub(crate) async fn publish(work: Work<'_>, request: &ConsoleRequest) -> ConsoleResponse {
    let Ok(operation) = Uuid::parse_str(request.body.get("operation")) else {
        return preview(&work);
    };
    let mut attempt = Attempt::new(operation);
    attempt.confirmed = request.body.all("confirm").map(str::to_owned).collect();
    let document = match work.documents() {
        Ok((_, document)) => document,
        Err(response) => return response,
    };
    let faults = work.faults(&document);
    let warnings = warnings_of(&work, &document, &faults);
    let open = warnings
        .iter()
        .any(|w| !attempt.confirmed.contains(&w.to_string()));
    if !faults.is_empty() || work.draft.changes.is_empty() || open {
        attempt.problem = open.then_some("Confirm each dangerous change, then publish again.");
        return show(&work, 422, &attempt);
    }
    let order = PublishCommand {
        base_revision: work.draft.base_revision,
        base_digest: work.draft.base_digest,
        document,
        operator: work.session.operator.clone(),
        operation,
        now: work.moment.now,
    };
    let outcome = (work.console.backend.publish)(order).await;
    finish(work, attempt, outcome)
}

fn finish(
    mut work: Work<'_>,
    mut attempt: Attempt<'_>,
    outcome: PublishOutcome,
) -> ConsoleResponse {
    let operator = &work.session.operator;
    match outcome {
        PublishOutcome::Published { revision } => {
            log::info!("console: {operator:?} published revision {revision}");
            ConsoleResponse::redirect(&format!("/console?published={revision}"))
        }
        PublishOutcome::Conflict { head } => {
            log::info!(
                "console: {operator:?} was overtaken by revision {}",
                head.revision
            );
            work.head = head;
            work.conflict()
        }
        PublishOutcome::Refused { reason, faults } => {
            let problem = format!("{reason}. Nothing was published, and the draft is kept.");
            attempt.refused = faults;
            show_problem(&work, attempt, &problem)
        }
        PublishOutcome::Unknown { reason } => {
            let problem = format!(
                "The outcome is not known: {reason}. Publish again without a change to learn it; the same operation takes effect only once."
            );
            show_problem(&work, attempt, &problem)
        }
    }
}

fn show_problem(work: &Work<'_>, attempt: Attempt<'_>, problem: &str) -> ConsoleResponse {
    let attempt = Attempt {
        problem: Some(problem),
        operation: attempt.operation,
        confirmed: attempt.confirmed,
        refused: attempt.refused,
    };
    show(work, 503, &attempt)
}

/// Applies the draft to the revision in force and answers its preview.
pub(crate) fn rebase_draft(mut work: Work<'_>) -> ConsoleResponse {
    let base = work.base.as_ref().map(|base| &*base.document);
    match rebase(base, &work.head, &work.draft) {
        Ok(draft) => preview_on_head(&mut work, draft),
        Err(error) => work.unusable(&error.to_string()),
    }
}

fn preview_on_head(work: &mut Work<'_>, draft: Draft) -> ConsoleResponse {
    work.draft = draft;
    work.base = Some(work.head.clone());
    preview(work)
}

/// Answers the preview of a draft on a base of its own.
pub(crate) fn preview_draft(
    mut work: Work<'_>,
    base: StoredDocument,
    draft: Draft,
) -> ConsoleResponse {
    work.draft = draft;
    work.base = Some(base);
    preview(&work)
}
