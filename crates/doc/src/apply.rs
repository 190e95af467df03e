//! Applies differences and single changes to documents.

use std::collections::BTreeMap;

use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::apply_error::ApplyError;
use crate::change::Change;
use crate::difference::Difference;
use crate::digested_document::DigestedDocument;
use crate::document::Document;
use crate::section::Section;

/// Applies a difference to a document and updates its digest tree.
///
/// # Errors
///
/// Returns an error when the digest of `base` is not the one that the difference applies to, when a change has an
/// unknown path or an invalid value, or when the digest of the result is not the one that the difference states.
pub fn apply(
    base: DigestedDocument,
    difference: &Difference,
) -> Result<DigestedDocument, ApplyError> {
    let (expected, found) = (difference.base, base.tree.root());
    if expected != found {
        return Err(ApplyError::WrongBase { expected, found });
    }
    let DigestedDocument { mut document, tree } = base;
    apply_all(&mut document, &difference.changes)?;
    let tree = tree.updated(&document, &difference.changes);
    let (expected, found) = (difference.result, tree.root());
    if expected != found {
        return Err(ApplyError::WrongResult { expected, found });
    }
    Ok(DigestedDocument { document, tree })
}

/// Applies changes without checking digests, for drafts that an operator edits.
///
/// # Errors
///
/// Returns an error for a path that names no part of a document, and for a value of the wrong type.
pub fn apply_changes(document: &Document, changes: &[Change]) -> Result<Document, ApplyError> {
    let mut next = document.clone();
    apply_all(&mut next, changes)?;
    Ok(next)
}

fn apply_all(document: &mut Document, changes: &[Change]) -> Result<(), ApplyError> {
    let mut changes = changes.iter();
    changes.try_for_each(|change| apply_change(document, change))
}

fn apply_change(document: &mut Document, change: &Change) -> Result<(), ApplyError> {
    let path = change.path.as_str();
    let unknown = || ApplyError::UnknownPath { path: path.into() };
    match (path, &change.value) {
        ("format", Some(value)) => {
            document.format = parse_value(path, value)?;
            return Ok(());
        }
        ("weights", Some(value)) => {
            document.weights = parse_value(path, value)?;
            return Ok(());
        }
        ("audit_keep_days", Some(value)) => {
            document.audit_keep_days = parse_value(path, value)?;
            return Ok(());
        }
        _ => {}
    }
    let (section, name) = Section::split(path).ok_or_else(unknown)?;
    match section {
        Section::Regions => apply_to_section(&mut document.regions, name, change),
        Section::Services => apply_to_section(&mut document.services, name, change),
        Section::Targets => apply_to_section(&mut document.targets, name, change),
        Section::Customers => apply_to_section(&mut document.customers, name, change),
        Section::PlannedStops => apply_to_section(&mut document.planned_stops, name, change),
        Section::Models => apply_to_section(&mut document.engine.models, name, change),
    }
}

fn apply_to_section<T: DeserializeOwned>(
    section: &mut BTreeMap<String, T>,
    name: &str,
    change: &Change,
) -> Result<(), ApplyError> {
    let Some(value) = &change.value else {
        section.remove(name);
        return Ok(());
    };
    section.insert(name.to_owned(), parse_value(&change.path, value)?);
    Ok(())
}

fn parse_value<T: DeserializeOwned>(path: &str, value: &Value) -> Result<T, ApplyError> {
    T::deserialize(value).map_err(|error| ApplyError::UnusableValue {
        path: path.to_owned(),
        message: error.to_string(),
    })
}
