//! Lists and forms of the sections.

use lw_doc::Change;

use crate::answers::work::Work;
use crate::forms::{FormFault, FormSubmission, SubmitOutcome, blank, fill, stop_now_blank, submit};
use crate::inputs::Inputs;
use crate::pages::{EntityView, ListQuery, draft_page, entity_page, list_page, remove_page};
use crate::section::Section;
use crate::web::{ConsoleRequest, ConsoleResponse};

/// Answers the list of a section.
pub(crate) fn list(work: &Work<'_>, request: &ConsoleRequest, section: Section) -> ConsoleResponse {
    let document = match work.documents() {
        Ok((_, document)) => document,
        Err(response) => return response,
    };
    let query = match request.body.has("q") {
        true => ListQuery::read(&request.body),
        false => ListQuery::read(&request.query),
    };
    work.html(200, &list_page(&work.view(), &document, section, &query))
}

/// Answers the form of a new entity, filled like `copy_of` when that is given.
pub(crate) fn new(work: &Work<'_>, request: &ConsoleRequest, section: Section) -> ConsoleResponse {
    let copied = request.field("copy_of");
    let document = match work.documents() {
        Ok((_, document)) => document,
        Err(response) => return response,
    };
    let copy = (!copied.is_empty()).then(|| fill(section, &document, copied));
    let inputs = match copy {
        Some(Some(copy)) => copy,
        Some(None) => return missing(work, section, copied),
        None => blank(section, work.moment.now),
    };
    form(work, section, "", &inputs)
}

/// Answers the form of an entity.
pub(crate) fn edit(work: &Work<'_>, request: &ConsoleRequest, section: Section) -> ConsoleResponse {
    let name = match section.has_names() {
        true => request.field("name"),
        false => "weights",
    };
    let document = match work.documents() {
        Ok((_, document)) => document,
        Err(response) => return response,
    };
    match fill(section, &document, name) {
        Some(inputs) => form(work, section, name, &inputs),
        None => missing(work, section, name),
    }
}

/// Answers the form that starts a planned stop now.
pub(crate) fn stop_now(work: &Work<'_>) -> ConsoleResponse {
    let inputs = stop_now_blank();
    let form = EntityView {
        section: Section::PlannedStops,
        stop_now: true,
        original: "",
        inputs: &inputs,
        faults: &[],
        caused: &[],
    };
    show(work, 200, form)
}

/// Keeps an entity in the draft, or shows the form again with its faults.
pub(crate) fn save(
    work: &Work<'_>,
    request: &ConsoleRequest,
    section: Section,
    stop_now: bool,
) -> ConsoleResponse {
    let Some(base) = &work.base else {
        return unsaved(work, request, section, stop_now);
    };
    let addresses = (work.console.backend.gateway_addresses)();
    let submission = submit(FormSubmission {
        section,
        stop_now,
        base: &base.document,
        draft: &work.draft,
        inputs: &request.body,
        gateway_addresses: &addresses,
        now: work.moment.now,
    });
    match submission {
        Ok(SubmitOutcome::Accepted { draft, .. }) => show_draft(work, draft),
        Ok(SubmitOutcome::Rejected { faults, caused }) => {
            let form = EntityView {
                section,
                stop_now,
                original: request.body.get("original"),
                inputs: &request.body,
                faults: &faults,
                caused: &caused,
            };
            show(work, 422, form)
        }
        Err(error) => work.unusable(&error.to_string()),
    }
}

/// Shows the form again when its base is not kept any more, now on the revision in force.
fn unsaved(
    work: &Work<'_>,
    request: &ConsoleRequest,
    section: Section,
    stop_now: bool,
) -> ConsoleResponse {
    if !work.draft.changes.is_empty() {
        return work.conflict();
    }
    let moved = Work {
        draft: crate::draft::Draft::empty(&work.head),
        base: Some(work.head.clone()),
        head: work.head.clone(),
        ..*work
    };
    let message = "The revision that this form was made from is not available any more. Compare with the revision in force, then keep the form again.";
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
    show(&moved, 409, form)
}

/// Asks before an entity is removed.
pub(crate) fn ask_removal(
    work: &Work<'_>,
    request: &ConsoleRequest,
    section: Section,
) -> ConsoleResponse {
    let name = request.field("name");
    match work.documents() {
        Ok((_, document)) if section.value(&document, name).is_none() => {
            missing(work, section, name)
        }
        Ok(_) => work.html(200, &remove_page(&work.view(), section, name)),
        Err(response) => response,
    }
}

/// Removes an entity in the draft.
pub(crate) fn remove(
    work: &Work<'_>,
    request: &ConsoleRequest,
    section: Section,
) -> ConsoleResponse {
    let Some(base) = &work.base else {
        return work.conflict();
    };
    let change = Change {
        path: section.entity_path(request.body.get("name")),
        value: None,
    };
    match work.draft.with(&base.document, change) {
        Ok(draft) => show_draft(work, draft),
        Err(error) => work.unusable(&error.to_string()),
    }
}

fn show_draft(work: &Work<'_>, draft: crate::draft::Draft) -> ConsoleResponse {
    let next = Work {
        draft,
        head: work.head.clone(),
        base: work.base.clone(),
        ..*work
    };
    let (base, document) = match next.documents() {
        Ok(documents) => documents,
        Err(response) => return response,
    };
    let faults = next.faults(&document);
    next.html(200, &draft_page(&next.view(), Some(base), &faults, None))
}

fn form(work: &Work<'_>, section: Section, original: &str, inputs: &Inputs) -> ConsoleResponse {
    let form = EntityView {
        section,
        stop_now: false,
        original,
        inputs,
        faults: &[],
        caused: &[],
    };
    show(work, 200, form)
}

fn show(work: &Work<'_>, status: u16, form: EntityView<'_>) -> ConsoleResponse {
    match work.documents() {
        Ok((_, document)) => work.html(status, &entity_page(&work.view(), &document, form)),
        Err(response) => response,
    }
}

fn missing(work: &Work<'_>, section: Section, name: &str) -> ConsoleResponse {
    let message = format!("There is no {} named `{name}`.", section.entity());
    work.message(404, "Not found", &message)
}
