//! Validates a submitted form and adds it to the draft.

use std::net::SocketAddr;

use lw_base::WallMs;
use lw_doc::{Change, Document, Fault, FaultKind, SourceMap, validate};

use crate::draft::{Draft, DraftError};
use crate::forms::entity_form::read_entity;
use crate::forms::form_fault::FormFault;
use crate::forms::stop_now_form;
use crate::inputs::Inputs;
use crate::section::Section;

/// A submitted form and the state that it applies to.
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
    /// The form values; `original` is the name of an existing entity, or empty for a new one.
    pub inputs: &'a Inputs,
    /// The addresses of the gateway's own listeners.
    pub gateway_addresses: &'a [SocketAddr],
    /// The current time.
    pub now: WallMs,
}

/// The outcome of a submitted form.
#[derive(Clone, Debug, PartialEq)]
pub enum SubmitOutcome {
    /// The entity is valid and was added to the draft.
    Accepted {
        /// The draft with the change.
        draft: Draft,
        /// Faults that the change causes in other parts of the document; they prevent publishing.
        caused: Vec<Fault>,
    },
    /// The entity has faults, and the draft is unchanged.
    Rejected {
        /// The faults of the form.
        faults: Vec<FormFault>,
        /// Faults that the change would cause in other parts of the document.
        caused: Vec<Fault>,
    },
}

/// Parses a form, validates it against the whole document and adds it to the draft.
///
/// # Errors
///
/// Returns an error when the changes of the draft cannot be applied to the document.
pub fn submit(submission: FormSubmission<'_>) -> Result<SubmitOutcome, DraftError> {
    let before = submission.draft.apply(submission.base)?;
    let name = entity_name(submission);
    let path = submission.section.entity_path(&name);
    let (value, mut faults) = match submission.stop_now {
        true => stop_now_form::read(submission.inputs, submission.now),
        false => read_entity(submission.section, submission.inputs),
    };
    if is_new(submission) && name.is_empty() {
        faults.push(FormFault::for_field("name", "enter a name"));
    }
    if is_new(submission) && submission.section.value(&before, &name).is_some() {
        let message =
            format!("`{name}` already exists; choose another name or edit the existing entry");
        faults.push(FormFault::for_field("name", message));
        return Ok(SubmitOutcome::Rejected {
            faults,
            caused: Vec::new(),
        });
    }
    let change = Change {
        path: path.clone(),
        value: Some(value),
    };
    let draft = submission.draft.with(submission.base, change)?;
    let after = draft.apply(submission.base)?;
    let check = |document| {
        validate(
            document,
            &SourceMap::default(),
            submission.gateway_addresses,
        )
    };
    let (own, others): (Vec<Fault>, Vec<Fault>) = check(&after)
        .into_iter()
        .partition(|fault| belongs_to(&fault.path, &path));
    add_own_faults(&mut faults, submission, &path, &own);
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

fn is_new(submission: FormSubmission<'_>) -> bool {
    submission.section.has_names() && submission.inputs.get("original").is_empty()
}

fn entity_name(submission: FormSubmission<'_>) -> String {
    let field = if is_new(submission) {
        "name"
    } else {
        "original"
    };
    submission.inputs.get(field).trim().to_owned()
}

fn belongs_to(fault_path: &str, entity_path: &str) -> bool {
    let rest = fault_path.strip_prefix(entity_path);
    rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
}

/// Adds the validation faults, except for fields that could not be parsed, whose values are placeholders.
fn add_own_faults(
    faults: &mut Vec<FormFault>,
    submission: FormSubmission<'_>,
    path: &str,
    own: &[Fault],
) {
    let unparsed: Vec<FormFault> = faults.clone();
    for fault in own {
        let field = form_field(submission, path, fault);
        if field.is_some() && unparsed.iter().any(|known| known.field == field) {
            continue;
        }
        let message = format!("{}; {}", fault.kind, fault.kind.fix());
        faults.push(match field {
            Some(field) => FormFault::for_field(&field, message),
            None => FormFault::for_form(message),
        });
    }
}

/// Returns the form field next to which a fault is shown; `None` for the whole form.
fn form_field(submission: FormSubmission<'_>, path: &str, fault: &Fault) -> Option<String> {
    let rest = fault.path.strip_prefix(path).unwrap_or("");
    let field = rest.trim_start_matches('/').split('/').next();
    let names_entity = matches!(fault.kind, FaultKind::InvalidName { .. });
    match (field, submission.section) {
        // The form of an existing entity has no name field.
        (None | Some(""), _) if !is_new(submission) => None,
        (None | Some(""), Section::Models) => Some("name".to_owned()),
        (None | Some(""), _) if names_entity => Some("name".to_owned()),
        (None | Some(""), _) => None,
        (Some("start" | "end"), _) if submission.stop_now => Some("duration_min".to_owned()),
        (Some(field), _) => Some(field.to_owned()),
    }
}
