//! Applying differences.

use std::collections::BTreeMap;

use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::apply_error::ApplyError;
use crate::change::Change;
use crate::difference::Difference;
use crate::digested_document::DigestedDocument;
use crate::document::Document;
use crate::section::Section;

/// Applies a difference to a document with its digest tree.
///
/// # Errors
///
/// Refuses a difference of another base, an unusable change, and a result of another digest than the difference names.
pub fn apply(
    base: DigestedDocument,
    difference: &Difference,
) -> Result<DigestedDocument, ApplyError> {
    let (wanted, found) = (difference.base, base.tree.root());
    if wanted != found {
        return Err(ApplyError::WrongBase { wanted, found });
    }
    let DigestedDocument { mut document, tree } = base;
    change_all(&mut document, &difference.changes)?;
    let tree = tree.updated(&document, &difference.changes);
    let (wanted, found) = (difference.result, tree.root());
    if wanted != found {
        return Err(ApplyError::WrongResult { wanted, found });
    }
    Ok(DigestedDocument { document, tree })
}

/// Applies changes without a check of digests, for changes that an operator edits.
///
/// # Errors
///
/// Refuses paths that name no part of a document and values of the wrong form.
pub fn apply_changes(document: &Document, changes: &[Change]) -> Result<Document, ApplyError> {
    let mut next = document.clone();
    change_all(&mut next, changes)?;
    Ok(next)
}

fn change_all(document: &mut Document, changes: &[Change]) -> Result<(), ApplyError> {
    let mut changes = changes.iter();
    changes.try_for_each(|change| apply_change(document, change))
}

fn apply_change(document: &mut Document, change: &Change) -> Result<(), ApplyError> {
    let path = change.path.as_str();
    let unknown = || ApplyError::UnknownPath { path: path.into() };
    match (path, &change.value) {
        ("format", Some(value)) => {
            document.format = read(path, value)?;
            return Ok(());
        }
        ("weights", Some(value)) => {
            document.weights = read(path, value)?;
            return Ok(());
        }
        ("audit_keep_days", Some(value)) => {
            document.audit_keep_days = read(path, value)?;
            return Ok(());
        }
        _ => {}
    }
    let (section, name) = Section::split(path).ok_or_else(unknown)?;
    match section {
        Section::Regions => set(&mut document.regions, name, change),
        Section::Services => set(&mut document.services, name, change),
        Section::Targets => set(&mut document.targets, name, change),
        Section::Customers => set(&mut document.customers, name, change),
        Section::PlannedStops => set(&mut document.planned_stops, name, change),
        Section::Models => set(&mut document.engine.models, name, change),
    }
}

fn set<T: DeserializeOwned>(
    section: &mut BTreeMap<String, T>,
    name: &str,
    change: &Change,
) -> Result<(), ApplyError> {
    let Some(value) = &change.value else {
        section.remove(name);
        return Ok(());
    };
    section.insert(name.to_owned(), read(&change.path, value)?);
    Ok(())
}

fn read<T: DeserializeOwned>(path: &str, value: &Value) -> Result<T, ApplyError> {
    T::deserialize(value).map_err(|error| ApplyError::UnusableValue {
        path: path.to_owned(),
        message: error.to_string(),
    })
}
