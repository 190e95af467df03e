//! Submitting a form into the draft.

use std::net::SocketAddr;

use lw_base::WallMs;
use lw_doc::{Change, Document, Fault, FaultKind, SourceMap, validate};

use crate::draft::{Draft, DraftError};
use crate::forms::entity_form::read_entity;
use crate::forms::form_fault::FormFault;
use crate::forms::stop_now_form;
use crate::inputs::Inputs;
use crate::section::Section;

/// A form as it was sent, with what it applies to.
#[derive(Clone, Copy, Debug)]
pub struct FormSubmission<'a> {
    /// The section.
    pub section: Section,
    /// Whether it is the form that starts a planned stop now.
    pub stop_now: bool,
    /// The document of the base revision.
    pub base: &'a Document,
    /// The draft so far.
    pub draft: &'a Draft,
    /// The fields; `original` names the entity when it exists already.
    pub inputs: &'a Inputs,
    /// The addresses of the gateway's own listeners.
    pub gateway_addresses: &'a [SocketAddr],
    /// The time now.
    pub now: WallMs,
}

/// What became of a form.
#[derive(Clone, Debug, PartialEq)]
pub enum SubmitOutcome {
    /// The entity is sound and stands in the draft.
    Accepted {
        /// The draft with the change.
        draft: Draft,
        /// Faults that the change causes in other parts of the document; they prevent publishing.
        caused: Vec<Fault>,
    },
    /// The entity has faults, and the draft stays as it was.
    Rejected {
        /// The faults of the form.
        faults: Vec<FormFault>,
        /// Faults that the change would cause in other parts of the document.
        caused: Vec<Fault>,
    },
}

/// Reads a form, checks it against the whole document and puts it into the draft.
///
/// # Errors
///
/// Refuses a draft whose changes do not fit into a document.
pub fn submit(call: FormSubmission<'_>) -> Result<SubmitOutcome, DraftError> {
    let before = call.draft.apply(call.base)?;
    let name = entity_name(call);
    let path = call.section.entity_path(&name);
    let (value, mut faults) = match call.stop_now {
        true => stop_now_form::read(call.inputs, call.now),
        false => read_entity(call.section, call.inputs),
    };
    if is_new(call) && name.is_empty() {
        faults.push(FormFault::of("name", "give a name"));
    }
    if is_new(call) && call.section.value(&before, &name).is_some() {
        let message = format!("`{name}` exists already; choose another name or edit it");
        faults.push(FormFault::of("name", message));
        return Ok(SubmitOutcome::Rejected {
            faults,
            caused: Vec::new(),
        });
    }
    let change = Change {
        path: path.clone(),
        value: Some(value),
    };
    let draft = call.draft.with(call.base, change)?;
    let after = draft.apply(call.base)?;
    let check = |document| validate(document, &SourceMap::default(), call.gateway_addresses);
    let (own, others): (Vec<Fault>, Vec<Fault>) = check(&after)
        .into_iter()
        .partition(|fault| belongs_to(&fault.path, &path));
    add_own_faults(&mut faults, call, &path, &own);
    let known = check(&before);
    let caused: Vec<Fault> = others
        .into_iter()
        .filter(|fault| !known.contains(fault))
        .collect();
    if faults.is_empty() {
        return Ok(SubmitOutcome::Accepted { draft, caused });
    }
    Ok(SubmitOutcome::Rejected { faults, caused })
}

fn is_new(call: FormSubmission<'_>) -> bool {
    call.section.has_names() && call.inputs.get("original").is_empty()
}

fn entity_name(call: FormSubmission<'_>) -> String {
    let field = if is_new(call) { "name" } else { "original" };
    call.inputs.get(field).trim().to_owned()
}

fn belongs_to(fault_path: &str, entity_path: &str) -> bool {
    let rest = fault_path.strip_prefix(entity_path);
    rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
}

/// Adds the faults of validation, except of fields that could not be read.
fn add_own_faults(
    faults: &mut Vec<FormFault>,
    call: FormSubmission<'_>,
    path: &str,
    own: &[Fault],
) {
    let unreadable: Vec<FormFault> = faults.clone();
    for fault in own {
        let field = form_field(call, path, fault);
        if field.is_some() && unreadable.iter().any(|known| known.field == field) {
            continue;
        }
        let message = format!("{}; {}", fault.kind, fault.kind.fix());
        faults.push(match field {
            Some(field) => FormFault::of(&field, message),
            None => FormFault::of_form(message),
        });
    }
}

/// Returns the field of the form that shows a fault.
fn form_field(call: FormSubmission<'_>, path: &str, fault: &Fault) -> Option<String> {
    let rest = fault.path.strip_prefix(path).unwrap_or("");
    let field = rest.trim_start_matches('/').split('/').next();
    let names_entity = matches!(fault.kind, FaultKind::InvalidName { .. });
    match (field, call.section) {
        // The form of an existing entity has no field for its name.
        (None | Some(""), _) if !is_new(call) => None,
        (None | Some(""), Section::Models) => Some("name".to_owned()),
        (None | Some(""), _) if names_entity => Some("name".to_owned()),
        (None | Some(""), _) => None,
        (Some("start" | "end"), _) if call.stop_now => Some("duration_min".to_owned()),
        (Some(field), _) => Some(field.to_owned()),
    }
}
