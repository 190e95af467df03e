//! Handlers for the lists and forms of the sections.

use lw_doc::Change;

use crate::answers::workspace::Workspace;
use crate::forms::{FormFault, FormSubmission, SubmitOutcome, blank, fill, stop_now_blank, submit};
use crate::inputs::Inputs;
use crate::pages::{EntityView, ListQuery, draft_page, entity_page, list_page, remove_page};
use crate::section::Section;
use crate::web::{ConsoleRequest, ConsoleResponse};

/// Returns the list of a section.
pub(crate) fn list(
    workspace: &Workspace<'_>,
    request: &ConsoleRequest,
    section: Section,
) -> ConsoleResponse {
    let document = match workspace.documents() {
        Ok((_, document)) => document,
        Err(response) => return response,
    };
    let query = match request.body.has("q") {
        true => ListQuery::read(&request.body),
        false => ListQuery::read(&request.query),
    };
    workspace.html(
        200,
        &list_page(&workspace.view(), &document, section, &query),
    )
}

/// Returns the form for a new entity, prefilled from the entity that `copy_of` names, if any.
pub(crate) fn new(
    workspace: &Workspace<'_>,
    request: &ConsoleRequest,
    section: Section,
) -> ConsoleResponse {
    let copied = request.field("copy_of");
    let document = match workspace.documents() {
        Ok((_, document)) => document,
        Err(response) => return response,
    };
    let copy = (!copied.is_empty()).then(|| fill(section, &document, copied));
    let inputs = match copy {
        Some(Some(copy)) => copy,
        Some(None) => return entity_not_found(workspace, section, copied),
        None => blank(section, workspace.context.now),
    };
    show_form(workspace, section, "", &inputs)
}

/// Returns the form of an existing entity.
pub(crate) fn edit(
    workspace: &Workspace<'_>,
    request: &ConsoleRequest,
    section: Section,
) -> ConsoleResponse {
    let name = match section.has_names() {
        true => request.field("name"),
        false => "weights",
    };
    let document = match workspace.documents() {
        Ok((_, document)) => document,
        Err(response) => return response,
    };
    match fill(section, &document, name) {
        Some(inputs) => show_form(workspace, section, name, &inputs),
        None => entity_not_found(workspace, section, name),
    }
}

/// Returns the form that starts a planned stop now.
pub(crate) fn stop_now(workspace: &Workspace<'_>) -> ConsoleResponse {
    let inputs = stop_now_blank();
    let form = EntityView {
        section: Section::PlannedStops,
        stop_now: true,
        original: "",
        inputs: &inputs,
        faults: &[],
        caused: &[],
    };
    show_entity_page(workspace, 200, form)
}

/// Saves an entity to the draft, or returns the form again with its errors.
pub(crate) fn save(
    workspace: &Workspace<'_>,
    request: &ConsoleRequest,
    section: Section,
    stop_now: bool,
) -> ConsoleResponse {
    let Some(base) = &workspace.base else {
        return reopen_without_base(workspace, request, section, stop_now);
    };
    let addresses = (workspace.console.backend.gateway_addresses)();
    let outcome = submit(FormSubmission {
        section,
        stop_now,
        base: &base.document,
        draft: &workspace.draft,
        inputs: &request.body,
        gateway_addresses: &addresses,
        now: workspace.context.now,
    });
    match outcome {
        Ok(SubmitOutcome::Accepted { draft, .. }) => show_draft(workspace, draft),
        Ok(SubmitOutcome::Rejected { faults, caused }) => {
            let form = EntityView {
                section,
                stop_now,
                original: request.body.get("original"),
                inputs: &request.body,
                faults: &faults,
                caused: &caused,
            };
            show_entity_page(workspace, 422, form)
        }
        Err(error) => workspace.draft_unusable(&error.to_string()),
    }
}

/// Returns the form again, based on the revision in force, because its base is no longer stored.
fn reopen_without_base(
    workspace: &Workspace<'_>,
    request: &ConsoleRequest,
    section: Section,
    stop_now: bool,
) -> ConsoleResponse {
    if !workspace.draft.changes.is_empty() {
        return workspace.conflict();
    }
    let on_head = Workspace {
        draft: crate::draft::Draft::empty(&workspace.head),
        base: Some(workspace.head.clone()),
        head: workspace.head.clone(),
        ..*workspace
    };
    let message = "The revision that this form is based on is not available any more. Compare your entries with the revision in force, then save the form again.";
    let faults = [FormFault {
        field: None,
        message: message.to_owned(),
    }];
    let form = EntityView {
        section,
        stop_now,
        original: request.body.get("original"),
        inputs: &request.body,
        faults: &faults,
        caused: &[],
    };
    show_entity_page(&on_head, 409, form)
}

/// Returns the page that asks for confirmation before an entity is removed.
pub(crate) fn confirm_removal(
    workspace: &Workspace<'_>,
    request: &ConsoleRequest,
    section: Section,
) -> ConsoleResponse {
    let name = request.field("name");
    match workspace.documents() {
        Ok((_, document)) if section.value(&document, name).is_none() => {
            entity_not_found(workspace, section, name)
        }
        Ok(_) => workspace.html(200, &remove_page(&workspace.view(), section, name)),
        Err(response) => response,
    }
}

/// Adds the removal of an entity to the draft.
pub(crate) fn remove(
    workspace: &Workspace<'_>,
    request: &ConsoleRequest,
    section: Section,
) -> ConsoleResponse {
    let Some(base) = &workspace.base else {
        return workspace.conflict();
    };
    let change = Change {
        path: section.entity_path(request.body.get("name")),
        value: None,
    };
    match workspace.draft.with(&base.document, change) {
        Ok(draft) => show_draft(workspace, draft),
        Err(error) => workspace.draft_unusable(&error.to_string()),
    }
}

fn show_draft(workspace: &Workspace<'_>, draft: crate::draft::Draft) -> ConsoleResponse {
    let next = Workspace {
        draft,
        head: workspace.head.clone(),
        base: workspace.base.clone(),
        ..*workspace
    };
    let (base, document) = match next.documents() {
        Ok(documents) => documents,
        Err(response) => return response,
    };
    let faults = next.faults(&document);
    next.html(200, &draft_page(&next.view(), Some(base), &faults, None))
}

fn show_form(
    workspace: &Workspace<'_>,
    section: Section,
    original: &str,
    inputs: &Inputs,
) -> ConsoleResponse {
    let form = EntityView {
        section,
        stop_now: false,
        original,
        inputs,
        faults: &[],
        caused: &[],
    };
    show_entity_page(workspace, 200, form)
}

fn show_entity_page(
    workspace: &Workspace<'_>,
    status: u16,
    form: EntityView<'_>,
) -> ConsoleResponse {
    match workspace.documents() {
        Ok((_, document)) => {
            workspace.html(status, &entity_page(&workspace.view(), &document, form))
        }
        Err(response) => response,
    }
}

fn entity_not_found(workspace: &Workspace<'_>, section: Section, name: &str) -> ConsoleResponse {
    let message = format!(
        "There is no {} named `{name}`. Open the list and choose one from there.",
        section.entity()
    );
    workspace.message(404, "Not found", &message)
}
