//! Rebase of a draft onto a newer revision.

use lw_doc::{Change, Document, changes_between};
use serde_json::Value;

use crate::backend::StoredDocument;
use crate::draft::draft_changes::Draft;
use crate::draft::draft_error::DraftError;
use crate::draft::field_change::{fields, value_of};
use crate::section::value_at;

/// Rebases a draft from its base onto `head`.
///
/// Merges field by field: fields that the draft changed get the value of the draft, all others the value in force.
/// Without the base, which may no longer be stored, whole entities of the draft replace those in force.
///
/// # Errors
///
/// Returns an error when a change cannot be applied to the document.
pub fn rebase(
    base: Option<&Document>,
    head: &StoredDocument,
    draft: &Draft,
) -> Result<Draft, DraftError> {
    let merged = draft.changes.iter().map(|change| match base {
        Some(base) => merge(base, &head.document, change),
        None => change.clone(),
    });
    let rebased = Draft {
        changes: merged.collect(),
        ..Draft::empty(head)
    };
    let next = rebased.apply(&head.document)?;
    Ok(Draft {
        changes: changes_between(&head.document, &next),
        ..rebased
    })
}

fn merge(base: &Document, head: &Document, change: &Change) -> Change {
    let before = value_at(base, &change.path);
    let theirs = value_at(head, &change.path);
    let (Some(own @ Value::Object(_)), Some(Value::Object(_)), Some(Value::Object(mut merged))) =
        (change.value.clone(), &before, theirs)
    else {
        return change.clone();
    };
    let (before, own) = (fields(before), fields(Some(own)));
    let names = before.iter().chain(&own).map(|(name, _)| name);
    for name in names {
        let (old, new) = (value_of(&before, name), value_of(&own, name));
        if old == new {
            continue;
        }
        match new {
            Some(value) => merged.insert(name.clone(), value),
            None => merged.shift_remove(name),
        };
    }
    Change {
        path: change.path.clone(),
        value: Some(Value::Object(merged)),
    }
}
